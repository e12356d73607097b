"""Corrects declared durations of tasks by those measured for their queue.

Used by the platform daemon (nutmegworks.daemon.fleet). Its counterparts in
nutmegd, for the run times of gang jobs, are run_time_estimate and
run_time_learning.
"""
from __future__ import annotations

import dataclasses
import math
import typing

# The prior that declarations are true weighs as much as this many tasks.
PRIOR_TASKS: typing.Final = 5.0
# Prior weight of the slope "twice the declaration, twice the duration", in
# squared logarithms: spreads of a queue's declarations are about 0.5.
PRIOR_SPREAD: typing.Final = 2.0
# Shorter durations count as this long, so that logarithms are bounded.
MIN_SECONDS: typing.Final = 0.05


@dataclasses.dataclass(slots=True)
class _Sums:
    """Sums over logarithms: x of declared, y of actual seconds."""

    count: int = 0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0


class DurationModel:
    """Linear fit of the logarithm of actual to that of declared seconds.

    There is one fit for each queue. The prior is that declarations are true.
    Where declarations tell little about durations, the fit approaches the
    queue's usual duration.

    >>> model = DurationModel()
    >>> model.expected('q', 4.0)
    4.0
    >>> for declared in (2.0, 4.0, 8.0) * 20:
    ...     model.observe('q', declared, 6.0)
    >>> 5.0 < model.expected('q', 2.0) < 6.0
    True
    """

    def __init__(self) -> None:
        self._sums_by_queue: dict[str, _Sums] = {}

    def __contains__(self, queue: str) -> bool:
        return queue in self._sums_by_queue

    def observe(self, queue: str, declared: float, actual: float) -> None:
        """Add a finished task to the fit; both times are in seconds."""
        sums = self._sums_by_queue.setdefault(queue, _Sums())
        x, y = _log(declared), _log(actual)
        sums.count += 1
        sums.x += x
        sums.y += y
        sums.xx += x * x
        sums.xy += x * y

    def expected(self, queue: str, declared: float) -> float:
        """Return the expected seconds of a task with a declared duration."""
        sums = self._sums_by_queue.get(queue)
        if sums is None or declared <= 0:
            return declared
        mean_x, mean_y = sums.x / sums.count, sums.y / sums.count
        squares_x = max(0.0, sums.xx - sums.count * mean_x * mean_x)
        products_xy = sums.xy - sums.count * mean_x * mean_y
        slope = (products_xy + PRIOR_SPREAD) / (squares_x + PRIOR_SPREAD)
        slope = min(1.0, max(0.0, slope))
        fit_weight = sums.count / (sums.count + PRIOR_TASKS)
        fitted = mean_y + slope * (_log(declared) - mean_x)
        return math.exp(
            fit_weight * fitted + (1 - fit_weight) * _log(declared)
        )


def _log(seconds: float) -> float:
    return math.log(max(MIN_SECONDS, seconds))


__all__ = ('DurationModel', )
