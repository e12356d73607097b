"""Stops that follow from what is stored, across changes of leader."""
from __future__ import annotations

import minicheck
import pytest

from specs import run_stops


def test_a_cancelled_run_can_always_be_ended() -> None:
    """Guards against an order of events after which a run lasts for ever."""
    model = run_stops.stop_model()
    checked = minicheck.check_safety(model)
    assert checked['exhaustive']
    for name, result in checked['properties'].items():
        assert result['holds'] is True, (name, result)
    assert minicheck.check_liveness(model)['holds'] is True


@pytest.mark.parametrize(
    'broken',
    [
        run_stops.Broken.ADOPT_ALL,
        run_stops.Broken.LEAVE_UNKNOWN,
        run_stops.Broken.STOP_ONCE,
    ],
)
def test_former_code_is_refuted(broken: run_stops.Broken) -> None:
    """The model is precise enough to detect the faults of issue 33."""
    model = run_stops.stop_model(broken)
    assert minicheck.check_liveness(model)['holds'] is False


def test_leader_that_stops_all_that_it_adopts_is_refuted() -> None:
    """The model tells stops of what is needed from those of the rest."""
    model = run_stops.stop_model(run_stops.Broken.STOP_ADOPTED)
    properties = minicheck.check_safety(model)['properties']
    assert properties['recorded_run_goes_on']['holds'] is False
