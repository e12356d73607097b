"""A stream for log lines that never makes its writer wait for a reader."""
from __future__ import annotations

import collections
import datetime
import os
import select
import typing

import msgspec

# Lines that wait for their reader; some thousands.
MAX_WAITING_BYTES: typing.Final = 1024 * 1024


class LogStream:
    """Writes whole lines to a file descriptor as far as it takes them.

    Lines that it does not take wait in memory for the next write or flush.
    Beyond the limit further lines are dropped; a line with their number
    follows once the others have been written.

    :param descriptor: of a file, pipe, socket or terminal.
    :param max_waiting: bytes.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        max_waiting: int = MAX_WAITING_BYTES,
    ) -> None:
        self._descriptor = descriptor
        self._max_waiting = max_waiting
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._dropped_lines = 0
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line, its end included, now or later."""
        data = line.encode('utf-8', 'backslashreplace')
        if self._dropped_lines or (self._waiting_bytes + len(data)
                                   > self._max_waiting):
            self._dropped_lines += 1
        else:
            self._append(data)

    def flush(self) -> None:
        """Write what waits, as far as the descriptor takes it."""
        while self._waiting and self._takes_bytes():
            data = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, data[:select.PIPE_BUF])
            except OSError:
                # The reader has gone for good.
                written = len(data)
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting.appendleft(data[written:])
            elif not self._waiting and self._dropped_lines:
                self._append(_dropped_line(self._dropped_lines))
                self._dropped_lines = 0

    def _append(self, data: bytes) -> None:
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _takes_bytes(self) -> bool:
        """Return whether a write of PIPE_BUF bytes does not wait."""
        events = self._poller.poll(0)
        return bool(events) and not events[0][1] & select.POLLNVAL


def _dropped_line(lines: int) -> bytes:
    fields = {
        'time': datetime.datetime.now(datetime.UTC).replace(tzinfo=None),
        'level': 'warning',
        'logger': 'log',
        'message': 'log lines dropped because nobody read the log',
        'lines': lines,
    }
    return msgspec.json.encode(fields) + b'\n'


__all__ = ('LogStream', 'MAX_WAITING_BYTES')
