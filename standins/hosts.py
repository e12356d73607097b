"""A stand-in for the platform's host list, which may be stale."""
from __future__ import annotations

import curio
import msgspec
import typer

from nutmegworks.net import message
from standins import service


class HostListStandIn:
    """Returns the last list that was put; down on command."""

    def __init__(self) -> None:
        self.hosts: list[dict[str, str]] = []
        self.down = False

    async def handle(self, request: message.Request) -> message.Response:
        """Serve one call."""
        if request.target == '/fault':
            self.down = bool(msgspec.json.decode(request.body)['down'])
            return message.json_response(200, {})
        if self.down:
            return message.json_response(503, {})
        if request.method == 'PUT':
            self.hosts = msgspec.json.decode(request.body)['hosts']
        return message.json_response(200, {'hosts': self.hosts})


def main(host: str = '127.0.0.1', port: int = 0) -> None:
    """Run the stand-in and print its address."""
    stand_in = HostListStandIn()
    curio.run(service.serve_until_signal, stand_in.handle, host, port)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('HostListStandIn', 'main')
