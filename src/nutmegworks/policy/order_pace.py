"""Decides how many orders a worker gets at a time, and when after a failure.

Used by the platform daemon (nutmegworks.daemon.fleet). The number halves with
each failure and grows with answers, so that a worker that answers nothing, or
has no connection left, gets one request at a time, after growing pauses. Lost
answers of a worker that gives others do not count: less at a time would only
make the orders later.
"""
from __future__ import annotations

import math
import random
import typing

# Until the first answer.
INITIAL_ORDERS: typing.Final = 4
# A single lost answer delays the other orders by little.
MIN_PAUSE_SECONDS: typing.Final = 0.005
PAUSE_GROWTH: typing.Final = 4
# With the time limit of a request (0.6 s) this is the longest time until a
# worker that can be reached again gets its orders; clients are promised that
# a cancelled job has stopped 3 s after its acknowledgement.
MAX_PAUSE_SECONDS: typing.Final = 0.5
# Between the starts of two attempts of one order, from the second repeat on.
REPEAT_SECONDS: typing.Final = 0.1
MAX_REPEAT_SECONDS: typing.Final = 1.0
# Longer than the time limit of a request (0.6 s): while all connections wait
# for lost answers, none comes.
ANSWERING_SECONDS: typing.Final = 1.0
# For which the number stays below the one that failed.
CEILING_SECONDS: typing.Final = 5.0


def repeat_interval(attempts: int) -> float:
    """Return the seconds from an order's last attempt to the next one.

    :param attempts: so far; the first repeat comes at once.

    >>> [repeat_interval(attempts) for attempts in (1, 2, 3, 4)]
    [0.0, 0.1, 0.2, 0.4]
    """
    if attempts < 2:
        return 0.0
    doublings = min(attempts - 2, 8)
    return min(MAX_REPEAT_SECONDS, REPEAT_SECONDS * 2**doublings)


class OrderPace:
    """The pace of one worker's orders; times are monotonic seconds.

    :param most: orders at a time.
    :param random_share: returns the share of a pause that is waited.
    :ivar resume_at: nothing is sent before.
    """

    def __init__(
        self,
        most: int,
        random_share: typing.Callable[
            [], float] = (lambda: random.uniform(0.5, 1.0)),
    ) -> None:
        self._most = most
        self._random_share = random_share
        self._limit = min(most, INITIAL_ORDERS)
        self._ceiling = most
        self._ceiling_until = -math.inf
        self._failures = 0
        self._answered_at = -math.inf
        self.resume_at = -math.inf

    def limit(self, now: float) -> int:
        """Return how many orders may be on their way at a time."""
        if now < self._ceiling_until:
            return min(self._limit, self._ceiling)
        return self._limit

    def record_answer(self, now: float) -> None:
        """Record that the worker answered an order, whatever it said."""
        self._failures = 0
        self._answered_at = now
        ceiling = self._ceiling if now < self._ceiling_until else self._most
        self._limit = min(ceiling, self._limit + 1)

    def record_unanswered(self, now: float) -> None:
        """Record an order that was not answered in time."""
        if now - self._answered_at >= ANSWERING_SECONDS:
            self.record_failure(now)

    def record_failure(self, now: float) -> None:
        """Record an order whose connection broke or could not be opened.

        Those that fail together, before the pause is over, count once.
        """
        if now < self.resume_at:
            return
        self._ceiling = max(1, self.limit(now) - 1)
        self._ceiling_until = now + CEILING_SECONDS
        self._limit = max(1, self._limit // 2)
        pause = min(
            MAX_PAUSE_SECONDS,
            MIN_PAUSE_SECONDS * PAUSE_GROWTH**self._failures,
        )
        # Further failures would not make the pause longer.
        self._failures += pause < MAX_PAUSE_SECONDS
        self.resume_at = now + pause * self._random_share()


__all__ = (
    'ANSWERING_SECONDS',
    'CEILING_SECONDS',
    'INITIAL_ORDERS',
    'MAX_PAUSE_SECONDS',
    'MAX_REPEAT_SECONDS',
    'MIN_PAUSE_SECONDS',
    'OrderPace',
    'PAUSE_GROWTH',
    'REPEAT_SECONDS',
    'repeat_interval',
)
