"""Runs the scheduling shard of this daemon's failure domain if it owns it."""
from __future__ import annotations

import random
import time
import typing

import curio
import logbook
import result

from nutmegworks.accounting import usage_tracker
from nutmegworks.adapters import store
from nutmegworks.adapters import workers
from nutmegworks.daemon import accounts
from nutmegworks.daemon import workers as daemon_workers
from nutmegworks.jobs import controller
from nutmegworks.jobs import repository
from nutmegworks.jobs import service
from nutmegworks.membership import ownership
from nutmegworks.model import ids
from nutmegworks.model import published
from nutmegworks.model import work
from nutmegworks.net import pool
from nutmegworks.policy import events
from nutmegworks.policy import gang_placement
from nutmegworks.policy import gang_scheduler
from nutmegworks.policy import quarantine
from nutmegworks.policy import run_time_estimate
from nutmegworks.policy import run_time_learning
from nutmegworks.settings import schema

_LOG: typing.Final = logbook.Logger('scheduling')

ACCOUNT_SECONDS: typing.Final = 5.0
CONFIGURATION_SECONDS: typing.Final = 0.2
RETRY_SECONDS: typing.Final = 1.0


class AccountedScheduler:
    """Passes events to the scheduler and what follows to the account."""

    def __init__(
        self,
        inner: gang_scheduler.Scheduler,
        books: usage_tracker.UsageTracker,
    ) -> None:
        self._inner = inner
        self._books = books

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        actions = self._inner.handle(event, now)
        self._books.observe(event, actions, now)
        return actions


class Scheduling:
    """Ownership of one shard and the controller that follows from it.

    :ivar jobs: what the caller interface calls.
    """

    def __init__(
        self,
        settings: schema.Settings,
        backend: store.Store,
        configuration: published.Published[work.Configuration],
        directory: daemon_workers.WorkerDirectory,
    ) -> None:
        self._domain_id = ids.DomainId(settings.daemon_domain)
        self._shard_id = ids.ShardId(settings.daemon_domain)
        self._configuration = configuration
        self._directory = directory
        self._pool = pool.Pool()
        self._repository = repository.JobRepository(backend)
        self._accounts = accounts.AccountStore(backend)
        self._stopping = False
        self._claim = ownership.ShardClaim(
            backend,
            self._shard_id,
            ids.MemberId(settings.daemon_host_id),
            may_claim=self._may_claim,
        )
        self._controller: controller.Controller | None = None
        self.jobs = service.JobService(
            self._repository,
            choose_shard=self._choose_shard,
            explain=self._explain,
        )

    @property
    def owns_shard(self) -> bool:
        return self._claim.token is not None

    @property
    def owner_id(self) -> str:
        """The owner of this domain's shard as last read."""
        return self._claim.owner_id

    def _may_claim(self) -> bool:
        return not self._stopping and self._configuration.value is not None

    def _choose_shard(self, spec: work.JobSpec) -> ids.ShardId | None:
        configuration = self._configuration.value
        assert configuration is not None
        domain_id = self._directory.choose_domain(
            spec, configuration, self._domain_id
        )
        return None if domain_id is None else ids.ShardId(domain_id)

    def _explain(self, job_id: ids.JobId) -> str:
        if self._controller is None:
            return ''
        return self._controller.reason(job_id)

    async def run(self) -> None:
        """Contend for the shard and run it while owned, until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._claim.run, self._ownership_changed)
            await group.spawn(self._run_owned)

    async def _ownership_changed(
        self,
        token: ids.FencingToken | None,
    ) -> None:
        _LOG.info('ownership', shard=self._shard_id, token=token)

    async def _run_owned(self) -> None:
        while True:
            token = self._claim.token
            if token is None:
                await curio.sleep(CONFIGURATION_SECONDS)
                continue
            account = await self._accounts.load(self._shard_id, _now_ms())
            if isinstance(account, result.Err):
                await curio.sleep(RETRY_SECONDS)
                continue
            books = usage_tracker.UsageTracker(
                account.ok_value, self._domain_id
            )
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._until_lost, token)
                await group.spawn(self._control, token, books)
                await group.spawn(self._save_accounts, books)
            self._controller = None
            if group.exception is not None:
                # The group keeps the first failure to itself.
                _LOG.error(
                    'shard controller failed',
                    shard=self._shard_id,
                    error=repr(group.exception),
                )
            if self._claim.token == token:
                # The controller learned of a newer owner from a worker.
                self._claim.step_down()

    async def _until_lost(self, token: ids.FencingToken) -> None:
        while self._claim.token == token:
            await curio.sleep(CONFIGURATION_SECONDS)

    async def _control(
        self,
        token: ids.FencingToken,
        books: usage_tracker.UsageTracker,
    ) -> None:
        configuration = self._configuration.value
        assert configuration is not None
        estimator = run_time_estimate.RunTimeEstimator()
        inner = gang_scheduler.Scheduler(
            self._domain_id,
            random_source=random.Random(),
            estimator=estimator,
            # Measured equal or better than placement.LeastFragmentation, see
            # docs/policy.md, section 3.
            policy=gang_placement.BestFit(),
        )
        learner = run_time_learning.LearningScheduler(
            AccountedScheduler(inner, books),
            estimator,
            quarantine.Quarantine(0),
        )
        self._controller = controller.Controller(
            shard_id=self._shard_id,
            fencing_token=token,
            scheduler=learner,
            configuration=configuration,
            jobs=self._repository,
            worker_client=workers.HttpWorkerClient(connections=self._pool),
            list_workers=self._list_workers,
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._controller.run)
            await group.spawn(self._follow_configuration, configuration)
        if group.exception is not None:
            raise group.exception

    async def _list_workers(self, ) -> typing.Sequence[typing.Any] | None:
        return self._directory.workers(self._domain_id)

    async def _follow_configuration(
        self,
        known: work.Configuration,
    ) -> None:
        while True:
            current = self._configuration.value
            if current is not None and current is not known:
                known = current
                assert self._controller is not None
                await self._controller.submit_event(
                    events.ConfigurationChanged(configuration=current)
                )
            await curio.sleep(CONFIGURATION_SECONDS)

    async def _save_accounts(self, books: usage_tracker.UsageTracker) -> None:
        while True:
            await curio.sleep(ACCOUNT_SECONDS)
            await self._accounts.save(self._shard_id, books.account, _now_ms())

    async def leave(self) -> None:
        """Answer waiting callers and hand the shard to another daemon."""
        self._stopping = True
        await self.jobs.stop_waiting()
        await self._claim.release()

    async def retire_connections(self) -> None:
        """Close idle connections to workers."""
        await self._pool.retire()


def _now_ms() -> int:
    return int(time.time() * 1000)


__all__ = ('AccountedScheduler', 'Scheduling')
