"""The model of the platform: deterministic, and no better than possible."""
from __future__ import annotations

import dataclasses
import statistics

import pytest

from nutmegworks.bench import fleetexperiment
from nutmegworks.bench import fleetmodel
from nutmegworks.policy import task_planning


def _light() -> fleetmodel.Pattern:
    return fleetexperiment.patterns(0.2)['standard']


def test_a_seed_gives_the_same_day_again() -> None:
    """Comparisons of policies would show noise."""
    first = fleetmodel.FleetModel(_light(), 3).run()
    second = fleetmodel.FleetModel(_light(), 3).run()
    assert first == second


def test_light_days_earn_nearly_everything() -> None:
    """A model that loses work by itself would hide what policies lose."""
    outcome = fleetmodel.FleetModel(_light(), 3).run()
    assert outcome.share > 0.85


def test_slow_workers_cost_something() -> None:
    """Otherwise the model could not compare how they are avoided.

    A single day may gain by chance: other jobs come first.
    """
    pattern = fleetexperiment.patterns(0.7)['standard']
    sound = dataclasses.replace(pattern, slow_share=0.0)
    slow = dataclasses.replace(pattern, slow_factor=4.0)

    def mean(of: fleetmodel.Pattern) -> float:
        return statistics.mean(
            fleetmodel.FleetModel(of, seed).run().share for seed in range(8)
        )

    assert mean(sound) > mean(slow)


def test_workers_never_hold_more_than_their_room() -> None:
    """Shares of an impossible day would be worth nothing."""
    model = fleetmodel.FleetModel(fleetexperiment.patterns(1.0)['standard'], 2)
    slots = model._slots

    def checked() -> list:
        made = slots()
        assert all(
            slot.free.cpu >= 0 and slot.free.memory >= 0
            and slot.free.accelerators >= 0 for slot in made
        )
        return made

    model._slots = checked
    assert model.run().rounds > 100


def test_a_change_holds_for_one_day_only() -> None:
    """The next comparison would start from changed policies."""
    before = task_planning.MAX_BACKFILL_RESERVATIONS
    change = fleetexperiment.parse_change(
        'task_planning.MAX_BACKFILL_RESERVATIONS=1'
    )
    fleetexperiment.play('standard', 0.1, 1, [change])
    assert task_planning.MAX_BACKFILL_RESERVATIONS == before


def test_an_unknown_constant_is_refused() -> None:
    """A misspelt name would compare a policy with itself."""
    with pytest.raises(ValueError):
        fleetexperiment.parse_change(
            'task_planning.MAX_BACKFILL_RESERVATION=1'
        )
