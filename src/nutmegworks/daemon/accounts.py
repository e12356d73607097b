"""Stores the usage accounts of shards and merges them into a report."""
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
DAMAGED_PREFIX: typing.Final = 'account/damaged/'
PAGE_ENTRIES: typing.Final = 50


class AccountStore:
    """Usage accounts in the store, one per shard.

    Only the owner of a shard writes its account.
    """

    def __init__(self, backend: store.Store) -> None:
        self._store = backend
        # Packed reports of closed days by store key.
        self._unsaved_by_key: dict[str, bytes] = {}

    async def load(
        self,
        shard_id: ids.ShardId,
        now_ms: int,
    ) -> result.Result[ledger.Ledger, store.StoreError]:
        """Return the stored account of a shard, or a new one.

        A damaged account is kept under ``DAMAGED_PREFIX``.

        :param now_ms: milliseconds since 1970; the start of a new account.
        """
        read = await self._store.get(STATE_PREFIX + shard_id)
        if isinstance(read, result.Err):
            return read
        # The snapshot contains each day that is not saved.
        self._unsaved_by_key.clear()
        entry = read.ok_value
        if entry is None or entry.value is None:
            return result.Ok(ledger.Ledger(shard_id, now_ms))
        try:
            return result.Ok(ledger.Ledger.restore(entry.value))
        except ledger.LedgerError as error:
            _LOG.error(
                'usage account damaged, starting a new one',
                key=entry.key,
                error=str(error),
            )
        # The next snapshot replaces the damaged one.
        kept = await self._store.put(
            f'{DAMAGED_PREFIX}{shard_id}/{entry.revision}',
            entry.value,
            expected=store.ABSENT,
        )
        if isinstance(kept, result.Err):
            if kept.err_value.fault is not store.StoreFault.CONFLICT:
                return kept
        return result.Ok(ledger.Ledger(shard_id, now_ms))

    async def save(
        self,
        shard_id: ids.ShardId,
        account: ledger.Ledger,
        now_ms: int,
    ) -> None:
        """Write the reports of closed days and a snapshot of the account.

        A failed write is logged and repeated by the next call. The snapshot
        is only replaced once the days that it contains are saved.

        :param now_ms: milliseconds since 1970.
        """
        for day_report in account.take_closed(now_ms):
            first_part = day_report.parts[0]
            day = first_part.from_ms // report.DAY_MS
            key = f'{DAY_PREFIX}{day}/{shard_id}/{first_part.from_ms}'
            self._unsaved_by_key[key] = day_report.pack()
        for key, packed in list(self._unsaved_by_key.items()):
            if not await self._overwrite(key, packed):
                return
            del self._unsaved_by_key[key]
        await self._overwrite(
            STATE_PREFIX + shard_id, account.snapshot(now_ms)
        )

    async def _overwrite(self, key: str, value: bytes) -> bool:
        """Write a value; return whether the store confirmed it."""
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            _LOG.warning(
                'usage account not saved', detail=read.err_value.detail
            )
            return False
        entry = read.ok_value
        expected = store.ABSENT if entry is None else entry.revision
        put = await self._store.put(key, value, expected=expected)
        if isinstance(put, result.Err):
            _LOG.warning(
                'usage account not saved', detail=put.err_value.detail
            )
        return put.is_ok()

    async def load_report(
        self,
        now_ms: int,
    ) -> result.Result[report.Report, store.StoreError]:
        """Return the report of all shards over all stored days.

        :param now_ms: milliseconds since 1970.
        """
        reports: list[report.Report] = []
        for prefix in (STATE_PREFIX, DAY_PREFIX):
            last_key = ''
            while True:
                read = await self._store.range(
                    prefix, after=last_key, limit=PAGE_ENTRIES
                )
                if isinstance(read, result.Err):
                    return read
                if not read.ok_value.entries:
                    break
                for entry in read.ok_value.entries:
                    last_key = entry.key
                    reports += _decode_reports(prefix, entry, now_ms)
        return result.Ok(report.merge(reports))


def _decode_reports(
    prefix: str,
    entry: store.Entry,
    now_ms: int,
) -> list[report.Report]:
    value = entry.value or b''
    try:
        if prefix == DAY_PREFIX:
            return [report.Report.unpack(value)]
        account = ledger.Ledger.restore(value)
    except (ledger.LedgerError, report.DamagedError) as error:
        # The report of the other shards and days is still right.
        _LOG.error('usage account skipped', key=entry.key, error=str(error))
        return []
    return [account.today(now_ms), *account.take_closed(now_ms)]


__all__ = ('AccountStore', 'DAMAGED_PREFIX', 'DAY_PREFIX', 'STATE_PREFIX')
