"""Builds operations on the record of one shard and epoch."""
from __future__ import annotations

from nutmegworks.claims import record

EPOCH = 176_000_000


def claim_operation(
    attempt_id='a', epoch=EPOCH, number=0, body=b'b' * 16, attempt_number=1
):
    key_id = number.to_bytes(16, 'big')
    return record.ClaimOperation(
        epoch, 0, key_id, attempt_id, body, attempt_number
    )


def finish_operation(state, attempt_id='a', epoch=EPOCH, answer=None):
    key_id = bytes(16)
    return record.FinishOperation(epoch, 0, key_id, attempt_id, state, answer)


def claimed(attempt_id='a'):
    return record.claim(record.empty(0), claim_operation(attempt_id)).unwrap()


__all__ = ('EPOCH', 'claim_operation', 'claimed', 'finish_operation')
