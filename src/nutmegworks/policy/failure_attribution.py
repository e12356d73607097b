"""Attributes failures of tasks to the worker or to the job.

Used by ``quarantine`` in nutmegd. The platform daemon's counterpart is
``worker_health``.
"""
from __future__ import annotations

import collections
import typing

from nutmegworks.model import ids

# Limits of the memory: jobs with failures, and failures kept for each worker.
MAX_JOBS: typing.Final = 4096
MAX_FAILURES_PER_WORKER: typing.Final = 16
# Unconfirmed failures of one team that count against a worker. A team that
# submits many broken jobs must not cause a quarantine alone.
MAX_UNCONFIRMED_PER_TEAM: typing.Final = 2
# Limits of a team's job fault score. They are narrow so that a few jobs change
# its sign after a long series of good or broken jobs.
MIN_JOB_FAULT_SCORE: typing.Final = -1
MAX_JOB_FAULT_SCORE: typing.Final = 4

IsHealthy = typing.Callable[[ids.WorkerId], bool]


class FailureAttribution:
    """Records which jobs failed on each worker since its last success.

    A failure is confirmed when the job succeeded on another worker. It is
    unconfirmed when the job failed on no other healthy worker. It does not
    count against the worker when the job failed on another healthy worker and
    succeeded nowhere, since then the job is more likely at fault.

    The job fault score of a team rises by one with each job that failed on two
    healthy workers and falls by one with each job that succeeded after a
    failure. While it is positive, the team's unconfirmed failures do not
    count. Otherwise several teams with broken releases at the same time would
    cause healthy workers to be quarantined.

    The memory is limited: the job whose failure was recorded least recently is
    dropped, and its failures no longer count.
    """

    def __init__(self) -> None:
        self._job_by_id: collections.OrderedDict[
            ids.JobId, _Job] = collections.OrderedDict()
        self._job_fault_score_by_team: dict[ids.TeamId, int] = {}
        self._failures_by_worker: dict[ids.WorkerId, collections.OrderedDict[
            ids.JobId, ids.TeamId]] = {}

    def record_failure(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        team_id: ids.TeamId,
        is_healthy: IsHealthy,
    ) -> None:
        job = self._job_by_id.setdefault(job_id, _Job(team_id))
        self._job_by_id.move_to_end(job_id)
        job.failed_on[worker_id] = None
        _limit_size(job.failed_on, MAX_FAILURES_PER_WORKER)
        if not job.is_at_fault and sum(map(is_healthy, job.failed_on)) > 1:
            job.is_at_fault = True
            self._adjust_job_fault_score(team_id, 1)
        failures = self._failures_by_worker.setdefault(
            worker_id,
            collections.OrderedDict(),
        )
        failures[job_id] = team_id
        _limit_size(failures, MAX_FAILURES_PER_WORKER)
        _limit_size(self._job_by_id, MAX_JOBS)

    def record_success(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
    ) -> tuple[ids.WorkerId, ...]:
        """Record a success and drop the worker's failures.

        :return: workers whose failure of this job is confirmed by it.
        """
        self.clear(worker_id)
        job = self._job_by_id.get(job_id)
        if job is None:
            return ()
        if not job.has_succeeded:
            job.has_succeeded = True
            self._adjust_job_fault_score(job.team_id, -1)
        return tuple(job.failed_on)

    def clear(self, worker_id: ids.WorkerId) -> None:
        """Drop the failures of a worker."""
        for job_id in self._failures_by_worker.pop(worker_id, ()):
            job = self._job_by_id.get(job_id)
            if job is not None:
                job.failed_on.pop(worker_id, None)

    def count_failed_jobs(
        self,
        worker_id: ids.WorkerId,
        is_healthy: IsHealthy,
    ) -> int:
        """Return the number of jobs whose failure counts against a worker."""
        confirmed = 0
        unconfirmed_by_team: collections.Counter = collections.Counter()
        failures = self._failures_by_worker.get(worker_id)
        for job_id, team_id in failures.items() if failures else ():
            job = self._job_by_id.get(job_id)
            if job is None:
                continue
            if job.has_succeeded:
                confirmed += 1
            elif job.failed_elsewhere(worker_id, is_healthy):
                continue
            elif self._job_fault_score_by_team.get(team_id, 0) <= 0:
                unconfirmed_by_team[team_id] += 1
        return confirmed + sum(
            min(failed_jobs, MAX_UNCONFIRMED_PER_TEAM)
            for failed_jobs in unconfirmed_by_team.values()
        )

    def _adjust_job_fault_score(
        self,
        team_id: ids.TeamId,
        change: int,
    ) -> None:
        score = self._job_fault_score_by_team.get(team_id, 0) + change
        self._job_fault_score_by_team[team_id] = min(
            max(score, MIN_JOB_FAULT_SCORE),
            MAX_JOB_FAULT_SCORE,
        )


class _Job:
    """Where a job failed, in order, and whether it succeeded anywhere.

    :ivar is_at_fault: whether it failed on two healthy workers and so has
        raised its team's job fault score.
    """

    __slots__ = ('failed_on', 'has_succeeded', 'is_at_fault', 'team_id')

    def __init__(self, team_id: ids.TeamId) -> None:
        self.team_id = team_id
        self.is_at_fault = False
        self.failed_on: collections.OrderedDict[
            ids.WorkerId, None] = collections.OrderedDict()
        self.has_succeeded = False

    def failed_elsewhere(
        self,
        worker_id: ids.WorkerId,
        is_healthy: IsHealthy,
    ) -> bool:
        return any(
            other != worker_id and is_healthy(other)
            for other in self.failed_on
        )


def _limit_size(items: collections.OrderedDict, limit: int) -> None:
    if len(items) > limit:
        items.popitem(last=False)


__all__ = (
    'FailureAttribution',
    'IsHealthy',
    'MAX_FAILURES_PER_WORKER',
    'MAX_JOBS',
    'MAX_JOB_FAULT_SCORE',
    'MAX_UNCONFIRMED_PER_TEAM',
    'MIN_JOB_FAULT_SCORE',
)
