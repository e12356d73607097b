"""Estimates job run times from observed ones, by team and class.

Used by nutmegd. The platform daemon estimates the durations of tasks in
``task_durations``.
"""
from __future__ import annotations

import array
import collections
import math
import typing

import sortedcontainers

from nutmegworks.model import ids

# Runs kept for each team and class. An HDR histogram (hdrh) with one
# significant digit would take 3.7 kB each, thus 41 MB for 1,100 teams and 10
# classes, but a daemon may use 32 MB. A window of 16 runs also discards old
# behaviour.
WINDOW_RUNS: typing.Final = 16
# Enough for 1,100 teams and 10 classes.
MAX_PAIRS: typing.Final = 11_000
# With fewer runs a quartile is not meaningful.
MIN_RUNS: typing.Final = 4
# With fewer teams, one team could determine the quantiles of a class.
MIN_TEAMS: typing.Final = 3
# With enough data, an estimate lies between these quantiles of the observed
# run times.
LOW_QUANTILE: typing.Final = 0.25
HIGH_QUANTILE: typing.Final = 0.9
# Declared and observed run times are limited to this range, so that each ratio
# of them is finite.
MIN_RUN_TIME_SECONDS: typing.Final = 0.001
MAX_RUN_TIME_SECONDS: typing.Final = 30 * 86_400.0

_Pair = tuple[ids.TeamId, ids.ClassId]


class RunTimeEstimator:
    """Corrects declared run times by observed ones.

    If the team has enough runs in the class, the declared time is multiplied
    by the team's median ratio of actual to declared time, and is limited by a
    low and a high quantile of the team's own run times. Otherwise it is
    limited by the same quantiles of the medians of all teams in the class, to
    which each team contributes one value. Without enough data, the declared
    time is returned.

    The memory is limited to ``max_pairs`` windows of about 0.7 kB each; the
    pair of team and class observed least recently is dropped.

    >>> estimator = RunTimeEstimator()
    >>> estimator.estimate('north', 'plan', 60.0)
    60.0
    >>> for _ in range(4):
    ...     estimator.observe('north', 'plan', 60.0, 600.0)
    >>> estimator.estimate('north', 'plan', 60.0)
    600.0
    """

    def __init__(self, *, max_pairs: int = MAX_PAIRS) -> None:
        self._max_pairs = max_pairs
        self._window_by_pair: collections.OrderedDict[
            _Pair, _Window] = collections.OrderedDict()
        self._medians_by_class: dict[ids.ClassId,
                                     sortedcontainers.SortedList] = {}

    def estimate(
        self,
        team_id: ids.TeamId,
        class_id: ids.ClassId,
        declared_seconds: float,
    ) -> float:
        """Return the expected run time in seconds."""
        declared = _within_limits(declared_seconds)
        if self.has_data(team_id, class_id):
            return self._window_by_pair[team_id, class_id].estimate(declared)
        medians = self._medians_by_class.get(class_id, ())
        if len(medians) < MIN_TEAMS:
            return declared
        return _clamp(declared, medians)

    def has_data(self, team_id: ids.TeamId, class_id: ids.ClassId) -> bool:
        """Return whether the team's own runs determine its estimates."""
        window = self._window_by_pair.get((team_id, class_id))
        return window is not None and len(window.actual) >= MIN_RUNS

    def observe(
        self,
        team_id: ids.TeamId,
        class_id: ids.ClassId,
        declared_seconds: float,
        actual_seconds: float,
    ) -> None:
        """Record the run time of a finished job."""
        pair = (team_id, class_id)
        window = self._window_by_pair.setdefault(pair, _Window())
        self._window_by_pair.move_to_end(pair)
        self._remove_median(class_id, window)
        window.add(
            _within_limits(declared_seconds), _within_limits(actual_seconds)
        )
        self._medians_by_class.setdefault(
            class_id,
            sortedcontainers.SortedList(),
        ).add(window.median)
        if len(self._window_by_pair) > self._max_pairs:
            dropped_pair, dropped_window = self._window_by_pair.popitem(
                last=False
            )
            self._remove_median(dropped_pair[1], dropped_window)

    def _remove_median(self, class_id: ids.ClassId, window: _Window) -> None:
        if not window.actual:
            return
        medians = self._medians_by_class[class_id]
        medians.remove(window.median)
        if not medians:
            del self._medians_by_class[class_id]


class _Window:
    """The last runs of one team in one class, in seconds."""

    __slots__ = ('actual', 'median', '_declared', '_next_index')

    def __init__(self) -> None:
        self.actual = array.array('f')
        self.median = 0.0
        self._declared = array.array('f')
        self._next_index = 0

    def add(self, declared: float, actual: float) -> None:
        if len(self.actual) < WINDOW_RUNS:
            self._declared.append(declared)
            self.actual.append(actual)
        else:
            self._declared[self._next_index] = declared
            self.actual[self._next_index] = actual
        self._next_index = (self._next_index + 1) % WINDOW_RUNS
        self.median = _quantile(sorted(self.actual), 0.5)

    def estimate(self, declared: float) -> float:
        ratios = sorted(
            actual / declared_seconds
            for actual, declared_seconds in zip(self.actual, self._declared)
        )
        corrected = declared * _quantile(ratios, 0.5)
        return _clamp(corrected, sorted(self.actual))


def _quantile(ordered: typing.Sequence[float], fraction: float) -> float:
    """Return the quantile by the nearest-rank method."""
    rank = math.ceil(fraction * len(ordered))
    return ordered[max(0, rank - 1)]


def _clamp(seconds: float, ordered: typing.Sequence[float]) -> float:
    low = _quantile(ordered, LOW_QUANTILE)
    high = _quantile(ordered, HIGH_QUANTILE)
    return min(max(seconds, low), high)


def _within_limits(seconds: float) -> float:
    """Limit seconds to a usable range; NaN becomes the maximum."""
    if math.isnan(seconds):
        return MAX_RUN_TIME_SECONDS
    return min(max(seconds, MIN_RUN_TIME_SECONDS), MAX_RUN_TIME_SECONDS)


__all__ = (
    'HIGH_QUANTILE',
    'LOW_QUANTILE',
    'MAX_PAIRS',
    'MAX_RUN_TIME_SECONDS',
    'MIN_RUNS',
    'MIN_RUN_TIME_SECONDS',
    'MIN_TEAMS',
    'RunTimeEstimator',
    'WINDOW_RUNS',
)
