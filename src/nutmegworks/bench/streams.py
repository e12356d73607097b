"""Seeded job streams of the two deployments."""
from __future__ import annotations

import dataclasses
import random
import typing

from nutmegworks.bench import simulation
from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.model import work
from nutmegworks.policy import events

ACCELERATORS: typing.Final = 8
STREAM_SECONDS: typing.Final = 7200.0
# Declared run times are wrong by a factor with this standard deviation of
# its logarithm; one in six is off by more than a factor of 2.7.
DECLARATION_SIGMA: typing.Final = 1.0
SHARE_FAILING: typing.Final = 0.03
SHARE_CANCELLED: typing.Final = 0.04
WORKER_LOSSES: typing.Final = 2
WORKER_REPAIR_SECONDS: typing.Final = (5.0, 600.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A class of jobs in a stream.

    :param run_time: shortest and longest seconds.
    :param load: share of the domain's accelerators that the class keeps
        busy on average.
    :param burst: jobs that arrive together in a burst.
    """

    class_id: str
    target: float
    shape_texts: tuple[str, ...]
    run_time: tuple[float, float]
    load: float
    burst: int
    idempotent: bool = True
    interruptible: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """What one operator runs.

    :param guarantees: shapes by team in each domain.
    :param weights: share of the jobs by team.
    """

    name: str
    domains: tuple[str, ...]
    workers: int
    kinds: tuple[Kind, ...]
    guarantees: typing.Mapping[str, tuple[str, ...]]
    weights: tuple[float, ...]


BALQA: typing.Final = Deployment(
    name='Balqa',
    domains=('amman-north', 'amman-south', 'amman-east'),
    workers=8,
    kinds=(
        Kind('van-routing', 60.0, ('1x1', '1x2'), (10.0, 40.0), 0.12, 25),
        Kind(
            'bucket-returns',
            900.0,
            ('1x2', '1x4', '1x8'),
            (60.0, 400.0),
            0.22,
            10,
            interruptible=False,
        ),
        Kind('stem-demand', 7200.0, ('2x8', '4x8'), (300.0, 1500.0), 0.4, 3),
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
        Kind(
            'hand-alignment',
            300.0,
            ('1x1', '1x3', '1x4'),
            (30.0, 120.0),
            0.2,
            12,
        ),
        Kind(
            'movement-diagnostics',
            1800.0,
            ('1x2', '2x4'),
            (120.0, 600.0),
            0.25,
            6,
            idempotent=False,
        ),
        Kind(
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
    """All that happens in one domain.

    :param faults: events of workers with their time.
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
        accelerators=ACCELERATORS,
    )


def _arrivals(
    kind: Kind,
    mean_work: float,
    capacity: int,
    source: random.Random,
) -> list[float]:
    """Return times: half of the load evenly, half of it in bursts."""
    count = kind.load * capacity * STREAM_SECONDS / mean_work
    times: list[float] = []
    at = 0.0
    while (at := at +
           source.expovariate(count / 2 / STREAM_SECONDS)) < STREAM_SECONDS:
        times.append(at)
    bursts = max(1, round(count / 2 / kind.burst))
    for _ in range(bursts):
        start = source.uniform(0.0, STREAM_SECONDS)
        times += [start + source.uniform(0.0, 30.0) for _ in range(kind.burst)]
    return sorted(times)


def _jobs(
    deployment: Deployment,
    kind: Kind,
    source: random.Random,
) -> list[simulation.SimulatedJob]:
    options = [shapes.Shape.parse(text) for text in kind.shape_texts]
    mean_size = sum(s.accelerators for s in options) / len(options)
    mean_work = mean_size * sum(kind.run_time) / 2
    capacity = deployment.workers * ACCELERATORS
    jobs: list[simulation.SimulatedJob] = []
    for at in _arrivals(kind, mean_work, capacity, source):
        run_time = source.uniform(*kind.run_time)
        team, = source.choices(
            list(deployment.guarantees),
            deployment.weights,
        )
        declared = run_time * source.lognormvariate(0.0, DECLARATION_SIGMA)
        cancelled = source.random() < SHARE_CANCELLED
        spec = work.JobSpec(
            team_id=ids.TeamId(team),
            class_id=ids.ClassId(kind.class_id),
            shape=source.choice(options),
            run_time=declared,
        )
        jobs.append(
            simulation.SimulatedJob(
                job_id=ids.JobId(f'{kind.class_id}-{len(jobs)}'),
                spec=spec,
                arrive_at=at,
                run_time=run_time,
                cancel_at=at +
                source.expovariate(1 / run_time) if cancelled else None,
                fails=source.random() < SHARE_FAILING,
            )
        )
    return jobs


def _faults(
    deployment: Deployment,
    source: random.Random,
) -> list[tuple[float, events.Event]]:
    faults: list[tuple[float, events.Event]] = []
    for _ in range(WORKER_LOSSES):
        worker = _worker_up(source.randrange(deployment.workers))
        at = source.uniform(0.0, STREAM_SECONDS)
        back_at = at + source.uniform(*WORKER_REPAIR_SECONDS)
        faults.append((at, events.WorkerDown(worker_id=worker.worker_id)))
        faults.append((back_at, worker))
    return faults


def stream(deployment: Deployment, domain: str, seed: int) -> Stream:
    """Return the same stream for the same arguments."""
    source = random.Random(f'{deployment.name}/{domain}/{seed}')
    jobs: list[simulation.SimulatedJob] = []
    for kind in deployment.kinds:
        jobs += _jobs(deployment, kind, source)
    return Stream(
        configuration=configuration(deployment),
        workers=tuple(_worker_up(i) for i in range(deployment.workers)),
        jobs=tuple(jobs),
        faults=tuple(_faults(deployment, source)),
    )


__all__ = (
    'BALQA',
    'DEPLOYMENTS',
    'DONG_HO',
    'Deployment',
    'Kind',
    'STREAM_SECONDS',
    'Stream',
    'configuration',
    'stream',
)
