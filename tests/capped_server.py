"""A server that resets connections beyond a number, as executors do."""
from __future__ import annotations

import socket
import struct
import typing

import curio

from nutmegworks.net import budget as budgets
from nutmegworks.net import server
from tests import helpers

# From the sheets of the deployments.
EXECUTOR_CONNECTIONS: typing.Final = 64
# Resets a connection when it is closed.
_RESET: typing.Final = struct.pack('ii', 1, 0)


class CappedServer(server.Server):
    """Serves at most so many connections at a time.

    :ivar resets: connections that were reset.
    :ivar most_open: connections that were open at a time.
    """

    def __init__(
        self,
        handler: server.Handler,
        cap: int = EXECUTOR_CONNECTIONS,
    ) -> None:
        super().__init__(
            handler,
            budget=budgets.Budget(helpers.STAND_IN_BYTES),
            internal=True,
        )
        self._cap = cap
        self.resets = 0
        self.most_open = 0

    async def _serve(self, sock: curio.io.Socket) -> None:
        if self._open >= self._cap:
            self.resets += 1
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            await sock.close()
            return
        self.most_open = max(self.most_open, self._open + 1)
        await super()._serve(sock)


__all__ = ('CappedServer', 'EXECUTOR_CONNECTIONS')
