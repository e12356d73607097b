"""Writes finished trace spans of ``nutmegd`` to a file."""
from __future__ import annotations

import typing

import curio
import logbook

from nutmegworks.telemetry import spans

FLUSH_INTERVAL_SECONDS: typing.Final = 1.0

_LOG: typing.Final = logbook.Logger('spans')


class SpanWriter:
    """Appends spans to a file as lines of OTLP JSON.

    :param path: of the file; empty to discard the spans.
    """

    def __init__(self, tracer: spans.Tracer, path: str) -> None:
        self._tracer = tracer
        self._path = path

    async def run(self) -> None:
        """Flush the spans periodically until cancelled."""
        while True:
            await curio.sleep(FLUSH_INTERVAL_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write the spans that finished since the last flush."""
        line = self._tracer.take()
        if not line or not self._path:
            return
        try:
            with open(self._path, 'ab') as file:
                file.write(line)
        except OSError as error:
            _LOG.warning('spans not written', detail=str(error))


__all__ = ('FLUSH_INTERVAL_SECONDS', 'SpanWriter')
