"""Clients outside the limits, as a process beside the daemons.

    python -m tests.crowds.clients SHAPE COUNT TARGET HOST KEY ADDRESS...

The clients are spread over the addresses. Prints a line when each of them has
sent what it sends, was refused or can't send for now; then holds what is open
until its standard input ends.
"""
from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
import typing

# A client that can't send for this time waits for the daemon.
BLOCKED_SECONDS: typing.Final = 2.0
SETTLE_SECONDS: typing.Final = 20.0
CONNECT_SECONDS: typing.Final = 10.0
# Time between the bytes of clients that send one now and then.
TRICKLE_SECONDS: typing.Final = 0.2
RECONNECT_SECONDS: typing.Final = 1.0

LEGAL_BODY_BYTES: typing.Final = 262_000
LARGE_BODY_BYTES: typing.Final = 1_040_000
ANNOUNCED_BYTES: typing.Final = 9_000_000_000
LARGE_CHUNK_BYTES: typing.Final = 65_000
SMALL_CHUNKS: typing.Final = 40_000
HEAD_BYTES: typing.Final = 16_000
WHOLE_REQUESTS: typing.Final = 4
PIPELINED_REQUESTS: typing.Final = 200

JOB: typing.Final = b'{"steps":[{"count":1,"cpu":100,"estimatedMs":50}]}'


