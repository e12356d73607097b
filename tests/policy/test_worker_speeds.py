"""A third of the workers take 1.3 times as long."""
from __future__ import annotations

import random

from nutmegworks.model import ids
from nutmegworks.policy import task_durations
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.policy import worker_speeds
from tests import fleet_builders as builders


def _observed(rng: random.Random, steps: int) -> worker_speeds.WorkerSpeeds:
    speeds = worker_speeds.WorkerSpeeds()
    for _ in range(steps):
        speeds.compare(
            {
                ids.WorkerId(f'w{number}'):
                [8.0 * (1.3 if number < 8 else 1.0) * rng.uniform(0.85, 1.15)]
                for number in range(24)
            }
        )
    return speeds


def test_slow_workers_are_distinguished_from_typical_ones() -> None:
    """Durations of single tasks differ as much as those of workers."""
    speeds = _observed(random.Random(1), 8)
    slow = {
        number
        for number in range(24)
        if speeds.is_slow(ids.WorkerId(f'w{number}'))
    }
    assert len(slow & set(range(8))) >= 7
    assert len(slow - set(range(8))) <= 1


def test_the_estimate_of_a_recovered_worker_recovers() -> None:
    """Workers are often slow for only some seconds."""
    speeds = worker_speeds.WorkerSpeeds()
    for seconds in (40.0, 40.0, 8.0, 8.0, 8.0, 8.0, 8.0, 8.0, 8.0, 8.0):
        speeds.compare(
            {
                ids.WorkerId('w0'): [seconds],
                ids.WorkerId('w1'): [8.0],
                ids.WorkerId('w2'): [8.0],
                ids.WorkerId('w3'): [8.0],
            }
        )
    assert speeds.time_factor(ids.WorkerId('w0')) < 1.6


def test_a_gang_avoids_slow_workers() -> None:
    """Its slowest member sets the pace of all."""
    workers = [builders.worker(f'w{number}') for number in range(3)]
    workers[0].slow = True
    gang = builders.demand(tasks=2, gang=True, accelerators=8)
    assert sorted(task_placement.place(gang, workers,
                                       any_rack=False)) == ['w1', 'w2']


def test_other_work_leaves_the_fast_workers_to_gangs() -> None:
    """Otherwise small tasks could fill them first."""
    workers = [builders.worker(f'w{number}') for number in range(3)]
    workers[1].slow = True
    small = builders.demand(tasks=3, priority=2)
    assert task_placement.place(small, workers, any_rack=False) == ['w1'] * 3


def test_urgent_work_preempts_on_fast_workers_at_similar_cost() -> None:
    """On a slow worker it would still be late."""
    resources = builders.WHOLE_WORKER
    full = resources.minus(resources)
    workers = [
        builders.worker('w1', free=full),
        builders.worker('w2', free=full)
    ]
    workers[0].slow = True
    running = [
        builders.running('short', 'w1', resources=resources, elapsed=5.0),
        builders.running('long', 'w2', resources=resources, elapsed=6.0),
    ]
    plan = task_planning.plan([builders.demand(priority=0)], workers, running)
    assert [task.task.job_id for task, _ in plan.stops] == ['long']


def test_uninformative_declarations_are_replaced_by_usual_durations() -> None:
    """Declared durations are wrong by a factor of two and more."""
    rng = random.Random(2)
    durations = task_durations.DurationModel()
    for _ in range(60):
        durations.observe('q', rng.lognormvariate(1.0, 0.9), 3.0)
    assert 2.0 < durations.expected('q', 1.0) < 4.0
    assert 2.0 < durations.expected('q', 9.0) < 4.5


def test_accurate_declarations_are_kept() -> None:
    """Otherwise long tasks would be expected to be short."""
    durations = task_durations.DurationModel()
    for declared in (1.0, 2.0, 4.0, 8.0) * 10:
        durations.observe('q', declared, 1.2 * declared)
    assert 1.1 < durations.expected('q', 1.0) < 1.5
    assert 8.5 < durations.expected('q', 8.0) < 10.0


