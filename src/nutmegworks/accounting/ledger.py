"""Counts accelerator time by use, in integer milliseconds."""
from __future__ import annotations

import collections
import typing
import zlib

import msgspec

from nutmegworks.accounting import accrual
from nutmegworks.accounting import report
from nutmegworks.accounting import use
from nutmegworks.model import ids

# 1,100 teams and 10 classes in two categories, and 2,000 for lenders.
MAX_ROWS: typing.Final = 24_000
MAX_REASONS: typing.Final = 1024
# A caller that never takes closed days must not exhaust the memory.
MAX_CLOSED_DAYS: typing.Final = 8
# What happened in a longer gap between two events is unknown.
MAX_GAP_MS: typing.Final = 7 * report.DAY_MS
_SNAPSHOT_VERSION: typing.Final = 1


class LedgerError(ValueError):
    """A change contradicts what the ledger holds."""


class Ledger:
    """The account of one scheduling shard.

    Each accelerator has one use at a time. A change first adds the time since
    the previous change of the uses that it touches, so its cost does not
    depend on the number of accelerators. Capacity is counted apart, so that a
    report can be checked against it.

    A time before the latest one counts as the latest: a clock that steps back
    must not make time negative.
    """

    def __init__(self, source: str, now_ms: int) -> None:
        """Start an empty account.

        :param source: the scheduling shard.
        :param now_ms: milliseconds since 1970.
        """
        self._source = source
        self._from_ms = now_ms
        self._now_ms = now_ms
        self._capacity = accrual.Balance(0, now_ms)
        self._balance_by_use: dict[use.Use, accrual.Balance] = {}
        self._count_by_reason: collections.Counter = collections.Counter()
        self._decisions: collections.deque[
            report.Decision
        ] = (collections.deque(maxlen=report.MAX_DECISIONS))
        self._closed: collections.deque[bytes] = collections.deque(
            maxlen=MAX_CLOSED_DAYS
        )

    def change(
        self,
        before: use.Use | None,
        after: use.Use | None,
        accelerators: int,
        now_ms: int,
    ) -> None:
        """Record that accelerators changed their use.

        :param before: None for accelerators that join the capacity.
        :param after: None for accelerators that leave it.
        :raises LedgerError: if fewer accelerators have the use ``before``.
        """
        if accelerators < 0:
            raise LedgerError(f'{accelerators} accelerators')
        self._advance(now_ms)
        if before is not None:
            self._take(before, accelerators)
        else:
            self._capacity.add(accelerators, self._now_ms)
        if after is not None:
            self._balance(after).add(accelerators, self._now_ms)
        else:
            self._capacity.add(-accelerators, self._now_ms)

    def reconcile(
        self,
        count_by_use: typing.Mapping[use.Use, int],
        now_ms: int,
    ) -> None:
        """Set the use of all accelerators, as after a change of owner."""
        self._advance(now_ms)
        total = sum(count_by_use.values())
        self._capacity.set(total, self._now_ms)
        for balance in self._balance_by_use.values():
            balance.set(0, self._now_ms)
        for item, count in count_by_use.items():
            self._balance(item).add(count, self._now_ms)

    def mark_lost(
        self,
        item: use.Use,
        accelerator_ms: int,
        now_ms: int,
    ) -> int:
        """Count work of today that a failure undid as lost.

        :param accelerator_ms: run time since the last checkpoint.
        :return: what was moved; work of earlier days stays where it is.
        """
        if accelerator_ms < 0:
            raise LedgerError(f'{accelerator_ms} ms lost')
        self._advance(now_ms)
        moved = 0
        lost = use.Use(use.Category.LOST, item.team_id, item.class_id)
        for holder in self._holders(item):
            balance = self._balance_by_use[holder]
            part = min(
                balance.settle(self._now_ms),
                accelerator_ms - moved,
            )
            balance.ms -= part
            moved += part
        self._balance(lost).ms += moved
        return moved

    def record(self, decision: report.Decision) -> None:
        """Keep a placement decision or refusal and count its reason."""
        self._advance(decision.at_ms)
        decision = msgspec.structs.replace(
            decision,
            at_ms=self._now_ms,
            reason=decision.reason[:report.MAX_TEXT],
            detail=decision.detail[:report.MAX_TEXT],
        )
        self._decisions.append(decision)
        key = (decision.kind, decision.class_id, decision.reason)
        if len(self._count_by_reason) >= MAX_REASONS:
            if key not in self._count_by_reason:
                key = (decision.kind, ids.ClassId(use.OTHERS), use.OTHERS)
        self._count_by_reason[key] += 1

    def count(self, item: use.Use) -> int:
        """Return how many accelerators have a use now."""
        balance = self._balance_by_use.get(item)
        return balance.count if balance else 0

    def today(self, now_ms: int) -> report.Report:
        """Return the account of the current day so far."""
        self._advance(now_ms)
        return self._report(self._now_ms)

    def take_closed(self, now_ms: int) -> tuple[report.Report, ...]:
        """Return the accounts of the days that ended, and forget them."""
        self._advance(now_ms)
        taken = tuple(map(report.Report.unpack, self._closed))
        self._closed.clear()
        return taken

    def snapshot(self, now_ms: int) -> bytes:
        """Return all that is needed to continue the account elsewhere.

        :raises LedgerError: if closed days were not taken. Write them first;
            a snapshot does not contain them, so that it stays small.
        """
        self._advance(now_ms)
        if self._closed:
            raise LedgerError('take the closed days before the snapshot')
        content = _Snapshot(
            version=_SNAPSHOT_VERSION,
            count_by_use=[
                (item, balance.count)
                for item, balance in self._balance_by_use.items()
                if balance.count
            ],
            today=self._report(self._now_ms),
        )
        return zlib.compress(msgspec.msgpack.encode(content), 1)

    @classmethod
    def restore(cls, snapshot: bytes) -> Ledger:
        """Continue an account.

        The time since the snapshot counts for the uses of the snapshot until
        ``reconcile`` sets the actual ones.
        """
        content = msgspec.msgpack.decode(
            zlib.decompress(snapshot),
            type=_Snapshot,
        )
        if content.version != _SNAPSHOT_VERSION:
            raise LedgerError(f'unknown version {content.version}')
        today = content.today
        part = today.parts[0]
        ledger = cls(part.source, part.from_ms)
        ledger._now_ms = part.until_ms
        for item, count in content.count_by_use:
            ledger._balance(item).add(count, part.until_ms)
            ledger._capacity.add(count, part.until_ms)
        for row in today.rows:
            ledger._balance(row.use).ms += row.accelerator_ms
        ledger._capacity.ms = today.capacity_ms
        for reason in today.reasons:
            key = (reason.kind, reason.class_id, reason.reason)
            ledger._count_by_reason[key] = reason.count
        ledger._decisions.extend(today.decisions)
        return ledger

    def _advance(self, now_ms: int) -> None:
        """Move on to a time; close the days that end before."""
        if now_ms - self._now_ms > MAX_GAP_MS:
            self._close(self._now_ms, now_ms)
        while now_ms >= self._day_end_ms:
            self._close(self._day_end_ms, self._day_end_ms)
        self._now_ms = max(self._now_ms, now_ms)

    @property
    def _day(self) -> int:
        return self._from_ms // report.DAY_MS

    @property
    def _day_end_ms(self) -> int:
        return (self._day + 1) * report.DAY_MS

    def _close(self, end_ms: int, next_ms: int) -> None:
        """Close the current day; the next span starts at ``next_ms``."""
        if end_ms > self._from_ms or self._count_by_reason:
            self._closed.append(self._report(end_ms).pack())
        self._from_ms = self._now_ms = next_ms
        self._capacity.restart(next_ms)
        for item, balance in list(self._balance_by_use.items()):
            balance.restart(next_ms)
            if not balance.count:
                del self._balance_by_use[item]
        self._count_by_reason.clear()
        self._decisions.clear()

    def _report(self, end_ms: int) -> report.Report:
        day = self._day
        return report.Report(
            parts=(report.Part(self._source, self._from_ms, end_ms), ),
            capacity_ms_by_day={day: self._capacity.settle(end_ms)},
            rows=report.make_rows(
                {
                    (day, item): balance.settle(end_ms)
                    for item, balance in self._balance_by_use.items()
                }
            ),
            reasons=report.make_reasons(
                {
                    (day, *key): count
                    for key, count in self._count_by_reason.items()
                }
            ),
            decisions=tuple(self._decisions),
        )

    def _balance(self, item: use.Use) -> accrual.Balance:
        """Return the balance of a use; of a coarser one if there are many."""
        for candidate in accrual.coarser(item):
            balance = self._balance_by_use.get(candidate)
            if balance is None and len(self._balance_by_use) < MAX_ROWS:
                balance = self._balance_by_use[candidate] = accrual.Balance(
                    0,
                    self._now_ms,
                )
            if balance is not None:
                return balance
        # The coarsest uses are at most a few for each category.
        return self._balance_by_use.setdefault(
            candidate,
            accrual.Balance(0, self._now_ms),
        )

    def _holders(self, item: use.Use) -> list[use.Use]:
        return [
            candidate for candidate in accrual.coarser(item)
            if candidate in self._balance_by_use
        ]

    def _take(self, item: use.Use, accelerators: int) -> None:
        holders = self._holders(item)
        held = sum(self._balance_by_use[holder].count for holder in holders)
        if held < accelerators:
            raise LedgerError(f'{accelerators} of {item} of which {held} are')
        for holder in holders:
            balance = self._balance_by_use[holder]
            part = min(balance.count, accelerators)
            balance.add(-part, self._now_ms)
            accelerators -= part


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    version: int
    count_by_use: list[tuple[use.Use, int]]
    today: report.Report


__all__ = (
    'Ledger',
    'LedgerError',
    'MAX_CLOSED_DAYS',
    'MAX_GAP_MS',
    'MAX_REASONS',
    'MAX_ROWS',
)
