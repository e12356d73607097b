"""Workers and what they report of the runs they hold."""
from __future__ import annotations

import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.tasks import spec

RunNumber = typing.NewType('RunNumber', int)
# Unix milliseconds of a worker's start; tells its lives apart.
Born = typing.NewType('Born', int)


class WorkerState(enum.Enum):
    READY = 'ready'
    LEAVING = 'leaving'


class EndKind(enum.Enum):
    """Why a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's registration.

    :param address: IP address and port.
    :param remaining: seconds that a leaving worker still runs at least.
    """

    worker_id: ids.WorkerId
    address: tuple[str, int]
    service_id: ids.ServiceId
    domain_id: ids.DomainId
    state: WorkerState
    born: Born
    room: spec.Room
    rack: str
    labels: frozenset[str]
    remaining: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatus:
    """A run that a worker holds.

    :param saved: newest checkpoint, '' for none.
    :param percent: progress from 0 to 100.
    """

    task: spec.TaskKey
    run: RunNumber
    saved: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run, listed until it is acknowledged.

    :param number: position in the worker's list, from 1.
    """

    number: int
    task: spec.TaskKey
    run: RunNumber
    kind: EndKind
    saved: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A worker's answer to a renewal.

    :param clock: milliseconds on the worker's steady clock.
    """

    clock: int
    born: Born
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]


class StartVerdict(enum.Enum):
    """What became of an order to start a run."""

    STARTED = 'started'
    FENCED = 'fenced'
    OLD = 'old'
    LATE = 'late'
    NO_ROOM = 'no-room'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'
    WRONG_WORKER = 'wrong-worker'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """:param lease_until: milliseconds on the worker's clock."""

    task: spec.TaskKey
    run: RunNumber
    payload: str
    lease_until: int
    token: ids.FencingToken
    checkpoint: str = ''


__all__ = (
    'Born',
    'EndKind',
    'Report',
    'RunEnd',
    'RunNumber',
    'RunStatus',
    'StartOrder',
    'StartVerdict',
    'WorkerEntry',
    'WorkerState',
)
