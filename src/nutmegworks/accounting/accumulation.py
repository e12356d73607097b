"""Accumulates the time of accelerators that have the same use."""
from __future__ import annotations

from nutmegworks.accounting import use
from nutmegworks.model import ids


class Accumulator:
    """A number of accelerators and the time that they have accumulated.

    :ivar count: accelerators that have the use now.
    :ivar ms: accumulated time in accelerator-milliseconds.
    """

    __slots__ = ('count', 'ms', '_since_ms')

    def __init__(self, count: int, now_ms: int) -> None:
        self.count = count
        self.ms = 0
        self._since_ms = now_ms

    def accumulate(self, now_ms: int) -> int:
        """Return the accelerator-milliseconds accumulated up to a time."""
        self.ms += self.count * (now_ms - self._since_ms)
        self._since_ms = now_ms
        return self.ms

    def add(self, count: int, now_ms: int) -> None:
        self.set(self.count + count, now_ms)

    def set(self, count: int, now_ms: int) -> None:
        self.accumulate(now_ms)
        self.count = count

    def reset(self, now_ms: int) -> None:
        self.ms = 0
        self._since_ms = now_ms


def aggregation_levels(item: use.Use) -> list[use.Use]:
    """Return a use, followed by coarser ones of the same category."""
    others = ids.TeamId(use.OTHERS)
    no_team = ids.TeamId('')
    lender = others if item.lender_id else no_team
    team = others if item.team_id else no_team
    category = item.category
    levels = [
        item,
        use.Use(category, item.team_id, item.class_id, lender),
        use.Use(category, team, ids.ClassId(''), lender),
    ]
    return list(dict.fromkeys(levels))


__all__ = ('Accumulator', 'aggregation_levels')
