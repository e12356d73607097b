"""Log lines that nobody reads, or that are read late."""
from __future__ import annotations

import json
import os
import threading
import typing

import logbook
import pytest

from nutmegworks.telemetry import log_stream
from nutmegworks.telemetry import logs

LINES: typing.Final = 4000
TIMEOUT_SECONDS: typing.Final = 20.0

Pipe = tuple[int, int]


@pytest.fixture
def pipe() -> typing.Iterator[Pipe]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(writer)
    os.close(reader)


def _read(reader: int) -> list[dict[str, typing.Any]]:
    """Return the lines that a pipe holds."""
    os.set_blocking(reader, False)
    data = b''
    while True:
        try:
            chunk = os.read(reader, 65536)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += chunk


def _log_lines(handler: logs.JsonHandler, count: int) -> None:
    log = logbook.Logger('test')
    with handler.applicationbound():
        for number in range(count):
            log.info('call answered', number=number, text='x' * 300)


def _handler(stream: log_stream.LogStream) -> logs.JsonHandler:
    return logs.JsonHandler(stream, lines_per_second=LINES)


def test_daemon_does_not_wait_for_the_reader_of_its_log(pipe: Pipe) -> None:
    """Guards against a daemon that answers nothing while its log is unread."""
    _, writer = pipe
    stream = log_stream.LogStream(writer)
    thread = threading.Thread(
        target=_log_lines, args=(_handler(stream), LINES), daemon=True
    )
    thread.start()
    thread.join(TIMEOUT_SECONDS)
    assert not thread.is_alive()


def test_lines_of_a_late_reader_are_whole_and_dropped_ones_counted(
    pipe: Pipe
) -> None:
    """Guards against a gap in the log that nobody can see."""
    reader, writer = pipe
    stream = log_stream.LogStream(writer, max_waiting=100_000)
    _log_lines(_handler(stream), LINES)
    lines = _read(reader)
    while True:
        stream.flush()
        more = _read(reader)
        if not more:
            break
        lines += more
    *kept, last = lines
    assert [line['number'] for line in kept] == list(range(len(kept)))
    assert last['level'] == 'warning'
    assert last['lines'] == LINES - len(kept)
    assert 0 < len(kept) < LINES


def test_log_continues_after_its_reader_was_late(pipe: Pipe) -> None:
    """Guards against a log that stays silent once lines were dropped."""
    reader, writer = pipe
    stream = log_stream.LogStream(writer, max_waiting=1000)
    handler = _handler(stream)
    _log_lines(handler, LINES)
    while _read(reader):
        stream.flush()
    _log_lines(handler, 1)
    assert [line['number'] for line in _read(reader)] == [0]


def test_log_without_a_reader_ends_no_daemon() -> None:
    """Guards against a daemon that ends with the reader of its log."""
    reader, writer = os.pipe()
    os.close(reader)
    try:
        _log_lines(_handler(log_stream.LogStream(writer)), 10)
    finally:
        os.close(writer)
