"""A small HTTP/1.1 server and client on asyncio streams."""
from __future__ import annotations

import asyncio
import json
import secrets
import socket
import typing

HOST: typing.Final = '127.0.0.1'
MAX_HEAD_BYTES: typing.Final = 64 * 1024


class Hangup(Exception):
    """Raised by a handler to close the connection without an answer."""


Handler = typing.Callable[
    [str, str, dict[str, str], bytes],
    typing.Awaitable[tuple[int, object]],
]


# Below the ports that the kernel gives to outgoing connections.
_PORTS: typing.Final = range(20_000, 32_000)
_allocated: set[int] = set()


def free_port() -> int:
    """Return a port that nothing listens on and no earlier call returned."""
    while True:
        port = secrets.choice(_PORTS)
        if port in _allocated:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _allocated.add(port)
        return port


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return first line, headers and body.

    :raise EOFError: the connection was closed.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size) if size else b''
    return lines[0], headers, body


class Server:
    """Serves one port; a cut holds all bytes, as a silent partition does.

    What arrives during a cut is not carried out: its sender has given up or
    its connection is reset when the cut ends.

    :param cap: open connections; further ones are reset.
    """

    def __init__(self, handler: Handler, port: int, cap: int = 4096) -> None:
        self.port = port
        self._cap = cap
        self.over_cap = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.is_cut = False

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=MAX_HEAD_BYTES, backlog=1024
        )

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def cut(self) -> None:
        self.is_cut = True

    def heal(self) -> None:
        self.is_cut = False
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= self._cap:
            self.over_cap += 1
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if self.is_cut:
                    # Until the cut ends, and with it the connection.
                    await asyncio.sleep(3600)
                method, target, _ = line.split(' ', 2)
                status, value = await self._handler(
                    method, target, headers, body
                )
                if self.is_cut:
                    await asyncio.sleep(3600)
                payload = json.dumps(value).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n' % (status, len(payload)) +
                    payload
                )
                await writer.drain()
        except (Hangup, EOFError, OSError, asyncio.CancelledError,
                asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(
    port: int,
    method: str,
    target: str,
    headers: typing.Mapping[str, str],
    body: bytes = b'',
    *,
    timeout: float,
) -> tuple[int, dict] | None:
    """Return status and decoded body, None without an answer in time."""

    async def exchange() -> tuple[int, dict]:
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            lines += [f'content-length: {len(body)}', '', '']
            writer.write('\r\n'.join(lines).encode() + body)
            line, _, answer = await read_message(reader)
            return int(line.split(' ')[1]), json.loads(answer or b'{}')
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (EOFError, OSError, asyncio.TimeoutError,
            asyncio.IncompleteReadError, ValueError):
        return None
