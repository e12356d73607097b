from __future__ import annotations

import sys

from nutmegworks.bench import decision


def _mean_calls_per_finish(experiment: decision.Experiment) -> float:
    """Return the mean number of calls to handle one finished job.

    They include the calls for the starts that follow from it.
    """
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
    """A scan of the whole cluster would make decisions too slow at full size.

    Calls are counted because times depend on the load of the machine.
    """
    small = _mean_calls_per_finish(decision.Experiment(0.004, 1))
    large = _mean_calls_per_finish(decision.Experiment(0.1, 1))

    # 25 times the workers; a linear cost would give about 25.
    assert large / small < 8, (small, large)
