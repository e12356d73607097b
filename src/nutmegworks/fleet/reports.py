"""Takes workers' reports into the leader's tables."""
from __future__ import annotations

import typing

import logbook

from nutmegworks.fleet import membership
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.fleet import worker_session
from nutmegworks.tasks import records
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('reports')

# A run may stand still this long; healthy ones gain a percent in far less.
STALL_SECONDS: typing.Final = 2.5
# Runs with a longer estimate gain a percent more seldom.
STALL_SHARE_OF_ESTIMATE: typing.Final = 0.1


class Reports(worker_session.Listener):
    """Applies reports, ends and lapses."""

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
        if worker.born != report.born:
            self._start_anew(worker, report)
        worker.note_answer(report, now)
        for end in report.ended:
            if end.number > worker.processed:
                worker.processed = end.number
                self._take_end(worker, end, now)
        listed = set()
        for status in report.running:
            listed.add((status.task, status.run))
            self._take_status(worker, status, now)
        for run in list(worker.runs_by_key.values()):
            if run.key not in listed and _must_be_listed(run, sent_at):
                self._state.lose_run(run, 'not on the worker')
        self._check_progress(worker, now)
        if worker.processed > worker.acknowledged:
            await self._acknowledge(worker, worker.processed)
        await self._state.notify()

    def _start_anew(
        self,
        worker: fleet_worker.Worker,
        report: workers.Report,
    ) -> None:
        if worker.born is not None:
            _LOG.info(
                'worker started anew',
                worker=worker.worker_id,
                runs=len(worker.runs_by_key),
            )
            self._state.worker_health.reset(worker.worker_id)
            self._state.worker_speeds.reset(worker.worker_id)
        worker.start_anew(report.born)
        for run in list(worker.runs_by_key.values()):
            if run.born != report.born:
                self._state.lose_run(run, 'worker started anew')

    def handle_lease_expiry(self, worker: fleet_worker.Worker) -> None:
        for run in list(worker.runs_by_key.values()):
            self._state.lose_run(run, 'lease ended')
        # Whatever it lists when it answers again starts a new account.
        worker.answered_at = None
        worker.adopted_until = membership.steady_clock()

    def _take_status(
        self,
        worker: fleet_worker.Worker,
        status: workers.RunStatus,
        now: float,
    ) -> None:
        run = worker.runs_by_key.get((status.task, status.run))
        if run is None:
            self._take_stray(worker, status, now)
            return
        run.note_progress(status.percent, status.saved, now)
        if run.phase in (table.RunPhase.ORDERED, table.RunPhase.ADOPTED):
            run.phase = table.RunPhase.RUNNING
            run.confirmed_at = now

    def _take_stray(
        self,
        worker: fleet_worker.Worker,
        status: workers.RunStatus,
        now: float,
    ) -> None:
        """Stop a run that no record knows, and account for its room."""
        job = self._state.jobs_by_id.get(status.task.job_id)
        step = None if job is None else job.step_of(status.task)
        _LOG.warning(
            'run without a record',
            task=status.task.name,
            run=status.run,
            worker=worker.worker_id,
            known_job=job is not None,
        )
        if step is None or job is None or worker.born is None:
            # Its lease ends by itself if nothing else renews it; nothing is
            # known of it that an order could name.
            return
        run = table.Run(
            status.task,
            status.run,
            worker.worker_id,
            worker.born,
            step,
            job.accepted.priority,
            table.RunPhase.RUNNING,
            now,
            sent=True,
        )
        self._state.add_run(job, run)
        self._state.stop_run(run, 'no record')

    def _take_end(
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
                state.drop_run(run, end.kind.value)
            return
        assigned = job.progress.assigned.get(table.task_name(end.task))
        # An end that an earlier leader stored is listed until it is
        # acknowledged, and must not count again.
        counts = (
            assigned is not None and assigned.run == end.run
            and assigned.worker == worker.worker_id
        )
        if run is not None:
            state.drop_run(run, end.kind.value)
        state.changed_ids.add(job.job_id)
        if end.saved and counts:
            job.progress.saved[job.unit(end.task)] = end.saved
        if end.kind is workers.EndKind.DONE:
            self._take_done(worker, job, end, run)
            return
        if end.kind is workers.EndKind.FAILED and counts:
            self._take_failure(worker, job, end, now)
        if run is not None:
            state.stop_gang(run, f'a member ended: {end.kind.value}')

    def _take_done(
        self,
        worker: fleet_worker.Worker,
        job: table.Job,
        end: workers.RunEnd,
        run: table.Run | None,
    ) -> None:
        self._state.worker_health.record_success(worker.worker_id)
        if job.submission.steps[end.task.step].endless:
            return
        known = end.task.index in job.done(end.task.occurrence, end.task.step)
        job.mark_done(end.task)
        if run is not None and not known:
            self._state.learn(worker, run)
        other = job.runs_by_task.get(end.task)
        if other is not None and not other.step.gang:
            self._state.stop_run(other, 'the task is done')
        if job.is_done():
            self._state.finish(job, records.JobState.SUCCEEDED)

    def _take_failure(
        self,
        worker: fleet_worker.Worker,
        job: table.Job,
        end: workers.RunEnd,
        now: float,
    ) -> None:
        suspect = self._state.worker_health.record_failure(
            worker.worker_id, job.job_id, now
        )
        job.failed_on.add(worker.worker_id)
        if suspect:
            _LOG.warning('worker is suspect', worker=worker.worker_id)
        progress = job.progress
        unit = job.unit(end.task)
        if progress.last_failed.get(unit, 0) >= end.run:
            return
        progress.last_failed[unit] = end.run
        progress.failures[unit] = progress.failures.get(unit, 0) + 1
        endless = job.submission.steps[end.task.step].endless
        if progress.failures[unit] >= job.accepted.attempts and not endless:
            self._state.finish(job, records.JobState.FAILED)

    def _check_progress(
        self,
        worker: fleet_worker.Worker,
        now: float,
    ) -> None:
        """Suspect a worker on which all runs stand still."""
        working = [
            run for run in worker.runs_by_key.values()
            if run.phase is table.RunPhase.RUNNING and not run.step.endless
            and run.first_percent is not None
        ]
        if not working or not all(_stands_still(run, now) for run in working):
            return
        _LOG.warning(
            'tasks stand still',
            worker=worker.worker_id,
            runs=len(working),
            percents=[run.percent for run in working],
        )
        self._state.worker_health.record_stall(worker.worker_id, now)
        for run in working:
            self._state.stop_run(run, 'stands still')
            self._state.stop_gang(run, 'a member stands still')


def _must_be_listed(run: table.Run, sent_at: float) -> bool:
    if run.phase is table.RunPhase.ADOPTED:
        # The earlier leader's order can't arrive any more: the report that
        # was asked for raised the worker's token.
        return True
    return run.confirmed_at is not None and sent_at > run.confirmed_at


def _stands_still(run: table.Run, now: float) -> bool:
    limit = max(STALL_SECONDS, STALL_SHARE_OF_ESTIMATE * run.step.estimate)
    return run.percent < 100 and now - run.progressed_at > limit


__all__ = ('Reports', )
