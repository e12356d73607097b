"""Serves messages from other daemons."""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.net import message
from nutmegworks.peers import authentication

# Returns None if it cannot serve the message now.
Handler = typing.Callable[
    [typing.Any],
    typing.Awaitable[msgspec.Struct | None],
]

PATH_PREFIX: typing.Final = '/peer/'


class PeerService:
    """Dispatches authenticated messages by path."""

    def __init__(self, key: bytes) -> None:
        self._key = authentication.check_key(key)
        self._route_by_path: dict[str, tuple[type, Handler]] = {}

    def register(
        self,
        path: str,
        kind: type[msgspec.Struct],
        handler: Handler,
    ) -> None:
        """Serve messages of a type at a path below ``/peer/``."""
        assert path.startswith(PATH_PREFIX)
        self._route_by_path[path] = (kind, handler)

    async def handle(self, request: message.Request) -> message.Response:
        """Serve one message."""
        claimed = request.headers.get(authentication.MAC_HEADER, '')
        if not authentication.matches(self._key, request.target, request.body,
                                      claimed):
            return message.Response(401)
        route = self._route_by_path.get(request.target)
        if route is None:
            return message.Response(404)
        kind, handler = route
        try:
            value: typing.Any = msgspec.msgpack.decode(request.body, type=kind)
        except msgspec.MsgspecError:
            return message.Response(400)
        reply = await handler(value)
        if reply is None:
            return message.Response(503)
        body = msgspec.msgpack.encode(reply)
        mac = authentication.code(self._key, claimed, body)
        return message.Response(200, {authentication.MAC_HEADER: mac}, body)


__all__ = ('Handler', 'PATH_PREFIX', 'PeerService')
