"""Jobs, workers and runs in the leader; only its controllers change them."""
from __future__ import annotations

import collections
import time
import typing

import curio
import logbook

from nutmegworks.fleet import lost_runs
from nutmegworks.fleet import membership
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.policy import run_stops
from nutmegworks.policy import task_durations
from nutmegworks.policy import worker_health
from nutmegworks.policy import worker_speeds
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from nutmegworks.telemetry import fleetmetrics

_LOG: typing.Final = logbook.Logger('state')

# Share of a run's duration, from start request to end, that counts towards the
# objective of its job, which covers only the work itself on a typical worker.
# The work takes 0.65 to 0.75 of the duration on both large sites.
WORK_SHARE: typing.Final = 0.75


class FleetState:
    """State of one term of leadership."""

    def __init__(self, metrics: fleetmetrics.FleetMetrics) -> None:
        self.metrics = metrics
        self.jobs_by_id: dict[ids.JobId, table.Job] = {}
        self.workers_by_id: dict[ids.WorkerId, fleet_worker.Worker] = {}
        self.cancelled_ids: set[ids.JobId] = set()
        # Jobs whose records are being removed. A listing that was made before
        # the removal must not add them again.
        self.removed_ids: set[ids.JobId] = set()
        # Jobs of whose tasks it is not known what has run. They are not
        # scheduled, and their records stay as they are.
        self.unreadable_ids: set[ids.JobId] = set()
        self.worker_health = worker_health.WorkerHealth()
        self.worker_speeds = worker_speeds.WorkerSpeeds()
        self.task_durations = task_durations.DurationModel()
        # Set when the scheduler may be able to decide something new.
        self.round_needed = curio.Event()
        # Jobs with changes that are not stored yet.
        self.changed_ids: set[ids.JobId] = set()
        self.store_needed = curio.Event()
        # Runs to which Orders has yet to send a stop request.
        self.runs_to_stop: collections.deque[table.Run] = collections.deque()
        self.stop_needed = curio.Event()

    async def notify(self) -> None:
        """Wake all controllers after changes."""
        await self.round_needed.set()
        await self.notify_store_and_stops()

    async def notify_store_and_stops(self) -> None:
        """Wake the controllers that store records and send stop requests."""
        if self.changed_ids:
            await self.store_needed.set()
        if self.runs_to_stop:
            await self.stop_needed.set()

    def encode(self, job_id: ids.JobId) -> bytes | None:
        """Return a job's progress for the store, None if it is removed."""
        job = self.jobs_by_id.get(job_id)
        return None if job is None else job.encode_progress()

    def add_run(self, job: table.Job | None, run: table.Run) -> None:
        worker = self.workers_by_id.get(run.worker_id)
        if worker is not None:
            worker.runs_by_key[run.key] = run
        if job is not None:
            job.runs_by_task.setdefault(run.task, run)

    def release_run(self, run: table.Run, reason: str) -> None:
        """Remove a run that has ended; its resources are free."""
        if run.released:
            return
        run.released = True
        worker = self.workers_by_id.get(run.worker_id)
        if worker is not None:
            worker.runs_by_key.pop(run.key, None)
        job = self.jobs_by_id.get(run.task.job_id)
        if job is None:
            return
        if job.runs_by_task.get(run.task) is run:
            del job.runs_by_task[run.task]
        if run.started:
            job.record_idle(run, membership.steady_clock())
        name = table.task_name(run.task)
        assigned = job.progress.assigned.get(name)
        if assigned is not None and assigned.run == run.number:
            del job.progress.assigned[name]
            self.changed_ids.add(job.job_id)
        _LOG.info(
            'run ended',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            reason=reason,
            percent=run.percent,
            started=run.started,
            reported=run.reported,
            worker_ended=run.worker_ended,
            age=round(membership.steady_clock() - run.ordered_at, 3),
        )

    def lose_run(
        self,
        run: table.Run,
        reason: str,
        *,
        worker_answers: bool = False,
    ) -> None:
        """Remove a run whose end was not reported, and stop its gang.

        The job fails if too many workers have crashed under the task.

        :param worker_answers: a report that should list the run does not.
        """
        if run.released:
            return
        self.release_run(run, reason)
        self.metrics.lost_runs.inc(
            {'worker': 'ended' if run.worker_ended else 'unknown'}
        )
        self.stop_gang(run, f'a member was lost: {reason}')
        self._count_loss(run, worker_answers)

    def _count_loss(self, run: table.Run, worker_answers: bool) -> None:
        job = self.jobs_by_id.get(run.task.job_id)
        worker = self.workers_by_id.get(run.worker_id)
        if job is None or job.final:
            return
        if lost_runs.count(job, run, worker, worker_answers):
            self.changed_ids.add(job.job_id)
            if lost_runs.is_given_up(job, run.task):
                self.finish(job, records.JobState.FAILED)

    def lose_reported_runs(
        self,
        worker: fleet_worker.Worker,
        reason: str,
        successor: workers.WorkerIncarnation | None = None,
    ) -> None:
        """Remove the runs that an incarnation reported before it ended.

        A run that was not reported may have been started by its successor.

        :param successor: the incarnation that follows under the worker's id,
            None if another worker has its address.
        """
        for run in list(worker.runs_by_key.values()):
            run.worker_ended = run.incarnation != successor
            if run.reported:
                self.lose_run(run, reason)

    def lose_runs_of_unknown_workers(self) -> None:
        """Remove adopted runs whose workers are not registered any more.

        Call it after all leases granted by earlier leaders have expired.
        """
        for job in self.jobs_by_id.values():
            for run in list(job.runs_by_task.values()):
                if run.worker_id not in self.workers_by_id:
                    self.lose_run(run, 'worker not registered')

    def stop_run(self, run: table.Run, reason: str) -> None:
        """Request a stop; the run uses its resources until it has ended."""
        if run.released or run.phase is table.RunPhase.STOPPING:
            return
        was_sent = run.sent or run.phase is table.RunPhase.ADOPTED
        run.phase = table.RunPhase.STOPPING
        run.stopped_at = membership.steady_clock()
        run.confirmed_at = None
        if not was_sent:
            self.release_run(run, reason)
            return
        _LOG.info(
            'stopping a run',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            reason=reason,
            percent=run.percent,
        )
        self.metrics.stops.inc({})
        self.runs_to_stop.append(run)

    def repeat_stop(self, run: table.Run, reason: str) -> None:
        """Request again the stop of a run that may not have ended.

        It has no effect while the last request is still being sent.
        """
        if (run.released or run.phase is not table.RunPhase.STOPPING
                or run.confirmed_at is None):
            return
        _LOG.info(
            'stopping a run again',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            reason=reason,
        )
        run.confirmed_at = None
        self.runs_to_stop.append(run)

    def jobs_with_runs(self) -> set[ids.JobId]:
        """Return the jobs of all runs that have not ended."""
        job_ids = {
            run.task.job_id
            for worker in self.workers_by_id.values()
            for run in worker.runs_by_key.values()
        }
        job_ids.update(
            job_id for job_id, job in self.jobs_by_id.items()
            if job.runs_by_task
        )
        return job_ids

    def stop_gang(self, run: table.Run, reason: str) -> None:
        """Stop the other members of a run's gang."""
        if not run.step.gang:
            return
        job = self.jobs_by_id.get(run.task.job_id)
        if job is None:
            return
        for other in list(job.runs_by_task.values()):
            same_step = (other.task.occurrence, other.task.step
                         ) == (run.task.occurrence, run.task.step)
            if same_step and other is not run:
                self.stop_run(other, reason)

    def finish(self, job: table.Job, state: records.JobState) -> None:
        """Set a job's final state and stop its remaining runs."""
        if job.final:
            return
        job.progress.state = state
        job.progress.ended_at = time.time()
        self.changed_ids.add(job.job_id)
        age = membership.steady_clock() - job.arrived_at
        labels = {'queue': job.accepted.queue}
        self.metrics.jobs_ended.inc({**labels, 'state': state.value})
        self.metrics.job_seconds.observe(labels, age)
        for cause, seconds in job.wait_times.seconds_by_cause.items():
            self.metrics.wait_seconds.add({**labels, 'cause': cause}, seconds)
        _LOG.info(
            'job ended',
            job=job.job_id,
            queue=job.accepted.queue,
            state=state.value,
            age=round(age, 3),
            objective=round(self.objective(job), 3),
            failures=sum(job.progress.failures.values()),
            starts=sum(job.progress.runs.values()),
            waited={
                cause: round(seconds, 3)
                for cause, seconds in job.wait_times.seconds_by_cause.items()
            },
        )
        succeeded = state is records.JobState.SUCCEEDED
        for run in list(job.runs_by_task.values()):
            # The first end of a gang finishes its job; the other members
            # have ended too and are reported soon.
            if not (succeeded and run.step.gang):
                self.stop_run(run, f'job {state.value}')

    def add_job(
        self,
        job_id: ids.JobId,
        accepted: records.AcceptedJob,
        submission: spec.Submission,
        progress: records.Progress | None,
        sequence: int,
    ) -> table.Job:
        """Add an accepted job and adopt its runs of an earlier leader.

        Those that the earlier leader was to stop are stopped.
        """
        age = min(60.0, max(0.0, time.time() - accepted.accepted_at))
        now = membership.steady_clock()
        job = table.Job(
            job_id,
            accepted,
            submission,
            progress or records.Progress(),
            sequence,
            arrived_at=now - age,
            # An earlier leader has decided on a job with progress.
            waits_since=now - age if progress is None else now,
        )
        self.jobs_by_id[job_id] = job
        for name, assignment in list(job.progress.assigned.items()):
            self._adopt(job, name, assignment)
        if job_id in self.cancelled_ids:
            self.finish(job, records.JobState.CANCELLED)
        for run in list(job.runs_by_task.values()):
            if run_stops.must_stop(_stored_run(job, run)):
                self.stop_run(run, 'an earlier leader was to stop it')
        return job

    def _adopt(
        self,
        job: table.Job,
        name: str,
        assignment: records.Assignment,
    ) -> None:
        try:
            task = table.parse_task(job.job_id, name)
        except ValueError:
            task = None
        step = None if task is None else job.step_of(task)
        if task is None or step is None:
            _LOG.error(
                'progress record names an unknown task',
                job=job.job_id,
                task=name,
            )
            return
        run = table.Run(
            task,
            workers.RunNumber(assignment.run),
            ids.WorkerId(assignment.worker),
            workers.WorkerIncarnation(assignment.born),
            step,
            job.accepted.priority,
            table.RunPhase.ADOPTED,
            membership.steady_clock(),
            sent=True,
        )
        self.add_run(job, run)

    def cancel(self, job_id: ids.JobId) -> None:
        """Cancel a job, also one that has not been added yet."""
        self.cancelled_ids.add(job_id)
        job = self.jobs_by_id.get(job_id)
        if job is not None:
            self.finish(job, records.JobState.CANCELLED)

    def public_state(self, job_id: ids.JobId) -> records.JobState | None:
        """Return the state that clients may see, None for an unknown job.

        A final state is shown only after it is stored.
        """
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return None
        if records.IS_FINAL[job.stored_state]:
            return job.stored_state
        if job.final:
            return records.JobState.ACTIVE
        return job.progress.state

    def expected_seconds(self, job: table.Job, step: spec.Step) -> float:
        """Return the seconds that a task is expected to take."""
        return self.task_durations.expected(job.accepted.queue, step.estimate)

    def objective(self, job: table.Job) -> float:
        """Return the seconds from acceptance to a job's objective."""
        chain = job.total_chain_seconds(
            lambda step: self.expected_seconds(job, step)
        )
        share = (
            WORK_SHARE if job.accepted.queue in self.task_durations else 1.0
        )
        return job.accepted.stretch * chain * share + job.accepted.target

    def record_duration(
        self,
        worker: fleet_worker.Worker,
        run: table.Run,
    ) -> None:
        """Update the estimates of durations and speeds from a finished run.

        Runs that were resumed or adopted are ignored, because their durations
        are not those of whole tasks. Speeds of workers are compared only for
        independent tasks that ran in the rack of their data, if any.
        """
        job = self.jobs_by_id.get(run.task.job_id)
        if job is None or run.resumed or run.expected is None:
            return
        seconds = membership.steady_clock() - run.ordered_at
        self.task_durations.observe(
            job.accepted.queue, run.step.estimate, seconds
        )
        if not _is_comparable(worker, run):
            return
        key = table.step_key(run.task.occurrence, run.task.step)
        by_worker = job.seconds_by_step.setdefault(key, {})
        by_worker.setdefault(worker.worker_id, []).append(seconds)
        if job.step_is_done(run.task.occurrence, run.step):
            self.worker_speeds.compare(job.seconds_by_step.pop(key))

    def compare_rate(
        self,
        worker: fleet_worker.Worker,
        run: table.Run,
    ) -> None:
        """Update the estimate of a worker's speed from a run's progress."""
        job = self.jobs_by_id.get(run.task.job_id)
        if (job is None or run.rate.value is None
                or not _is_comparable(worker, run)):
            return
        others = []
        for other in job.runs_by_task.values():
            other_worker = self.workers_by_id.get(other.worker_id)
            if (other is not run and other.rate.value is not None
                    and other.step.number == run.step.number
                    and other_worker is not None
                    and _is_comparable(other_worker, other)):
                others.append((other.worker_id, other.rate.value))
        self.worker_speeds.compare_rate(
            worker.worker_id, run.rate.value, others
        )

    def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs without a started task.

        Jobs of which a task may have started are included.
        """
        return sum(not job.begun for job in self._unfinished_jobs(queue))

    def awaits_first_reports(self, queue: str) -> bool:
        """Return whether a task of one of a queue's jobs may have started."""
        return any(job.may_have_begun for job in self._unfinished_jobs(queue))

    def _unfinished_jobs(self, queue: str) -> typing.Iterator[table.Job]:
        return (
            job for job in self.jobs_by_id.values()
            if job.accepted.queue == queue and not job.final
        )


def _stored_run(job: table.Job, run: table.Run) -> run_stops.StoredRun:
    done = job.done(run.task.occurrence, run.task.step)
    members = [
        other.number
        for other in job.runs_by_task.values()
        if (other.task.occurrence,
            other.task.step) == (run.task.occurrence, run.task.step)
    ]
    return run_stops.StoredRun(
        job_ended=job.final,
        task_done=run.task.index in done,
        gang_incomplete=(
            run.step.gang and run_stops.is_incomplete(members, run.step.count)
        ),
    )


def _is_comparable(worker: fleet_worker.Worker, run: table.Run) -> bool:
    """Return whether a run's pace tells the speed of its worker.

    Members of a gang wait for each other, and tasks away from their data are
    slow on any worker.
    """
    return (
        not run.step.gang and run.step.data_rack in ('', worker.entry.rack)
    )


__all__ = ('FleetState', )
