"""Refuses requests while the daemon has no configuration."""
from __future__ import annotations

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.model import published
from nutmegworks.model import verdict
from nutmegworks.model import work

RETRY_AFTER_SECONDS = 1.0


class ReadinessFilter(entry_filter.Filter):

    def __init__(
        self,
        configuration: published.Published[work.Configuration],
    ) -> None:
        self._configuration = configuration

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        if self._configuration.value is None:
            return entry_filter.refuse(
                verdict.did_not_run(
                    verdict.Reason.NOT_READY,
                    'no configuration has been received yet',
                    retry_after=RETRY_AFTER_SECONDS,
                )
            )
        return await proceed(context)


__all__ = ('ReadinessFilter', )
