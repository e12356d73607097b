"""Sets the deadline after which an answer is of no use."""
from __future__ import annotations

import time
import typing

import result

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.entry import headers
from nutmegworks.limits import deadline
from nutmegworks.model import verdict


class DeadlineFilter(entry_filter.Filter):
    """Uses the remaining time sent by the caller, or the class target.

    :param max_seconds: upper limit of the time for a request; a stopping
        daemon waits no longer than this.
    """

    def __init__(
        self,
        *,
        max_seconds: float,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._max_seconds = max_seconds
        self._clock = clock

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        text = context.request.headers.get(headers.DEADLINE)
        remaining = context.entitled_class.target
        if text is not None:
            parsed = deadline.parse_milliseconds(text)
            if isinstance(parsed, result.Err):
                return _refuse(
                    verdict.Reason.BAD_REQUEST,
                    f'{headers.DEADLINE} is {parsed.err_value}',
                )
            remaining = parsed.ok_value
        context.deadline = context.received_at + min(
            remaining, self._max_seconds
        )
        if context.deadline <= self._clock():
            return _refuse(
                verdict.Reason.DEADLINE, 'no time is left to run the request'
            )
        return await proceed(context)


def _refuse(reason: verdict.Reason, detail: str) -> entry_filter.Outcome:
    return entry_filter.refuse(verdict.did_not_run(reason, detail))


__all__ = ('DeadlineFilter')
