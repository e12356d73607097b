"""Renews a worker's lease and fetches its reports."""
from __future__ import annotations

import abc
import typing

import curio
import logbook
import result

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import journal
from nutmegworks.fleet import membership
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('session')

# Time that a renewal waits at the worker for a run to end. Busy workers are
# queried more often, because their progress reveals stalled tasks.
BUSY_WAIT_SECONDS: typing.Final = 1.0
IDLE_WAIT_SECONDS: typing.Final = 2.0
# While an end waits to be acknowledged because a run has not been reported.
UNREPORTED_WAIT_SECONDS: typing.Final = 0.1
RETRY_SECONDS: typing.Final = 0.25
# Pause after a renewal that reported no newly ended run.
RENEW_PAUSE_SECONDS: typing.Final = 0.05
# Unanswered renewals after which a worker is logged as unreachable.
UNREACHABLE_FAILURES: typing.Final = 2


class Listener(abc.ABC):
    """Receives what a session learns about its worker."""

    @abc.abstractmethod
    async def handle_report(
        self,
        worker: fleet_worker.Worker,
        report: workers.Report,
        sent_at: float,
    ) -> None:
        """Process a report.

        :param sent_at: when the report was requested, in seconds of
            ``membership.steady_clock``.
        """

    @abc.abstractmethod
    async def handle_lease_expiry(self, worker: fleet_worker.Worker) -> None:
        """Process the expiry of a worker's lease.

        All runs of the known incarnation are lost.
        """

    @abc.abstractmethod
    async def handle_replacement(self, worker: fleet_worker.Worker) -> None:
        """Process that another worker answers at a worker's address."""


class Session:
    """Renews the lease of one worker, one request at a time."""

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
        self._unanswered = 0

    async def run(self) -> None:
        """Renew until cancelled, or the worker is unregistered without runs.

        :raise journal.LeadershipLostError: the worker has seen a newer
            leader.
        """
        worker = self._worker
        while worker.registered or worker.runs_by_key:
            if not self._member.may_act_as_leader():
                await self._check_lease_expiry()
                await curio.sleep(RETRY_SECONDS)
                continue
            await self._renew()

    async def _check_lease_expiry(self) -> None:
        worker = self._worker
        if worker.runs_by_key and worker.lease_expired(
                membership.steady_clock()):
            _LOG.warning(
                'worker lease expired',
                worker=worker.worker_id,
                runs=len(worker.runs_by_key),
                renewal_age=round(self._member.renewal_age(), 3),
            )
            await self._listener.handle_lease_expiry(worker)

    def _report_wait(self, acknowledged: int) -> float:
        worker = self._worker
        # Starts wait for the answer to an acknowledgement.
        if acknowledged or not worker.reachable:
            return 0.0
        if worker.awaits_acknowledgement:
            return UNREPORTED_WAIT_SECONDS
        if worker.runs_by_key:
            return BUSY_WAIT_SECONDS
        return IDLE_WAIT_SECONDS

    async def _renew(self) -> None:
        worker = self._worker
        sent_at = membership.steady_clock()
        processed = worker.processed
        answer = await self._request_report(sent_at)
        if answer.is_err():
            await self._handle_error(answer.err_value)
            return
        report = answer.ok_value
        if report is None:
            raise journal.LeadershipLostError(worker.worker_id)
        if self._unanswered >= UNREACHABLE_FAILURES:
            _LOG.info('worker reachable again', worker=worker.worker_id)
        self._unanswered = 0
        await self._listener.handle_report(worker, report, sent_at)
        if worker.processed == processed:
            await curio.sleep(RENEW_PAUSE_SECONDS)

    async def _request_report(
        self,
        sent_at: float,
    ) -> result.Result[workers.Report | None, interfaces.CallError]:
        worker = self._worker
        acknowledged = worker.begin_acknowledgement(sent_at)
        answered = False
        try:
            answer = await self._client.renew(
                worker.entry,
                self._token,
                acknowledged,
                lease_until=worker.renewal_lease(sent_at),
                wait=self._report_wait(acknowledged),
            )
            answered = answer.is_ok()
            return answer
        finally:
            if acknowledged:
                worker.end_acknowledgement(acknowledged, answered)

    async def _handle_error(self, error: interfaces.CallError) -> None:
        worker = self._worker
        worker.unanswered_at = membership.steady_clock()
        self._unanswered += 1
        if self._unanswered == UNREACHABLE_FAILURES:
            _LOG.info(
                'worker unreachable',
                worker=worker.worker_id,
                detail=error.detail,
                runs=len(worker.runs_by_key),
            )
        if error.replaced and worker.runs_by_key:
            _LOG.warning(
                'another worker answers at the address of a worker',
                worker=worker.worker_id,
                address=worker.entry.address,
                runs=len(worker.runs_by_key),
            )
            await self._listener.handle_replacement(worker)
        await self._check_lease_expiry()
        await curio.sleep(RETRY_SECONDS)


__all__ = ('Listener', 'Session')
