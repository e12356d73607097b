"""Measures how long one worker takes to get many stop requests.

    python -m nutmegworks.bench.orders --stops 2000 --round-trips 0.001,0.05

The leader's orders are those of the daemon. The worker is emulated on loopback
in the same process: it answers each request after the round trip, and resets
connections beyond its limit.
"""
from __future__ import annotations

import collections
import dataclasses
import socket
import struct
import time
import typing

import curio
import typer

from nutmegworks.fleet import journal as journals
from nutmegworks.fleet import membership
from nutmegworks.fleet import orders as fleet_orders
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.fleet import worker_connections
from nutmegworks.model import ids
from nutmegworks.net import budget as budgets
from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.platform import executors
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from nutmegworks.telemetry import fleetmetrics

WORKER_CONNECTIONS: typing.Final = 64
MAX_SOCKETS: typing.Final = 3900
LIMIT_SECONDS: typing.Final = 60.0
_WORKER_ID: typing.Final = ids.WorkerId('w1')
_EMULATOR_BYTES: typing.Final = 1024 * budgets.MEBIBYTE


class _Worker(server.Server):
    """Answers after a round trip; resets connections beyond its limit."""

    def __init__(self, round_trip: float, connections: int) -> None:
        super().__init__(
            self._answer,
            budget=budgets.Budget(_EMULATOR_BYTES),
            internal=True,
        )
        self._round_trip = round_trip
        self._connections = connections
        self.answered = 0
        self.resets = 0
        self.most_open = 0

    async def _answer(self, request: message.Request) -> message.Response:
        await curio.sleep(self._round_trip)
        self.answered += 1
        return message.json_response(200, {})

    async def _serve(self, sock: curio.io.Socket) -> None:
        if self.open_connections >= self._connections:
            self.resets += 1
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            await sock.close()
            return
        self.most_open = max(self.most_open, self.open_connections + 1)
        await super()._serve(sock)


class _Member:
    """Takes the place of ``membership.Membership``; always leads."""

    def may_act_as_leader(self) -> bool:
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one measurement showed.

    :param round_trip: seconds that the worker takes to answer.
    :param seconds: until all stops were answered.
    :param cpu: processor seconds of leader and worker together.
    :param connections: most that were open at a time.
    """

    round_trip: float
    stops: int
    seconds: float
    cpu: float
    connections: int
    resets: int


def _entry(address: tuple[str, int]) -> workers.WorkerEntry:
    return workers.WorkerEntry(
        _WORKER_ID,
        address,
        ids.ServiceId('bench'),
        ids.DomainId('north'),
        workers.WorkerState.READY,
        workers.WorkerIncarnation(1),
        spec.Resources(),
        'r1-1',
        frozenset(),
    )


def _runs(count: int) -> typing.Iterator[table.Run]:
    step = spec.Step(spec.StepNumber(0), count, spec.Resources())
    for index in range(count):
        yield table.Run(
            spec.TaskKey(
                ids.JobId('00000000000000aa'),
                spec.Occurrence(0),
                step.number,
                index,
            ),
            workers.RunNumber(1),
            _WORKER_ID,
            workers.WorkerIncarnation(1),
            step,
            1,
            table.RunPhase.RUNNING,
            membership.steady_clock(),
            sent=True,
        )


async def _step_down(reason: str) -> None:
    raise RuntimeError(reason)


async def measure(
    stops: int,
    round_trip: float,
    worker_limit: int = WORKER_CONNECTIONS,
) -> Row:
    """Stop runs on one worker; return what was seen.

    :raise curio.TaskTimeout: the worker did not get them all in time.
    """
    worker = _Worker(round_trip, worker_limit)
    await worker.start('127.0.0.1', 0)
    connections = worker_connections.WorkerConnections(MAX_SOCKETS)
    state = fleet_state.FleetState(fleetmetrics.FleetMetrics())
    state.workers_by_id[_WORKER_ID] = fleet_worker.Worker(
        _entry(worker.address), 0.0
    )
    orders = fleet_orders.Orders(
        state,
        executors.ExecutorClient(connections),
        typing.cast(journals.Journal, None),
        typing.cast(membership.Membership, _Member()),
        ids.FencingToken(1),
        _step_down,
    )
    task = await curio.spawn(orders.run, daemon=True)
    runs = collections.deque(_runs(stops))
    for run in runs:
        state.add_run(None, run)
    started, cpu = time.monotonic(), time.process_time()
    for run in runs:
        state.stop_run(run, 'measured')
    await state.notify()
    async with curio.timeout_after(LIMIT_SECONDS):
        while any(run.confirmed_at is None for run in runs):
            await curio.sleep(0.002)
    row = Row(
        round_trip,
        stops,
        time.monotonic() - started,
        time.process_time() - cpu,
        worker.most_open,
        worker.resets,
    )
    await task.cancel()
    await connections.close()
    await worker.drain(limit=0.0)
    return row


def main(
    stops: int = 2000,
    round_trips: str = '0.001,0.05',
    limit: int = WORKER_CONNECTIONS,
) -> None:
    """Print a table with a row for each round trip, in seconds.

    :param limit: connections that the worker accepts.
    """
    names = [field.name for field in dataclasses.fields(Row)]
    typer.echo('| ' + ' | '.join(names) + ' |')
    typer.echo('| ' + ' | '.join('---' for _ in names) + ' |')
    for text in round_trips.split(','):

        async def run(round_trip: float = float(text)) -> Row:
            return await measure(stops, round_trip, limit)

        row = curio.run(run)
        cells = [f'{value:.4g}' for value in dataclasses.astuple(row)]
        typer.echo('| ' + ' | '.join(cells) + ' |')


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Row', 'main', 'measure')
