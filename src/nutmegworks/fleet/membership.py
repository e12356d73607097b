"""Keeps this daemon's lease and decides with the others who leads.

The leader is whoever created the leader key. The key's revision is the
fencing token: it rises with each leader.
"""
from __future__ import annotations

import random
import secrets
import time
import typing

import curio
import logbook
import msgspec

from nutmegworks.fleet import follow
from nutmegworks.fleet import interfaces
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.tasks import records

_LOG: typing.Final = logbook.Logger('membership')

# The store grants leases from 1 s on. A takeover within 2 s needs one below
# that, and a renewal that is lost once must not end it.
LEASE_SECONDS: typing.Final = 2.0
RENEW_SECONDS: typing.Final = 0.5
# The leader gives no orders after this time without a renewal, in seconds.
# Workers refuse the orders of an older leader, so this bounds only for how
# long a new leader has to wait for workers that it does not reach.
ORDERS_WITHOUT_RENEWAL_SECONDS: typing.Final = 6.0
# Candidates are spread over this time, so that one of them wins cheaply.
CANDIDACY_JITTER_SECONDS: typing.Final = 0.15
# Decisions for 176 workers keep a host of two cores busy for half of the time,
# so hosts with fewer cores leave the lead to a larger one for this time.
DEFERENCE_SECONDS: typing.Final = 0.4
# A host with this many times the cores counts as larger.
LARGER_FACTOR: typing.Final = 1.5