def test_similar_tasks_are_not_tried_again_in_a_round() -> None:
    """Otherwise each task of a backlog costs a search."""
    workers = [builders.worker('w1', free=builders.WHOLE_WORKER.times(0))]
    waiting = [
        builders.demand(f'j{number}', priority=2, sequence=number)
        for number in range(50)
    ]
    placed = []
    place = task_placement.place

    def count(demand, *args, **kwargs):
        placed.append(demand)
        return place(demand, *args, **kwargs)

    task_placement.place = count
    try:
        task_planning.plan(waiting, workers, [])
    finally:
        task_placement.place = place
    assert len(placed) == 1


def _report(
    speeds: worker_speeds.WorkerSpeeds,
    seconds_by_worker: dict[int, float],
    seconds: int,
) -> None:
    """Report a step's running tasks each second, as its leader sees them."""
    rates = {
        number: worker_speeds.ProgressRate()
        for number in seconds_by_worker
    }
    for now in range(seconds + 1):
        for number, rate in rates.items():
            percent = int(100 * now / seconds_by_worker[number])
            if not rate.update(min(100, percent), now):
                continue
            others = [
                (ids.WorkerId(f'w{other}'), other_rate.value)
                for other, other_rate in rates.items()
                if other != number and other_rate.value is not None
            ]
            speeds.compare_rate(ids.WorkerId(f'w{number}'), rate.value, others)


def test_slow_workers_are_known_while_their_first_tasks_run() -> None:
    """Load pattern: urgent gangs with little to spare, and a new leader.

    Guards against a leader that knows no speeds until whole steps have ended,
    which takes longer than most leaders lead on a day with faults.
    """
    known = wrong = 0
    seeds = range(20)
    for seed in seeds:
        speeds = worker_speeds.WorkerSpeeds()
        rng = random.Random(seed)
        slow_numbers = set(rng.sample(range(24), 8))
        for _ in range(2):
            seconds_by_worker = {
                number:
                8.0 * (1.3 if number in slow_numbers else 1.0) *
                rng.uniform(0.85, 1.15)
                for number in range(24)
            }
            _report(speeds, seconds_by_worker, seconds=5)
        found = {
            number
            for number in range(24)
            if speeds.is_slow(ids.WorkerId(f'w{number}'))
        }
        known += len(found & slow_numbers)
        wrong += len(found - slow_numbers)
    # Most of the slow workers, and hardly a typical one.
    assert known > 0.5 * 8 * len(seeds)
    assert wrong < 0.05 * 16 * len(seeds)


def test_worker_that_turns_slow_is_known_before_its_tasks_end() -> None:
    """Guards against gangs on a worker that takes seven times as long."""
    speeds = worker_speeds.WorkerSpeeds()
    _report(
        speeds, {
            0: 54.0,
            **{
                number: 8.0
                for number in range(1, 8)
            }
        },
        seconds=4
    )
    assert speeds.is_slow(ids.WorkerId('w0'))
    assert not any(
        speeds.is_slow(ids.WorkerId(f'w{number}')) for number in range(1, 8)
    )


def test_window_in_which_a_run_may_have_ended_is_not_measured() -> None:
    """Guards against fast runs that look slow while their end is awaited."""
    rate = worker_speeds.ProgressRate()
    assert not rate.update(0, 0.0)
    assert not rate.update(100, 5.0)
    assert rate.value is None


def test_single_tasks_tell_no_speed() -> None:
    """Guards against estimates from steps with too few tasks to compare."""
    speeds = worker_speeds.WorkerSpeeds()
    _report(speeds, {0: 20.0, 1: 8.0, 2: 8.0}, seconds=4)
    assert not speeds.is_slow(ids.WorkerId('w0'))
