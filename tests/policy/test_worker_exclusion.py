"""Which failed workers a step avoids, and that it can always run."""
from __future__ import annotations

import dataclasses
import itertools

import pytest

from nutmegworks.model import ids
from nutmegworks.policy import task_demand
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
