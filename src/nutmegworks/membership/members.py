"""Tracks which members are alive, from gossip and direct contact.

Every record has a generation, which only the member itself raises. Other
members may mark it as suspect at a generation; the member refutes that with a
higher one. A dead member in a gossiped record counts only as suspect: each
daemon waits out the suspect timeout itself, so that a daemon that was cut off
from the network cannot spread the state dead for all other members.
"""
from __future__ import annotations

import collections
import dataclasses
import enum
import math
import random
import typing

from nutmegworks.adapters import hosts
from nutmegworks.model import ids
from nutmegworks.net import client

# To reach all members, a suspect record and its refutation each need about
# log2(members) heartbeat intervals of 1 s. With 5 s for 30 members, a live
# member was declared dead because the path to it was cut.
SUSPECT_TIMEOUT_SECONDS_PER_DOUBLING: typing.Final = 2.0
# A member that sent a message this recently is not marked as suspect: only the
# path to it may be cut.
RECENT_CONTACT_SECONDS: typing.Final = 2.0
# After a member refuted a suspect record of this daemon, the daemon doesn't
# mark it again for this time: the path to it is faulty, and other daemons
# monitor it. The time is proportional to the number of members, so that a
# member that half of them cannot reach has to refute at about the same rate in
# a cluster of any size.
SUSPECT_HOLD_OFF_SECONDS_PER_MEMBER: typing.Final = 2.0
# Members that replied most recently; connections to them are still open.
MAX_RESPONSIVE_PEERS: typing.Final = 4
# Dead and leaving members that the host list doesn't have are removed after
# this time.
MEMBER_RETENTION_SECONDS: typing.Final = 60.0
# A longer gap between two ticks or around a call means that this process was
# paused.
PAUSE_THRESHOLD_SECONDS: typing.Final = 3.0
# One round in this many also sends a heartbeat to a suspect or dead member, so
# that both sides of a partition detect each other after it has healed.
PROBE_INTERVAL_ROUNDS: typing.Final = 4
# An update is sent this many times for each doubling of the members.
RESENDS_PER_DOUBLING: typing.Final = 2


class MemberState(enum.Enum):
    ALIVE = 'alive'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DEAD = 'dead'


