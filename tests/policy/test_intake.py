"""Choice of the connections that give way."""
from __future__ import annotations

import hypothesis
from hypothesis import strategies

from nutmegworks.policy import intake

_HOLDERS = strategies.lists(
    strategies.builds(
        intake.Holder,
        strategies.integers(0, 10**6).map(intake.HolderId),
        strategies.sampled_from(intake.Phase),
        strategies.integers(0, 3_000_000),
        strategies.floats(0, 30),
    ),
    unique_by=lambda holder: holder.holder_id,
    max_size=30,
)


def _holder(
    number: int,
    phase: intake.Phase,
    held: int = 1000,
    quiet: float = 5.0,
) -> intake.Holder:
    return intake.Holder(intake.HolderId(number), phase, held, quiet)


def test_a_stalled_body_gives_way_and_one_that_goes_on_does_not() -> None:
    """Guards against bodies without their last byte that hold all memory."""
    stalled = _holder(1, intake.Phase.RECEIVING, 2_000_000)
    active = _holder(2, intake.Phase.RECEIVING, 4_000_000, quiet=0.1)
    assert intake.choose_for_bytes([active, stalled], 1000) == (1, )
    assert intake.choose_for_bytes([active], 1000) == ()


def test_nothing_is_closed_for_a_request_that_is_refused_anyway() -> None:
    """Guards against closed connections that help nobody."""
    stalled = _holder(1, intake.Phase.RECEIVING, 1000)
    assert intake.choose_for_bytes([stalled], 1001) == ()


def test_the_longest_idle_connection_gives_way_to_a_new_one() -> None:
    """Guards against idle connections that lock other callers out."""
    holders = [
        _holder(1, intake.Phase.IDLE, quiet=2.0),
        _holder(2, intake.Phase.IDLE, quiet=9.0),
        _holder(3, intake.Phase.HANDLING, quiet=90.0),
    ]
    assert intake.choose_for_connection(holders) == 2
    assert intake.choose_for_connection(holders[2:]) is None


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(_HOLDERS, strategies.integers(1, 5_000_000))
def test_choices_keep_requests_that_may_take_effect(
    holders: list[intake.Holder],
    needed: int,
) -> None:
    """Guards against a broken connection whose request has run."""
    by_id = {holder.holder_id: holder for holder in holders}
    chosen = intake.choose_for_bytes(holders, needed)
    if chosen:
        assert sum(by_id[holder_id].held for holder_id in chosen) >= needed
    one = intake.choose_for_connection(holders)
    for holder_id in (*chosen, *(() if one is None else (one, ))):
        assert by_id[holder_id].phase is not intake.Phase.HANDLING
        assert intake.may_give_way(by_id[holder_id])
