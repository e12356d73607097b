"""Detects workers on which tasks of several jobs fail or make no progress.

Used by the platform daemon (nutmegworks.daemon.fleet). Its counterparts in
nutmegd are quarantine and failure_attribution.
"""
from __future__ import annotations

import dataclasses
import enum
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import task_placement
from nutmegworks.policy import worker_exclusion

# Different jobs that must fail on a worker, without a success in between,
# before it gets no work. Single failures are common: some tasks fail through
# their own fault.
SUSPECT_FAILED_JOBS: typing.Final = 2
# How long a suspect gets no work, in seconds; doubled each time up to the
# maximum. Faults of workers last some seconds.
FIRST_SUSPENSION_SECONDS: typing.Final = 3.0
MAX_SUSPENSION_SECONDS: typing.Final = 12.0
# A run that was started on probation and works for this time, in seconds, ends
# the probation. Longer than it takes to notice that a run has stalled.
PROBATION_RUN_SECONDS: typing.Final = 4.0
# For this time after a failure a worker is used last by gangs, in seconds. One
# member's failure ends a gang, and a worker that fails everything is certain
# to be faulty only after the failures of two jobs.
RECENT_FAILURE_SECONDS: typing.Final = 5.0
# At most this share of the workers is excluded at a time: where so many fail,
# the jobs are the cause.
MAX_SUSPECT_SHARE: typing.Final = 0.4
# Other workers on which a task has failed, from which on its failures count as
# its own fault.
MAX_BLAMED_WORKERS: typing.Final = 2


class Health(enum.Enum):
    """Whether a worker gets work.

    HEALTHY: gets work; its value is an outward name and stays 'trusted'. It
        is left by failures or a stall.
    PROBATION: gets one run at a time beside those that it had before; the
        run decides. It is left by a success, a run that stays, a failure or a
        stall.
    SUSPECT: gets no work that another worker can take. It is left by time
        or a success.
    """

    HEALTHY = 'trusted'
    PROBATION = 'probation'
    SUSPECT = 'suspect'


@dataclasses.dataclass(slots=True)
class _FailureHistory:
    """Failures on a worker since its last success.

    :param failed_jobs: jobs that failed since the latest suspension.
    :param failed_at: time of the latest failure.
    :param suspended_at: start of the latest suspension.
    :param suspended_until: end of the latest suspension.
    :param next_suspension: seconds of the next suspension.
    :param on_probation: whether the worker was suspended; a success discards
        the whole history, a run that stays only this.
    """

    failed_jobs: list[ids.JobId] = dataclasses.field(default_factory=list)
    failed_at: float = -math.inf
    suspended_at: float = -math.inf
    suspended_until: float = 0.0
    next_suspension: float = FIRST_SUSPENSION_SECONDS
    on_probation: bool = False


