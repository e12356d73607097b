"""Which failed workers a step avoids, and that it can always run."""
from __future__ import annotations

import dataclasses
import itertools
import typing

import pytest

from nutmegworks.model import ids
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import worker_exclusion
from nutmegworks.tasks import spec
from tests import fleet_builders

A = ids.WorkerId('a')
B = ids.WorkerId('b')
C = ids.WorkerId('c')
# After the pause before a retry, well before exclusions expire.
LATER = worker_exclusion.RETRY_SECONDS + 1.0


def _endless(demand: task_demand.Demand) -> task_demand.Demand:
    return dataclasses.replace(
        demand, step=dataclasses.replace(demand.step, endless=True)
    )


def test_failed_worker_is_avoided_while_another_can_run_the_step() -> None:
    """A faulty worker must not use up the attempts of a job."""
    workers = [fleet_builders.worker('a'), fleet_builders.worker('b')]
    demand = fleet_builders.demand()
    assert worker_exclusion.choose(demand, {A: LATER}, workers) == {A}


def test_busy_worker_counts_as_able_to_run_the_step() -> None:
    """Waiting for a busy worker is better than another failure."""
    workers = [
        fleet_builders.worker('a'),
        fleet_builders.worker('b', free=spec.Resources()),
    ]
    demand = fleet_builders.demand()
    assert worker_exclusion.choose(demand, {A: LATER}, workers) == {A}


def test_only_worker_is_used_again_after_a_pause() -> None:
    """Guards against a step that never runs after one failure.

    Without the pause a worker that fails everything for 6.5 s would use up
    four attempts.
    """
    workers = [fleet_builders.worker('a')]
    demand = fleet_builders.demand()
    assert worker_exclusion.choose(demand, {A: 0.0}, workers) == {A}
    assert not worker_exclusion.choose(
        demand, {A: worker_exclusion.RETRY_SECONDS}, workers
    )
    # Three pauses separate four attempts. Jobs may stand still for 3 s.
    assert 3 * worker_exclusion.RETRY_SECONDS > 6.5
    assert worker_exclusion.RETRY_SECONDS < 3.0


def test_lasting_task_is_soon_used_again() -> None:
    """A task that lasts has unlimited attempts and must be restarted."""
    workers = [fleet_builders.worker('a')]
    demand = _endless(fleet_builders.demand())
    pause = worker_exclusion.LASTING_RETRY_SECONDS
    assert worker_exclusion.choose(demand, {A: pause - 0.1}, workers) == {A}
    assert not worker_exclusion.choose(demand, {A: pause}, workers)


@pytest.mark.parametrize('change', ['label', 'service', 'room'])
def test_worker_that_cannot_run_the_step_is_no_alternative(
    change: str
) -> None:
    """Guards against a step that waits for workers that cannot run it."""
    demand = fleet_builders.demand(accelerators=4)
    other = fleet_builders.worker('b', rack='r2')
    if change == 'label':
        step = dataclasses.replace(demand.step, required_label='r1')
        demand = dataclasses.replace(demand, step=step)
    elif change == 'service':
        other = dataclasses.replace(
            other, service_id=ids.ServiceId('elsewhere')
        )
    else:
        # Tasks that last hold the rest.
        other = dataclasses.replace(
            other, total=spec.Resources(128_000, 512_000, 3)
        )
    workers = [fleet_builders.worker('a'), other]
    assert not worker_exclusion.choose(demand, {A: LATER}, workers)


def test_worker_at_the_limit_of_the_step_is_no_alternative() -> None:
    """Lasting tasks of the step may hold all other workers for ever."""
    workers = [fleet_builders.worker('a'), fleet_builders.worker('b')]
    demand = fleet_builders.demand(max_per_worker=1, used_by_worker={'b': 1})
    assert not worker_exclusion.choose(demand, {A: LATER}, workers)


