"""A TCP relay that injects connection faults on command."""
from __future__ import annotations

import contextlib
import enum
import signal
import typing

import curio
import curio.socket
import msgspec
import typer

from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.net import signals

CHUNK_BYTES: typing.Final = 65536
DELAY_SECONDS: typing.Final = 0.2


class Mode(enum.Enum):
    """How connections are treated.

    SILENT discards all data on the connections that are open when it is set;
    new connections work. CUT closes open and new connections. ONE_WAY discards
    data from the target on all connections. DELAY forwards each chunk after
    DELAY_SECONDS.
    """

    PASS = 'pass'
    SILENT = 'silent'
    CUT = 'cut'
    ONE_WAY = 'one-way'
    DELAY = 'delay'


class _Command(msgspec.Struct):
    mode: Mode


class Relay:
    """Relays connections to one target address."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._mode = Mode.PASS
        self._silent_connections: set[int] = set()
        self._connections: dict[int, tuple[curio.io.Socket,
                                           curio.io.Socket]] = {}
        self._count = 0

    async def control(self, request: message.Request) -> message.Response:
        """Serve ``POST /fault`` with ``{"mode": ...}``."""
        self.set_mode(msgspec.json.decode(request.body, type=_Command).mode)
        return message.json_response(200, {})

    def set_mode(self, mode: Mode) -> None:
        """Treat connections by another mode from now on."""
        self._mode = mode
        if mode is Mode.SILENT:
            self._silent_connections.update(self._connections)
        if mode is Mode.CUT:
            for pair in list(self._connections.values()):
                for sock in pair:
                    _shut_down(sock)

    async def serve(self, sock: curio.io.Socket) -> None:
        """Relay one connection."""
        if self._mode is Mode.CUT:
            await sock.close()
            return
        try:
            upstream = await curio.open_connection(*self._target)
        except OSError:
            await sock.close()
            return
        self._count += 1
        number = self._count
        self._connections[number] = (sock, upstream)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, number, sock, upstream, False)
            await group.spawn(self._copy, number, upstream, sock, True)
        self._connections.pop(number, None)
        self._silent_connections.discard(number)
        await sock.close()
        await upstream.close()

    async def _copy(
        self,
        number: int,
        source: curio.io.Socket,
        sink: curio.io.Socket,
        from_target: bool,
    ) -> None:
        try:
            while data := await source.recv(CHUNK_BYTES):
                if self._mode is Mode.CUT:
                    return
                if self._mode is Mode.DELAY:
                    await curio.sleep(DELAY_SECONDS)
                discarded = self._mode is Mode.ONE_WAY and from_target
                if number not in self._silent_connections and not discarded:
                    await sink.sendall(data)
        except OSError:
            return


def _shut_down(sock: curio.io.Socket) -> None:
    with contextlib.suppress(OSError), sock.blocking() as plain:
        plain.shutdown(curio.socket.SHUT_RDWR)


async def _run(target: tuple[str, int]) -> None:
    relay = Relay(target)
    listener = curio.socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(256)
    control = server.Server(relay.control)
    await control.start('127.0.0.1', 0)
    address = listener.getsockname()
    print(
        f'{address[0]}:{address[1]} {control.address[0]}:{control.address[1]}',
        flush=True
    )
    async with signals.SignalReceiver(signal.SIGTERM) as received:
        task = await curio.spawn(accept, relay, listener, daemon=True)
        await received.get()
        await task.cancel()


async def accept(relay: Relay, listener: curio.io.Socket) -> None:
    """Relay every connection of a listener, until cancelled."""
    while True:
        sock, _ = await listener.accept()
        await curio.spawn(relay.serve, sock, daemon=True)


def main(target: str) -> None:
    """Relay to ``ip:port``; print the addresses of relay and control."""
    host, _, port = target.rpartition(':')
    curio.run(_run, (host, int(port)))


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Mode', 'Relay', 'accept', 'main')
