"""Estimates run times from what was observed, by team and class."""
from __future__ import annotations

import array
import collections
import math
import typing

import sortedcontainers

from nutmegworks.model import ids

# An HDR histogram (hdrh) with one significant digit takes 3.7 kB, thus 41 MB
# for 1,100 teams and 10 classes; a daemon may use 32 MB. A window of 16 runs
# also forgets old behaviour.
WINDOW_RUNS: typing.Final = 16
# 1,100 teams and 10 classes.
MAX_PAIRS: typing.Final = 11_000
# A quartile of fewer runs says little.
MIN_RUNS: typing.Final = 4
# With fewer teams, one team could decide what is usual for a class.
MIN_TEAMS: typing.Final = 3
LOW_QUANTILE: typing.Final = 0.25
HIGH_QUANTILE: typing.Final = 0.9
MIN_SECONDS: typing.Final = 0.001
MAX_SECONDS: typing.Final = 30 * 86_400.0

_Pair = tuple[ids.TeamId, ids.ClassId]


class RunTimeEstimator:
    """Corrects declared run times by observed ones.

    With data of the team in the class, the declaration is multiplied by the
    team's median ratio of actual to declared seconds, and is bounded by low
    and high quantiles of its own run times. Without, it is bounded by
    quantiles over the medians of other teams, in which each team has one
    vote. Without any data, the declaration holds.

    The memory is bounded by ``max_pairs`` windows, about 0.7 kB each; the
    pair observed least recently is dropped.

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
        declared = _bounded(declared_seconds)
        if self.has_data(team_id, class_id):
            return self._window_by_pair[team_id, class_id].estimate(declared)
        medians = self._medians_by_class.get(class_id, ())
        if len(medians) < MIN_TEAMS:
            return declared
        return _clamp(declared, medians)

    def has_data(self, team_id: ids.TeamId, class_id: ids.ClassId) -> bool:
        """Return whether the team's own runs decide its estimates."""
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
        self._withdraw_vote(class_id, window)
        window.add(_bounded(declared_seconds), _bounded(actual_seconds))
        self._medians_by_class.setdefault(
            class_id,
            sortedcontainers.SortedList(),
        ).add(window.median)
        if len(self._window_by_pair) > self._max_pairs:
            dropped, old = self._window_by_pair.popitem(last=False)
            self._withdraw_vote(dropped[1], old)

    def _withdraw_vote(self, class_id: ids.ClassId, window: _Window) -> None:
        if not window.actual:
            return
        medians = self._medians_by_class[class_id]
        medians.remove(window.median)
        if not medians:
            del self._medians_by_class[class_id]


class _Window:
    """The last runs of one team in one class."""

    __slots__ = ('actual', 'median', '_declared', '_next')

    def __init__(self) -> None:
        self.actual = array.array('f')
        self.median = 0.0
        self._declared = array.array('f')
        self._next = 0

    def add(self, declared: float, actual: float) -> None:
        if len(self.actual) < WINDOW_RUNS:
            self._declared.append(declared)
            self.actual.append(actual)
        else:
            self._declared[self._next] = declared
            self.actual[self._next] = actual
        self._next = (self._next + 1) % WINDOW_RUNS
        self.median = _quantile(sorted(self.actual), 0.5)

    def estimate(self, declared: float) -> float:
        ratios = sorted(
            actual / said for actual, said in zip(self.actual, self._declared)
        )
        corrected = declared * _quantile(ratios, 0.5)
        return _clamp(corrected, sorted(self.actual))


def _quantile(ordered: typing.Sequence[float], fraction: float) -> float:
    """Return the value of the nearest rank."""
    rank = math.ceil(fraction * len(ordered))
    return ordered[max(0, rank - 1)]


def _clamp(seconds: float, ordered: typing.Sequence[float]) -> float:
    low = _quantile(ordered, LOW_QUANTILE)
    high = _quantile(ordered, HIGH_QUANTILE)
    return min(max(seconds, low), high)


def _bounded(seconds: float) -> float:
    """Return usable seconds even for an absurd declaration."""
    if math.isnan(seconds):
        return MAX_SECONDS
    return min(max(seconds, MIN_SECONDS), MAX_SECONDS)


__all__ = (
    'HIGH_QUANTILE',
    'LOW_QUANTILE',
    'MAX_PAIRS',
    'MAX_SECONDS',
    'MIN_RUNS',
    'MIN_SECONDS',
    'MIN_TEAMS',
    'RunTimeEstimator',
    'WINDOW_RUNS',
)
