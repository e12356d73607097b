"""Tracks which members are alive, from rumours and direct contact.

Every record has a generation, which only the member itself raises. Others may
accuse a member of being silent at a generation; the member refutes that by a
higher one. A death is never taken from a rumour: each daemon waits for the
refutation itself, so that a daemon that was cut off cannot spread the death
of everyone else.
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

# An accusation and its refutation each need about as many periods of one
# second as the number of members can be halved. With 5 s for 30 members, a
# cut path let a live member die.
SUSPECT_SECONDS_PER_DOUBLING: typing.Final = 2.0
# A member heard from directly this recently is not accused: only the path to
# it may be cut.
CONTACT_SECONDS: typing.Final = 2.0
# A member that has refuted this daemon's accusation is not accused again for
# this long: the path to it is at fault, and others watch it. The time grows
# with the members, so that a member that half of them cannot reach hears
# about as many accusations in any cluster.
TRUST_SECONDS_PER_MEMBER: typing.Final = 2.0
# Members that answered last; connections to them are still open.
PARTNERS: typing.Final = 4
FORGET_SECONDS: typing.Final = 60.0
# A longer gap between two ticks means that this process was paused.
PAUSE_SECONDS: typing.Final = 3.0
# One in this many heartbeats goes to a suspect or dead member, so that the
# sides of a healed partition find each other.
PROBE_INTERVAL: typing.Final = 4
RESENDS_PER_DOUBLING: typing.Final = 2


class MemberState(enum.Enum):
    ALIVE = 'alive'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DEAD = 'dead'


# At the same generation a later state replaces an earlier one.
_RANK: typing.Final = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}
_STATE_BY_RUMOUR: typing.Final = {
    MemberState.ALIVE: MemberState.ALIVE,
    MemberState.LEAVING: MemberState.LEAVING,
    MemberState.SUSPECT: MemberState.SUSPECT,
    MemberState.DEAD: MemberState.SUSPECT,
}
SILENT_STATES: typing.Final = (MemberState.SUSPECT, MemberState.DEAD)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """What is known of one daemon.

    :param generation: 0 if it is only known from the host list.
    :param incarnation: identifies one run of its process.
    """

    member_id: ids.MemberId
    generation: int
    state: MemberState
    incarnation: ids.Incarnation
    address: client.Address
    domain_id: ids.DomainId


@dataclasses.dataclass(slots=True)
class _Track:
    """Local times about a member, in seconds.

    :param since: when it took its state.
    :param contact: of the last direct contact.
    :param accused: whether this daemon itself made the accusation.
    :param trusted: until when this daemon does not accuse it.
    """

    member: Member
    since: float
    contact: float = -math.inf
    accused: bool = False
    trusted: float = -math.inf
    listed: bool = False


class Members:
    """The state table of one daemon; times are passed in."""

    def __init__(self, own: Member, *, now: float) -> None:
        self._own = own
        self._track_by_id: dict[ids.MemberId, _Track] = {}
        self._resends_by_id: dict[ids.MemberId, int] = {}
        self._order: list[ids.MemberId] = []
        self._picks = 0
        self._partners: collections.deque[ids.MemberId] = collections.deque(
            maxlen=PARTNERS
        )
        self._ticked = now
        self.listed = False

    @property
    def own(self) -> Member:
        return self._own

    def get(self, member_id: ids.MemberId) -> Member | None:
        if member_id == self._own.member_id:
            return self._own
        track = self._track_by_id.get(member_id)
        return None if track is None else track.member

    def all(self) -> tuple[Member, ...]:
        """Return all known members, this one first."""
        tracks = self._track_by_id.values()
        return (self._own, *(track.member for track in tracks))

    def alive(
        self,
        domain_id: ids.DomainId | None = None,
    ) -> tuple[Member, ...]:
        """Return members that may be given work.

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
        """Announce that this member takes no more forwarded work."""
        self._assert_own(MemberState.LEAVING, self._own.generation)

    def apply_hosts(
        self,
        listed: typing.Iterable[hosts.Host],
        *,
        now: float,
    ) -> None:
        """Take over the host list; it lags, so it only adds and marks."""
        self.listed = True
        for track in self._track_by_id.values():
            track.listed = False
        for host in listed:
            if host.role is hosts.HostRole.DAEMON:
                self._apply_host(host, now)

    def _apply_host(self, host: hosts.Host, now: float) -> None:
        member_id = ids.MemberId(host.host_id)
        if member_id == self._own.member_id:
            return
        track = self._track_by_id.get(member_id)
        if track is None:
            member = Member(
                member_id, 0, MemberState.ALIVE, ids.Incarnation(''),
                host.address, host.domain_id
            )
            track = self._track_by_id[member_id] = _Track(member, now)
        track.listed = True
        if (host.state is hosts.HostState.LEAVING
                and track.member.state is MemberState.ALIVE):
            self._set_state(track, MemberState.LEAVING, now)

    def merge(self, rumour: Member, *, now: float) -> None:
        """Take over news of a third member if it is newer."""
        if rumour.member_id == self._own.member_id:
            self._refute(rumour)
            return
        state = _STATE_BY_RUMOUR[rumour.state]
        track = self._track_by_id.get(rumour.member_id)
        if track is None:
            if state not in SILENT_STATES:
                self._track_by_id[rumour.member_id] = _Track(rumour, now)
                self._queue(rumour.member_id)
            return
        known = track.member
        newer = (rumour.generation,
                 _RANK[state]) > (known.generation, _RANK[known.state])
        if newer:
            self._replace(track, dataclasses.replace(rumour, state=state), now)

    def _replace(self, track: _Track, member: Member, now: float) -> None:
        known = track.member
        if track.accused and member.state not in SILENT_STATES:
            trust = TRUST_SECONDS_PER_MEMBER * len(self._track_by_id)
            track.trusted = now + trust
        track.accused = False
        track.member = member
        track.since = now
        # All daemons learn the first generations by themselves; as news these
        # delayed real news by a minute with 300 members.
        if known.generation or known.state is not member.state:
            self._queue(member.member_id)

    def _refute(self, rumour: Member) -> None:
        if rumour.generation < self._own.generation:
            return
        if rumour.state is not self._own.state or (rumour.incarnation
                                                   != self._own.incarnation):
            self._assert_own(self._own.state, rumour.generation)

    def _assert_own(self, state: MemberState, above: int) -> None:
        self._own = dataclasses.replace(
            self._own, state=state, generation=above + 1
        )
        self._queue(self._own.member_id)

    def contacted(self, sender: Member, *, now: float) -> Member | None:
        """Record a message that came from the member itself.

        :return: the accusation that the member should hear of, if any.
        """
        if sender.member_id == self._own.member_id:
            return None
        self.merge(sender, now=now)
        track = self._track_by_id.get(sender.member_id)
        if track is None:
            return None
        track.contact = now
        known = track.member
        if known.state not in SILENT_STATES:
            return None
        # The member is not silent towards this daemon. Others may still
        # accuse it, which it can refute when it hears of it.
        track.member = dataclasses.replace(known, state=sender.state)
        track.since = now
        return known

    def reached(self, member_id: ids.MemberId) -> None:
        """Record a successful exchange that this daemon began."""
        if member_id in self._partners:
            self._partners.remove(member_id)
        self._partners.append(member_id)

    def partners(self, count: int) -> tuple[Member, ...]:
        """Return the members that answered last and are not silent."""
        found = (self.get(member_id) for member_id in reversed(self._partners))
        usable = [
            member for member in found
            if member is not None and member.state not in SILENT_STATES
        ]
        return tuple(usable[:count])

    def unreachable(self, member_id: ids.MemberId, *, now: float) -> None:
        """Record a failed exchange."""
        track = self._track_by_id.get(member_id)
        if track is None or track.member.state in SILENT_STATES:
            return
        if now < max(track.contact + CONTACT_SECONDS, track.trusted):
            return
        track.accused = True
        self._set_state(track, MemberState.SUSPECT, now)

    def _set_state(
        self,
        track: _Track,
        state: MemberState,
        now: float,
    ) -> None:
        track.member = dataclasses.replace(track.member, state=state)
        track.since = now
        self._queue(track.member.member_id)

    @property
    def suspect_seconds(self) -> float:
        """Return how long a suspect has to refute."""
        return SUSPECT_SECONDS_PER_DOUBLING * self._doublings()

    def _doublings(self) -> int:
        return math.ceil(math.log2(len(self._track_by_id) + 2))

    def tick(self, *, now: float) -> None:
        """Let suspects die and forget the dead.

        After a pause of this process nobody had time to refute, so all
        suspicions start again.
        """
        gap = now - self._ticked
        self._ticked = now
        for member_id, track in list(self._track_by_id.items()):
            if gap > PAUSE_SECONDS:
                track.since += gap
            age = now - track.since
            state = track.member.state
            if state is MemberState.SUSPECT and age >= self.suspect_seconds:
                self._set_state(track, MemberState.DEAD, now)
            elif state in (MemberState.DEAD, MemberState.LEAVING):
                if age >= FORGET_SECONDS and not track.listed:
                    del self._track_by_id[member_id]

    def pick(self, rng: random.Random, count: int) -> tuple[Member, ...]:
        """Return members for the next heartbeats.

        Everyone comes up once before anyone comes up again, which bounds the
        time until a silent member is noticed.
        """
        self._picks += 1
        chosen = self._walk(rng, count)
        silent = [
            track.member
            for track in self._track_by_id.values()
            if track.member.state in SILENT_STATES
        ]
        if silent and self._picks % PROBE_INTERVAL == 0:
            chosen.append(rng.choice(silent))
        return tuple(chosen)

    def _walk(self, rng: random.Random, count: int) -> list[Member]:
        chosen: list[Member] = []
        for _ in range(2):
            while self._order and len(chosen) < count:
                track = self._track_by_id.get(self._order.pop())
                if track is None:
                    continue
                if track.member.state is not MemberState.DEAD:
                    chosen.append(track.member)
            if len(chosen) == count:
                break
            taken = {member.member_id for member in chosen}
            self._order = [
                member_id for member_id in self._track_by_id
                if member_id not in taken
            ]
            rng.shuffle(self._order)
        return chosen

    def sample(self, rng: random.Random, count: int) -> tuple[Member, ...]:
        """Return random other members that are not silent."""
        others = [
            track.member
            for track in self._track_by_id.values()
            if track.member.state not in SILENT_STATES
        ]
        return tuple(rng.sample(others, min(count, len(others))))

    def _queue(self, member_id: ids.MemberId) -> None:
        resends = RESENDS_PER_DOUBLING * self._doublings()
        self._resends_by_id[member_id] = resends

    def news(
        self,
        rng: random.Random,
        limit: int,
        *,
        fill: int = 1,
    ) -> tuple[Member, ...]:
        """Return records to pass on, the least often sent ones first.

        :param fill: greatest number of random records in places left, so
            that tables converge even when news was lost.
        """
        freshest = sorted(
            self._resends_by_id,
            key=lambda member_id: -self._resends_by_id[member_id],
        )[:limit]
        for member_id in freshest:
            self._resends_by_id[member_id] -= 1
            if not self._resends_by_id[member_id]:
                del self._resends_by_id[member_id]
        chosen = [self.get(member_id) for member_id in freshest]
        room = min(fill, limit - len(chosen))
        chosen.extend(self.sample(rng, room))
        return tuple(member for member in chosen if member is not None)


__all__ = (
    'CONTACT_SECONDS',
    'FORGET_SECONDS',
    'Member',
    'MemberState',
    'Members',
    'PARTNERS',
    'PAUSE_SECONDS',
    'PROBE_INTERVAL',
    'SILENT_STATES',
    'SUSPECT_SECONDS_PER_DOUBLING',
    'TRUST_SECONDS_PER_MEMBER',
)
