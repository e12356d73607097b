"""Runs a stand-in as a process of its own until it is told to stop."""
from __future__ import annotations

import signal

import curio

from nutmegworks.net import server


async def serve_until_signal(
    handler: server.Handler,
    host: str,
    port: int,
) -> None:
    """Serve and print the address; SIGTERM and SIGINT end the process."""
    service = server.Server(handler)
    await service.start(host, port)
    print(f'{service.address[0]}:{service.address[1]}', flush=True)
    async with curio.SignalQueue(signal.SIGTERM, signal.SIGINT) as signals:
        await signals.get()


__all__ = ('serve_until_signal', )
