"""Structured log lines, rate-limited for each event."""
from __future__ import annotations

import collections
import sys
import time
import typing

import logbook
import msgspec

from nutmegworks.telemetry import log_stream

# Keeps a failure that repeats with each request from filling the log.
LINES_PER_SECOND_PER_EVENT: typing.Final = 5

# After a pause, as many lines of an event may follow at once as this time
# allows.
_BURST_SECONDS: typing.Final = 2


class JsonHandler(logbook.StreamHandler):
    """Writes a JSON object per line and drops events above a rate limit.

    The next line that is written for an event gives the number of lines
    dropped before it as ``dropped_lines``.

    :param stream: by default the process's standard error.
    """

    def __init__(
        self,
        stream: log_stream.LogStream | None = None,
        *,
        level: str = 'info',
        lines_per_second: int = LINES_PER_SECOND_PER_EVENT,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(
            stream or log_stream.LogStream(sys.stderr.fileno()),
            level=level.upper(),
        )
        self._clock = clock
        self._rate = lines_per_second
        self._burst = _BURST_SECONDS * lines_per_second
        self._allowance_by_event: dict[str, tuple[float, float]] = {}
        self._dropped_by_event: collections.Counter[str] = (
            collections.Counter()
        )

    def emit(self, record: logbook.LogRecord) -> None:
        event = f'{record.channel}:{record.msg}'
        if not self._allowed(event):
            self._dropped_by_event[event] += 1
            return
        super().emit(record)

    def format(self, record: logbook.LogRecord) -> str:
        fields: dict[str, typing.Any] = {
            'time': record.time.isoformat(),
            'level': record.level_name.lower(),
            'logger': record.channel,
            'message': record.message,
            **record.kwargs,
        }
        dropped = self._dropped_by_event.pop(
            f'{record.channel}:{record.msg}', 0
        )
        if dropped:
            fields['dropped_lines'] = dropped
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return msgspec.json.encode(fields, enc_hook=str).decode()

    def _allowed(self, event: str) -> bool:
        now = self._clock()
        allowance, since = self._allowance_by_event.get(
            event, (self._burst, now)
        )
        allowance = min(self._burst, allowance + (now - since) * self._rate)
        if allowance < 1.0:
            self._allowance_by_event[event] = (allowance, now)
            return False
        self._allowance_by_event[event] = (allowance - 1.0, now)
        return True


__all__ = ('JsonHandler', 'LINES_PER_SECOND_PER_EVENT')
