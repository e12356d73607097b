"""All connections of this process to workers, within the workers' limits.

A worker accepts 64 connections. Each leader uses at most 16 of them, so that
three former ones, suspended or cut off with their connections open, leave a
share to the present one.
"""
from __future__ import annotations

import math
import time
import typing

import result

from nutmegworks.fleet import interfaces
from nutmegworks.net import bounded_pool
from nutmegworks.net import budget as budgets
from nutmegworks.net import client
from nutmegworks.net import message

# For start and stop requests, and for lease renewals, which never wait for
# these.
ORDERS_PER_WORKER: typing.Final = 15
RENEWALS_PER_WORKER: typing.Final = 1
# Share of the sockets of the process for all start and stop requests.
ORDER_SOCKET_SHARE: typing.Final = 1 / 8
IDLE_SECONDS: typing.Final = 20.0

_DELIVERY_BY_FAULT: typing.Final = {
    client.Fault.CONNECT: interfaces.Delivery.UNREACHED,
    client.Fault.NO_ROOM: interfaces.Delivery.NO_CONNECTION,
    client.Fault.CLOSED: interfaces.Delivery.BROKEN,
}


def delivery(error: client.ExchangeError) -> interfaces.Delivery:
    """Return what became of a request whose exchange failed."""
    return _DELIVERY_BY_FAULT.get(error.fault, interfaces.Delivery.UNANSWERED)


class WorkerConnections:
    """Carries all requests of this process to workers.

    :param max_sockets: sockets that the process may open.
    :param budget: of the process; by default that of the smallest machine.
    :param clock: monotonic seconds.
    :ivar broken: requests whose connection broke before an answer.
    """

    def __init__(
        self,
        max_sockets: int,
        *,
        budget: budgets.Budget | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._orders = bounded_pool.BoundedPool(
            per_address=ORDERS_PER_WORKER,
            total=max(
                ORDERS_PER_WORKER, int(max_sockets * ORDER_SOCKET_SHARE)
            ),
            idle_timeout=IDLE_SECONDS,
            budget=budget,
            clock=clock,
        )
        self._renewals = bounded_pool.BoundedPool(
            per_address=RENEWALS_PER_WORKER,
            total=math.inf,
            idle_timeout=IDLE_SECONDS,
            budget=budget,
            clock=clock,
        )
        self.broken = 0

    async def send_renewal(
        self,
        address: client.Address,
        request: message.Request,
        *,
        timeout: float,
    ) -> result.Result[message.Response, client.ExchangeError]:
        """Send a renewal; a worker has one at a time.

        :param timeout: seconds, including the time to connect.
        """
        answer = await self._renewals.exchange(
            address, request, timeout=timeout
        )
        if answer.is_err():
            self._count(answer.err_value)
            if not answer.err_value.first_use:
                # What made this connection fail is likely to affect those
                # that no order uses at present.
                await self._orders.discard(address)
        return answer

    async def send_order(
        self,
        address: client.Address,
        request: message.Request,
        *,
        timeout: float,
        fresh: bool,
    ) -> result.Result[message.Response, client.ExchangeError]:
        """Send a start or stop request.

        :param timeout: seconds, including the time to connect.
        :param fresh: open a new connection in place of an idle one.
        :return: an error of the fault ``NO_ROOM``, at once, if all
            connections to the worker or of this process are in use.
        """
        answer = await self._orders.exchange(
            address, request, timeout=timeout, fresh=fresh
        )
        if answer.is_err():
            self._count(answer.err_value)
        return answer

    def _count(self, error: client.ExchangeError) -> None:
        self.broken += error.fault is client.Fault.CLOSED

    def open_by_address(self) -> dict[client.Address, int]:
        """Return the numbers of open connections."""
        counts = self._orders.open_by_address()
        for address, count in self._renewals.open_by_address().items():
            counts[address] = counts.get(address, 0) + count
        return counts

    @property
    def refused(self) -> int:
        """Orders that were not sent for lack of a connection."""
        return self._orders.refused

    async def close_expired(self) -> None:
        """Close every connection that was idle for the idle timeout."""
        await self._orders.close_expired()
        await self._renewals.close_expired()

    async def close(self) -> None:
        """Close every idle connection."""
        await self._orders.close()
        await self._renewals.close()


__all__ = (
    'ORDERS_PER_WORKER',
    'RENEWALS_PER_WORKER',
    'WorkerConnections',
    'delivery',
)