class Client:
    """One client and its connection.

    :param number: of the client among all of them.
    :param target: path that requests are sent to, without the ID of a job.
    """

    def __init__(
        self,
        number: int,
        target: str,
        host: str,
        key: str,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> None:
        self.number = number
        self._target = target
        self._host = host
        self._key = key
        self._writer = writer
        self.reader = reader

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        await asyncio.wait_for(self._writer.drain(), BLOCKED_SECONDS)

    def head(self, method: str, *fields: str, request: int = 0) -> bytes:
        """Return the head of a request about a job of this client."""
        name = ''
        if self._target.startswith('/q/'):
            name = f'{self.number:08x}{request:08x}'
        lines = (
            f'{method} {self._target}{name} HTTP/1.1',
            f'host: {self._host}',
            f'authorization: Bearer {self._key}',
            'nutmeg-class: forecast',
            'x-deadline-ms: 3000',
            *fields,
        )
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'


async def _unfinished(client: Client) -> None:
    """Send a legal body but for its last byte."""
    await client.send(
        client.head('POST', f'content-length: {LEGAL_BODY_BYTES}') +
        _padded(LEGAL_BODY_BYTES)[:-1]
    )


async def _unfinished_large(client: Client) -> None:
    await client.send(
        client.head('POST', f'content-length: {LARGE_BODY_BYTES}') +
        _padded(LARGE_BODY_BYTES)[:-1]
    )


async def _large_chunks(client: Client) -> None:
    """Send a body in large chunks, without its end."""
    await client.send(client.head('POST', 'transfer-encoding: chunked'))
    chunk = b'%x\r\n%b\r\n' % (LARGE_CHUNK_BYTES, b' ' * LARGE_CHUNK_BYTES)
    for _ in range(LARGE_BODY_BYTES // LARGE_CHUNK_BYTES):
        await client.send(chunk)


async def _small_chunks(client: Client) -> None:
    """Send a body in chunks of one byte, without its end."""
    await client.send(
        client.head('POST', 'transfer-encoding: chunked') +
        b'1\r\n \r\n' * SMALL_CHUNKS
    )


async def _announced(client: Client) -> None:
    """Announce a body far over the limit and send the first part of it."""
    await client.send(
        client.head('POST', f'content-length: {ANNOUNCED_BYTES}') +
        b' ' * LARGE_BODY_BYTES
    )


async def _whole(client: Client) -> None:
    """Send legal bodies whole, one after another."""
    for request in range(WHOLE_REQUESTS):
        await client.send(
            client.head(
                'POST',
                f'content-length: {LEGAL_BODY_BYTES}',
                request=request,
            ) + _padded(LEGAL_BODY_BYTES)
        )
        await asyncio.wait_for(client.reader.read(65536), SETTLE_SECONDS)


async def _unread(client: Client) -> None:
    """Ask many times on one connection and don't read the answers."""
    await client.send(client.head('GET') * PIPELINED_REQUESTS)


async def _unread_echo(client: Client) -> None:
    """Send a whole large body and don't read the answer."""
    await client.send(
        client.head('POST', f'content-length: {LARGE_BODY_BYTES}') +
        b'x' * LARGE_BODY_BYTES
    )


async def _idle(client: Client) -> None:
    """Send nothing."""


async def _endless_head(client: Client) -> None:
    """Send a head a byte at a time, without its end."""
    await client.send(client.head('GET')[:-2] + b'x-more: ')
    await client.send(b'y' * (HEAD_BYTES - 1000))


async def _trickle(client: Client) -> None:
    """Send a body a byte at a time."""
    await client.send(
        client.head('POST', f'content-length: {LEGAL_BODY_BYTES}') +
        _padded(LEGAL_BODY_BYTES)[:-1000]
    )


async def _churn(client: Client) -> None:
    """Send half a head and close the connection."""
    await client.send(client.head('GET')[:40])
    client._writer.transport.abort()


def _padded(size: int) -> bytes:
    """Return an ordinary job, padded with spaces to a size in bytes."""
    return JOB + b' ' * (size - len(JOB))


Send = typing.Callable[[Client], typing.Coroutine[typing.Any, typing.Any,
                                                  None]]
SEND_BY_SHAPE: typing.Final[typing.Mapping[str, Send]] = {
    'unfinished': _unfinished,
    'unfinished-large': _unfinished_large,
    'large-chunks': _large_chunks,
    'small-chunks': _small_chunks,
    'announced': _announced,
    'whole': _whole,
    'unread': _unread,
    'unread-echo': _unread_echo,
    'idle': _idle,
    'endless-head': _endless_head,
    'trickle': _trickle,
    'churn': _churn,
}
# The shapes of a mixture; clients take them in turn.
MIXED: typing.Final = (
    'unfinished-large', 'large-chunks', 'small-chunks', 'announced', 'whole',
    'unread', 'idle', 'endless-head', 'trickle', 'churn'
)
# Shapes that go on with a byte now and then.
TRICKLES: typing.Final = frozenset({'endless-head', 'trickle'})
# Shapes that don't read answers.
UNREAD: typing.Final = frozenset({'unread', 'unread-echo'})


class Crowd:
    """All clients of one shape.

    :param arguments: what a client needs beside its number and connection.
    """

    def __init__(
        self,
        shape: str,
        addresses: typing.Sequence[str],
        *arguments: str,
    ) -> None:
        shapes = MIXED if shape == 'mixed' else (shape, )
        self._shapes = itertools.cycle(shapes)
        self._addresses = itertools.cycle(addresses)
        self._arguments = arguments
        self._settled: set[int] = set()
        self._stop = asyncio.Event()

    async def run(self, count: int) -> None:
        """Run until the standard input of the process ends."""
        tasks = [
            asyncio.create_task(
                self._run_client(
                    number, next(self._shapes), next(self._addresses)
                )
            ) for number in range(count)
        ]
        deadline = asyncio.get_running_loop().time() + SETTLE_SECONDS
        while (len(self._settled) < count
               and asyncio.get_running_loop().time() < deadline):
            await asyncio.sleep(0.05)
        print('settled', len(self._settled), flush=True)
        await asyncio.get_running_loop().run_in_executor(
            None, sys.stdin.buffer.read
        )
        self._stop.set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_client(self, number: int, shape: str, address: str) -> None:
        """Send one client's shape, again if its connection was closed."""
        while not self._stop.is_set():
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await self._connect(number, shape, address)
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _connect(self, number: int, shape: str, address: str) -> None:
        host, port = address.rsplit(':', 1)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1024),
            CONNECT_SECONDS
        )
        try:
            client = Client(number, *self._arguments, writer, reader)
            with contextlib.suppress(asyncio.TimeoutError):
                await SEND_BY_SHAPE[shape](client)
            self._settled.add(number)
            await self._hold(shape, client)
        finally:
            self._settled.add(number)
            writer.transport.abort()

    async def _hold(self, shape: str, client: Client) -> None:
        """Keep a connection open until it is closed."""
        while not self._stop.is_set():
            await asyncio.sleep(TRICKLE_SECONDS)
            if shape in TRICKLES:
                await client.send(b'z')
            if shape not in UNREAD:
                with contextlib.suppress(asyncio.TimeoutError):
                    read = client.reader.read(65536)
                    if not await asyncio.wait_for(read, TRICKLE_SECONDS):
                        return


if __name__ == '__main__':
    _, shape_name, client_count, *rest = sys.argv
    asyncio.run(Crowd(shape_name, rest[3:], *rest[:3]).run(int(client_count)))
