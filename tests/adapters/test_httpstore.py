from __future__ import annotations

import curio

from nutmegworks.adapters import httpstore
from nutmegworks.adapters import store
from standins import store as stand_in
from tests import helpers


def test_compare_and_swap_and_lost_response() -> None:
    """A lost response must be reported as unknown, never as not applied."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            client = httpstore.HttpStore(address)
            first = await client.put('a', b'1', expected=store.ABSENT)
            again = await client.put('a', b'2', expected=store.ABSENT)
            assert again.err_value.fault is store.StoreFault.CONFLICT
            assert again.err_value.revision == first.ok_value
            fake.faults.lose_answers = 1
            lost = await client.put('a', b'3', expected=first.ok_value)
            assert lost.err_value.fault is store.StoreFault.UNKNOWN
            entry = (await client.get('a')).ok_value
            assert entry is not None and entry.value == b'3'
            fake.faults.down = True
            down = await client.put('a', b'4', expected=entry.revision)
            assert down.err_value.fault is store.StoreFault.UNAVAILABLE

    helpers.run(main)


def test_watch_reports_keys_of_an_expired_lease() -> None:
    """A watch must report deletions as well as writes."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            client = httpstore.HttpStore(address)
            lease = (await client.grant_lease(0.1)).ok_value
            put = await client.put(
                'o/1', b'x', expected=store.ABSENT, lease_id=lease
            )
            page = await client.watch('o/', after=put.ok_value, wait=2.0)
            assert [entry.value for entry in page.ok_value.entries] == [None]
            late = await client.renew_lease(lease)
            assert late.err_value.fault is store.StoreFault.CONFLICT

    helpers.run(main)


def test_watch_without_response_times_out() -> None:
    """A watch on an unresponsive connection must not block for ever."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        fake.faults.silent_watches = True
        async with helpers.serving(fake.handle) as address:
            client = httpstore.HttpStore(address)
            async with curio.timeout_after(3.0):
                page = await client.watch('o/', after=store.ABSENT, wait=0.1)
            assert page.err_value.fault is store.StoreFault.UNKNOWN

    helpers.run(main)
