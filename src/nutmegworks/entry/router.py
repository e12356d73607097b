"""Dispatches the requests of callers to handlers by method and path."""
from __future__ import annotations

import dataclasses
import re
import typing
import urllib.parse

from nutmegworks.model import verdict
from nutmegworks.net import message
from nutmegworks.net import server

RouteHandler = typing.Callable[
    [message.Request, typing.Mapping[str, str]],
    typing.Awaitable[message.Response],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A method, a path pattern with named groups, and its handler."""

    method: str
    pattern: re.Pattern[str]
    handler: RouteHandler


def route(method: str, path: str, handler: RouteHandler) -> Route:
    """Return a route; ``<name>`` in the path matches one segment."""
    pattern = re.sub(r'<(\w+)>', r'(?P<\1>[^/]+)', path)
    return Route(method, re.compile(f'^{pattern}$'), handler)


class Router:
    """Calls the handler of the first route that matches a request.

    The parameters of the handler come from the path and the query.
    """

    def __init__(self, routes: typing.Sequence[Route]) -> None:
        self._routes = tuple(routes)

    async def handle(self, request: message.Request) -> message.Response:
        """Handle one request; unknown paths are refused as not found."""
        try:
            parts = urllib.parse.urlsplit(request.target)
            path = urllib.parse.unquote(parts.path, errors='strict')
            query = dict(urllib.parse.parse_qsl(parts.query))
        except ValueError as error:
            return _refuse(verdict.Reason.BAD_REQUEST, str(error))
        for item in self._routes:
            match = item.pattern.match(path)
            if match is not None and item.method == request.method:
                parameters = {**query, **match.groupdict()}
                return await item.handler(request, parameters)
        return _refuse(
            verdict.Reason.NOT_FOUND, f'nothing at {request.method} {path}'
        )


def _refuse(reason: verdict.Reason, detail: str) -> message.Response:
    return server.refusal_response(verdict.did_not_run(reason, detail))


__all__ = ('Route', 'Router', 'route')
