"""Which runs are stopped, and when a job may be forgotten."""
from __future__ import annotations

import pytest

from nutmegworks.policy import run_stops


@pytest.mark.parametrize(
    ('job_ended', 'task_done', 'gang_incomplete', 'expected'),
    [
        (False, False, False, False),
        (True, False, False, True),
        (False, True, False, True),
        (False, False, True, True),
    ],
)
def test_only_runs_that_are_not_needed_are_stopped(
    job_ended: bool,
    task_done: bool,
    gang_incomplete: bool,
    expected: bool,
) -> None:
    """Guards against runs that last for ever, and against lost work."""
    run = run_stops.StoredRun(job_ended, task_done, gang_incomplete)
    assert run_stops.must_stop(run) is expected


@pytest.mark.parametrize(
    ('run_numbers', 'expected'),
    [
        ([1, 1, 1], False),
        ([1, 1], True),
        ([1, 2, 1], True),
        ([1, 2, 2, 2], False),
        ([], True),
    ],
)
def test_gang_is_complete_if_all_members_share_a_run(
    run_numbers: list[int],
    expected: bool,
) -> None:
    """Guards against members that wait for others that never start."""
    assert run_stops.is_incomplete(run_numbers, 3) is expected


def test_stop_is_repeated_only_after_an_answer() -> None:
    """Guards against a second stop request beside the first."""
    late = run_stops.STOP_REPEAT_SECONDS
    assert not run_stops.must_repeat_stop(None, 100.0)
    assert not run_stops.must_repeat_stop(100.0, 99.0)
    assert not run_stops.must_repeat_stop(100.0, 100.0 + late / 2)
    assert run_stops.must_repeat_stop(100.0, 100.0 + late)


@pytest.mark.parametrize(
    ('stored_final', 'ended_at', 'runs_left', 'expected'),
    [
        (True, 5.0, False, True),
        (False, 5.0, False, False),
        (True, 15.0, False, False),
        (True, 5.0, True, False),
    ],
)
def test_job_is_forgotten_after_its_runs(
    stored_final: bool,
    ended_at: float,
    runs_left: bool,
    expected: bool,
) -> None:
    """Guards against runs whose records are gone."""
    forget = run_stops.may_forget(stored_final, ended_at, 10.0, runs_left)
    assert forget is expected
