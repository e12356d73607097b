"""What the store keeps of a job: its acceptance, its cancel, its progress."""
from __future__ import annotations

import enum
import typing

import msgspec

from nutmegworks.model import ids

JOBS_PREFIX: typing.Final = 'nutmeg/jobs/'
PROGRESS_PREFIX: typing.Final = 'nutmeg/progress/'
CONTROL_PREFIX: typing.Final = 'nutmeg/control/'
MEMBERS_PREFIX: typing.Final = 'nutmeg/control/members/'
LEADER_KEY: typing.Final = 'nutmeg/control/leader'
# Changes with each write of the leader, so that its writes keep their order.
SEQUENCE_KEY: typing.Final = 'nutmeg/sequence'


class JobState(enum.Enum):
    """The state of an accepted job as its client sees it."""

    QUEUED = 'queued'
    ACTIVE = 'active'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL: typing.Final = {
    JobState.QUEUED: False,
    JobState.ACTIVE: False,
    JobState.SUCCEEDED: True,
    JobState.FAILED: True,
    JobState.CANCELLED: True,
}


class Accepted(msgspec.Struct, frozen=True):
    """Written when a job is accepted, never changed.

    :param accepted_at: Unix seconds on the accepting host's clock.
    :param body: the submission as it was received.
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
    """Where a run was ordered to start."""

    worker: str
    born: int
    run: int


class Progress(msgspec.Struct):
    """What is known of a job's tasks; written by the leader only.

    Tasks are keyed by "occurrence.step.index"; gangs by "occurrence.step".

    :param done: indexes of finished tasks by "occurrence.step".
    :param failures: failed runs by task or gang.
    :param runs: highest run number by task or gang.
    :param assigned: where each task's run was ordered and has not ended.
    :param last_failed: highest failed run by task or gang.
    :param saved: newest checkpoint by task or gang.
    :param ended_at: Unix seconds of the final state.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, list[int]] = {}
    failures: dict[str, int] = {}
    last_failed: dict[str, int] = {}
    runs: dict[str, int] = {}
    assigned: dict[str, Assignment] = {}
    saved: dict[str, str] = {}
    ended_at: float = 0.0


class Member(msgspec.Struct, frozen=True):
    """A daemon's own address, under its lease.

    :param cores: what its host has for it; 0 if unknown.
    """

    host: str
    port: int
    domain: str
    cores: float = 0.0


class Leader(msgspec.Struct, frozen=True):
    """The daemon that decides, under its lease.

    :param incarnation: tells the processes of one host apart.
    """

    member: str
    incarnation: str
    host: str
    port: int


# Ends the key of a cancel, below the key of its job.
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
    """Return the state in a stored progress."""
    return msgspec.json.decode(value, type=_StateOnly).state


__all__ = (
    'Accepted',
    'Assignment',
    'CANCEL_SUFFIX',
    'CONTROL_PREFIX',
    'FINAL',
    'JOBS_PREFIX',
    'JobState',
    'LEADER_KEY',
    'Leader',
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
