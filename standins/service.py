"""Serves a stand-in as a separate process until a signal stops it."""
from __future__ import annotations

import signal

from nutmegworks.net import server
from nutmegworks.net import signals


async def serve_until_signal(
    handler: server.Handler,
    host: str,
    port: int,
) -> None:
    """Print the address and serve until SIGTERM or SIGINT."""
    service = server.Server(handler)
    await service.start(host, port)
    print(f'{service.address[0]}:{service.address[1]}', flush=True)
    async with signals.SignalReceiver(signal.SIGTERM,
                                      signal.SIGINT) as received:
        await received.get()


__all__ = ('serve_until_signal', )
