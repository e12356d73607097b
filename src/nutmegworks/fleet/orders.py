"""Sends start and stop requests, and repeats those without an answer."""
from __future__ import annotations

import typing

import curio
import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import journal as journals
from nutmegworks.fleet import membership
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.model import ids
from nutmegworks.tasks import records
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('orders')

# Unanswered attempts, each of at most 0.6 s, after which a start request is
# withdrawn. A gang's members wait 3 s for each other, so the number is limited
# to two attempts.
START_ATTEMPTS: typing.Final = 2
STOP_RETRY_SECONDS: typing.Final = 0.2
# A worker that rejected a start request gets no other for this time.
REJECTION_PAUSE_SECONDS: typing.Final = 0.5
# Nothing of a job is started for this time after a worker rejected its start
# request as invalid.
INVALID_PAUSE_SECONDS: typing.Final = 2.0
# Interval at which a leader checks whether it may send requests again, after
# its lease was not renewed in time.
MAY_ORDER_POLL_SECONDS: typing.Final = 0.1
# A worker answers an acknowledgement in a few milliseconds.
ACKNOWLEDGEMENT_POLL_SECONDS: typing.Final = 0.005

# Outcomes of a start request after which the run cannot have started, and
# those after which the request is repeated.
_NOT_STARTED: typing.Final = frozenset(
    {
        workers.StartOutcome.NO_RESOURCES,
        workers.StartOutcome.UNHEALTHY,
        workers.StartOutcome.WRONG_WORKER,
        workers.StartOutcome.INVALID,
        workers.StartOutcome.STALE_RUN,
    }
)
_RETRY: typing.Final = frozenset(
    {workers.StartOutcome.UNKNOWN, workers.StartOutcome.LEASE_EXPIRED}
)


class Orders:
    """Sends the scheduler's decisions to the workers."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        client: interfaces.WorkerClient,
        journal: journals.Journal,
        member: membership.Membership,
        token: ids.FencingToken,
        step_down: typing.Callable[[str], typing.Awaitable[None]],
    ) -> None:
        self._state = state
        self._client = client
        self._journal = journal
        self._member = member
        self._token = token
        self._step_down = step_down

    async def run(self) -> None:
        """Send a stop request for each queued run, until cancelled."""
        while True:
            await self._state.stop_needed.wait()
            self._state.stop_needed.clear()
            while self._state.runs_to_stop:
                run = self._state.runs_to_stop.popleft()
                await curio.spawn(self._stop_run, run, daemon=True)

    async def start_runs(
        self,
        job: table.Job,
        runs: typing.Sequence[table.Run],
    ) -> None:
        """Store the runs' assignments, then request their starts."""
        await self._journal.persist([job.job_id])
        for run in runs:
            await curio.spawn(self._start_run, job, run, daemon=True)

    async def _start_run(self, job: table.Job, run: table.Run) -> None:
        fresh = False
        for _ in range(START_ATTEMPTS):
            await self._wait_until_allowed(run)
            outcome = await self._try_start(job, run, fresh)
            if outcome not in _RETRY:
                await self._apply_outcome(job, run, outcome, fresh)
                return
            worker = self._state.workers_by_id.get(run.worker_id)
            if worker is not None:
                # It gets no more work until it answers a renewal.
                worker.unanswered_at = membership.steady_clock()
            fresh = True
        _LOG.info(
            'start request not answered',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
        )
        self._withdraw(run, 'no answer')
        await self._state.notify()

    async def _wait_until_allowed(self, run: table.Run) -> None:
        while True:
            if not self._member.may_act_as_leader():
                await curio.sleep(MAY_ORDER_POLL_SECONDS)
                continue
            worker = self._state.workers_by_id.get(run.worker_id)
            if worker is None or worker.may_start(membership.steady_clock()):
                return
            await curio.sleep(ACKNOWLEDGEMENT_POLL_SECONDS)

    async def _try_start(
        self,
        job: table.Job,
        run: table.Run,
        fresh: bool,
    ) -> workers.StartOutcome | None:
        """Request a start; return the outcome, None if nothing is to start."""
        worker = self._state.workers_by_id.get(run.worker_id)
        if run.phase is not table.RunPhase.ORDERED or run.released:
            return None
        now = membership.steady_clock()
        lease = None if worker is None else worker.start_lease(now)
        if (worker is None or lease is None
                or worker.incarnation != run.incarnation):
            return workers.StartOutcome.WRONG_WORKER
        run.sent = True
        request = workers.StartRequest(
            run.task,
            run.number,
            job.submission.payload,
            lease,
            self._token,
            job.progress.saved.get(job.attempt_key(run.task), ''),
        )
        outcome = await self._client.start(worker.entry, request, fresh=fresh)
        self._state.metrics.starts.inc({'verdict': outcome.value})
        return outcome

    async def _apply_outcome(
        self,
        job: table.Job,
        run: table.Run,
        outcome: workers.StartOutcome | None,
        repeated: bool,
    ) -> None:
        now = membership.steady_clock()
        if outcome is None or run.released:
            return
        if outcome is workers.StartOutcome.STARTED:
            run.started = True
            job.record_start()
            if run.phase is table.RunPhase.ORDERED:
                run.phase = table.RunPhase.RUNNING
                run.confirmed_at = now
            return
        if outcome is workers.StartOutcome.FENCED:
            await self._step_down(f'{run.worker_id} has seen a newer leader')
            return
        _LOG.info(
            'start request rejected',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            verdict=outcome.value,
        )
        worker = self._state.workers_by_id.get(run.worker_id)
        if outcome is workers.StartOutcome.INVALID:
            job.not_before = now + INVALID_PAUSE_SECONDS
        elif worker is not None:
            worker.paused_until = now + REJECTION_PAUSE_SECONDS
        if outcome is workers.StartOutcome.UNHEALTHY:
            self._state.worker_health.record_failure(
                run.worker_id, job.job_id, now, run.ordered_at
            )
        if repeated:
            # The first request may have arrived, or may arrive later.
            self._withdraw(run, outcome.value)
        else:
            self._state.release_run(run, outcome.value)
            if not job.begun and not job.runs_by_task and not job.final:
                # Stored with the release, for the next leader.
                job.progress.state = records.JobState.QUEUED
            self._state.stop_gang(
                run, f'start of a member failed: {outcome.value}'
            )
        await self._state.notify()

    def _withdraw(self, run: table.Run, reason: str) -> None:
        """Stop a run whose start request may still take effect."""
        self._state.stop_run(run, reason)
        self._state.stop_gang(run, f'start of a member failed: {reason}')

    async def _stop_run(self, run: table.Run) -> None:
        fresh = False
        while not run.released:
            worker = self._state.workers_by_id.get(run.worker_id)
            if worker is not None and self._member.may_act_as_leader():
                answer = await self._client.stop(
                    worker.entry,
                    run.task,
                    run.number,
                    self._token,
                    fresh=fresh,
                )
                if answer.is_ok():
                    if not answer.ok_value:
                        await self._step_down(
                            f'{run.worker_id} rejected a stop request'
                        )
                    run.confirmed_at = membership.steady_clock()
                    return
                fresh = True
            await curio.sleep(STOP_RETRY_SECONDS)


__all__ = ('Orders', )
