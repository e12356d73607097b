"""Urgent gangs on a full fleet, and wide gangs among small jobs."""
from __future__ import annotations

import dataclasses

import pytest

from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

FULL = spec.Resources()


def test_urgent_work_preempts_the_cheapest_runs() -> None:
    """A guarantee must be reclaimed at once and at the lowest cost."""
    workers = [
        builders.worker('w1', free=FULL),
        builders.worker('w2', free=FULL)
    ]
    resources = builders.WHOLE_WORKER
    running = [
        builders.running('long', 'w1', resources=resources, elapsed=6.0),
        builders.running('short', 'w2', resources=resources, elapsed=1.0),
    ]

    plan = task_planning.plan([builders.demand(priority=0)], workers, running)

    assert [task.task.job_id for task, _ in plan.stops] == ['short']
    assert plan.starts == ()


def test_no_further_preemption_while_victims_stop() -> None:
    """Otherwise each round stops more runs until the first ones have ended."""
    workers = [
        builders.worker(
            'w1', free=FULL, releases=[(0.3, builders.WHOLE_WORKER)]
        ),
        builders.worker('w2', free=FULL),
    ]
    running = [builders.running('b', 'w2', resources=builders.WHOLE_WORKER)]

    plan = task_planning.plan([builders.demand(priority=0)], workers, running)

    assert plan.stops == ()


def test_no_preemption_within_a_class() -> None:
    """Jobs of one class would preempt each other again and again."""
    workers = [builders.worker('w1', free=FULL)]
    running = [
        builders.running(
            'a', 'w1', priority=0, resources=builders.WHOLE_WORKER
        )
    ]

    plan = task_planning.plan([builders.demand(priority=0)], workers, running)

    assert plan.stops == ()


def test_small_jobs_do_not_starve_a_wide_gang() -> None:
    """Without a reservation, small jobs take each free accelerator."""
    workers = [
        builders.worker(
            'w1',
            free=spec.Resources(100_000, 400_000, 4),
            releases=[(2.0, spec.Resources(28_000, 100_000, 4))]
        ),
        builders.worker('w2'),
    ]
    gang = builders.demand(
        'gang', tasks=2, gang=True, accelerators=8, sequence=1
    )
    small = builders.demand('small', sequence=2, estimate=5.0)

    plan = task_planning.plan([gang, small], workers, [])

    assert plan.starts == ()
    assert plan.backfill_reservations == 1


def test_short_work_backfills_reserved_workers() -> None:
    """Reserved workers must not be idle for long."""
    workers = [
        builders.worker(
            'w1', free=FULL, releases=[(9.0, builders.WHOLE_WORKER)]
        ),
        builders.worker('w2'),
    ]
    gang = builders.demand(
        'gang', tasks=2, gang=True, accelerators=8, sequence=1
    )
    short = builders.demand('short', sequence=2, estimate=2.0)

    plan = task_planning.plan([gang, short], workers, [])

    assert [start.demand.job_id for start in plan.starts] == ['short']


def test_jobs_that_can_meet_their_objective_come_first() -> None:
    """In overload a job without value must not delay one that still has it."""
    workers = [builders.worker('w1')]
    hopeless = builders.demand(
        'hopeless', waited=90.0, accelerators=8, sequence=1
    )
    fresh = builders.demand('fresh', accelerators=8, sequence=2)

    plan = task_planning.plan([hopeless, fresh], workers, [])

    assert [start.demand.job_id for start in plan.starts] == ['fresh']


def test_urgent_work_waits_shortly_before_it_preempts() -> None:
    """A run that ends in time by itself would be stopped for nothing."""
    workers = [
        builders.worker(
            'w1', free=FULL, releases=[(0.6, builders.WHOLE_WORKER)]
        ),
    ]
    running = [builders.running('b', 'w1', resources=builders.WHOLE_WORKER)]
    urgent = builders.demand(priority=0, objective=8.0, estimate=5.0)

    plan = task_planning.plan([urgent], workers, running)

    assert plan.stops == ()
    assert plan.starts == ()


def test_urgent_work_that_waited_long_preempts() -> None:
    """A guarantee must be reclaimed within its time limit."""
    workers = [
        builders.worker(
            'w1', free=FULL, releases=[(0.6, builders.WHOLE_WORKER)]
        ),
    ]
    running = [builders.running('b', 'w1', resources=builders.WHOLE_WORKER)]
    urgent = builders.demand(
        priority=0, objective=60.0, estimate=5.0, waited=1.5
    )

    plan = task_planning.plan([urgent], workers, running)

    assert len(plan.stops) == 1


def test_the_lowest_class_is_preempted_first() -> None:
    """Lost work of a middle class costs more than that of the lowest class."""
    workers = [
        builders.worker('w1', free=FULL),
        builders.worker('w2', free=FULL)
    ]
    resources = builders.WHOLE_WORKER
    running = [
        builders.running(
            'middle', 'w1', priority=1, resources=resources, elapsed=1.0
        ),
        builders.running(
            'low', 'w2', priority=2, resources=resources, elapsed=1.5
        ),
    ]

    plan = task_planning.plan([builders.demand(priority=0)], workers, running)

    assert [task.task.job_id for task, _ in plan.stops] == ['low']


