"""Quarantines workers that fail every task; limits the attempts of a job.

Used by nutmegd. The platform daemon's counterpart is ``worker_health``.
"""
from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.policy import failure_attribution

# Failed jobs, without a success in between, after which a healthy worker is
# quarantined or a worker on probation returns to quarantine.
FAILED_JOBS_TO_QUARANTINE: typing.Final = 3
FAILED_JOBS_ON_PROBATION: typing.Final = 2
# Succeeded jobs after which a worker on probation is healthy.
SUCCEEDED_JOBS_TO_RELEASE: typing.Final = 2
# The first quarantine of a worker; each further one lasts twice as long, up to
# the maximum.
FIRST_QUARANTINE_SECONDS: typing.Final = 300.0
MAX_QUARANTINE_SECONDS: typing.Final = 6 * 3600.0
# A worker that was released longer ago than this starts again with
# FIRST_QUARANTINE_SECONDS.
QUARANTINE_HISTORY_SECONDS: typing.Final = 86_400.0
# Largest share of the workers that is in quarantine or on probation at a time:
# a rack of 6 of the 24 workers of the deployment Dong Ho may fail as a whole.
MAX_POOL_SHARE: typing.Final = 0.25


class WorkerState(enum.Enum):
    """Whether a worker may get tasks.

    PROBATION: gets tasks, but fewer failed jobs quarantine it again.
    """

    HEALTHY = 'healthy'
    PROBATION = 'probation'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """A change of a worker's state.

    :param reason: explanation for a person.
    """

    worker_id: ids.WorkerId
    state: WorkerState
    reason: str


class Quarantine:
    """Decides from the failures of different jobs which workers get no tasks.

    The caller reports the outcome of each task. Of a failed gang it reports
    only the worker that failed, not the members that were stopped because of
    it. At most ``MAX_POOL_SHARE`` of the pool is in quarantine or on
    probation; further suspects wait until another worker is released.

    :param pool_size: the number of workers.
    """

    def __init__(self, pool_size: int) -> None:
        self._pool_size = pool_size
        self._failures = failure_attribution.FailureAttribution()
        self._restriction_by_id: dict[ids.WorkerId, _Restriction] = {}
        self._history_by_id: dict[ids.WorkerId, _QuarantineHistory] = {}
        # Suspects beyond the limit of restricted workers, oldest first.
        self._waiting_suspects: collections.OrderedDict[
            ids.WorkerId, None] = collections.OrderedDict()

    def state(self, worker_id: ids.WorkerId) -> WorkerState:
        restriction = self._restriction_by_id.get(worker_id)
        return restriction.state if restriction else WorkerState.HEALTHY

    def record_failure(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        team_id: ids.TeamId,
        now: float,
    ) -> list[Transition]:
        """Record that a task failed because of the worker or the job."""
        self._failures.record_failure(
            worker_id,
            job_id,
            team_id,
            self._is_healthy,
        )
        return self._evaluate(worker_id, now)

    def record_success(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        now: float,
    ) -> list[Transition]:
        """Record a success, which confirms the job's earlier failures."""
        confirmed = self._failures.record_success(worker_id, job_id)
        self._waiting_suspects.pop(worker_id, None)
        transitions = self._record_restricted_success(worker_id, job_id, now)
        for other in confirmed:
            transitions += self._evaluate(other, now)
        return transitions

    def tick(self, now: float) -> list[Transition]:
        """Start due probations and quarantine waiting suspects."""
        transitions = []
        for worker_id, restriction in list(self._restriction_by_id.items()):
            if restriction.is_probation_due(now):
                transitions.append(self._start_probation(worker_id, 'time'))
        for worker_id in list(self._waiting_suspects):
            transitions += self._evaluate(worker_id, now)
        return transitions

    def resize(self, pool_size: int, now: float) -> list[Transition]:
        """Set the number of workers; a smaller pool may release some."""
        self._pool_size = pool_size
        excess = len(self._restriction_by_id) - self._max_restricted
        oldest = list(self._restriction_by_id)[:max(0, excess)]
        return [
            self._release(worker_id, now, 'the pool has shrunk')
            for worker_id in oldest
        ]

    def remove_worker(self, worker_id: ids.WorkerId) -> None:
        """Remove all records of a worker that left or was replaced."""
        self._failures.clear(worker_id)
        self._restriction_by_id.pop(worker_id, None)
        self._history_by_id.pop(worker_id, None)
        self._waiting_suspects.pop(worker_id, None)

    @property
    def _max_restricted(self) -> int:
        return int(self._pool_size * MAX_POOL_SHARE)

    def _is_healthy(self, worker_id: ids.WorkerId) -> bool:
        return worker_id not in self._restriction_by_id

    def _evaluate(
        self,
        worker_id: ids.WorkerId,
        now: float,
    ) -> list[Transition]:
        restriction = self._restriction_by_id.get(worker_id)
        failed_jobs_needed = FAILED_JOBS_TO_QUARANTINE
        if restriction:
            failed_jobs_needed = FAILED_JOBS_ON_PROBATION
            if restriction.state is WorkerState.QUARANTINED:
                return []
        count = self._failures.count_failed_jobs(worker_id, self._is_healthy)
        self._waiting_suspects.pop(worker_id, None)
        if count < failed_jobs_needed:
            return []
        if (not restriction
                and len(self._restriction_by_id) >= self._max_restricted):
            self._waiting_suspects[worker_id] = None
            return []
        return [self._restrict(worker_id, now, count)]

    def _restrict(
        self,
        worker_id: ids.WorkerId,
        now: float,
        count: int,
    ) -> Transition:
        history = self._history_by_id.setdefault(
            worker_id,
            _QuarantineHistory(),
        )
        seconds = history.start_quarantine(now)
        self._restriction_by_id[worker_id] = _Restriction(now + seconds)
        self._failures.clear(worker_id)
        return Transition(
            worker_id,
            WorkerState.QUARANTINED,
            f'{count} jobs failed in a row; for {seconds:.0f} s',
        )

    def _record_restricted_success(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        now: float,
    ) -> list[Transition]:
        restriction = self._restriction_by_id.get(worker_id)
        if restriction is None:
            return []
        transitions = []
        if restriction.state is WorkerState.QUARANTINED:
            transitions.append(self._start_probation(worker_id, 'a success'))
        restriction.succeeded_jobs.add(job_id)
        if len(restriction.succeeded_jobs) >= SUCCEEDED_JOBS_TO_RELEASE:
            transitions.append(self._release(worker_id, now, 'jobs succeeded'))
        return transitions

    def _start_probation(
        self,
        worker_id: ids.WorkerId,
        cause: str,
    ) -> Transition:
        self._restriction_by_id[worker_id].start_probation()
        return Transition(
            worker_id,
            WorkerState.PROBATION,
            f'probation after {cause}',
        )

    def _release(
        self,
        worker_id: ids.WorkerId,
        now: float,
        reason: str,
    ) -> Transition:
        del self._restriction_by_id[worker_id]
        self._history_by_id[worker_id].released_at = now
        return Transition(worker_id, WorkerState.HEALTHY, reason)


