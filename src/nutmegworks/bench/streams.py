"""Seeded job streams of two deployments of nutmegd, for bench.policy."""
from __future__ import annotations

import dataclasses
import random
import typing

from nutmegworks.bench import simulation
from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.model import work
from nutmegworks.policy import events

ACCELERATORS_PER_WORKER: typing.Final = 8
STREAM_SECONDS: typing.Final = 7200.0
# Standard deviation of the logarithm of the declared run time over the actual
# one; one in six declarations is off by more than a factor of 2.7.
DECLARATION_SIGMA: typing.Final = 1.0
FAILING_FRACTION: typing.Final = 0.03
CANCELLED_FRACTION: typing.Final = 0.04
WORKER_LOSS_COUNT: typing.Final = 2
# Range of the time until a lost worker returns.
WORKER_REPAIR_SECONDS: typing.Final = (5.0, 600.0)


@dataclasses.dataclass(frozen=True, slots=True)
class JobKind:
    """A class of jobs in a stream.

    :param target: completion time in seconds that the class aims at.
    :param run_time: minimum and maximum in seconds.
    :param load: mean share of the domain's accelerators that the class uses.
    :param burst_jobs: number of jobs in a burst.
    """

    class_id: str
    target: float
    shape_texts: tuple[str, ...]
    run_time: tuple[float, float]
    load: float
    burst_jobs: int
    idempotent: bool = True
    interruptible: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The domains, workers, classes and teams of one operator.

    :param workers: number in each domain.
    :param guarantees: shapes by team, the same in each domain.
    :param weights: share of the jobs of each team, in the same order.
    """

    name: str
    domains: tuple[str, ...]
    workers: int
    kinds: tuple[JobKind, ...]
    guarantees: typing.Mapping[str, tuple[str, ...]]
    weights: tuple[float, ...]


BALQA: typing.Final = Deployment(
    name='Balqa',
    domains=('amman-north', 'amman-south', 'amman-east'),
    workers=8,
    kinds=(
        JobKind('van-routing', 60.0, ('1x1', '1x2'), (10.0, 40.0), 0.12, 25),
        JobKind(
            'bucket-returns',
            900.0,
            ('1x2', '1x4', '1x8'),
            (60.0, 400.0),
            0.22,
            10,
            interruptible=False,
        ),
        JobKind(
            'stem-demand', 7200.0, ('2x8', '4x8'), (300.0, 1500.0), 0.4, 3
        ),
    ),
    guarantees={
        'planning': ('2x8', ),
        'depots': ('1x8', '1x8'),
        'growers': ('1x4', ),
        'returns': ('1x4', ),
    },
    weights=(0.45, 0.35, 0.12, 0.08),
)

DONG_HO: typing.Final = Deployment(
    name='Dong Ho',
    domains=('saigon-central', 'bien-hoa', 'thu-duc', 'long-an'),
    workers=6,
    kinds=(
        JobKind(
            'hand-alignment',
            300.0,
            ('1x1', '1x3', '1x4'),
            (30.0, 120.0),
            0.2,
            12,
        ),
        JobKind(
            'movement-diagnostics',
            1800.0,
            ('1x2', '2x4'),
            (120.0, 600.0),
            0.25,
            6,
            idempotent=False,
        ),
        JobKind(
            'chime-calibration',
            10800.0,
            ('2x8', '3x8'),
            (600.0, 1800.0),
            0.32,
            2,
        ),
    ),
    guarantees={
        'movements': ('2x8', ),
        'dials': ('1x8', ),
        'chimes': ('1x4', ),
        'service': ('1x4', ),
    },
    weights=(0.4, 0.4, 0.1, 0.1),
)

DEPLOYMENTS: typing.Final = (BALQA, DONG_HO)


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Configuration, workers and events of one domain.

    :param faults: times in simulated seconds with the worker events.
    """

    configuration: work.Configuration
    workers: tuple[events.WorkerUp, ...]
    jobs: tuple[simulation.SimulatedJob, ...]
    faults: tuple[tuple[float, events.Event], ...]


