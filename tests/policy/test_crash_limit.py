"""When a task is given up because workers crash under it."""
from __future__ import annotations

import dataclasses

import pytest

from nutmegworks.policy import crash_limit

CRASHED_AT_START = crash_limit.LostRun(
    sent=True,
    started=True,
    reported=False,
    worker_ended=True,
    worker_leaving=False,
    worker_answers=False,
)

CHANGES = {
    'the start of another run may have crashed it': (
        {
            'reported': True
        },
        crash_limit.Loss.CRASH_AT_WORK,
    ),
    'the start may never have arrived': (
        {
            'started': False
        },
        crash_limit.Loss.UNEXPLAINED,
    ),
    'the worker may only be cut off': (
        {
            'worker_ended': False
        },
        crash_limit.Loss.UNEXPLAINED,
    ),
    'a later incarnation answers': (
        {
            'worker_answers': True
        },
        crash_limit.Loss.CRASH_AT_START,
    ),
    'the worker lives and has lost the run': (
        {
            'worker_answers': True,
            'worker_ended': False
        },
        None,
    ),
    'the worker was about to leave': ({
        'worker_leaving': True
    }, None),
    'nothing was sent': ({
        'sent': False,
        'started': False
    }, None),
}


def test_crash_at_the_start_is_blamed_on_the_task() -> None:
    """Guards against crashes that count as losses of unknown cause."""
    assert crash_limit.classify(
        CRASHED_AT_START
    ) is crash_limit.Loss.CRASH_AT_START


@pytest.mark.parametrize('reason', CHANGES)
def test_other_losses_are_not_blamed_as_much(reason: str) -> None:
    """Guards against sound tasks that are given up with their workers."""
    fields, loss = CHANGES[reason]
    run = dataclasses.replace(CRASHED_AT_START, **fields)
    assert crash_limit.classify(run) is loss


def test_limits_keep_the_bound_of_the_platform() -> None:
    """Guards against a third start after three crashes.

    Whatever is known of the crashes, at most two starts follow the third.
    """
    assert crash_limit.MAX_LOSSES <= 3 + 2
    assert not crash_limit.is_exhausted(2, 4)
    assert crash_limit.is_exhausted(3, 3)
    assert crash_limit.is_exhausted(0, 5)


@pytest.mark.parametrize('loss', crash_limit.Loss)
def test_one_worker_does_not_end_a_task_that_lasts(
    loss: crash_limit.Loss
) -> None:
    """Guards against a lasting task that ends with a flapping worker."""
    assert not crash_limit.counts_for_lasting(loss, same_worker=True)
    assert crash_limit.counts_for_lasting(
        loss, same_worker=False
    ) is (loss is not crash_limit.Loss.UNEXPLAINED)
