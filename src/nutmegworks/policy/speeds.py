"""Learns how fast workers are by comparing tasks of the same step."""
from __future__ import annotations

import dataclasses
import math
import statistics
import typing

from nutmegworks.model import ids

# Tasks of a step that are compared; fewer say little.
MIN_TASKS: typing.Final = 4
# Comparisons that count as much as the assumption that a worker is usual.
PRIOR_COMPARISONS: typing.Final = 1.0
# Old comparisons lose weight, so that a worker that recovers is seen to.
MAX_WEIGHT: typing.Final = 8.0
# One comparison says at most that a worker takes this many times as long.
MAX_RATIO: typing.Final = 4.0
# Slower than this, against the usual worker, a worker counts as slow. Tasks
# of a step differ by up to 30% on workers of one kind.
SLOW_FACTOR: typing.Final = 1.09


@dataclasses.dataclass(slots=True)
class _Estimate:
    """:param logarithm: of the worker's time over the usual time."""

    logarithm: float = 0.0
    weight: float = PRIOR_COMPARISONS


class Speeds:
    """Relative times of workers; 1 is the usual worker's.

    >>> speeds = Speeds()
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
        """Take the durations of a finished step's tasks by worker."""
        logs = [
            (worker_id, math.log(max(0.01, seconds)))
            for worker_id, each in seconds_by_id.items()
            for seconds in each
        ]
        if len(logs) < MIN_TASKS:
            return
        usual = statistics.median(
            log - self._logarithm(worker_id) for worker_id, log in logs
        )
        bound = math.log(MAX_RATIO)
        for worker_id, log in logs:
            known = self._estimate_by_id.setdefault(worker_id, _Estimate())
            shown = max(-bound, min(bound, log - usual))
            known.weight = min(MAX_WEIGHT, known.weight + 1)
            known.logarithm += (shown - known.logarithm) / known.weight

    def _logarithm(self, worker_id: ids.WorkerId) -> float:
        known = self._estimate_by_id.get(worker_id)
        return 0.0 if known is None else known.logarithm

    def factor(self, worker_id: ids.WorkerId) -> float:
        """Return the worker's time over the usual time."""
        return math.exp(self._logarithm(worker_id))

    def is_slow(self, worker_id: ids.WorkerId) -> bool:
        """Return whether urgent work should avoid the worker."""
        return self.factor(worker_id) > SLOW_FACTOR

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Drop what is known of a worker that started anew."""
        self._estimate_by_id.pop(worker_id, None)


__all__ = ('SLOW_FACTOR', 'Speeds')