def configuration(deployment: Deployment) -> work.Configuration:
    """Return the deployment's classes and teams."""
    team_ids = frozenset(ids.TeamId(team) for team in deployment.guarantees)
    classes = [
        work.WorkClass(
            class_id=ids.ClassId(kind.class_id),
            service_id=ids.ServiceId(deployment.name),
            target=kind.target,
            guaranteed_share=0.0,
            idempotent=kind.idempotent,
            interruptible=kind.interruptible,
            team_ids=team_ids,
        ) for kind in deployment.kinds
    ]
    teams = [
        work.Team(
            ids.TeamId(team),
            (),
            tuple(
                work.Guarantee(
                    ids.DomainId(domain),
                    tuple(shapes.Shape.parse(text) for text in texts),
                ) for domain in deployment.domains
            ),
        ) for team, texts in deployment.guarantees.items()
    ]
    return work.Configuration(
        sequence=ids.ConfigSequence(1),
        class_by_id={item.class_id: item
                     for item in classes},
        team_by_id={item.team_id: item
                    for item in teams},
    )


def _worker_up(i: int) -> events.WorkerUp:
    return events.WorkerUp(
        worker_id=ids.WorkerId(f'worker-{i}'),
        rack_id=ids.RackId('rack-0'),
        accelerators=ACCELERATORS_PER_WORKER,
    )


def _arrivals(
    kind: JobKind,
    mean_work: float,
    capacity: int,
    rng: random.Random,
) -> list[float]:
    """Return arrival times: half of the jobs as Poisson, half in bursts."""
    count = kind.load * capacity * STREAM_SECONDS / mean_work
    times: list[float] = []
    arrives_at = 0.0
    while (arrives_at := arrives_at +
           rng.expovariate(count / 2 / STREAM_SECONDS)) < STREAM_SECONDS:
        times.append(arrives_at)
    bursts = max(1, round(count / 2 / kind.burst_jobs))
    for _ in range(bursts):
        start = rng.uniform(0.0, STREAM_SECONDS)
        times += [
            start + rng.uniform(0.0, 30.0) for _ in range(kind.burst_jobs)
        ]
    return sorted(times)


def _jobs(
    deployment: Deployment,
    kind: JobKind,
    rng: random.Random,
) -> list[simulation.SimulatedJob]:
    job_shapes = [shapes.Shape.parse(text) for text in kind.shape_texts]
    mean_size = sum(s.accelerators for s in job_shapes) / len(job_shapes)
    mean_work = mean_size * sum(kind.run_time) / 2
    capacity = deployment.workers * ACCELERATORS_PER_WORKER
    jobs: list[simulation.SimulatedJob] = []
    for arrives_at in _arrivals(kind, mean_work, capacity, rng):
        run_time = rng.uniform(*kind.run_time)
        team, = rng.choices(
            list(deployment.guarantees),
            deployment.weights,
        )
        declared = run_time * rng.lognormvariate(0.0, DECLARATION_SIGMA)
        cancelled = rng.random() < CANCELLED_FRACTION
        spec = work.JobSpec(
            team_id=ids.TeamId(team),
            class_id=ids.ClassId(kind.class_id),
            shape=rng.choice(job_shapes),
            run_time=declared,
        )
        jobs.append(
            simulation.SimulatedJob(
                job_id=ids.JobId(f'{kind.class_id}-{len(jobs)}'),
                spec=spec,
                arrive_at=arrives_at,
                run_time=run_time,
                cancel_at=arrives_at +
                rng.expovariate(1 / run_time) if cancelled else None,
                fails=rng.random() < FAILING_FRACTION,
            )
        )
    return jobs


def _worker_faults(
    deployment: Deployment,
    rng: random.Random,
) -> list[tuple[float, events.Event]]:
    faults: list[tuple[float, events.Event]] = []
    for _ in range(WORKER_LOSS_COUNT):
        worker = _worker_up(rng.randrange(deployment.workers))
        lost_at = rng.uniform(0.0, STREAM_SECONDS)
        recovers_at = lost_at + rng.uniform(*WORKER_REPAIR_SECONDS)
        faults.append((lost_at, events.WorkerDown(worker_id=worker.worker_id)))
        faults.append((recovers_at, worker))
    return faults


def stream(deployment: Deployment, domain: str, seed: int) -> Stream:
    """Return the stream of a domain; equal arguments give equal streams."""
    rng = random.Random(f'{deployment.name}/{domain}/{seed}')
    jobs: list[simulation.SimulatedJob] = []
    for kind in deployment.kinds:
        jobs += _jobs(deployment, kind, rng)
    return Stream(
        configuration=configuration(deployment),
        workers=tuple(_worker_up(i) for i in range(deployment.workers)),
        jobs=tuple(jobs),
        faults=tuple(_worker_faults(deployment, rng)),
    )


__all__ = (
    'BALQA',
    'DEPLOYMENTS',
    'DONG_HO',
    'Deployment',
    'JobKind',
    'STREAM_SECONDS',
    'Stream',
    'configuration',
    'stream',
)