def test_gang_gets_back_as_many_failed_workers_as_it_needs() -> None:
    """Guards against a gang for which the other workers do not suffice."""
    workers = [fleet_builders.worker(name) for name in 'abcdef']
    demand = fleet_builders.demand(tasks=5, gang=True, accelerators=8)
    failed = {A: LATER + 2, B: LATER, C: LATER + 1}
    assert worker_exclusion.choose(demand, failed, workers) == {B}


def test_gang_within_limits_per_worker_gets_failed_workers_back() -> None:
    """Room alone does not decide: each worker may take one member."""
    workers = [fleet_builders.worker('a'), fleet_builders.worker('b')]
    demand = fleet_builders.demand(tasks=2, gang=True, max_per_worker=1)
    assert not worker_exclusion.choose(demand, {A: LATER}, workers)


def test_last_failed_worker_stays_excluded_if_all_have_failed() -> None:
    """The worker that failed long ago is more likely to be sound."""
    workers = [fleet_builders.worker('a'), fleet_builders.worker('b')]
    failed = {A: LATER, B: LATER + 1}
    demand = fleet_builders.demand()
    assert worker_exclusion.choose(demand, failed, workers) == {A}


def test_exclusion_expires() -> None:
    """The other workers may stay busy or reject every start."""
    workers = [fleet_builders.worker('a'), fleet_builders.worker('b')]
    failed = {A: worker_exclusion.EXCLUSION_SECONDS}
    assert not worker_exclusion.choose(
        fleet_builders.demand(), failed, workers
    )


def test_exclusion_ends_soon_after_faults_do() -> None:
    """Workers fail everything for 6.5 s at most; others may reject starts."""
    workers = [fleet_builders.worker('a'), fleet_builders.worker('b')]
    demand = fleet_builders.demand()
    assert worker_exclusion.choose(demand, {A: 6.5}, workers) == {A}
    assert not worker_exclusion.choose(demand, {A: 13.0}, workers)


def test_half_of_the_workers_stay_for_a_job_that_fails_everywhere() -> None:
    """Guards against a wide step that is left with a single worker."""
    workers = [fleet_builders.worker(name) for name in 'abcd']
    failed = {A: LATER, B: LATER + 0.1, C: LATER + 0.2}
    demand = fleet_builders.demand(tasks=16)
    assert worker_exclusion.choose(demand, failed, workers) == {A, B}


# A worker whose only run takes another minute.
BUSY = fleet_builders.worker(
    'b',
    free=spec.Resources(),
    releases=[(60.0, fleet_builders.WHOLE_WORKER)],
)
SUSPENDED = dataclasses.replace(
    fleet_builders.worker('a'), access=task_placement.Access.LAST_RESORT
)

# Seconds for which nothing has run, None if something runs.
Idle = typing.NamedTuple(
    'Idle',
    [('idle', float | None), ('standing', worker_exclusion.Standing)],
)


def _standing(
    idle: float | None,
    *,
    half_empty: bool = True,
    last_attempt: bool = False,
) -> Idle:
    return Idle(idle, worker_exclusion.Standing(half_empty, last_attempt))


def _restrict(
    workers: typing.Iterable[task_placement.WorkerCapacity],
    state: Idle,
    failed: typing.Mapping[ids.WorkerId, float] | None = None,
    **options: typing.Any,
) -> task_demand.Demand:
    demand = dataclasses.replace(
        fleet_builders.demand(**options), idle=state.idle
    )
    return worker_exclusion.Workers(workers).restrict(
        demand, failed or {}, state.standing
    )


