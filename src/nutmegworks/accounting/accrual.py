"""Adds up the time of accelerators that have the same use."""
from __future__ import annotations

from nutmegworks.accounting import use
from nutmegworks.model import ids


class Balance:
    """A number of accelerators and the time that they have added up."""

    __slots__ = ('count', 'ms', '_since_ms')

    def __init__(self, count: int, now_ms: int) -> None:
        self.count = count
        self.ms = 0
        self._since_ms = now_ms

    def settle(self, now_ms: int) -> int:
        """Return the accelerator-milliseconds up to a time."""
        self.ms += self.count * (now_ms - self._since_ms)
        self._since_ms = now_ms
        return self.ms

    def add(self, count: int, now_ms: int) -> None:
        self.set(self.count + count, now_ms)

    def set(self, count: int, now_ms: int) -> None:
        self.settle(now_ms)
        self.count = count

    def restart(self, now_ms: int) -> None:
        self.ms = 0
        self._since_ms = now_ms


def coarser(item: use.Use) -> list[use.Use]:
    """Return a use and coarser ones of the same category."""
    others = ids.TeamId(use.OTHERS)
    nobody = ids.TeamId('')
    lender = others if item.lender_id else nobody
    team = others if item.team_id else nobody
    category = item.category
    coarser = [
        item,
        use.Use(category, item.team_id, item.class_id, lender),
        use.Use(category, team, ids.ClassId(''), lender),
    ]
    return list(dict.fromkeys(coarser))


__all__ = ('Balance', 'coarser')
