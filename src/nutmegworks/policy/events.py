"""Events and actions of nutmegd's gang scheduler.

The scheduler receives events and returns actions. An attempt is one start of a
job. Events about a running job carry the number of the attempt; the scheduler
ignores events of earlier attempts.
"""
from __future__ import annotations

import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.model import verdict as verdicts
from nutmegworks.model import work


class Reason(enum.Enum):
    """Why the scheduler took an action."""

    # Starts.
    WITHIN_GUARANTEE = 'within-guarantee'
    BORROWED = 'borrowed'
    BACKFILLED = 'backfilled'
    # Checkpoints and stops.
    RECLAIMED = 'reclaimed'
    URGENT = 'urgent'
    CANCELLED = 'cancelled'
    WORKER_LOST = 'worker-lost'
    TASK_FAILED = 'task-failed'
    # Releases.
    FINISHED = 'finished'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lease-expired'
    START_FAILED = 'start-failed'
    # Refusals and failures.
    UNKNOWN_TEAM = 'unknown-team'
    UNKNOWN_CLASS = 'unknown-class'
    NOT_ENTITLED = 'not-entitled'
    LARGER_THAN_WORKER = 'larger-than-worker'
    LARGER_THAN_RACK = 'larger-than-rack'
    LARGER_THAN_DOMAIN = 'larger-than-domain'
    NOT_PLACEABLE = 'not-placeable'
    ATTEMPTS_EXHAUSTED = 'attempts-exhausted'
    MAY_HAVE_RUN = 'may-have-run'


class Charge(enum.Enum):
    """Whether an attempt uses its team's guarantee or borrows."""

    GUARANTEED = 'guaranteed'
    BORROWED = 'borrowed'


class FailureKind(enum.Enum):
    """What ended an attempt.

    START: a reserve or stage call failed, so nothing executed.
    TASK: a task of the job failed.
    WORKER: a worker was lost or its lease expired.
    """

    START = 'start'
    TASK = 'task'
    WORKER = 'worker'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Member:
    """Accelerators of one worker that a gang uses.

    :param accelerators: indices on the worker, ascending.
    """

    worker_id: ids.WorkerId
    accelerators: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """Accelerators bound to a team's guarantee that another team's job uses.

    :param accelerators: the number of accelerators lent.
    """

    lender_id: ids.TeamId
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobArrived:
    """An accepted job waits for a start.

    :param accepted_at: time in seconds from which the completion target is
        measured.
    :param attempts: starts so far; not 0 if a new owner takes over the job.
    :param has_checkpoint: whether a start would resume from a checkpoint.
    """

    job_id: ids.JobId
    spec: work.JobSpec
    accepted_at: float
    attempts: int = 0
    has_checkpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRestored:
    """A new owner took over a job with a running attempt."""

    job_id: ids.JobId
    spec: work.JobSpec
    accepted_at: float
    attempt: int
    members: tuple[Member, ...]
    started_at: float
    has_checkpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStarted:
    """The start request was sent to all members; the attempt may execute."""

    job_id: ids.JobId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobCheckpointed:
    """A complete checkpoint of an attempt exists."""

    job_id: ids.JobId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStopped:
    """All members of an attempt confirmed that they have stopped."""

    job_id: ids.JobId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobFinished:
    """An attempt completed and its accelerators are free."""

    job_id: ids.JobId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobFailed:
    """An attempt ended without a result.

    :param worker_id: the worker that failed, if known.
    :param members_stopped: whether all other members are known to have
        stopped; otherwise the scheduler stops them.
    """

    job_id: ids.JobId
    attempt: int
    kind: FailureKind
    worker_id: ids.WorkerId | None = None
    members_stopped: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobCancelled:
    """A caller cancelled the job."""

    job_id: ids.JobId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerUp:
    """A worker joined or returned, with no task running."""

    worker_id: ids.WorkerId
    rack_id: ids.RackId
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerDown:
    """A worker left or became unreachable."""

    worker_id: ids.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerQuarantined:
    """A worker receives no new work; its running tasks continue."""

    worker_id: ids.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReadmitted:
    """A quarantined worker may receive work again."""

    worker_id: ids.WorkerId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """An accepted configuration is in force."""

    configuration: work.Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time passed; the caller sends this event at least once a second."""


Event: typing.TypeAlias = (
    JobArrived | JobRestored | JobStarted | JobCheckpointed | JobStopped
    | JobFinished | JobFailed | JobCancelled | WorkerUp | WorkerDown
    | WorkerQuarantined | WorkerReadmitted | ConfigurationChanged | Tick
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobAction:
    """Fields of every action.

    :param decided_at: time of the decision, in seconds.
    :param attempt: number of the start, from 1; 0 if never started.
    :param accelerators: number of accelerators that the action affects.
    :param detail: explanation for a person; may be empty.
    """

    decided_at: float
    job_id: ids.JobId
    team_id: ids.TeamId
    class_id: ids.ClassId
    attempt: int
    accelerators: int
    reason: Reason
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartJob(JobAction):
    """Reserve, stage, commit and start all members, or none.

    :param charge: whether the team uses its guarantee or borrows.
    :param loans: accelerators of other teams' guarantees that a borrower uses.
    :param resume: whether to resume from the last checkpoint.
    """

    members: tuple[Member, ...]
    charge: Charge
    loans: tuple[Loan, ...] = ()
    resume: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointJob(JobAction):
    """Write a checkpoint and report it with ``JobCheckpointed``.

    :param for_job_id: the job that needs the accelerators, if any.
    """

    members: tuple[Member, ...]
    for_job_id: ids.JobId | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopJob(JobAction):
    """Stop all members and no longer renew their leases.

    ``JobStopped`` is to be reported when all members have confirmed.

    :param for_job_id: the job that needs the accelerators, if any.
    """

    members: tuple[Member, ...]
    for_job_id: ids.JobId | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseJob(JobAction):
    """The attempt no longer occupies its accelerators.

    Exactly one follows each start, for accounting.
    """

    members: tuple[Member, ...]
    charge: Charge


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefuseJob(JobAction):
    """End a job that will not be started again.

    :param verdict: whether the job did not run, may have run or ran.
    """

    verdict: verdicts.Verdict


Action: typing.TypeAlias = (
    StartJob | CheckpointJob | StopJob | ReleaseJob | RefuseJob
)

__all__ = (
    'Action',
    'Charge',
    'CheckpointJob',
    'ConfigurationChanged',
    'Event',
    'FailureKind',
    'JobAction',
    'JobArrived',
    'JobCancelled',
    'JobCheckpointed',
    'JobFailed',
    'JobFinished',
    'JobRestored',
    'JobStarted',
    'JobStopped',
    'Loan',
    'Member',
    'Reason',
    'RefuseJob',
    'ReleaseJob',
    'StartJob',
    'StopJob',
    'Tick',
    'WorkerDown',
    'WorkerQuarantined',
    'WorkerReadmitted',
    'WorkerUp',
)
