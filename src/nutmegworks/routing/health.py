"""Ejects upstreams that fail, on evidence from several connections."""
from __future__ import annotations

import collections
import dataclasses
import typing

from nutmegworks.adapters import upstreams
from nutmegworks.model import ids

WINDOW_SECONDS: typing.Final = 10.0
MAX_EVIDENCE: typing.Final = 64
MIN_FAILED_PART: typing.Final = 0.5
# One dead connection, or one request that fails everywhere, is no evidence.
MIN_DIRECT_FAILURES: typing.Final = 2
# Each daemon learns alone, so one more would cost another failed attempt for
# each daemon and upstream.
MIN_FAILED_REQUESTS: typing.Final = 3
EJECTION_SECONDS: typing.Final = 5.0
MAX_EJECTION_SECONDS: typing.Final = 60.0
MAX_EJECTED_PART: typing.Final = 0.5
PROBATION_SUCCESSES: typing.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """The end of one attempt.

    :param request_id: the caller's request, not the attempt.
    :param direct: whether a failure tells of the upstream: it came over a new
        connection, or the upstream answered with it. A connection that was
        idle may have died on its own.
    """

    at: float
    request_id: ids.RequestId
    failed: bool
    direct: bool


@dataclasses.dataclass(slots=True)
class _Record:
    evidence: collections.deque[Evidence] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_EVIDENCE)
    )
    ejected_until: float = float('-inf')
    ejected_at: float = float('-inf')
    ejections: int = 0
    # Successes that are still needed before an upstream is fully trusted.
    probation: int = 0


def failed_evidence(
    error: upstreams.CallError,
    request_id: ids.RequestId,
    now: float,
) -> Evidence | None:
    """Return the evidence in an error; None if the upstream was just full."""
    if error.fault is upstreams.CallFault.REFUSED:
        return None
    answered = error.fault is upstreams.CallFault.FAILED
    return Evidence(now, request_id, True, answered or not error.reused)


class Health:
    """Decides which upstreams are ejected."""

    def __init__(self) -> None:
        self._record_by_id: dict[ids.UpstreamId, _Record] = {}

    def observe(self, upstream_id: ids.UpstreamId, evidence: Evidence) -> None:
        """Take the end of an attempt into account."""
        record = self._record_by_id.setdefault(upstream_id, _Record())
        if record.ejected_until > evidence.at:
            # Attempts that began before the ejection say nothing new.
            return
        record.evidence.append(evidence)
        if not evidence.failed:
            self._succeeded(record)
        elif record.probation and evidence.direct:
            self._eject(record, evidence.at)
        elif _is_failing(record.evidence, evidence.at):
            self._eject(record, evidence.at)

    def _succeeded(self, record: _Record) -> None:
        if record.probation:
            record.probation -= 1
            if not record.probation:
                record.ejections = 0

    def _eject(self, record: _Record, now: float) -> None:
        seconds = EJECTION_SECONDS * 2**min(record.ejections, 8)
        record.ejected_at = now
        record.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        record.ejections += 1
        record.probation = PROBATION_SUCCESSES
        record.evidence.clear()

    def ejected(
        self,
        pool: typing.Collection[ids.UpstreamId],
        now: float,
    ) -> frozenset[ids.UpstreamId]:
        """Return the ejected members of a pool, at most half of it.

        If more fail, the cause is likely shared, and a smaller pool would
        only overload the rest. The first that were ejected stay so.
        """
        failing = [
            upstream_id for upstream_id in pool
            if self._is_ejected(upstream_id, now)
        ]
        failing.sort(
            key=lambda item: (self._record_by_id[item].ejected_at, item)
        )
        return frozenset(failing[:int(len(pool) * MAX_EJECTED_PART)])

    def _is_ejected(self, upstream_id: ids.UpstreamId, now: float) -> bool:
        record = self._record_by_id.get(upstream_id)
        return record is not None and now < record.ejected_until

    def is_on_probation(self, upstream_id: ids.UpstreamId) -> bool:
        """Return whether an upstream may have one attempt at a time."""
        record = self._record_by_id.get(upstream_id)
        return record is not None and record.probation > 0

    def keep(self, upstream_ids: typing.Collection[ids.UpstreamId]) -> None:
        """Forget all others."""
        for upstream_id in list(self._record_by_id):
            if upstream_id not in upstream_ids:
                del self._record_by_id[upstream_id]


def _is_failing(
    evidence: typing.Iterable[Evidence],
    now: float,
) -> bool:
    recent = [item for item in evidence if now - item.at <= WINDOW_SECONDS]
    failures = [item for item in recent if item.failed]
    requests = {item.request_id for item in failures}
    direct = sum(item.direct for item in failures)
    return (
        len(failures) >= MIN_FAILED_PART * len(recent)
        and direct >= MIN_DIRECT_FAILURES
        and len(requests) >= MIN_FAILED_REQUESTS
    )


__all__ = (
    'EJECTION_SECONDS',
    'Evidence',
    'Health',
    'MAX_EJECTED_PART',
    'MAX_EJECTION_SECONDS',
    'MIN_FAILED_REQUESTS',
    'PROBATION_SUCCESSES',
    'WINDOW_SECONDS',
    'failed_evidence',
)
