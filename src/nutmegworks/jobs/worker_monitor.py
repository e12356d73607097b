"""Polls the workers of a shard and gives them the owner's fencing token."""
from __future__ import annotations

import dataclasses
import typing

import curio
import logbook
import result

from nutmegworks.adapters import workers
from nutmegworks.jobs import interfaces
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.policy import events

POLL_INTERVAL_SECONDS: typing.Final = 1.0
# With many workers the polls become less frequent, which bounds the load on
# one owner.
MAX_POLLS_PER_SECOND: typing.Final = 500
MAX_CONCURRENT_POLLS: typing.Final = 64
# One lost response must not take a worker out of service.
MISSED_POLLS_UNTIL_DOWN: typing.Final = 3
# No run has this id: a message about it passes the fencing token to the worker
# and changes nothing else.
FENCE_RUN_ID: typing.Final = ids.RunId('fence')

_log = logbook.Logger(__name__)

_Fault = workers.WorkerFault


class WorkerObserver(typing.Protocol):
    """Receives what the monitor observes."""

    async def worker_changed(
        self,
        event: events.WorkerUp | events.WorkerDown,
    ) -> None:
        """Handle a worker that became available or unavailable."""

    async def worker_reported(
        self,
        worker_id: ids.WorkerId,
        tasks: typing.Sequence[workers.TaskReport],
    ) -> None:
        """Handle a report of a worker's tasks, which may be outdated."""

    async def fenced(self) -> None:
        """Handle a worker's answer that it has seen a newer owner."""


@dataclasses.dataclass(slots=True)
class _Worker:
    """State of a worker as observed by this owner.

    :param was_up: whether the worker has been up since the takeover.
    :param missed_polls: number of consecutive polls without an answer.
    """

    address: client.Address
    up: bool = False
    was_up: bool = False
    missed_polls: int = 0


class WorkerMonitor:
    """The workers of one shard as observed by its owner.

    A worker counts as up only after it has received this owner's fencing
    token, so that it rejects the messages of earlier owners.
    """

    def __init__(
        self,
        worker_client: workers.WorkerClient,
        list_workers: interfaces.ListWorkers,
        fencing_token: ids.FencingToken,
        observer: WorkerObserver,
    ) -> None:
        self._client = worker_client
        self._list_workers = list_workers
        self._token = fencing_token
        self._observer = observer
        self._by_id: dict[ids.WorkerId, _Worker] = {}
        self._has_list = False
        self._poll_permits = curio.Semaphore(MAX_CONCURRENT_POLLS)

    @property
    def address_by_id(self) -> dict[ids.WorkerId, client.Address]:
        """Addresses of all listed workers."""
        return {key: item.address for key, item in self._by_id.items()}

    @property
    def all_were_up(self) -> bool:
        """Whether all listed workers have been up since the takeover."""
        return self._has_list and all(
            worker.was_up for worker in self._by_id.values()
        )

    def is_up(self, worker_id: ids.WorkerId) -> bool:
        """Return whether a worker is up, which includes that it is fenced."""
        worker = self._by_id.get(worker_id)
        return worker is not None and worker.up

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_all()
            interval = len(self._by_id) / MAX_POLLS_PER_SECOND
            await curio.sleep(max(POLL_INTERVAL_SECONDS, interval))

    async def poll_all(self) -> None:
        """Refresh the list of workers and poll each of them once."""
        await self._refresh()
        async with curio.TaskGroup() as group:
            for worker_id in self._by_id:
                await group.spawn(self._poll, worker_id)
        # Reading the results raises the exception of a failed poll.
        assert len(group.results) == len(self._by_id)

    async def _refresh(self) -> None:
        hosts = await self._list_workers()
        if hosts is None:
            return
        self._has_list = True
        for host in hosts:
            worker = self._by_id.get(host.worker_id)
            if worker is None:
                self._by_id[host.worker_id] = _Worker(host.address)
            else:
                worker.address = host.address
        listed = {host.worker_id for host in hosts}
        for worker_id in set(self._by_id) - listed:
            await self._mark_down(worker_id)
            del self._by_id[worker_id]

    async def _poll(self, worker_id: ids.WorkerId) -> None:
        worker = self._by_id[worker_id]
        async with self._poll_permits:
            answer = await self._client.report(worker.address)
            if isinstance(answer, result.Err):
                await self._on_missed_poll(worker_id)
                return
        report = answer.ok_value
        if worker.up and report.fencing_token < self._token:
            # The report is outdated, or the worker restarted and lost the
            # token. The next renewal of its gangs detects a restart.
            await self._fence(worker)
        worker.missed_polls = 0
        if not worker.up:
            await self._mark_up(worker_id, report)
        if worker.up:
            await self._observer.worker_reported(worker_id, report.tasks)

    async def _on_missed_poll(self, worker_id: ids.WorkerId) -> None:
        """Count a missed poll unless the worker accepts a fencing message.

        The reports of a healthy worker may be lost on every poll.
        """
        worker = self._by_id[worker_id]
        if worker.up and await self._fence(worker):
            worker.missed_polls = 0
            return
        worker.missed_polls += 1
        if worker.missed_polls >= MISSED_POLLS_UNTIL_DOWN:
            await self._mark_down(worker_id)

    async def _mark_up(
        self,
        worker_id: ids.WorkerId,
        report: workers.WorkerReport,
    ) -> None:
        worker = self._by_id[worker_id]
        if not await self._fence(worker):
            return
        worker.up = worker.was_up = True
        await self._observer.worker_changed(
            events.WorkerUp(
                worker_id=worker_id,
                rack_id=report.rack_id,
                accelerators=report.accelerators,
            )
        )

    async def _fence(self, worker: _Worker) -> bool:
        """Send this owner's token; return whether the worker accepted it."""
        order = workers.Order(
            step=workers.Step.RENEW,
            run_id=FENCE_RUN_ID,
            fencing_token=self._token,
        )
        answer = await self._client.send(worker.address, order)
        if answer.is_ok():
            return True
        fault = answer.err_value.fault
        if fault is _Fault.FENCED:
            await self._observer.fenced()
        return fault is _Fault.UNKNOWN_RUN

    async def _mark_down(self, worker_id: ids.WorkerId) -> None:
        worker = self._by_id[worker_id]
        if worker.up:
            worker.up = False
            _log.warning('worker {} is down', worker_id)
            await self._observer.worker_changed(
                events.WorkerDown(worker_id=worker_id)
            )


__all__ = (
    'FENCE_RUN_ID',
    'MAX_CONCURRENT_POLLS',
    'MAX_POLLS_PER_SECOND',
    'MISSED_POLLS_UNTIL_DOWN',
    'POLL_INTERVAL_SECONDS',
    'WorkerMonitor',
    'WorkerObserver',
)
