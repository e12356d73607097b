"""Reports on the use of accelerator time; they can be merged and encoded."""
from __future__ import annotations

import collections
import enum
import typing
import zlib

import msgspec

from nutmegworks.accounting import use
from nutmegworks.model import decoding
from nutmegworks.model import ids

DAY_MS: typing.Final = 86_400_000
MAX_DECISIONS: typing.Final = 512
MAX_TEXT_CHARACTERS: typing.Final = 160
# The fastest level; names repeat so much that a higher one gains little.
_COMPRESSION_LEVEL: typing.Final = 1

ReasonKey = tuple[int, 'DecisionKind', ids.ClassId, str]

_Value = typing.TypeVar('_Value')


class DamagedError(ValueError):
    """Bytes are no report or ledger."""


class MergeError(ValueError):
    """Two reports cover the same time of the same source."""


class DecisionKind(enum.Enum):
    PLACED = 'placed'
    WAITING = 'waiting'
    REFUSED = 'refused'


class Row(msgspec.Struct, frozen=True, array_like=True):
    """Accelerator time of one use on one day.

    :param day: days since 1970 in UTC.
    """

    day: int
    use: use.Use
    accelerator_ms: int


class Part(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A period that a report covers for one source.

    :param source: the scheduling shard that the time is counted for.
    :param from_ms: milliseconds since 1970, inclusive.
    :param until_ms: milliseconds since 1970, exclusive.
    """

    source: str
    from_ms: int
    until_ms: int


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """One placement decision or refusal, stored for inspection.

    :param at_ms: milliseconds since 1970.
    :param reason: one of a few fixed texts, by which decisions are counted.
    :param detail: one sentence for a person.
    """

    at_ms: int
    kind: DecisionKind
    job_id: ids.JobId
    team_id: ids.TeamId
    class_id: ids.ClassId
    reason: str
    detail: str = ''


class ReasonCount(msgspec.Struct, frozen=True, array_like=True):
    """The number of decisions of a class with one reason on one day."""

    day: int
    kind: DecisionKind
    class_id: ids.ClassId
    reason: str
    count: int


class Report(msgspec.Struct, frozen=True):
    """The use of the accelerator time of some sources and days.

    :param capacity_ms_by_day: accelerator-milliseconds that existed, counted
        separately from the rows.
    :param decisions: the latest ones only.
    """

    parts: tuple[Part, ...] = ()
    capacity_ms_by_day: dict[int, int] = {}
    rows: tuple[Row, ...] = ()
    reasons: tuple[ReasonCount, ...] = ()
    decisions: tuple[Decision, ...] = ()

    @property
    def capacity_ms(self) -> int:
        return sum(self.capacity_ms_by_day.values())

    def total_by(self, key: typing.Callable[[Row], typing.Any]) -> dict:
        """Return the accelerator-milliseconds of the rows, summed by a key."""
        total_by_key: dict = collections.defaultdict(int)
        for row in self.rows:
            total_by_key[key(row)] += row.accelerator_ms
        return dict(total_by_key)

    def imbalance_ms_by_day(self) -> dict[int, int]:
        """Return the difference of rows and capacity by day, where not 0."""
        used_by_day = self.total_by(lambda row: row.day)
        days = used_by_day.keys() | self.capacity_ms_by_day.keys()
        differences = {
            day: used_by_day.get(day, 0) - self.capacity_ms_by_day.get(day, 0)
            for day in days
        }
        return {day: ms for day, ms in differences.items() if ms}

    def pack(self) -> bytes:
        """Return compressed MessagePack."""
        return zlib.compress(msgspec.msgpack.encode(self), _COMPRESSION_LEVEL)

    @classmethod
    def unpack(cls, packed: bytes) -> Report:
        """Return the report that ``pack`` has encoded.

        :raises DamagedError: if the bytes are damaged.
        """
        return unpack(packed, cls)

    def to_json(self) -> bytes:
        return msgspec.json.encode(self)

    @classmethod
    def from_json(cls, text: bytes) -> Report:
        return msgspec.json.decode(text, type=cls)


def unpack(packed: bytes, kind: type[_Value]) -> _Value:
    """Decode compressed MessagePack.

    :raises DamagedError: if the bytes are damaged.
    """
    try:
        with decoding.nesting_limit():
            return msgspec.msgpack.decode(zlib.decompress(packed), type=kind)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DamagedError(str(error)) from error


def merge(reports: typing.Iterable[Report]) -> Report:
    """Return the sum of reports on different sources or periods.

    :raises MergeError: if two cover the same time of the same source, which
        would be counted twice.
    """
    reports = tuple(reports)
    ms_by_row: collections.Counter = collections.Counter()
    capacity: collections.Counter = collections.Counter()
    counts: collections.Counter = collections.Counter()
    for report in reports:
        capacity.update(report.capacity_ms_by_day)
        for row in report.rows:
            ms_by_row[row.day, row.use] += row.accelerator_ms
        for item in report.reasons:
            key = (item.day, item.kind, item.class_id, item.reason)
            counts[key] += item.count
    return Report(
        parts=_join_adjacent(
            part for report in reports for part in report.parts
        ),
        capacity_ms_by_day=dict(sorted(capacity.items())),
        rows=make_rows(ms_by_row),
        reasons=make_reasons(counts),
        decisions=latest_decisions(
            item for report in reports for item in report.decisions
        ),
    )


def make_rows(
    ms_by_row: typing.Mapping[tuple[int, use.Use], int],
) -> tuple[Row, ...]:
    """Return rows in a fixed order, without empty ones."""
    rows = [Row(*key, ms) for key, ms in ms_by_row.items() if ms]
    return tuple(sorted(rows, key=_row_order))


def make_reasons(
    counts: typing.Mapping[ReasonKey, int],
) -> tuple[ReasonCount, ...]:
    """Return counts of reasons by day, the most frequent first."""
    items = [ReasonCount(*key, count) for key, count in counts.items()]
    return tuple(
        sorted(
            items,
            key=lambda item: (
                item.day,
                -item.count,
                item.kind.value,
                item.class_id,
                item.reason,
            ),
        )
    )


def latest_decisions(
    decisions: typing.Iterable[Decision]
) -> tuple[Decision, ...]:
    """Return the latest ``MAX_DECISIONS`` decisions, oldest first."""
    ordered = sorted(decisions, key=lambda item: (item.at_ms, item.job_id))
    return tuple(ordered[-MAX_DECISIONS:])


def _row_order(row: Row) -> tuple:
    return (
        row.day,
        row.use.category.value,
        row.use.team_id,
        row.use.class_id,
        row.use.lender_id,
    )


def _join_adjacent(parts: typing.Iterable[Part]) -> tuple[Part, ...]:
    """Join adjacent parts of a source.

    :raises MergeError: if two parts of a source overlap.
    """
    joined: list[Part] = []
    for part in sorted(parts):
        last = joined[-1] if joined else None
        if last is None or last.source != part.source:
            joined.append(part)
        elif part.from_ms < last.until_ms:
            raise MergeError(f'{part} and {last} overlap')
        elif part.from_ms == last.until_ms:
            joined[-1] = Part(part.source, last.from_ms, part.until_ms)
        else:
            joined.append(part)
    return tuple(joined)


__all__ = (
    'DAY_MS',
    'DamagedError',
    'Decision',
    'DecisionKind',
    'MAX_DECISIONS',
    'MAX_TEXT_CHARACTERS',
    'MergeError',
    'Part',
    'ReasonCount',
    'ReasonKey',
    'Report',
    'Row',
    'latest_decisions',
    'make_reasons',
    'make_rows',
    'merge',
    'unpack',
)
