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
from nutmegworks.jobs import outcome
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.jobs import runner
from nutmegworks.jobs import shard_records
from nutmegworks.jobs import worker_monitor
from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import events

# The scheduler expects a tick at least once a second.
TICK_SECONDS: typing.Final = 1.0
# Longest time that one watch waits for a change.
WATCH_SECONDS: typing.Final = 20.0
RETRY_SECONDS: typing.Final = 0.5
# A watch that the store answers from outdated data may skip a record, so all
# records are read again after this time, with one call per 100 jobs.
RESYNC_SECONDS: typing.Final = 15.0
# Delay before a job that fits none of the workers reached so far is submitted
# to the scheduler again.
RESUBMIT_SECONDS: typing.Final = 5.0
# The store returns at most this many changes from one watch. A full answer may
# be truncated, so all records are read again.
WATCH_LIMIT: typing.Final = 1000
# Bounds the messages of starting gangs. Gangs that start concurrently cannot
# deadlock: the scheduler gives them different accelerators, and a gang that is
# refused a reservation releases all its members at once.
MAX_CONCURRENT_STARTS: typing.Final = 8

_ACTIVE_PHASES: typing.Final = frozenset(
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


def _new_commit_id() -> str:
    return uuid.uuid4().hex


class Controller:
    """Carries out the scheduler's actions with gangs and job records.

    :param configuration: currently in force; later ones are passed to
        ``submit_event``.
    :param clock: seconds since 1970.
    :param on_action: called with every action, for accounting.
    :param new_commit_id: returns a globally unique id.
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
        new_commit_id: typing.Callable[[], str] = _new_commit_id,
    ) -> None:
        self._shard_id = shard_id
        self._token = fencing_token
        self._scheduler = scheduler
        self._configuration = configuration
        self._jobs = jobs
        self._client = worker_client
        self._clock = clock
        self._on_action = on_action
        self._new_commit_id = new_commit_id
        self._now = 0.0
        self._records = shard_records.ShardRecords(
            jobs, shard_id, fencing_token
        )
        self._monitor = worker_monitor.WorkerMonitor(
            worker_client,
            list_workers,
            fencing_token,
            self,
        )
        self._inbox: curio.Queue = curio.Queue()
        self._stopped = curio.Event()
        self._failure: Exception | None = None
        self._start_permits = curio.Semaphore(MAX_CONCURRENT_STARTS)
        self._tasks: set[curio.Task] = set()
        self._runner_by_job: dict[ids.JobId, runner.GangRunner] = {}
        self._orphans_in_check: set[ids.RunId] = set()
        # Jobs that the scheduler has received and that have not ended.
        self._scheduled: set[ids.JobId] = set()
        self._reason_by_job: dict[ids.JobId, str] = {}
        self._records_loaded = False
        self._handler_by_type: dict[
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
        """Run until cancelled or until a newer owner is detected.

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

    async def submit_event(self, event: events.Event) -> None:
        """Queue an event, such as a new configuration, for the scheduler."""
        await self._inbox.put(event)

    def reason(self, job_id: ids.JobId) -> str:
        """Return the scheduler's last decision on a job; empty if unknown."""
        return self._reason_by_job.get(job_id, '')

    async def _run(self) -> None:
        # The scheduler refuses jobs that it receives before a configuration.
        await self.submit_event(
            events.ConfigurationChanged(configuration=self._configuration)
        )
        # The workers are fenced before the records are read, so that an
        # earlier owner cannot start anything on them afterwards.
        await self._monitor.poll_all()
        revision = await self._load()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._run_scheduler)
            await group.spawn(self._send_ticks)
            await group.spawn(self._monitor.run)
            await group.spawn(self._watch, revision)
        return group.result

    # Records.

    async def _load(self) -> ids.StoreRevision:
        """Read all records and return the revision from which to watch.

        Running jobs are processed before waiting ones, because they hold
        accelerators.
        """
        watch_from: ids.StoreRevision | None = None
        waiting: list[repository.StoredJob] = []
        after = ''
        while True:
            answer = await self._jobs.load(self._shard_id, after=after)
            if isinstance(answer, result.Err):
                _log.warning(
                    'loading job records failed, retrying: {}',
                    answer.err_value
                )
                await curio.sleep(RETRY_SECONDS)
                continue
            batch = answer.ok_value
            watch_from = batch.revision if watch_from is None else watch_from
            for stored in batch.jobs:
                if stored.record.state in record.WAITING_STATES:
                    waiting.append(stored)
                else:
                    await self._process_record(stored)
            if not batch.last_key:
                break
            after = batch.last_key
        for stored in waiting:
            await self._process_record(stored)
        self._records_loaded = True
        return watch_from

    async def _watch(self, revision: ids.StoreRevision) -> None:
        resync_at = time.monotonic() + RESYNC_SECONDS
        while True:
            remaining = resync_at - time.monotonic()
            if remaining <= 0:
                revision = await self._load()
                resync_at = time.monotonic() + RESYNC_SECONDS
                continue
            answer = await self._jobs.watch(
                self._shard_id,
                after=revision,
                wait=min(remaining, WATCH_SECONDS),
            )
            if isinstance(answer, result.Err):
                await curio.sleep(RETRY_SECONDS)
                continue
            batch = answer.ok_value
            for stored in batch.jobs:
                await self._process_record(stored)
            revision = batch.revision
            if len(batch.jobs) >= WATCH_LIMIT:
                revision = await self._load()

    async def _process_record(self, stored: repository.StoredJob) -> None:
        job = stored.record
        if job.final and job.job_id not in self._scheduled:
            return
        if self._records.is_outdated(stored):
            return
        if job.state is record.JobState.COMMITTED and not job.member_count:
            _log.error('skipping job {}: no member is committed', job.job_id)
            return
        if job.run is not None and job.run.fencing_token > self._token:
            await self.fenced()
            return
        self._records.observe(stored)
        await self._reconcile(job.job_id)

    async def _reconcile(self, job_id: ids.JobId) -> None:
        """Act on a record that changed or whose attempt has ended."""
        job = self._records.get(job_id)
        if job is None:
            return
        gang_runner = self._runner_by_job.get(job_id)
        if gang_runner is not None:
            if job.cancel_requested:
                await self.submit_event(events.JobCancelled(job_id=job_id))
                # The scheduler may not have the job, for example because its
                # class was removed.
                await gang_runner.submit_event(gang.StopRequested())
            return
        if job.final:
            await self._remove_job(job_id)
        elif job.state is record.JobState.COMMITTED:
            await self._remove_job(job_id, keep_record=True)
            await self._adopt(job)
        elif job_id not in self._scheduled:
            self._scheduled.add(job_id)
            await self.submit_event(conversion.job_arrived(job))

    async def _remove_job(
        self,
        job_id: ids.JobId,
        *,
        keep_record: bool = False,
    ) -> None:
        """Remove a job from the scheduler and from the cached records."""
        if job_id in self._scheduled:
            self._scheduled.discard(job_id)
            await self.submit_event(events.JobCancelled(job_id=job_id))
        if not keep_record:
            self._records.remove_ended(job_id)
            self._reason_by_job.pop(job_id, None)

    # The scheduler.

    async def _run_scheduler(self) -> None:
        while True:
            event = await self._inbox.get()
            self._now = max(self._now, self._clock())
            for action in self._scheduler.handle(event, self._now):
                self._record_action(action)
                await self._handler_by_type[type(action)](action)

    def _record_action(self, action: events.Action) -> None:
        self._on_action(action)
        if action.job_id in self._scheduled:
            text = f'{type(action).__name__}: {action.reason.value}'
            self._reason_by_job[action.job_id] = f'{text} {action.detail}'

    async def _send_ticks(self) -> None:
        while True:
            await curio.sleep(TICK_SECONDS)
            await self.submit_event(events.Tick())

    async def _start_job(self, action: events.StartJob) -> None:
        job = self._records.get(action.job_id)
        waiting = job is not None and job.state in record.WAITING_STATES
        if job is None:
            await self.submit_event(events.JobCancelled(job_id=action.job_id))
            return
        if not waiting or action.job_id in self._runner_by_job:
            await self.submit_event(
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
            commit_id=self._new_commit_id(),
            committed_at=self._clock(),
        )
        await self._spawn_attempt(job, run, runs, gang.Begin())

    async def _checkpoint_job(self, action: events.CheckpointJob) -> None:
        gang_runner = self._runner_by_job.get(action.job_id)
        if gang_runner is not None:
            await gang_runner.submit_event(gang.CheckpointRequested())

    async def _stop_job(self, action: events.StopJob) -> None:
        gang_runner = self._runner_by_job.get(action.job_id)
        if gang_runner is not None:
            await gang_runner.submit_event(gang.StopRequested())
            return
        await self.submit_event(
            events.JobStopped(job_id=action.job_id, attempt=action.attempt)
        )

    async def _release_job(self, action: events.ReleaseJob) -> None:
        """Do nothing: a release follows an end that was reported from here."""

    async def _refuse_job(self, action: events.RefuseJob) -> None:
        self._scheduled.discard(action.job_id)
        if action.reason in _SIZE_REASONS and not self._monitor.all_were_up:
            # Workers that this owner has not reached yet may be large enough.
            await self._spawn(self._resubmit, action.job_id)
            return
        detail = f'{action.reason.value} {action.detail}'.strip()
        await self._spawn(self._write_refusal, action.job_id, detail)

    async def _resubmit(self, job_id: ids.JobId) -> None:
        await curio.sleep(RESUBMIT_SECONDS)
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

        if self._records.get(job_id) is not None:
            await self._records.write(job_id, refuse)
            await self._reconcile(job_id)

    # Attempts.

    async def _adopt(self, job: record.JobRecord) -> None:
        """Take over a committed gang of an earlier owner."""
        run = job.run
        assert run is not None
        if all(self._monitor.is_up(item.worker_id) for item in run.members):
            self._scheduled.add(job.job_id)
            await self.submit_event(conversion.job_restored(job, run))
        await self._spawn_attempt(job, run, job.runs, gang.TakeOver())

    async def _spawn_attempt(
        self,
        job: record.JobRecord,
        run: record.Run,
        runs: int,
        first_event: gang.Event,
    ) -> None:
        permit = _StartPermit(self._start_permits)

        async def commit() -> gang.CommitResult:
            await permit.release()
            return await self._records.commit(job.job_id, run, runs)

        plan = runner.AttemptPlan(
            run_id=run.run_id,
            attempt=run.attempt,
            fencing_token=self._token,
            members=run.members,
            address_by_id=self._monitor.address_by_id,
            payload=job.payload,
            checkpoint=job.checkpoint,
        )
        gang_runner = runner.GangRunner(
            plan,
            self._client,
            commit=commit,
            notify=functools.partial(self._on_progress, job.job_id, run),
        )
        self._runner_by_job[job.job_id] = gang_runner
        await self._spawn(
            self._attempt, job.job_id, run, gang_runner, first_event, permit
        )

    async def _attempt(
        self,
        job_id: ids.JobId,
        run: record.Run,
        gang_runner: runner.GangRunner,
        first_event: gang.Event,
        permit: _StartPermit,
    ) -> None:
        if isinstance(first_event, gang.TakeOver):
            adopt = functools.partial(
                conversion.takeover_changes, run, self._token
            )
            await self._records.write(job_id, adopt)
            job = self._records.get(job_id)
            if job is None or not conversion.is_committed_run(job, run):
                self._runner_by_job.pop(job_id, None)
                await self._reconcile(job_id)
                return
            if job.cancel_requested:
                await gang_runner.submit_event(gang.StopRequested())
        else:
            await permit.acquire()
        try:
            ended = await gang_runner.run(first_event)
        finally:
            await permit.release()
        await self._end_attempt(job_id, run, gang_runner, ended)

    async def _on_progress(
        self,
        job_id: ids.JobId,
        run: record.Run,
        progress: runner.ProgressEvent,
    ) -> None:
        if isinstance(progress, gang.Started):
            await self.submit_event(
                events.JobStarted(job_id=job_id, attempt=run.attempt)
            )
        elif isinstance(progress, gang.Checkpointed):
            # Written by a separate task so that the gang is still renewed.
            await self._spawn(
                self._write_checkpoint, job_id, run, progress.checkpoint
            )
        else:
            _log.warning(
                'checkpoint of job {} failed: {}', job_id, progress.detail
            )

    async def _write_checkpoint(
        self,
        job_id: ids.JobId,
        run: record.Run,
        checkpoint: str,
    ) -> None:

        def add_checkpoint(
            job: record.JobRecord
        ) -> dict[str, typing.Any] | None:
            if (not conversion.is_committed_run(job, run)
                    or job.checkpoint == checkpoint):
                return None
            return {'checkpoint': checkpoint}

        await self._records.write(job_id, add_checkpoint)
        job = self._records.get(job_id)
        if job is not None and job.checkpoint == checkpoint:
            await self.submit_event(
                events.JobCheckpointed(job_id=job_id, attempt=run.attempt)
            )

    async def _end_attempt(
        self,
        job_id: ids.JobId,
        run: record.Run,
        gang_runner: runner.GangRunner,
        ended: gang.Ended,
    ) -> None:
        _log.info(
            'attempt of job {} ended: {}', job_id, outcome.describe(ended)
        )
        if ended.outcome is gang.Outcome.FENCED:
            await self.fenced()
            return
        if ended.may_be_committed:
            stored_result = await self._store_result(job_id, ended)
            decide = functools.partial(
                outcome.end_changes,
                ended,
                run.commit_id,
                stored_result,
                self._clock(),
            )
            await self._records.write(job_id, decide)
        if ended.outcome is gang.Outcome.FINISHED:
            # Until the result is stored, the workers must keep it for a new
            # owner.
            await gang_runner.release()
        self._runner_by_job.pop(job_id, None)
        if job_id in self._scheduled:
            await self.submit_event(
                outcome.scheduler_event(ended, job_id, run.attempt)
            )
            if ended.outcome is gang.Outcome.FINISHED:
                self._scheduled.discard(job_id)
        await self._reconcile(job_id)

    async def _store_result(
        self,
        job_id: ids.JobId,
        ended: gang.Ended,
    ) -> dict[str, typing.Any]:
        """Store the first member's result and return the record changes.

        A result above MAX_INLINE_RESULT_BYTES is stored under its own key;
        one above MAX_RESULT_BYTES fails the job.
        """
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
        """Pass the event to the scheduler."""
        await self.submit_event(event)

    async def worker_reported(
        self,
        worker_id: ids.WorkerId,
        tasks: typing.Sequence[workers.TaskReport],
    ) -> None:
        """Detect tasks that have ended and tasks without a known run."""
        for task in tasks:
            gang_runner = self._runner_by_job.get(
                record.job_id_of_run(task.run_id)
            )
            is_current = (
                gang_runner is not None
                and gang_runner.plan.run_id == task.run_id
            )
            if (is_current and gang_runner is not None
                    and task.phase not in _ACTIVE_PHASES):
                await gang_runner.submit_event(gang.TaskEndReported(worker_id))
            if (not is_current and task.phase in _ACTIVE_PHASES
                    and self._records_loaded):
                await self._spawn(self._stop_orphan, worker_id, task.run_id)

    async def _stop_orphan(
        self,
        worker_id: ids.WorkerId,
        run_id: ids.RunId,
    ) -> None:
        """Stop a task of an unknown run, unless an earlier owner committed it.

        Such a task remains from an attempt whose messages were lost.
        """
        if run_id in self._orphans_in_check:
            return
        self._orphans_in_check.add(run_id)
        try:
            job_id = record.job_id_of_run(run_id)
            answer = await self._jobs.get(self._shard_id, job_id)
            if isinstance(answer, result.Err):
                return
            if answer.ok_value is not None:
                await self._process_record(answer.ok_value)
            gang_runner = self._runner_by_job.get(job_id)
            if gang_runner is None or gang_runner.plan.run_id != run_id:
                await self._send_stop(worker_id, run_id)
        finally:
            self._orphans_in_check.discard(run_id)

    async def _send_stop(
        self,
        worker_id: ids.WorkerId,
        run_id: ids.RunId,
    ) -> None:
        address = self._monitor.address_by_id.get(worker_id)
        if address is None:
            return
        order = workers.Order(
            step=workers.Step.STOP,
            run_id=run_id,
            fencing_token=self._token,
        )
        await self._client.send(address, order)

    async def fenced(self) -> None:
        """Stop the controller, because the shard has a newer owner."""
        _log.warning(
            'controller of shard {} stops: the shard has a newer owner',
            self._shard_id
        )
        await self._stopped.set()

    # Tasks.

    async def _spawn(
        self,
        function: typing.Callable[..., typing.Awaitable[None]],
        *arguments: typing.Any,
    ) -> None:
        task = await curio.spawn(
            self._run_task, function, arguments, daemon=True
        )
        self._tasks.add(task)

    async def _run_task(
        self,
        function: typing.Callable[..., typing.Awaitable[None]],
        arguments: tuple[typing.Any, ...],
    ) -> None:
        try:
            await function(*arguments)
        except shard_records.NewerOwnerError as error:
            _log.warning('{}', error)
            await self.fenced()
        except Exception as error:
            # A job whose task has failed would never end.
            _log.exception('controller task {} failed', function.__name__)
            self._failure = error
            await self._stopped.set()
        finally:
            self._tasks.discard(await curio.current_task())


class _StartPermit:
    """A permit of a semaphore that is released at most once."""

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
    'Controller',
    'MAX_CONCURRENT_STARTS',
    'OnAction',
    'RESUBMIT_SECONDS',
    'TICK_SECONDS',
    'WATCH_LIMIT',
    'WATCH_SECONDS',
)
