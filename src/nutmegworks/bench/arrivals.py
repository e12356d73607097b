"""Plans the arrivals of a load test of nutmegd from a seed.

Requests and jobs arrive as Poisson processes with additional bursts;
cancellations of jobs are planned likewise.
"""
from __future__ import annotations

import dataclasses
import enum
import random
import typing


class Kind(enum.Enum):
    """What arrives.

    REQUEST: an idempotent request to the daemon.
    NON_IDEMPOTENT: a request of a non-idempotent class.
    DIRECT: a request sent to an upstream, bypassing the daemon.
    JOB: a submitted job.
    CANCEL: cancellation of a part of the submitted jobs.
    """

    REQUEST = 'request'
    NON_IDEMPOTENT = 'once'
    DIRECT = 'direct'
    JOB = 'job'
    CANCEL = 'cancel'


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One planned arrival.

    :param arrives_at: seconds since the start of the load test.
    :param size: bytes of a request's body; accelerators of a job.
    :param declared: declared run time of a job in seconds.
    :param actual: actual run time of a job in seconds.
    """

    arrives_at: float
    kind: Kind
    size: int = 0
    declared: float = 0.0
    actual: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The rates of a load test; a kind with a rate of 0 does not arrive.

    :param rates: arrivals per second by kind, without bursts.
    :param burst_rate: bursts per second. Half of them consist of many small
        requests or jobs, half of a few large ones.
    :param cancellation_rate: CANCEL arrivals per second.
    """

    rates: typing.Mapping[Kind, float]
    burst_rate: float = 0.0
    cancellation_rate: float = 0.0


SMALL_BYTES: typing.Final = 200
LARGE_BYTES: typing.Final = 50_000
SMALL_BURST_SIZE: typing.Final = 30
LARGE_BURST_SIZE: typing.Final = 5
BURST_SECONDS: typing.Final = 0.1
MEAN_JOB_SECONDS: typing.Final = 3.0
SMALL_JOB_ACCELERATORS: typing.Final = (1, 2, 4)
LARGE_JOB_ACCELERATORS: typing.Final = (8, 16)
# Declared run times are too long or too short by up to this factor.
MAX_DECLARATION_FACTOR: typing.Final = 8.0


def plan(workload: Plan, *, seconds: float, seed: int) -> list[Arrival]:
    """Return all arrivals, sorted by time.

    >>> both = Plan({Kind.REQUEST: 50.0, Kind.JOB: 2.0}, 0.5, 0.5)
    >>> plan(both, seconds=9, seed=1) == plan(both, seconds=9, seed=1)
    True
    """
    rng = random.Random(seed)
    planned: list[Arrival] = []
    for kind, rate in workload.rates.items():
        for arrives_at in _poisson_times(rng, rate, seconds):
            planned.append(_new_arrival(rng, kind, arrives_at, large=False))
    kinds = [kind for kind, rate in workload.rates.items() if rate > 0]
    for burst_at in _poisson_times(rng, workload.burst_rate, seconds):
        large = rng.random() < 0.5
        kind = rng.choice(kinds)
        for _ in range(LARGE_BURST_SIZE if large else SMALL_BURST_SIZE):
            arrives_at = burst_at + rng.uniform(0.0, BURST_SECONDS)
            planned.append(_new_arrival(rng, kind, arrives_at, large=large))
    for arrives_at in _poisson_times(rng, workload.cancellation_rate, seconds):
        planned.append(Arrival(arrives_at, Kind.CANCEL))
    return sorted(planned, key=lambda item: item.arrives_at)


def _poisson_times(
    rng: random.Random,
    rate: float,
    seconds: float,
) -> typing.Iterator[float]:
    arrives_at = rng.expovariate(rate) if rate > 0 else seconds
    while arrives_at < seconds:
        yield arrives_at
        arrives_at += rng.expovariate(rate)


def _new_arrival(
    rng: random.Random,
    kind: Kind,
    arrives_at: float,
    *,
    large: bool,
) -> Arrival:
    if kind is not Kind.JOB:
        return Arrival(arrives_at, kind, LARGE_BYTES if large else SMALL_BYTES)
    actual = rng.expovariate(1.0 / MEAN_JOB_SECONDS)
    factor = MAX_DECLARATION_FACTOR**rng.uniform(-1.0, 1.0)
    size = rng.choice(
        LARGE_JOB_ACCELERATORS if large else SMALL_JOB_ACCELERATORS
    )
    return Arrival(arrives_at, kind, size, max(0.1, actual * factor), actual)


__all__ = ('Arrival', 'Kind', 'Plan', 'plan')
