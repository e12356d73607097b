"""Orders queued jobs by completion targets and guaranteed shares alone."""
from __future__ import annotations

import abc
import bisect
import dataclasses
import typing

from nutmegworks.model import ids

# A class with a smaller share could wait for ever behind the others.
MIN_SHARE: typing.Final = 0.01
# Attained service at which a job of unknown run time gives way once more, as
# in the discretized queues of Tiresias (NSDI 2019). The unit is one
# accelerator for one completion target, so operators have nothing to tune.
SERVICE_LEVELS: typing.Final = (8.0, 64.0, 512.0)

SortKey = tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedJob:
    """What the order of the queue depends on.

    :param accepted: seconds on the clock of the queue.
    :param target: seconds from acceptance to the complete response.
    :param remaining: estimated seconds left to run; None if unknown.
    :param attained: accelerator-seconds that earlier runs of it used.
    """

    job_id: ids.JobId
    accepted: float
    target: float
    remaining: float | None = None
    attained: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClassUse:
    """How much of the capacity a class uses now.

    :param guaranteed_share: fraction of the capacity, 0 to 1.
    :param used_share: fraction that its running jobs hold now.
    """

    guaranteed_share: float
    used_share: float

    @property
    def is_over_share(self) -> bool:
        return self.used_share >= max(self.guaranteed_share, MIN_SHARE)


class QueueOrder(abc.ABC):
    """Decides which queued job is tried first.

    A key changes only when the job's own fields or its class's use change,
    so a queue can stay sorted as time passes.
    """

    @abc.abstractmethod
    def sort_key(self, job: QueuedJob, use: ClassUse) -> SortKey:
        """Return the key of a job; the lowest key is tried first."""


class FirstComeFirstServed(QueueOrder):
    """The baseline: order of acceptance."""

    def sort_key(self, job: QueuedJob, use: ClassUse) -> SortKey:
        return (job.accepted, job.job_id)


class LeastSlack(QueueOrder):
    """Classes below their share first, then the earliest latest start.

    The latest start is the time at which a job must start to meet its target.
    An estimate beyond the target counts as the target; otherwise a team could
    overtake all others by declaring an absurdly long run time.

    Bound of waiting: ``latest_start`` lies between acceptance and ``bound``,
    that is acceptance + 4 targets. So a job accepted after the bound of
    another never overtakes it while both classes are on the same side of
    their share. A class is above its share only as long as its own jobs run,
    since a class without running jobs is always below. Thus the first job of
    a class waits until its class is below its share and then only for jobs
    accepted before its bound, which are finitely many.

    >>> job = QueuedJob(ids.JobId('a'), accepted=100.0, target=60.0,
    ...                 remaining=20.0)
    >>> LeastSlack().sort_key(job, ClassUse(0.5, 0.2))
    (False, 140.0, 100.0, 'a')
    """

    def sort_key(self, job: QueuedJob, use: ClassUse) -> SortKey:
        return (
            use.is_over_share,
            latest_start(job),
            job.accepted,
            job.job_id,
        )


def latest_start(job: QueuedJob) -> float:
    """Return the time at which the job must start to meet its target.

    The run time of a job may be unknown. Then each level of attained service
    allows it one more target, so that long jobs give way to those that may be
    short.
    """
    if job.remaining is not None:
        remaining = min(max(job.remaining, 0.0), job.target)
        return job.accepted + job.target - remaining
    thresholds = [level * job.target for level in SERVICE_LEVELS]
    level = bisect.bisect_right(thresholds, job.attained)
    return job.accepted + job.target * (1 + level)


def bound(job: QueuedJob) -> float:
    """Return the time after which no newly accepted job overtakes it."""
    return job.accepted + job.target * (1 + len(SERVICE_LEVELS))


__all__ = (
    'ClassUse',
    'FirstComeFirstServed',
    'LeastSlack',
    'MIN_SHARE',
    'QueueOrder',
    'QueuedJob',
    'SERVICE_LEVELS',
    'SortKey',
    'bound',
    'latest_start',
)
