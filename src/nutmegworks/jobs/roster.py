"""Watches the workers of a shard and raises the fence on each."""
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
# More workers are polled less often, which bounds the load of one owner.
MAX_POLLS_PER_SECOND: typing.Final = 500
CONCURRENT_POLLS: typing.Final = 64
# One lost response must not take a worker out of service.
MISSES_UNTIL_DOWN: typing.Final = 3
# No run has this id; a message about it shows the token and changes nothing.
FENCE_RUN_ID: typing.Final = ids.RunId('fence')

_log = logbook.Logger(__name__)

_Fault = workers.WorkerFault


class RosterObserver(typing.Protocol):
    """What the roster reports to."""

    async def worker_changed(
        self,
        event: events.WorkerUp | events.WorkerDown,
    ) -> None:
        """A worker came or went."""

    async def worker_reported(
        self,
        worker_id: ids.WorkerId,
        tasks: typing.Sequence[workers.TaskReport],
    ) -> None:
        """A report arrived; it may be old."""

    async def fenced(self) -> None:
        """A worker knows a newer owner."""


@dataclasses.dataclass(slots=True)
class _Worker:
    address: client.Address
    up: bool = False
    seen: bool = False
    misses: int = 0


class Roster:
    """The workers of one shard as one owner sees them.

    A worker counts as up only after it has seen this owner's token, so that
    it cannot obey an earlier owner any more.
    """

    def __init__(
        self,
        worker_client: workers.WorkerClient,
        list_workers: interfaces.ListWorkers,
        fencing_token: ids.FencingToken,
        observer: RosterObserver,
    ) -> None:
        self._client = worker_client
        self._list_workers = list_workers
        self._token = fencing_token
        self._observer = observer
        self._by_id: dict[ids.WorkerId, _Worker] = {}
        self._listed = False
        self._polling = curio.Semaphore(CONCURRENT_POLLS)

    @property
    def address_by_id(self) -> dict[ids.WorkerId, client.Address]:
        """Addresses of all listed workers."""
        return {key: item.address for key, item in self._by_id.items()}

    @property
    def complete(self) -> bool:
        """Whether every listed worker has been up since the takeover."""
        return self._listed and all(
            worker.seen for worker in self._by_id.values()
        )

    def is_up(self, worker_id: ids.WorkerId) -> bool:
        """Return whether a worker is up and fenced."""
        worker = self._by_id.get(worker_id)
        return worker is not None and worker.up

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_all()
            pause = len(self._by_id) / MAX_POLLS_PER_SECOND
            await curio.sleep(max(POLL_INTERVAL_SECONDS, pause))

    async def poll_all(self) -> None:
        """Refresh the list and poll every worker once."""
        await self._refresh()
        async with curio.TaskGroup() as group:
            for worker_id in self._by_id:
                await group.spawn(self._poll, worker_id)
        # Raises what a poll raised.
        assert len(group.results) == len(self._by_id)

    async def _refresh(self) -> None:
        hosts = await self._list_workers()
        if hosts is None:
            return
        self._listed = True
        for host in hosts:
            known = self._by_id.get(host.worker_id)
            if known is None:
                self._by_id[host.worker_id] = _Worker(host.address)
            else:
                known.address = host.address
        listed = {host.worker_id for host in hosts}
        for worker_id in set(self._by_id) - listed:
            await self._down(worker_id)
            del self._by_id[worker_id]

    async def _poll(self, worker_id: ids.WorkerId) -> None:
        worker = self._by_id[worker_id]
        async with self._polling:
            answer = await self._client.report(worker.address)
            if isinstance(answer, result.Err):
                await self._missed(worker_id)
                return
        report = answer.ok_value
        if worker.up and report.fencing_token < self._token:
            # The report is old, or the worker restarted and lost its fence.
            # Its gangs find out by their next renewal.
            await self._raise_fence(worker)
        worker.misses = 0
        if not worker.up:
            await self._admit(worker_id, report)
        if worker.up:
            await self._observer.worker_reported(worker_id, report.tasks)

    async def _missed(self, worker_id: ids.WorkerId) -> None:
        """Reports may never come from a worker that is well."""
        worker = self._by_id[worker_id]
        if worker.up and await self._raise_fence(worker):
            worker.misses = 0
            return
        worker.misses += 1
        if worker.misses >= MISSES_UNTIL_DOWN:
            await self._down(worker_id)

    async def _admit(
        self,
        worker_id: ids.WorkerId,
        report: workers.WorkerReport,
    ) -> None:
        worker = self._by_id[worker_id]
        if not await self._raise_fence(worker):
            return
        worker.up = worker.seen = True
        await self._observer.worker_changed(
            events.WorkerUp(
                worker_id=worker_id,
                rack_id=report.rack_id,
                accelerators=report.accelerators,
            )
        )

    async def _raise_fence(self, worker: _Worker) -> bool:
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

    async def _down(self, worker_id: ids.WorkerId) -> None:
        worker = self._by_id[worker_id]
        if worker.up:
            worker.up = False
            _log.warning('worker {} is down', worker_id)
            await self._observer.worker_changed(
                events.WorkerDown(worker_id=worker_id)
            )


__all__ = (
    'CONCURRENT_POLLS',
    'FENCE_RUN_ID',
    'MAX_POLLS_PER_SECOND',
    'MISSES_UNTIL_DOWN',
    'POLL_INTERVAL_SECONDS',
    'Roster',
    'RosterObserver',
)
