"""Stored records of the platform daemon and the keys they are stored under.

A job has up to three: its acceptance, a cancellation and its progress.
"""
from __future__ import annotations

import enum
import typing

import msgspec

from nutmegworks.model import documents
from nutmegworks.model import ids

JOBS_PREFIX: typing.Final = 'nutmeg/jobs/'
PROGRESS_PREFIX: typing.Final = 'nutmeg/progress/'
CONTROL_PREFIX: typing.Final = 'nutmeg/control/'
MEMBERS_PREFIX: typing.Final = 'nutmeg/control/members/'
LEADER_KEY: typing.Final = 'nutmeg/control/leader'
# Every write of the leader changes this key, which keeps its writes in order.
SEQUENCE_KEY: typing.Final = 'nutmeg/sequence'

_Amount = typing.Annotated[float, msgspec.Meta(ge=0)]


class JobState(enum.Enum):
    """The state of an accepted job as shown to its client."""

    QUEUED = 'queued'
    ACTIVE = 'active'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


# Whether a job in this state has ended.
IS_FINAL: typing.Final = {
    JobState.QUEUED: False,
    JobState.ACTIVE: False,
    JobState.SUCCEEDED: True,
    JobState.FAILED: True,
    JobState.CANCELLED: True,
}


class AcceptedJob(msgspec.Struct, frozen=True):
    """An accepted job; written once and never changed.

    :param attempts: number of failed runs of a task at which the job fails.
    :param stretch: factor on the longest chain of steps in the objective.
    :param target: seconds added to the objective.
    :param accepted_at: Unix seconds on the accepting host's clock.
    :param body: the submission as received.
    """

    queue: str
    service: str
    team: str
    priority: int
    attempts: int
    stretch: float
    target: float
    accepted_at: float
    body: bytes


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """The worker that was requested to start a run.

    :param born: incarnation of the worker.
    :param run: run number.
    """

    worker: str
    born: int
    run: int


class Losses(msgspec.Struct, frozen=True, array_like=True):
    """Runs of a task that were lost with their workers.

    :param crashes_at_start: those whose worker crashed at their start.
    :param total: all lost runs that count.
    :param workers: addresses of the workers whose crashes count against a task
        that lasts.
    """

    crashes_at_start: int = 0
    total: int = 0
    workers: tuple[str, ...] = ()


class Progress(msgspec.Struct):
    """The progress of a job's tasks; written only by the leader.

    Tasks are keyed by "occurrence.step.index", gangs by "occurrence.step".

    :param done: indexes of finished tasks by "occurrence.step".
    :param failures: number of failed runs by task or gang.
    :param runs: highest run number by task or gang.
    :param assigned: by task, the worker of the run that has not ended.
    :param last_failed: highest number of a failed run by task or gang.
    :param saved: newest checkpoint by task or gang.
    :param losses: lost runs by task; also the members of a gang are counted
        one by one, since one of them may crash its workers.
    :param ended_at: Unix seconds at which the job ended, 0 before.
    :param begun: whether a worker has confirmed or reported a run of the job;
        None if the record is of a version that did not store it.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, list[int]] = {}
    failures: dict[str, int] = {}
    last_failed: dict[str, int] = {}
    runs: dict[str, int] = {}
    assigned: dict[str, Assignment] = {}
    saved: dict[str, str] = {}
    losses: dict[str, Losses] = {}
    ended_at: float = 0.0
    begun: bool | None = None


class Member(msgspec.Struct, frozen=True):
    """The address of a daemon, stored under the daemon's lease.

    :param cores: processor cores available to the daemon, 0 if unknown.
    :param link: megabits a second of the host's network link, 0 if unknown.
    """

    host: str
    port: documents.Port
    domain: str
    cores: _Amount = 0.0
    link: _Amount = 0.0


class Leader(msgspec.Struct, frozen=True):
    """The daemon that leads, stored under the daemon's lease.

    :param incarnation: distinguishes successive processes on one host.
    """

    member: str
    incarnation: str
    host: str
    port: documents.Port


# Suffix of the key of a cancellation, after the key of its job.
CANCEL_SUFFIX: typing.Final = '/cancel'


def job_key(job_id: ids.JobId) -> str:
    return f'{JOBS_PREFIX}{job_id}'


def cancel_key(job_id: ids.JobId) -> str:
    return f'{JOBS_PREFIX}{job_id}{CANCEL_SUFFIX}'


def progress_key(job_id: ids.JobId) -> str:
    return f'{PROGRESS_PREFIX}{job_id}'


def encode(value: msgspec.Struct) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(value)


class _StateOnly(msgspec.Struct):
    state: JobState = JobState.QUEUED


def decode_state(value: bytes) -> JobState:
    """Return the job state in a stored ``Progress``.

    :raise ValueError: it can not be read.
    """
    return documents.decode(value, _StateOnly).state


__all__ = (
    'AcceptedJob',
    'Assignment',
    'CANCEL_SUFFIX',
    'CONTROL_PREFIX',
    'IS_FINAL',
    'JOBS_PREFIX',
    'JobState',
    'LEADER_KEY',
    'Leader',
    'Losses',
    'MEMBERS_PREFIX',
    'Member',
    'PROGRESS_PREFIX',
    'Progress',
    'SEQUENCE_KEY',
    'cancel_key',
    'decode_state',
    'encode',
    'job_key',
    'progress_key',
)
