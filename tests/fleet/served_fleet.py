"""A term of leadership over executors on loopback, which have limits."""
from __future__ import annotations

import contextlib
import random
import time
import typing

import curio

from nutmegworks.fleet import leader
from nutmegworks.fleet import worker_connections
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from tests import capped_server
from tests.fleet import builders
from tests.fleet import memory
from tests.soak import checker as checkers
from tests.soak import platform

UNANSWERED_SECONDS: typing.Final = 2.0
# Room for all tasks of a test.
RESOURCES: typing.Final = spec.Resources(512_000, 512_000, 8)


class ServedWorker:
    """An executor that serves at most 64 connections.

    :ivar delay: seconds by which each answer but that of a renewal comes
        later.
    :ivar unanswered_share: of the orders, which are not answered.
    """

    def __init__(
        self,
        worker_id: str,
        checker: checkers.HistoryChecker,
        gangs: platform.GangRuns,
    ) -> None:
        self.worker_id = worker_id
        self.delay = 0.0
        self.unanswered_share = 0.0
        self._rng = random.Random(57)
        self.calls: list[tuple[float, str]] = []
        self.executor = platform.WorkerStandIn(
            worker_id, RESOURCES, checker, gangs
        )
        self.server = capped_server.CappedServer(self._handle)

    async def _handle(self, request: message.Request) -> message.Response:
        self.calls.append((time.monotonic(), request.target))
        if request.target != '/hold':
            if self._rng.random() < self.unanswered_share:
                # For longer than the leader waits; not carried out.
                await curio.sleep(UNANSWERED_SECONDS)
                raise server.AbortConnection()
            if self.delay:
                await curio.sleep(self.delay)
        return await self.executor.handle(request)

    def count(self, target: str) -> int:
        """Return how often a call arrived."""
        return sum(called == target for _, called in self.calls)


class ServedFleet:
    """Executors, their store and what runs on them."""

    def __init__(self) -> None:
        self.store = memory.MemoryStore()
        self.checker = checkers.HistoryChecker()
        self.workers: list[ServedWorker] = []
        self.connections: worker_connections.WorkerConnections | None = None
        self._gangs = platform.GangRuns()
        self._tasks: list[curio.Task] = []

    async def start(self, count: int) -> None:
        for number in range(count):
            worker = ServedWorker(f'w{number}', self.checker, self._gangs)
            await worker.server.start('127.0.0.1', 0)
            self._tasks.append(
                await curio.spawn(worker.executor.run, daemon=True)
            )
            host, port = worker.server.address
            self.store.put(
                f'servers/{worker.worker_id}',
                worker.executor.entry(f'{host}:{port}'),
            )
            self.workers.append(worker)

    async def stop(self) -> None:
        for task in self._tasks:
            await task.cancel()
        for worker in self.workers:
            await worker.server.drain(limit=0.0)

    def submit(self, job_id: ids.JobId, *steps: dict[str, object]) -> None:
        accepted = builders.accepted(*steps)
        view = self.checker.record_submission(job_id, accepted.body)
        view.accepted = True
        builders.put_job(self.store, job_id, accepted)

    def cancel(self, job_id: ids.JobId) -> None:
        self.checker.jobs_by_id[job_id].cancelled_at = time.monotonic()
        self.store.put(records.cancel_key(job_id), b'{}')

    def running(self, job_id: ids.JobId) -> int:
        return self.checker.running(job_id, spec.StepNumber(0))

    @property
    def refused(self) -> int:
        """Orders that found no connection."""
        assert self.connections is not None
        return self.connections.refused

    @property
    def resets(self) -> int:
        return sum(worker.server.resets for worker in self.workers)

    @property
    def most_open(self) -> int:
        """Most connections that an executor had at a time."""
        return max(worker.server.most_open for worker in self.workers)


@contextlib.asynccontextmanager
async def running_fleet(
    count: int,
    *,
    max_sockets: int = 3900,
) -> typing.AsyncIterator[tuple[ServedFleet, leader.Term]]:
    """Run a term over executors until the context ends."""
    fleet = ServedFleet()
    await fleet.start(count)
    client, connections = builders.executor_client(max_sockets)
    fleet.connections = connections
    try:
        async with builders.running_term(fleet.store, client) as term:
            await builders.wait_until(lambda: term.loaded)
            yield fleet, term
    finally:
        await connections.close()
        await fleet.stop()


__all__ = ('RESOURCES', 'ServedFleet', 'ServedWorker', 'running_fleet')
