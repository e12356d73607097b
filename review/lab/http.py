"""HTTP/1.1 over asyncio: as much of it as the stand-ins need."""
from __future__ import annotations

import asyncio
import json
import typing
import urllib.parse

HOST: typing.Final = '127.0.0.1'


class Request(typing.NamedTuple):
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        return json.loads(self.body)


class Response(typing.NamedTuple):
    status: int
    value: typing.Any = None


class Reset(Exception):
    """Raised by a handler to reset the connection without an answer."""


Handler = typing.Callable[[Request], typing.Awaitable[Response]]


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves one address; can be closed as by the end of its process."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.base_events.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        return f'{HOST}:{self.port}'

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(' ')
                length = int(headers.get('content-length', '0'))
                body = await reader.readexactly(length)
                path, _, query = target.partition('?')
                answer = await self._handler(
                    Request(
                        method, path, dict(urllib.parse.parse_qsl(query)),
                        headers, body
                    )
                )
                writer.write(_encode(answer))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        except Reset:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()


def _encode(answer: Response) -> bytes:
    body = b'' if answer.value is None else json.dumps(answer.value).encode()
    return (
        f'HTTP/1.1 {answer.status} X\r\ncontent-type: application/json\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    ).encode() + body


class Answer(typing.NamedTuple):
    """What a client got; status 0 if the connection broke, with a reason."""

    status: int
    value: typing.Any = None
    detail: str = ''
    retry_after: float = 0.0


async def call(
    port: int,
    method: str,
    target: str,
    *,
    headers: typing.Mapping[str, str],
    body: bytes = b'',
    timeout: float,
) -> Answer:
    """Send one call over a new connection."""
    try:
        return await asyncio.wait_for(
            _exchange(port, method, target, headers, body), timeout
        )
    except (asyncio.TimeoutError, TimeoutError):
        return Answer(0, detail=f'no answer in {timeout:.1f} s')
    except (OSError, EOFError, asyncio.IncompleteReadError) as error:
        return Answer(0, detail=repr(error))


async def _exchange(
    port: int,
    method: str,
    target: str,
    headers: typing.Mapping[str, str],
    body: bytes,
) -> Answer:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += [f'content-length: {len(body)}', '', '']
        writer.write('\r\n'.join(lines).encode() + body)
        await writer.drain()
        first, answered = await _read_head(reader)
        data = await reader.readexactly(int(answered['content-length']))
        return Answer(
            int(first.split(' ')[1]),
            json.loads(data) if data else None,
            retry_after=float(answered.get('retry-after', '0')),
        )
    finally:
        writer.close()