class WorkerHealth:
    """Health of each worker by its failures.

    Times are seconds on a monotonic clock.
    """

    def __init__(self) -> None:
        self._history_by_id: dict[ids.WorkerId, _FailureHistory] = {}

    def _history(self, worker_id: ids.WorkerId) -> _FailureHistory:
        return self._history_by_id.setdefault(worker_id, _FailureHistory())

    def reset(self, worker_id: ids.WorkerId) -> None:
        """Discard the failures of a worker that has left or restarted."""
        self._history_by_id.pop(worker_id, None)

    def record_success(self, worker_id: ids.WorkerId) -> None:
        """Record a task that succeeded; the worker is healthy again."""
        self.reset(worker_id)

    def record_failure(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        now: float,
        ordered_at: float = math.inf,
    ) -> bool:
        """Record a failed task; return whether the worker became a suspect.

        :param ordered_at: when the run was ordered. Runs from before a
            suspension say nothing new, as several may fail of one cause.
        """
        history = self._history(worker_id)
        history.failed_at = now
        if ordered_at < history.suspended_at:
            return False
        if job_id not in history.failed_jobs:
            history.failed_jobs.append(job_id)
        reached = len(history.failed_jobs) >= SUSPECT_FAILED_JOBS
        if reached or history.on_probation:
            self._suspend(history, now)
            return True
        return False

    def failed_recently(self, worker_id: ids.WorkerId, now: float) -> bool:
        """Return whether a recent failure was followed by no success."""
        history = self._history_by_id.get(worker_id)
        return (
            history is not None
            and now - history.failed_at < RECENT_FAILURE_SECONDS
        )

    def record_stall(self, worker_id: ids.WorkerId, now: float) -> None:
        """Record that the worker's tasks make no progress."""
        self._suspend(self._history(worker_id), now)

    def _suspend(self, history: _FailureHistory, now: float) -> None:
        history.suspended_at = now
        history.suspended_until = now + history.next_suspension
        history.next_suspension = min(
            MAX_SUSPENSION_SECONDS, 2 * history.next_suspension
        )
        history.on_probation = True
        history.failed_jobs.clear()

    def status(self, worker_id: ids.WorkerId, now: float) -> Health:
        """Return a worker's health, which decides whether it gets work."""
        history = self._history_by_id.get(worker_id)
        if history is None or not history.on_probation:
            return Health.HEALTHY
        return (
            Health.SUSPECT
            if now < history.suspended_until else Health.PROBATION
        )

    def any_suspended(self) -> bool:
        """Return whether any worker may be a suspect or on probation."""
        return any(
            history.on_probation for history in self._history_by_id.values()
        )

    def access(
        self,
        worker_id: ids.WorkerId,
        ordered_at: typing.Iterable[float],
        now: float,
    ) -> task_placement.Access:
        """Return which demands get the worker's room.

        :param ordered_at: when the worker's present runs were ordered.
        """
        status = self.status(worker_id, now)
        if status is Health.HEALTHY:
            return task_placement.Access.OPEN
        history = self._history_by_id[worker_id]
        # Runs that were there before may last for ever and prove nothing.
        suspect = status is Health.SUSPECT
        began = history.suspended_at if suspect else history.suspended_until
        if any(ordered >= began for ordered in ordered_at):
            return task_placement.Access.CLOSED
        if not suspect:
            return task_placement.Access.PROBE
        failed_at = max(history.failed_at, history.suspended_at)
        if now - failed_at < worker_exclusion.RETRY_SECONDS:
            return task_placement.Access.CLOSED
        return task_placement.Access.LAST_RESORT

    def record_running(
        self,
        worker_id: ids.WorkerId,
        started_at: typing.Iterable[float],
        now: float,
    ) -> None:
        """End a probation if a run that was started on it has stayed.

        :param started_at: when the runs that are at work on the worker were
            first reported.
        """
        if self.status(worker_id, now) is not Health.PROBATION:
            return
        history = self._history_by_id[worker_id]
        if any(started >= history.suspended_until and now -
               started >= PROBATION_RUN_SECONDS for started in started_at):
            history.on_probation = False

    def suspects(
        self,
        worker_ids: typing.Collection[ids.WorkerId],
        now: float,
    ) -> set[ids.WorkerId]:
        """Return the workers to exclude, at most MAX_SUSPECT_SHARE of all.

        If there are more suspects, those whose suspension ends last are
        returned.
        """
        suspect_ids = [
            worker_id for worker_id in worker_ids
            if self.status(worker_id, now) is Health.SUSPECT
        ]
        limit = int(MAX_SUSPECT_SHARE * len(worker_ids))
        suspect_ids.sort(
            key=lambda worker_id:
            (self._history_by_id[worker_id].suspended_until),
            reverse=True,
        )
        return set(suspect_ids[:limit])


def is_own_fault(other_workers: int) -> bool:
    """Return whether a task's failure says nothing of its worker.

    :param other_workers: number of other workers on which it has failed.
    """
    return other_workers >= MAX_BLAMED_WORKERS


__all__ = ('Health', 'WorkerHealth', 'is_own_fault')
