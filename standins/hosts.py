"""A stand-in for the platform's host list, which may be out of date."""
from __future__ import annotations

import curio
import msgspec
import typer

from nutmegworks.net import message
from standins import service


class HostListStandIn:
    """Returns the list that was last put, or 503 while it is set down."""

    def __init__(self) -> None:
        self.hosts: list[dict[str, str]] = []
        self.down = False

    async def handle(self, request: message.Request) -> message.Response:
        """Serve one request."""
        if request.target == '/fault':
            self.down = bool(msgspec.json.decode(request.body)['down'])
            return message.json_response(200, {})
        if self.down:
            return message.json_response(503, {})
        if request.method == 'PUT':
            self.hosts = msgspec.json.decode(request.body)['hosts']
        return message.json_response(200, {'hosts': self.hosts})


def main(host: str = '127.0.0.1', port: int = 0) -> None:
    """Print the address and serve until SIGTERM or SIGINT."""
    stand_in = HostListStandIn()
    curio.run(service.serve_until_signal, stand_in.handle, host, port)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('HostListStandIn', 'main')
