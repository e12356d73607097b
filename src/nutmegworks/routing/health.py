"""Ejects upstreams whose recent attempts failed (outlier ejection)."""
from __future__ import annotations

import collections
import dataclasses
import typing

from nutmegworks.adapters import upstreams
from nutmegworks.model import ids

WINDOW_SECONDS: typing.Final = 10.0
MAX_RESULTS: typing.Final = 64
MIN_FAILED_FRACTION: typing.Final = 0.5
# Failures of at least this many attempts must be attributable to the upstream,
# so that one broken connection does not eject it.
MIN_ATTRIBUTABLE_FAILURES: typing.Final = 2
# Failures of at least this many different requests, so that one request that
# fails on every upstream does not eject them. Each daemon observes failures on
# its own, so a higher value costs one more failed attempt per daemon and
# upstream.
MIN_FAILED_REQUESTS: typing.Final = 3
EJECTION_SECONDS: typing.Final = 5.0
MAX_EJECTION_SECONDS: typing.Final = 60.0
MAX_EJECTED_FRACTION: typing.Final = 0.5
PROBATION_SUCCESSES: typing.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt.

    :param ended_at: monotonic seconds.
    :param request_id: the caller's request, the same for all its attempts.
    :param attributable: whether a failure is attributable to the upstream: the
        upstream answered with it or the connection was new. A reused idle
        connection may have been closed for other reasons.
    """

    ended_at: float
    request_id: ids.RequestId
    failed: bool
    attributable: bool


@dataclasses.dataclass(slots=True)
class _UpstreamHealth:
    results: collections.deque[AttemptResult] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RESULTS)
    )
    ejected_until: float = float('-inf')
    ejected_at: float = float('-inf')
    ejections: int = 0
    # Successful attempts that remain until probation ends.
    probation_remaining: int = 0


def failed_result(
    error: upstreams.CallError,
    request_id: ids.RequestId,
    now: float,
) -> AttemptResult | None:
    """Return the result of a failed attempt.

    :return: None if the upstream was only full, which is not a failure.
    """
    if error.fault is upstreams.CallFault.REFUSED:
        return None
    answered = error.fault is upstreams.CallFault.FAILED
    return AttemptResult(now, request_id, True, answered or not error.reused)


class HealthTracker:
    """Decides from attempt results which upstreams are ejected."""

    def __init__(self) -> None:
        self._health_by_id: dict[ids.UpstreamId, _UpstreamHealth] = {}

    def observe(
        self,
        upstream_id: ids.UpstreamId,
        attempt_result: AttemptResult,
    ) -> None:
        """Record the result of an attempt."""
        state = self._health_by_id.setdefault(upstream_id, _UpstreamHealth())
        if state.ejected_until > attempt_result.ended_at:
            # An attempt that ends during an ejection started before it, so
            # its result adds no information.
            return
        state.results.append(attempt_result)
        if not attempt_result.failed:
            self._count_success(state)
        elif state.probation_remaining and attempt_result.attributable:
            self._eject(state, attempt_result.ended_at)
        elif _is_failing(state.results, attempt_result.ended_at):
            self._eject(state, attempt_result.ended_at)

    def _count_success(self, state: _UpstreamHealth) -> None:
        if state.probation_remaining:
            state.probation_remaining -= 1
            if not state.probation_remaining:
                state.ejections = 0

    def _eject(self, state: _UpstreamHealth, now: float) -> None:
        seconds = EJECTION_SECONDS * 2**min(state.ejections, 8)
        state.ejected_at = now
        state.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        state.ejections += 1
        state.probation_remaining = PROBATION_SUCCESSES
        state.results.clear()

    def ejected(
        self,
        pool: typing.Collection[ids.UpstreamId],
        now: float,
    ) -> frozenset[ids.UpstreamId]:
        """Return the ejected upstreams of a pool, at most half of the pool.

        If more fail, they likely share the cause, and a smaller pool would
        only overload the remaining upstreams. Those that were ejected first
        stay ejected.
        """
        failing = [
            upstream_id for upstream_id in pool
            if self._is_ejected(upstream_id, now)
        ]
        failing.sort(
            key=lambda item: (self._health_by_id[item].ejected_at, item)
        )
        return frozenset(failing[:int(len(pool) * MAX_EJECTED_FRACTION)])

    def _is_ejected(self, upstream_id: ids.UpstreamId, now: float) -> bool:
        state = self._health_by_id.get(upstream_id)
        return state is not None and now < state.ejected_until

    def is_on_probation(self, upstream_id: ids.UpstreamId) -> bool:
        """Return whether an upstream is limited to one attempt at a time."""
        state = self._health_by_id.get(upstream_id)
        return state is not None and state.probation_remaining > 0

    def retain(self, upstream_ids: typing.Collection[ids.UpstreamId]) -> None:
        """Drop the state of all other upstreams."""
        for upstream_id in list(self._health_by_id):
            if upstream_id not in upstream_ids:
                del self._health_by_id[upstream_id]


def _is_failing(
    results: typing.Iterable[AttemptResult],
    now: float,
) -> bool:
    recent = [
        item for item in results if now - item.ended_at <= WINDOW_SECONDS
    ]
    failures = [item for item in recent if item.failed]
    request_ids = {item.request_id for item in failures}
    attributable = sum(item.attributable for item in failures)
    return (
        len(failures) >= MIN_FAILED_FRACTION * len(recent)
        and attributable >= MIN_ATTRIBUTABLE_FAILURES
        and len(request_ids) >= MIN_FAILED_REQUESTS
    )


__all__ = (
    'EJECTION_SECONDS',
    'AttemptResult',
    'HealthTracker',
    'MAX_EJECTED_FRACTION',
    'MAX_EJECTION_SECONDS',
    'MIN_FAILED_REQUESTS',
    'PROBATION_SUCCESSES',
    'WINDOW_SECONDS',
    'failed_result',
)
