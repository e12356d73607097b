"""A client's call and the chain of filters that handles it."""
from __future__ import annotations

import abc
import dataclasses
import typing

from nutmegworks.net import message
from nutmegworks.tasks import configuration

Proceed = typing.Callable[['Call'], typing.Awaitable[message.Response]]

# Value of the retry-after header of refused calls. A change of the leader or a
# network cut of one host lasts about as long.
RETRY_AFTER_SECONDS: typing.Final = 1


@dataclasses.dataclass(slots=True)
class Call:
    """A client's call and what the filters have found out about it.

    :param received_at: seconds on the monotonic clock.
    :param timeout: seconds that the client waits for the response.
    :param queue: set by the routing filter.
    :param job_name: path after the queue's prefix; set by the routing filter.
    :param team_id: set by the authentication filter, '' if anonymous.
    """

    request: message.Request
    received_at: float
    timeout: float
    queue: configuration.Queue | None = None
    job_name: str = ''
    team_id: str = ''


class Filter(abc.ABC):
    """One step in the handling of a call."""

    @abc.abstractmethod
    async def handle(self, call: Call, proceed: Proceed) -> message.Response:
        """Answer a call, or return what the rest of the chain answers."""


def chain(
    filters: typing.Sequence[Filter],
    endpoint: Proceed,
) -> Proceed:
    """Return a function that passes a call through filters to an endpoint."""
    proceed = endpoint
    for item in reversed(filters):
        proceed = _bind(item, proceed)
    return proceed


def _bind(item: Filter, proceed: Proceed) -> Proceed:

    async def handle(call: Call) -> message.Response:
        return await item.handle(call, proceed)

    return handle


def refuse(status: int, reason: str) -> message.Response:
    """Return an error response that gives the reason.

    429 and 503 tell the client when to retry.
    """
    headers = {}
    if status in (429, 503):
        headers['retry-after'] = str(RETRY_AFTER_SECONDS)
    return message.json_response(status, {'reason': reason}, headers)


__all__ = (
    'Call',
    'Filter',
    'Proceed',
    'RETRY_AFTER_SECONDS',
    'chain',
    'refuse',
)
