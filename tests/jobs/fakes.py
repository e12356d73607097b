"""A simple scheduler and a small cluster for tests of the job side."""
from __future__ import annotations

import collections
import contextlib
import random
import typing

import curio
import msgspec
import result

from nutmegworks.adapters import httpstore
from nutmegworks.adapters import store
from nutmegworks.adapters import workers
from nutmegworks.jobs import controller
from nutmegworks.jobs import interfaces
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.jobs import service
from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import events
from nutmegworks.policy import gang_scheduler as policy_scheduler
from standins import store as store_stand_in
from standins import worker as worker_stand_in
from tests import builders
from tests import helpers

SHARD: typing.Final = ids.ShardId('amman-north')
CALL_SECONDS: typing.Final = 0.3
MAX_ATTEMPTS: typing.Final = 6
CONFIGURATION: typing.Final = builders.configuration(
    builders.work_class('plan', target=600.0, teams=('north', 'south')),
    builders.work_class('once', idempotent=False, teams=('north', 'south')),
    teams=(
        builders.team('north'),
        builders.team('south', guarantees={SHARD: ('1x8', )}),
    ),
)


class FirstFit(interfaces.Scheduler):
    """Starts jobs in order of their ids on the first workers that fit."""

    def __init__(
        self,
        *,
        checkpoint_on_start: bool = False,
        reverse: bool = False,
    ) -> None:
        self._reverse = reverse
        self.events: list[events.Event] = []
        self._checkpoint_on_start = checkpoint_on_start
        self._spec_by_id: dict[ids.JobId, work.JobSpec] = {}
        self._attempt_by_id: dict[ids.JobId, int] = {}
        self._members_by_id: dict[ids.JobId, tuple[events.Member, ...]] = {}
        self._waiting: list[ids.JobId] = []
        self._later: list[ids.JobId] = []
        self._free_by_worker: dict[ids.WorkerId, set[int]] = {}

    def handle(self, event, now):
        if not isinstance(event, events.Tick):
            self.events.append(event)
        actions = []
        match event:
            case events.JobArrived():
                self._spec_by_id[event.job_id] = event.spec
                self._attempt_by_id[event.job_id] = event.attempts
                self._waiting.append(event.job_id)
            case events.JobRestored():
                self._spec_by_id[event.job_id] = event.spec
                self._attempt_by_id[event.job_id] = event.attempt
                self._hold(event.job_id, event.members)
            case events.WorkerUp():
                free = set(range(event.accelerators))
                self._free_by_worker[event.worker_id] = free
            case events.WorkerDown():
                del self._free_by_worker[event.worker_id]
                actions += [
                    self._stop(job_id, now)
                    for job_id, members in self._members_by_id.items()
                    if event.worker_id in [item.worker_id for item in members]
                ]
            case events.JobCancelled() if event.job_id in self._members_by_id:
                actions.append(self._stop(event.job_id, now))
                self._spec_by_id.pop(event.job_id, None)
            case events.JobStarted() if self._checkpoint_on_start:
                actions.append(self._checkpoint(event.job_id, now))
            case events.JobFinished() | events.JobCancelled():
                self._drop(event.job_id)
            case events.JobFailed(kind=events.FailureKind.START):
                self._release(event.job_id)
                self._attempt_by_id[event.job_id] -= 1
                self._later.append(event.job_id)
            case events.JobFailed() | events.JobStopped():
                self._release(event.job_id)
                self._waiting.append(event.job_id)
            case events.Tick():
                self._waiting += self._later
                self._later.clear()
        self._waiting = [
            job_id for job_id in self._waiting if job_id in self._spec_by_id
        ]
        return actions + self._place(now)

    def _base(self, job_id, now):
        return {
            'decided_at': now,
            'job_id': job_id,
            'team_id': ids.TeamId('north'),
            'class_id': ids.ClassId('plan'),
            'attempt': self._attempt_by_id[job_id],
            'accelerators': 1,
        }

    def _stop(self, job_id, now):
        return events.StopJob(
            **self._base(job_id, now),
            reason=events.Reason.CANCELLED,
            members=self._members_by_id[job_id],
        )

    def _checkpoint(self, job_id, now):
        return events.CheckpointJob(
            **self._base(job_id, now),
            reason=events.Reason.RECLAIMED,
            members=self._members_by_id[job_id],
        )

    def _hold(self, job_id, members):
        self._members_by_id[job_id] = members
        for member in members:
            self._free_by_worker[member.worker_id] -= set(member.accelerators)

    def _release(self, job_id):
        for member in self._members_by_id.pop(job_id, ()):
            free = self._free_by_worker.get(member.worker_id)
            if free is not None:
                free |= set(member.accelerators)

    def _drop(self, job_id):
        self._release(job_id)
        self._spec_by_id.pop(job_id, None)

    def _place(self, now):
        actions = []
        for job_id in sorted(self._waiting, reverse=self._reverse):
            members = self._fit(self._spec_by_id[job_id])
            if members is None:
                continue
            self._waiting.remove(job_id)
            self._attempt_by_id[job_id] += 1
            if self._attempt_by_id[job_id] > MAX_ATTEMPTS:
                actions.append(
                    events.RefuseJob(
                        **self._base(job_id, now),
                        reason=events.Reason.ATTEMPTS_EXHAUSTED,
                        verdict=None,
                    )
                )
                continue
            self._hold(job_id, members)
            actions.append(
                events.StartJob(
                    **self._base(job_id, now),
                    reason=events.Reason.BORROWED,
                    members=members,
                    charge=events.Charge.BORROWED,
                )
            )
        return actions

    def _fit(self, spec):
        size = spec.shape.block_size
        fitting = [
            events.Member(worker_id, tuple(sorted(free)[:size]))
            for worker_id, free in
            sorted(self._free_by_worker.items(), reverse=self._reverse)
            if len(free) >= size
        ]
        if len(fitting) < spec.shape.blocks:
            return None
        return tuple(fitting[:spec.shape.blocks])


