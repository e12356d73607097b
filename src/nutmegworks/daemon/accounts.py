"""Keeps the accounts of shards in the store and merges them."""
from __future__ import annotations

import typing

import logbook
import result

from nutmegworks.accounting import ledger
from nutmegworks.accounting import report
from nutmegworks.adapters import store
from nutmegworks.model import ids

_LOG: typing.Final = logbook.Logger('accounts')

STATE_PREFIX: typing.Final = 'account/state/'
DAY_PREFIX: typing.Final = 'account/day/'
PAGE_LIMIT: typing.Final = 50


class AccountStore:
    """Accounts by shard; the owner of a shard writes its account."""

    def __init__(self, backend: store.Store) -> None:
        self._store = backend

    async def load(
        self,
        shard_id: ids.ShardId,
        now_ms: int,
    ) -> result.Result[ledger.Ledger, store.StoreError]:
        """Return the account of a shard, a new one if there is none."""
        read = await self._store.get(STATE_PREFIX + shard_id)
        if isinstance(read, result.Err):
            return read
        entry = read.ok_value
        if entry is None or entry.value is None:
            return result.Ok(ledger.Ledger(shard_id, now_ms))
        return result.Ok(ledger.Ledger.restore(entry.value))

    async def save(
        self,
        shard_id: ids.ShardId,
        account: ledger.Ledger,
        now_ms: int,
    ) -> None:
        """Write the account; a failure is made up by the next call."""
        for closed in account.take_closed(now_ms):
            first = closed.parts[0]
            day = first.from_ms // report.DAY_MS
            key = f'{DAY_PREFIX}{day}/{shard_id}/{first.from_ms}'
            await self._overwrite(key, closed.pack())
        await self._overwrite(
            STATE_PREFIX + shard_id, account.snapshot(now_ms)
        )

    async def _overwrite(self, key: str, value: bytes) -> None:
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            _LOG.warning('account not saved', detail=read.err_value.detail)
            return
        entry = read.ok_value
        expected = store.ABSENT if entry is None else entry.revision
        put = await self._store.put(key, value, expected=expected)
        if isinstance(put, result.Err):
            _LOG.warning('account not saved', detail=put.err_value.detail)

    async def merged(
        self,
        now_ms: int,
    ) -> result.Result[report.Report, store.StoreError]:
        """Return the account of all shards and all days kept."""
        reports: list[report.Report] = []
        for prefix in (STATE_PREFIX, DAY_PREFIX):
            after = ''
            while True:
                read = await self._store.range(
                    prefix, after=after, limit=PAGE_LIMIT
                )
                if isinstance(read, result.Err):
                    return read
                if not read.ok_value.entries:
                    break
                for entry in read.ok_value.entries:
                    after = entry.key
                    reports += _reports(prefix, entry.value or b'', now_ms)
        return result.Ok(report.merge(reports))


def _reports(
    prefix: str,
    value: bytes,
    now_ms: int,
) -> list[report.Report]:
    if prefix == DAY_PREFIX:
        return [report.Report.unpack(value)]
    account = ledger.Ledger.restore(value)
    return [account.today(now_ms), *account.take_closed(now_ms)]


__all__ = ('AccountStore', 'DAY_PREFIX', 'STATE_PREFIX')
