"""Membership: one leader, a lost answer, a restarted host."""
from __future__ import annotations

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import membership
from nutmegworks.model import ids
from nutmegworks.tasks import records
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers


def test_only_one_of_two_candidates_leads() -> None:
    """Two leaders would each start the same task."""

    async def main() -> None:
        store = memory.MemoryStore()
        first = await builders.elect(store, 'host-1')
        second = builders.member(store, 'host-2')
        await second._renew()
        await second.stand()
        assert first.leads
        assert not second.leads
        assert second.leader == first.leader

    helpers.run(main)


def test_a_lost_answer_does_not_hide_the_own_leadership() -> None:
    """Nobody would lead until the lease ends."""

    async def main() -> None:
        store = memory.MemoryStore()
        member = builders.member(store)
        await member._renew()
        store.lose_answers = 1
        await member.stand()
        assert member.leads

    helpers.run(main)


def test_a_restarted_host_replaces_its_own_former_leadership() -> None:
    """Its predecessor's orders may still arrive and must be fenced."""

    async def main() -> None:
        store = memory.MemoryStore()
        former = await builders.elect(store, 'host-1')
        restarted = builders.member(store, 'host-1')
        await restarted._renew()
        await restarted.read_leader()
        assert not restarted.leads
        await restarted.stand()
        assert restarted.leads
        assert restarted.leader is not None and former.leader is not None
        assert restarted.leader.revision > former.leader.revision

    helpers.run(main)


def test_no_orders_long_after_the_last_renewal() -> None:
    """A new leader waits for just this time for workers it can't reach."""

    async def main() -> None:
        store = memory.MemoryStore()
        now = [0.0]
        member = builders.member(store)
        member._clock = lambda: now[0]
        await member._renew()
        await member.stand()
        assert member.may_order()
        now[0] += membership.ORDERS_WITHOUT_RENEWAL_SECONDS + 0.1
        assert not member.may_order()

    helpers.run(main)


def test_leaving_frees_the_leader_key() -> None:
    """The next leader need not wait for the lease to end."""

    async def main() -> None:
        store = memory.MemoryStore()
        first = await builders.elect(store, 'host-1')
        await first.leave()
        second = await builders.elect(store, 'host-2')
        assert second.leads
        assert not first.leads

    helpers.run(main)


def test_a_small_host_leaves_the_lead_to_a_larger_one() -> None:
    """Decisions on a small host take several times as long."""

    async def main() -> None:
        store = memory.MemoryStore()
        now = [0.0]
        others = membership.MemberSink(
            ids.MemberId('small'), ids.DomainId('north')
        )
        large = records.Member('10.0.0.8', 7000, 'north', 2.0)
        await others.replace(
            [
                interfaces.Item(
                    f'{records.MEMBERS_PREFIX}large',
                    records.encode(large),
                    ids.StoreRevision(1),
                )
            ]
        )
        small = builders.member(
            store, 'small', cores=0.5, others=others, clock=lambda: now[0]
        )
        await small._renew()
        await small.read_leader()
        await small.stand()
        assert not small.leads
        # The larger host may be about to fail: somebody must lead.
        now[0] += membership.DEFERENCE_SECONDS
        await small.stand()
        assert small.leads

    helpers.run(main)