def test_resources_of_victims_stay_reserved_for_their_demand() -> None:
    """If an older demand took them, a second preemption would follow."""
    workers = [
        builders.worker(
            'w1', free=FULL, releases=[(0.3, builders.WHOLE_WORKER)]
        ),
        builders.worker('w2', free=FULL),
    ]
    running = [builders.running('b', 'w2', resources=builders.WHOLE_WORKER)]
    wide = {'priority': 0, 'accelerators': 8, 'objective': 8.0}
    older = builders.demand('older', sequence=1, **wide)
    newer = builders.demand('newer', sequence=2, **wide)

    plan = task_planning.plan(
        [older, newer], workers, running, {newer.key: ['w1']}
    )

    assert {job_id for _, job_id in plan.stops} <= {'older'}
    assert newer.key not in plan.reservations


def test_a_reservation_is_used_when_its_resources_are_free() -> None:
    """Only the demand with the reservation may start there, and it must."""
    newer = builders.demand('newer', priority=0, sequence=2, accelerators=8)
    other = builders.demand('other', priority=0, sequence=1, accelerators=8)

    plan = task_planning.plan(
        [other, newer], [builders.worker('w1')], [], {newer.key: ['w1']}
    )

    assert [start.demand.job_id for start in plan.starts] == ['newer']


def test_a_task_without_an_end_does_not_backfill() -> None:
    """Guards against a reserved worker that is lost to its gang for ever."""
    releases = [(9.0, builders.WHOLE_WORKER)]
    gang = builders.demand(
        'gang', tasks=2, gang=True, accelerators=8, sequence=1
    )
    lasting = builders.demand(
        'lasting', sequence=2, estimate=2.0, endless=True
    )

    plan = task_planning.plan(
        [gang, lasting],
        [
            builders.worker('w1', free=FULL, releases=releases),
            builders.worker('w2')
        ],
        [],
    )
    assert plan.starts == ()

    # Beside an unreserved worker it has room at once.
    plan = task_planning.plan(
        [gang, lasting],
        [
            builders.worker('w1', free=FULL, releases=releases),
            builders.worker('w2'),
            builders.worker('w3', free=spec.Resources(10_000, 30_000, 1)),
        ],
        [],
    )
    assert [start.worker_ids for start in plan.starts] == [('w3', )]


def test_a_task_without_an_end_starts_in_time_on_reserved_workers() -> None:
    """Guards against a task that is away while there is room for it."""
    gang = builders.demand(
        'gang', tasks=2, gang=True, accelerators=8, sequence=1
    )
    lasting = builders.demand(
        'lasting', sequence=2, estimate=30.0, endless=True, waited=2.0
    )

    plan = task_planning.plan(
        [gang, lasting],
        [
            builders.worker(
                'w1', free=FULL, releases=[(9.0, builders.WHOLE_WORKER)]
            ),
            builders.worker('w2'),
        ],
        [],
    )

    assert [start.demand.job_id for start in plan.starts] == ['lasting']


def _limited(
    worker_id: str,
    access: task_placement.Access,
) -> task_placement.WorkerCapacity:
    return dataclasses.replace(builders.worker(worker_id), access=access)


@pytest.mark.parametrize(
    ('access', 'recourse', 'starts'),
    [
        ('PROBE', 'NONE', 1),
        ('PROBE', 'ANY', 3),
        ('LAST_RESORT', 'NONE', 0),
        ('LAST_RESORT', 'PROBE', 1),
        ('LAST_RESORT', 'ANY', 3),
        ('CLOSED', 'NONE', 0),
        ('CLOSED', 'PROBE', 0),
        ('CLOSED', 'ANY', 3),
    ],
)
def test_worker_under_suspicion_gets_few_runs(
    access: str,
    recourse: str,
    starts: int,
) -> None:
    """Guards against a faulty worker that collects several jobs in one round.

    A job that may not wait any longer has one of its tasks started there.
    """
    worker = _limited('w1', task_placement.Access[access])
    demands = [
        dataclasses.replace(
            builders.demand(f'a{number}', tasks=2, sequence=number),
            recourse=task_demand.Recourse[recourse],
        ) for number in range(3)
    ]
    plan = task_planning.plan(demands, [worker], [])
    assert [len(start.indexes) for start in plan.starts] == [1] * starts


def test_gang_counts_as_one_run_of_a_worker_on_probation() -> None:
    """Guards against a gang that never fits on its only worker."""
    worker = _limited('w1', task_placement.Access.PROBE)
    plan = task_planning.plan(
        [builders.demand(tasks=4, gang=True)], [worker], []
    )
    assert [len(start.indexes) for start in plan.starts] == [4]


def test_closed_worker_gets_one_task_of_a_step_over_all_rounds() -> None:
    """Guards against a wide step that loses all attempts to one worker."""
    worker = _limited('w1', task_placement.Access.CLOSED)
    recourse = task_demand.Recourse.ANY
    demand = builders.demand(tasks=2, used_by_worker={'w1': 1})
    demand = dataclasses.replace(demand, recourse=recourse)
    assert not task_planning.plan([demand], [worker], []).starts
    lasting = builders.demand(tasks=2, used_by_worker={'w1': 1}, endless=True)
    lasting = dataclasses.replace(lasting, recourse=recourse)
    assert task_planning.plan([lasting], [worker], []).starts


def test_work_without_room_does_not_hide_a_last_resort() -> None:
    """Guards against a search that is cut short by the one before it."""
    workers = [
        builders.worker('w1', free=FULL),
        _limited('w2', task_placement.Access.LAST_RESORT),
    ]
    stuck = builders.demand('a1', sequence=1)
    alone = dataclasses.replace(
        builders.demand('a2', sequence=2),
        recourse=task_demand.Recourse.PROBE,
    )
    plan = task_planning.plan([stuck, alone], workers, [])
    assert [start.worker_ids for start in plan.starts] == [('w2', )]
