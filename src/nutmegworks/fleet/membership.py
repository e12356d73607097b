"""Keeps this daemon's lease in the store and takes part in leader election.

The daemon that wrote the leader key leads. The revision of the key is the
fencing token: it is higher for each new leader.
"""
from __future__ import annotations

import random
import secrets
import time
import typing

import curio
import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import prefix_watcher
from nutmegworks.model import documents
from nutmegworks.model import ids
from nutmegworks.policy import store_routes
from nutmegworks.tasks import records

_LOG: typing.Final = logbook.Logger('membership')

# The store grants leases of 1 s or more. A takeover within 2 s rules out a
# longer lease, and the lease must survive the loss of one renewal.
LEASE_SECONDS: typing.Final = 2.0
RENEW_INTERVAL_SECONDS: typing.Final = 0.5
# A leader whose lease was not renewed for this time sends no requests to
# workers. Workers refuse requests of an older leader, so this bounds only how
# long a new leader has to wait for workers that it can't reach.
MAX_RENEWAL_AGE_SECONDS: typing.Final = 6.0
# Candidates write the leader key after a random delay of up to this time, so
# that most elections take a single write.
CANDIDACY_JITTER_SECONDS: typing.Final = 0.15
# Scheduling for 176 workers keeps a host with two cores busy for half of the
# time, so hosts with fewer cores wait this long for a larger host to become
# the leader.
SMALL_HOST_DELAY_SECONDS: typing.Final = 0.4
# Ratio of core counts from which on a host counts as larger.
LARGER_HOST_RATIO: typing.Final = 1.5


def steady_clock() -> float:
    """Return seconds of a monotonic clock that runs during suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class MemberSink(prefix_watcher.Sink):
    """Tracks the daemons that are registered in the store.

    :ivar own_record_missing: the store was read, and this daemon is not
        registered.
    """

    def __init__(self, own_id: ids.MemberId) -> None:
        self._own_id = own_id
        self.members_by_id: dict[ids.MemberId, records.Member] = {}
        self.own_record_missing = False

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        self.members_by_id.clear()
        for item in items:
            self._put(item)
        self.own_record_missing = self._own_id not in self.members_by_id

    async def apply(self, changes: interfaces.Changes) -> None:
        for key, _ in changes.removed:
            self.members_by_id.pop(_member_id(key), None)
        for item in changes.items:
            self._put(item)
        self.own_record_missing = self._own_id not in self.members_by_id

    def _put(self, item: interfaces.Item) -> None:
        try:
            member = documents.decode(item.value, records.Member)
        except ValueError as error:
            _LOG.warning(
                'member record could not be decoded',
                key=item.key,
                error=str(error)
            )
            self.members_by_id.pop(_member_id(item.key), None)
            return
        self.members_by_id[_member_id(item.key)] = member

    def has_larger_peer(self, member: records.Member) -> bool:
        """Return whether another host counts as larger than a member's."""
        return any(
            other.cores >= LARGER_HOST_RATIO * member.cores
            for other_id, other in self.members_by_id.items()
            if other_id != self._own_id and member.cores > 0
        )

    def relay_peers(self) -> list[store_routes.Peer]:
        """Return other hosts that can relay calls, in random order."""
        peers = [
            store_routes.Peer(
                (member.host, member.port), ids.DomainId(member.domain),
                member.link
            )
            for member_id, member in self.members_by_id.items()
            if member_id != self._own_id
        ]
        random.shuffle(peers)
        return peers


def _member_id(key: str) -> ids.MemberId:
    return ids.MemberId(key.removeprefix(records.MEMBERS_PREFIX))


class Leadership(typing.NamedTuple):
    """A leader and the revision of its leader key.

    :param revision: fencing token of the leader's requests to workers.
    """

    revision: ids.StoreRevision
    record: records.Leader


