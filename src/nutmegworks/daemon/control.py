"""Wires configuration, membership and the messages between daemons."""
from __future__ import annotations

import random
import time
import typing

import curio
import logbook

from nutmegworks.adapters import hosts
from nutmegworks.adapters import store
from nutmegworks.configuration import adoption
from nutmegworks.configuration import controller as configuration
from nutmegworks.membership import controller as membership
from nutmegworks.membership import members
from nutmegworks.membership import view
from nutmegworks.model import ids
from nutmegworks.model import published
from nutmegworks.model import work
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import service as peer_service
from nutmegworks.settings import schema

_LOG: typing.Final = logbook.Logger('control')

# A peer that answers more slowly than this is asked again.
PEER_DRAIN_SECONDS: typing.Final = 2.0


class Control:
    """What one daemon shares with the others.

    :ivar published: the configuration in force.
    :ivar peers: serves messages of other daemons.
    """

    def __init__(
        self,
        settings: schema.Settings,
        incarnation: ids.Incarnation,
        backend: store.Store,
        host_list: hosts.HostList,
    ) -> None:
        self._settings = settings
        rng = random.SystemRandom()
        own = members.Member(
            ids.MemberId(settings.daemon_host_id),
            # A restarted process must supersede its earlier record.
            int(time.time()),
            members.MemberState.ALIVE,
            incarnation,
            settings.daemon_peers,
            ids.DomainId(settings.daemon_domain),
        )
        self.table = members.Members(own, now=time.monotonic())
        self.peers = peer_service.PeerService(settings.cluster_key)
        # A pool of its own, so that a burst of requests to upstreams does
        # not close the connections between daemons.
        self._pool = pool.Pool()
        self.client = peer_client.PeerClient(
            settings.cluster_key, connections=self._pool
        )
        self.configuration = configuration.Controller(
            backend, self.client, view.MembersView(self.table), rng=rng
        )
        self.membership = membership.Controller(
            self.table, host_list, self.client, self.configuration, rng=rng
        )
        self.configuration.register(self.peers)
        self.membership.register(self.peers)
        self.published = published.Published[work.Configuration]()
        self.configuration.holder.subscribe(self._adopted)
        self._server = server.Server(self.peers.handle)

    async def _adopted(self, adopted: adoption.AdoptedConfiguration) -> None:
        self.published.publish(adopted.configuration)
        _LOG.info('configuration in force', sequence=adopted.sequence)

    def live_member_ids(self) -> tuple[ids.MemberId, ...]:
        """Return this daemon and all others that are thought to be alive."""
        return tuple(member.member_id for member in self.table.alive())

    async def start(self) -> None:
        """Listen for other daemons."""
        await self._server.start(*self._settings.daemon_peers)

    async def run(self) -> None:
        """Run until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.configuration.run)
            await group.spawn(self.membership.run)

    async def leave(self) -> None:
        """Tell peers that this daemon is leaving."""
        await self.membership.leave()

    async def drain(self) -> None:
        """Answer the last messages and stop listening."""
        await self._server.drain(PEER_DRAIN_SECONDS)

    async def retire_connections(self) -> None:
        """Close idle connections to peers."""
        await self._pool.retire()


__all__ = ('Control', )
