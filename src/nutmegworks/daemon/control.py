"""Wires what a ``nutmegd`` shares with its peers.

These are the configuration, the membership and the messages between daemons.
"""
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
from nutmegworks.net import budget as budgets
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import service as peer_service
from nutmegworks.settings import schema

_LOG: typing.Final = logbook.Logger('control')

# A peer sends its message again if it gets no response within this time.
PEER_DRAIN_SECONDS: typing.Final = 2.0


class ControlPlane:
    """Configuration, membership and peer messages of one daemon.

    :ivar table: the members of the cluster.
    :ivar peers: serves the messages of other daemons.
    :ivar client: sends messages to other daemons.
    :ivar configuration: replicates the configuration between daemons.
    :ivar membership: detects which daemons are alive.
    :ivar published: the configuration in force.
    """

    def __init__(
        self,
        settings: schema.Settings,
        incarnation: ids.Incarnation,
        backend: store.Store,
        host_list: hosts.HostList,
        budget: budgets.Budget,
    ) -> None:
        self._settings = settings
        rng = random.SystemRandom()
        own_member = members.Member(
            ids.MemberId(settings.daemon_host_id),
            # Generation: a restarted process must supersede its earlier
            # record.
            int(time.time()),
            members.MemberState.ALIVE,
            incarnation,
            settings.daemon_peers,
            ids.DomainId(settings.daemon_domain),
        )
        self.table = members.Members(own_member, now=time.monotonic())
        self.peers = peer_service.PeerService(settings.cluster_key)
        # Separate from the pool for upstreams, so that a burst of requests
        # does not close the connections between daemons.
        self._pool = pool.Pool(budget=budget)
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
        self.configuration.holder.subscribe(self._publish)
        self._peer_server = server.Server(
            self.peers.handle, budget=budget, internal=True
        )

    async def _publish(self, adopted: adoption.AdoptedConfiguration) -> None:
        self.published.publish(adopted.configuration)
        _LOG.info('configuration in force', sequence=adopted.sequence)

    def live_member_ids(self) -> tuple[ids.MemberId, ...]:
        """Return the ids of all live members, this daemon included."""
        return tuple(member.member_id for member in self.table.alive())

    async def start(self) -> None:
        """Start to listen for messages of other daemons."""
        await self._peer_server.start(*self._settings.daemon_peers)

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.configuration.run)
            await group.spawn(self.membership.run)

    async def leave(self) -> None:
        """Tell peers that this daemon is leaving."""
        await self.membership.leave()

    async def drain(self) -> None:
        """Answer the messages in flight and stop listening for peers."""
        await self._peer_server.drain(PEER_DRAIN_SECONDS)

    async def retire_connections(self) -> None:
        """Close idle connections to peers."""
        await self._pool.close_expired()


__all__ = ('ControlPlane', )
