"""Applies workers' reports to the leader's state."""
from __future__ import annotations

import math
import typing

import logbook

from nutmegworks.fleet import membership
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.fleet import worker_session
from nutmegworks.policy import run_stops
from nutmegworks.policy import worker_health
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('reports')

# A run has stalled if its progress does not change for this time. On a healthy
# worker it changes by a percent in much less.
STALL_SECONDS: typing.Final = 2.5
# Share of the estimate that is allowed instead if it is longer: long runs take
# more time for a percent.
STALL_SHARE_OF_ESTIMATE: typing.Final = 0.1


class Reports(worker_session.Listener):
    """Applies reports, ends of runs and losses of workers."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        acknowledge: typing.Callable[
            [fleet_worker.Worker, int],
            typing.Awaitable[None],
        ],
    ) -> None:
        self._state = state
        self._acknowledge = acknowledge

    async def handle_report(
        self,
        worker: fleet_worker.Worker,
        report: workers.Report,
        sent_at: float,
    ) -> None:
        now = membership.steady_clock()
        if worker.incarnation != report.incarnation:
            self._handle_restart(worker, report)
        worker.record_answer(report, now)
        for end in report.ended:
            if end.number > worker.processed:
                worker.processed = end.number
                self._apply_end(worker, end, now)
        reported = set()
        for status in report.running:
            reported.add((status.task, status.run))
            self._apply_status(worker, status, sent_at, now)
        for run in list(worker.runs_by_key.values()):
            if run.key not in reported and _must_be_reported(run, sent_at):
                self._state.lose_run(
                    run, 'not reported by the worker', worker_answers=True
                )
        self._check_progress(worker, now)
        if worker.processed > worker.acknowledged:
            await self._acknowledge(worker, worker.processed)
        await self._state.notify()

    def _handle_restart(
        self,
        worker: fleet_worker.Worker,
        report: workers.Report,
    ) -> None:
        if worker.incarnation is not None:
            _LOG.info(
                'worker restarted',
                worker=worker.worker_id,
                runs=len(worker.runs_by_key),
            )
            self._state.worker_health.reset(worker.worker_id)
            self._state.worker_speeds.reset(worker.worker_id)
        worker.reset_for_incarnation(report.incarnation)
        self._state.lose_reported_runs(
            worker, 'worker restarted', report.incarnation
        )
        # The start requests of the others may have reached the new
        # incarnation. Its reports tell whether they did.
        for run in worker.runs_by_key.values():
            if run.incarnation != report.incarnation:
                run.incarnation = report.incarnation
                self._state.repeat_stop(run, 'worker restarted')

    async def handle_lease_expiry(self, worker: fleet_worker.Worker) -> None:
        now = membership.steady_clock()
        for run in list(worker.runs_by_key.values()):
            # A run that was not reported may be in a later incarnation.
            if run.reported or worker.all_leases_expired(now):
                self._state.lose_run(run, 'lease expired')
        # Once it answers again, its lease is tracked from that answer.
        worker.forget_clock(now)
        await self._state.notify()

    async def handle_replacement(self, worker: fleet_worker.Worker) -> None:
        self._state.lose_reported_runs(worker, 'worker replaced')
        await self._state.notify()

    def _apply_status(
        self,
        worker: fleet_worker.Worker,
        status: workers.RunStatus,
        sent_at: float,
        now: float,
    ) -> None:
        run = worker.runs_by_key.get((status.task, status.run))
        if run is None:
            self._stop_unrecorded_run(worker, status, now)
            return
        run.record_progress(status.percent, status.checkpoint, now)
        job = self._state.jobs_by_id.get(run.task.job_id)
        if job is not None:
            job.record_start()
        if run.rate.update(status.percent, now):
            self._state.compare_rate(worker, run)
        if run.phase in (table.RunPhase.ORDERED, table.RunPhase.ADOPTED):
            run.phase = table.RunPhase.RUNNING
            run.confirmed_at = now
        elif (run.phase is table.RunPhase.STOPPING
              and run_stops.must_repeat_stop(run.confirmed_at, sent_at)):
            self._state.repeat_stop(run, 'still listed')

    def _stop_unrecorded_run(
        self,
        worker: fleet_worker.Worker,
        status: workers.RunStatus,
        now: float,
    ) -> None:
        """Stop a run without a record; count its resources until it ends.

        If its job is not known, it may use all of its worker.
        """
        job = self._state.jobs_by_id.get(status.task.job_id)
        step = None if job is None else job.step_of(status.task)
        _LOG.warning(
            'worker reports a run without a record',
            task=status.task.name,
            run=status.run,
            worker=worker.worker_id,
            known_job=job is not None,
        )
        assert worker.incarnation is not None
        if step is None:
            step = spec.Step(status.task.step, 1, worker.entry.resources)
        run = table.Run(
            status.task,
            status.run,
            worker.worker_id,
            worker.incarnation,
            step,
            0 if job is None else job.accepted.priority,
            table.RunPhase.RUNNING,
            now,
            sent=True,
        )
        run.record_progress(status.percent, status.checkpoint, now)
        self._state.add_run(job, run)
        self._state.stop_run(run, 'no record')

    def _apply_end(
        self,
        worker: fleet_worker.Worker,
        end: workers.RunEnd,
        now: float,
    ) -> None:
        state = self._state
        job = state.jobs_by_id.get(end.task.job_id)
        step = None if job is None else job.step_of(end.task)
        run = worker.runs_by_key.get((end.task, end.run))
        if job is None or step is None:
            if run is not None:
                state.release_run(run, end.kind.value)
            return
        assigned = job.progress.assigned.get(table.task_name(end.task))
        # An end that an earlier leader stored is reported until it is
        # acknowledged, and must not be counted again.
        is_current = (
            assigned is not None and assigned.run == end.run
            and assigned.worker == worker.worker_id
        )
        if run is not None:
            state.release_run(run, end.kind.value)
        state.changed_ids.add(job.job_id)
        job.record_start()
        if end.checkpoint and is_current:
            job.progress.saved[job.attempt_key(end.task)] = end.checkpoint
        if end.kind is workers.EndKind.DONE:
            self._apply_success(worker, job, end, run)
            return
        if end.kind is workers.EndKind.FAILED and is_current:
            ordered_at = math.inf if run is None else run.ordered_at
            self._apply_failure(worker, job, end, now, ordered_at)
        if run is not None:
            state.stop_gang(run, f'a member ended: {end.kind.value}')

    def _apply_success(
        self,
        worker: fleet_worker.Worker,
        job: table.Job,
        end: workers.RunEnd,
        run: table.Run | None,
    ) -> None:
        self._state.worker_health.record_success(worker.worker_id)
        if job.submission.steps[end.task.step].endless:
            return
        was_done = end.task.index in job.done(
            end.task.occurrence, end.task.step
        )
        job.mark_done(end.task)
        if run is not None and not was_done:
            self._state.record_duration(worker, run)
        other = job.runs_by_task.get(end.task)
        if other is not None and not other.step.gang:
            self._state.stop_run(other, 'the task is done')
        if job.is_done():
            self._state.finish(job, records.JobState.SUCCEEDED)

    def _apply_failure(
        self,
        worker: fleet_worker.Worker,
        job: table.Job,
        end: workers.RunEnd,
        now: float,
        ordered_at: float,
    ) -> None:
        progress = job.progress
        key = job.attempt_key(end.task)
        failed_ids = job.failed_ids_by_key.setdefault(key, set())
        failed_ids.add(worker.worker_id)
        if not worker_health.is_own_fault(len(failed_ids) - 1):
            became_suspect = self._state.worker_health.record_failure(
                worker.worker_id, job.job_id, now, ordered_at
            )
            if became_suspect:
                _LOG.warning('worker is suspect', worker=worker.worker_id)
        job.failed_at_by_worker[worker.worker_id] = now
        if progress.last_failed.get(key, 0) >= end.run:
            return
        progress.last_failed[key] = end.run
        progress.failures[key] = progress.failures.get(key, 0) + 1
        endless = job.submission.steps[end.task.step].endless
        if progress.failures[key] >= job.accepted.attempts and not endless:
            self._state.finish(job, records.JobState.FAILED)

    def _check_progress(
        self,
        worker: fleet_worker.Worker,
        now: float,
    ) -> None:
        """Make a worker a suspect if all of its runs have stalled.

        Runs that stay end its probation.
        """
        self._state.worker_health.record_running(
            worker.worker_id,
            [
                run.first_percent_at
                for run in worker.runs_by_key.values()
                if run.phase is table.RunPhase.RUNNING and run.at_work
            ],
            now,
        )
        running = [
            run for run in worker.runs_by_key.values()
            if run.phase is table.RunPhase.RUNNING and not run.step.endless
            and run.first_percent is not None
        ]
        if not running or not all(_is_stalled(run, now) for run in running):
            return
        _LOG.warning(
            'all runs on a worker stalled',
            worker=worker.worker_id,
            runs=len(running),
            percents=[run.percent for run in running],
        )
        self._state.worker_health.record_stall(worker.worker_id, now)
        for run in running:
            self._state.stop_run(run, 'stalled')
            self._state.stop_gang(run, 'a member stalled')


def _must_be_reported(run: table.Run, sent_at: float) -> bool:
    if run.phase is table.RunPhase.ADOPTED:
        # The earlier leader's start request can't be accepted any more: the
        # renewal that asked for this report raised the worker's token.
        return True
    return run.confirmed_at is not None and sent_at > run.confirmed_at


def _is_stalled(run: table.Run, now: float) -> bool:
    limit = max(STALL_SECONDS, STALL_SHARE_OF_ESTIMATE * run.step.estimate)
    return run.percent < 100 and now - run.progressed_at > limit


__all__ = ('Reports', )
