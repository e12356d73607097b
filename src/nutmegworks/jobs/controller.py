"""Runs the jobs of one scheduling shard while this daemon owns it."""
from __future__ import annotations

import functools
import time
import typing
import uuid

import curio
import logbook
import result

from nutmegworks.adapters import workers
from nutmegworks.jobs import conversion
from nutmegworks.jobs import gang
from nutmegworks.jobs import interfaces
from nutmegworks.jobs import ledger
from nutmegworks.jobs import outcome
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.jobs import roster
from nutmegworks.jobs import runner
from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import events

TICK_SECONDS: typing.Final = 1.0
WATCH_SECONDS: typing.Final = 20.0
RETRY_SECONDS: typing.Final = 0.5
# A watch that the store answers from old data may skip a record. All records
# are read again after this time, one call for 100 jobs.
RESYNC_SECONDS: typing.Final = 15.0
OFFER_AGAIN_SECONDS: typing.Final = 5.0
# The store returns no more changes than this from one watch.
WATCH_LIMIT: typing.Final = 1000
# Bounds the messages of starting gangs. Gangs that start side by side never
# wait for each other: the scheduler gives them different accelerators, and a
# refused reservation releases all members at once.
CONCURRENT_STARTS: typing.Final = 8

_ACTIVE: typing.Final = frozenset(
    {
        workers.TaskPhase.RESERVED,
        workers.TaskPhase.STAGED,
        workers.TaskPhase.RUNNING,
    }
)

_SIZE_REASONS: typing.Final = frozenset(
    {
        events.Reason.LARGER_THAN_WORKER,
        events.Reason.LARGER_THAN_RACK,
        events.Reason.LARGER_THAN_DOMAIN,
        events.Reason.NOT_PLACEABLE,
    }
)

_log = logbook.Logger(__name__)

OnAction = typing.Callable[[events.Action], None]


def _new_id() -> str:
    return uuid.uuid4().hex


