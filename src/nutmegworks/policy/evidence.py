"""Weighs failures of jobs on workers: the worker's fault or the job's?"""
from __future__ import annotations

import collections
import typing

from nutmegworks.model import ids

MAX_JOBS: typing.Final = 4096
MAX_FAILURES_PER_WORKER: typing.Final = 16
# A team that submits many broken jobs must not convict a worker alone.
MAX_UNCONFIRMED_PER_TEAM: typing.Final = 2
# Bounds of a team's doubt, so that one good or bad day is soon outweighed.
LEAST_DOUBT: typing.Final = -1
MOST_DOUBT: typing.Final = 4

IsTrusted = typing.Callable[[ids.WorkerId], bool]


class Evidence:
    """Remembers which jobs failed where since each worker's last success.

    A failure is confirmed when the job succeeded on another worker. It is
    unconfirmed when the job failed on no other trusted worker. It does not
    count when the job failed on another trusted worker and succeeded nowhere,
    since then the job is more likely at fault.

    The doubt of a team rises with each job that failed on two trusted workers
    and falls with each that succeeded after a failure. While it is positive,
    the team's unconfirmed failures do not count: several teams with broken
    releases at once would otherwise convict healthy workers.

    The memory is bounded: the job heard of least recently is dropped, and its
    failures count no longer.
    """

    def __init__(self) -> None:
        self._job_by_id: collections.OrderedDict[
            ids.JobId, _Job] = collections.OrderedDict()
        self._doubt_by_team: dict[ids.TeamId, int] = {}
        self._failures_by_worker: dict[ids.WorkerId, collections.OrderedDict[
            ids.JobId, ids.TeamId]] = {}

    def add_failure(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        team_id: ids.TeamId,
        is_trusted: IsTrusted,
    ) -> None:
        job = self._job_by_id.setdefault(job_id, _Job(team_id))
        self._job_by_id.move_to_end(job_id)
        job.failed_on[worker_id] = None
        _trim(job.failed_on, MAX_FAILURES_PER_WORKER)
        if not job.is_doubted and sum(map(is_trusted, job.failed_on)) > 1:
            job.is_doubted = True
            self._change_doubt(team_id, 1)
        failures = self._failures_by_worker.setdefault(
            worker_id,
            collections.OrderedDict(),
        )
        failures[job_id] = team_id
        _trim(failures, MAX_FAILURES_PER_WORKER)
        _trim(self._job_by_id, MAX_JOBS)

    def add_success(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
    ) -> tuple[ids.WorkerId, ...]:
        """Record a success.

        :return: workers against which it confirms a failure.
        """
        self.clear(worker_id)
        job = self._job_by_id.get(job_id)
        if job is None:
            return ()
        if not job.has_succeeded:
            job.has_succeeded = True
            self._change_doubt(job.team_id, -1)
        return tuple(job.failed_on)

    def clear(self, worker_id: ids.WorkerId) -> None:
        """Drop the failures of a worker."""
        for job_id in self._failures_by_worker.pop(worker_id, ()):
            job = self._job_by_id.get(job_id)
            if job is not None:
                job.failed_on.pop(worker_id, None)

    def count(self, worker_id: ids.WorkerId, is_trusted: IsTrusted) -> int:
        """Return the number of jobs whose failure speaks against a worker."""
        confirmed = 0
        unconfirmed_by_team: collections.Counter = collections.Counter()
        failures = self._failures_by_worker.get(worker_id)
        for job_id, team_id in failures.items() if failures else ():
            job = self._job_by_id.get(job_id)
            if job is None:
                continue
            if job.has_succeeded:
                confirmed += 1
            elif job.failed_elsewhere(worker_id, is_trusted):
                continue
            elif self._doubt_by_team.get(team_id, 0) <= 0:
                unconfirmed_by_team[team_id] += 1
        return confirmed + sum(
            min(number, MAX_UNCONFIRMED_PER_TEAM)
            for number in unconfirmed_by_team.values()
        )

    def _change_doubt(self, team_id: ids.TeamId, change: int) -> None:
        doubt = self._doubt_by_team.get(team_id, 0) + change
        self._doubt_by_team[team_id] = min(
            max(doubt, LEAST_DOUBT),
            MOST_DOUBT,
        )


class _Job:
    """Where a job failed, in order, and whether it succeeded anywhere."""

    __slots__ = ('failed_on', 'has_succeeded', 'is_doubted', 'team_id')

    def __init__(self, team_id: ids.TeamId) -> None:
        self.team_id = team_id
        self.is_doubted = False
        self.failed_on: collections.OrderedDict[
            ids.WorkerId, None] = collections.OrderedDict()
        self.has_succeeded = False

    def failed_elsewhere(
        self,
        worker_id: ids.WorkerId,
        is_trusted: IsTrusted,
    ) -> bool:
        return any(
            other != worker_id and is_trusted(other)
            for other in self.failed_on
        )


def _trim(items: collections.OrderedDict, limit: int) -> None:
    if len(items) > limit:
        items.popitem(last=False)


__all__ = (
    'Evidence',
    'IsTrusted',
    'LEAST_DOUBT',
    'MAX_FAILURES_PER_WORKER',
    'MAX_JOBS',
    'MAX_UNCONFIRMED_PER_TEAM',
    'MOST_DOUBT',
)
