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


class Setting:
    """Two contenders for one shard."""

    def __init__(self, fake: stand_in.StoreStandIn, address) -> None:
        self.fake = fake
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
async def setting() -> typing.AsyncIterator[Setting]:
    fake = stand_in.StoreStandIn()
    async with helpers.serving(fake.handle) as address:
        yield Setting(fake, address)


def test_paused_owner_is_replaced_and_steps_down() -> None:
    """A resumed owner must learn that its token is no longer the latest."""

    async def main() -> None:
        async with setting() as at:
            await at.step(at.first, at.second, times=5)
            assert (at.first.token, at.second.token) == (1, None)
            await at.step(at.second, times=2)
            assert at.second.token is None
            await at.step(at.second, times=1)
            assert at.second.token == 2
            assert at.first.token == 1
            await at.first.step()
            assert at.first.token is None
            assert at.first.owner_id == 'second'

    helpers.run(main)


def test_outage_changes_no_owner() -> None:
    """A store that was down for long must not look like a dead owner."""

    async def main() -> None:
        async with setting() as at:
            await at.step(at.first, at.second, times=2)
            at.fake.faults.down = True
            await at.step(at.first, at.second, times=10)
            at.fake.faults.down = False
            await at.step(at.second, at.first, times=6)
            assert (at.first.token, at.second.token) == (1, None)

    helpers.run(main)


@pytest.mark.parametrize('fault', ['lose_answers', 'drop_writes'])
@pytest.mark.parametrize('count', [1, 5])
def test_lost_answers(fault: str, count: int) -> None:
    """A claim or renewal whose response was lost must count exactly once.

    Five losses use up every attempt of one call, so that a later call has
    to find out.
    """

    async def main() -> None:
        async with setting() as at:
            setattr(at.fake.faults, fault, count)
            await at.step(at.first, at.second, times=2)
            tokens = {at.first.token, at.second.token}
            assert len(tokens) == 2 and None in tokens
            owner = at.first if at.first.token else at.second
            token = owner.token
            setattr(at.fake.faults, fault, count)
            await at.step(at.first, at.second, times=3)
            assert owner.token == token

    helpers.run(main)


def test_claims_from_the_same_read() -> None:
    """Two daemons that saw the same vacancy must not get the same token."""

    async def main() -> None:
        async with setting() as at:
            await at.first.observe()
            await at.second.observe()
            await at.first.claim()
            await at.second.claim()
            assert (at.first.token, at.second.token) == (1, None)

    helpers.run(main)


def test_released_shard_is_taken_at_once_with_a_higher_token() -> None:
    """A planned stop must not leave a shard without owner for a lease."""

    async def main() -> None:
        async with setting() as at:
            await at.step(at.first, at.second, times=1)
            at.fake.faults.lose_answers = 1
            await at.first.release()
            await at.step(at.second, at.first, times=1)
            assert (at.first.token, at.second.token) == (None, 2)

    helpers.run(main)
