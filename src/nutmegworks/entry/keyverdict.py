"""Makes the verdict of a refusal hold for the key, not for one attempt."""
from __future__ import annotations

import dataclasses

import result

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.entry import headers
from nutmegworks.model import verdict
from nutmegworks.net import message


def attempt_number(fields: message.Headers) -> int:
    """Return the caller's count of its attempts; 0 if it does not count."""
    text = fields.get(headers.ATTEMPT, '')
    valid = text.isascii() and text.isdigit() and len(text) <= 6
    return int(text) if valid else 0


def adjust(
    fields: message.Headers | None,
    refusal: verdict.Refusal,
) -> verdict.Refusal:
    """Return a refusal that was decided without the claim of the key.

    :param fields: headers of the request; None if they were not read.
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
    """Runs first, so that it sees every refusal.

    A daemon that refuses before it has read the claim can't know whether an
    earlier attempt with this key has run, unless the caller declares that
    there was none.
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
        if context.claim_settled:
            return outcome
        return entry_filter.refuse(adjust(fields, outcome.err_value))


__all__ = ('KeyVerdictFilter', 'adjust', 'attempt_number')