@pytest.mark.parametrize(
    ('standing', 'options', 'excluded'),
    [
        # Nothing runs and half of the service is free: lost after 3 s.
        (_standing(2.5), {}, set()),
        (_standing(2.5), {
            'priority': 0
        }, set()),
        # The class's target: no spare time.
        (_standing(2.5, half_empty=False), {
            'waited': 20.0
        }, set()),
        (_standing(None), {
            'waited': 20.0
        }, set()),
        # With the next failure the job would fail for good.
        (
            _standing(2.5, half_empty=False, last_attempt=True),
            {
                'waited': 20.0,
                'objective': 60.0
            },
            {A},
        ),
    ],
)
def test_busy_alternative_delays_no_longer_than_allowed(
    standing: Idle,
    options: dict[str, typing.Any],
    excluded: set[ids.WorkerId],
) -> None:
    """Guards against a free worker that is kept from the work it could do."""
    workers = [fleet_builders.worker('a'), BUSY]
    demand = _restrict(workers, standing, {A: LATER}, **options)
    assert demand.excluded_worker_ids == excluded


def test_alternative_that_is_free_in_time_is_waited_for() -> None:
    """A failure costs one of few attempts."""
    soon = fleet_builders.worker(
        'b',
        free=spec.Resources(),
        releases=[(4.0, fleet_builders.WHOLE_WORKER)],
    )
    workers = [fleet_builders.worker('a'), soon]
    standing = _standing(None)
    demand = _restrict(workers, standing, {A: LATER}, objective=10.0)
    assert demand.excluded_worker_ids == {A}
    demand = _restrict(workers, standing, {A: LATER}, objective=6.0)
    assert not demand.excluded_worker_ids


Recourse = task_demand.Recourse


@pytest.mark.parametrize(
    ('others', 'standing', 'options', 'recourse'),
    [
        ([fleet_builders.worker('b')], _standing(9.0), {}, Recourse.NONE),
        ([], _standing(0.0), {}, Recourse.PROBE),
        ([], _standing(2.5), {}, Recourse.ANY),
        # More than half of the service is in use, so that no rule binds.
        ([], _standing(9.0, half_empty=False), {}, Recourse.PROBE),
        ([], _standing(None), {}, Recourse.PROBE),
        ([BUSY], _standing(0.0), {}, Recourse.PROBE),
        ([BUSY], _standing(2.5), {}, Recourse.ANY),
        # Urgent work preempts there.
        (
            [BUSY],
            _standing(9.0, half_empty=False),
            {
                'priority': 0
            },
            Recourse.NONE,
        ),
        # Tasks that last must start however full their service is.
        (
            [BUSY],
            _standing(2.5, half_empty=False),
            {
                'endless': True
            },
            Recourse.ANY,
        ),
    ],
)
def test_suspended_worker_is_used_where_no_other_can_take_the_work(
    others: list[task_placement.WorkerCapacity],
    standing: Idle,
    options: dict[str, typing.Any],
    recourse: task_demand.Recourse,
) -> None:
    """Guards against a suspension that keeps work from running."""
    demand = _restrict([SUSPENDED, *others], standing, **options)
    assert demand.recourse is recourse


def test_suspended_worker_that_cannot_run_the_work_is_no_recourse() -> None:
    """Its demands would be planned one by one in vain."""
    elsewhere = dataclasses.replace(
        SUSPENDED, service_id=ids.ServiceId('elsewhere')
    )
    demand = _restrict([elsewhere], _standing(9.0))
    assert demand.recourse is Recourse.NONE


def test_every_step_that_fits_has_a_worker_after_the_pause() -> None:
    """Guards against any set of failures that keeps a step from running."""
    workers = [fleet_builders.worker(name) for name in 'abcd']
    names = [worker.worker_id for worker in workers]
    demands = [
        fleet_builders.demand(tasks=tasks, gang=gang, max_per_worker=limit)
        for tasks, gang, limit in
        itertools.product((1, 2, 4), (False, True), (0, 1))
    ]
    for count in range(5):
        for failed in itertools.permutations(names, count):
            ages = {
                worker_id: LATER + position
                for position, worker_id in enumerate(failed)
            }
            for demand in demands:
                excluded = worker_exclusion.choose(demand, ages, workers)
                left = len(workers) - len(excluded)
                assert left >= (
                    len(demand.indexes)
                    if demand.step.gang and demand.step.max_per_worker else 1
                )
