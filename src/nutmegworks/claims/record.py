"""The claim record: all claims of one shard and one epoch.

A record is an immutable value. An operation returns the next record or a
reply that says why it was not applied. Nothing here reads a clock, so a claim
stays valid however long its holder is paused.
"""
from __future__ import annotations

import enum
import typing

import msgspec
import result

from nutmegworks.claims import key as claim_key
from nutmegworks.model import decoding

MAX_ATTEMPT_ID_LENGTH: typing.Final = 32
MAX_ATTEMPT_NUMBER: typing.Final = 2**31
MAX_INCARNATION_LENGTH: typing.Final = 32
BODY_DIGEST_BYTES: typing.Final = 16
# Maximum encoded size of one claim with its key id and its outcome.
MAX_CLAIM_BYTES: typing.Final = 160
# A record of 4,096 claims has at most 640 KiB, below the store's 1 MB, and the
# 8 shards then accept 3,276 new keys/s. The limit is on the number of claims,
# not on bytes: an outcome that makes a claim larger can't exceed it, and a
# full record stays full, so that a refusal by an outdated copy is correct too.
MAX_CLAIMS: typing.Final = 4096
FORMAT: typing.Final = 1


class State(enum.IntEnum):
    CLAIMED = 1
    DID_NOT_RUN = 2
    RAN = 3
    MAY_HAVE_RUN = 4


class Status(enum.Enum):
    """The result of an operation on a record."""

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
    """The position of a stored response in a segment."""

    incarnation: str
    segment: int
    index: int


class Claim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The claim of a key; a key has at most one.

    :param attempt_id: random id of the only attempt that may be sent.
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
    """The claims of one shard and one epoch, by key id."""

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


class LookUpOperation(msgspec.Struct, frozen=True, tag='look'):
    """Reads the claim of a key."""

    epoch: int
    shard: int
    key_id: bytes


Operation = ClaimOperation | FinishOperation | LookUpOperation


class Reply(msgspec.Struct, frozen=True):
    """The reply to an operation.

    :param claim: the claim that the key already had, if any.
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
    """Advance a record to an epoch, which drops the claims of lower epochs.

    A record never returns to a lower epoch: the claims of that epoch were
    dropped, so that one of its keys could be claimed a second time.
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
    advanced = expire(record, operation.epoch)
    if isinstance(advanced, result.Err):
        return advanced
    current = advanced.ok_value
    existing = current.claim_by_id.get(operation.key_id)
    if existing is None and len(current.claim_by_id) >= MAX_CLAIMS:
        return result.Err(Reply(Status.FULL))
    if existing is not None:
        if _is_own(existing, operation):
            return result.Ok(current)
        refused = _find_conflict(existing, operation)
        if refused is not None:
            return result.Err(refused)
    granted = Claim(
        State.CLAIMED,
        operation.attempt_id,
        operation.body_digest,
        operation.attempt_number,
    )
    return result.Ok(_with_claim(current, operation.key_id, granted))


def _is_own(existing: Claim, operation: ClaimOperation) -> bool:
    """Return whether an earlier write of the same attempt made the claim."""
    same = existing.attempt_id == operation.attempt_id
    return same and existing.state is State.CLAIMED


def _find_conflict(existing: Claim, operation: ClaimOperation) -> Reply | None:
    if existing.body_digest != operation.body_digest:
        return Reply(Status.KEY_REUSED, existing)
    if existing.state is State.CLAIMED:
        return Reply(Status.IN_PROGRESS, existing)
    if existing.state is not State.DID_NOT_RUN:
        return Reply(Status.FINISHED, existing)
    uncounted = existing.attempt_number == 0
    if uncounted or operation.attempt_number <= existing.attempt_number:
        # An attempt that was delayed in transit must not run after a later
        # one was refused as "did not run", and a delayed copy of an ended
        # attempt must not hold the key. The order of attempts without a number
        # is unknown.
        return Reply(Status.ATTEMPT_OVER, existing)
    return None


def finish(
    record: Record,
    operation: FinishOperation,
) -> result.Result[Record, Reply]:
    """Record the outcome of an attempt, which must hold the key."""
    if record.epoch > operation.epoch:
        return result.Err(Reply(Status.EXPIRED))
    existing = None
    if record.epoch == operation.epoch:
        existing = record.claim_by_id.get(operation.key_id)
    if existing is None or existing.attempt_id != operation.attempt_id:
        return result.Err(Reply(Status.NOT_HOLDER, existing))
    if existing.state is operation.state:
        return result.Ok(record)
    if existing.state is not State.CLAIMED:
        return result.Err(Reply(Status.ATTEMPT_OVER, existing))
    finished = Claim(
        operation.state,
        existing.attempt_id,
        existing.body_digest,
        existing.attempt_number,
        operation.answer,
    )
    return result.Ok(_with_claim(record, operation.key_id, finished))


def look_up(record: Record, operation: LookUpOperation) -> Reply:
    """Return the claim of a key as of this record."""
    if record.epoch > operation.epoch:
        return Reply(Status.EXPIRED)
    existing = None
    if record.epoch == operation.epoch:
        existing = record.claim_by_id.get(operation.key_id)
    if existing is None:
        return Reply(Status.ABSENT)
    if existing.state is State.CLAIMED:
        return Reply(Status.IN_PROGRESS, existing)
    return Reply(Status.FINISHED, existing)


def apply(record: Record, operation: Operation) -> tuple[Record, Reply]:
    """Return the next record and the reply, valid once that is stored."""
    if isinstance(operation, LookUpOperation):
        return record, look_up(record, operation)
    if isinstance(operation, ClaimOperation):
        changed = claim(record, operation)
        success = Status.GRANTED
    else:
        changed = finish(record, operation)
        success = Status.DONE
    if isinstance(changed, result.Err):
        return record, changed.err_value
    return changed.ok_value, Reply(success)


def is_valid(operation: Operation) -> bool:
    """Return whether the fields keep a claim within ``MAX_CLAIM_BYTES``."""
    if len(operation.key_id) != claim_key.KEY_ID_BYTES:
        return False
    if isinstance(operation, LookUpOperation):
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
    """Encode a record as the value to store."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes) -> Record:
    """Decode a stored value.

    :raises msgspec.DecodeError: if the value is not a claim record.
    """
    with decoding.nesting_limit():
        record = _DECODER.decode(value)
    if record.format != FORMAT:
        raise msgspec.ValidationError(
            f'unknown claim record format {record.format}'
        )
    return record


def _with_claim(record: Record, key_id: bytes, added: Claim) -> Record:
    claim_by_id = {**record.claim_by_id, key_id: added}
    return Record(FORMAT, record.epoch, claim_by_id)


_DECODER: typing.Final = msgspec.msgpack.Decoder(Record)

__all__ = (
    'AnswerRef',
    'BODY_DIGEST_BYTES',
    'Claim',
    'ClaimOperation',
    'FinishOperation',
    'LookUpOperation',
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
    'look_up',
)
