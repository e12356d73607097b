"""A surge of urgent gangs over long ones, and gangs on full racks."""
from __future__ import annotations

from nutmegworks.policy import task_demand
from nutmegworks.policy import task_planning
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

RESOURCES = builders.WHOLE_WORKER
FULL = spec.Resources()


def test_nearly_finished_gangs_are_not_preempted_for_little_value() -> None:
    """In a surge, jobs of 2.5 s preempted gangs at 85 and 92 percent."""
    workers = [builders.worker('w1', free=FULL)]
    running = [
        builders.running(
            'long', 'w1', priority=1, resources=RESOURCES, elapsed=8.0
        )
    ]
    urgent = builders.demand(
        priority=0, accelerators=8, estimate=2.5, guaranteed=False
    )

    plan = task_planning.plan([urgent], workers, running)

    assert plan.stops == ()


def test_new_runs_are_preempted_for_urgent_work_of_more_value() -> None:
    """Urgent work without a guarantee may preempt where the cost is low."""
    workers = [builders.worker('w1', free=FULL)]
    running = [
        builders.running(
            'fresh', 'w1', priority=2, resources=RESOURCES, elapsed=0.3
        )
    ]
    urgent = builders.demand(
        priority=0, accelerators=8, estimate=2.5, guaranteed=False
    )

    plan = task_planning.plan([urgent], workers, running)

    assert len(plan.stops) == 1


def test_a_guarantee_is_reclaimed_at_any_cost() -> None:
    """The team is entitled to its accelerators at all times."""
    workers = [builders.worker('w1', free=FULL)]
    running = [
        builders.running(
            'long', 'w1', priority=1, resources=RESOURCES, elapsed=8.0
        )
    ]
    urgent = builders.demand(
        priority=0, accelerators=8, estimate=2.5, guaranteed=True
    )

    plan = task_planning.plan([urgent], workers, running)

    assert len(plan.stops) == 1


def test_a_gang_waits_for_one_rack_before_it_runs_on_two() -> None:
    """Over two racks it runs, and uses its workers, three times as long."""
    workers = [
        builders.worker('w1', rack='r1'),
        builders.worker(
            'w2', rack='r1', free=FULL, releases=[(2.0, RESOURCES)]
        ),
        builders.worker('w3', rack='r2'),
        builders.worker(
            'w4', rack='r2', free=FULL, releases=[(2.0, RESOURCES)]
        ),
    ]
    gang = builders.demand(
        tasks=2,
        gang=True,
        one_rack=True,
        accelerators=8,
        waited=0.9,
        estimate=2.5,
    )

    assert task_planning.plan([gang], workers, []).starts == ()


def test_a_gang_too_large_for_one_rack_uses_several_at_once() -> None:
    """Waiting for a single rack would be useless."""
    workers = [
        builders.worker('w1', rack='r1'),
        builders.worker('w2', rack='r2'),
    ]
    gang = builders.demand(tasks=2, gang=True, one_rack=True, accelerators=8)

    assert len(task_planning.plan([gang], workers, []).starts) == 1


def test_preemption_for_a_guaranteed_gang_too_large_for_one_rack() -> None:
    """Its guarantee also says that all tasks start in time."""
    workers = [
        builders.worker('w1', rack='r1', free=FULL),
        builders.worker('w2', rack='r2', free=FULL),
    ]
    running = [
        builders.running('a', 'w1', resources=RESOURCES),
        builders.running('b', 'w2', resources=RESOURCES),
    ]
    gang = builders.demand(
        tasks=2, gang=True, one_rack=True, accelerators=8, priority=0
    )

    plan = task_planning.plan([gang], workers, running)

    assert len(plan.stops) == 2


def test_a_guaranteed_gang_uses_its_reservation_on_two_racks() -> None:
    """Otherwise its victims would have been stopped for nothing."""
    workers = [
        builders.worker('w1', rack='r1'),
        builders.worker('w2', rack='r2'),
        *(
            builders.worker(f'w{number}', rack='r1', free=FULL)
            for number in range(3, 6)
        ),
    ]
    gang = builders.demand(
        tasks=2,
        gang=True,
        one_rack=True,
        accelerators=8,
        priority=0,
        waited=1.8,
        estimate=2.5,
    )

    plan = task_planning.plan([gang], workers, [], {gang.key: ['w1', 'w2']})

    assert len(plan.starts) == 1


def test_idle_workers_in_other_racks_are_used() -> None:
    """A job may not wait for long while most of a service is free."""
    workers = [
        builders.worker('w1', rack='r1', free=FULL),
        builders.worker('w2', rack='r2'),
        builders.worker('w3', rack='r3'),
    ]
    with_data = builders.demand(data_rack='r1', waited=2.0, estimate=5.0)

    assert len(task_planning.plan([with_data], workers, []).starts) == 1


def test_a_team_beyond_its_guarantee_cannot_reclaim() -> None:
    """It can reclaim only while all of its urgent jobs fit."""
    assert task_demand.teams_within_guarantee({'a': 16},
                                              {'a': 8}) == frozenset()
    assert task_demand.teams_within_guarantee({'a': 8}, {}) == frozenset()


def test_age_does_not_protect_tasks_without_an_end() -> None:
    """Guards against urgent work that never finds a cheap victim.

    What such a task did before has served its users.
    """
    lasting = builders.running('old', 'w1', elapsed=3600.0, endless=True)
    ordinary = builders.running('a', 'w1', elapsed=60.0)

    assert lasting.cost() < ordinary.cost()
