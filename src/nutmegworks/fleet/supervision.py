"""Runs groups of background tasks that stop together."""
from __future__ import annotations

import typing

import curio
import logbook

_LOG: typing.Final = logbook.Logger('supervision')


async def run_until_first(
    *functions: typing.Callable[[], typing.Awaitable[object]],
) -> None:
    """Run all functions concurrently; when one ends, cancel the others.

    An exception is logged and not raised, so that the caller can restart the
    whole group.
    """
    async with curio.TaskGroup(wait=any) as group:
        for function in functions:
            await group.spawn(function)
    ended = group.completed
    if ended is not None and ended.exception is not None:
        error = ended.exception
        _LOG.error(
            'background task failed',
            task=ended.name,
            error=repr(error),
            exc_info=(type(error), error, error.__traceback__),
        )


__all__ = ('run_until_first', )