class Membership:
    """Maintains this daemon's lease, member key and leader key.

    :param members: the registered daemons, to compare sizes of hosts.
    :param min_lease: shortest lease that the store grants, in seconds.
    """

    def __init__(
        self,
        store: interfaces.Store,
        member_id: ids.MemberId,
        member: records.Member,
        members: MemberSink,
        *,
        min_lease: float,
        clock: typing.Callable[[], float] = steady_clock,
    ) -> None:
        self._store = store
        self._member_id = member_id
        self._member = member
        self._members = members
        self._clock = clock
        self._lease_seconds = max(LEASE_SECONDS, min_lease)
        self._lease_id: interfaces.LeaseId | None = None
        self._renewed_at = clock()
        # When this daemon observed that the leader key was removed.
        self._leaderless_since = clock()
        self._leaving = False
        # Whether the leader key has been read at least once.
        self._leader_key_read = False
        self._incarnation = secrets.token_hex(8)
        self.leader: Leadership | None = None
        self.changed = curio.Event()

    @property
    def member_id(self) -> ids.MemberId:
        return self._member_id

    @property
    def leads(self) -> bool:
        """Whether this daemon leads as far as it has observed."""
        return (
            self.leader is not None and not self._leaving
            and self.leader.record.incarnation == self._incarnation
        )

    def has_no_leader(self) -> bool:
        """Return whether no running daemon is known to lead.

        A leader key of a previous incarnation of this daemon is obsolete even
        before its lease expires.
        """
        leader = self.leader
        return leader is None or (
            leader.record.member == self._member_id
            and leader.record.incarnation != self._incarnation
        )

    def may_act_as_leader(self) -> bool:
        """Return whether this daemon leads and renewed its lease recently."""
        age = self._clock() - self._renewed_at
        return self.leads and age < MAX_RENEWAL_AGE_SECONDS

    def renewal_age(self) -> float:
        """Return seconds since the last successful renewal was sent."""
        return self._clock() - self._renewed_at

    async def run(self) -> None:
        """Renew the lease and campaign for a vacant leadership."""
        while True:
            await self._renew()
            if self._leader_key_read and self.has_no_leader():
                await self.campaign()
            await curio.sleep(RENEW_INTERVAL_SECONDS)

    async def _renew(self) -> None:
        if self._leaving:
            return
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
            if self._members.own_record_missing:
                # A registration with an earlier lease was carried out late
                # and has expired with that lease.
                await self._register()
            return
        _LOG.info('member lease expired', lease=self._lease_id)
        self._lease_id = None
        if self.leads:
            await self.observe_leader(None)
        await self._renew()

    async def _register(self) -> None:
        if self._lease_id is None or self._leaving:
            return
        key = f'{records.MEMBERS_PREFIX}{self._member_id}'
        write = interfaces.Write(
            key, records.encode(self._member), self._lease_id
        )
        done = await self._store.commit(interfaces.Transaction({}, (write, )))
        if done.is_err():
            _LOG.info(
                'registering the member failed', detail=done.err_value.detail
            )
            self._lease_id = None
        elif done.ok_value.outcome is interfaces.CommitOutcome.NO_LEASE:
            self._lease_id = None

    def _defers_to_larger_host(self) -> bool:
        """Return whether to leave the leadership to a larger host for now."""
        leaderless_seconds = self._clock() - self._leaderless_since
        return (
            leaderless_seconds < SMALL_HOST_DELAY_SECONDS
            and self._members.has_larger_peer(self._member)
        )

    async def campaign(self) -> None:
        """Try to become the leader if there is none."""
        if self._defers_to_larger_host():
            return
        await curio.sleep(random.uniform(0, CANDIDACY_JITTER_SECONDS))
        if not self.has_no_leader() or self._leaving:
            return
        if self._lease_id is None:
            return
        record = records.Leader(
            self._member_id,
            self._incarnation,
            self._member.host,
            self._member.port,
        )
        expected = interfaces.ABSENT
        if self.leader is not None:
            expected = self.leader.revision
        write = interfaces.Write(
            records.LEADER_KEY, records.encode(record), self._lease_id
        )
        done = await self._store.commit(
            interfaces.Transaction({records.LEADER_KEY: expected}, (write, )),
            # A second copy meets the first one's revision, and the key then
            # names this daemon.
            repeatable=True,
        )
        if done.is_err():
            # The write may have taken effect: read the key.
            await self.read_leader()
            return
        commit = done.ok_value
        if commit.outcome is interfaces.CommitOutcome.COMMITTED:
            await self.observe_leader(Leadership(commit.revision, record))
            return
        if commit.outcome is interfaces.CommitOutcome.NO_LEASE:
            self._lease_id = None
            return
        await self.read_leader()

    async def read_leader(self) -> None:
        """Read the leader key from the store."""
        stored = await self._store.get(records.LEADER_KEY)
        if stored.is_err():
            return
        item = stored.ok_value
        await self.observe_leader(
            None if item is None else decode_leader(item)
        )

    async def observe_leader(self, leader: Leadership | None) -> None:
        """Record the leader that the store names, None if it names none."""
        self._leader_key_read = True
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
            self._leaderless_since = self._clock()
        await self.changed.set()

    async def leave(self) -> None:
        """End the lease and with it the leadership; stop campaigning."""
        self._leaving = True
        if self._lease_id is not None:
            await self._store.end_lease(self._lease_id)


def decode_leader(item: interfaces.Item) -> Leadership | None:
    """Return the leader that an item names, None if it is unreadable."""
    try:
        record = documents.decode(item.value, records.Leader)
    except ValueError as error:
        _LOG.warning(
            'leader record could not be decoded',
            key=item.key,
            error=str(error)
        )
        return None
    return Leadership(item.revision, record)


class ControlSink(prefix_watcher.Sink):
    """Observes members and the leader; campaigns if there is no leader."""

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
        await self._membership.observe_leader(leaders[0] if leaders else None)
        await self._campaign_if_leaderless()

    async def apply(self, changes: interfaces.Changes) -> None:
        await self._members.apply(
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
        await self._apply_leader_changes(changes)
        await self._campaign_if_leaderless()

    async def _apply_leader_changes(self, changes: interfaces.Changes) -> None:
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
            await self._membership.observe_leader(decode_leader(newest))
            return
        current = self._membership.leader
        if removed and current is not None and current.revision < removed:
            await self._membership.observe_leader(None)

    async def _campaign_if_leaderless(self) -> None:
        if self._membership.has_no_leader():
            await self._membership.campaign()


__all__ = (
    'ControlSink',
    'Leadership',
    'MemberSink',
    'Membership',
    'decode_leader',
    'steady_clock',
)
