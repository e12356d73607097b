"""Tries the routes of one call to the store until one is answered."""
from __future__ import annotations

import collections
import dataclasses
import time
import typing

import curio

from nutmegworks.net import message
from nutmegworks.policy import store_routes

# A second route is tried if the first one has not begun to answer after this
# time. A slow store answers in about 0.3 s.
NEXT_ROUTE_SECONDS: typing.Final = 0.4


@dataclasses.dataclass(slots=True)
class Attempt:
    """A call over one route.

    :param started_at: seconds of the clock of ``Attempts``.
    :param begun: whether the answer has begun to arrive.
    :param outcome: response or failure, None until it has ended.
    :param error: unexpected error that ended it.
    """

    route: store_routes.Route
    started_at: float
    begun: bool = False
    outcome: typing.Any = None
    error: Exception | None = None

    @property
    def ended(self) -> bool:
        return self.outcome is not None or self.error is not None


Send = typing.Callable[[Attempt], typing.Awaitable[typing.Any]]


class RouteChanges:
    """Tells waiting calls that what is known of the routes has changed."""

    def __init__(self) -> None:
        self._events: set[curio.Event] = set()

    def add(self, event: curio.Event) -> None:
        self._events.add(event)

    def remove(self, event: curio.Event) -> None:
        self._events.discard(event)

    async def notify(self) -> None:
        for event in list(self._events):
            await event.set()


class Attempts:
    """The attempts of one call that may take effect more than once.

    The next route is tried as soon as one fails, if none has begun to answer
    in time, or if the direct route has come back.

    :param send: sends the call over an attempt's route; returns a response or
        a failure.
    """

    def __init__(
        self,
        table: store_routes.RouteTable,
        changes: RouteChanges,
        send: Send,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._changes = changes
        self._send = send
        self._clock = clock
        self._wake = curio.Event()
        self._attempts: list[Attempt] = []
        self._tasks: list[curio.Task] = []

    async def run(
        self,
        routes: typing.Sequence[store_routes.Route],
    ) -> tuple[message.Response | None, list[Attempt]]:
        """Return the first response, or None, and all attempts.

        Attempts that have not ended were given up: another one was answered,
        or their route failed meanwhile and no other is left.
        """
        waiting = collections.deque(routes)
        self._changes.add(self._wake)
        try:
            while waiting:
                await self._begin(waiting.popleft())
                response = await self._wait(waiting)
                if response is not None:
                    return response, self._attempts
            return None, self._attempts
        finally:
            self._changes.remove(self._wake)
            for task in self._tasks:
                await task.cancel(blocking=False)

    async def _begin(self, route: store_routes.Route) -> None:
        attempt = Attempt(route, self._clock())
        self._attempts.append(attempt)
        self._tasks.append(
            await curio.spawn(self._run_attempt, attempt, daemon=True)
        )

    async def _run_attempt(self, attempt: Attempt) -> None:
        try:
            attempt.outcome = await self._send(attempt)
        except Exception as error:
            attempt.error = error
        await self._wake.set()

    async def _wait(
        self,
        waiting: collections.deque[store_routes.Route],
    ) -> message.Response | None:
        """Wait for an answer, or until the next route has to be tried."""
        next_at = self._clock() + NEXT_ROUTE_SECONDS
        ended = sum(attempt.ended for attempt in self._attempts)
        while True:
            open_attempts = self._open_attempts()
            if not open_attempts:
                return None
            if waiting and not _any_begun(open_attempts):
                await curio.ignore_after(
                    max(0.0, next_at - self._clock()), self._wake.wait
                )
            else:
                await self._wake.wait()
            self._wake.clear()
            for attempt in self._attempts:
                if attempt.error is not None:
                    raise attempt.error
                if isinstance(attempt.outcome, message.Response):
                    return attempt.outcome
            if waiting and self._next_is_due(waiting, ended, next_at):
                return None

    def _open_attempts(self) -> list[Attempt]:
        """Return the attempts that may still be answered."""
        return [
            attempt for attempt in self._attempts
            if attempt.outcome is None and
            not self._table.failed_since(attempt.route, attempt.started_at)
        ]

    def _next_is_due(
        self,
        waiting: collections.deque[store_routes.Route],
        ended_before: int,
        next_at: float,
    ) -> bool:
        if self._table.direct_is_up and store_routes.DIRECT in waiting:
            waiting.remove(store_routes.DIRECT)
            waiting.appendleft(store_routes.DIRECT)
            return True
        ended = sum(attempt.ended for attempt in self._attempts)
        open_attempts = self._open_attempts()
        return (
            ended > ended_before or not open_attempts
            or (self._clock() >= next_at and not _any_begun(open_attempts))
        )


def _any_begun(open_attempts: typing.Iterable[Attempt]) -> bool:
    return any(attempt.begun for attempt in open_attempts)


__all__ = ('Attempt', 'Attempts', 'NEXT_ROUTE_SECONDS', 'RouteChanges')
