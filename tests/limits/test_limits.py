from __future__ import annotations

import random

from nutmegworks.limits import deadline
from nutmegworks.limits import retries
from nutmegworks.limits import shedding
from nutmegworks.model import verdict


def refusal(
    waiting_count, *, remaining_seconds=60.0, share=1.0, run_seconds=2.0
):
    wait = shedding.estimated_wait(
        waiting_count=waiting_count,
        run_seconds=run_seconds,
        slots=8,
        share=share
    )
    return shedding.refuse_if_late(
        wait=wait,
        run_seconds=run_seconds,
        target=10.0,
        remaining_seconds=remaining_seconds
    )


def test_sheds_by_target_share_and_deadline() -> None:
    """Guards against queueing a request that can't meet its deadline."""
    assert refusal(24) is None
    late = refusal(25)
    assert late.verdict is verdict.Verdict.DID_NOT_RUN
    assert late.reason is verdict.Reason.OVERLOADED
    assert 0.1 <= late.retry_after < 1.0
    assert refusal(400).retry_after == shedding.MAX_RETRY_SECONDS
    assert refusal(13, share=0.5) is not None
    assert refusal(12, remaining_seconds=6.0) is not None


def test_request_without_wait_is_never_shed() -> None:
    """Guards against one slow request that makes a class refuse all others."""
    run_time = shedding.RunTimeAverage()
    run_time.observe(100.0)
    assert refusal(0, run_seconds=run_time.seconds) is None
    assert refusal(1, run_seconds=run_time.seconds) is not None
    for _ in range(100):
        run_time.observe(1.0)
    assert run_time.seconds < 2.0
    assert refusal(1, run_seconds=run_time.seconds) is None


def test_attempts_stay_within_the_retry_budget() -> None:
    """Guards against retries that multiply the load during an outage."""
    for failure_rate in (0.3, 1.0):
        rng = random.Random(7)
        budget = retries.RetryBudget()
        attempts = 0
        for _ in range(1000):
            budget.request_started('plan')
            attempts += 1
            while rng.random() < failure_rate and budget.allow_retry('plan'):
                attempts += 1
        assert attempts <= 1200
        assert attempts >= 1150


def test_budget_is_per_class_and_capped() -> None:
    """Guards against one class exhausting the retry budget of another.

    It also must not accumulate an unlimited budget while it does not fail.
    """
    budget = retries.RetryBudget()
    for _ in range(10_000):
        budget.request_started('quiet')
    allowed = 0
    while budget.allow_retry('quiet'):
        allowed += 1
    assert allowed == retries.MAX_AVAILABLE_RETRIES
    assert budget.allow_retry('other')


def test_backoff_grows_to_its_limit_and_is_random() -> None:
    """Guards against simultaneous retries of callers that failed together."""
    rng = random.Random(3)
    for retry_number in (1, 3, 50):
        max_delay = min(
            retries.MAX_BACKOFF_SECONDS,
            retries.BACKOFF_SECONDS * 2**(retry_number - 1),
        )
        delays = [retries.backoff(retry_number, rng) for _ in range(200)]
        assert max(delays) <= max_delay
        assert max(delays) > 0.9 * max_delay and min(delays) < 0.1 * max_delay


def test_remaining_time_shrinks_with_each_hop() -> None:
    """Guards against work of an upstream after the deadline of the caller."""
    remaining = 2.0
    for _ in range(5):
        received = deadline.parse_milliseconds(
            deadline.header_value(remaining)
        ).unwrap()
        assert (
            remaining - 0.005 < received <=
            remaining - deadline.RESPONSE_TRANSIT_SECONDS
        )
        remaining = received
    assert deadline.header_value(0.001) == '0'
    assert deadline.attempt_timeout(2.0, may_retry=True) < 1.0
    assert 1.9 < deadline.attempt_timeout(2.0, may_retry=False) < 2.0
    for text in ('', '1.5', '-1', '٣', '1' * 10):
        assert deadline.parse_milliseconds(text).is_err()
