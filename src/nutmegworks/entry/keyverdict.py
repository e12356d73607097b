"""Makes the verdict of a refusal cover all attempts with a key."""
from __future__ import annotations

import dataclasses

import result

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.entry import headers
from nutmegworks.model import verdict
from nutmegworks.net import message


def attempt_number(fields: message.Headers) -> int:
    """Return the attempt number sent by the caller.

    :return: from 1; 0 if the header is missing or invalid.
    """
    text = fields.get(headers.ATTEMPT, '')
    valid = text.isascii() and text.isdigit() and len(text) <= 6
    return int(text) if valid else 0


def adjust_refusal(
    fields: message.Headers | None,
    refusal: verdict.Refusal,
) -> verdict.Refusal:
    """Return the refusal with a verdict for all attempts with the key.

    The verdict did-not-run becomes may-have-run, unless the request has no
    key or is the first attempt.

    :param fields: headers of the request; None if they were not read.
    :param refusal: made before the claim of the key was read.
    """
    if refusal.verdict is not verdict.Verdict.DID_NOT_RUN:
        return refusal
    if fields is not None:
        if headers.KEY not in fields or attempt_number(fields) == 1:
            return refusal
    return dataclasses.replace(
        refusal,
        verdict=verdict.Verdict.MAY_HAVE_RUN,
        detail=f'{refusal.detail}; this attempt did not run, an earlier one '
        'may have',
    )


class KeyVerdictFilter(entry_filter.Filter):
    """Adjusts refusals; runs early in the chain to see those of all filters.

    A daemon that refuses a request before it has read the claim can't know
    whether an earlier attempt with the key has run, unless the caller
    declares that there was none.
    """

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        fields = context.request.headers
        context.attempt_number = attempt_number(fields)
        outcome = await proceed(context)
        if isinstance(outcome, result.Ok):
            return outcome
        if context.claim_checked:
            return outcome
        return entry_filter.refuse(adjust_refusal(fields, outcome.err_value))


__all__ = ('KeyVerdictFilter', 'adjust_refusal', 'attempt_number')
