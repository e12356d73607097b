"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""
from __future__ import annotations

import asyncio
import json
import socket
import typing

HOST: typing.Final = '127.0.0.1'
CALL_TIMEOUT_SECONDS: typing.Final = 3.0

# Returns a status and a JSON value; None breaks the connection off.
Handler = typing.Callable[
    [str, str, typing.Mapping[str, str], bytes],
    typing.Awaitable[typing.Optional[tuple[int, object]]],
]


def free_ports(count: int) -> list[int]:
    """Return unused ports of the loopback address."""
    probes = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((HOST, 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return first, headers, body


class Server:
    """Serves one address; ``close`` also resets open connections.

    :param most_connections: further ones are reset; 0 for no limit.
    """

    def __init__(self, handler: Handler, most_connections: int = 0) -> None:
        self._handler = handler
        self._most_connections = most_connections
        self._server: asyncio.base_events.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=2**22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if 0 < self._most_connections <= len(self._writers):
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(' ')
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    'content-type: application/json\r\n'
                    f'content-length: {len(data)}\r\n\r\n'.encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(
    port: int,
    method: str,
    target: str,
    headers: typing.Mapping[str, str],
    value: object = None,
) -> tuple[int, typing.Any] | None:
    """Return status and JSON value, None for no whole answer in time.

    A refused connection is status 0.
    """
    try:
        return await asyncio.wait_for(
            _call(port, method, target, headers, value), CALL_TIMEOUT_SECONDS
        )
    except (asyncio.TimeoutError, ConnectionError, EOFError, OSError):
        return None


async def _call(
    port: int,
    method: str,
    target: str,
    headers: typing.Mapping[str, str],
    value: object,
) -> tuple[int, typing.Any]:
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except ConnectionRefusedError:
        return 0, None
    try:
        data = b'' if value is None else json.dumps(value).encode()
        lines = [f'{method} {target} HTTP/1.1', 'connection: close']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines.append(f'content-length: {len(data)}')
        if data:
            lines.append('content-type: application/json')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)
        message = await _read_message(reader)
        if message is None:
            raise EOFError('no answer')
        first, _, body = message
        status = int(first.split(' ')[1])
        return status, json.loads(body) if body else None
    finally:
        writer.transport.abort()
