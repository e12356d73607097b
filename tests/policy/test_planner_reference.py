"""Decisions of the planner equal those of a plain computation.

The load is a full fleet on which many gangs of few shapes wait.
"""
from __future__ import annotations

import contextlib
import math
import time
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

_RELEASES = st.lists(
    st.tuples(st.floats(0.0, 9.0), st.integers(1, 4)), max_size=6
)

# Of an example, which plans a few demands; Hypothesis's own limit, but of
# processor time, so that other work on the machine does not count.
EXAMPLE_SECONDS: typing.Final = 0.2

_SETTINGS: typing.Final = hypothesis.settings(deadline=None)


@contextlib.contextmanager
def _time_limit() -> typing.Iterator[None]:
    """Check that the body uses at most EXAMPLE_SECONDS of the processor."""
    started = time.process_time()
    yield
    assert time.process_time() - started <= EXAMPLE_SECONDS


def _resources(accelerators: int) -> spec.Resources:
    return spec.Resources(10_000 * accelerators, 30_000, accelerators)


@hypothesis.given(_RELEASES, st.floats(0.0, 10.0))
def test_free_resources_after_a_time(
    releases: list[tuple[float, int]],
    after: float,
) -> None:
    """Guards against releases that count too early, too late or twice."""
    added = [(when, _resources(count)) for when, count in releases]
    worker = builders.worker('w1', free=_resources(1), releases=added[:3])
    # Sums the releases so far.
    worker.free_after(5.0)
    for when, resources in added[3:]:
        worker.add_release(task_placement.Release(when, resources))

    expected = _resources(1)
    for when, resources in added:
        if after > 0 and when <= after:
            expected = expected.plus(resources)
    assert worker.free_after(after) == expected


@st.composite
def _fleets(draw: st.DrawFn) -> list[task_placement.WorkerCapacity]:
    return [
        builders.worker(
            f'w{number}',
            rack=f'r{number // 3}',
            free=_resources(draw(st.integers(0, 8))),
            releases=[
                (when, _resources(count)) for when, count in draw(_RELEASES)
            ],
        ) for number in range(6)
    ]


@st.composite
def _demands(draw: st.DrawFn) -> list[task_demand.Demand]:
    return [
        builders.demand(
            f'a{number}',
            tasks=draw(st.integers(1, 6)),
            priority=draw(st.integers(0, 2)),
            gang=draw(st.booleans()),
            one_rack=draw(st.booleans()),
            accelerators=draw(st.sampled_from((1, 4, 8))),
            estimate=draw(st.sampled_from((2.0, 5.0))),
            waited=draw(st.sampled_from((0.0, 3.0))),
            sequence=number,
        ) for number in range(8)
    ]


def _plan(
    fleet: typing.Iterable[task_placement.WorkerCapacity],
    demands: typing.Sequence[task_demand.Demand],
) -> task_planning.Plan:
    workers = [
        builders.worker(
            worker.worker_id,
            rack=worker.rack,
            free=worker.free,
            releases=[
                (release.after, release.resources)
                for release in worker.releases
            ],
        )
        for worker in fleet
    ]
    return task_planning.plan(demands, workers, [])


@_SETTINGS
@hypothesis.given(_fleets(), _demands())
@_time_limit()
def test_remembered_failures_change_no_decision(
    fleet: list[task_placement.WorkerCapacity],
    demands: list[task_demand.Demand],
) -> None:
    """Guards against a gang that waits although there is room for it."""
    plan = _plan(fleet, demands)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            task_planning._Round, '_is_unplaced_gang', lambda *_: False
        )
        patch.setattr(
            task_placement, 'shape_key', lambda *_, **__: (object(), )
        )
        expected = _plan(fleet, demands)
    assert plan == expected


@_SETTINGS
@hypothesis.given(_fleets(), _demands())
@_time_limit()
def test_earliest_placement_is_the_first_that_fits(
    fleet: list[task_placement.WorkerCapacity],
    demands: list[task_demand.Demand],
) -> None:
    """Guards against a reservation that starts later than needed."""
    for demand in demands:
        when, placement = task_placement.earliest_placement(demand, fleet)
        times = sorted(
            {release.after
             for worker in fleet
             for release in worker.releases}
        )
        fitting = [
            after for after in times if len(
                task_placement.
                place(demand, fleet, any_rack=False, after=after)
            ) == len(demand.indexes)
        ]
        if not fitting:
            assert placement == []
            continue
        # Times are rounded up to RELEASE_STEP_SECONDS.
        assert len(placement) == len(demand.indexes)
        step = task_placement.RELEASE_STEP_SECONDS
        assert when == math.ceil(fitting[0] / step) * step
