"""Pools idle connections by address and closes expired ones."""
from __future__ import annotations

import collections
import math
import time
import typing

import result

from nutmegworks.net import budget as budgets
from nutmegworks.net import client
from nutmegworks.net import message

# A network device between two hosts may drop the state of an idle connection.
# Anything sent on it is then lost without an error, so connections are reused
# only for a short time.
IDLE_TIMEOUT_SECONDS: typing.Final = 5.0
MAX_IDLE_PER_ADDRESS: typing.Final = 64


class Pool:
    """Connections to any number of addresses, reused last in, first out.

    :param idle_timeout: seconds after which an idle connection is closed.
    :param budget: of the process; by default that of the smallest machine.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        idle_timeout: float = IDLE_TIMEOUT_SECONDS,
        budget: budgets.Budget | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._idle_timeout = idle_timeout
        self._budget = budget or budgets.Budget()
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
        connect_timeout: float = client.CONNECT_TIMEOUT_SECONDS,
        stall_timeout: float | None = None,
        max_body: int = message.MAX_BODY_BYTES,
        echo_header: str = '',
        fresh: bool = False,
        send_before: float = math.inf,
        on_first_byte: typing.Callable[[], None] | None = None,
    ) -> result.Result[message.Response, client.ExchangeError]:
        """Send a request over an idle or a new connection.

        :param timeout: seconds, including the time to connect.
        :param connect_timeout: seconds to connect, if that is necessary.
        :param stall_timeout: as for ``client.Connection.exchange``.
        :param echo_header: name of a request header that the response must
            repeat.
        :param fresh: open a new connection even if one is idle.
        :param send_before: seconds on the pool's clock after which the request
            must not be sent.
        :param on_first_byte: called when the response begins.
        """
        started = self._clock()
        connection = None if fresh else await self._acquire(address)
        if connection is None:
            opened = await self._connect(
                address, min(timeout, connect_timeout)
            )
            if isinstance(opened, result.Err):
                return opened
            connection = opened.ok_value
        now = self._clock()
        if now > send_before:
            await connection.close()
            return result.Err(_send_deadline_passed(connection))
        remaining = max(0.001, timeout - (now - started))
        answer = await connection.exchange(
            request,
            timeout=remaining,
            stall_timeout=stall_timeout,
            max_body=max_body,
            echo_header=echo_header,
            on_first_byte=on_first_byte,
        )
        if isinstance(answer, result.Err) and connection.exchange_count:
            # The cause of this failure is likely to affect the other idle
            # connections as well; each would cost another timeout.
            await self.discard(address)
        await self._release(connection)
        return answer

    async def _connect(
        self,
        address: client.Address,
        timeout: float,
    ) -> result.Result[client.Connection, client.ExchangeError]:
        return await client.connect(
            address, timeout=timeout, budget=self._budget
        )

    async def _acquire(
        self,
        address: client.Address,
    ) -> client.Connection | None:
        idle = self._idle_by_address.get(address)
        while idle:
            idle_since, connection = idle.pop()
            expired = self._clock() - idle_since >= self._idle_timeout
            if not expired and connection.is_idle():
                return connection
            await connection.close()
        return None

    async def _release(self, connection: client.Connection) -> None:
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

    async def close_expired(self) -> None:
        """Close every connection that was idle for the idle timeout."""
        cutoff = self._clock() - self._idle_timeout
        for address in list(self._idle_by_address):
            idle = self._idle_by_address[address]
            while idle and idle[0][0] < cutoff:
                await idle.popleft()[1].close()
            if not idle:
                self._idle_by_address.pop(address, None)

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            await self.discard(address)


def _send_deadline_passed(
    connection: client.Connection,
) -> client.ExchangeError:
    return client.ExchangeError(
        client.Fault.CONNECT,
        'the connection was ready too late',
        False,
        connection.exchange_count == 0,
    )


__all__ = ('IDLE_TIMEOUT_SECONDS', 'MAX_IDLE_PER_ADDRESS', 'Pool')
