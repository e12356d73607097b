"""Tracing filter: records a span, a log line and metrics per request."""
from __future__ import annotations

import time
import typing

import logbook
import result

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.telemetry import metrics as telemetry_metrics
from nutmegworks.telemetry import spans

_LOG: typing.Final = logbook.Logger('entry')


class TraceFilter(entry_filter.Filter):
    """Records each request that passes the chain."""

    def __init__(
        self,
        tracer: spans.Tracer,
        metrics: telemetry_metrics.Metrics,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._tracer = tracer
        self._metrics = metrics
        self._clock = clock

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        parent = context.request.headers.get(spans.TRACEPARENT_HEADER, '')
        span = self._tracer.start('entry', traceparent=parent)
        context.span = span
        self._metrics.in_flight.inc({})
        try:
            outcome = await proceed(context)
        finally:
            self._metrics.in_flight.dec({})
        self._record(context, outcome, span)
        return outcome

    def _record(
        self,
        context: entry_context.RequestContext,
        outcome: entry_filter.Outcome,
        span: spans.Span,
    ) -> None:
        outcome_name = 'answered'
        if isinstance(outcome, result.Err):
            outcome_name = outcome.err_value.reason.value
        class_id = ''
        if context.work_class is not None:
            class_id = context.work_class.class_id
        labels = {'class': class_id, 'outcome': outcome_name}
        self._metrics.requests.inc(labels)
        seconds = self._clock() - context.received_at
        self._metrics.request_seconds.observe({'class': class_id}, seconds)
        span.attributes['request_id'] = context.request_id
        span.attributes['outcome'] = outcome_name
        self._tracer.finish(span)
        _LOG.info(
            'request finished',
            request_id=context.request_id,
            trace_id=span.trace_id,
            span_id=span.span_id,
            work_class=class_id,
            outcome=outcome_name,
            attempts=context.attempts,
            milliseconds=round(seconds * 1000, 3),
        )


__all__ = ('TraceFilter', )
