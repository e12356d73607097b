"""Receives messages from other daemons and replies to them."""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.model import decoding
from nutmegworks.net import message
from nutmegworks.peers import authentication

# Returns the reply, or None if the message can't be processed now.
Handler = typing.Callable[
    [typing.Any],
    typing.Awaitable[msgspec.Struct | None],
]

PATH_PREFIX: typing.Final = '/peer/'


class PeerService:
    """Authenticates messages and passes them to the handler of their path."""

    def __init__(self, key: bytes) -> None:
        self._key = authentication.check_key(key)
        self._route_by_path: dict[str, tuple[type, Handler]] = {}

    def register(
        self,
        path: str,
        message_type: type[msgspec.Struct],
        handler: Handler,
    ) -> None:
        """Pass messages with a path to a handler.

        :param path: starts with ``/peer/``.
        :param message_type: type as which the body is decoded.
        """
        assert path.startswith(PATH_PREFIX)
        self._route_by_path[path] = (message_type, handler)

    async def handle(self, request: message.Request) -> message.Response:
        """Return the reply to one message.

        The status is 401 for a wrong authentication code, 404 for an unknown
        path, 400 for a body of another type and 503 if the handler returns
        None.
        """
        received = request.headers.get(authentication.MAC_HEADER, '')
        if not authentication.is_valid_mac(self._key, request.target,
                                           request.body, received):
            return message.Response(401)
        route = self._route_by_path.get(request.target)
        if route is None:
            return message.Response(404)
        message_type, handler = route
        try:
            with decoding.nesting_limit():
                value: typing.Any = msgspec.msgpack.decode(
                    request.body, type=message_type
                )
        except msgspec.MsgspecError:
            return message.Response(400)
        reply = await handler(value)
        if reply is None:
            return message.Response(503)
        body = msgspec.msgpack.encode(reply)
        mac = authentication.compute_mac(self._key, received, body)
        return message.Response(200, {authentication.MAC_HEADER: mac}, body)


__all__ = ('Handler', 'PATH_PREFIX', 'PeerService')
