"""Turns replies of the claim record into refusals with a true verdict."""
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

# Refusals that are MAY_HAVE_RUN whatever the caller declares.
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
    # No key is dropped from a full record or added to it, so a key that it
    # lacks was never claimed.
    record.Status.FULL:
    verdict.did_not_run(
        verdict.Reason.OVERLOADED,
        'too many keys of this epoch; use a new key',
        retry_after=float(claim_key.EPOCH_SECONDS),
    ),
}

# Refusals that don't say whether the key was ever claimed.
_UNKNOWN_BY_STATUS: typing.Final = {
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

    :param attempt_number: the caller's count from 1; 0 if it does not count.
    """
    if reply.status is record.Status.ATTEMPT_OVER:
        return _attempt_over(reply.claim, attempt_number)
    known = _REFUSAL_BY_STATUS.get(reply.status)
    if known is not None:
        return known
    reason, detail, retry_after = _UNKNOWN_BY_STATUS.get(
        reply.status,
        (verdict.Reason.INTERNAL, f'claim: {reply.status.value}', None),
    )
    # Another attempt can have run only if there was one. A write that may
    # yet take effect leaves the key claimed.
    never_ran = attempt_number == 1 and not reply.write_sent
    state = verdict.did_not_run if never_ran else verdict.may_have_run
    return state(reason, detail, retry_after=retry_after)


def _attempt_over(
    held: record.Claim | None,
    attempt_number: int,
) -> verdict.Refusal:
    # A later attempt may have run since, unless the caller counts none: then
    # nobody can claim the key again.
    uncounted = attempt_number == 0 and held and held.attempt_number == 0
    state = verdict.did_not_run if uncounted else verdict.may_have_run
    return state(
        verdict.Reason.CONFLICT,
        'an attempt with this key has ended; use a new key, or a higher '
        'number of the attempt',
    )


def ahead(attempt_number: int) -> verdict.Refusal:
    """Return the refusal for a key whose epoch is ahead of the clock."""
    first = attempt_number == 1
    state = verdict.did_not_run if first else verdict.may_have_run
    return state(
        verdict.Reason.BAD_REQUEST, "the key's epoch lies in the future"
    )


def is_other_body(reply: record.Reply, body_digest: bytes) -> bool:
    """Return whether a key was claimed for another request."""
    held = reply.claim
    return held is not None and held.body_digest != body_digest


def is_free(reply: record.Reply) -> bool:
    """Return whether a key may be claimed as of a read."""
    if reply.status is record.Status.ABSENT:
        return True
    held = reply.claim
    return held is not None and held.state is record.State.DID_NOT_RUN


def is_settled(reply: record.Reply) -> bool:
    """Return whether polling for an outcome can end."""
    return reply.status in (record.Status.FINISHED, record.Status.EXPIRED)


def with_write_sent(reply: record.Reply) -> record.Reply:
    """Return the reply, marked as having an unconfirmed write."""
    return msgspec.structs.replace(reply, write_sent=True)


__all__ = (
    'ANSWER_LOST',
    'ANSWER_UNREACHABLE',
    'IN_PROGRESS',
    'KEY_REUSED',
    'RETRY_AFTER_SECONDS',
    'ahead',
    'is_free',
    'is_other_body',
    'is_settled',
    'refusal',
    'with_write_sent',
)
