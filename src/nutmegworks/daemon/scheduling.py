"""Runs the scheduling shard of a failure domain while this daemon owns it."""
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
from nutmegworks.net import budget as budgets
from nutmegworks.net import pool
from nutmegworks.policy import events
from nutmegworks.policy import gang_placement
from nutmegworks.policy import gang_scheduler
from nutmegworks.policy import quarantine
from nutmegworks.policy import run_time_estimate
from nutmegworks.policy import run_time_learning
from nutmegworks.settings import schema

_LOG: typing.Final = logbook.Logger('scheduling')

ACCOUNT_SAVE_INTERVAL_SECONDS: typing.Final = 5.0
CHANGE_POLL_SECONDS: typing.Final = 0.2
ACCOUNT_LOAD_RETRY_SECONDS: typing.Final = 1.0


class AccountingScheduler:
    """Wraps a gang scheduler and records the use of accelerators."""

    def __init__(
        self,
        inner: gang_scheduler.Scheduler,
        tracker: usage_tracker.UsageTracker,
    ) -> None:
        self._inner = inner
        self._tracker = tracker

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        actions = self._inner.handle(event, now)
        self._tracker.observe(event, actions, now)
        return actions


class ShardRunner:
    """Contends for one shard and runs its controller while it owns the shard.

    :ivar job_service: accepts, reports and cancels jobs of callers.
    """

    def __init__(
        self,
        settings: schema.Settings,
        backend: store.Store,
        configuration: published.Published[work.Configuration],
        worker_directory: daemon_workers.WorkerDirectory,
        budget: budgets.Budget,
    ) -> None:
        self._domain_id = ids.DomainId(settings.daemon_domain)
        self._shard_id = ids.ShardId(settings.daemon_domain)
        self._configuration = configuration
        self._worker_directory = worker_directory
        self._pool = pool.Pool(budget=budget)
        self._job_repository = repository.JobRepository(backend)
        self._account_store = accounts.AccountStore(backend)
        self._stopping = False
        self._shard_claim = ownership.ShardClaim(
            backend,
            self._shard_id,
            ids.MemberId(settings.daemon_host_id),
            may_claim=self._may_claim,
        )
        self._controller: controller.Controller | None = None
        self.job_service = service.JobService(
            self._job_repository,
            choose_shard=self._choose_shard,
            explain=self._explain,
        )

    @property
    def owns_shard(self) -> bool:
        return self._shard_claim.token is not None

    @property
    def owner_id(self) -> str:
        """The owner of this domain's shard as last read from the store."""
        return self._shard_claim.owner_id

    def _may_claim(self) -> bool:
        return not self._stopping and self._configuration.value is not None

    def _choose_shard(self, spec: work.JobSpec) -> ids.ShardId | None:
        configuration = self._configuration.value
        assert configuration is not None
        domain_id = self._worker_directory.choose_domain(
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
            await group.spawn(self._shard_claim.run, self._log_ownership)
            await group.spawn(self._run_while_owned)

    async def _log_ownership(
        self,
        token: ids.FencingToken | None,
    ) -> None:
        _LOG.info('shard ownership changed', shard=self._shard_id, token=token)

    async def _run_while_owned(self) -> None:
        while True:
            token = self._shard_claim.token
            if token is None:
                await curio.sleep(CHANGE_POLL_SECONDS)
                continue
            account = await self._account_store.load(self._shard_id, _now_ms())
            if isinstance(account, result.Err):
                await curio.sleep(ACCOUNT_LOAD_RETRY_SECONDS)
                continue
            tracker = usage_tracker.UsageTracker(
                account.ok_value, self._domain_id
            )
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._wait_for_loss, token)
                await group.spawn(self._run_controller, token, tracker)
                await group.spawn(self._save_account, tracker)
            self._controller = None
            if group.exception is not None:
                # The group does not raise the first exception.
                _LOG.error(
                    'shard controller failed',
                    shard=self._shard_id,
                    error=repr(group.exception),
                )
            if self._shard_claim.token == token:
                # A worker told the controller about a newer owner.
                self._shard_claim.step_down()

    async def _wait_for_loss(self, token: ids.FencingToken) -> None:
        while self._shard_claim.token == token:
            await curio.sleep(CHANGE_POLL_SECONDS)

    async def _run_controller(
        self,
        token: ids.FencingToken,
        tracker: usage_tracker.UsageTracker,
    ) -> None:
        configuration = self._configuration.value
        assert configuration is not None
        estimator = run_time_estimate.RunTimeEstimator()
        scheduler = gang_scheduler.Scheduler(
            self._domain_id,
            random_source=random.Random(),
            estimator=estimator,
            # Its placements are as good as or better than those of
            # gang_placement.LeastFragmentation: docs/policy.md, section 3.
            policy=gang_placement.BestFit(),
        )
        learning_scheduler = run_time_learning.LearningScheduler(
            AccountingScheduler(scheduler, tracker),
            estimator,
            quarantine.Quarantine(0),
        )
        self._controller = controller.Controller(
            shard_id=self._shard_id,
            fencing_token=token,
            scheduler=learning_scheduler,
            configuration=configuration,
            jobs=self._job_repository,
            worker_client=workers.HttpWorkerClient(connections=self._pool),
            list_workers=self._list_workers,
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._controller.run)
            await group.spawn(self._follow_configuration, configuration)
        if group.exception is not None:
            raise group.exception

    async def _list_workers(self) -> typing.Sequence[typing.Any] | None:
        return self._worker_directory.workers(self._domain_id)

    async def _follow_configuration(
        self,
        applied: work.Configuration,
    ) -> None:
        while True:
            current = self._configuration.value
            if current is not None and current is not applied:
                applied = current
                assert self._controller is not None
                await self._controller.submit_event(
                    events.ConfigurationChanged(configuration=current)
                )
            await curio.sleep(CHANGE_POLL_SECONDS)

    async def _save_account(self, tracker: usage_tracker.UsageTracker) -> None:
        while True:
            await curio.sleep(ACCOUNT_SAVE_INTERVAL_SECONDS)
            await self._account_store.save(
                self._shard_id, tracker.account, _now_ms()
            )

    async def leave(self) -> None:
        """Answer waiting callers and release the shard for another daemon."""
        self._stopping = True
        await self.job_service.stop_waiting()
        await self._shard_claim.release()

    async def retire_connections(self) -> None:
        """Close idle connections to workers."""
        await self._pool.close_expired()


def _now_ms() -> int:
    return int(time.time() * 1000)


__all__ = ('AccountingScheduler', 'ShardRunner')
