"""Load patterns: a surge of urgent gangs over long ones; full racks."""
from __future__ import annotations

from nutmegworks.policy import demand as demands
from nutmegworks.policy import planning
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

ROOM = builders.WHOLE_WORKER
FULL = spec.Room()


def test_nearly_finished_gangs_do_not_yield_to_a_small_gain() -> None:
    """A surge stopped gangs at 85 and 92 percent for jobs of 2.5 s."""
    slots = [builders.slot('w1', free=FULL)]
    running = [
        builders.running('long', 'w1', priority=1, room=ROOM, elapsed=8.0)
    ]
    urgent = builders.demand(
        priority=0, accelerators=8, estimate=2.5, guaranteed=False
    )

    plan = planning.plan([urgent], slots, running)

    assert plan.stops == ()


def test_fresh_work_yields_to_urgent_work_that_earns_more() -> None:
    """Urgent work without a guarantee still comes first where it pays."""
    slots = [builders.slot('w1', free=FULL)]
    running = [
        builders.running('fresh', 'w1', priority=2, room=ROOM, elapsed=0.3)
    ]
    urgent = builders.demand(
        priority=0, accelerators=8, estimate=2.5, guaranteed=False
    )

    plan = planning.plan([urgent], slots, running)

    assert len(plan.stops) == 1


def test_a_guarantee_is_reclaimed_whatever_it_costs() -> None:
    """The team was promised its accelerators at all times."""
    slots = [builders.slot('w1', free=FULL)]
    running = [
        builders.running('long', 'w1', priority=1, room=ROOM, elapsed=8.0)
    ]
    urgent = builders.demand(
        priority=0, accelerators=8, estimate=2.5, guaranteed=True
    )

    plan = planning.plan([urgent], slots, running)

    assert len(plan.stops) == 1


def test_a_gang_waits_for_one_rack_before_it_runs_on_two() -> None:
    """Over two racks it takes three times as long and as much room."""
    slots = [
        builders.slot('w1', rack='r1'),
        builders.slot('w2', rack='r1', free=FULL, releases=[(2.0, ROOM)]),
        builders.slot('w3', rack='r2'),
        builders.slot('w4', rack='r2', free=FULL, releases=[(2.0, ROOM)]),
    ]
    gang = builders.demand(
        tasks=2,
        gang=True,
        one_rack=True,
        accelerators=8,
        waited=0.9,
        estimate=2.5,
    )

    assert planning.plan([gang], slots, []).starts == ()


def test_a_gang_that_no_rack_holds_uses_several_at_once() -> None:
    """Waiting could not help it."""
    slots = [
        builders.slot('w1', rack='r1'),
        builders.slot('w2', rack='r2'),
    ]
    gang = builders.demand(tasks=2, gang=True, one_rack=True, accelerators=8)

    assert len(planning.plan([gang], slots, []).starts) == 1


def test_a_guaranteed_gang_that_no_rack_holds_is_reclaimed_too() -> None:
    """Its team was promised that all tasks begin in time."""
    slots = [
        builders.slot('w1', rack='r1', free=FULL),
        builders.slot('w2', rack='r2', free=FULL),
    ]
    running = [
        builders.running('a', 'w1', room=ROOM),
        builders.running('b', 'w2', room=ROOM),
    ]
    gang = builders.demand(
        tasks=2, gang=True, one_rack=True, accelerators=8, priority=0
    )

    plan = planning.plan([gang], slots, running)

    assert len(plan.stops) == 2


def test_a_guaranteed_gang_uses_its_promised_room_on_two_racks() -> None:
    """Victims would have stopped for nothing."""
    slots = [
        builders.slot('w1', rack='r1'),
        builders.slot('w2', rack='r2'),
        *(
            builders.slot(f'w{number}', rack='r1', free=FULL)
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

    plan = planning.plan([gang], slots, [], {gang.key: ['w1', 'w2']})

    assert len(plan.starts) == 1


def test_idle_workers_are_used_although_they_are_far() -> None:
    """A job may not wait for long while most of a service is free."""
    slots = [
        builders.slot('w1', rack='r1', free=FULL),
        builders.slot('w2', rack='r2'),
        builders.slot('w3', rack='r3'),
    ]
    near = builders.demand(data_rack='r1', waited=2.0, estimate=5.0)

    assert len(planning.plan([near], slots, []).starts) == 1


def test_a_team_beyond_its_guarantee_is_not_covered() -> None:
    """Its claim holds only while all of its urgent jobs fit."""
    assert demands.guaranteed_teams({'a': 16}, {'a': 8}) == frozenset()
    assert demands.guaranteed_teams({'a': 8}, {}) == frozenset()
