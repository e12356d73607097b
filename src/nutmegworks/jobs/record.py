"""The durable record of a job and its allowed state transitions."""
from __future__ import annotations

import enum
import math
import typing

import msgspec
import xxhash

from nutmegworks.model import decoding
from nutmegworks.model import ids
from nutmegworks.model import shape
from nutmegworks.model import work
from nutmegworks.policy import events

JOB_PREFIX: typing.Final = 'jobs/'
KEY_PREFIX: typing.Final = 'jobkeys/'
RESULT_PREFIX: typing.Final = 'answers/jobs/'

# A larger result is stored under its own key, not in the record.
MAX_INLINE_RESULT_BYTES: typing.Final = 64 * 1024
# A job with a larger result fails.
MAX_RESULT_BYTES: typing.Final = 256 * 1024
# Enough for a writer to find the id of its own write after a few writes of
# others.
MAX_WRITE_IDS: typing.Final = 8


class JobState(enum.Enum):
    """State of a job in the store.

    Reservations are not recorded: nothing depends on them after their owner
    has ended, and recording them would cost one more write per start.

    ACCEPTED: the job waits for a start; no earlier attempt executed, or
        the job is idempotent.
    COMMITTED: its gang may execute.
    CHECKPOINTED: its gang was stopped; it continues from a checkpoint.
    MAY_HAVE_RUN: ended; it may have executed in part or completely.
    """

    ACCEPTED = 'accepted'
    COMMITTED = 'committed'
    CHECKPOINTED = 'checkpointed'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    MAY_HAVE_RUN = 'may-have-run'


NEXT_STATES: typing.Final[typing.Mapping[JobState, frozenset[JobState]]] = {
    JobState.ACCEPTED:
    frozenset({JobState.COMMITTED, JobState.CANCELLED, JobState.FAILED}),
    JobState.COMMITTED:
    frozenset(JobState),
    JobState.CHECKPOINTED:
    frozenset({JobState.COMMITTED, JobState.CANCELLED, JobState.FAILED}),
    JobState.DONE:
    frozenset(),
    JobState.FAILED:
    frozenset(),
    JobState.CANCELLED:
    frozenset(),
    JobState.MAY_HAVE_RUN:
    frozenset(),
}

FINAL_STATES: typing.Final = frozenset(
    state for state, following in NEXT_STATES.items() if not following
)
WAITING_STATES: typing.Final = frozenset(
    {JobState.ACCEPTED, JobState.CHECKPOINTED}
)


class TransitionError(Exception):
    """The state table does not allow this change of a job record."""


