"""Daemons reduced to configuration and membership, with faults on command."""
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

# First line, host and blank line of a message with a typical target.
HEAD_BYTES: typing.Final = 100
KEY: typing.Final = b'cluster key of the benchmark'


class Network:
    """Says which paths between addresses are cut.

    :ivar cuts: pairs of the calling node's name and the address called.
    :ivar silent_watches: names of nodes whose watches are never answered.
    """

    def __init__(self) -> None:
        self.cuts: set[tuple[str, client.Address]] = set()
        self.silent_watches: set[str] = set()


class CutPool(pool.Pool):
    """A pool that loses what the network does not carry.

    :ivar carried: estimated bytes of all exchanges on the wire.
    """

    def __init__(self, name: str, network: Network) -> None:
        super().__init__()
        self._name = name
        self._network = network
        self.carried = 0

    async def exchange(
        self,
        address: client.Address,
        request: message.Request,
        *,
        timeout: float,
        max_body: int = message.MAX_BODY_BYTES,
        echo: str = '',
        fresh: bool = False,
    ) -> result.Result[message.Response, client.ExchangeError]:
        lost = result.Err(
            client.ExchangeError(client.Fault.TIMEOUT, 'cut', True)
        )
        if self._lost(address, request):
            await curio.sleep(timeout)
            return lost
        answer = await super().exchange(
            address,
            request,
            timeout=timeout,
            max_body=max_body,
            echo=echo,
            fresh=fresh,
        )
        if self._lost(address, request):
            # Cut while the exchange was under way.
            return lost
        self.carried += _message_bytes(request)
        if isinstance(answer, result.Ok):
            self.carried += _message_bytes(answer.ok_value)
        return answer

    def _lost(self, address: client.Address, request: message.Request) -> bool:
        silent = self._name in self._network.silent_watches
        if silent and request.target.startswith('/v1/watch'):
            return True
        return (self._name, address) in self._network.cuts


def _message_bytes(item: message.Request | message.Response) -> int:
    headers = sum(
        len(name) + len(value) + 4 for name, value in item.headers.items()
    )
    return traffic.wire_bytes(HEAD_BYTES + headers + len(item.body))


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Addresses of the stand-ins and the state of the network."""

    store: client.Address
    host_list: client.Address
    network: Network


class Node:
    """One daemon's controllers and its internal listener.

    :ivar adopted_at: times by sequence, by ``time.monotonic``.
    :ivar reverted: adoptions of a sequence that was not above the last.
    :ivar started_at: of the last start, by ``time.monotonic``.
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
        self._pools: list[CutPool] = []
        self._server: server.Server | None = None

    async def start(self) -> None:
        """Listen and run all tasks; after ``stop`` this is a restart."""
        self.started_at = time.monotonic()
        peers = service.PeerService(KEY)
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
        self._pools = [CutPool(self.name, platform.network) for _ in range(3)]
        self.client = peer_client.PeerClient(KEY, connections=self._pools[0])
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
        # Messages that were under way when a node was stopped still reach
        # the holder of that run; they must not count for the next one.
        self.adopted_at = {}
        self.configuration.holder.subscribe(
            functools.partial(self._note, self.adopted_at)
        )

    async def _note(
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
        """Return estimated bytes to and from the platform so far."""
        return self._pools[1].carried + self._pools[2].carried

    @property
    def running(self) -> bool:
        return self._task is not None

    @property
    def sequence(self) -> int:
        return self.configuration.holder.sequence

    async def stop(self) -> None:
        """End everything at once, as a crash would."""
        if self._task is None or self._server is None:
            return
        await self._task.cancel()
        self._task = None
        await self._server.drain(limit=0.0)
        for connections in self._pools:
            await connections.close()

    def listed(self) -> dict[str, str]:
        """Return this node's entry of the host list."""
        return {
            'host_id': self.name,
            'role': 'daemon',
            'address': f'127.0.0.1:{self._port}',
            'domain': self.domain,
            'state': 'live',
        }


__all__ = ('CutPool', 'KEY', 'Network', 'Node', 'Platform')
