"""Load pattern: urgent gangs on full workers, whose victims stop slowly."""
from __future__ import annotations

import pytest

from nutmegworks.policy import task_planning
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

FULL = spec.Resources(0, 0, 0)


def _plan(
    stop: float,
    released_after: float,
    **options: object,
) -> task_planning.Plan:
    """Plan urgent work for a worker that is released, or its victim stops."""
    worker = builders.worker(
        'w1',
        free=FULL,
        releases=[(released_after, builders.WHOLE_WORKER)],
    )
    running = [builders.running('low', 'w1', resources=builders.WHOLE_WORKER)]
    demand = builders.demand('urgent', accelerators=8, priority=0, **options)
    bounds = task_planning.Bounds(stop=stop, reclaim=3.4)
    return task_planning.plan([demand], [worker], running, bounds=bounds)


@pytest.mark.parametrize(
    'stop, released_after, preempts', [
        (0.9, 0.8, False),
        (0.2, 0.8, True),
        (0.9, 1.2, True),
    ]
)
def test_release_within_the_time_of_a_stop_is_waited_for(
    stop: float,
    released_after: float,
    preempts: bool,
) -> None:
    """Guards against work that is stopped although it ends as soon.

    The demand has no time to spare.
    """
    plan = _plan(stop, released_after, objective=1.0, estimate=5.0)
    assert bool(plan.stops) is preempts


@pytest.mark.parametrize(
    'stop, reclaim', [(0.2, 2.7), (0.4, 2.9), (0.9, 3.4), (2.0, 2.5)]
)
def test_guaranteed_work_can_start_in_time(
    stop: float,
    reclaim: float,
) -> None:
    """Guards against a guarantee that is missed by waiting for releases."""
    bounds = task_planning.Bounds(stop=stop, reclaim=reclaim)
    assert bounds.reclaim_wait >= 0
    if reclaim > stop + task_planning.RECLAIM_MARGIN_SECONDS:
        assert bounds.reclaim_wait + stop < reclaim
