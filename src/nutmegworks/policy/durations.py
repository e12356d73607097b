"""Corrects declared durations by those that a queue's tasks have shown."""
from __future__ import annotations

import dataclasses
import math
import typing

# Declarations count as if this many tasks had confirmed them.
PRIOR_TASKS: typing.Final = 5.0
# Prior weight of the slope "twice the declaration, twice the duration", in
# squared logarithms: spreads of a queue's declarations are about 0.5.
PRIOR_SPREAD: typing.Final = 2.0
SHORTEST_SECONDS: typing.Final = 0.05


@dataclasses.dataclass(slots=True)
class _Sums:
    """Moments of logarithms: x of declared, y of actual seconds."""

    count: int = 0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0


class Durations:
    """Fits the logarithm of actual seconds to that of declared ones.

    The prior is that declarations are true. Where they say little, the fit
    approaches the queue's usual duration.

    >>> durations = Durations()
    >>> durations.expected('q', 4.0)
    4.0
    >>> for declared in (2.0, 4.0, 8.0) * 20:
    ...     durations.observe('q', declared, 6.0)
    >>> 5.0 < durations.expected('q', 2.0) < 6.0
    True
    """

    def __init__(self) -> None:
        self._sums_by_queue: dict[str, _Sums] = {}

    def __contains__(self, queue: str) -> bool:
        return queue in self._sums_by_queue

    def observe(self, queue: str, declared: float, actual: float) -> None:
        """Note a finished task; both times are in seconds."""
        sums = self._sums_by_queue.setdefault(queue, _Sums())
        x, y = _log(declared), _log(actual)
        sums.count += 1
        sums.x += x
        sums.y += y
        sums.xx += x * x
        sums.xy += x * y

    def expected(self, queue: str, declared: float) -> float:
        """Return the expected seconds of a task."""
        sums = self._sums_by_queue.get(queue)
        if sums is None or declared <= 0:
            return declared
        mean_x, mean_y = sums.x / sums.count, sums.y / sums.count
        spread = max(0.0, sums.xx - sums.count * mean_x * mean_x)
        joint = sums.xy - sums.count * mean_x * mean_y
        slope = (joint + PRIOR_SPREAD) / (spread + PRIOR_SPREAD)
        slope = min(1.0, max(0.0, slope))
        trust = sums.count / (sums.count + PRIOR_TASKS)
        fitted = mean_y + slope * (_log(declared) - mean_x)
        return math.exp(trust * fitted + (1 - trust) * _log(declared))


def _log(seconds: float) -> float:
    return math.log(max(SHORTEST_SECONDS, seconds))


__all__ = ('Durations', )
