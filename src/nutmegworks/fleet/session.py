"""Keeps a worker's lease and reads its lists."""
from __future__ import annotations

import abc
import typing

import curio
import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import journal
from nutmegworks.fleet import membership
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('session')

# A renewal waits for an end for this time. Busy workers are asked more often,
# because their progress shows tasks that stand still.
BUSY_WAIT_SECONDS: typing.Final = 1.0
IDLE_WAIT_SECONDS: typing.Final = 2.0
RETRY_SECONDS: typing.Final = 0.25
# Between two renewals that bring no new end.
PACE_SECONDS: typing.Final = 0.05
# Unanswered renewals after which it is logged that a worker is silent.
SILENT_AFTER: typing.Final = 2


class Listener(abc.ABC):
    """Takes what a session learns."""

    @abc.abstractmethod
    async def take_report(
        self,
        worker: fleet_worker.Worker,
        report: workers.Report,
        sent_at: float,
    ) -> None:
        """:param sent_at: steady seconds when the report was asked for."""

    @abc.abstractmethod
    def take_lapse(self, worker: fleet_worker.Worker) -> None:
        """All runs on the worker have ended unseen."""


class Session:
    """One worker's renewals, one at a time."""

    def __init__(
        self,
        worker: fleet_worker.Worker,
        client: interfaces.WorkerClient,
        member: membership.Membership,
        token: ids.FencingToken,
        listener: Listener,
    ) -> None:
        self._worker = worker
        self._client = client
        self._member = member
        self._token = token
        self._listener = listener
        self._failures = 0

    async def run(self) -> None:
        """Renew until cancelled or until the worker is of no more use.

        :raise journal.DeposedError: the worker has seen a newer leader.
        """
        worker = self._worker
        while worker.registered or worker.runs_by_key:
            if not self._member.may_order():
                self._check_lapse()
                await curio.sleep(RETRY_SECONDS)
                continue
            await self._renew()

    def _check_lapse(self) -> None:
        worker = self._worker
        if worker.runs_by_key and worker.lapsed(membership.steady_clock()):
            _LOG.warning(
                'lease of a worker has ended',
                worker=worker.worker_id,
                runs=len(worker.runs_by_key),
                renewal_age=round(self._member.renewal_age(), 3),
            )
            self._listener.take_lapse(worker)

    def _wait(self) -> float:
        worker = self._worker
        if worker.answered_at is None:
            return 0.0
        if worker.runs_by_key:
            return BUSY_WAIT_SECONDS
        return IDLE_WAIT_SECONDS

    async def _renew(self) -> None:
        worker = self._worker
        sent_at = membership.steady_clock()
        processed = worker.processed
        answer = await self._client.renew(
            worker.entry,
            self._token,
            worker.acknowledged,
            lease_until=worker.next_lease(sent_at),
            wait=self._wait(),
        )
        if answer.is_err():
            self._failures += 1
            if self._failures == SILENT_AFTER:
                _LOG.info(
                    'worker does not answer',
                    worker=worker.worker_id,
                    detail=answer.err_value.detail,
                    runs=len(worker.runs_by_key),
                )
            self._check_lapse()
            await curio.sleep(RETRY_SECONDS)
            return
        report = answer.ok_value
        if report is None:
            raise journal.DeposedError(worker.worker_id)
        if self._failures >= SILENT_AFTER:
            _LOG.info('worker answers again', worker=worker.worker_id)
        self._failures = 0
        await self._listener.take_report(worker, report, sent_at)
        if worker.processed == processed:
            await curio.sleep(PACE_SECONDS)


__all__ = ('Listener', 'Session')
