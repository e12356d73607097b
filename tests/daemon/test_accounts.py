from __future__ import annotations

import pytest

from nutmegworks.accounting import ledger
from nutmegworks.accounting import report
from nutmegworks.adapters import httpstore
from nutmegworks.daemon import accounts
from nutmegworks.model import ids
from standins import store as stand_in
from tests import helpers

SHARD = ids.ShardId('amman-north')
DAY_MS = report.DAY_MS


@pytest.mark.parametrize('is_restarted', [False, True])
def test_closed_day_survives_a_store_outage(is_restarted: bool) -> None:
    """A day whose only write failed would be missing from the account.

    It must also survive if another daemon then owns the shard.
    """

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            backend = httpstore.HttpStore(address)
            account_store = accounts.AccountStore(backend)
            account = ledger.Ledger(SHARD, DAY_MS - 1000)
            await account_store.save(SHARD, account, DAY_MS - 500)
            fake.faults.down = True
            await account_store.save(SHARD, account, DAY_MS + 500)
            fake.faults.down = False
            if is_restarted:
                account_store = accounts.AccountStore(backend)
                loaded = await account_store.load(SHARD, DAY_MS + 800)
                account = loaded.ok_value
            await account_store.save(SHARD, account, DAY_MS + 1000)
            days = await backend.range(accounts.DAY_PREFIX)
            assert len(days.ok_value.entries) == 1
            merged = (await account_store.load_report(DAY_MS + 1500)).ok_value
            assert merged.parts[0].from_ms == DAY_MS - 1000

    helpers.run(main)


def test_snapshot_waits_for_the_closed_day() -> None:
    """The next owner reads the day from the snapshot if it is not stored."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            backend = httpstore.HttpStore(address)
            account_store = accounts.AccountStore(backend)
            account = ledger.Ledger(SHARD, DAY_MS - 1000)
            await account_store.save(SHARD, account, DAY_MS - 500)
            fake.faults.drop_writes = 1
            await account_store.save(SHARD, account, DAY_MS + 500)
            loaded = await account_store.load(SHARD, DAY_MS + 800)
            closed = loaded.ok_value.take_closed(DAY_MS + 800)
            starts = [item.parts[0].from_ms for item in closed]
            assert starts == [DAY_MS - 1000]

    helpers.run(main)
