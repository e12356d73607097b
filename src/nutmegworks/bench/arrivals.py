"""Plans arrivals from a seed: Poisson with bursts, jobs and cancellations."""
from __future__ import annotations

import dataclasses
import enum
import random
import typing


class Kind(enum.Enum):
    """What arrives.

    ONCE is a non-idempotent request; DIRECT goes to an upstream without a
    daemon; CANCEL cancels a part of the open jobs.
    """

    REQUEST = 'request'
    ONCE = 'once'
    DIRECT = 'direct'
    JOB = 'job'
    CANCEL = 'cancel'


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One planned arrival.

    :param at: seconds since the start.
    :param size: bytes of a request's body; accelerators of a job.
    :param declared: seconds that a job declares.
    :param actual: seconds that it takes.
    """

    at: float
    kind: Kind
    size: int = 0
    declared: float = 0.0
    actual: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to plan; a rate of 0 leaves a kind out.

    :param rates: arrivals per second by kind, without bursts.
    :param bursts: bursts of small and of large work per second.
    :param waves: cancellation waves per second.
    """

    rates: typing.Mapping[Kind, float]
    bursts: float = 0.0
    waves: float = 0.0


SMALL_BYTES: typing.Final = 200
LARGE_BYTES: typing.Final = 50_000
SMALL_BURST: typing.Final = 30
LARGE_BURST: typing.Final = 5
BURST_SECONDS: typing.Final = 0.1
MEAN_JOB_SECONDS: typing.Final = 3.0
SMALL_JOBS: typing.Final = (1, 2, 4)
LARGE_JOBS: typing.Final = (8, 16)
# Declared run times are wrong by up to this factor, either way.
DECLARED_FACTOR: typing.Final = 8.0


def plan(wanted: Plan, *, seconds: float, seed: int) -> list[Arrival]:
    """Return all arrivals in the order of their times.

    >>> both = Plan({Kind.REQUEST: 50.0, Kind.JOB: 2.0}, 0.5, 0.5)
    >>> plan(both, seconds=9, seed=1) == plan(both, seconds=9, seed=1)
    True
    """
    rng = random.Random(seed)
    planned: list[Arrival] = []
    for kind, rate in wanted.rates.items():
        for at in _poisson(rng, rate, seconds):
            planned.append(_arrival(rng, kind, at, large=False))
    kinds = [kind for kind, rate in wanted.rates.items() if rate > 0]
    for at in _poisson(rng, wanted.bursts, seconds):
        large = rng.random() < 0.5
        kind = rng.choice(kinds)
        for _ in range(LARGE_BURST if large else SMALL_BURST):
            moment = at + rng.uniform(0.0, BURST_SECONDS)
            planned.append(_arrival(rng, kind, moment, large=large))
    for at in _poisson(rng, wanted.waves, seconds):
        planned.append(Arrival(at, Kind.CANCEL))
    return sorted(planned, key=lambda item: item.at)


def _poisson(
    rng: random.Random,
    rate: float,
    seconds: float,
) -> typing.Iterator[float]:
    at = rng.expovariate(rate) if rate > 0 else seconds
    while at < seconds:
        yield at
        at += rng.expovariate(rate)


def _arrival(
    rng: random.Random,
    kind: Kind,
    at: float,
    *,
    large: bool,
) -> Arrival:
    if kind is not Kind.JOB:
        return Arrival(at, kind, LARGE_BYTES if large else SMALL_BYTES)
    actual = rng.expovariate(1.0 / MEAN_JOB_SECONDS)
    factor = DECLARED_FACTOR**rng.uniform(-1.0, 1.0)
    size = rng.choice(LARGE_JOBS if large else SMALL_JOBS)
    return Arrival(at, kind, size, max(0.1, actual * factor), actual)


__all__ = ('Arrival', 'Kind', 'Plan', 'plan')
