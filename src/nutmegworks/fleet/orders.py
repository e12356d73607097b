"""Sends starts and stops, and repeats them until their fate is known."""
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
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('orders')

# Unanswered tries, each of at most 0.6 s, after which a start is withdrawn. A
# gang's members wait 3 s for each other, so two tries must be enough.
START_TRIES: typing.Final = 2
STOP_RETRY_SECONDS: typing.Final = 0.2
# A worker that said it has no room is left alone for this time.
FULL_SECONDS: typing.Final = 0.5
# A job whose order a worker called invalid is tried again after this time.
INVALID_PAUSE_SECONDS: typing.Final = 2.0
# A leader whose lease is not renewed looks this often whether it is again.
ORDER_POLL_SECONDS: typing.Final = 0.1

# What remains to be done after an answer to a start.
_NOTHING_DONE: typing.Final = frozenset(
    {
        workers.StartVerdict.NO_ROOM,
        workers.StartVerdict.UNHEALTHY,
        workers.StartVerdict.WRONG_WORKER,
        workers.StartVerdict.INVALID,
        workers.StartVerdict.OLD,
    }
)
_TRY_AGAIN: typing.Final = frozenset(
    {workers.StartVerdict.UNKNOWN, workers.StartVerdict.LATE}
)


class Orders:
    """Carries out what was decided."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        client: interfaces.WorkerClient,
        journal: journals.Journal,
        member: membership.Membership,
        token: ids.FencingToken,
        depose: typing.Callable[[str], typing.Awaitable[None]],
    ) -> None:
        self._state = state
        self._client = client
        self._journal = journal
        self._member = member
        self._token = token
        self._depose = depose

    async def run(self) -> None:
        """Stop runs as they are queued, until cancelled."""
        while True:
            await self._state.stop_wake.wait()
            self._state.stop_wake.clear()
            while self._state.stops:
                run = self._state.stops.popleft()
                await curio.spawn(self._stop, run, daemon=True)

    async def launch(
        self,
        job: table.Job,
        runs: typing.Sequence[table.Run],
    ) -> None:
        """Store where runs go, then order them."""
        await self._journal.persist([job.job_id])
        for run in runs:
            await curio.spawn(self._start, job, run, daemon=True)

    async def _start(self, job: table.Job, run: table.Run) -> None:
        fresh = False
        for _ in range(START_TRIES):
            while not self._member.may_act_as_leader():
                await curio.sleep(ORDER_POLL_SECONDS)
            verdict = await self._try_start(job, run, fresh)
            if verdict not in _TRY_AGAIN:
                await self._settle(job, run, verdict, fresh)
                return
            worker = self._state.workers_by_id.get(run.worker_id)
            if worker is not None:
                # No more work goes there until it answers a renewal.
                worker.silent_since = membership.steady_clock()
            fresh = True
        _LOG.info(
            'start without an answer',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
        )
        self._withdraw(run, 'no answer')
        await self._state.notify()

    async def _try_start(
        self,
        job: table.Job,
        run: table.Run,
        fresh: bool,
    ) -> workers.StartVerdict | None:
        """Return the verdict, None if there is nothing to start any more."""
        worker = self._state.workers_by_id.get(run.worker_id)
        if run.phase is not table.RunPhase.ORDERED or run.released:
            return None
        now = membership.steady_clock()
        lease = None if worker is None else worker.next_lease(now)
        if worker is None or lease is None or worker.born != run.born:
            return workers.StartVerdict.WRONG_WORKER
        run.sent = True
        order = workers.StartOrder(
            run.task,
            run.number,
            job.submission.payload,
            lease,
            self._token,
            job.progress.saved.get(job.unit(run.task), ''),
        )
        verdict = await self._client.start(worker.entry, order, fresh=fresh)
        self._state.metrics.starts.inc({'verdict': verdict.value})
        return verdict

    async def _settle(
        self,
        job: table.Job,
        run: table.Run,
        verdict: workers.StartVerdict | None,
        repeated: bool,
    ) -> None:
        now = membership.steady_clock()
        if verdict is None or run.released:
            return
        if verdict is workers.StartVerdict.STARTED:
            if run.phase is table.RunPhase.ORDERED:
                run.phase = table.RunPhase.RUNNING
                run.confirmed_at = now
            return
        if verdict is workers.StartVerdict.FENCED:
            await self._depose(f'{run.worker_id} has seen a newer leader')
            return
        _LOG.info(
            'start rejected',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            verdict=verdict.value,
        )
        worker = self._state.workers_by_id.get(run.worker_id)
        if verdict is workers.StartVerdict.INVALID:
            job.not_before = now + INVALID_PAUSE_SECONDS
        elif worker is not None:
            worker.full_until = now + FULL_SECONDS
        if verdict is workers.StartVerdict.UNHEALTHY:
            self._state.worker_health.record_failure(
                run.worker_id, job.job_id, now
            )
        if repeated:
            # The first try may have arrived, or may arrive later.
            self._withdraw(run, verdict.value)
        else:
            self._state.drop_run(run, verdict.value)
            self._state.stop_gang(run, f'a member got {verdict.value}')
        await self._state.notify()

    def _withdraw(self, run: table.Run, reason: str) -> None:
        self._state.stop_run(run, reason)
        self._state.stop_gang(run, f'a member got {reason}')

    async def _stop(self, run: table.Run) -> None:
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
                        await self._depose(f'{run.worker_id} refused a stop')
                    run.confirmed_at = membership.steady_clock()
                    return
                fresh = True
            await curio.sleep(STOP_RETRY_SECONDS)


__all__ = ('Orders', )
