"""Runs a stand-in as a process of its own until it is told to stop."""
from __future__ import annotations

import signal

from nutmegworks.net import server
from nutmegworks.net import signals


async def serve_until_signal(
    handler: server.Handler,
    host: str,
    port: int,
) -> None:
    """Serve and print the address; SIGTERM and SIGINT end the process."""
    service = server.Server(handler)
    await service.start(host, port)
    print(f'{service.address[0]}:{service.address[1]}', flush=True)
    async with signals.SignalReceiver(signal.SIGTERM,
                                      signal.SIGINT) as received:
        await received.get()


__all__ = ('serve_until_signal', )
