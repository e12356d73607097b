"""Pools connections, of which a peer and the process allow only so many."""
from __future__ import annotations

import typing

import result

from nutmegworks.net import client
from nutmegworks.net import pool


class BoundedPool(pool.Pool):
    """Opens at most so many connections, idle and in use together.

    A request that would need a further one fails at once with the fault
    ``NO_ROOM`` and is not sent; the caller decides what to send instead. A
    new connection takes the place of an idle one: of the same peer if the
    request asks for a fresh connection or the peer has its share, else of the
    peer that was used least recently if the process has its share.

    :param per_address: connections to one peer.
    :param total: connections to all peers; may be infinite.
    :ivar refused: requests that failed for lack of a connection.
    """

    def __init__(
        self,
        *,
        per_address: int,
        total: float,
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        self._per_address = per_address
        self._total = total
        # Connections that may be open; those that have closed themselves are
        # dropped when the number matters.
        self._connections_by_address: dict[
            client.Address,
            set[client.Connection],
        ] = {}
        self._opening_by_address: dict[client.Address, int] = {}
        self.refused = 0

    def open_by_address(self) -> dict[client.Address, int]:
        """Return the numbers of connections, those being opened included."""
        addresses = {*self._connections_by_address, *self._opening_by_address}
        counts = {address: self._count(address) for address in addresses}
        return {address: count for address, count in counts.items() if count}

    def _count(self, address: client.Address) -> int:
        connections = self._connections_by_address.get(address, set())
        connections -= {other for other in connections if not other.is_open}
        if not connections:
            self._connections_by_address.pop(address, None)
        return len(connections) + self._opening_by_address.get(address, 0)

    async def _connect(
        self,
        address: client.Address,
        timeout: float,
    ) -> result.Result[client.Connection, client.ExchangeError]:
        if not await self._reserve(address):
            self.refused += 1
            return result.Err(
                client.ExchangeError(
                    client.Fault.NO_ROOM,
                    'all connections are in use',
                    False,
                )
            )
        try:
            opened = await super()._connect(address, timeout)
        finally:
            opening = self._opening_by_address
            opening[address] -= 1
            if not opening[address]:
                del opening[address]
        if opened.is_ok():
            self._connections_by_address.setdefault(address, set()).add(
                opened.ok_value
            )
        return opened

    async def _reserve(self, address: client.Address) -> bool:
        """Count a connection that is about to be opened, if there is room.

        An idle connection to the address is closed first: there is one only
        if the request must not use it.
        """
        await self._close_oldest_idle(address)
        if self._has_share(address) and self._is_full():
            idle_since = {
                other: connections[0][0]
                for other, connections in self._idle_by_address.items()
                if connections
            }
            if idle_since:
                await self._close_oldest_idle(
                    min(idle_since, key=idle_since.__getitem__)
                )
        # Others may have opened connections while one was closed.
        if not self._has_share(address) or self._is_full():
            return False
        self._opening_by_address[address] = (
            self._opening_by_address.get(address, 0) + 1
        )
        return True

    def _has_share(self, address: client.Address) -> bool:
        return self._count(address) < self._per_address

    def _is_full(self) -> bool:
        return sum(self.open_by_address().values()) >= self._total

    async def _close_oldest_idle(self, address: client.Address) -> None:
        idle = self._idle_by_address.get(address)
        if idle:
            _, connection = idle.popleft()
            await connection.close()


__all__ = ('BoundedPool', )
