"""Accumulates accelerator time by use, in integer milliseconds."""
from __future__ import annotations

import collections
import typing
import zlib

import msgspec

from nutmegworks.accounting import accumulation
from nutmegworks.accounting import report
from nutmegworks.accounting import use
from nutmegworks.model import ids

# 1,100 teams with 10 classes in two categories take 22,000 rows; 2,000 more
# are for capacity lent between teams.
MAX_ROWS: typing.Final = 24_000
MAX_REASONS: typing.Final = 1024
# Bounds the memory if a caller never takes the closed days.
MAX_CLOSED_DAYS: typing.Final = 8
# After a longer gap between two events the use in between is unknown and not
# counted.
MAX_GAP_MS: typing.Final = 7 * report.DAY_MS
_SNAPSHOT_VERSION: typing.Final = 1


class LedgerError(ValueError):
    """A change contradicts the state of the ledger."""


class Ledger:
    """The account of one scheduling shard.

    Each accelerator has one use at a time. A change accumulates time only for
    the uses that it affects, so its cost does not depend on the number of
    accelerators. Capacity is accumulated separately, so that a report can be
    checked against it.

    A time before the latest one is replaced by the latest one, because a
    clock that steps back must not cause negative durations.
    """

    def __init__(self, source: str, now_ms: int) -> None:
        """Start an empty account.

        :param source: the scheduling shard.
        :param now_ms: milliseconds since 1970.
        """
        self._source = source
        self._from_ms = now_ms
        self._now_ms = now_ms
        self._capacity = accumulation.Accumulator(0, now_ms)
        self._time_by_use: dict[use.Use, accumulation.Accumulator] = {}
        self._count_by_reason: collections.Counter = collections.Counter()
        self._decisions: collections.deque[
            report.Decision
        ] = (collections.deque(maxlen=report.MAX_DECISIONS))
        self._closed_days: collections.deque[bytes] = collections.deque(
            maxlen=MAX_CLOSED_DAYS
        )

    def change(
        self,
        before: use.Use | None,
        after: use.Use | None,
        accelerators: int,
        now_ms: int,
    ) -> None:
        """Move accelerators from one use to another.

        :param before: None for accelerators that are added to the capacity.
        :param after: None for accelerators that are removed from it.
        :raises LedgerError: if fewer accelerators have the use ``before``.
        """
        if accelerators < 0:
            raise LedgerError(
                f'negative number of accelerators: {accelerators}'
            )
        self._advance(now_ms)
        if before is not None:
            self._subtract(before, accelerators)
        else:
            self._capacity.add(accelerators, self._now_ms)
        if after is not None:
            self._accumulator(after).add(accelerators, self._now_ms)
        else:
            self._capacity.add(-accelerators, self._now_ms)

    def reconcile(
        self,
        count_by_use: typing.Mapping[use.Use, int],
        now_ms: int,
    ) -> None:
        """Replace the use of all accelerators, such as after a takeover."""
        self._advance(now_ms)
        total = sum(count_by_use.values())
        self._capacity.set(total, self._now_ms)
        for accumulator in self._time_by_use.values():
            accumulator.set(0, self._now_ms)
        for item, count in count_by_use.items():
            self._accumulator(item).add(count, self._now_ms)

    def mark_lost(
        self,
        item: use.Use,
        accelerator_ms: int,
        now_ms: int,
    ) -> int:
        """Count work of the current day that a failure undid as LOST.

        :param accelerator_ms: run time since the last checkpoint.
        :return: the accelerator-milliseconds that now count as LOST; work of
            earlier days keeps its use.
        """
        if accelerator_ms < 0:
            raise LedgerError(f'negative lost time: {accelerator_ms} ms')
        self._advance(now_ms)
        moved = 0
        lost = use.Use(use.Category.LOST, item.team_id, item.class_id)
        for level in self._existing_levels(item):
            accumulator = self._time_by_use[level]
            part = min(
                accumulator.accumulate(self._now_ms),
                accelerator_ms - moved,
            )
            accumulator.ms -= part
            moved += part
        self._accumulator(lost).ms += moved
        return moved

    def record(self, decision: report.Decision) -> None:
        """Store a placement decision or refusal and count its reason."""
        self._advance(decision.at_ms)
        decision = msgspec.structs.replace(
            decision,
            at_ms=self._now_ms,
            reason=decision.reason[:report.MAX_TEXT_CHARACTERS],
            detail=decision.detail[:report.MAX_TEXT_CHARACTERS],
        )
        self._decisions.append(decision)
        key = (decision.kind, decision.class_id, decision.reason)
        if len(self._count_by_reason) >= MAX_REASONS:
            if key not in self._count_by_reason:
                key = (decision.kind, ids.ClassId(use.OTHERS), use.OTHERS)
        self._count_by_reason[key] += 1

    def count(self, item: use.Use) -> int:
        """Return the number of accelerators that have a use now."""
        accumulator = self._time_by_use.get(item)
        return accumulator.count if accumulator else 0

    def today(self, now_ms: int) -> report.Report:
        """Return the report on the current day so far."""
        self._advance(now_ms)
        return self._report(self._now_ms)

    def take_closed(self, now_ms: int) -> tuple[report.Report, ...]:
        """Return the reports on the closed days and discard them."""
        self._advance(now_ms)
        taken = tuple(map(report.Report.unpack, self._closed_days))
        self._closed_days.clear()
        return taken

    def snapshot(self, now_ms: int) -> bytes:
        """Return the encoded state, from which ``restore`` continues.

        :raises LedgerError: if there are closed days that were not taken.
            Write them first; a snapshot does not contain them, so that it
            stays small.
        """
        self._advance(now_ms)
        if self._closed_days:
            raise LedgerError('closed days must be taken before a snapshot')
        content = _Snapshot(
            version=_SNAPSHOT_VERSION,
            count_by_use=[
                (item, accumulator.count)
                for item, accumulator in self._time_by_use.items()
                if accumulator.count
            ],
            today=self._report(self._now_ms),
        )
        return zlib.compress(msgspec.msgpack.encode(content), 1)

    @classmethod
    def restore(cls, snapshot: bytes) -> Ledger:
        """Return the ledger of a snapshot.

        The time since the snapshot counts for the uses of the snapshot until
        ``reconcile`` sets the actual ones.

        :raises LedgerError: if the snapshot is damaged or of an unknown
            version.
        """
        try:
            content = report.unpack(snapshot, _Snapshot)
        except report.DamagedError as error:
            raise LedgerError(str(error)) from error
        if content.version != _SNAPSHOT_VERSION:
            raise LedgerError(
                f'unsupported snapshot version {content.version}'
            )
        today = content.today
        if not today.parts:
            raise LedgerError('the snapshot covers no time')
        part = today.parts[0]
        ledger = cls(part.source, part.from_ms)
        ledger._now_ms = part.until_ms
        for item, count in content.count_by_use:
            ledger._accumulator(item).add(count, part.until_ms)
            ledger._capacity.add(count, part.until_ms)
        for row in today.rows:
            ledger._accumulator(row.use).ms += row.accelerator_ms
        ledger._capacity.ms = today.capacity_ms
        for reason in today.reasons:
            key = (reason.kind, reason.class_id, reason.reason)
            ledger._count_by_reason[key] = reason.count
        ledger._decisions.extend(today.decisions)
        return ledger

    def _advance(self, now_ms: int) -> None:
        """Advance the time; close the days that end by then."""
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
        """Close the current day; the next period starts at ``next_ms``."""
        if end_ms > self._from_ms or self._count_by_reason:
            self._closed_days.append(self._report(end_ms).pack())
        self._from_ms = self._now_ms = next_ms
        self._capacity.reset(next_ms)
        for item, accumulator in list(self._time_by_use.items()):
            accumulator.reset(next_ms)
            if not accumulator.count:
                del self._time_by_use[item]
        self._count_by_reason.clear()
        self._decisions.clear()

    def _report(self, end_ms: int) -> report.Report:
        day = self._day
        return report.Report(
            parts=(report.Part(self._source, self._from_ms, end_ms), ),
            capacity_ms_by_day={day: self._capacity.accumulate(end_ms)},
            rows=report.make_rows(
                {
                    (day, item): accumulator.accumulate(end_ms)
                    for item, accumulator in self._time_by_use.items()
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

    def _accumulator(self, item: use.Use) -> accumulation.Accumulator:
        """Return the accumulator of a use; of a coarser one at MAX_ROWS."""
        for level in accumulation.aggregation_levels(item):
            total = self._time_by_use.get(level)
            if total is None and len(self._time_by_use) < MAX_ROWS:
                total = self._time_by_use[level] = accumulation.Accumulator(
                    0,
                    self._now_ms,
                )
            if total is not None:
                return total
        # There are only a few coarsest uses for each category, so they may
        # exceed the limit.
        return self._time_by_use.setdefault(
            level,
            accumulation.Accumulator(0, self._now_ms),
        )

    def _existing_levels(self, item: use.Use) -> list[use.Use]:
        return [
            level for level in accumulation.aggregation_levels(item)
            if level in self._time_by_use
        ]

    def _subtract(self, item: use.Use, accelerators: int) -> None:
        levels = self._existing_levels(item)
        available = sum(self._time_by_use[level].count for level in levels)
        if available < accelerators:
            raise LedgerError(
                f'cannot remove {accelerators} accelerators from {item}: '
                f'only {available} have this use'
            )
        for level in levels:
            accumulator = self._time_by_use[level]
            part = min(accumulator.count, accelerators)
            accumulator.add(-part, self._now_ms)
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
