"""Converts replies to claim operations into refusals with their verdict."""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.claims import key as claim_key
from nutmegworks.claims import record
from nutmegworks.model import verdict

RETRY_AFTER_SECONDS: typing.Final = 1.0

IN_PROGRESS: typing.Final = verdict.may_have_run(
    verdict.Reason.IN_PROGRESS,
    'another attempt holds this key',
    retry_after=RETRY_AFTER_SECONDS,
)
KEY_REUSED: typing.Final = verdict.may_have_run(
    verdict.Reason.KEY_REUSED,
    'the key was used with another body',
)
ANSWER_LOST: typing.Final = verdict.Refusal(
    verdict.Verdict.RAN,
    verdict.Reason.ANSWER_LOST,
    'the request ran; its response was not kept',
)
ANSWER_UNREACHABLE: typing.Final = verdict.Refusal(
    verdict.Verdict.RAN,
    verdict.Reason.STORE_UNAVAILABLE,
    'the request ran; its response cannot be read now',
    RETRY_AFTER_SECONDS,
)

# Refusals whose verdict does not depend on the attempt number.
_REFUSAL_BY_STATUS: typing.Final = {
    record.Status.IN_PROGRESS:
    IN_PROGRESS,
    record.Status.FINISHED:
    verdict.may_have_run(
        verdict.Reason.UPSTREAM_FAILED,
        'an earlier attempt may have run',
    ),
    record.Status.KEY_REUSED:
    KEY_REUSED,
    # Keys are neither added to nor dropped from a full record, so one that it
    # lacks was never claimed.
    record.Status.FULL:
    verdict.did_not_run(
        verdict.Reason.OVERLOADED,
        'too many keys of this epoch; use a new key',
        retry_after=float(claim_key.EPOCH_SECONDS),
    ),
}

# Refusals from which it is unknown whether the key was ever claimed.
_UNCERTAIN_BY_STATUS: typing.Final = {
    record.Status.EXPIRED: (
        verdict.Reason.KEY_EXPIRED,
        'the key is older than the store keeps',
        None,
    ),
    record.Status.STORE_UNAVAILABLE: (
        verdict.Reason.STORE_UNAVAILABLE,
        'the store did not confirm the claim',
        RETRY_AFTER_SECONDS,
    ),
    record.Status.OVERLOADED: (
        verdict.Reason.OVERLOADED,
        'too many claims are waiting',
        RETRY_AFTER_SECONDS,
    ),
}


def refusal(reply: record.Reply, attempt_number: int) -> verdict.Refusal:
    """Return the refusal for a claim that was not granted.

    :param attempt_number: the caller's count of its attempts, from 1; 0 if the
        caller does not count.
    """
    if reply.status is record.Status.ATTEMPT_OVER:
        return _attempt_over(reply.claim, attempt_number)
    refused = _REFUSAL_BY_STATUS.get(reply.status)
    if refused is not None:
        return refused
    reason, detail, retry_after = _UNCERTAIN_BY_STATUS.get(
        reply.status,
        (verdict.Reason.INTERNAL, f'claim: {reply.status.value}', None),
    )
    # Before a first attempt no other can have run, unless the key is known to
    # have been claimed. An unconfirmed write may still take effect and leave
    # the key claimed.
    never_ran = (
        attempt_number == 1 and not reply.write_sent and reply.claim is None
    )
    build = verdict.did_not_run if never_ran else verdict.may_have_run
    return build(reason, detail, retry_after=retry_after)


def _attempt_over(
    existing: record.Claim | None,
    attempt_number: int,
) -> verdict.Refusal:
    # A later attempt may have run since then, unless neither attempt has a
    # number: then the key can't be claimed again.
    uncounted = (
        attempt_number == 0 and existing and existing.attempt_number == 0
    )
    build = verdict.did_not_run if uncounted else verdict.may_have_run
    return build(
        verdict.Reason.CONFLICT,
        'an attempt with this key has ended; use a new key, or a higher '
        'number of the attempt',
    )


def epoch_ahead(attempt_number: int) -> verdict.Refusal:
    """Return the refusal for a key whose epoch is too far in the future."""
    first = attempt_number == 1
    build = verdict.did_not_run if first else verdict.may_have_run
    return build(
        verdict.Reason.BAD_REQUEST, "the key's epoch lies in the future"
    )


def is_other_body(reply: record.Reply, body_digest: bytes) -> bool:
    """Return whether the key was claimed with another request body."""
    existing = reply.claim
    return existing is not None and existing.body_digest != body_digest


def is_free(reply: record.Reply) -> bool:
    """Return whether a key could be claimed when it was looked up."""
    if reply.status is record.Status.ABSENT:
        return True
    existing = reply.claim
    return existing is not None and existing.state is record.State.DID_NOT_RUN


def is_held_by(reply: record.Reply, attempt_id: str) -> bool:
    """Return whether an attempt holds the key."""
    existing = reply.claim
    return (
        existing is not None and existing.state is record.State.CLAIMED
        and existing.attempt_id == attempt_id
    )


def is_final(reply: record.Reply) -> bool:
    """Return whether polling for an outcome can end."""
    return reply.status in (record.Status.FINISHED, record.Status.EXPIRED)


def after(earlier: record.Reply, reply: record.Reply) -> record.Reply:
    """Return the reply to an operation that was applied more than once.

    It keeps what an earlier reply says of a claim and of unconfirmed writes.
    """
    return msgspec.structs.replace(
        reply,
        claim=reply.claim or earlier.claim,
        write_sent=reply.write_sent or earlier.write_sent,
    )


__all__ = (
    'ANSWER_LOST',
    'ANSWER_UNREACHABLE',
    'IN_PROGRESS',
    'KEY_REUSED',
    'RETRY_AFTER_SECONDS',
    'after',
    'epoch_ahead',
    'is_final',
    'is_free',
    'is_held_by',
    'is_other_body',
    'refusal',
)
