"""Runs servers and coroutines of a test in its curio kernel."""
from __future__ import annotations

import contextlib
import time
import typing

import curio

from nutmegworks.net import budget as budgets
from nutmegworks.net import client
from nutmegworks.net import server

RUN_TIMEOUT_SECONDS: typing.Final = 60.0
LAG_INTERVAL_SECONDS: typing.Final = 0.05
STAND_IN_BYTES: typing.Final = 4 * 1024 * budgets.MEBIBYTE


@contextlib.asynccontextmanager
async def serving(
    handler: server.Handler,
    *,
    limits: server.Limits | None = None,
) -> typing.AsyncIterator[client.Address]:
    """Serve a handler on a free loopback port; yield the address."""
    service = server.Server(handler, limits=limits)
    await service.start('127.0.0.1', 0)
    try:
        yield service.address
    finally:
        await service.drain(limit=0.0)


def stand_in_server(handler: server.Handler) -> server.Server:
    """Return a server of a stand-in, which has memory for any crowd."""
    return server.Server(
        handler, budget=budgets.Budget(STAND_IN_BYTES), internal=True
    )


def run(main: typing.Callable[[], typing.Awaitable[None]]) -> None:
    """Run a test's coroutine with a time limit."""

    async def run_with_timeout() -> None:
        await curio.timeout_after(RUN_TIMEOUT_SECONDS, main)

    curio.run(run_with_timeout)


class LagMeter:
    """Measures by how much this process's timers fire late.

    :ivar worst: longest delay so far, in seconds.
    """

    def __init__(self) -> None:
        self.worst = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = time.monotonic() + LAG_INTERVAL_SECONDS
            await curio.sleep(LAG_INTERVAL_SECONDS)
            self.worst = max(self.worst, time.monotonic() - due)


__all__ = ('LagMeter', 'run', 'serving', 'stand_in_server')
