"""The claim record: all claims of one shard and one epoch.

A record is an immutable value. An operation returns the next record or a
refusal. Nothing here reads a clock, so a claim holds however long its holder
is paused.
"""
from __future__ import annotations

import enum
import typing

import msgspec
import result

from nutmegworks.claims import key as claim_key

MAX_ATTEMPT_ID_LENGTH: typing.Final = 32
MAX_ATTEMPT_NUMBER: typing.Final = 2**31
MAX_INCARNATION_LENGTH: typing.Final = 32
BODY_DIGEST_BYTES: typing.Final = 16
# The largest encoding of one claim with its id and its outcome.
MAX_CLAIM_BYTES: typing.Final = 160
# A record of 4,096 claims has at most 640 KiB, below the store's 1 MB, and
# 8 shards then accept 3,276 new keys/s. The limit is on the count: it can't
# be passed by an outcome that makes a claim larger, and a full record stays
# full, so a refusal from a stale copy is true as well.
MAX_CLAIMS: typing.Final = 4096
FORMAT: typing.Final = 1


class State(enum.IntEnum):
    CLAIMED = 1
    DID_NOT_RUN = 2
    RAN = 3
    MAY_HAVE_RUN = 4


class Status(enum.Enum):
    """The outcome of an operation on a record."""

    GRANTED = 'granted'
    DONE = 'done'
    FINISHED = 'finished'
    IN_PROGRESS = 'in-progress'
    ABSENT = 'absent'
    EXPIRED = 'expired'
    KEY_REUSED = 'key-reused'
    FULL = 'full'
    ATTEMPT_OVER = 'attempt-over'
    NOT_HOLDER = 'not-holder'
    STORE_UNAVAILABLE = 'store-unavailable'
    OVERLOADED = 'overloaded'


