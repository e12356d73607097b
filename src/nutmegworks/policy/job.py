"""The state that nutmegd's gang scheduler keeps of one job."""
from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import capacity
from nutmegworks.policy import events

# Classes with a completion target up to this are urgent (design 3.10).
URGENT_TARGET_SECONDS: typing.Final = 60.0
# Expected remaining run time of a job that exceeded its estimate, as a
# fraction of the run time so far.
_OVERRUN_FRACTION: typing.Final = 0.5
# Lower limit of the expected remaining run time; see ``Job.remaining``.
_MIN_REMAINING_SECONDS: typing.Final = 1.0


class State(enum.Enum):
    """Scheduling state of a job.

    DELAYED: waits for the retry delay after a failed start.
    CLAIMING: waits until the victims have released the claimed accelerators.
    STOPPING: is being checkpointed or stopped.
    """

    WAITING = 'waiting'
    DELAYED = 'delayed'
    CLAIMING = 'claiming'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One job, from its arrival to its end.

    Times are seconds on the clock of the scheduler's events.

    :ivar estimate: seconds of run time that the job is expected to need.
    :ivar executed: whether any attempt may have executed.
    :ivar executed_earlier: whether any attempt before the current one may
        have executed.
    :ivar confirmed: whether all members of the current attempt are known to
        have received the go request.
    :ivar progress: seconds of run time that the last checkpoint saved.
    :ivar failure: how the current attempt failed, if it did.
    :ivar stop_reason: why the current attempt is being stopped.
    :ivar checkpointing: whether a checkpoint is awaited before the stop.
    :ivar for_job_id: the job for which the current attempt is stopped.
    :ivar failed_workers: workers on which an attempt failed.
    :ivar avoid_workers_until: time until which no attempt is placed on
        ``failed_workers``.
    """

    job_id: ids.JobId
    spec: work.JobSpec
    work_class: work.WorkClass
    accepted_at: float
    estimate: float
    state: State = State.WAITING
    attempt: int = 0
    blocks: tuple[capacity.Block, ...] = ()
    charge: events.Charge = events.Charge.BORROWED
    start_reason: events.Reason = events.Reason.BORROWED
    started_at: float = 0.0
    checkpoint_at: float | None = None
    has_checkpoint: bool = False
    progress: float = 0.0
    executed: bool = False
    executed_earlier: bool = False
    confirmed: bool = False
    cancelled: bool = False
    failure: events.FailureKind | None = None
    stop_reason: events.Reason | None = None
    checkpointing: bool = False
    for_job_id: ids.JobId | None = None
    failures: collections.Counter[events.FailureKind] = dataclasses.field(
        default_factory=collections.Counter
    )
    failed_workers: set[ids.WorkerId] = dataclasses.field(default_factory=set)
    avoid_workers_until: float = 0.0

    @property
    def reclaimable(self) -> bool:
        """Whether the job may be stopped to free accelerators for others.

        A non-idempotent job may not be: it could not be started again if its
        checkpoint failed, because its work may have been billed.
        """
        return self.work_class.interruptible and self.work_class.idempotent

    @property
    def urgent(self) -> bool:
        return self.work_class.target <= URGENT_TARGET_SECONDS

    @property
    def may_run_again(self) -> bool:
        return (
            self.work_class.idempotent or self.has_checkpoint
            or not self.executed
        )

    @property
    def accelerators(self) -> int:
        return self.spec.shape.accelerators

    def expected_end(self, now: float) -> float:
        """Return the time at which a running job is expected to end."""
        run_time = self.progress
        if self.checkpoint_at is None:
            run_time += now - self.started_at
        else:
            run_time += now - self.checkpoint_at
        return now + self._remaining_after(run_time)

    @property
    def remaining(self) -> float:
        """Expected seconds of run time after the last checkpoint.

        It is never 0: a job that exceeded its estimate would otherwise be
        backfilled into any gap, however short, again and again.
        """
        return self._remaining_after(self.progress)

    def _remaining_after(self, run_time: float) -> float:
        if run_time < self.estimate:
            return self.estimate - run_time
        return max(_MIN_REMAINING_SECONDS, run_time * _OVERRUN_FRACTION)

    def lost_work(self, now: float) -> float:
        """Return accelerator-seconds lost if the job were stopped now."""
        unsaved_since = self.started_at
        if self.checkpoint_at is not None:
            unsaved_since = max(unsaved_since, self.checkpoint_at)
        return (now - unsaved_since) * self.accelerators

    def excluded_workers(self, now: float) -> frozenset[ids.WorkerId]:
        """Return the workers on which the job must not be placed now."""
        if now >= self.avoid_workers_until:
            return frozenset()
        return frozenset(self.failed_workers)


__all__ = ('Job', 'State', 'URGENT_TARGET_SECONDS')
