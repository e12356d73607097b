"""Rounds in which preferences alone would keep a job from running."""
from __future__ import annotations

import dataclasses
import typing

import pytest

from nutmegworks.model import ids
from nutmegworks.policy import idle_limit
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

SIX_FREE = spec.Resources(100_000, 400_000, 6)
LIMIT = idle_limit.MAX_IDLE_SECONDS


def _workers(
    *releases: float,
    free: spec.Resources = SIX_FREE,
) -> list[task_placement.WorkerCapacity]:
    """Return workers with one run each, which ends after some seconds."""
    return [
        builders.worker(
            f'w{number}',
            free=free,
            releases=[(after, builders.WHOLE_WORKER.minus(free))]
        ) for number, after in enumerate(releases, 1)
    ]


def _gang(tasks: int) -> task_demand.Demand:
    return builders.demand(
        'gang', tasks=tasks, gang=True, accelerators=8, sequence=0
    )


def _small(**options: typing.Any) -> task_demand.Demand:
    return builders.demand(
        'small', priority=2, estimate=60.0, sequence=9, **options
    )


def _starts(
    demands: typing.Iterable[task_demand.Demand],
    workers: typing.Sequence[task_placement.WorkerCapacity],
) -> list[tuple[str, tuple[ids.WorkerId, ...]]]:
    return [
        (start.demand.job_id, start.worker_ids)
        for start in task_planning.plan(demands, workers, []).starts
    ]


@pytest.mark.parametrize(('idle', 'starts'), [(LIMIT - 0.1, 0), (LIMIT, 1)])
def test_room_held_for_a_gang(idle: float, starts: int) -> None:
    """Guards against a job that counts as lost beside a gang that waits."""
    demands = [_gang(3), _small(waited=idle)]
    assert len(_starts(demands, _workers(40.0, 40.0, 40.0))) == starts


def test_gang_keeps_its_room_on_a_service_that_is_mostly_in_use() -> None:
    """Guards against a wide gang that starves among small jobs."""
    workers = _workers(40.0, 40.0, free=spec.Resources(50_000, 200_000, 4))
    assert not _starts([_gang(2), _small(waited=9.0)], workers)


def test_workers_that_are_not_held_come_first() -> None:
    """Guards against a gang that is delayed without need."""
    workers = _workers(40.0, 30.0, 20.0)
    assert _starts([_gang(2), _small(waited=LIMIT)],
                   workers) == [('small', ('w1', ))]


def test_held_worker_whose_runs_end_last_is_used() -> None:
    """Guards against a gang that waits for a worker that was nearly free."""
    workers = _workers(20.0, 40.0, 30.0)
    assert _starts([_gang(3), _small(waited=LIMIT)],
                   workers) == [('small', ('w2', ))]


def test_one_task_of_a_wide_job_uses_held_room() -> None:
    """Guards against a wide job that takes all room from a gang."""
    demands = [_gang(3), _small(waited=LIMIT, tasks=12)]
    assert _starts(demands, _workers(40.0, 40.0,
                                     40.0)) == [('small', ('w1', ))]


def test_job_of_which_something_runs_leaves_held_room() -> None:
    """Guards against a gang that is delayed for a job that is not idle."""
    small = dataclasses.replace(_small(waited=9.0), idle=None)
    assert not _starts([_gang(3), small], _workers(40.0, 40.0, 40.0))


def test_all_tasks_that_last_use_held_room() -> None:
    """Each of them must run, however full the service is."""
    workers = _workers(40.0, 40.0, free=spec.Resources(50_000, 200_000, 2))
    lasting = _small(waited=LIMIT, tasks=3, endless=True)
    assert sum(
        len(worker_ids)
        for _, worker_ids in _starts([_gang(2), lasting], workers)
    ) == 3


def test_room_held_for_urgent_work_until_releases() -> None:
    """Guards against a job that counts as lost beside an urgent gang.

    Its class leaves the gang much time, so it waits and does not preempt.
    """
    urgent = builders.demand(
        'urgent',
        tasks=3,
        gang=True,
        accelerators=8,
        priority=0,
        guaranteed=False,
        objective=200.0,
        sequence=0,
    )
    demands = [urgent, _small(waited=LIMIT)]
    plan = task_planning.plan(demands, _workers(40.0, 40.0, 40.0), [])
    assert [start.demand.job_id for start in plan.starts] == ['small']
    assert plan.starts[0].overdue
    assert urgent.key in plan.waits


def test_room_of_victims_is_not_used() -> None:
    """Guards against a guarantee that is not met after its preemption."""
    urgent = builders.demand('urgent', accelerators=6, priority=0, sequence=0)
    plan = task_planning.plan(
        [urgent, _small(waited=9.0)],
        _workers(40.0, free=spec.Resources(90_000, 300_000, 5)),
        [],
        {urgent.key: [ids.WorkerId('w1')]},
    )
    assert not plan.starts


def test_preferred_rack() -> None:
    """Guards against a job that counts as lost while its rack is full."""
    workers = [
        builders.worker(
            'w1',
            free=spec.Resources(),
            releases=[(40.0, builders.WHOLE_WORKER)]
        ),
        *(builders.worker(f'w{number}', rack='r2') for number in range(2, 5)),
    ]
    near = _small(waited=LIMIT - 0.1, data_rack='r1')
    assert not _starts([near], workers)
    near = _small(waited=LIMIT, data_rack='r1')
    assert len(_starts([near], workers)) == 1


def test_half_of_a_service_does_not_count_other_services() -> None:
    """Guards against a full service that hides that another one is empty."""
    full = [
        dataclasses.replace(
            builders.worker(f'x{number}', free=spec.Resources()),
            service_id=ids.ServiceId('elsewhere'),
        ) for number in range(9)
    ]
    demands = [_gang(3), _small(waited=LIMIT)]
    assert _starts(demands, [*full, *_workers(40.0, 40.0, 40.0)])


def test_work_without_room_does_not_hide_that_of_another_service() -> None:
    """Guards against a search that is cut short by another service's."""
    elsewhere = dataclasses.replace(
        builders.demand('elsewhere', sequence=0),
        service_id=ids.ServiceId('elsewhere'),
    )
    full = dataclasses.replace(
        builders.worker('x1', free=spec.Resources()),
        service_id=ids.ServiceId('elsewhere'),
    )
    starts = _starts([elsewhere, _small()], [full, builders.worker('w1')])
    assert starts == [('small', ('w1', ))]


def test_cost_of_overdue_work_without_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a search of all workers for each of many waiting jobs."""
    searches = []
    place = task_placement.place_beside_reservations

    def count(
        demand: task_demand.Demand,
        workers: typing.Sequence[task_placement.WorkerCapacity],
    ) -> task_placement.Placement:
        searches.append(demand.key)
        return place(demand, workers)

    monkeypatch.setattr(task_placement, 'place_beside_reservations', count)
    demands = [
        dataclasses.replace(
            _small(waited=9.0, accelerators=8), job_id=ids.JobId(f'a{number}')
        ) for number in range(50)
    ]
    assert not _starts(demands, _workers(40.0, 40.0, 40.0))
    assert len(searches) == 1
