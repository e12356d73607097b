"""What the configuration controller needs to know of the members."""
from __future__ import annotations

import typing

from nutmegworks.configuration import view
from nutmegworks.membership import members
from nutmegworks.membership import rendezvous
from nutmegworks.net import client

READERS_PER_DOMAIN: typing.Final = 2


class MembersView(view.ClusterView):
    """Derives the reader role from the table of members."""

    def __init__(self, table: members.Members) -> None:
        self._table = table

    def is_reader(self) -> bool:
        # Without the host list every daemon would take itself for the only
        # one, and all would read the store.
        if not self._table.listed:
            return False
        own = self._table.own
        names = (
            member.member_id for member in self._table.alive(own.domain_id)
        )
        topic = f'configuration/{own.domain_id}'
        chosen = rendezvous.choose(topic, names, count=READERS_PER_DOMAIN)
        return own.member_id in chosen

    def member_count(self) -> int | None:
        if not self._table.listed:
            return None
        return len(self._table.alive())

    def responsive_peers(self, count: int) -> tuple[client.Address, ...]:
        # Heartbeats choose partners at random, so these are as good as any
        # and spare a third of the bytes, those of opening a connection.
        chosen = self._table.partners(count)
        return tuple(member.address for member in chosen)


__all__ = ('MembersView', 'READERS_PER_DOMAIN')
