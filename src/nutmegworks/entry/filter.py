"""Interface of the filters, and the chain that runs them in order."""
from __future__ import annotations

import abc
import typing

import result

from nutmegworks.entry import context as entry_context
from nutmegworks.model import verdict
from nutmegworks.net import message

Outcome = result.Result[message.Response, verdict.Refusal]
Proceed = typing.Callable[
    [entry_context.RequestContext],
    typing.Awaitable[Outcome],
]


class Filter(abc.ABC):

    @abc.abstractmethod
    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: Proceed,
    ) -> Outcome:
        """Refuse the request, or pass it to the remaining filters.

        :param proceed: runs the remaining filters and the last step.
        """


def chain(filters: typing.Sequence[Filter], last_step: Proceed) -> Proceed:
    """Return a callable that runs the filters in order, then the last step."""
    proceed = last_step
    for item in reversed(filters):
        proceed = _bind(item, proceed)
    return proceed


def _bind(item: Filter, proceed: Proceed) -> Proceed:

    async def run(context: entry_context.RequestContext) -> Outcome:
        return await item.handle(context, proceed)

    return run


def refuse(refusal: verdict.Refusal) -> Outcome:
    """Return a refusal as an outcome."""
    return result.Err(refusal)


__all__ = ('Filter', 'Outcome', 'Proceed', 'chain', 'refuse')
