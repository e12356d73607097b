"""Placement on workers that are partly or wholly in use."""
from __future__ import annotations

import math

from nutmegworks.policy import task_placement
from nutmegworks.tasks import spec
from tests import fleet_builders as builders


def test_a_run_about_to_end_still_uses_its_resources() -> None:
    """A task started beside it would exceed the worker's capacity."""
    full = builders.worker(
        'w1', free=spec.Resources(), releases=[(0.0, builders.WHOLE_WORKER)]
    )

    placement = task_placement.place(
        builders.demand(tasks=1), [full], any_rack=True
    )

    assert placement == []


def test_a_gang_gets_all_of_its_workers_or_none() -> None:
    """A part of a gang would use resources that others need, and not run."""
    workers = [
        builders.worker('w1'),
        builders.worker('w2', free=spec.Resources())
    ]
    demand = builders.demand(tasks=2, gang=True, accelerators=8)

    assert task_placement.place(demand, workers, any_rack=True) == []


def test_a_gang_prefers_one_rack() -> None:
    """Across racks its tasks take three times as long."""
    workers = [
        builders.worker('a1', rack='r1'),
        builders.worker('b1', rack='r2'),
        builders.worker('b2', rack='r2'),
    ]
    demand = builders.demand(tasks=2, gang=True, one_rack=True, accelerators=8)

    assert set(task_placement.place(demand, workers,
                                    any_rack=False)) == {'b1', 'b2'}


def test_the_fullest_worker_is_used_first() -> None:
    """Small tasks spread over all workers leave none empty for large ones."""
    workers = [
        builders.worker('empty'),
        builders.worker('used', free=spec.Resources(100_000, 400_000, 5)),
    ]

    assert task_placement.place(
        builders.demand(tasks=1), workers, any_rack=False
    ) == ['used']


def test_max_per_worker_counts_running_tasks() -> None:
    """Running tasks count towards the limit of tasks on a worker."""
    demand = builders.demand(
        tasks=3, max_per_worker=2, used_by_worker={'w1': 1}
    )

    assert task_placement.place(
        demand, [builders.worker('w1')], any_rack=False
    ) == ['w1']


def test_earliest_placement_of_a_gang() -> None:
    """A waiting gang gets the workers that are free first."""
    workers = [
        builders.worker(
            'w1',
            free=spec.Resources(),
            releases=[(5.0, builders.WHOLE_WORKER)]
        ),
        builders.worker(
            'w2',
            free=spec.Resources(),
            releases=[(2.0, builders.WHOLE_WORKER)]
        ),
        builders.worker(
            'w3',
            free=spec.Resources(),
            releases=[(9.0, builders.WHOLE_WORKER)]
        ),
    ]
    demand = builders.demand(tasks=2, gang=True, accelerators=8)

    earliest, placement = task_placement.earliest_placement(demand, workers)

    assert earliest == 5.0
    assert set(placement) == {'w1', 'w2'}


def test_a_demand_that_never_fits_has_no_earliest_time() -> None:
    """Workers would be reserved for it forever."""
    demand = builders.demand(tasks=2, gang=True, accelerators=8)

    earliest, _ = task_placement.earliest_placement(
        demand, [builders.worker('w1')]
    )

    assert math.isinf(earliest)