class Life:
    """Ends or pauses an owner at a given message or store write.

    :param at: the number of the call, from 1; 0 for never.
    :param after: whether the call is carried out first, its answer unseen.
    """

    def __init__(self, at: int = 0, *, after: bool = False) -> None:
        self._at = at
        self._after = after
        self.calls: list[str] = []
        self.halted = curio.Event()
        self.resumed = curio.Event()

    async def carry(self, name: str, call: typing.Any) -> typing.Any:
        """Make a call, or stay in it while halted."""
        if self.halted.is_set():
            await self.resumed.wait()
        self.calls.append(name)
        hit = len(self.calls) == self._at
        if hit and not self._after:
            await self.halt()
        answer = await call()
        if hit and self._after:
            await self.halt()
        return answer

    async def halt(self) -> None:
        await self.halted.set()
        await self.resumed.wait()


class MortalWorkers(workers.HttpWorkerClient):

    def __init__(self, life: Life) -> None:
        super().__init__(timeout=CALL_SECONDS)
        self._life = life

    async def send(self, address, order):
        send = super().send
        if order.run_id == 'fence':
            return await send(address, order)
        return await self._life.carry(
            order.step.value, lambda: send(address, order)
        )


class MortalStore(httpstore.HttpStore):

    def __init__(self, address, life: Life) -> None:
        super().__init__(address, timeout=CALL_SECONDS)
        self._life = life
        self.cut_off = False

    async def _call(self, *arguments, **options):
        lost = result.Err(store.StoreError(store.StoreFault.UNKNOWN))
        if self.cut_off:
            await curio.sleep(0.05)
            return lost
        answer = await super()._call(*arguments, **options)
        return lost if self.cut_off else answer

    async def put(self, key, value, *, expected, lease_id=None):
        put = super().put
        return await self._life.carry(
            'put', lambda: put(key, value, expected=expected)
        )


class Owner:
    """One owner of the shard with its own scheduler."""

    def __init__(
        self,
        at: Cluster,
        token: int,
        life: Life,
        scheduler: interfaces.Scheduler,
        configuration: work.Configuration,
    ) -> None:
        self.life = life
        self.scheduler = scheduler
        self.store = MortalStore(at.address, life)
        self.controller = controller.Controller(
            shard_id=SHARD,
            fencing_token=ids.FencingToken(token),
            scheduler=self.scheduler,
            configuration=configuration,
            jobs=repository.JobRepository(self.store),
            worker_client=MortalWorkers(life),
            list_workers=at.list_workers,
        )
        self.task: curio.Task | None = None

    async def start(self) -> None:
        self.task = await curio.spawn(self.controller.run, daemon=True)

    async def kill(self) -> None:
        assert self.task is not None
        await self.task.cancel()


