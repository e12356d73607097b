from __future__ import annotations

import random

from nutmegworks.limits import deadline
from nutmegworks.limits import retries
from nutmegworks.limits import shedding
from nutmegworks.model import verdict


def check(waiting, *, left=60.0, share=1.0, run_seconds=2.0):
    wait = shedding.estimated_wait(
        waiting=waiting, run_seconds=run_seconds, slots=8, share=share
    )
    return shedding.check(
        wait=wait, run_seconds=run_seconds, target=10.0, time_left=left
    )


def test_sheds_by_target_share_and_deadline() -> None:
    """A request that will be late must be refused before it waits."""
    assert check(24) is None
    refused = check(25)
    assert refused.verdict is verdict.Verdict.DID_NOT_RUN
    assert refused.reason is verdict.Reason.OVERLOADED
    assert 0.1 <= refused.retry_after < 1.0
    assert check(400).retry_after == shedding.MAX_RETRY_SECONDS
    assert check(13, share=0.5) is not None
    assert check(12, left=6.0) is not None


def test_an_empty_queue_is_never_shed() -> None:
    """One slow request must not make a class refuse for ever."""
    times = shedding.RunTime()
    times.observe(100.0)
    assert check(0, run_seconds=times.seconds) is None
    assert check(1, run_seconds=times.seconds) is not None
    for _ in range(100):
        times.observe(1.0)
    assert times.seconds < 2.0
    assert check(1, run_seconds=times.seconds) is None


def test_attempts_stay_within_the_bound() -> None:
    """Retries must not multiply the load of an outage."""
    for failing in (0.3, 1.0):
        source = random.Random(7)
        budget = retries.RetryBudget()
        attempts = 0
        for _ in range(1000):
            budget.request_started('plan')
            attempts += 1
            while source.random() < failing and budget.allow_retry('plan'):
                attempts += 1
        assert attempts <= 1200
        assert attempts >= 1150


def test_budget_is_per_class_and_not_saved_up() -> None:
    """A quiet or a failing class must not spend another's budget."""
    budget = retries.RetryBudget()
    for _ in range(10_000):
        budget.request_started('quiet')
    allowed = 0
    while budget.allow_retry('quiet'):
        allowed += 1
    assert allowed == retries.MAX_SAVED_RETRIES
    assert budget.allow_retry('other')


def test_backoff_grows_to_its_limit_and_is_spread() -> None:
    """Callers that failed together must not return together."""
    source = random.Random(3)
    for retry in (1, 3, 50):
        longest = min(
            retries.MAX_BACKOFF_SECONDS,
            retries.BACKOFF_SECONDS * 2**(retry - 1),
        )
        waits = [retries.backoff(retry, source) for _ in range(200)]
        assert max(waits) <= longest
        assert max(waits) > 0.9 * longest and min(waits) < 0.1 * longest


def test_time_left_never_grows_from_hop_to_hop() -> None:
    """An upstream must not work on after the caller has given up."""
    left = 2.0
    for _ in range(5):
        told = deadline.parse(deadline.header(left)).unwrap()
        assert left - 0.005 < told <= left - deadline.HOP_SECONDS
        left = told
    assert deadline.header(0.001) == '0'
    assert deadline.attempt_timeout(2.0, may_repeat=True) < 1.0
    assert 1.9 < deadline.attempt_timeout(2.0, may_repeat=False) < 2.0
    for text in ('', '1.5', '-1', '٣', '1' * 10):
        assert deadline.parse(text).is_err()
