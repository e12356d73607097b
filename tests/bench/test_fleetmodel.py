"""Tests of the simulation of the platform daemon and of its experiment."""
from __future__ import annotations

import dataclasses
import statistics

import pytest

from nutmegworks.bench import fleetexperiment
from nutmegworks.bench import fleetmodel
from nutmegworks.policy import task_planning


def _light_pattern() -> fleetmodel.Pattern:
    return fleetexperiment.patterns(0.2)['standard']


def test_equal_seeds_give_equal_outcomes() -> None:
    """Otherwise a comparison of policies would also show random noise."""
    first = fleetmodel.FleetModel(_light_pattern(), 3).run()
    second = fleetmodel.FleetModel(_light_pattern(), 3).run()
    assert first == second


def test_nearly_all_jobs_meet_their_objective_at_light_load() -> None:
    """Value lost by the model itself would hide what policies lose."""
    outcome = fleetmodel.FleetModel(_light_pattern(), 3).run()
    assert outcome.value_share > 0.85


def test_slow_workers_reduce_the_value_share() -> None:
    """Otherwise the model could not compare how policies avoid them.

    Slow workers change the order of jobs, which can by chance increase the
    share of a single simulation, so means over several seeds are compared.
    """
    pattern = fleetexperiment.patterns(0.7)['standard']
    uniform = dataclasses.replace(pattern, slow_share=0.0)
    slow = dataclasses.replace(pattern, slow_factor=4.0)

    def mean(workload: fleetmodel.Pattern) -> float:
        return statistics.mean(
            fleetmodel.FleetModel(workload, seed).run().value_share
            for seed in range(8)
        )

    assert mean(uniform) > mean(slow)


def test_runs_never_exceed_the_resources_of_a_worker() -> None:
    """Overcommitted workers would make the value share too high."""
    model = fleetmodel.FleetModel(fleetexperiment.patterns(1.0)['standard'], 2)
    worker_capacities = model._worker_capacities

    def checked() -> list:
        capacities = worker_capacities()
        assert all(
            capacity.free.cpu >= 0 and capacity.free.memory >= 0
            and capacity.free.accelerators >= 0 for capacity in capacities
        )
        return capacities

    model._worker_capacities = checked
    assert model.run().rounds > 100


def test_changed_constants_are_restored_after_a_simulation() -> None:
    """Otherwise the next simulation would start with changed constants."""
    before = task_planning.MAX_BACKFILL_RESERVATIONS
    change = fleetexperiment.parse_change(
        'task_planning.MAX_BACKFILL_RESERVATIONS=1'
    )
    fleetexperiment.simulate('standard', 0.1, 1, [change])
    assert task_planning.MAX_BACKFILL_RESERVATIONS == before


def test_unknown_constant_is_rejected() -> None:
    """Otherwise a misspelt name would compare a policy with itself."""
    with pytest.raises(ValueError):
        fleetexperiment.parse_change(
            'task_planning.MAX_BACKFILL_RESERVATION=1'
        )
