"""Load pattern: workers full of runs that are about to end."""
from __future__ import annotations

import math

from nutmegworks.policy import fitting
from nutmegworks.tasks import spec
from tests import fleet_builders as builders


def test_a_run_at_its_end_still_holds_its_room() -> None:
    """Starting beside it would bring the worker over its capacity."""
    full = builders.slot(
        'w1', free=spec.Room(), releases=[(0.0, builders.WHOLE_WORKER)]
    )

    placement = fitting.place(builders.demand(tasks=1), [full], far=True)

    assert placement == []


def test_a_gang_gets_all_of_its_workers_or_none() -> None:
    """A part of a gang that holds room without working blocks others."""
    slots = [builders.slot('w1'), builders.slot('w2', free=spec.Room())]
    demand = builders.demand(tasks=2, gang=True, accelerators=8)

    assert fitting.place(demand, slots, far=True) == []


def test_a_gang_prefers_one_rack() -> None:
    """Across racks its tasks take three times as long."""
    slots = [
        builders.slot('a1', rack='r1'),
        builders.slot('b1', rack='r2'),
        builders.slot('b2', rack='r2'),
    ]
    demand = builders.demand(tasks=2, gang=True, one_rack=True, accelerators=8)

    assert set(fitting.place(demand, slots, far=False)) == {'b1', 'b2'}


def test_fullest_worker_first() -> None:
    """Spreading small tasks leaves no whole worker for large ones."""
    slots = [
        builders.slot('empty'),
        builders.slot('used', free=spec.Room(100_000, 400_000, 5)),
    ]

    assert fitting.place(
        builders.demand(tasks=1), slots, far=False
    ) == ['used']


def test_most_per_worker_counts_running_tasks() -> None:
    """Tasks that run already count towards the limit on a worker."""
    demand = builders.demand(
        tasks=3, most_per_worker=2, used_by_worker={'w1': 1}
    )

    assert fitting.place(demand, [builders.slot('w1')], far=False) == ['w1']


def test_earliest_time_of_a_gang() -> None:
    """A waiting gang is promised the workers that are free first."""
    slots = [
        builders.slot(
            'w1', free=spec.Room(), releases=[(5.0, builders.WHOLE_WORKER)]
        ),
        builders.slot(
            'w2', free=spec.Room(), releases=[(2.0, builders.WHOLE_WORKER)]
        ),
        builders.slot(
            'w3', free=spec.Room(), releases=[(9.0, builders.WHOLE_WORKER)]
        ),
    ]
    demand = builders.demand(tasks=2, gang=True, accelerators=8)

    when, placement = fitting.earliest(demand, slots)

    assert when == 5.0
    assert set(placement) == {'w1', 'w2'}


def test_a_demand_that_never_fits_has_no_earliest_time() -> None:
    """Waiting for it would hold workers for ever."""
    demand = builders.demand(tasks=2, gang=True, accelerators=8)

    when, _ = fitting.earliest(demand, [builders.slot('w1')])

    assert math.isinf(when)
