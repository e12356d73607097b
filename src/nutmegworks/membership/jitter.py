"""Spreads calls over time, so that daemons do not act in step."""
from __future__ import annotations

import random


def spread(
    rng: random.Random,
    seconds: float,
    *,
    fraction: float = 0.2,
) -> float:
    """Return a time near ``seconds``.

    :param fraction: greatest relative deviation.
    """
    return seconds * rng.uniform(1 - fraction, 1 + fraction)


def backoff(
    rng: random.Random,
    failures: int,
    *,
    base: float,
    cap: float,
) -> float:
    """Return a random wait in seconds that grows with failures in a row."""
    ceiling = min(cap, base * 2**min(failures, 16))
    return rng.uniform(base / 2, max(base, ceiling))


class Budget:
    """Allows a number of calls per second with a small burst.

    :param rate: calls per second.
    :param burst: calls that may come at once.
    """

    def __init__(self, rate: float, burst: float, *, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._allowance = burst
        self._at = now

    def take(self, now: float) -> float:
        """Take one call and return how long to wait before it, in seconds."""
        grown = self._allowance + (now - self._at) * self._rate
        self._allowance = min(self._burst, grown) - 1.0
        self._at = now
        return max(0.0, -self._allowance / self._rate)


def cluster_share(
    rng: random.Random,
    *,
    rate: float,
    members: int,
    seconds: float,
) -> bool:
    """Decide whether this member makes a call that any of them could make.

    :param rate: calls per second that all members may make together.
    :param seconds: since the last decision.
    """
    return rng.random() < min(1.0, rate * seconds / max(1, members))


__all__ = ('Budget', 'backoff', 'cluster_share', 'spread')
