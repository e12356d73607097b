from __future__ import annotations

import pytest

from nutmegworks.adapters import store
from nutmegworks.claims import key
from nutmegworks.claims import record
from tests.claims import operations


def test_only_one_attempt_holds_a_key() -> None:
    """Two daemons that race for one key must not both be granted it."""
    claimed = operations.claimed('a')
    assert record.claim(
        claimed, operations.claim_operation('a')
    ).ok_value is claimed
    other = record.claim(claimed, operations.claim_operation('b'))
    assert other.err_value.status is record.Status.IN_PROGRESS
    reused = record.claim(
        claimed, operations.claim_operation('b', body=b'x' * 16)
    )
    assert reused.err_value.status is record.Status.KEY_REUSED


@pytest.mark.parametrize(
    'state, status', (
        (record.State.RAN, record.Status.FINISHED),
        (record.State.MAY_HAVE_RUN, record.Status.FINISHED),
        (record.State.DID_NOT_RUN, record.Status.GRANTED),
    )
)
def test_retry_after_outcome(state, status) -> None:
    """Only DID_NOT_RUN frees a key for another attempt."""
    done = record.finish(
        operations.claimed(), operations.finish_operation(state)
    ).unwrap()
    operation = operations.claim_operation('b', attempt_number=2)
    after, reply = record.apply(done, operation)
    assert reply.status is status
    late, refused = record.apply(
        after, operations.finish_operation(state, 'c')
    )
    assert (late, refused.status) == (after, record.Status.NOT_HOLDER)


def test_outcome_is_final() -> None:
    """A delayed release must not free the key of a request that ran."""
    operation = operations.finish_operation(record.State.RAN)
    done = record.finish(operations.claimed(), operation).unwrap()
    assert record.finish(done, operation).ok_value is done
    release = operations.finish_operation(record.State.DID_NOT_RUN)
    refused = record.finish(done, release)
    assert refused.err_value.status is record.Status.ATTEMPT_OVER


@pytest.mark.parametrize(
    'ended, late', ((1, 1), (2, 1), (0, 0), (1, 0), (0, 1))
)
def test_delayed_attempt_cannot_claim(ended, late) -> None:
    """An attempt must not run after a later one was refused DID_NOT_RUN."""
    operation = operations.claim_operation('a', attempt_number=ended)
    claimed = record.claim(record.empty(0), operation).unwrap()
    done = record.finish(
        claimed, operations.finish_operation(record.State.DID_NOT_RUN)
    ).unwrap()
    operation = operations.claim_operation('b', attempt_number=late)
    refused = record.claim(done, operation)
    assert refused.err_value.status is record.Status.ATTEMPT_OVER


def test_record_never_returns_to_a_lower_epoch() -> None:
    """A ring slot that is reused must not accept keys of its old epoch."""
    claimed = operations.claimed()
    later = operations.claim_operation('b', operations.EPOCH + key.EPOCH_SLOTS)
    moved = record.claim(claimed, later).unwrap()
    assert len(moved.claim_by_id) == 1
    for operation in (
            operations.claim_operation('c'),
            operations.finish_operation(record.State.DID_NOT_RUN),
    ):
        after, reply = record.apply(moved, operation)
        assert after is moved and reply.status is record.Status.EXPIRED


def test_largest_record_fits_and_another_claim_is_refused() -> None:
    """A record above the store's value limit would block its whole epoch."""
    answer = record.AnswerRef(
        'i' * record.MAX_INCARNATION_LENGTH, 2**63, 2**31
    )
    largest = record.Claim(
        record.State.RAN,
        'a' * record.MAX_ATTEMPT_ID_LENGTH,
        b'b' * record.BODY_DIGEST_BYTES,
        record.MAX_ATTEMPT_NUMBER,
        answer,
    )
    full = record.Record(
        record.FORMAT,
        2**40,
        {
            number.to_bytes(16, 'big'): largest
            for number in range(record.MAX_CLAIMS)
        },
    )
    value = record.encode(full)
    assert len(value) <= record.MAX_CLAIMS * record.MAX_CLAIM_BYTES
    assert len(value) < 0.7 * store.MAX_VALUE_BYTES
    assert record.decode(value) == full
    extra = operations.claim_operation(epoch=2**40, number=record.MAX_CLAIMS)
    refused = record.claim(full, extra)
    assert refused.err_value.status is record.Status.FULL


def test_oversized_fields_are_invalid() -> None:
    """A peer must not be able to store a claim of arbitrary size."""
    assert record.is_valid(operations.claim_operation())
    assert not record.is_valid(operations.claim_operation('a' * 33))
    assert not record.is_valid(operations.claim_operation(body=b'b' * 17))
    operation = operations.claim_operation(attempt_number=2**31 + 1)
    assert not record.is_valid(operation)
    answer = record.AnswerRef('i' * 33, 0, 0)
    state = record.State.RAN
    assert not record.is_valid(
        operations.finish_operation(state, answer=answer)
    )


def test_key_limits_and_team_namespace() -> None:
    """A key of one team must never lead to a response of another team."""
    north = key.parse('176000000-a', 'north').unwrap()
    south = key.parse('176000000-a', 'south').unwrap()
    assert north.key_id != south.key_id and len(north.key_id) == 16
    assert 0 <= north.shard < key.SHARD_COUNT
    for text in ('-a', '1-', '01-a', '1-a b', '1-' + 'a' * 127, '٣-a'):
        assert key.parse(text, 'north').is_err()
    assert key.is_ahead(107, 1000.0) and not key.is_ahead(106, 1000.0)
