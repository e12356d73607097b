"""Reads sockets; what is read is counted in the budget of the process."""
from __future__ import annotations

import contextlib
import typing

import curio
import curio.socket

from nutmegworks.net import budget as budgets
from nutmegworks.policy import intake

# Memory of an open connection without the bytes that it receives: its task,
# its parser and its share of the kernel's tables.
CONNECTION_BYTES: typing.Final = 16 * 1024
# Bytes that one read of a server may return.
RECEIVE_BYTES: typing.Final = 16 * 1024
# What the kernel holds of a connection that is not read counts as memory of
# the machine. Linux reserves twice this size.
KERNEL_BUFFER_BYTES: typing.Final = 16 * 1024
# A body is held as received, as a copy, decoded, as a record, and encoded for
# the store or an upstream.
BODY_COPIES: typing.Final = 8
# An answer is held as received, as a copy and decoded.
ANSWER_COPIES: typing.Final = 3
UNCOUNTED_ANSWER_BYTES: typing.Final = 16 * 1024


class Channel(budgets.Holder):
    """One connection of a client: its socket, and the bytes that it holds.

    :param internal: it is not a client's; it never has to give way.
    :ivar received: bytes since the current request began.
    :ivar gave_way: whether it was closed in favour of other connections.
    """

    def __init__(
        self,
        sock: curio.io.Socket,
        budget: budgets.Budget,
        *,
        internal: bool = False,
    ) -> None:
        super().__init__(budget)
        self._sock = sock
        self._internal = internal
        self._body = bytearray()
        self._body_held = 0
        self._buffer_held = 0
        self._progress_bytes = 0
        self.received = 0
        self.gave_way = False

    def _kind(self, size: int) -> intake.Kind:
        """Return what a body of a size in bytes takes memory for."""
        return (
            intake.Kind.INTERNAL
            if self._internal else intake.kind_of_body(size)
        )

    def open(self) -> bool:
        """Take the memory of the connection itself."""
        return self.take(CONNECTION_BYTES, self._kind(0))

    def begin_request(self, max_header: int) -> bool:
        """Take the memory for the head of a request.

        :param max_header: bytes of the largest head that is accepted.
        """
        self.received = 0
        self._progress_bytes = 0
        if not self._buffer_held:
            needed = max_header + RECEIVE_BYTES
            if not self.take(needed, self._kind(0)):
                return False
            self._buffer_held = needed
        return True

    def end_reading(self, unparsed: int) -> None:
        """Give back what no received bytes need any more.

        :param unparsed: received bytes that belong to a later request.
        """
        if not unparsed:
            self.give(self._buffer_held)
            self._buffer_held = 0

    async def receive(self) -> bytes:
        """Return the next bytes, empty at the end of the connection."""
        data = await self._sock.recv(RECEIVE_BYTES)
        if self.gave_way:
            return b''
        self.received += len(data)
        self._progress_bytes += len(data)
        if self._progress_bytes >= intake.PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progress_at = self._budget.clock()
        return data

    def reserve_body(self, size: int) -> bool:
        """Take the memory for handling a body of a size in bytes."""
        more = BODY_COPIES * size - self._body_held
        if more <= 0:
            return True
        if not self.take(more, self._kind(size)):
            return False
        self._body_held += more
        return True

    def append_body(self, data: bytes | bytearray) -> bool:
        """Add received bytes to the body.

        :return: False if there is no memory for them, or no more.
        """
        if self.gave_way or not self.reserve_body(len(self._body) + len(data)):
            return False
        self._body += data
        return True

    @property
    def body_size(self) -> int:
        return len(self._body)

    def take_body(self) -> bytes:
        """Return the body; its memory is held until ``end_request``."""
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def end_request(self) -> None:
        """Give back the memory of the request and of its answer."""
        self._body = bytearray()
        self.give(self._body_held)
        self._body_held = 0

    async def send(self, data: bytes) -> None:
        """Write bytes, which are held until the peer has received them."""
        self.add(len(data))
        try:
            await self._sock.sendall(data)
        finally:
            self.give(len(data))

    def give_way(self) -> None:
        """Release the body and end pending reads and writes.

        A connection whose answer is pending ends at once; others still write
        a refusal.
        """
        self.gave_way = True
        self._body = bytearray()
        how = curio.socket.SHUT_RD
        if self.phase is not intake.Phase.RECEIVING:
            how = curio.socket.SHUT_RDWR
        with contextlib.suppress(OSError), self._sock.blocking() as plain:
            plain.shutdown(how)

    async def discard(self, limit: int) -> None:
        """Read and drop up to a number of bytes, or until the peer closes."""
        with contextlib.suppress(OSError), self._sock.blocking() as plain:
            plain.shutdown(curio.socket.SHUT_WR)
        while limit > 0:
            data = await self._sock.recv(RECEIVE_BYTES)
            if not data:
                return
            limit -= len(data)
            # A fast sender must not keep other connections waiting.
            await curio.sleep(0)


async def receive_answer(sock: curio.io.Socket, size: int) -> bytes:
    """Return the next bytes of an answer to this daemon's own request.

    The caller keeps what an ``AnswerAccount`` has reserved.

    :param size: most bytes to return.
    """
    return await sock.recv(size)


class AnswerAccount(budgets.Account):
    """What the answer to one of the daemon's own requests holds."""

    async def reserve(self, size: int) -> None:
        """Wait for the memory of an answer of a size in bytes.

        Small answers are not counted: there are at most as many as requests.
        """
        needed = ANSWER_COPIES * (size - UNCOUNTED_ANSWER_BYTES) - self.held
        if needed > 0:
            await self.wait(needed)


__all__ = (
    'AnswerAccount',
    'BODY_COPIES',
    'CONNECTION_BYTES',
    'Channel',
    'KERNEL_BUFFER_BYTES',
    'receive_answer',
)
