"""Workers: their registrations, reports and start requests."""
from __future__ import annotations

import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.tasks import spec

RunNumber = typing.NewType('RunNumber', int)
# Unix milliseconds at which a worker's process started; distinguishes it from
# the processes before and after a restart.
WorkerIncarnation = typing.NewType('WorkerIncarnation', int)


class WorkerState(enum.Enum):
    READY = 'ready'
    LEAVING = 'leaving'


class EndKind(enum.Enum):
    """Why a run ended.

    :cvar LEASE_EXPIRED: the worker's lease was not renewed in time.
    :cvar GANG_BROKEN: another member of its gang ended without being done.
    :cvar GANG_INCOMPLETE: members of its gang did not start in time.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's registration.

    :param address: IP address and port.
    :param remaining: least time in seconds until a leaving worker stops, None
        if unknown.
    """

    worker_id: ids.WorkerId
    address: tuple[str, int]
    service_id: ids.ServiceId
    domain_id: ids.DomainId
    state: WorkerState
    incarnation: WorkerIncarnation
    resources: spec.Resources
    rack: str
    labels: frozenset[str]
    remaining: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatus:
    """A run that has not ended on a worker.

    :param checkpoint: newest checkpoint, '' for none.
    :param percent: progress from 0 to 100.
    """

    task: spec.TaskKey
    run: RunNumber
    checkpoint: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run, listed until it is acknowledged.

    :param number: position in the worker's list of ends, from 1.
    :param checkpoint: newest checkpoint, '' for none.
    """

    number: int
    task: spec.TaskKey
    run: RunNumber
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A worker's response to a lease renewal.

    :param clock: milliseconds on the worker's monotonic clock.
    :param ended: ends that have not been acknowledged.
    """

    clock: int
    incarnation: WorkerIncarnation
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]


class StartOutcome(enum.Enum):
    """The outcome of a start request.

    :cvar FENCED: the worker has seen a higher fencing token.
    :cvar STALE_RUN: the worker has seen this or a higher run of the task.
    :cvar LEASE_EXPIRED: the lease had expired when the request arrived.
    :cvar UNKNOWN: no usable answer; the run may have started.
    :cvar BROKEN: the connection broke before an answer; the run may have
        started.
    :cvar UNREACHED: no connection to the worker could be opened; the run has
        not started.
    :cvar NO_CONNECTION: this host had no connection left; the run has not
        started.
    """

    STARTED = 'started'
    FENCED = 'fenced'
    STALE_RUN = 'old'
    LEASE_EXPIRED = 'late'
    NO_RESOURCES = 'no-room'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'
    WRONG_WORKER = 'wrong-worker'
    UNKNOWN = 'unknown'
    BROKEN = 'broken'
    UNREACHED = 'unreached'
    NO_CONNECTION = 'no-connection'


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """A request to a worker to start a run.

    :param lease_until: end of the lease, in milliseconds on the worker's
        clock.
    :param checkpoint: checkpoint to resume from, '' for none.
    """

    task: spec.TaskKey
    run: RunNumber
    payload: str
    lease_until: int
    token: ids.FencingToken
    checkpoint: str = ''


__all__ = (
    'EndKind',
    'Report',
    'RunEnd',
    'RunNumber',
    'RunStatus',
    'StartOutcome',
    'StartRequest',
    'WorkerEntry',
    'WorkerIncarnation',
    'WorkerState',
)
