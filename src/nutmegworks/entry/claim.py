"""Runs non-idempotent requests at most once per idempotency key."""
from __future__ import annotations

import time
import typing

import curio
import result
import xxhash

from nutmegworks.claims import answers
from nutmegworks.claims import record
from nutmegworks.claims import service as claim_service
from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.entry import headers
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.net import message

DRAIN_POLL_SECONDS: typing.Final = 0.02

_STATE_BY_VERDICT: typing.Final = {
    verdict.Verdict.DID_NOT_RUN: record.State.DID_NOT_RUN,
    verdict.Verdict.MAY_HAVE_RUN: record.State.MAY_HAVE_RUN,
    verdict.Verdict.RAN: record.State.RAN,
}


class ClaimFilter(entry_filter.Filter):
    """Claims the idempotency key before the request is sent to an upstream.

    Requests of idempotent classes need no claim.
    """

    def __init__(
        self,
        claims: claim_service.ClaimService,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._claims = claims
        self._clock = clock
        self._unsaved_outcomes = 0

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        if context.entitled_class.idempotent:
            return await proceed(context)
        key = context.request.headers.get(headers.KEY, '')
        if not key:
            return entry_filter.refuse(
                verdict.did_not_run(
                    verdict.Reason.KEY_REQUIRED,
                    f'class {context.entitled_class.class_id} needs the '
                    f'header {headers.KEY}',
                )
            )
        context.key = ids.IdempotencyKey(key)
        digest = body_digest(context)
        claimed = await self._claims.claim_or_wait(
            key,
            context.team_id,
            digest,
            attempt_number=context.attempt_number,
            timeout=context.deadline - self._clock(),
        )
        context.claim_checked = True
        if isinstance(claimed, result.Err):
            return claimed
        if isinstance(claimed.ok_value, claim_service.Finished):
            return result.Ok(
                _replayed_response(context, claimed.ok_value.answer)
            )
        return await self._run(
            context, proceed, key, claimed.ok_value.attempt_id
        )

    async def _run(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
        key: str,
        attempt_id: ids.AttemptId,
    ) -> entry_filter.Outcome:
        state = record.State.MAY_HAVE_RUN
        answer: answers.Answer | None = None
        try:
            outcome = await proceed(context)
            if isinstance(outcome, result.Err):
                state = _STATE_BY_VERDICT[outcome.err_value.verdict]
            else:
                state = record.State.RAN
                response = outcome.ok_value
                answer = answers.Answer(
                    response.headers.get('content-type', ''), response.body
                )
        finally:
            self._unsaved_outcomes += 1
            await curio.spawn(
                self._finish,
                key,
                context.team_id,
                attempt_id,
                state,
                answer,
                daemon=True,
            )
        return outcome

    async def _finish(
        self,
        key: str,
        team_id: ids.TeamId,
        attempt_id: ids.AttemptId,
        state: record.State,
        answer: answers.Answer | None,
    ) -> None:
        """Store the outcome of an attempt; the caller does not wait for it."""
        try:
            await self._claims.finish(
                key, team_id, attempt_id, state, answer=answer
            )
        finally:
            self._unsaved_outcomes -= 1

    async def drain(self, timeout: float) -> None:
        """Wait until the outcomes of answered requests are stored.

        :param timeout: seconds.
        """
        deadline = self._clock() + timeout
        while self._unsaved_outcomes and self._clock() < deadline:
            await curio.sleep(DRAIN_POLL_SECONDS)


def body_digest(context: entry_context.RequestContext) -> bytes:
    """Return a digest that detects reuse of a key for another request."""
    digest = xxhash.xxh3_128(context.service_id.encode())
    digest.update(b'\0')
    digest.update(context.entitled_class.class_id.encode())
    digest.update(b'\0')
    digest.update(context.request.body)
    return digest.digest()


def _replayed_response(
    context: entry_context.RequestContext,
    answer: answers.Answer,
) -> message.Response:
    fields = {
        'content-type': answer.content_type,
        headers.REQUEST_ID: context.request_id,
        headers.VERDICT: verdict.Verdict.RAN.value,
        headers.REPLAYED: 'true',
    }
    return message.Response(200, fields, answer.body)


__all__ = ('ClaimFilter', 'body_digest')