class Controller:
    """Turns the scheduler's actions into gangs and records.

    :param configuration: in force now; later ones are passed by ``put``.
    :param clock: seconds since 1970.
    :param on_action: told of every action, for accounting.
    """

    def __init__(
        self,
        *,
        shard_id: ids.ShardId,
        fencing_token: ids.FencingToken,
        scheduler: interfaces.Scheduler,
        configuration: work.Configuration,
        jobs: repository.JobRepository,
        worker_client: workers.WorkerClient,
        list_workers: interfaces.ListWorkers,
        clock: typing.Callable[[], float] = time.time,
        on_action: OnAction = lambda action: None,
        new_id: typing.Callable[[], str] = _new_id,
    ) -> None:
        self._shard_id = shard_id
        self._token = fencing_token
        self._scheduler = scheduler
        self._configuration = configuration
        self._jobs = jobs
        self._client = worker_client
        self._clock = clock
        self._on_action = on_action
        self._new_id = new_id
        self._now = 0.0
        self._ledger = ledger.Ledger(jobs, shard_id, fencing_token)
        self._roster = roster.Roster(
            worker_client,
            list_workers,
            fencing_token,
            self,
        )
        self._inbox: curio.Queue = curio.Queue()
        self._stopped = curio.Event()
        self._failure: Exception | None = None
        self._starting = curio.Semaphore(CONCURRENT_STARTS)
        self._tasks: set[curio.Task] = set()
        self._runner_by_job: dict[ids.JobId, runner.GangRunner] = {}
        self._orphans: set[ids.RunId] = set()
        # Jobs that the scheduler was told of and that have not ended.
        self._known: set[ids.JobId] = set()
        self._reason_by_job: dict[ids.JobId, str] = {}
        self._loaded = False
        self._perform_by_type: dict[
            type,
            typing.Callable[[typing.Any], typing.Awaitable[None]],
        ] = {
            events.StartJob: self._start_job,
            events.CheckpointJob: self._checkpoint_job,
            events.StopJob: self._stop_job,
            events.ReleaseJob: self._release_job,
            events.RefuseJob: self._refuse_job,
        }

    async def run(self) -> None:
        """Run until cancelled or until a newer owner is known.

        :raises Exception: if a task of the controller failed.
        """
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._stopped.wait)
                await group.spawn(self._run)
        finally:
            for task in list(self._tasks):
                await task.cancel(blocking=False)
        if self._failure is not None:
            raise self._failure
        return group.result

    async def put(self, event: events.Event) -> None:
        """Pass an event to the scheduler, such as a new configuration."""
        await self._inbox.put(event)

    def reason(self, job_id: ids.JobId) -> str:
        """Return why the scheduler last acted on a job; empty if unknown."""
        return self._reason_by_job.get(job_id, '')

    async def _run(self) -> None:
        # The scheduler refuses what it sees before its configuration.
        await self.put(
            events.ConfigurationChanged(configuration=self._configuration)
        )
        # The fence goes up before the records are read, so that an earlier
        # owner can start nothing on these workers afterwards.
        await self._roster.poll_all()
        revision = await self._load()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._decide)
            await group.spawn(self._tick)
            await group.spawn(self._roster.run)
            await group.spawn(self._watch, revision)
        return group.result

    # Records.

    async def _load(self) -> ids.StoreRevision:
        """Read all records; return the revision to watch from.

        Waiting jobs come after running ones, which hold accelerators.
        """
        first: ids.StoreRevision | None = None
        waiting: list[repository.Stored] = []
        after = ''
        while True:
            answer = await self._jobs.load(self._shard_id, after=after)
            if isinstance(answer, result.Err):
                _log.warning('cannot load jobs: {}', answer.err_value)
                await curio.sleep(RETRY_SECONDS)
                continue
            batch = answer.ok_value
            first = batch.revision if first is None else first
            for stored in batch.jobs:
                if stored.record.state in record.WAITING_STATES:
                    waiting.append(stored)
                else:
                    await self._take(stored)
            if not batch.last_key:
                break
            after = batch.last_key
        for stored in waiting:
            await self._take(stored)
        self._loaded = True
        return first

    async def _watch(self, revision: ids.StoreRevision) -> None:
        resync_at = time.monotonic() + RESYNC_SECONDS
        while True:
            left = resync_at - time.monotonic()
            if left <= 0:
                revision = await self._load()
                resync_at = time.monotonic() + RESYNC_SECONDS
                continue
            answer = await self._jobs.watch(
                self._shard_id,
                after=revision,
                wait=min(left, WATCH_SECONDS),
            )
            if isinstance(answer, result.Err):
                await curio.sleep(RETRY_SECONDS)
                continue
            batch = answer.ok_value
            for stored in batch.jobs:
                await self._take(stored)
            revision = batch.revision
            if len(batch.jobs) >= WATCH_LIMIT:
                revision = await self._load()

    async def _take(self, stored: repository.Stored) -> None:
        job = stored.record
        if job.final and job.job_id not in self._known:
            return
        if self._ledger.is_old(stored):
            return
        if job.run is not None and job.run.fencing_token > self._token:
            await self.fenced()
            return
        self._ledger.take(stored)
        await self._reconcile(job.job_id)

    async def _reconcile(self, job_id: ids.JobId) -> None:
        """Act on what a record says that this owner did not write."""
        job = self._ledger.get(job_id)
        if job is None:
            return
        running = self._runner_by_job.get(job_id)
        if running is not None:
            if job.cancel_requested:
                await self.put(events.JobCancelled(job_id=job_id))
                # The scheduler may not know the job, for example if its
                # class no longer exists.
                await running.tell(gang.StopAsked())
            return
        if job.final:
            await self._forget(job_id)
        elif job.state is record.JobState.COMMITTED:
            await self._forget(job_id, keep_record=True)
            await self._adopt(job)
        elif job_id not in self._known:
            self._known.add(job_id)
            await self.put(conversion.arrived(job))

    async def _forget(
        self,
        job_id: ids.JobId,
        *,
        keep_record: bool = False,
    ) -> None:
        if job_id in self._known:
            self._known.discard(job_id)
            await self.put(events.JobCancelled(job_id=job_id))
        if not keep_record:
            self._ledger.forget(job_id)
            self._reason_by_job.pop(job_id, None)

    # The scheduler.

    async def _decide(self) -> None:
        while True:
            event = await self._inbox.get()
            self._now = max(self._now, self._clock())
            for action in self._scheduler.handle(event, self._now):
                self._note(action)
                await self._perform_by_type[type(action)](action)

    def _note(self, action: events.Action) -> None:
        self._on_action(action)
        if action.job_id in self._known:
            text = f'{type(action).__name__}: {action.reason.value}'
            self._reason_by_job[action.job_id] = f'{text} {action.detail}'

    async def _tick(self) -> None:
        while True:
            await curio.sleep(TICK_SECONDS)
            await self.put(events.Tick())

    async def _start_job(self, action: events.StartJob) -> None:
        job = self._ledger.get(action.job_id)
        waiting = job is not None and job.state in record.WAITING_STATES
        if job is None:
            await self.put(events.JobCancelled(job_id=action.job_id))
            return
        if not waiting or action.job_id in self._runner_by_job:
            await self.put(
                events.JobFailed(
                    job_id=action.job_id,
                    attempt=action.attempt,
                    kind=events.FailureKind.START,
                    members_stopped=True,
                )
            )
            return
        runs, run_id = conversion.next_run(job)
        run = record.Run(
            run_id=run_id,
            attempt=action.attempt,
            fencing_token=self._token,
            members=action.members,
            commit_id=self._new_id(),
            committed_at=self._clock(),
        )
        await self._spawn_attempt(job, run, runs, gang.Begin())

    async def _checkpoint_job(self, action: events.CheckpointJob) -> None:
        running = self._runner_by_job.get(action.job_id)
        if running is not None:
            await running.tell(gang.CheckpointAsked())

    async def _stop_job(self, action: events.StopJob) -> None:
        running = self._runner_by_job.get(action.job_id)
        if running is not None:
            await running.tell(gang.StopAsked())
            return
        await self.put(
            events.JobStopped(job_id=action.job_id, attempt=action.attempt)
        )

    async def _release_job(self, action: events.ReleaseJob) -> None:
        """Nothing to do: a release follows what this controller reported."""

    async def _refuse_job(self, action: events.RefuseJob) -> None:
        self._known.discard(action.job_id)
        if action.reason in _SIZE_REASONS and not self._roster.complete:
            # Workers that this owner has not met yet may be large enough.
            await self._spawn(self._offer_again, action.job_id)
            return
        detail = f'{action.reason.value} {action.detail}'.strip()
        await self._spawn(self._write_refusal, action.job_id, detail)

    async def _offer_again(self, job_id: ids.JobId) -> None:
        await curio.sleep(OFFER_AGAIN_SECONDS)
        await self._reconcile(job_id)

    async def _write_refusal(self, job_id: ids.JobId, detail: str) -> None:

        def refuse(job: record.JobRecord) -> dict[str, typing.Any] | None:
            if job.state not in record.WAITING_STATES:
                return None
            return {
                'state': record.JobState.FAILED,
                'detail': detail,
                'ended_at': self._clock(),
            }

        if self._ledger.get(job_id) is not None:
            await self._ledger.write(job_id, refuse)
            await self._reconcile(job_id)

    # Attempts.

    async def _adopt(self, job: record.JobRecord) -> None:
        """Take over a committed gang of an earlier owner."""
        run = job.run
        assert run is not None
        if all(self._roster.is_up(item.worker_id) for item in run.members):
            self._known.add(job.job_id)
            await self.put(conversion.restored(job, run))
        await self._spawn_attempt(job, run, job.runs, gang.TakeOver())

    async def _spawn_attempt(
        self,
        job: record.JobRecord,
        run: record.Run,
        runs: int,
        first: gang.Event,
    ) -> None:
        slot = _Slot(self._starting)

        async def commit() -> gang.CommitResult:
            await slot.release()
            return await self._ledger.commit(job.job_id, run, runs)

        plan = runner.Plan(
            run_id=run.run_id,
            attempt=run.attempt,
            fencing_token=self._token,
            members=run.members,
            address_by_id=self._roster.address_by_id,
            payload=job.payload,
            checkpoint=job.checkpoint,
        )
        running = runner.GangRunner(
            plan,
            self._client,
            commit=commit,
            notify=functools.partial(self._notice, job.job_id, run),
        )
        self._runner_by_job[job.job_id] = running
        await self._spawn(self._attempt, job.job_id, run, running, first, slot)

    async def _attempt(
        self,
        job_id: ids.JobId,
        run: record.Run,
        running: runner.GangRunner,
        first: gang.Event,
        slot: _Slot,
    ) -> None:
        if isinstance(first, gang.TakeOver):
            adopt = functools.partial(
                conversion.adopt_changes, run, self._token
            )
            await self._ledger.write(job_id, adopt)
            job = self._ledger.get(job_id)
            if job is None or not conversion.holds(job, run):
                self._runner_by_job.pop(job_id, None)
                await self._reconcile(job_id)
                return
            if job.cancel_requested:
                await running.tell(gang.StopAsked())
        else:
            await slot.acquire()
        try:
            ended = await running.run(first)
        finally:
            await slot.release()
        await self._end_attempt(job_id, run, running, ended)

    async def _notice(
        self,
        job_id: ids.JobId,
        run: record.Run,
        notice: runner.Notice,
    ) -> None:
        if isinstance(notice, gang.Started):
            await self.put(
                events.JobStarted(job_id=job_id, attempt=run.attempt)
            )
        elif isinstance(notice, gang.Checkpointed):
            # In a task of its own: the gang is renewed meanwhile.
            await self._spawn(
                self._write_checkpoint, job_id, run, notice.checkpoint
            )
        else:
            _log.warning('no checkpoint of job {}: {}', job_id, notice.detail)

    async def _write_checkpoint(
        self,
        job_id: ids.JobId,
        run: record.Run,
        checkpoint: str,
    ) -> None:

        def note(job: record.JobRecord) -> dict[str, typing.Any] | None:
            if not conversion.holds(job, run) or job.checkpoint == checkpoint:
                return None
            return {'checkpoint': checkpoint}

        await self._ledger.write(job_id, note)
        job = self._ledger.get(job_id)
        if job is not None and job.checkpoint == checkpoint:
            await self.put(
                events.JobCheckpointed(job_id=job_id, attempt=run.attempt)
            )

    async def _end_attempt(
        self,
        job_id: ids.JobId,
        run: record.Run,
        running: runner.GangRunner,
        ended: gang.Ended,
    ) -> None:
        _log.info('job {}: {}', job_id, outcome.describe(ended))
        if ended.outcome is gang.Outcome.FENCED:
            await self.fenced()
            return
        if ended.committed:
            stored_result = await self._store_result(job_id, ended)
            decide = functools.partial(
                outcome.end_changes,
                ended,
                run.commit_id,
                stored_result,
                self._clock(),
            )
            await self._ledger.write(job_id, decide)
        if ended.outcome is gang.Outcome.FINISHED:
            # Only now: until the result is stored, the workers keep it for
            # a new owner.
            await running.release()
        self._runner_by_job.pop(job_id, None)
        if job_id in self._known:
            await self.put(outcome.scheduler_event(ended, job_id, run.attempt))
            if ended.outcome is gang.Outcome.FINISHED:
                self._known.discard(job_id)
        await self._reconcile(job_id)

    async def _store_result(
        self,
        job_id: ids.JobId,
        ended: gang.Ended,
    ) -> dict[str, typing.Any]:
        """Store the first member's result; return where it is."""
        value = ended.results[0] if ended.results else b''
        if len(value) <= record.MAX_INLINE_RESULT_BYTES:
            return {'result': value}
        if len(value) > record.MAX_RESULT_BYTES:
            return {
                'state': record.JobState.FAILED,
                'detail': f'the result has {len(value)} bytes',
            }
        while True:
            answer = await self._jobs.put_result(job_id, value)
            if isinstance(answer, result.Ok):
                return {'result_key': answer.ok_value}
            await curio.sleep(RETRY_SECONDS)

    # Workers.

    async def worker_changed(
        self,
        event: events.WorkerUp | events.WorkerDown,
    ) -> None:
        """Pass a worker's coming or going to the scheduler."""
        await self.put(event)

    async def worker_reported(
        self,
        worker_id: ids.WorkerId,
        tasks: typing.Sequence[workers.TaskReport],
    ) -> None:
        """Look for ended tasks and for tasks that belong to no run."""
        for task in tasks:
            running = self._runner_by_job.get(record.job_of_run(task.run_id))
            own = running is not None and running.plan.run_id == task.run_id
            if own and running is not None and task.phase not in _ACTIVE:
                await running.tell(gang.Reported(worker_id))
            if not own and task.phase in _ACTIVE and self._loaded:
                await self._spawn(self._stop_orphan, worker_id, task.run_id)

    async def _stop_orphan(
        self,
        worker_id: ids.WorkerId,
        run_id: ids.RunId,
    ) -> None:
        """Stop a task of no known run, unless an earlier owner committed it.

        Such a task is left over from an attempt whose messages were lost.
        """
        if run_id in self._orphans:
            return
        self._orphans.add(run_id)
        try:
            job_id = record.job_of_run(run_id)
            answer = await self._jobs.get(self._shard_id, job_id)
            if isinstance(answer, result.Err):
                return
            if answer.ok_value is not None:
                await self._take(answer.ok_value)
            running = self._runner_by_job.get(job_id)
            if running is None or running.plan.run_id != run_id:
                await self._send_stop(worker_id, run_id)
        finally:
            self._orphans.discard(run_id)

    async def _send_stop(
        self,
        worker_id: ids.WorkerId,
        run_id: ids.RunId,
    ) -> None:
        address = self._roster.address_by_id.get(worker_id)
        if address is None:
            return
        order = workers.Order(
            step=workers.Step.STOP,
            run_id=run_id,
            fencing_token=self._token,
        )
        await self._client.send(address, order)

    async def fenced(self) -> None:
        """Stop acting: a newer owner decides."""
        _log.warning('shard {} has a newer owner', self._shard_id)
        await self._stopped.set()

    # Tasks.

    async def _spawn(
        self,
        function: typing.Callable[..., typing.Awaitable[None]],
        *arguments: typing.Any,
    ) -> None:
        task = await curio.spawn(
            self._guarded, function, arguments, daemon=True
        )
        self._tasks.add(task)

    async def _guarded(
        self,
        function: typing.Callable[..., typing.Awaitable[None]],
        arguments: tuple[typing.Any, ...],
    ) -> None:
        try:
            await function(*arguments)
        except ledger.DeposedError as error:
            _log.warning('{}', error)
            await self.fenced()
        except Exception as error:
            # A job without its task would never end.
            _log.exception('{} failed', function.__name__)
            self._failure = error
            await self._stopped.set()
        finally:
            self._tasks.discard(await curio.current_task())


class _Slot:
    """One permit of a semaphore, given back once."""

    def __init__(self, permits: curio.Semaphore) -> None:
        self._permits = permits
        self._held = False

    async def acquire(self) -> None:
        await self._permits.acquire()
        self._held = True

    async def release(self) -> None:
        if self._held:
            self._held = False
            await self._permits.release()


__all__ = (
    'CONCURRENT_STARTS',
    'Controller',
    'OFFER_AGAIN_SECONDS',
    'OnAction',
    'TICK_SECONDS',
    'WATCH_LIMIT',
    'WATCH_SECONDS',
)
