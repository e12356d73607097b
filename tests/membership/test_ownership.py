from __future__ import annotations

import contextlib
import typing

import pytest

from nutmegworks.adapters import httpstore
from nutmegworks.membership import ownership
from nutmegworks.model import ids
from standins import store as stand_in
from tests import helpers


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class Contest:
    """Two contenders for one shard on a store stand-in."""

    def __init__(self, store: stand_in.StoreStandIn, address) -> None:
        self.store = store
        self.clock = Clock()
        self.client = httpstore.HttpStore(address)
        self.first = self.contender('first')
        self.second = self.contender('second')

    def contender(self, name: str) -> ownership.ShardClaim:
        return ownership.ShardClaim(
            self.client,
            ids.ShardId('s'),
            ids.MemberId(name),
            clock=self.clock,
        )

    async def step(self, *claims: ownership.ShardClaim, times: int) -> None:
        for _ in range(times):
            for claim in claims:
                await claim.step()
            self.clock.now += ownership.RENEW_INTERVAL_SECONDS


@contextlib.asynccontextmanager
async def contest() -> typing.AsyncIterator[Contest]:
    fake = stand_in.StoreStandIn()
    async with helpers.serving(fake.handle) as address:
        yield Contest(fake, address)


def test_paused_owner_is_replaced_and_steps_down() -> None:
    """A resumed owner must detect that its token is no longer the latest."""

    async def main() -> None:
        async with contest() as shard:
            await shard.step(shard.first, shard.second, times=5)
            assert (shard.first.token, shard.second.token) == (1, None)
            await shard.step(shard.second, times=2)
            assert shard.second.token is None
            await shard.step(shard.second, times=1)
            assert shard.second.token == 2
            assert shard.first.token == 1
            await shard.first.step()
            assert shard.first.token is None
            assert shard.first.owner_id == 'second'

    helpers.run(main)


def test_store_outage_changes_no_owner() -> None:
    """A long outage of the store must not look like a dead owner."""

    async def main() -> None:
        async with contest() as shard:
            await shard.step(shard.first, shard.second, times=2)
            shard.store.faults.down = True
            await shard.step(shard.first, shard.second, times=10)
            shard.store.faults.down = False
            await shard.step(shard.second, shard.first, times=6)
            assert (shard.first.token, shard.second.token) == (1, None)

    helpers.run(main)


@pytest.mark.parametrize('fault', ['lose_answers', 'drop_writes'])
@pytest.mark.parametrize('count', [1, 5])
def test_lost_responses(fault: str, count: int) -> None:
    """A claim or renewal whose response was lost must count exactly once.

    Five losses use up all attempts of one call, so that a later call has to
    resolve the outcome.
    """

    async def main() -> None:
        async with contest() as shard:
            setattr(shard.store.faults, fault, count)
            await shard.step(shard.first, shard.second, times=2)
            tokens = {shard.first.token, shard.second.token}
            assert len(tokens) == 2 and None in tokens
            owner = shard.first if shard.first.token else shard.second
            token = owner.token
            setattr(shard.store.faults, fault, count)
            await shard.step(shard.first, shard.second, times=3)
            assert owner.token == token

    helpers.run(main)


def test_claims_from_the_same_read() -> None:
    """Two daemons that read the same free shard must not share a token."""

    async def main() -> None:
        async with contest() as shard:
            await shard.first.observe()
            await shard.second.observe()
            await shard.first.claim()
            await shard.second.claim()
            assert (shard.first.token, shard.second.token) == (1, None)

    helpers.run(main)


def test_released_shard_is_claimed_at_once_with_a_higher_token() -> None:
    """A planned stop must not leave the shard unowned for a whole lease."""

    async def main() -> None:
        async with contest() as shard:
            await shard.step(shard.first, shard.second, times=1)
            shard.store.faults.lose_answers = 1
            await shard.first.release()
            await shard.step(shard.second, shard.first, times=1)
            assert (shard.first.token, shard.second.token) == (None, 2)

    helpers.run(main)