class Run(msgspec.Struct, frozen=True):
    """The attempt that was committed last.

    :param commit_id: unique id of the commit; later writes keep it.
    :param committed_at: seconds since 1970.
    """

    run_id: ids.RunId
    attempt: int
    fencing_token: ids.FencingToken
    members: tuple[events.Member, ...]
    commit_id: str
    committed_at: float


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job from acceptance to its end.

    :param body_digest: of the request that created the job.
    :param run_time: declared run time in seconds.
    :param idempotent: from its class at the time of acceptance.
    :param accepted_at: seconds since 1970; the completion target is
        measured from here.
    :param runs: number of different run ids so far.
    :param attempts: number of committed starts so far.
    :param run: the latest committed attempt.
    :param checkpoint: of the whole gang; empty if there is none.
    :param result: of the first member, if it has at most
        MAX_INLINE_RESULT_BYTES.
    :param result_key: store key of a larger result.
    :param ended_at: seconds since 1970; 0 until the job has ended.
    :param writes: ids of the latest writes, newest last.
    """

    job_id: ids.JobId
    shard_id: ids.ShardId
    team_id: ids.TeamId
    class_id: ids.ClassId
    idempotency_key: ids.IdempotencyKey
    body_digest: str
    shape: str
    run_time: float
    payload: bytes
    idempotent: bool
    accepted_at: float
    state: JobState = JobState.ACCEPTED
    cancel_requested: bool = False
    runs: int = 0
    attempts: int = 0
    run: Run | None = None
    checkpoint: str = ''
    result: bytes | None = None
    result_key: str = ''
    detail: str = ''
    ended_at: float = 0.0
    writes: tuple[str, ...] = ()

    @property
    def spec(self) -> work.JobSpec:
        return work.JobSpec(
            team_id=self.team_id,
            class_id=self.class_id,
            shape=shape.Shape.parse(self.shape),
            run_time=self.run_time,
            payload=self.payload,
        )

    @property
    def member_count(self) -> int:
        """Number of members of the latest committed attempt."""
        return 0 if self.run is None else len(self.run.members)

    @property
    def final(self) -> bool:
        return self.state in FINAL_STATES


class KeyRecord(msgspec.Struct, frozen=True):
    """Binds an idempotency key to one body and one scheduling shard.

    It is written before the job record. Otherwise two daemons could accept
    the same key in two shards, and the job would run in both.
    """

    team_id: ids.TeamId
    idempotency_key: ids.IdempotencyKey
    shard_id: ids.ShardId
    body_digest: str
    write_id: str


def job_id(team_id: ids.TeamId, key: ids.IdempotencyKey) -> ids.JobId:
    """Return the id of the job with this team and idempotency key.

    >>> job_id(ids.TeamId('north'), ids.IdempotencyKey('1-a'))
    'e70b3c49bacdd459fdb5d5a8d0879337'
    """
    text = f'{len(team_id)}:{team_id}{key}'
    return ids.JobId(xxhash.xxh3_128_hexdigest(text.encode()))


def run_id(job: ids.JobId, run: int) -> ids.RunId:
    """Return the id of a job's run.

    An attempt that resumes from a checkpoint belongs to the same run.

    :param run: number of the run, from 1.
    """
    return ids.RunId(f'{job}.{run}')


def job_id_of_run(run: ids.RunId) -> ids.JobId:
    """Return the id of the job to which a run belongs."""
    return ids.JobId(run.rpartition('.')[0])


def store_key(shard_id: ids.ShardId, job: ids.JobId) -> str:
    """Return the store key of a job record."""
    return f'{JOB_PREFIX}{shard_id}/{job}'


def apply_changes(
    record: JobRecord,
    write_id: str,
    changes: typing.Mapping[str, typing.Any],
) -> JobRecord:
    """Return the record with changes and the id of the write.

    :raises TransitionError: if the state table does not allow them.
    """
    state = changes.get('state', record.state)
    if state not in NEXT_STATES[record.state]:
        raise TransitionError(f'{record.state.value} to {state.value}')
    writes = (*record.writes, write_id)[-MAX_WRITE_IDS:]
    return msgspec.structs.replace(record, writes=writes, **changes)


def encode(record: JobRecord | KeyRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes) -> JobRecord:
    """Decode a job record from the store.

    :raises msgspec.DecodeError: if the value is not a usable job record.
    """
    with decoding.nesting_limit():
        decoded = msgspec.msgpack.decode(value, type=JobRecord)
    _check(decoded)
    return decoded


def decode_key(value: bytes) -> KeyRecord:
    """Decode the binding of an idempotency key from the store.

    :raises msgspec.DecodeError: if the value is not such a binding.
    """
    with decoding.nesting_limit():
        return msgspec.msgpack.decode(value, type=KeyRecord)


def _check(job: JobRecord) -> None:
    """Check what the type does not state and the scheduler relies on."""
    try:
        shape.Shape.parse(job.shape)
    except shape.ShapeError as error:
        raise msgspec.ValidationError(str(error)) from error
    times = (job.run_time, job.accepted_at, job.ended_at)
    if not all(math.isfinite(seconds) for seconds in times):
        raise msgspec.ValidationError('a time is not finite')
    members = () if job.run is None else job.run.members
    for member in members:
        for index in member.accelerators:
            if not 0 <= index < shape.MAX_WORKER_ACCELERATORS:
                raise msgspec.ValidationError(f'no accelerator {index}')


__all__ = (
    'FINAL_STATES',
    'JOB_PREFIX',
    'JobRecord',
    'JobState',
    'KEY_PREFIX',
    'KeyRecord',
    'MAX_INLINE_RESULT_BYTES',
    'MAX_RESULT_BYTES',
    'MAX_WRITE_IDS',
    'NEXT_STATES',
    'RESULT_PREFIX',
    'Run',
    'TransitionError',
    'WAITING_STATES',
    'apply_changes',
    'decode',
    'decode_key',
    'encode',
    'job_id',
    'job_id_of_run',
    'run_id',
    'store_key',
)