def steady_clock() -> float:
    """Return seconds that also pass while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class MemberSink(follow.Sink):
    """The addresses of the other daemons."""

    def __init__(self, own_id: ids.MemberId, domain: ids.DomainId) -> None:
        self._own_id = own_id
        self._domain = domain
        self.members_by_id: dict[ids.MemberId, records.Member] = {}

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        self.members_by_id.clear()
        for item in items:
            self._put(item)

    async def change(self, changes: interfaces.Changes) -> None:
        for key, _ in changes.removed:
            self.members_by_id.pop(_member_id(key), None)
        for item in changes.items:
            self._put(item)

    def _put(self, item: interfaces.Item) -> None:
        try:
            member = msgspec.json.decode(item.value, type=records.Member)
        except msgspec.MsgspecError as error:
            _LOG.warning('unreadable member', key=item.key, error=str(error))
            return
        self.members_by_id[_member_id(item.key)] = member

    def has_larger_than(self, member: records.Member) -> bool:
        """Return whether another host has clearly more cores."""
        return any(
            other.cores >= LARGER_FACTOR * member.cores
            for other_id, other in self.members_by_id.items()
            if other_id != self._own_id and member.cores > 0
        )

    def peer_addresses(self) -> list[client.Address]:
        """Return other daemons, those of other failure domains first."""
        others = [
            member for member_id, member in self.members_by_id.items()
            if member_id != self._own_id
        ]
        random.shuffle(others)
        others.sort(key=lambda member: member.domain == self._domain)
        return [(member.host, member.port) for member in others]


def _member_id(key: str) -> ids.MemberId:
    return ids.MemberId(key.removeprefix(records.MEMBERS_PREFIX))


class Leadership(typing.NamedTuple):
    """:param revision: of the leader key; orders carry it as their token."""

    revision: ids.StoreRevision
    record: records.Leader


class Membership:
    """The lease, the member key and the leader key of this daemon."""

    def __init__(
        self,
        store: interfaces.Store,
        member_id: ids.MemberId,
        member: records.Member,
        others: MemberSink,
        *,
        min_lease: float,
        clock: typing.Callable[[], float] = steady_clock,
    ) -> None:
        self._store = store
        self._member_id = member_id
        self._member = member
        self._others = others
        self._clock = clock
        self._lease_seconds = max(LEASE_SECONDS, min_lease)
        self._lease_id: interfaces.LeaseId | None = None
        self._renewed_at = clock()
        # When the leader key was first known to be free.
        self._vacant_since = clock()
        self._standing_down = False
        # Whether the leader key has been read at all.
        self._informed = False
        self._incarnation = secrets.token_hex(8)
        self.leader: Leadership | None = None
        self.changed = curio.Event()

    @property
    def member_id(self) -> ids.MemberId:
        return self._member_id

    @property
    def leads(self) -> bool:
        """Whether this daemon holds the leader key as far as it knows."""
        return (
            self.leader is not None and not self._standing_down
            and self.leader.record.incarnation == self._incarnation
        )

    def leader_is_gone(self) -> bool:
        """Return whether nobody leads.

        A leader key of this host's previous process is known to be obsolete
        before its lease ends.
        """
        leader = self.leader
        return leader is None or (
            leader.record.member == self._member_id
            and leader.record.incarnation != self._incarnation
        )

    def may_order(self) -> bool:
        """Return whether the last renewal is recent enough for orders."""
        age = self._clock() - self._renewed_at
        return self.leads and age < ORDERS_WITHOUT_RENEWAL_SECONDS

    def renewal_age(self) -> float:
        """Return seconds since the last renewal was sent."""
        return self._clock() - self._renewed_at

    async def run(self) -> None:
        """Keep the lease and stand for leadership until cancelled."""
        while True:
            await self._renew()
            if self._informed and self.leader_is_gone():
                await self.stand()
            await curio.sleep(RENEW_SECONDS)

    async def _renew(self) -> None:
        sent = self._clock()
        if self._lease_id is None:
            granted = await self._store.grant_lease(self._lease_seconds)
            if granted.is_err():
                return
            self._lease_id = granted.ok_value
            self._renewed_at = sent
            await self._register()
            return
        renewed = await self._store.renew_lease(self._lease_id)
        if renewed.is_err():
            return
        if renewed.ok_value:
            self._renewed_at = sent
            return
        _LOG.info('lease lost', lease=self._lease_id)
        self._lease_id = None
        if self.leads:
            await self.note_leader(None)
        await self._renew()

    async def _register(self) -> None:
        assert self._lease_id is not None
        key = f'{records.MEMBERS_PREFIX}{self._member_id}'
        write = interfaces.Write(
            key, records.encode(self._member), self._lease_id
        )
        done = await self._store.commit(interfaces.Transaction({}, (write, )))
        if done.is_err():
            _LOG.info('registration failed', detail=done.err_value.detail)
            self._lease_id = None

    def _defers(self) -> bool:
        """Return whether a larger host should lead; it is tried again."""
        vacant = self._clock() - self._vacant_since
        return (
            vacant < DEFERENCE_SECONDS
            and self._others.has_larger_than(self._member)
        )

    async def stand(self) -> None:
        """Try to become the leader if nobody is."""
        if self._defers():
            return
        await curio.sleep(random.uniform(0, CANDIDACY_JITTER_SECONDS))
        if not self.leader_is_gone() or self._standing_down:
            return
        if self._lease_id is None:
            return
        record = records.Leader(
            self._member_id,
            self._incarnation,
            self._member.host,
            self._member.port,
        )
        present = interfaces.ABSENT
        if self.leader is not None:
            present = self.leader.revision
        write = interfaces.Write(
            records.LEADER_KEY, records.encode(record), self._lease_id
        )
        done = await self._store.commit(
            interfaces.Transaction({records.LEADER_KEY: present}, (write, ))
        )
        if done.is_err():
            # The write may have taken effect: read the key.
            await self.read_leader()
            return
        commit = done.ok_value
        if commit.outcome is interfaces.CommitOutcome.COMMITTED:
            await self.note_leader(Leadership(commit.revision, record))
            return
        if commit.outcome is interfaces.CommitOutcome.NO_LEASE:
            self._lease_id = None
            return
        await self.read_leader()

    async def read_leader(self) -> None:
        """Read the leader key now."""
        found = await self._store.get(records.LEADER_KEY)
        if found.is_err():
            return
        item = found.ok_value
        await self.note_leader(None if item is None else decode_leader(item))

    async def note_leader(self, leader: Leadership | None) -> None:
        """Take what the store says of the leader key."""
        self._informed = True
        if leader == self.leader:
            return
        own = (
            leader is not None
            and leader.record.incarnation == self._incarnation
        )
        _LOG.info(
            'leader changed',
            leader=leader.record.member if leader else None,
            token=leader.revision if leader else 0,
            own=own,
            renewal_age=round(self.renewal_age(), 3),
        )
        self.leader = leader
        if leader is None:
            self._vacant_since = self._clock()
        await self.changed.set()

    async def leave(self) -> None:
        """Give up the leader key and the lease."""
        self._standing_down = True
        if self._lease_id is not None:
            await self._store.end_lease(self._lease_id)


def decode_leader(item: interfaces.Item) -> Leadership | None:
    """Return the leader that an item names, None if it is unreadable."""
    try:
        record = msgspec.json.decode(item.value, type=records.Leader)
    except msgspec.MsgspecError as error:
        _LOG.warning('unreadable leader', error=str(error))
        return None
    return Leadership(item.revision, record)


class ControlSink(follow.Sink):
    """Takes members and leader; stands for leadership when it is free."""

    def __init__(self, members: MemberSink, membership: Membership) -> None:
        self._members = members
        self._membership = membership

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        await self._members.replace(
            [item for item in items if item.key != records.LEADER_KEY]
        )
        leaders = [
            decode_leader(item)
            for item in items
            if item.key == records.LEADER_KEY
        ]
        await self._membership.note_leader(leaders[0] if leaders else None)
        await self._stand_if_free()

    async def change(self, changes: interfaces.Changes) -> None:
        await self._members.change(
            interfaces.Changes(
                tuple(
                    item for item in changes.items
                    if item.key != records.LEADER_KEY
                ),
                tuple(
                    pair for pair in changes.removed
                    if pair[0] != records.LEADER_KEY
                ),
                changes.revision,
            )
        )
        await self._change_leader(changes)
        await self._stand_if_free()

    async def _change_leader(self, changes: interfaces.Changes) -> None:
        written = [
            item for item in changes.items if item.key == records.LEADER_KEY
        ]
        removed = max(
            (
                revision for key, revision in changes.removed
                if key == records.LEADER_KEY
            ),
            default=0
        )
        newest = max(written, key=lambda item: item.revision, default=None)
        if newest is not None and newest.revision > removed:
            await self._membership.note_leader(decode_leader(newest))
            return
        known = self._membership.leader
        if removed and known is not None and known.revision < removed:
            await self._membership.note_leader(None)

    async def _stand_if_free(self) -> None:
        if self._membership.leader_is_gone():
            await self._membership.stand()


__all__ = (
    'ControlSink',
    'Leadership',
    'MemberSink',
    'Membership',
    'decode_leader',
    'steady_clock',
)
