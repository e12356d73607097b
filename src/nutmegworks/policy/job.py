"""The scheduler's view of one job."""
from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import capacity
from nutmegworks.policy import events

# Classes with a target up to this many seconds are urgent (design 3.10).
URGENT_TARGET: typing.Final = 60.0
# A job that overran its estimate is expected to need this share more.
_OVERRUN_SHARE: typing.Final = 0.5
_MIN_REMAINING: typing.Final = 1.0


class State(enum.Enum):
    """Where a job stands.

    CLAIMING: waits for victims to leave the accelerators it claimed.
    DELAYED: waits before another attempt.
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

    :ivar executed: whether any attempt may have executed.
    :ivar executed_earlier: the same for all attempts but the current one.
    :ivar progress: seconds of run time that the last checkpoint saved.
    :ivar stop_reason: why the current attempt is being stopped.
    :ivar avoid_until: seconds, until when ``bad_workers`` are avoided.
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
    bad_workers: set[ids.WorkerId] = dataclasses.field(default_factory=set)
    avoid_until: float = 0.0

    @property
    def reclaimable(self) -> bool:
        """Whether the job may be stopped for others.

        A non-idempotent job is not: it could not be started again if its
        checkpoint failed, because its work may have been billed.
        """
        return self.work_class.interruptible and self.work_class.idempotent

    @property
    def urgent(self) -> bool:
        return self.work_class.target <= URGENT_TARGET

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
        """Return seconds at which a running job is expected to end."""
        done = self.progress
        if self.checkpoint_at is None:
            done += now - self.started_at
        else:
            done += now - self.checkpoint_at
        return now + self._remaining_after(done)

    @property
    def remaining(self) -> float:
        """Seconds of work expected from the last checkpoint on.

        It is never taken as 0: a job that overran its estimate would look
        short enough for any gap, again and again.
        """
        return self._remaining_after(self.progress)

    def _remaining_after(self, done: float) -> float:
        if done < self.estimate:
            return self.estimate - done
        return max(_MIN_REMAINING, done * _OVERRUN_SHARE)

    def lost_work(self, now: float) -> float:
        """Return accelerator-seconds lost if the job were stopped now."""
        since = self.started_at
        if self.checkpoint_at is not None:
            since = max(since, self.checkpoint_at)
        return (now - since) * self.accelerators

    def excluded(self, now: float) -> frozenset[ids.WorkerId]:
        if now >= self.avoid_until:
            return frozenset()
        return frozenset(self.bad_workers)


__all__ = ('Job', 'State', 'URGENT_TARGET')
