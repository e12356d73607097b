"""Orders queued jobs by completion targets and guaranteed shares only.

Neither daemon uses this module. The queue of nutmegd's gang scheduler is
ordered by an implementation of
:class:`nutmegworks.policy.interfaces.QueueOrder`, and the waiting tasks of the
platform daemon by
:func:`nutmegworks.policy.task_demand.sort_demands`.
"""
from __future__ import annotations

import abc
import bisect
import dataclasses
import typing

from nutmegworks.model import ids

# Smaller guaranteed shares are raised to this fraction; otherwise such a class
# could wait behind the others forever.
MIN_SHARE: typing.Final = 0.01
# Attained service at which a job of unknown run time drops by one more level,
# as in the discretized queues of Tiresias (NSDI 2019). The unit is one
# accelerator for one completion target, so operators have nothing to tune.
SERVICE_LEVELS: typing.Final = (8.0, 64.0, 512.0)

SortKey = tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedJob:
    """The attributes of a job that the queue order depends on.

    :param accepted_at: seconds on the clock of the queue.
    :param target: seconds from acceptance to the complete response.
    :param remaining: estimated remaining run time in seconds; None if
        unknown.
    :param attained_service: accelerator-seconds that its earlier runs used.
    """

    job_id: ids.JobId
    accepted_at: float
    target: float
    remaining: float | None = None
    attained_service: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClassUse:
    """Guaranteed and current share of the capacity of a class.

    :param guaranteed_share: fraction of the capacity, 0 to 1.
    :param used_share: fraction that its running jobs use now.
    """

    guaranteed_share: float
    used_share: float

    @property
    def is_over_share(self) -> bool:
        return self.used_share >= max(self.guaranteed_share, MIN_SHARE)


class QueueOrder(abc.ABC):
    """Decides which queued job is tried first.

    A key depends only on the job's own fields and the use of its class, not
    on the current time, so a queue stays sorted as time passes.
    """

    @abc.abstractmethod
    def sort_key(self, job: QueuedJob, use: ClassUse) -> SortKey:
        """Return the key of a job; the lowest key is tried first."""


class FirstComeFirstServed(QueueOrder):
    """Orders jobs by acceptance; the baseline."""

    def sort_key(self, job: QueuedJob, use: ClassUse) -> SortKey:
        return (job.accepted_at, job.job_id)


class LeastSlack(QueueOrder):
    """Orders jobs by least slack, classes below their share first.

    Within both groups of classes, the job with the earliest latest start goes
    first: the time at which a job must start to meet its target. An estimate
    beyond the target counts as the target; otherwise a team could overtake
    all others by declaring a very long run time.

    Bound on waiting: ``latest_start`` lies between acceptance and
    ``overtaking_deadline``, which is acceptance + 4 targets. So a job accepted
    after the overtaking deadline of another never overtakes it while both
    classes are on the same side of their share. A class is over its share
    only while its own jobs run, since a class without running jobs is always
    below. Thus the first job of a class waits until its class is below its
    share, and then only for jobs accepted before its overtaking deadline, of
    which there are finitely many.

    >>> job = QueuedJob(ids.JobId('a'), accepted_at=100.0, target=60.0,
    ...                 remaining=20.0)
    >>> LeastSlack().sort_key(job, ClassUse(0.5, 0.2))
    (False, 140.0, 100.0, 'a')
    """

    def sort_key(self, job: QueuedJob, use: ClassUse) -> SortKey:
        return (
            use.is_over_share,
            latest_start(job),
            job.accepted_at,
            job.job_id,
        )


def latest_start(job: QueuedJob) -> float:
    """Return the time at which the job must start to meet its target.

    If the remaining run time of a job is unknown, each level of attained
    service adds one more target to its latest start, so that jobs that have
    already run for long come after those that may be short.
    """
    if job.remaining is not None:
        remaining = min(max(job.remaining, 0.0), job.target)
        return job.accepted_at + job.target - remaining
    thresholds = [level * job.target for level in SERVICE_LEVELS]
    level = bisect.bisect_right(thresholds, job.attained_service)
    return job.accepted_at + job.target * (1 + level)


def overtaking_deadline(job: QueuedJob) -> float:
    """Return the time after which no newly accepted job overtakes it."""
    return job.accepted_at + job.target * (1 + len(SERVICE_LEVELS))


__all__ = (
    'ClassUse',
    'FirstComeFirstServed',
    'LeastSlack',
    'MIN_SHARE',
    'QueueOrder',
    'QueuedJob',
    'SERVICE_LEVELS',
    'SortKey',
    'latest_start',
    'overtaking_deadline',
)
