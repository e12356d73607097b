"""Membership: leader election, lease renewal and restarts."""
from __future__ import annotations

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import membership
from nutmegworks.model import ids
from nutmegworks.tasks import records
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers


def test_only_one_of_two_candidates_leads() -> None:
    """Guards against two leaders that each start the same task."""

    async def main() -> None:
        store = memory.MemoryStore()
        first = await builders.elect(store, 'host-1')
        second = builders.member(store, 'host-2')
        await second._renew()
        await second.campaign()
        assert first.leads
        assert not second.leads
        assert second.leader == first.leader

    helpers.run(main)


def test_candidate_recognises_its_leadership_after_a_lost_answer() -> None:
    """Guards against a fleet without a leader until the lease expires."""

    async def main() -> None:
        store = memory.MemoryStore()
        member = builders.member(store)
        await member._renew()
        store.lose_answers = 1
        await member.campaign()
        assert member.leads

    helpers.run(main)


def test_restarted_daemon_takes_over_from_its_previous_incarnation() -> None:
    """Guards against late requests of the previous incarnation.

    They must be fenced, so the new incarnation needs a higher revision.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        previous = await builders.elect(store, 'host-1')
        restarted = builders.member(store, 'host-1')
        await restarted._renew()
        await restarted.read_leader()
        assert not restarted.leads
        await restarted.campaign()
        assert restarted.leads
        assert restarted.leader is not None and previous.leader is not None
        assert restarted.leader.revision > previous.leader.revision

    helpers.run(main)


def test_leader_without_recent_renewal_does_not_act() -> None:
    """Guards against requests that a former leader sends late.

    A new leader relies on this limit when it waits for unreachable workers.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        now = [0.0]
        member = builders.member(store)
        member._clock = lambda: now[0]
        await member._renew()
        await member.campaign()
        assert member.may_act_as_leader()
        now[0] += membership.MAX_RENEWAL_AGE_SECONDS + 0.1
        assert not member.may_act_as_leader()

    helpers.run(main)


def test_leave_removes_the_leader_key() -> None:
    """Guards against a takeover that waits for the lease to expire."""

    async def main() -> None:
        store = memory.MemoryStore()
        first = await builders.elect(store, 'host-1')
        await first.leave()
        second = await builders.elect(store, 'host-2')
        assert second.leads
        assert not first.leads

    helpers.run(main)


def test_small_host_defers_to_a_larger_one() -> None:
    """Guards against slow scheduling on a small host that became the leader.

    Scheduling there takes several times as long.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        now = [0.0]
        peers = membership.MemberSink(ids.MemberId('small'))
        large = records.Member('10.0.0.8', 7000, 'north', 2.0)
        await peers.replace(
            [
                interfaces.Item(
                    f'{records.MEMBERS_PREFIX}large',
                    records.encode(large),
                    ids.StoreRevision(1),
                )
            ]
        )
        small = builders.member(
            store, 'small', cores=0.5, peers=peers, clock=lambda: now[0]
        )
        await small._renew()
        await small.read_leader()
        await small.campaign()
        assert not small.leads
        # The larger host may have failed, so the small one has to lead.
        now[0] += membership.SMALL_HOST_DELAY_SECONDS
        await small.campaign()
        assert small.leads

    helpers.run(main)


def test_member_whose_late_registration_expired_registers_again() -> None:
    """Guards against a host that no peer can relay through for good.

    A registration without an answer is carried out after that with the next
    lease, and its key is removed with the first lease.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        sink = membership.MemberSink(ids.MemberId('host-1'))
        member = builders.member(store, peers=sink)
        store.hold_commits = True
        await member._renew()
        store.hold_commits = False
        await member._renew()
        store.apply_held_commits()
        start = (await store.list(records.MEMBERS_PREFIX)).ok_value
        await sink.replace(start.items)
        store.expire(interfaces.LeaseId(1))
        changes = await store.watch(
            records.MEMBERS_PREFIX, start.revision, 0.0
        )
        await sink.apply(changes.ok_value)
        await member._renew()
        key = f'{records.MEMBERS_PREFIX}host-1'
        assert key in store.item_by_key

    helpers.run(main)


def test_member_that_has_left_does_not_register_again() -> None:
    """Guards against peers that relay through a host that has stopped."""

    async def main() -> None:
        store = memory.MemoryStore()
        member = builders.member(store)
        await member._renew()
        await member.leave()
        await member._renew()
        assert not store.item_by_key

    helpers.run(main)
