from __future__ import annotations

import contextlib

import curio
import pytest

from nutmegworks.adapters import httpstore
from nutmegworks.claims import answers
from nutmegworks.claims import key
from nutmegworks.claims import record
from nutmegworks.claims import service
from nutmegworks.model import verdict
from standins import store as stand_in
from tests import helpers

EPOCH = 176_000_000
BODY = b'b' * 16


@contextlib.asynccontextmanager
async def daemons(address, count=2):
    """Run claim services that use the store stand-in over HTTP."""
    made = [
        service.ClaimService(
            httpstore.HttpStore(address, timeout=0.3),
            member_id=f'd{number}',
            incarnation=f'd{number}-1',
            members=lambda: (),
            wall_clock=lambda: float(EPOCH * key.EPOCH_SECONDS),
        ) for number in range(count)
    ]
    tasks = [await curio.spawn(item.run) for item in made]
    try:
        yield made
    finally:
        for task in tasks:
            await task.cancel()


async def claim(daemon, name, number=1):
    return await daemon.claim(
        f'{EPOCH}-{name}', 'north', BODY, attempt_number=number
    )


async def outcome(daemon, name):
    return await daemon.claim_or_wait(
        f'{EPOCH}-{name}', 'north', BODY, attempt_number=2, timeout=5.0
    )


@pytest.mark.parametrize(
    'faults', (
        {
            'lose_answers': 1
        },
        {
            'drop_writes': 1
        },
        {
            'lose_answers': 1,
            'stale_reads': 1
        },
        {
            'lose_answers': 2,
            'drop_writes': 1
        },
    )
)
def test_one_grant_despite_lost_store_responses(faults) -> None:
    """The adapter must report a lost response so that it is resolved."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            async with daemons(address) as (one, two):
                for number in range(4):
                    fake.faults = stand_in.Faults(**faults)
                    first = await claim(one, number)
                    fake.faults = stand_in.Faults()
                    second = await claim(two, number, 2)
                    if first.is_err():
                        # The first is not sent, so the retry must get the key.
                        second = await outcome(two, number)
                    granted = [first.is_ok(), second.is_ok()]
                    assert granted.count(True) == 1, (first, second)
                    assert granted[0] or 'stale_reads' in faults, first

    helpers.run(main)


def test_outage_between_claim_and_outcome() -> None:
    """A request that ran during an outage must be reported as ran after it."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            async with daemons(address) as (one, two):
                granted = (await claim(one, 'a')).unwrap()
                fake.faults.down = True
                refused = (await claim(two, 'b')).unwrap_err()
                assert refused.verdict is verdict.Verdict.DID_NOT_RUN
                retried = (await claim(two, 'a', 2)).unwrap_err()
                assert retried.verdict is verdict.Verdict.MAY_HAVE_RUN
                assert not await one.finish(
                    f'{EPOCH}-a',
                    'north',
                    granted.attempt_id,
                    record.State.RAN,
                    answer=answers.Answer('text/plain', b'route 7'),
                )
                fake.faults.down = False
                reported = await outcome(two, 'a')
                assert reported.err_value.verdict is verdict.Verdict.RAN
                assert (await claim(two, 'b', 2)).is_ok()

    helpers.run(main)
