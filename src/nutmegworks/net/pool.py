"""Keeps idle connections by address and retires them."""
from __future__ import annotations

import collections
import math
import time
import typing

import result

from nutmegworks.net import client
from nutmegworks.net import message

# A device between two hosts may drop the state of an idle connection, which
# then swallows everything. A short idle time bounds how often that is met.
IDLE_SECONDS: typing.Final = 5.0
MAX_IDLE_PER_ADDRESS: typing.Final = 64


class Pool:
    """Connections to any number of addresses, reused last in, first out."""

    def __init__(
        self,
        *,
        idle_seconds: float = IDLE_SECONDS,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._idle_seconds = idle_seconds
        self._clock = clock
        self._idle_by_address: dict[
            client.Address,
            collections.deque[tuple[float, client.Connection]],
        ] = {}

    async def exchange(
        self,
        address: client.Address,
        request: message.Request,
        *,
        timeout: float,
        max_body: int = message.MAX_BODY_BYTES,
        echo: str = '',
        fresh: bool = False,
        send_before: float = math.inf,
    ) -> result.Result[message.Response, client.ExchangeError]:
        """Send a request over an idle or a new connection.

        :param timeout: seconds, including the time to connect.
        :param echo: name of a request header that the response must repeat.
        :param fresh: open a new connection even if one is idle.
        :param send_before: seconds on the pool's clock after which nothing
            may be sent.
        """
        started = self._clock()
        connection = None if fresh else await self._take(address)
        if connection is None:
            opened = await client.connect(
                address,
                timeout=min(timeout, client.CONNECT_TIMEOUT_SECONDS),
            )
            if isinstance(opened, result.Err):
                return opened
            connection = opened.ok_value
        now = self._clock()
        if now > send_before:
            await connection.close()
            return result.Err(_too_late(connection))
        left = max(0.001, timeout - (now - started))
        answer = await connection.exchange(
            request,
            timeout=left,
            max_body=max_body,
            echo=echo,
        )
        if isinstance(answer, result.Err) and connection.exchanges:
            # What silenced or closed this idle connection is likely to have
            # met the others as well; each would cost another timeout.
            await self.discard(address)
        await self._give_back(connection)
        return answer

    async def _take(self, address: client.Address) -> client.Connection | None:
        idle = self._idle_by_address.get(address)
        while idle:
            since, connection = idle.pop()
            if self._clock() - since < self._idle_seconds:
                return connection
            await connection.close()
        return None

    async def _give_back(self, connection: client.Connection) -> None:
        if not connection.reusable:
            await connection.close()
            return
        idle = self._idle_by_address.setdefault(
            connection.address,
            collections.deque(),
        )
        idle.append((self._clock(), connection))
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            await idle.popleft()[1].close()

    async def discard(self, address: client.Address) -> None:
        """Close all idle connections to one address."""
        idle = self._idle_by_address.pop(address, None)
        while idle:
            await idle.pop()[1].close()

    async def retire(self) -> None:
        """Close every connection that has been idle for too long."""
        limit = self._clock() - self._idle_seconds
        for address in list(self._idle_by_address):
            idle = self._idle_by_address[address]
            while idle and idle[0][0] < limit:
                await idle.popleft()[1].close()
            if not idle:
                self._idle_by_address.pop(address, None)

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            await self.discard(address)


def _too_late(connection: client.Connection) -> client.ExchangeError:
    return client.ExchangeError(
        client.Fault.CONNECT,
        'the connection was ready too late',
        False,
        connection.exchanges == 0,
    )


__all__ = ('IDLE_SECONDS', 'MAX_IDLE_PER_ADDRESS', 'Pool')
