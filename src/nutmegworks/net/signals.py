"""Delivers POSIX signals to a curio task."""
from __future__ import annotations

import signal
import socket
import types
import typing

import curio.io


def _ignore(number: int, frame: types.FrameType | None) -> None:
    # The signal number is delivered by the wake-up file descriptor. The
    # handler only replaces the default action.
    pass


class SignalReceiver:
    """Receives signals over the interpreter's wake-up file descriptor.

    A handler that wakes a task directly could deadlock, because Python may
    run it between any two instructions of the curio kernel.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        self._numbers = numbers
        self._writer: socket.socket | None = None
        self._reader: curio.io.Socket | None = None

    async def __aenter__(self) -> SignalReceiver:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio.io.Socket(reader)
        for number in self._numbers:
            signal.signal(number, _ignore)
        signal.set_wakeup_fd(self._writer.fileno())
        return self

    async def __aexit__(self, *details: typing.Any) -> None:
        signal.set_wakeup_fd(-1)
        for number in self._numbers:
            signal.signal(number, signal.SIG_DFL)
        if self._writer is not None:
            self._writer.close()
        if self._reader is not None:
            await self._reader.close()

    async def get(self) -> signal.Signals:
        """Wait for one of the signals and return it."""
        assert self._reader is not None
        while True:
            number = (await self._reader.recv(1))[0]
            if number in self._numbers:
                return signal.Signals(number)


__all__ = ('SignalReceiver', )
