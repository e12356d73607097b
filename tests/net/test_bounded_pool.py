"""Bounds of the connections to peers."""
from __future__ import annotations

import math
import typing

import curio

from nutmegworks.net import bounded_pool
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import server
from tests import capped_server
from tests import helpers

REQUEST: typing.Final = message.Request('GET', '/', {}, b'')
CLOSE_SECONDS: typing.Final = 2.0


class _Peer:
    """Answers when it is told to."""

    def __init__(self) -> None:
        self.answers = curio.Event()
        self.breaks = False
        self.server = capped_server.CappedServer(self._handle)

    async def _handle(self, request: message.Request) -> message.Response:
        await self.answers.wait()
        if self.breaks:
            raise server.AbortConnection()
        return message.Response(200)

    async def start(self) -> client.Address:
        await self.server.start('127.0.0.1', 0)
        return self.server.address

    async def wait_for_open(self, count: int) -> None:
        async with curio.timeout_after(CLOSE_SECONDS):
            while self.server.open_connections != count:
                await curio.sleep(0.005)


async def _send(
    connections: bounded_pool.BoundedPool,
    address: client.Address,
    count: int,
    *,
    fresh: bool = False,
) -> list[curio.Task]:
    tasks = []
    for _ in range(count):
        tasks.append(await curio.spawn(_exchange, connections, address, fresh))
    await curio.sleep(0.05)
    return tasks


async def _exchange(
    connections: bounded_pool.BoundedPool,
    address: client.Address,
    fresh: bool,
) -> client.Fault | None:
    answer = await connections.exchange(
        address, REQUEST, timeout=2.0, fresh=fresh
    )
    return answer.err_value.fault if answer.is_err() else None


async def _join(tasks: list[curio.Task]) -> list[client.Fault | None]:
    return [await task.join() for task in tasks]


def test_a_peer_gets_no_more_than_its_share() -> None:
    """Guards against connections that the peer resets.

    The requests beyond them fail at once and are not sent.
    """

    async def main() -> None:
        peer = _Peer()
        address = await peer.start()
        connections = bounded_pool.BoundedPool(per_address=3, total=math.inf)
        tasks = await _send(connections, address, 5)
        assert connections.open_by_address() == {address: 3}
        await peer.answers.set()
        faults = await _join(tasks)
        assert faults.count(client.Fault.NO_ROOM) == 2
        assert faults.count(None) == 3
        assert connections.refused == 2
        assert peer.server.most_open == 3
        await connections.close()

    helpers.run(main)


def test_a_fresh_connection_takes_the_place_of_an_idle_one() -> None:
    """Guards against idle connections that fill the share of a peer."""

    async def main() -> None:
        peer = _Peer()
        address = await peer.start()
        await peer.answers.set()
        connections = bounded_pool.BoundedPool(per_address=3, total=math.inf)
        assert await _join(await _send(connections, address, 3)) == [None] * 3
        for _ in range(5):
            [fault
             ] = await _join(await _send(connections, address, 1, fresh=True))
            assert fault is None
        assert connections.open_by_address() == {address: 3}
        await peer.wait_for_open(3)
        assert peer.server.resets == 0
        await connections.close()

    helpers.run(main)


def test_the_process_has_a_bound_over_all_peers() -> None:
    """Guards against a process without sockets because of many peers.

    Idle connections to other peers give way, those in use do not.
    """

    async def main() -> None:
        peers = [_Peer() for _ in range(4)]
        addresses = [await peer.start() for peer in peers]
        connections = bounded_pool.BoundedPool(per_address=3, total=4)
        for peer, address in zip(peers[:2], addresses):
            await peer.answers.set()
            assert await _join(await _send(connections, address,
                                           2)) == [None] * 2
        tasks = await _send(connections, addresses[2], 3)
        assert connections.open_by_address() == {
            addresses[1]: 1,
            addresses[2]: 3
        }
        tasks += await _send(connections, addresses[3], 2)
        assert sum(connections.open_by_address().values()) == 4
        assert connections.refused == 1
        for peer in peers:
            await peer.answers.set()
        faults = await _join(tasks)
        assert faults.count(client.Fault.NO_ROOM) == 1
        await connections.close()

    helpers.run(main)


def test_connections_that_end_in_any_way_are_not_counted() -> None:
    """Guards against a share that shrinks until nothing can be sent."""

    async def main() -> None:
        peer = _Peer()
        address = await peer.start()
        connections = bounded_pool.BoundedPool(per_address=3, total=math.inf)
        tasks = await _send(connections, address, 3)
        for task in tasks:
            await task.cancel()
        assert connections.open_by_address() == {}
        peer.breaks = True
        await peer.answers.set()
        faults = await _join(await _send(connections, address, 3))
        assert faults == [client.Fault.CLOSED] * 3
        assert connections.open_by_address() == {}
        await peer.server.drain(limit=0.0)
        [fault] = await _join(await _send(connections, address, 1))
        assert fault is client.Fault.CONNECT
        assert connections.open_by_address() == {}

    helpers.run(main)
