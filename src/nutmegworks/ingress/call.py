"""A client's call and the filters that it passes."""
from __future__ import annotations

import abc
import dataclasses
import typing

from nutmegworks.net import message
from nutmegworks.tasks import configuration

Proceed = typing.Callable[['Call'], typing.Awaitable[message.Response]]

# Clients that were turned away return after this time, in seconds. A change of
# the leader or a cut of one host lasts about as long.
RETRY_AFTER_SECONDS: typing.Final = 1


@dataclasses.dataclass(slots=True)
class Call:
    """A call on its way through the filters.

    :param received_at: steady seconds.
    :param deadline: seconds that the client waits for the response.
    :param queue: filled in by the routing filter.
    :param job_name: rest of the path after the queue's prefix.
    :param team_id: filled in by the authentication filter.
    """

    request: message.Request
    received_at: float
    deadline: float
    queue: configuration.Queue | None = None
    job_name: str = ''
    team_id: str = ''


class Filter(abc.ABC):

    @abc.abstractmethod
    async def handle(self, call: Call, proceed: Proceed) -> message.Response:
        """Answer a call or pass it on."""


def chain(filters: typing.Sequence[Filter], last: Proceed) -> Proceed:
    """Return a function that passes a call through all filters."""
    proceed = last
    for item in reversed(filters):
        proceed = _bind(item, proceed)
    return proceed


def _bind(item: Filter, proceed: Proceed) -> Proceed:

    async def handle(call: Call) -> message.Response:
        return await item.handle(call, proceed)

    return handle


def refuse(status: int, reason: str) -> message.Response:
    """Return a refusal; its job has not been accepted."""
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
