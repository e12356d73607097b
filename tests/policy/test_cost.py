from __future__ import annotations

import sys

from nutmegworks.bench import decision


def _calls(experiment: decision.Experiment) -> float:
    """Return the mean number of calls for one finish and what it starts."""
    count = 0

    def profile(frame, event, arg) -> None:
        nonlocal count
        count += event in ('call', 'c_call')

    sys.setprofile(profile)
    try:
        finishes = experiment.time_finishes()
    finally:
        sys.setprofile(None)
    return count / len(finishes)


def test_cost_of_a_placement_does_not_grow_linearly() -> None:
    """A scan of the cluster would make decisions too slow at full size.

    Calls are counted, since times depend on what else the machine does.
    """
    small = _calls(decision.Experiment(0.004, 1))
    large = _calls(decision.Experiment(0.1, 1))

    # 25 times the workers; a linear cost would give about 25.
    assert large / small < 8, (small, large)
