"""Estimates how fast workers are by comparing tasks of the same step.

Used by the platform daemon (nutmegworks.daemon.fleet); nutmegd has no
counterpart.
"""
from __future__ import annotations

import dataclasses
import math
import statistics
import typing

from nutmegworks.model import ids

# A step with fewer tasks is not compared: its median is not reliable.
MIN_TASKS: typing.Final = 4
# The prior that a worker has typical speed weighs as much as this many
# comparisons.
PRIOR_COMPARISONS: typing.Final = 1.0
# Least time over which the progress of a run is measured. Reports give whole
# percents and come once a second.
RATE_WINDOW_SECONDS: typing.Final = 1.5
# Least progress, in percent, that counts for a window, so that a run that
# stands still has a logarithm.
MIN_PROGRESS: typing.Final = 0.5
# Limits the weight of old comparisons to that of this many, so that the
# estimate follows a worker that recovers.
MAX_WEIGHT: typing.Final = 8.0
# A single comparison changes the estimate as if the worker took at most this
# many times as long as a typical one.
MAX_RATIO: typing.Final = 4.0
# A worker is slow if it takes more than this many times as long as a typical
# one. Tasks of a step differ by up to 30% on workers of one kind.
SLOW_FACTOR: typing.Final = 1.09


@dataclasses.dataclass(slots=True)
class _Estimate:
    """The estimate for one worker.

    :param logarithm: of the worker's time over the typical time.
    :param weight: number of comparisons as which the estimate counts.
    """

    logarithm: float = 0.0
    weight: float = PRIOR_COMPARISONS


@dataclasses.dataclass(slots=True)
class ProgressRate:
    """How fast a run proceeds, measured over successive windows.

    Times are seconds on a monotonic clock.

    :param value: percent a second in the last whole window; None before it.
    """

    value: float | None = None
    _percent: int | None = None
    _since: float = 0.0

    def update(self, percent: int, now: float) -> bool:
        """Record a report; return whether a window has ended.

        A window in which the run may have ended is not measured.
        """
        if self._percent is None:
            self._percent, self._since = percent, now
            return False
        seconds = now - self._since
        if percent >= 100 or seconds < RATE_WINDOW_SECONDS:
            return False
        gained = max(MIN_PROGRESS, percent - self._percent)
        self.value = gained / seconds
        self._percent, self._since = percent, now
        return True


class WorkerSpeeds:
    """Time that a worker takes, relative to a typical worker.

    >>> speeds = WorkerSpeeds()
    >>> for _ in range(5):
    ...     speeds.compare({'a': [10.0], 'b': [10.0], 'c': [10.0, 10.1],
    ...                     'd': [13.0]})
    >>> speeds.is_slow('d'), speeds.is_slow('a')
    (True, False)
    """

    def __init__(self) -> None:
        self._estimate_by_id: dict[ids.WorkerId, _Estimate] = {}

    def compare(
        self,
        seconds_by_id: typing.Mapping[ids.WorkerId, typing.Sequence[float]],
    ) -> None:
        """Update the estimates from a finished step.

        :param seconds_by_id: durations of the step's tasks by worker.
        """
        logs = [
            (worker_id, math.log(max(0.01, seconds)))
            for worker_id, durations in seconds_by_id.items()
            for seconds in durations
        ]
        if len(logs) < MIN_TASKS:
            return
        typical = statistics.median(
            log - self._logarithm(worker_id) for worker_id, log in logs
        )
        for worker_id, log in logs:
            self._observe(worker_id, log - typical)

    def compare_rate(
        self,
        worker_id: ids.WorkerId,
        rate: float,
        others: typing.Sequence[tuple[ids.WorkerId, float]],
    ) -> None:
        """Update the estimate of a worker from a run that is under way.

        :param rate: percent a second that the run proceeds.
        :param others: workers and rates of other tasks of its step.
        """
        if len(others) + 1 < MIN_TASKS:
            return
        logs = [
            -math.log(other_rate) - self._logarithm(other_id)
            for other_id, other_rate in others
        ]
        self._observe(worker_id, -math.log(rate) - statistics.median(logs))

    def _observe(self, worker_id: ids.WorkerId, logarithm: float) -> None:
        """Add one comparison with a typical worker to an estimate."""
        bound = math.log(MAX_RATIO)
        estimate = self._estimate_by_id.setdefault(worker_id, _Estimate())
        observed = max(-bound, min(bound, logarithm))
        estimate.weight = min(MAX_WEIGHT, estimate.weight + 1)
        estimate.logarithm += (observed - estimate.logarithm) / estimate.weight

    def _logarithm(self, worker_id: ids.WorkerId) -> float:
        estimate = self._estimate_by_id.get(worker_id)
        return 0.0 if estimate is None else estimate.logarithm

    def time_factor(self, worker_id: ids.WorkerId) -> float:
        """Return the worker's time over the typical time."""
        return math.exp(self._logarithm(worker_id))

    def is_slow(self, worker_id: ids.WorkerId) -> bool:
        """Return whether gangs and urgent work should avoid the worker."""
        return self.time_factor(worker_id) > SLOW_FACTOR

    def reset(self, worker_id: ids.WorkerId) -> None:
        """Discard the estimate for a worker that has restarted."""
        self._estimate_by_id.pop(worker_id, None)


__all__ = ('ProgressRate', 'SLOW_FACTOR', 'WorkerSpeeds')
