"""Collects events in memory and stores them as JSON lines."""
from __future__ import annotations

import pathlib
import threading
import typing

import msgspec

from nutmegworks.history import events


class Recorder:
    """Collects events; safe to use from several threads."""

    def __init__(self) -> None:
        self._events: list[events.Event] = []
        self._lock = threading.Lock()

    def record(self, event: events.Event) -> None:
        with self._lock:
            self._events.append(event)

    def merged(
        self,
        *others: typing.Iterable[events.Event],
    ) -> list[events.Event]:
        """Return the recorded and the other events, ordered by time."""
        all_events = list(self._events)
        for other in others:
            all_events.extend(other)
        return sorted(all_events, key=lambda event: event.at)


def write(path: pathlib.Path, history: typing.Iterable[events.Event]) -> None:
    """Write a history as JSON lines."""
    path.write_bytes(msgspec.json.Encoder().encode_lines(list(history)))


def read(path: pathlib.Path) -> list[events.Event]:
    """Read a history that ``write`` stored.

    :raises msgspec.DecodeError: if a line is not an event.
    """
    decoder = msgspec.json.Decoder(events.Event)
    return decoder.decode_lines(path.read_bytes())


__all__ = ('Recorder', 'read', 'write')
