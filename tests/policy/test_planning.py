"""Load patterns: urgent gangs on a full fleet; wide gangs among small jobs."""
from __future__ import annotations

from nutmegworks.policy import planning
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

FULL = spec.Room()


def test_urgent_work_evicts_the_cheapest_lower_class() -> None:
    """A guaranteed shape must be reclaimed at once, at the least loss."""
    slots = [builders.slot('w1', free=FULL), builders.slot('w2', free=FULL)]
    room = builders.WHOLE_WORKER
    running = [
        builders.running('long', 'w1', room=room, elapsed=6.0),
        builders.running('short', 'w2', room=room, elapsed=1.0),
    ]

    plan = planning.plan([builders.demand(priority=0)], slots, running)

    assert [task.task.job_id for task, _ in plan.stops] == ['short']
    assert plan.starts == ()


def test_no_further_eviction_while_victims_stop() -> None:
    """Each round would stop more runs until the first ones have ended."""
    slots = [
        builders.slot(
            'w1', free=FULL, releases=[(0.3, builders.WHOLE_WORKER)]
        ),
        builders.slot('w2', free=FULL),
    ]
    running = [builders.running('b', 'w2', room=builders.WHOLE_WORKER)]

    plan = planning.plan([builders.demand(priority=0)], slots, running)

    assert plan.stops == ()


def test_no_eviction_of_the_same_class() -> None:
    """Work of one class would stop itself over and over."""
    slots = [builders.slot('w1', free=FULL)]
    running = [
        builders.running('a', 'w1', priority=0, room=builders.WHOLE_WORKER)
    ]

    plan = planning.plan([builders.demand(priority=0)], slots, running)

    assert plan.stops == ()


def test_small_jobs_do_not_starve_a_wide_gang() -> None:
    """Small work that takes each accelerator as it comes free would."""
    slots = [
        builders.slot(
            'w1',
            free=spec.Room(100_000, 400_000, 4),
            releases=[(2.0, spec.Room(28_000, 100_000, 4))]
        ),
        builders.slot('w2'),
    ]
    gang = builders.demand(
        'gang', tasks=2, gang=True, accelerators=8, sequence=1
    )
    small = builders.demand('small', sequence=2, estimate=5.0)

    plan = planning.plan([gang, small], slots, [])

    assert plan.starts == ()
    assert plan.held == 1


def test_short_work_uses_promised_workers_until_then() -> None:
    """Promised workers must not stand idle for long."""
    slots = [
        builders.slot(
            'w1', free=FULL, releases=[(9.0, builders.WHOLE_WORKER)]
        ),
        builders.slot('w2'),
    ]
    gang = builders.demand(
        'gang', tasks=2, gang=True, accelerators=8, sequence=1
    )
    short = builders.demand('short', sequence=2, estimate=2.0)

    plan = planning.plan([gang, short], slots, [])

    assert [start.demand.job_id for start in plan.starts] == ['short']


def test_jobs_that_can_meet_their_objective_come_first() -> None:
    """In overload a hopeless job must not delay one that still earns."""
    slots = [builders.slot('w1')]
    hopeless = builders.demand(
        'hopeless', waited=90.0, accelerators=8, sequence=1
    )
    fresh = builders.demand('fresh', accelerators=8, sequence=2)

    plan = planning.plan([hopeless, fresh], slots, [])

    assert [start.demand.job_id for start in plan.starts] == ['fresh']


def test_urgent_work_waits_a_moment_before_others_yield() -> None:
    """Work that ends by itself in time would be thrown away."""
    slots = [
        builders.slot(
            'w1', free=FULL, releases=[(0.6, builders.WHOLE_WORKER)]
        ),
    ]
    running = [builders.running('b', 'w1', room=builders.WHOLE_WORKER)]
    urgent = builders.demand(priority=0, objective=8.0, estimate=5.0)

    plan = planning.plan([urgent], slots, running)

    assert plan.stops == ()
    assert plan.starts == ()


def test_urgent_work_that_waited_long_makes_others_yield() -> None:
    """A guaranteed shape must be reclaimed within its bound."""
    slots = [
        builders.slot(
            'w1', free=FULL, releases=[(0.6, builders.WHOLE_WORKER)]
        ),
    ]
    running = [builders.running('b', 'w1', room=builders.WHOLE_WORKER)]
    urgent = builders.demand(
        priority=0, objective=60.0, estimate=5.0, waited=1.5
    )

    plan = planning.plan([urgent], slots, running)

    assert len(plan.stops) == 1


def test_the_lowest_class_yields_first() -> None:
    """A job of a middle class is worth more than one of the lowest."""
    slots = [builders.slot('w1', free=FULL), builders.slot('w2', free=FULL)]
    room = builders.WHOLE_WORKER
    running = [
        builders.running('middle', 'w1', priority=1, room=room, elapsed=1.0),
        builders.running('low', 'w2', priority=2, room=room, elapsed=1.5),
    ]

    plan = planning.plan([builders.demand(priority=0)], slots, running)

    assert [task.task.job_id for task, _ in plan.stops] == ['low']


def test_room_of_victims_goes_to_the_demand_they_yielded_to() -> None:
    """An older demand that takes it would cause a second eviction."""
    slots = [
        builders.slot(
            'w1', free=FULL, releases=[(0.3, builders.WHOLE_WORKER)]
        ),
        builders.slot('w2', free=FULL),
    ]
    running = [builders.running('b', 'w2', room=builders.WHOLE_WORKER)]
    wide = {'priority': 0, 'accelerators': 8, 'objective': 8.0}
    older = builders.demand('older', sequence=1, **wide)
    newer = builders.demand('newer', sequence=2, **wide)

    plan = planning.plan([older, newer], slots, running, {newer.key: ['w1']})

    assert {job_id for _, job_id in plan.stops} <= {'older'}
    assert newer.key not in plan.promised


def test_promised_room_is_used_when_it_is_free() -> None:
    """Nobody else may start there, and the demand must."""
    newer = builders.demand('newer', priority=0, sequence=2, accelerators=8)
    other = builders.demand('other', priority=0, sequence=1, accelerators=8)

    plan = planning.plan(
        [other, newer], [builders.slot('w1')], [], {newer.key: ['w1']}
    )

    assert [start.demand.job_id for start in plan.starts] == ['newer']
