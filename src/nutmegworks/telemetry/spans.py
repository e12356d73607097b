"""Tracing spans, encoded as OTLP JSON lines."""
from __future__ import annotations

import dataclasses
import re
import secrets
import time
import typing

import msgspec

TRACEPARENT_HEADER: typing.Final = 'traceparent'

_TRACEPARENT: typing.Final = re.compile(
    r'^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$'
)
# Finished spans are kept in memory until written; when there are this many,
# newly finished ones are dropped.
MAX_PENDING_SPANS: typing.Final = 2048


@dataclasses.dataclass(slots=True)
class Span:
    """One hop of a request.

    :param start: Unix time in nanoseconds.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    start: int
    attributes: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def traceparent(self) -> str:
        """The W3C ``traceparent`` value for children of this span."""
        return f'00-{self.trace_id}-{self.span_id}-01'


class Tracer:
    """Starts spans and keeps finished ones until ``take`` is called.

    :ivar dropped: number of finished spans that were dropped.
    """

    def __init__(
        self,
        service_name: str,
        *,
        enabled: bool = True,
        clock: typing.Callable[[], int] = time.time_ns,
        new_id: typing.Callable[[int], str] = secrets.token_hex,
    ) -> None:
        self._service_name = service_name
        self._enabled = enabled
        self._clock = clock
        self._new_id = new_id
        self._finished: list[dict[str, typing.Any]] = []
        self.dropped = 0

    def start(self, name: str, *, traceparent: str = '') -> Span:
        """Start a span, as a child if a ``traceparent`` value is given."""
        match = _TRACEPARENT.match(traceparent)
        trace_id = match.group(1) if match else self._new_id(16)
        parent_id = match.group(2) if match else ''
        span_id = self._new_id(8)
        return Span(trace_id, span_id, parent_id, name, self._clock())

    def finish(self, span: Span) -> None:
        """End a span and keep it for ``take``, if tracing is enabled."""
        if not self._enabled:
            return
        if len(self._finished) >= MAX_PENDING_SPANS:
            self.dropped += 1
            return
        self._finished.append(_otlp_span(span, self._clock()))

    def take(self) -> bytes:
        """Return and forget the finished spans, as one OTLP JSON line.

        :return: empty if there are none.
        """
        if not self._finished:
            return b''
        spans, self._finished = self._finished, []
        value = {
            'resourceSpans': [
                {
                    'resource': {
                        'attributes':
                        [_attribute('service.name', self._service_name)]
                    },
                    'scopeSpans':
                    [{
                        'scope': {
                            'name': 'nutmegworks'
                        },
                        'spans': spans
                    }],
                }
            ]
        }
        return msgspec.json.encode(value) + b'\n'


def _attribute(key: str, value: str) -> dict[str, typing.Any]:
    return {'key': key, 'value': {'stringValue': value}}


def _otlp_span(span: Span, end: int) -> dict[str, typing.Any]:
    return {
        'traceId':
        span.trace_id,
        'spanId':
        span.span_id,
        'parentSpanId':
        span.parent_id,
        'name':
        span.name,
        'kind':
        2,
        'startTimeUnixNano':
        str(span.start),
        'endTimeUnixNano':
        str(end),
        'attributes':
        [_attribute(key, value) for key, value in span.attributes.items()],
    }


__all__ = ('MAX_PENDING_SPANS', 'Span', 'TRACEPARENT_HEADER', 'Tracer')
