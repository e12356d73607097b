"""Finds workers whose tasks fail or stand still, by evidence across jobs."""
from __future__ import annotations

import dataclasses
import enum
import math
import typing

from nutmegworks.model import ids

# Failures of different jobs in a row, without a success between them, after
# which a worker gets no work. Single failures are common: some tasks fail by
# their own fault.
FAILURES_IN_A_ROW: typing.Final = 2
# How long a suspect gets no work, in seconds; doubled each time up to the
# maximum. Faults of workers last some seconds.
FIRST_PAUSE_SECONDS: typing.Final = 3.0
LONGEST_PAUSE_SECONDS: typing.Final = 12.0
# For this time after a failure a worker is used last by gangs, in seconds. One
# member's failure ends a gang, and a worker that fails everything is known for
# certain only after the failures of two jobs.
DOUBT_SECONDS: typing.Final = 5.0
# No more than this share of the workers is left out at a time: where so many
# fail, the jobs are to blame.
MAX_SUSPECT_SHARE: typing.Final = 0.4


class Trust(enum.Enum):
    TRUSTED = 'trusted'
    # May hold one run, whose end decides.
    PROBATION = 'probation'
    SUSPECT = 'suspect'


ACCEPTS_WORK: typing.Final = {
    Trust.TRUSTED: True,
    Trust.PROBATION: True,
    Trust.SUSPECT: False,
}


@dataclasses.dataclass(slots=True)
class _Evidence:
    failed_jobs: list[ids.JobId] = dataclasses.field(default_factory=list)
    failed_at: float = -math.inf
    until: float = 0.0
    pause: float = FIRST_PAUSE_SECONDS
    on_probation: bool = False


class Suspicion:
    """The evidence on each worker; times are steady seconds."""

    def __init__(self) -> None:
        self._evidence_by_id: dict[ids.WorkerId, _Evidence] = {}

    def _of(self, worker_id: ids.WorkerId) -> _Evidence:
        return self._evidence_by_id.setdefault(worker_id, _Evidence())

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Drop the evidence on a worker that left or started anew."""
        self._evidence_by_id.pop(worker_id, None)

    def succeeded(self, worker_id: ids.WorkerId) -> None:
        """Note a task that ended well."""
        self.forget(worker_id)

    def failed(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        now: float,
    ) -> bool:
        """Note a failed task; return whether the worker became a suspect."""
        evidence = self._of(worker_id)
        evidence.failed_at = now
        if job_id not in evidence.failed_jobs:
            evidence.failed_jobs.append(job_id)
        enough = len(evidence.failed_jobs) >= FAILURES_IN_A_ROW
        if enough or evidence.on_probation:
            self._pause(evidence, now)
            return True
        return False

    def is_doubted(self, worker_id: ids.WorkerId, now: float) -> bool:
        """Return whether a task failed there lately and none ended well."""
        evidence = self._evidence_by_id.get(worker_id)
        return (
            evidence is not None and now - evidence.failed_at < DOUBT_SECONDS
        )

    def stalled(self, worker_id: ids.WorkerId, now: float) -> None:
        """Note that the worker's tasks make no progress."""
        self._pause(self._of(worker_id), now)

    def _pause(self, evidence: _Evidence, now: float) -> None:
        evidence.until = now + evidence.pause
        evidence.pause = min(LONGEST_PAUSE_SECONDS, 2 * evidence.pause)
        evidence.on_probation = True
        evidence.failed_jobs.clear()

    def trust(self, worker_id: ids.WorkerId, now: float) -> Trust:
        """Return whether a worker gets work now."""
        evidence = self._evidence_by_id.get(worker_id)
        if evidence is None or not evidence.on_probation:
            return Trust.TRUSTED
        return Trust.SUSPECT if now < evidence.until else Trust.PROBATION

    def suspects(
        self,
        worker_ids: typing.Collection[ids.WorkerId],
        now: float,
    ) -> set[ids.WorkerId]:
        """Return workers to leave out, never too many of them."""
        found = [
            worker_id for worker_id in worker_ids
            if not ACCEPTS_WORK[self.trust(worker_id, now)]
        ]
        most = int(MAX_SUSPECT_SHARE * len(worker_ids))
        found.sort(
            key=lambda worker_id: self._evidence_by_id[worker_id].until,
            reverse=True,
        )
        return set(found[:most])


__all__ = ('Suspicion', 'Trust')
