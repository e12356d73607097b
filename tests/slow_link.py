"""A stand-in of the store whose responses arrive at the rate of a link."""
from __future__ import annotations

import base64
import contextlib
import typing

import curio
import curio.socket
import msgspec

from nutmegworks.net import client

# A chunk is sent each time this interval is over.
CHUNK_SECONDS: typing.Final = 0.05


def listing(key: str, value: bytes) -> bytes:
    """Return the store's answer to a listing that finds one item."""
    return msgspec.json.encode(
        {
            'asOf':
            7,
            'items': [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode('ascii'),
                    'revision': 7,
                }
            ],
        }
    )


class SlowStore:
    """Answers each request with the same body.

    :param seconds: time from the first to the last byte of a response.
    :param stalls: send nothing after half of the body.
    :ivar answered: number of responses that were sent whole.
    """

    def __init__(
        self,
        body: bytes,
        *,
        seconds: float = 0.0,
        stalls: bool = False,
    ) -> None:
        self._body = body
        self._seconds = seconds
        self._stalls = stalls
        self.answered = 0

    async def serve(self, sock: curio.io.Socket) -> None:
        """Answer the requests of one connection until it is closed."""
        async with sock:
            while await sock.recv(64 * 1024):
                await self._answer(sock)

    async def _answer(self, sock: curio.io.Socket) -> None:
        body = self._body
        head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n'
        await sock.sendall(head.encode('ascii'))
        chunks = max(1, round(self._seconds / CHUNK_SECONDS))
        size = -(-len(body) // chunks)
        if self._stalls:
            await sock.sendall(body[:len(body) // 2])
            await curio.sleep(60.0)
        for start in range(0, len(body), size):
            await sock.sendall(body[start:start + size])
            await curio.sleep(self._seconds / chunks)
        self.answered += 1


@contextlib.asynccontextmanager
async def serving(store: SlowStore) -> typing.AsyncIterator[client.Address]:
    """Serve on a free loopback port; yield the address."""
    listener = curio.socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(8)

    async def accept(group: curio.TaskGroup) -> None:
        while True:
            sock, _ = await listener.accept()
            await group.spawn(_serve_quietly, store, sock)

    async with listener, curio.TaskGroup() as group:
        await group.spawn(accept, group)
        try:
            yield listener.getsockname()
        finally:
            await group.cancel_remaining()


async def _serve_quietly(store: SlowStore, sock: curio.io.Socket) -> None:
    # The reader may give up and close its connection at any time.
    with contextlib.suppress(OSError):
        await store.serve(sock)


__all__ = ('SlowStore', 'listing', 'serving')
