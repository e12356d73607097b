"""Endpoint of synchronous requests: runs the filter chain."""
from __future__ import annotations

import secrets
import time
import typing

import logbook
import result

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.net import message
from nutmegworks.net import server

_LOG: typing.Final = logbook.Logger('entry')
REQUEST_ID_BYTES: typing.Final = 12


class RequestEndpoint:
    """Handles ``POST /v1/services/<service>/requests``."""

    def __init__(
        self,
        proceed: entry_filter.Proceed,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
        new_id: typing.Callable[[int], str] = secrets.token_hex,
    ) -> None:
        self._proceed = proceed
        self._clock = clock
        self._new_id = new_id

    async def handle(
        self,
        request: message.Request,
        parameters: typing.Mapping[str, str],
    ) -> message.Response:
        """Answer one request; each failure is answered with a verdict."""
        context = entry_context.RequestContext(
            request,
            ids.RequestId(self._new_id(REQUEST_ID_BYTES)),
            self._clock(),
            service_id=ids.ServiceId(parameters['service']),
        )
        try:
            outcome = await self._proceed(context)
        except Exception:
            _LOG.exception(
                'request failed inside the daemon',
                request_id=context.request_id,
            )
            outcome = result.Err(
                verdict.may_have_run(
                    verdict.Reason.INTERNAL, 'an internal error occurred'
                )
            )
        return respond(outcome)


def respond(outcome: entry_filter.Outcome) -> message.Response:
    """Return the HTTP response for an outcome."""
    if isinstance(outcome, result.Err):
        return server.refusal_response(outcome.err_value)
    return outcome.ok_value


__all__ = ('RequestEndpoint', 'respond')
