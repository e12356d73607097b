"""Jitter, backoff and rate limits that keep daemons from synchronizing."""
from __future__ import annotations

import random


def spread(
    rng: random.Random,
    seconds: float,
    *,
    fraction: float = 0.2,
) -> float:
    """Return ``seconds`` with uniform jitter.

    :param fraction: maximum relative deviation.
    """
    return seconds * rng.uniform(1 - fraction, 1 + fraction)


def backoff(
    rng: random.Random,
    failures: int,
    *,
    base: float,
    cap: float,
) -> float:
    """Return a random exponential backoff in seconds.

    :param failures: number of consecutive failures.
    :param base: seconds.
    :param cap: upper bound in seconds.
    """
    ceiling = min(cap, base * 2**min(failures, 16))
    return rng.uniform(base / 2, max(base, ceiling))


class TokenBucket:
    """A token bucket that limits the rate of calls.

    :param rate: calls per second.
    :param burst: calls that may be made at once.
    """

    def __init__(self, rate: float, burst: float, *, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def take(self, now: float) -> float:
        """Take one token; return the seconds to wait before the call."""
        refilled = self._tokens + (now - self._updated_at) * self._rate
        self._tokens = min(self._burst, refilled) - 1.0
        self._updated_at = now
        return max(0.0, -self._tokens / self._rate)


def should_make_shared_call(
    rng: random.Random,
    *,
    rate: float,
    member_count: int,
    seconds: float,
) -> bool:
    """Decide at random whether this member makes a call that any member could.

    :param rate: calls per second of all members together.
    :param seconds: time since the last decision.
    """
    return rng.random() < min(1.0, rate * seconds / max(1, member_count))


__all__ = ('TokenBucket', 'backoff', 'should_make_shared_call', 'spread')
