"""A simple scheduler and a small cluster for the tests of gang jobs."""
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
from nutmegworks.policy import gang_scheduler
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
        self._retry_at_tick: list[ids.JobId] = []
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
                self._allocate(event.job_id, event.members)
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
                self._remove(event.job_id)
            case events.JobFailed(kind=events.FailureKind.START):
                self._release(event.job_id)
                self._attempt_by_id[event.job_id] -= 1
                self._retry_at_tick.append(event.job_id)
            case events.JobFailed() | events.JobStopped():
                self._release(event.job_id)
                self._waiting.append(event.job_id)
            case events.Tick():
                self._waiting += self._retry_at_tick
                self._retry_at_tick.clear()
        self._waiting = [
            job_id for job_id in self._waiting if job_id in self._spec_by_id
        ]
        return actions + self._place(now)

    def _action_fields(self, job_id, now):
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
            **self._action_fields(job_id, now),
            reason=events.Reason.CANCELLED,
            members=self._members_by_id[job_id],
        )

    def _checkpoint(self, job_id, now):
        return events.CheckpointJob(
            **self._action_fields(job_id, now),
            reason=events.Reason.RECLAIMED,
            members=self._members_by_id[job_id],
        )

    def _allocate(self, job_id, members):
        self._members_by_id[job_id] = members
        for member in members:
            self._free_by_worker[member.worker_id] -= set(member.accelerators)

    def _release(self, job_id):
        for member in self._members_by_id.pop(job_id, ()):
            free = self._free_by_worker.get(member.worker_id)
            if free is not None:
                free |= set(member.accelerators)

    def _remove(self, job_id):
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
                        **self._action_fields(job_id, now),
                        reason=events.Reason.ATTEMPTS_EXHAUSTED,
                        verdict=None,
                    )
                )
                continue
            self._allocate(job_id, members)
            actions.append(
                events.StartJob(
                    **self._action_fields(job_id, now),
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


class HaltPoint:
    """Halts an owner at a given message or store write.

    :param call_number: of the call, from 1; 0 to never halt.
    :param after_call: whether to make the call before the halt, so that only
        its answer is withheld.
    :ivar calls: names of the calls so far.
    """

    def __init__(
        self,
        call_number: int = 0,
        *,
        after_call: bool = False,
    ) -> None:
        self._call_number = call_number
        self._after_call = after_call
        self.calls: list[str] = []
        self.halted = curio.Event()
        self.resumed = curio.Event()

    async def make_call(self, name: str, call: typing.Any) -> typing.Any:
        """Make a call; while halted, wait until resumed."""
        if self.halted.is_set():
            await self.resumed.wait()
        self.calls.append(name)
        is_halting = len(self.calls) == self._call_number
        if is_halting and not self._after_call:
            await self.halt()
        answer = await call()
        if is_halting and self._after_call:
            await self.halt()
        return answer

    async def halt(self) -> None:
        """Report the halt and wait until resumed."""
        await self.halted.set()
        await self.resumed.wait()


class HaltingWorkerClient(workers.HttpWorkerClient):
    """Sends messages through a halt point, except those that only fence."""

    def __init__(self, halt_point: HaltPoint) -> None:
        super().__init__(timeout=CALL_SECONDS)
        self._halt_point = halt_point

    async def send(self, address, order):
        send = super().send
        if order.run_id == 'fence':
            return await send(address, order)
        return await self._halt_point.make_call(
            order.step.value, lambda: send(address, order)
        )


class HaltingStore(httpstore.HttpStore):
    """Writes through a halt point; when cut off, every call fails."""

    def __init__(self, address, halt_point: HaltPoint) -> None:
        super().__init__(address, timeout=CALL_SECONDS)
        self._halt_point = halt_point
        self.cut_off = False

    async def _call(self, *arguments, **options):
        lost_answer = result.Err(store.StoreError(store.StoreFault.UNKNOWN))
        if self.cut_off:
            await curio.sleep(0.05)
            return lost_answer
        answer = await super()._call(*arguments, **options)
        return lost_answer if self.cut_off else answer

    async def put(self, key, value, *, expected, lease_id=None):
        put = super().put
        return await self._halt_point.make_call(
            'put', lambda: put(key, value, expected=expected)
        )


class Owner:
    """One owner of the shard with its own scheduler."""

    def __init__(
        self,
        cluster: Cluster,
        token: int,
        halt_point: HaltPoint,
        scheduler: interfaces.Scheduler,
        configuration: work.Configuration,
    ) -> None:
        self.halt_point = halt_point
        self.scheduler = scheduler
        self.store = HaltingStore(cluster.address, halt_point)
        self.controller = controller.Controller(
            shard_id=SHARD,
            fencing_token=ids.FencingToken(token),
            scheduler=self.scheduler,
            configuration=configuration,
            jobs=repository.JobRepository(self.store),
            worker_client=HaltingWorkerClient(halt_point),
            list_workers=cluster.list_workers,
        )
        self.task: curio.Task | None = None

    async def start(self) -> None:
        self.task = await curio.spawn(self.controller.run, daemon=True)

    async def kill(self) -> None:
        assert self.task is not None
        await self.task.cancel()


class Cluster:
    """A store, workers and a service that accepts jobs."""

    def __init__(self, address, hosts, stand_ins, fake_store) -> None:
        self.address = address
        self.hosts = hosts
        self.worker_by_id: dict[str, worker_stand_in.WorkerStandIn] = stand_ins
        self.store = fake_store
        # Numbers of the writes whose response is lost, from 1.
        self.lost_writes: set[int] = set()
        # Length of the store outage after a lost response.
        self.outage_seconds = 0.0
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
        self.store.faults.down = bool(self.outage_seconds)
        await curio.sleep(self.outage_seconds)
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

    async def wait_until_ended(
        self,
        job_id: ids.JobId,
        *,
        within: float = 20.0,
    ) -> service.JobView:
        answer = await self.service.wait(job_id, within)
        view = answer.ok_value
        assert view.final, view
        return view

    async def start_owner(
        self,
        token: int,
        *,
        halt_point: HaltPoint | None = None,
        checkpoint: bool = False,
        reverse: bool = False,
        real_scheduler: bool = False,
        configuration: work.Configuration = CONFIGURATION,
    ) -> Owner:
        scheduler = FirstFit(checkpoint_on_start=checkpoint, reverse=reverse)
        if real_scheduler:
            scheduler = gang_scheduler.Scheduler(
                ids.DomainId(SHARD),
                random_source=random.Random(1),
            )
        owner = Owner(
            self, token, halt_point or HaltPoint(), scheduler, configuration
        )
        await owner.start()
        return owner

    def executions(self) -> list[tuple[str, worker_stand_in.Execution]]:
        for worker in self.worker_by_id.values():
            worker.update_tasks()
        return [
            (worker_id, execution)
            for worker_id, worker in self.worker_by_id.items()
            for execution in worker.executions
        ]


@contextlib.asynccontextmanager
async def serve_cluster(count: int = 3) -> typing.AsyncIterator[Cluster]:
    """Serve a store and workers in the running event loop."""
    fake_store = store_stand_in.StoreStandIn()
    stand_ins = {
        f'w{index}': worker_stand_in.WorkerStandIn(worker_id=f'w{index}')
        for index in range(count)
    }
    created: list[Cluster] = []

    async def handle_store(request):
        return await created[0].handle_store(request)

    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(
            helpers.serving(handle_store)
        )
        hosts = [
            interfaces.WorkerHost(
                ids.WorkerId(worker_id),
                await stack.enter_async_context(helpers.serving(fake.handle)),
            ) for worker_id, fake in stand_ins.items()
        ]
        created.append(Cluster(address, hosts, stand_ins, fake_store))
        yield created[0]


def longest_partial_execution(
    runs: list[worker_stand_in.Execution],
    size: int,
):
    """Return the longest time in seconds that only some members executed.

    A member that finished counts as executing, because its work is done.
    """
    changes = []
    for run in runs:
        changes.append((run.started, 1))
        if run.outcome not in ('', 'finished'):
            changes.append((run.ended, -1))
    longest = partial = 0.0
    count = 0
    last = 0.0
    for changed_at, change in sorted(changes):
        partial = partial + changed_at - last if 0 < count < size else 0.0
        longest = max(longest, partial)
        count += change
        last = changed_at
    return longest


async def check_invariants(
    cluster: Cluster,
    *,
    size: int,
    bound: float,
) -> None:
    """Check the invariants of every job, which no fault may violate.

    :param size: number of workers in every gang.
    :param bound: longest time in seconds that only some members of a gang
        may execute.
    """
    runs_by_gang = collections.defaultdict(list)
    fresh_by_job = collections.defaultdict(set)
    for worker_id, execution in cluster.executions():
        runs_by_gang[execution.run_id, execution.checkpoint].append(execution)
        if not execution.checkpoint:
            job_id = record.job_id_of_run(ids.RunId(execution.run_id))
            assert (worker_id, execution.run_id) not in fresh_by_job[job_id]
            fresh_by_job[job_id].add((worker_id, execution.run_id))
    for gang_id, runs in runs_by_gang.items():
        assert longest_partial_execution(runs, size) <= bound, (gang_id, runs)
    for stored in (await cluster.jobs.load(SHARD)).ok_value.jobs:
        job = stored.record
        run_ids = {run_id for _, run_id in fresh_by_job[job.job_id]}
        assert job.final, job
        assert job.idempotent or len(run_ids) <= 1, (job, run_ids)
        if job.state is record.JobState.DONE:
            assert job.run is not None
            done = [
                run for run in cluster.executions()
                if run[1].run_id == job.run.run_id
                and run[1].outcome == 'finished'
            ]
            assert len(done) >= size, (job, done)


__all__ = (
    'CALL_SECONDS',
    'Cluster',
    'FirstFit',
    'HaltPoint',
    'Owner',
    'SHARD',
    'check_invariants',
    'longest_partial_execution',
    'serve_cluster',
)