class Cluster:
    """A store, workers and a service that accepts jobs."""

    def __init__(self, address, hosts, fakes, fake_store) -> None:
        self.address = address
        self.hosts = hosts
        self.worker_by_id: dict[str, worker_stand_in.WorkerStandIn] = fakes
        self.store = fake_store
        # Numbers of the writes whose response is lost, from 1.
        self.lost_writes: set[int] = set()
        # Seconds that the store is down after a lost response.
        self.outage = 0.0
        self._writes = 0
        self.jobs = repository.JobRepository(httpstore.HttpStore(address))
        self.service = service.JobService(
            self.jobs, choose_shard=lambda spec: SHARD
        )

    async def handle_store(self, request):
        if request.method == 'PUT':
            self._writes += 1
            if self._writes in self.lost_writes:
                await curio.spawn(self._lose_answer, daemon=True)
                self.store.faults.lose_answers = 1
        return await self.store.handle(request)

    async def _lose_answer(self):
        self.store.faults.down = bool(self.outage)
        await curio.sleep(self.outage)
        self.store.faults.down = False

    async def list_workers(self):
        return self.hosts

    async def accept(
        self,
        key: str = '1-a',
        *,
        shape: str = '2x8',
        seconds: float = 0.3,
        idempotent: bool = True,
        result_bytes: int = 0,
        team_id: str = 'north',
    ) -> ids.JobId:
        class_id = ids.ClassId('plan' if idempotent else 'once')
        payload = {'run_seconds': seconds, 'result_bytes': result_bytes}
        answer = await self.service.accept(
            ids.TeamId(team_id),
            CONFIGURATION.class_by_id[class_id],
            builders.job_spec(
                shape,
                team_id=team_id,
                class_id=class_id,
                payload=msgspec.json.encode(payload),
            ),
            ids.IdempotencyKey(key),
            'digest',
        )
        return answer.ok_value

    async def ended(
        self,
        job_id: ids.JobId,
        *,
        within: float = 20.0,
    ) -> service.JobView:
        answer = await self.service.wait(job_id, within)
        view = answer.ok_value
        assert view.final, view
        return view

    async def owner(
        self,
        token: int,
        *,
        life: Life | None = None,
        checkpoint: bool = False,
        reverse: bool = False,
        real: bool = False,
        configuration: work.Configuration = CONFIGURATION,
    ) -> Owner:
        scheduler = FirstFit(checkpoint_on_start=checkpoint, reverse=reverse)
        if real:
            scheduler = policy_scheduler.Scheduler(
                ids.DomainId(SHARD),
                random_source=random.Random(1),
            )
        owner = Owner(self, token, life or Life(), scheduler, configuration)
        await owner.start()
        return owner

    def executions(self) -> list[tuple[str, worker_stand_in.Execution]]:
        for worker in self.worker_by_id.values():
            worker.advance()
        return [
            (worker_id, execution)
            for worker_id, worker in self.worker_by_id.items()
            for execution in worker.executions
        ]


@contextlib.asynccontextmanager
async def cluster(count: int = 3) -> typing.AsyncIterator[Cluster]:
    """Serve a store and workers inside the running kernel."""
    fake_store = store_stand_in.StoreStandIn()
    fakes = {
        f'w{index}': worker_stand_in.WorkerStandIn(worker_id=f'w{index}')
        for index in range(count)
    }
    made: list[Cluster] = []

    async def handle_store(request):
        return await made[0].handle_store(request)

    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(
            helpers.serving(handle_store)
        )
        hosts = [
            interfaces.WorkerHost(
                ids.WorkerId(worker_id),
                await stack.enter_async_context(helpers.serving(fake.handle)),
            ) for worker_id, fake in fakes.items()
        ]
        made.append(Cluster(address, hosts, fakes, fake_store))
        yield made[0]


def longest_part_alone(runs: list[worker_stand_in.Execution], size: int):
    """Return for how many seconds a part of one gang executed alone.

    A member that finished counts as executing, since its work is done.
    """
    changes = []
    for run in runs:
        changes.append((run.started, 1))
        if run.outcome not in ('', 'finished'):
            changes.append((run.ended, -1))
    longest = alone = 0.0
    count = 0
    last = 0.0
    for at, change in sorted(changes):
        alone = alone + at - last if 0 < count < size else 0.0
        longest = max(longest, alone)
        count += change
        last = at
    return longest


async def check_promises(at: Cluster, *, size: int, bound: float) -> None:
    """Check what must hold for every job, whatever failed.

    :param size: workers in every gang.
    :param bound: seconds that a part of a gang may execute alone.
    """
    by_gang = collections.defaultdict(list)
    fresh_by_job = collections.defaultdict(set)
    for worker_id, execution in at.executions():
        by_gang[execution.run_id, execution.checkpoint].append(execution)
        if not execution.checkpoint:
            job_id = record.job_of_run(ids.RunId(execution.run_id))
            assert (worker_id, execution.run_id) not in fresh_by_job[job_id]
            fresh_by_job[job_id].add((worker_id, execution.run_id))
    for gang_id, runs in by_gang.items():
        assert longest_part_alone(runs, size) <= bound, (gang_id, runs)
    for stored in (await at.jobs.load(SHARD)).ok_value.jobs:
        job = stored.record
        run_ids = {run_id for _, run_id in fresh_by_job[job.job_id]}
        assert job.final, job
        assert job.idempotent or len(run_ids) <= 1, (job, run_ids)
        if job.state is record.JobState.DONE:
            assert job.run is not None
            done = [
                run for run in at.executions()
                if run[1].run_id == job.run.run_id
                and run[1].outcome == 'finished'
            ]
            assert len(done) >= size, (job, done)


__all__ = (
    'CALL_SECONDS',
    'Cluster',
    'FirstFit',
    'Life',
    'Owner',
    'SHARD',
    'check_promises',
    'cluster',
    'longest_part_alone',
)
