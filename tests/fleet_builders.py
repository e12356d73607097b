"""Builds workers, demands and runs for tests of the task policies."""
from __future__ import annotations

import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_preemption
from nutmegworks.tasks import spec

WHOLE_WORKER = spec.Resources(128_000, 512_000, 8)
SERVICE = ids.ServiceId('planner')


def worker(
    worker_id: str,
    *,
    rack: str = 'r1',
    free: spec.Resources = WHOLE_WORKER,
    releases: typing.Iterable[tuple[float, spec.Resources]] = (),
    reserved_from: float = math.inf,
) -> task_placement.WorkerCapacity:
    return task_placement.WorkerCapacity(
        ids.WorkerId(worker_id),
        SERVICE,
        rack,
        frozenset({rack}),
        WHOLE_WORKER,
        free,
        tuple(
            task_placement.Release(after, resources)
            for after, resources in releases
        ),
        reserved_from,
    )


def step(
    *,
    tasks: int = 1,
    gang: bool = False,
    one_rack: bool = False,
    accelerators: int = 1,
    cpu: int = 10_000,
    estimate: float = 5.0,
    max_per_worker: int = 0,
    data_rack: str = '',
    endless: bool = False,
) -> spec.Step:
    return spec.Step(
        number=spec.StepNumber(0),
        count=tasks,
        resources=spec.Resources(cpu, 30_000, accelerators),
        estimate=estimate,
        gang=gang,
        one_rack=one_rack,
        max_per_worker=max_per_worker,
        data_rack=data_rack,
        endless=endless,
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
    idle: float | None = None,
    **step_options: typing.Any,
) -> task_demand.Demand:
    """Return a demand; urgent ones are guaranteed by default.

    Its job has had nothing running for as long as it has waited by default.
    """
    demand_step = step(tasks=tasks, **step_options)
    return task_demand.Demand(
        job_id=ids.JobId(job_id),
        occurrence=spec.Occurrence(0),
        step=demand_step,
        indexes=tuple(range(tasks)),
        priority=priority,
        waited=waited,
        remaining=demand_step.estimate,
        objective=objective,
        sequence=sequence,
        service_id=SERVICE,
        used_by_worker={
            ids.WorkerId(worker_id): count
            for worker_id, count in (used_by_worker or {}).items()
        },
        guaranteed=priority == 0 if guaranteed is None else guaranteed,
        idle=waited if idle is None else idle,
    )


def running(
    job_id: str,
    worker_id: str,
    *,
    index: int = 0,
    priority: int = 2,
    resources: spec.Resources = spec.Resources(10_000, 30_000, 1),
    elapsed: float = 1.0,
    checkpoints: bool = False,
    group: str = '',
    endless: bool = False,
) -> task_preemption.RunningTask:
    task = spec.TaskKey(
        ids.JobId(job_id), spec.Occurrence(0), spec.StepNumber(0), index
    )
    return task_preemption.RunningTask(
        task,
        (group or task.name, ),
        ids.WorkerId(worker_id),
        priority,
        resources,
        elapsed,
        checkpoints,
        endless,
    )