class AnswerRef(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Where a response is kept: a position in a segment."""

    incarnation: str
    segment: int
    index: int


class Claim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The one claim of a key.

    :param attempt_id: random id of the attempt that may send the request.
    :param attempt_number: the caller's count of its attempts, from 1; 0 if
        the caller does not count.
    :param body_digest: digest of the request body.
    """

    state: State
    attempt_id: str
    body_digest: bytes
    attempt_number: int = 0
    answer: AnswerRef | None = None


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The claims of the keys of one epoch, by key id."""

    format: int
    epoch: int
    claim_by_id: dict[bytes, Claim]


class ClaimOperation(msgspec.Struct, frozen=True, tag='claim'):
    epoch: int
    shard: int
    key_id: bytes
    attempt_id: str
    body_digest: bytes
    attempt_number: int = 0


class FinishOperation(msgspec.Struct, frozen=True, tag='finish'):
    epoch: int
    shard: int
    key_id: bytes
    attempt_id: str
    state: State
    answer: AnswerRef | None = None


class LookOperation(msgspec.Struct, frozen=True, tag='look'):
    """Reads a claim; changes nothing."""

    epoch: int
    shard: int
    key_id: bytes


Operation = ClaimOperation | FinishOperation | LookOperation


class Reply(msgspec.Struct, frozen=True):
    """What became of an operation.

    :param claim: the claim that was met, if any.
    :param write_sent: whether a write of this operation may have taken
        effect without being confirmed.
    """

    status: Status
    claim: Claim | None = None
    write_sent: bool = False


def empty(epoch: int) -> Record:
    """Return a record without claims."""
    return Record(FORMAT, epoch, {})


def expire(record: Record, epoch: int) -> result.Result[Record, Reply]:
    """Move a record to an epoch, which drops the claims of lower epochs.

    A record never moves to a lower epoch: the claims of that epoch are gone,
    and a key of it could be claimed a second time.
    """
    if epoch < record.epoch:
        return result.Err(Reply(Status.EXPIRED))
    if epoch == record.epoch:
        return result.Ok(record)
    return result.Ok(empty(epoch))


def claim(
    record: Record,
    operation: ClaimOperation,
) -> result.Result[Record, Reply]:
    """Claim a key for an attempt."""
    moved = expire(record, operation.epoch)
    if isinstance(moved, result.Err):
        return moved
    current = moved.ok_value
    held = current.claim_by_id.get(operation.key_id)
    if held is None and len(current.claim_by_id) >= MAX_CLAIMS:
        return result.Err(Reply(Status.FULL))
    if held is not None:
        if _is_own(held, operation):
            return result.Ok(current)
        refused = _check_held(held, operation)
        if refused is not None:
            return result.Err(refused)
    granted = Claim(
        State.CLAIMED,
        operation.attempt_id,
        operation.body_digest,
        operation.attempt_number,
    )
    return result.Ok(_with_claim(current, operation.key_id, granted))


def _is_own(held: Claim, operation: ClaimOperation) -> bool:
    """Return whether a claim was written by an earlier try of the attempt."""
    same = held.attempt_id == operation.attempt_id
    return same and held.state is State.CLAIMED


def _check_held(held: Claim, operation: ClaimOperation) -> Reply | None:
    if held.body_digest != operation.body_digest:
        return Reply(Status.KEY_REUSED, held)
    if held.state is State.CLAIMED:
        return Reply(Status.IN_PROGRESS, held)
    if held.state is not State.DID_NOT_RUN:
        return Reply(Status.FINISHED, held)
    uncounted = held.attempt_number == 0
    if uncounted or operation.attempt_number <= held.attempt_number:
        # An attempt that was delayed on its way must not run after a later
        # one was refused as "did not run"; nor may a delayed copy of an
        # ended attempt hold the key. An uncounted one may be later than any.
        return Reply(Status.ATTEMPT_OVER, held)
    return None


def finish(
    record: Record,
    operation: FinishOperation,
) -> result.Result[Record, Reply]:
    """Record the outcome of an attempt; only its holder's is accepted."""
    if record.epoch > operation.epoch:
        return result.Err(Reply(Status.EXPIRED))
    held = None
    if record.epoch == operation.epoch:
        held = record.claim_by_id.get(operation.key_id)
    if held is None or held.attempt_id != operation.attempt_id:
        return result.Err(Reply(Status.NOT_HOLDER, held))
    if held.state is operation.state:
        return result.Ok(record)
    if held.state is not State.CLAIMED:
        return result.Err(Reply(Status.ATTEMPT_OVER, held))
    finished = Claim(
        operation.state,
        held.attempt_id,
        held.body_digest,
        held.attempt_number,
        operation.answer,
    )
    return result.Ok(_with_claim(record, operation.key_id, finished))


def look(record: Record, operation: LookOperation) -> Reply:
    """Return the claim of a key as of this record."""
    if record.epoch > operation.epoch:
        return Reply(Status.EXPIRED)
    held = None
    if record.epoch == operation.epoch:
        held = record.claim_by_id.get(operation.key_id)
    if held is None:
        return Reply(Status.ABSENT)
    if held.state is State.CLAIMED:
        return Reply(Status.IN_PROGRESS, held)
    return Reply(Status.FINISHED, held)


def apply(record: Record, operation: Operation) -> tuple[Record, Reply]:
    """Return the next record and the reply to send once it is stored."""
    if isinstance(operation, LookOperation):
        return record, look(record, operation)
    if isinstance(operation, ClaimOperation):
        changed = claim(record, operation)
        done = Status.GRANTED
    else:
        changed = finish(record, operation)
        done = Status.DONE
    if isinstance(changed, result.Err):
        return record, changed.err_value
    return changed.ok_value, Reply(done)


def is_valid(operation: Operation) -> bool:
    """Return whether an operation's fields keep a claim within its size."""
    if len(operation.key_id) != claim_key.KEY_ID_BYTES:
        return False
    if isinstance(operation, LookOperation):
        return True
    attempt_id = operation.attempt_id
    if not attempt_id.isascii() or len(attempt_id) > MAX_ATTEMPT_ID_LENGTH:
        return False
    if isinstance(operation, ClaimOperation):
        if not 0 <= operation.attempt_number <= MAX_ATTEMPT_NUMBER:
            return False
        return len(operation.body_digest) == BODY_DIGEST_BYTES
    answer = operation.answer
    return answer is None or (
        answer.incarnation.isascii()
        and len(answer.incarnation) <= MAX_INCARNATION_LENGTH
    )


def encode(record: Record) -> bytes:
    """Return the value to store."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes) -> Record:
    """Read a stored value.

    :raises msgspec.DecodeError: if it is not a claim record.
    """
    record = _DECODER.decode(value)
    if record.format != FORMAT:
        raise msgspec.ValidationError(f'unknown format {record.format}')
    return record


def _with_claim(record: Record, key_id: bytes, held: Claim) -> Record:
    claim_by_id = {**record.claim_by_id, key_id: held}
    return Record(FORMAT, record.epoch, claim_by_id)


_DECODER: typing.Final = msgspec.msgpack.Decoder(Record)

__all__ = (
    'AnswerRef',
    'BODY_DIGEST_BYTES',
    'Claim',
    'ClaimOperation',
    'FinishOperation',
    'LookOperation',
    'MAX_ATTEMPT_ID_LENGTH',
    'MAX_ATTEMPT_NUMBER',
    'MAX_CLAIMS',
    'MAX_CLAIM_BYTES',
    'MAX_INCARNATION_LENGTH',
    'Operation',
    'Record',
    'Reply',
    'State',
    'Status',
    'apply',
    'claim',
    'decode',
    'empty',
    'encode',
    'expire',
    'finish',
    'is_valid',
    'look',
)
