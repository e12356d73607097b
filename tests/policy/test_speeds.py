"""Load pattern: a third of the workers take 1.3 times as long."""
from __future__ import annotations

import random

from nutmegworks.model import ids
from nutmegworks.policy import durations
from nutmegworks.policy import fitting
from nutmegworks.policy import planning
from nutmegworks.policy import speeds
from tests import fleet_builders as builders


def _observed(rng: random.Random, steps: int) -> speeds.Speeds:
    known = speeds.Speeds()
    for _ in range(steps):
        known.compare(
            {
                ids.WorkerId(f'w{number}'):
                [8.0 * (1.3 if number < 8 else 1.0) * rng.uniform(0.85, 1.15)]
                for number in range(24)
            }
        )
    return known


def test_slow_workers_are_told_from_usual_ones() -> None:
    """Durations of single tasks differ as much as those of workers."""
    known = _observed(random.Random(1), 8)
    slow = {
        number
        for number in range(24)
        if known.is_slow(ids.WorkerId(f'w{number}'))
    }
    assert len(slow & set(range(8))) >= 7
    assert len(slow - set(range(8))) <= 1


def test_a_worker_that_recovered_is_seen_to() -> None:
    """Workers turn slow for some seconds only."""
    known = speeds.Speeds()
    for seconds in (40.0, 40.0, 8.0, 8.0, 8.0, 8.0, 8.0, 8.0, 8.0, 8.0):
        known.compare(
            {
                ids.WorkerId('w0'): [seconds],
                ids.WorkerId('w1'): [8.0],
                ids.WorkerId('w2'): [8.0],
                ids.WorkerId('w3'): [8.0],
            }
        )
    assert known.factor(ids.WorkerId('w0')) < 1.6


def test_a_gang_avoids_slow_workers() -> None:
    """Its slowest member sets the pace of all."""
    slots = [builders.slot(f'w{number}') for number in range(3)]
    slots[0].slow = True
    gang = builders.demand(tasks=2, gang=True, accelerators=8)
    assert sorted(fitting.place(gang, slots, far=False)) == ['w1', 'w2']


def test_unhurried_work_leaves_the_fast_workers_to_gangs() -> None:
    """Small tasks would otherwise fill them first."""
    slots = [builders.slot(f'w{number}') for number in range(3)]
    slots[1].slow = True
    small = builders.demand(tasks=3, priority=2)
    assert fitting.place(small, slots, far=False) == ['w1'] * 3


def test_urgent_work_evicts_from_fast_workers_at_like_cost() -> None:
    """Room on a slow worker would make it late all the same."""
    room = builders.WHOLE_WORKER
    full = room.minus(room)
    slots = [builders.slot('w1', free=full), builders.slot('w2', free=full)]
    slots[0].slow = True
    running = [
        builders.running('short', 'w1', room=room, elapsed=5.0),
        builders.running('long', 'w2', room=room, elapsed=6.0),
    ]
    plan = planning.plan([builders.demand(priority=0)], slots, running)
    assert [task.task.job_id for task, _ in plan.stops] == ['long']


def test_declarations_that_say_nothing_give_way_to_what_is_usual() -> None:
    """Declared times are wrong by a factor of two and more."""
    rng = random.Random(2)
    known = durations.Durations()
    for _ in range(60):
        known.observe('q', rng.lognormvariate(1.0, 0.9), 3.0)
    assert 2.0 < known.expected('q', 1.0) < 4.0
    assert 2.0 < known.expected('q', 9.0) < 4.5


def test_true_declarations_are_kept() -> None:
    """Where they are good, long work must not look short."""
    known = durations.Durations()
    for declared in (1.0, 2.0, 4.0, 8.0) * 10:
        known.observe('q', declared, 1.2 * declared)
    assert 1.1 < known.expected('q', 1.0) < 1.5
    assert 8.5 < known.expected('q', 8.0) < 10.0


def test_like_tasks_are_not_tried_again_in_a_round() -> None:
    """A backlog of small tasks would cost a search each."""
    slots = [builders.slot('w1', free=builders.WHOLE_WORKER.times(0))]
    waiting = [
        builders.demand(f'j{number}', priority=2, sequence=number)
        for number in range(50)
    ]
    placed = []
    place = fitting.place

    def count(demand, *args, **kwargs):
        placed.append(demand)
        return place(demand, *args, **kwargs)

    fitting.place = count
    try:
        planning.plan(waiting, slots, [])
    finally:
        fitting.place = place
    assert len(placed) == 1
