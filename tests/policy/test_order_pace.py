"""How many orders a worker gets at a time."""
from __future__ import annotations

import pytest

from nutmegworks.policy import order_pace

MOST = 15


def _pace() -> order_pace.OrderPace:
    return order_pace.OrderPace(MOST, random_share=lambda: 1.0)


def test_number_grows_with_answers_up_to_the_most() -> None:
    """Guards against connections that are all opened at once."""
    pace = _pace()
    limits = []
    for _ in range(20):
        limits.append(pace.limit(0.0))
        pace.record_answer(0.0)
    assert limits[:3] == [4, 5, 6]
    assert limits[-1] == MOST


def test_orders_that_fail_together_count_once() -> None:
    """Guards against a single reset of all connections that stops a worker."""
    pace = _pace()
    for _ in range(MOST):
        pace.record_answer(0.0)
    for _ in range(MOST):
        pace.record_failure(1.0)
    assert pace.limit(1.0) == 7
    assert pace.resume_at == 1.0 + order_pace.MIN_PAUSE_SECONDS


def test_pauses_grow_until_an_answer() -> None:
    """Guards against requests to a dead worker at a constant rate."""
    pace = _pace()
    now, pauses = 0.0, []
    for _ in range(2000):
        pace.record_failure(now)
        pauses.append(pace.resume_at - now)
        now = pace.resume_at
    assert pauses[:3] == pytest.approx([0.005, 0.02, 0.08])
    assert max(pauses) == pytest.approx(order_pace.MAX_PAUSE_SECONDS)
    assert pace.limit(now) == 1
    pace.record_answer(now)
    pace.record_failure(now)
    assert pace.resume_at - now == pytest.approx(0.005)


def test_lost_answers_of_a_worker_that_answers_do_not_count() -> None:
    """Guards against stops that wait behind each other for lost answers."""
    pace = _pace()
    for _ in range(MOST):
        pace.record_answer(1.0)
    for now in (1.0, 1.6, 1.9):
        pace.record_unanswered(now)
    assert pace.limit(1.9) == MOST
    pace.record_unanswered(2.0)
    assert pace.limit(2.0) == 7
    assert pace.resume_at > 2.0


def test_number_stays_below_the_one_that_failed_for_a_time() -> None:
    """Guards against resets in each round trip while others hold a share."""
    pace = _pace()
    for _ in range(6):
        pace.record_answer(0.0)
    assert pace.limit(0.0) == 10
    pace.record_failure(0.0)
    for _ in range(50):
        pace.record_answer(0.1)
    assert pace.limit(0.1) == 9
    later = order_pace.CEILING_SECONDS + 0.2
    for _ in range(50):
        pace.record_answer(later)
    assert pace.limit(later) == MOST
