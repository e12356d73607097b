"""The members as the configuration controller sees them."""
from __future__ import annotations

import typing

from nutmegworks.configuration import view
from nutmegworks.membership import members
from nutmegworks.membership import rendezvous
from nutmegworks.net import client

READERS_PER_DOMAIN: typing.Final = 2


class MembersView(view.ClusterView):
    """Answers the controller's queries from the membership table."""

    def __init__(self, table: members.Members) -> None:
        self._table = table

    def is_reader(self) -> bool:
        # Without the host list every daemon would consider itself the only
        # one, and all of them would read the store.
        if not self._table.has_host_list:
            return False
        own = self._table.own
        names = (
            member.member_id for member in self._table.alive(own.domain_id)
        )
        topic = f'configuration/{own.domain_id}'
        chosen = rendezvous.choose(topic, names, count=READERS_PER_DOMAIN)
        return own.member_id in chosen

    def member_count(self) -> int | None:
        if not self._table.has_host_list:
            return None
        return len(self._table.alive())

    def responsive_peers(self, count: int) -> tuple[client.Address, ...]:
        # Heartbeat targets are random, so these peers are a random choice too.
        # Connections to them are still open; opening new ones would take a
        # third of the bytes.
        chosen = self._table.responsive_peers(count)
        return tuple(member.address for member in chosen)


__all__ = ('MembersView', 'READERS_PER_DOMAIN')