# Of two records with the same generation the higher precedence wins.
_PRECEDENCE: typing.Final = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}
# A gossiped record never makes a member dead; see the module docstring.
_STATE_BY_REPORTED_STATE: typing.Final = {
    MemberState.ALIVE: MemberState.ALIVE,
    MemberState.LEAVING: MemberState.LEAVING,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.DEAD: MemberState.SUSPECT,
}
UNREACHABLE_STATES: typing.Final = (MemberState.SUSPECT, MemberState.DEAD)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The membership record of one daemon.

    :param generation: 0 if the daemon is only known from the host list.
    :param incarnation: identifies one run of the daemon's process.
    """

    member_id: ids.MemberId
    generation: int
    state: MemberState
    incarnation: ids.Incarnation
    address: client.Address
    domain_id: ids.DomainId


@dataclasses.dataclass(slots=True)
class _MemberEntry:
    """A member and what only this daemon knows about it; times in seconds.

    :param state_since: time of the last change of its record.
    :param last_contact: time of the last message from the member itself.
    :param suspected_here: whether this daemon itself marked it as suspect.
    :param suspect_not_before: time before which this daemon does not mark it
        as suspect.
    :param in_host_list: whether the last host list had it.
    """

    member: Member
    state_since: float
    last_contact: float = -math.inf
    suspected_here: bool = False
    suspect_not_before: float = -math.inf
    in_host_list: bool = False


class Members:
    """The membership table of one daemon.

    The caller passes the time as ``now``, in seconds of a monotonic clock.

    :ivar has_host_list: whether a host list was applied.
    """

    def __init__(self, own: Member, *, now: float) -> None:
        self._own = own
        self._entry_by_id: dict[ids.MemberId, _MemberEntry] = {}
        self._resends_by_id: dict[ids.MemberId, int] = {}
        self._heartbeat_order: list[ids.MemberId] = []
        self._rounds = 0
        self._responsive: collections.deque[ids.MemberId] = collections.deque(
            maxlen=MAX_RESPONSIVE_PEERS
        )
        self._last_tick = now
        self.has_host_list = False

    @property
    def own(self) -> Member:
        return self._own

    def get(self, member_id: ids.MemberId) -> Member | None:
        if member_id == self._own.member_id:
            return self._own
        entry = self._entry_by_id.get(member_id)
        return None if entry is None else entry.member

    def all(self) -> tuple[Member, ...]:
        """Return all members in the table, this daemon first."""
        entries = self._entry_by_id.values()
        return (self._own, *(entry.member for entry in entries))

    def alive(
        self,
        domain_id: ids.DomainId | None = None,
    ) -> tuple[Member, ...]:
        """Return the members that accept work.

        :param domain_id: only those of this failure domain.
        """
        return tuple(
            member for member in self.all()
            if member.state is MemberState.ALIVE and domain_id in
            (None, member.domain_id)
        )

    def is_alive(self, member_id: ids.MemberId) -> bool:
        member = self.get(member_id)
        return member is not None and member.state is MemberState.ALIVE

    def leave(self) -> None:
        """Set this member's state to leaving and queue the update."""
        self._update_own(MemberState.LEAVING, self._own.generation)

    def apply_hosts(
        self,
        listed: typing.Iterable[hosts.Host],
        *,
        now: float,
    ) -> None:
        """Apply the host list.

        The list lags behind, so it only adds members and marks live ones as
        leaving.
        """
        self.has_host_list = True
        for entry in self._entry_by_id.values():
            entry.in_host_list = False
        for host in listed:
            if host.role is hosts.HostRole.DAEMON:
                self._apply_host(host, now)

    def _apply_host(self, host: hosts.Host, now: float) -> None:
        member_id = ids.MemberId(host.host_id)
        if member_id == self._own.member_id:
            return
        entry = self._entry_by_id.get(member_id)
        if entry is None:
            member = Member(
                member_id, 0, MemberState.ALIVE, ids.Incarnation(''),
                host.address, host.domain_id
            )
            entry = self._entry_by_id[member_id] = _MemberEntry(member, now)
        entry.in_host_list = True
        if (host.state is hosts.HostState.LEAVING
                and entry.member.state is MemberState.ALIVE):
            self._set_state(entry, MemberState.LEAVING, now)

    def merge(self, update: Member, *, now: float) -> None:
        """Apply a gossiped record of another member if it is newer."""
        if update.member_id == self._own.member_id:
            self._refute(update)
            return
        state = _STATE_BY_REPORTED_STATE[update.state]
        entry = self._entry_by_id.get(update.member_id)
        if entry is None:
            if state not in UNREACHABLE_STATES:
                self._entry_by_id[update.member_id] = _MemberEntry(update, now)
                self._queue_update(update.member_id)
            return
        current = entry.member
        newer = (
            (update.generation, _PRECEDENCE[state])
            > (current.generation, _PRECEDENCE[current.state])
        )
        if newer:
            self._replace(entry, dataclasses.replace(update, state=state), now)

    def _replace(
        self,
        entry: _MemberEntry,
        member: Member,
        now: float,
    ) -> None:
        current = entry.member
        if entry.suspected_here and member.state not in UNREACHABLE_STATES:
            hold_off = SUSPECT_HOLD_OFF_SECONDS_PER_MEMBER * len(
                self._entry_by_id
            )
            entry.suspect_not_before = now + hold_off
        entry.suspected_here = False
        entry.member = member
        entry.state_since = now
        # Every daemon receives the first generation of a member directly.
        # Gossiping it too delayed other updates by a minute with 300 members.
        if current.generation or current.state is not member.state:
            self._queue_update(member.member_id)

    def _refute(self, update: Member) -> None:
        if update.generation < self._own.generation:
            return
        if (update.state is not self._own.state
                or update.incarnation != self._own.incarnation):
            self._update_own(self._own.state, update.generation)

    def _update_own(self, state: MemberState, old_generation: int) -> None:
        self._own = dataclasses.replace(
            self._own, state=state, generation=old_generation + 1
        )
        self._queue_update(self._own.member_id)

    def record_contact(self, sender: Member, *, now: float) -> Member | None:
        """Record a message that came from the member itself.

        :return: the suspect or dead record that the member should refute;
            None if there is none.
        """
        if sender.member_id == self._own.member_id:
            return None
        self.merge(sender, now=now)
        entry = self._entry_by_id.get(sender.member_id)
        if entry is None:
            return None
        entry.last_contact = now
        current = entry.member
        if current.state not in UNREACHABLE_STATES:
            return None
        # This daemon can reach the member. Others may still hold it as suspect
        # or dead, which the member refutes once it receives that record.
        entry.member = dataclasses.replace(current, state=sender.state)
        entry.state_since = now
        return current

    def record_success(self, member_id: ids.MemberId) -> None:
        """Record a successful exchange that this daemon started."""
        if member_id in self._responsive:
            self._responsive.remove(member_id)
        self._responsive.append(member_id)

    def responsive_peers(self, count: int) -> tuple[Member, ...]:
        """Return the reachable members that replied most recently."""
        members = (
            self.get(member_id) for member_id in reversed(self._responsive)
        )
        responsive = [
            member for member in members
            if member is not None and member.state not in UNREACHABLE_STATES
        ]
        return tuple(responsive[:count])

    def record_failure(self, member_id: ids.MemberId, *, now: float) -> None:
        """Record a failed exchange, which may make the member suspect."""
        entry = self._entry_by_id.get(member_id)
        if entry is None or entry.member.state in UNREACHABLE_STATES:
            return
        if now < max(entry.last_contact + RECENT_CONTACT_SECONDS,
                     entry.suspect_not_before):
            return
        entry.suspected_here = True
        self._set_state(entry, MemberState.SUSPECT, now)

    def _set_state(
        self,
        entry: _MemberEntry,
        state: MemberState,
        now: float,
    ) -> None:
        entry.member = dataclasses.replace(entry.member, state=state)
        entry.state_since = now
        self._queue_update(entry.member.member_id)

    @property
    def suspect_timeout(self) -> float:
        """Return the seconds after which a suspect is declared dead."""
        return SUSPECT_TIMEOUT_SECONDS_PER_DOUBLING * self._doublings()

    def _doublings(self) -> int:
        return math.ceil(math.log2(len(self._entry_by_id) + 2))

    def tick(self, *, now: float) -> None:
        """Declare overdue suspects dead and remove expired members.

        During a pause of this process no refutation could arrive, so all
        timeouts are extended by its length.
        """
        gap = now - self._last_tick
        self._last_tick = now
        for member_id, entry in list(self._entry_by_id.items()):
            if gap > PAUSE_THRESHOLD_SECONDS:
                entry.state_since += gap
            age = now - entry.state_since
            state = entry.member.state
            if state is MemberState.SUSPECT and age >= self.suspect_timeout:
                self._set_state(entry, MemberState.DEAD, now)
            elif state in (MemberState.DEAD, MemberState.LEAVING):
                if age >= MEMBER_RETENTION_SECONDS and not entry.in_host_list:
                    del self._entry_by_id[member_id]

    def choose_targets(
        self,
        rng: random.Random,
        count: int,
    ) -> tuple[Member, ...]:
        """Return the members to which this round sends heartbeats.

        Every member is chosen once before any is chosen again, which bounds
        the time to detect a failure.
        """
        self._rounds += 1
        chosen = self._next_in_order(rng, count)
        unreachable = [
            entry.member
            for entry in self._entry_by_id.values()
            if entry.member.state in UNREACHABLE_STATES
        ]
        if unreachable and self._rounds % PROBE_INTERVAL_ROUNDS == 0:
            chosen.append(rng.choice(unreachable))
        return tuple(chosen)

    def _next_in_order(self, rng: random.Random, count: int) -> list[Member]:
        chosen: list[Member] = []
        for _ in range(2):
            while self._heartbeat_order and len(chosen) < count:
                entry = self._entry_by_id.get(self._heartbeat_order.pop())
                if entry is None:
                    continue
                if entry.member.state is not MemberState.DEAD:
                    chosen.append(entry.member)
            if len(chosen) == count:
                break
            taken = {member.member_id for member in chosen}
            self._heartbeat_order = [
                member_id for member_id in self._entry_by_id
                if member_id not in taken
            ]
            rng.shuffle(self._heartbeat_order)
        return chosen

    def sample(self, rng: random.Random, count: int) -> tuple[Member, ...]:
        """Return random other members, without suspect and dead ones."""
        others = [
            entry.member
            for entry in self._entry_by_id.values()
            if entry.member.state not in UNREACHABLE_STATES
        ]
        return tuple(rng.sample(others, min(count, len(others))))

    def _queue_update(self, member_id: ids.MemberId) -> None:
        resends = RESENDS_PER_DOUBLING * self._doublings()
        self._resends_by_id[member_id] = resends

    def choose_updates(
        self,
        rng: random.Random,
        limit: int,
        *,
        fill: int = 1,
    ) -> tuple[Member, ...]:
        """Return records to gossip, the least often sent ones first.

        :param limit: maximum number of records.
        :param fill: maximum number of random records in unused places, so
            that tables converge even if updates were lost.
        """
        least_sent = sorted(
            self._resends_by_id,
            key=lambda member_id: -self._resends_by_id[member_id],
        )[:limit]
        for member_id in least_sent:
            self._resends_by_id[member_id] -= 1
            if not self._resends_by_id[member_id]:
                del self._resends_by_id[member_id]
        chosen = [self.get(member_id) for member_id in least_sent]
        fill_count = min(fill, limit - len(chosen))
        chosen.extend(self.sample(rng, fill_count))
        return tuple(member for member in chosen if member is not None)


__all__ = (
    'MAX_RESPONSIVE_PEERS',
    'MEMBER_RETENTION_SECONDS',
    'Member',
    'MemberState',
    'Members',
    'PAUSE_THRESHOLD_SECONDS',
    'PROBE_INTERVAL_ROUNDS',
    'RECENT_CONTACT_SECONDS',
    'SUSPECT_HOLD_OFF_SECONDS_PER_MEMBER',
    'SUSPECT_TIMEOUT_SECONDS_PER_DOUBLING',
    'UNREACHABLE_STATES',
)
