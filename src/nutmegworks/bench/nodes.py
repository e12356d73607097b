"""Nodes of nutmegd, reduced to configuration and membership.

Faults of the network and of the watches can be injected.
"""
from __future__ import annotations

import dataclasses
import functools
import random
import time
import typing

import curio
import result

from nutmegworks.adapters import hosts
from nutmegworks.adapters import httpstore
from nutmegworks.bench import traffic
from nutmegworks.configuration import adoption
from nutmegworks.configuration import controller as configuration
from nutmegworks.membership import controller as membership
from nutmegworks.membership import members
from nutmegworks.membership import view
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import service

# Estimated size of the first line, host header and blank line of a message.
MESSAGE_HEAD_BYTES: typing.Final = 100
CLUSTER_KEY: typing.Final = b'cluster key of the benchmark'


class Network:
    """Injected network faults, shared by all nodes.

    :ivar cuts: pairs of the calling node's name and the address that it can't
        reach.
    :ivar unanswered_watches: names of nodes whose watches are never answered.
    """

    def __init__(self) -> None:
        self.cuts: set[tuple[str, client.Address]] = set()
        self.unanswered_watches: set[str] = set()


class FaultyPool(pool.Pool):
    """A connection pool whose exchanges time out on injected faults.

    :ivar exchanged_bytes: estimated bytes on the wire of the exchanges that no
        fault affected.
    """

    def __init__(self, name: str, network: Network) -> None:
        super().__init__()
        self._name = name
        self._network = network
        self.exchanged_bytes = 0

    async def exchange(
        self,
        address: client.Address,
        request: message.Request,
        *,
        timeout: float,
        max_body: int = message.MAX_BODY_BYTES,
        echo_header: str = '',
        fresh: bool = False,
    ) -> result.Result[message.Response, client.ExchangeError]:
        timed_out = result.Err(
            client.ExchangeError(client.Fault.TIMEOUT, 'cut', True)
        )
        if self._is_blocked(address, request):
            await curio.sleep(timeout)
            return timed_out
        answer = await super().exchange(
            address,
            request,
            timeout=timeout,
            max_body=max_body,
            echo_header=echo_header,
            fresh=fresh,
        )
        if self._is_blocked(address, request):
            # The path was cut during the exchange.
            return timed_out
        self.exchanged_bytes += _message_bytes(request)
        if isinstance(answer, result.Ok):
            self.exchanged_bytes += _message_bytes(answer.ok_value)
        return answer

    def _is_blocked(
        self, address: client.Address, request: message.Request
    ) -> bool:
        ignores_watches = self._name in self._network.unanswered_watches
        if ignores_watches and request.target.startswith('/v1/watch'):
            return True
        return (self._name, address) in self._network.cuts


def _message_bytes(item: message.Request | message.Response) -> int:
    headers = sum(
        len(name) + len(value) + 4 for name, value in item.headers.items()
    )
    return traffic.wire_bytes(MESSAGE_HEAD_BYTES + headers + len(item.body))


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Addresses of the stand-ins and the injected network faults."""

    store: client.Address
    host_list: client.Address
    network: Network


class Node:
    """A daemon's configuration and membership controllers and peer server.

    :ivar adopted_at: adoption times by sequence, of ``time.monotonic``; only
        those since the last start.
    :ivar reverted: number of adoptions of a sequence that was not higher than
        all earlier ones since the last start.
    :ivar started_at: time of the last start, of ``time.monotonic``.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        platform: Platform,
        *,
        seed: int,
        port: int = 0,
    ) -> None:
        self.name = name
        self.domain = domain
        self.adopted_at: dict[int, float] = {}
        self.reverted = 0
        self.started_at = 0.0
        self._platform = platform
        self._rng = random.Random(seed)
        self._port = port
        self._task: curio.Task | None = None
        self._pools: list[FaultyPool] = []
        self._server: server.Server | None = None

    async def start(self) -> None:
        """Start the server and the controllers.

        A start after ``stop`` keeps the port and has a new incarnation.
        """
        self.started_at = time.monotonic()
        peers = service.PeerService(CLUSTER_KEY)
        self._server = server.Server(peers.handle)
        await self._server.start('127.0.0.1', self._port)
        self._port = self._server.address[1]
        incarnation = f'{self._rng.getrandbits(64):016x}'
        own = members.Member(
            ids.MemberId(self.name),
            int(time.time()),
            members.MemberState.ALIVE,
            ids.Incarnation(incarnation),
            self._server.address,
            ids.DomainId(self.domain),
        )
        self.table = members.Members(own, now=time.monotonic())
        self._build(peers)
        self._task = await curio.spawn(self._run, daemon=True)

    def _build(self, peers: service.PeerService) -> None:
        platform = self._platform
        self._pools = [
            FaultyPool(self.name, platform.network) for _ in range(3)
        ]
        self.client = peer_client.PeerClient(
            CLUSTER_KEY, connections=self._pools[0]
        )
        self.store = httpstore.HttpStore(
            platform.store, connections=self._pools[1]
        )
        host_list = hosts.HttpHostList(
            platform.host_list, connections=self._pools[2]
        )
        self.view = view.MembersView(self.table)
        self.configuration = configuration.Controller(
            self.store,
            self.client,
            self.view,
            rng=self._rng,
        )
        self.membership = membership.Controller(
            self.table,
            host_list,
            self.client,
            self.configuration,
            rng=self._rng,
        )
        self.configuration.register(peers)
        self.membership.register(peers)
        # Messages in flight when a node is stopped still reach the holder of
        # the old incarnation, which must not change the new one's times.
        self.adopted_at = {}
        self.configuration.holder.subscribe(
            functools.partial(self._record_adoption, self.adopted_at)
        )

    async def _record_adoption(
        self,
        adopted_at: dict[int, float],
        adopted: adoption.AdoptedConfiguration,
    ) -> None:
        sequence = adopted.sequence
        self.reverted += sequence <= max(adopted_at, default=0)
        adopted_at[sequence] = time.monotonic()

    async def _run(self) -> None:
        async with curio.TaskGroup() as group:
            await group.spawn(self.configuration.run)
            await group.spawn(self.membership.run)

    @property
    def address(self) -> client.Address:
        return '127.0.0.1', self._port

    @property
    def platform_bytes(self) -> int:
        """Estimated bytes to and from the platform since the last start."""
        return self._pools[1].exchanged_bytes + self._pools[2].exchanged_bytes

    @property
    def running(self) -> bool:
        return self._task is not None

    @property
    def sequence(self) -> int:
        return self.configuration.holder.sequence

    async def stop(self) -> None:
        """Stop the controllers and the server at once, as a crash would."""
        if self._task is None or self._server is None:
            return
        await self._task.cancel()
        self._task = None
        await self._server.drain(limit=0.0)
        for connections in self._pools:
            await connections.close()

    def host_list_entry(self) -> dict[str, str]:
        """Return this node's entry for the host list."""
        return {
            'host_id': self.name,
            'role': 'daemon',
            'address': f'127.0.0.1:{self._port}',
            'domain': self.domain,
            'state': 'live',
        }


__all__ = ('CLUSTER_KEY', 'FaultyPool', 'Network', 'Node', 'Platform')
