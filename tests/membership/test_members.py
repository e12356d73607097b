from __future__ import annotations

import dataclasses
import random
import typing

from nutmegworks.adapters import hosts
from nutmegworks.membership import members
from nutmegworks.model import ids

ALIVE = members.MemberState.ALIVE
SUSPECT = members.MemberState.SUSPECT
DEAD = members.MemberState.DEAD
LEAVING = members.MemberState.LEAVING


def member(index: int, generation: int = 100) -> members.Member:
    return members.Member(
        ids.MemberId(f'd{index}'), generation, ALIVE,
        ids.Incarnation(f'run-{index}-{generation}'),
        ('127.0.0.1', 1000 + index), ids.DomainId(f'east-{index % 3}')
    )


def host(index: int, state: hosts.HostState) -> hosts.Host:
    return hosts.Host(
        f'd{index}', hosts.HostRole.DAEMON, ('127.0.0.1', 1000 + index),
        ids.DomainId(f'east-{index % 3}'), state
    )


class Cluster:
    """Exchanges heartbeats between membership tables.

    A round takes one second of the simulated clock.

    :ivar stopped: indexes of the tables that don't respond.
    :ivar is_cut: whether the path from one index to another is cut.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.stopped: set[int] = set()
        self.is_cut: typing.Callable[[int, int], bool] = lambda one, two: False
        self.tables = [self.table(index) for index in range(count)]
        listed = [host(index, hosts.HostState.LIVE) for index in range(count)]
        for table in self.tables:
            table.apply_hosts(listed, now=0.0)

    def table(self, index: int, generation: int = 100) -> members.Members:
        return members.Members(member(index, generation), now=self.now)

    def round(self) -> None:
        self.now += 1.0
        for index, table in enumerate(self.tables):
            if index in self.stopped:
                continue
            table.tick(now=self.now)
            for peer in table.choose_targets(self.rng, 1):
                self.exchange(index, int(peer.member_id[1:]))

    def exchange(self, index: int, other: int) -> None:
        table, peer = self.tables[index], self.tables[other]
        if other in self.stopped or self.is_cut(index, other):
            table.record_failure(peer.own.member_id, now=self.now)
            return
        current = table.get(peer.own.member_id)
        unreachable = (
            current is not None and current.state in members.UNREACHABLE_STATES
        )
        suspect_record = self.deliver(
            table, peer, current if unreachable else None
        )
        self.deliver(peer, table, suspect_record)

    def deliver(
        self,
        sender: members.Members,
        receiver: members.Members,
        suspect_record: members.Member | None,
    ) -> members.Member | None:
        updates = sender.choose_updates(self.rng, 6)
        if suspect_record is not None:
            updates = (
                suspect_record, *sender.choose_updates(self.rng, 24, fill=24)
            )
        for item in updates:
            receiver.merge(item, now=self.now)
        return receiver.record_contact(sender.own, now=self.now)

    def states(self, index: int) -> set[members.MemberState | None]:
        records = {
            table.get(ids.MemberId(f'd{index}'))
            for number, table in enumerate(self.tables)
            if number not in self.stopped | {index}
        }
        return {item and item.state for item in records}


def test_all_members_detect_a_crash_and_a_restart() -> None:
    """A dead daemon must not stay in use; a restarted one must return.

    A restarted daemon whose clock is behind starts at a generation below that
    of its dead record.
    """
    cluster = Cluster(30, 1)
    for _ in range(10):
        cluster.round()
    cluster.stopped = {4}
    for _ in range(25):
        cluster.round()
    assert cluster.states(4) == {DEAD}
    # The new incarnation has a lower generation than the dead record.
    cluster.tables[4] = cluster.table(4, 50)
    listed = [host(index, hosts.HostState.LIVE) for index in range(30)]
    cluster.tables[4].apply_hosts(listed, now=cluster.now)
    cluster.stopped = set()
    for _ in range(15):
        cluster.round()
    assert cluster.states(4) == {ALIVE}
    assert cluster.tables[4].own.generation > 100
    current = cluster.tables[9].get(ids.MemberId('d4'))
    assert current is not None and current.incarnation == 'run-4-50'


def test_one_way_cut_declares_no_member_dead() -> None:
    """A path cut in one direction must not remove either daemon."""
    cluster = Cluster(30, 2)
    cluster.is_cut = lambda one, two: two == 4 and one % 2 == 0
    dead = 0
    for _ in range(200):
        cluster.round()
        dead += sum(
            item.state is DEAD
            for table in cluster.tables
            for item in table.all()
        )
    assert dead == 0


def test_healed_partition_is_rejoined() -> None:
    """Two sides that declared each other dead must rejoin."""
    cluster = Cluster(30, 3)
    cluster.is_cut = lambda one, two: (one < 10) != (two < 10)
    for _ in range(60):
        cluster.round()
    assert {len(table.alive()) for table in cluster.tables} == {10, 20}
    cluster.is_cut = lambda one, two: False
    for _ in range(40):
        cluster.round()
    assert {len(table.alive()) for table in cluster.tables} == {30}


def test_pause_extends_the_timeout_of_suspects() -> None:
    """A daemon that was paused must give its suspects time to refute."""
    table = members.Members(member(0), now=0.0)
    table.merge(member(1), now=0.0)
    table.record_failure(ids.MemberId('d1'), now=1.0)
    table.tick(now=1.0)
    table.tick(now=31.0)
    assert not table.is_alive(ids.MemberId('d1'))
    current = table.get(ids.MemberId('d1'))
    assert current is not None and current.state is SUSPECT
    for second in range(32, 32 + int(table.suspect_timeout)):
        table.tick(now=float(second))
    current = table.get(ids.MemberId('d1'))
    assert current is not None and current.state is DEAD


def test_merge_of_updates() -> None:
    """Outdated gossip must not override newer records.

    A gossiped dead record must leave the member suspect until the timeout.
    """
    table = members.Members(member(0), now=0.0)
    table.merge(member(1), now=0.0)
    d1 = ids.MemberId('d1')

    def state() -> members.MemberState:
        current = table.get(d1)
        assert current is not None
        return current.state

    dead = dataclasses.replace(member(1), state=DEAD)
    table.merge(dataclasses.replace(dead, generation=99), now=1.0)
    assert state() is ALIVE
    table.merge(dead, now=1.0)
    assert state() is SUSPECT
    table.merge(member(1), now=2.0)
    assert state() is SUSPECT
    # The suspect receives the record from a member it contacts and refutes it.
    assert table.record_contact(member(1), now=2.0) is not None
    assert state() is ALIVE
    table.merge(dead, now=2.0)
    table.merge(member(1, 101), now=2.0)
    assert state() is ALIVE
    table.apply_hosts([host(1, hosts.HostState.LEAVING)], now=3.0)
    assert state() is LEAVING and table.alive() == (table.own, )
    own = dataclasses.replace(table.own, state=SUSPECT)
    table.merge(own, now=3.0)
    assert table.own.generation == 101 and table.own.state is ALIVE
    table.leave()
    table.merge(dataclasses.replace(table.own, state=DEAD), now=3.0)
    assert table.own.generation == 103 and table.own.state is LEAVING
    stranger = dataclasses.replace(member(7), state=SUSPECT)
    table.merge(stranger, now=3.0)
    assert table.get(ids.MemberId('d7')) is None


def test_suspect_only_without_recent_contact_or_refutation() -> None:
    """A faulty path must not make the member suspect in every round."""
    table = members.Members(member(0), now=0.0)
    d2 = ids.MemberId('d2')
    table.record_contact(member(2), now=20.0)
    table.record_failure(d2, now=21.0)
    assert table.is_alive(d2)
    table.record_failure(d2, now=23.0)
    assert not table.is_alive(d2)
    table.merge(member(2, 101), now=24.0)
    table.record_failure(d2, now=25.0)
    assert table.is_alive(d2)
    table.record_failure(d2, now=60.0)
    assert not table.is_alive(d2)