class _Restriction:
    """A worker in quarantine or on probation."""

    __slots__ = ('state', 'succeeded_jobs', '_until')

    def __init__(self, until: float) -> None:
        self.state = WorkerState.QUARANTINED
        self.succeeded_jobs: set[ids.JobId] = set()
        self._until = until

    def is_probation_due(self, now: float) -> bool:
        return self.state is WorkerState.QUARANTINED and now >= self._until

    def start_probation(self) -> None:
        self.state = WorkerState.PROBATION


@dataclasses.dataclass(slots=True)
class _QuarantineHistory:
    """How often a worker was quarantined recently.

    :ivar released_at: time in seconds of the last release, if any.
    """

    count: int = 0
    released_at: float | None = None

    def start_quarantine(self, now: float) -> float:
        """Count a new quarantine and return its duration in seconds."""
        if (self.released_at is not None
                and now - self.released_at > QUARANTINE_HISTORY_SECONDS):
            self.count = 0
        # The exponent is limited because a large power would overflow.
        seconds = FIRST_QUARANTINE_SECONDS * 2.0**min(self.count, 16)
        self.count += 1
        return min(seconds, MAX_QUARANTINE_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimit:
    """Ends a job that fails on several healthy workers.

    :param healthy_workers: number of different healthy workers on which a job
        fails before it is ended.
    :param attempts: number of failed attempts on any workers, including
        unhealthy ones, after which a job is ended.
    """

    healthy_workers: int = 3
    attempts: int = 8

    def reason_to_stop(
        self,
        failed_on: typing.Sequence[ids.WorkerId],
        state_of: typing.Callable[[ids.WorkerId], WorkerState],
    ) -> str | None:
        """Return why a job gets no further attempt; None if it gets one.

        :param failed_on: the worker of each failed attempt.
        """
        healthy = sum(
            state_of(worker_id) is WorkerState.HEALTHY
            for worker_id in set(failed_on)
        )
        if healthy >= self.healthy_workers:
            return f'failed on {healthy} healthy workers'
        if len(failed_on) >= self.attempts:
            return f'failed {len(failed_on)} times'
        return None


__all__ = (
    'AttemptLimit',
    'FAILED_JOBS_ON_PROBATION',
    'FAILED_JOBS_TO_QUARANTINE',
    'FIRST_QUARANTINE_SECONDS',
    'MAX_POOL_SHARE',
    'MAX_QUARANTINE_SECONDS',
    'QUARANTINE_HISTORY_SECONDS',
    'Quarantine',
    'SUCCEEDED_JOBS_TO_RELEASE',
    'Transition',
    'WorkerState',
)
