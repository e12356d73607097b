"""Builders of jobs, workers and demands for tests of the fleet."""
from __future__ import annotations

import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import demand as demands
from nutmegworks.policy import fitting
from nutmegworks.policy import victims
from nutmegworks.tasks import spec

WHOLE_WORKER = spec.Room(128_000, 512_000, 8)
SERVICE = ids.ServiceId('planner')


def slot(
    worker_id: str,
    *,
    rack: str = 'r1',
    free: spec.Room = WHOLE_WORKER,
    releases: typing.Iterable[tuple[float, spec.Room]] = (),
    held_from: float = math.inf,
) -> fitting.Slot:
    return fitting.Slot(
        ids.WorkerId(worker_id),
        SERVICE,
        rack,
        frozenset({rack}),
        WHOLE_WORKER,
        free,
        tuple(fitting.Release(after, room) for after, room in releases),
        held_from,
    )


def step(
    *,
    tasks: int = 1,
    gang: bool = False,
    one_rack: bool = False,
    accelerators: int = 1,
    cpu: int = 10_000,
    estimate: float = 5.0,
    most_per_worker: int = 0,
    data_rack: str = '',
) -> spec.Step:
    return spec.Step(
        number=spec.StepNumber(0),
        count=tasks,
        room=spec.Room(cpu, 30_000, accelerators),
        estimate=estimate,
        gang=gang,
        one_rack=one_rack,
        most_per_worker=most_per_worker,
        data_rack=data_rack,
    )


def demand(
    job_id: str = 'a1',
    *,
    tasks: int = 1,
    priority: int = 1,
    waited: float = 0.0,
    objective: float = 20.0,
    sequence: int = 1,
    used_by_worker: typing.Mapping[str, int] | None = None,
    guaranteed: bool | None = None,
    **of_step: typing.Any,
) -> demands.Demand:
    """Return a demand; urgent ones are guaranteed unless said otherwise."""
    made = step(tasks=tasks, **of_step)
    return demands.Demand(
        job_id=ids.JobId(job_id),
        occurrence=spec.Occurrence(0),
        step=made,
        indexes=tuple(range(tasks)),
        priority=priority,
        waited=waited,
        remaining=made.estimate,
        objective=objective,
        sequence=sequence,
        service_id=SERVICE,
        used_by_worker={
            ids.WorkerId(worker_id): count
            for worker_id, count in (used_by_worker or {}).items()
        },
        guaranteed=priority == 0 if guaranteed is None else guaranteed,
    )


def running(
    job_id: str,
    worker_id: str,
    *,
    index: int = 0,
    priority: int = 2,
    room: spec.Room = spec.Room(10_000, 30_000, 1),
    elapsed: float = 1.0,
    checkpoints: bool = False,
    group: str = '',
) -> victims.RunningTask:
    task = spec.TaskKey(
        ids.JobId(job_id), spec.Occurrence(0), spec.StepNumber(0), index
    )
    return victims.RunningTask(
        task,
        (group or task.name, ),
        ids.WorkerId(worker_id),
        priority,
        room,
        elapsed,
        checkpoints,
    )
