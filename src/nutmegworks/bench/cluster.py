"""Runs many nodes of nutmegd and the stand-ins in one curio kernel.

The nodes are reduced to configuration and membership, see bench.nodes.
"""
from __future__ import annotations

import contextlib
import random
import time
import typing

import curio

from nutmegworks.adapters import httpstore
from nutmegworks.bench import nodes
from nutmegworks.bench import traffic
from nutmegworks.configuration import change
from nutmegworks.configuration import document
from nutmegworks.configuration import repository
from nutmegworks.net import client
from nutmegworks.net import server
from standins import hosts as host_stand_in
from standins import store as store_stand_in

TEAM: typing.Final = 'north'
POLL_INTERVAL_SECONDS: typing.Final = 0.02


class Cluster:
    """Nodes in failure domains, a store and a host list.

    :ivar operator: address of the store for the operator who makes changes;
        its traffic is not counted.
    :ivar accepted_at: acceptance times by sequence, of ``time.monotonic``.
    """

    def __init__(
        self,
        platform: nodes.Platform,
        store: store_stand_in.StoreStandIn,
        host_list: host_stand_in.HostListStandIn,
        *,
        operator: client.Address,
        seed: int,
    ) -> None:
        self.platform = platform
        self.operator = operator
        self.network = platform.network
        self.store = store
        self.host_list = host_list
        self.rng = random.Random(seed)
        self.nodes: list[nodes.Node] = []
        self.accepted_at: dict[int, float] = {}
        self.repository = repository.Repository(
            httpstore.HttpStore(operator),
            rng=random.Random(seed),
        )

    @property
    def platform_ports(self) -> set[int]:
        return {self.platform.store[1], self.platform.host_list[1]}

    def count_traffic(self) -> typing.ContextManager[traffic.Traffic]:
        """Count the traffic of the nodes."""
        return traffic.count_traffic(self.platform_ports, {self.operator[1]})

    @property
    def running(self) -> list[nodes.Node]:
        return [node for node in self.nodes if node.running]

    @property
    def readers(self) -> list[nodes.Node]:
        return [node for node in self.running if node.view.is_reader()]

    async def start(self, count: int, domains: int) -> None:
        """Start all nodes and then list all of them in the host list."""
        for index in range(count):
            domain = f'domain-{index % domains}'
            node = nodes.Node(
                f'host-{index}',
                domain,
                self.platform,
                seed=self.rng.getrandbits(32),
            )
            self.nodes.append(node)
            await node.start()
        self.host_list.hosts = [node.host_list_entry() for node in self.nodes]

    async def accept(
        self,
        operation: change.Operation | None = None,
    ) -> int:
        """Write a change to the store and return its sequence.

        :param operation: a random one if it is not given.
        """
        loaded = (await self.repository.load()).ok()
        base = 0 if loaded is None else loaded.sequence
        draft = change.Change(
            f'{self.rng.getrandbits(64):016x}',
            'bench',
            int(time.time()),
            (operation or self._random_operation(base), ),
        )
        accepted = (await self.repository.accept(draft, base=base)).unwrap()
        self.accepted_at[accepted.sequence] = time.monotonic()
        return accepted.sequence

    def _random_operation(self, base: int) -> change.Operation:
        if not base:
            return change.PutTeam(TEAM, document.TeamEntry())
        domain = f'domain-{self.rng.randrange(6)}'
        shapes = (f'{self.rng.randrange(1, 9)}x8', )
        return change.SetGuarantee(TEAM, domain, shapes)

    async def wait_until_adopted(
        self,
        sequence: int,
        *,
        limit: float,
        expected_nodes: list[nodes.Node] | None = None,
    ) -> bool:
        """Wait until nodes have adopted a sequence or a later one.

        :param limit: maximum wait in seconds.
        :param expected_nodes: all running nodes if it is not given.
        :return: whether all of them adopted it within the limit.
        """
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            expected = (
                self.running if expected_nodes is None else expected_nodes
            )
            if all(node.sequence >= sequence for node in expected):
                return True
            await curio.sleep(POLL_INTERVAL_SECONDS)
        return False

    def cut_from_store(self, cut_nodes: typing.Iterable[nodes.Node]) -> None:
        """Make the store unreachable for some nodes."""
        self.network.cuts |= {
            (node.name, self.platform.store)
            for node in cut_nodes
        }

    def isolate(self, domain: str) -> list[nodes.Node]:
        """Cut a failure domain from all others and from the platform.

        :return: the nodes of the domain.
        """
        inside = [node for node in self.nodes if node.domain == domain]
        outside = [node for node in self.nodes if node.domain != domain]
        for node in inside:
            self.network.cuts.add((node.name, self.platform.store))
            self.network.cuts.add((node.name, self.platform.host_list))
            for other in outside:
                self.network.cuts.add((node.name, other.address))
                self.network.cuts.add((other.name, node.address))
        return inside

    def latencies(self, node: nodes.Node) -> list[float]:
        """Return seconds from acceptance to adoption for each change.

        A node may skip sequences; a change counts as adopted once the node
        adopts it or a later one.
        """
        seconds = []
        for sequence, accepted in self.accepted_at.items():
            times = [
                adopted_at for adopted, adopted_at in node.adopted_at.items()
                if adopted >= sequence
            ]
            if times and node.started_at < accepted:
                seconds.append(max(0.0, min(times) - accepted))
        return seconds


@contextlib.asynccontextmanager
async def running(
    count: int,
    *,
    domains: int = 3,
    seed: int = 1,
) -> typing.AsyncIterator[Cluster]:
    """Run a cluster whose store holds one change."""
    store = store_stand_in.StoreStandIn()
    host_list = host_stand_in.HostListStandIn()
    servers = [
        server.Server(handler)
        for handler in (store.handle, host_list.handle, store.handle)
    ]
    for service in servers:
        await service.start('127.0.0.1', 0)
    platform = nodes.Platform(
        servers[0].address,
        servers[1].address,
        nodes.Network(),
    )
    cluster = Cluster(
        platform,
        store,
        host_list,
        operator=servers[2].address,
        seed=seed,
    )
    try:
        await cluster.accept()
        await cluster.start(count, domains)
        yield cluster
    finally:
        for node in cluster.nodes:
            await node.stop()
        for service in servers:
            await service.drain(limit=0.0)


__all__ = ('Cluster', 'running')
