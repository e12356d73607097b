"""Quarantines workers that fail every task; bounds the attempts of a job."""
from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.policy import evidence

FAILED_JOBS_TO_QUARANTINE: typing.Final = 3
FAILED_JOBS_ON_PROBATION: typing.Final = 2
SUCCEEDED_JOBS_TO_RELEASE: typing.Final = 2
FIRST_QUARANTINE_SECONDS: typing.Final = 300.0
MAX_QUARANTINE_SECONDS: typing.Final = 6 * 3600.0
# A release older than this no longer lengthens the next quarantine.
STRIKE_SECONDS: typing.Final = 86_400.0
# A rack of 6 of Dong Ho's 24 workers may fail as a whole.
MAX_POOL_SHARE: typing.Final = 0.25


class WorkerState(enum.Enum):
    """Whether a worker may get tasks; on probation, one at a time."""

    HEALTHY = 'healthy'
    PROBATION = 'probation'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """A worker's new state and, for a person, the reason."""

    worker_id: ids.WorkerId
    state: WorkerState
    reason: str


class Quarantine:
    """Decides from failures across jobs which workers get no tasks.

    The caller reports each task's outcome; of a failed gang only the worker
    that failed, not the members that were stopped because of it. Workers in
    quarantine and on probation together are at most ``MAX_POOL_SHARE`` of the
    pool; further suspects wait until there is room.
    """

    def __init__(self, pool_size: int) -> None:
        self._pool_size = pool_size
        self._evidence = evidence.Evidence()
        self._restriction_by_id: dict[ids.WorkerId, _Restriction] = {}
        self._strikes_by_id: dict[ids.WorkerId, _Strikes] = {}
        # Suspects that found no room, oldest first.
        self._waiting: collections.OrderedDict[
            ids.WorkerId, None] = collections.OrderedDict()

    def state(self, worker_id: ids.WorkerId) -> WorkerState:
        restriction = self._restriction_by_id.get(worker_id)
        return restriction.state if restriction else WorkerState.HEALTHY

    def failed(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        team_id: ids.TeamId,
        now: float,
    ) -> list[Transition]:
        """Record that a task failed by the worker's or the job's fault."""
        self._evidence.add_failure(
            worker_id,
            job_id,
            team_id,
            self._is_trusted,
        )
        return self._judge(worker_id, now)

    def succeeded(
        self,
        worker_id: ids.WorkerId,
        job_id: ids.JobId,
        now: float,
    ) -> list[Transition]:
        """Record a success, which also speaks against other workers."""
        confirmed = self._evidence.add_success(worker_id, job_id)
        self._waiting.pop(worker_id, None)
        transitions = self._credit(worker_id, job_id, now)
        for other in confirmed:
            transitions += self._judge(other, now)
        return transitions

    def tick(self, now: float) -> list[Transition]:
        """Start due probations and quarantine suspects that waited."""
        transitions = []
        for worker_id, restriction in list(self._restriction_by_id.items()):
            if restriction.is_due(now):
                transitions.append(self._start_probation(worker_id, 'time'))
        for worker_id in list(self._waiting):
            transitions += self._judge(worker_id, now)
        return transitions

    def resize(self, pool_size: int, now: float) -> list[Transition]:
        """Set the number of workers; a smaller pool may release some."""
        self._pool_size = pool_size
        excess = len(self._restriction_by_id) - self._limit
        oldest = list(self._restriction_by_id)[:max(0, excess)]
        return [
            self._release(worker_id, now, 'the pool has shrunk')
            for worker_id in oldest
        ]

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Drop all about a worker that left or was replaced."""
        self._evidence.clear(worker_id)
        self._restriction_by_id.pop(worker_id, None)
        self._strikes_by_id.pop(worker_id, None)
        self._waiting.pop(worker_id, None)

    @property
    def _limit(self) -> int:
        return int(self._pool_size * MAX_POOL_SHARE)

    def _is_trusted(self, worker_id: ids.WorkerId) -> bool:
        return worker_id not in self._restriction_by_id

    def _judge(self, worker_id: ids.WorkerId, now: float) -> list[Transition]:
        restriction = self._restriction_by_id.get(worker_id)
        needed = FAILED_JOBS_TO_QUARANTINE
        if restriction:
            needed = FAILED_JOBS_ON_PROBATION
            if restriction.state is WorkerState.QUARANTINED:
                return []
        count = self._evidence.count(worker_id, self._is_trusted)
        self._waiting.pop(worker_id, None)
        if count < needed:
            return []
        if not restriction and len(self._restriction_by_id) >= self._limit:
            self._waiting[worker_id] = None
            return []
        return [self._restrict(worker_id, now, count)]

    def _restrict(
        self,
        worker_id: ids.WorkerId,
        now: float,
        count: int,
    ) -> Transition:
        strikes = self._strikes_by_id.setdefault(worker_id, _Strikes())
        seconds = strikes.next_seconds(now)
        self._restriction_by_id[worker_id] = _Restriction(now + seconds)
        self._evidence.clear(worker_id)
        return Transition(
            worker_id,
            WorkerState.QUARANTINED,
            f'{count} jobs failed in a row; for {seconds:.0f} s',
        )

    def _credit(
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
        self._strikes_by_id[worker_id].released = now
        return Transition(worker_id, WorkerState.HEALTHY, reason)


class _Restriction:
    """A worker in quarantine or on probation."""

    __slots__ = ('state', 'succeeded_jobs', '_until')

    def __init__(self, until: float) -> None:
        self.state = WorkerState.QUARANTINED
        self.succeeded_jobs: set[ids.JobId] = set()
        self._until = until

    def is_due(self, now: float) -> bool:
        return self.state is WorkerState.QUARANTINED and now >= self._until

    def start_probation(self) -> None:
        self.state = WorkerState.PROBATION


@dataclasses.dataclass(slots=True)
class _Strikes:
    """How often a worker was quarantined of late."""

    number: int = 0
    released: float | None = None

    def next_seconds(self, now: float) -> float:
        """Count a strike and return how long its quarantine lasts."""
        if self.released is not None and now - self.released > STRIKE_SECONDS:
            self.number = 0
        seconds = FIRST_QUARANTINE_SECONDS * 2.0**min(self.number, 16)
        self.number += 1
        return min(seconds, MAX_QUARANTINE_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimit:
    """Ends a job that fails on several healthy workers.

    :param healthy: distinct healthy workers on which a job may fail.
    :param total: failed attempts anywhere, also on bad workers.
    """

    healthy: int = 3
    total: int = 8

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
        if healthy >= self.healthy:
            return f'failed on {healthy} healthy workers'
        if len(failed_on) >= self.total:
            return f'failed {len(failed_on)} times'
        return None


__all__ = (
    'AttemptLimit',
    'FAILED_JOBS_ON_PROBATION',
    'FAILED_JOBS_TO_QUARANTINE',
    'FIRST_QUARANTINE_SECONDS',
    'MAX_POOL_SHARE',
    'MAX_QUARANTINE_SECONDS',
    'Quarantine',
    'STRIKE_SECONDS',
    'SUCCEEDED_JOBS_TO_RELEASE',
    'Transition',
    'WorkerState',
)
