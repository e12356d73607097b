"""Faulty workers among jobs whose tasks fail through their own fault."""
from __future__ import annotations

import typing

import pytest

from nutmegworks.model import ids
from nutmegworks.policy import task_placement
from nutmegworks.policy import worker_exclusion
from nutmegworks.policy import worker_health

WORKER = ids.WorkerId('w1')
JOB_A = ids.JobId('a')
JOB_B = ids.JobId('b')


def test_worker_stays_healthy_when_one_job_fails() -> None:
    """Two tasks in a hundred fail through their own fault."""
    health = worker_health.WorkerHealth()
    assert not health.record_failure(WORKER, JOB_A, 1.0)
    assert not health.record_failure(WORKER, JOB_A, 2.0)
    assert health.status(WORKER, 2.0) is worker_health.Health.HEALTHY


def test_failures_of_two_jobs_make_a_suspect() -> None:
    """A worker that fails every task must get no more within seconds."""
    health = worker_health.WorkerHealth()
    health.record_failure(WORKER, JOB_A, 1.0)
    assert health.record_failure(WORKER, JOB_B, 2.0)
    assert health.suspects([WORKER, 'w2', 'w3'], 2.1) == {WORKER}


def test_only_a_share_of_the_workers_is_excluded() -> None:
    """Where most workers fail, the jobs are the cause."""
    health = worker_health.WorkerHealth()
    worker_ids = [ids.WorkerId(f'w{number}') for number in range(10)]
    for worker_id in worker_ids:
        health.record_failure(worker_id, JOB_A, 1.0)
        health.record_failure(worker_id, JOB_B, 1.0)
    assert len(health.suspects(worker_ids, 2.0)) == 4


def test_a_failure_is_recent_until_it_expires_or_a_task_succeeds() -> None:
    """A gang with a member on a failing worker is lost as a whole."""
    health = worker_health.WorkerHealth()
    assert not health.failed_recently(WORKER, 0.0)
    health.record_failure(WORKER, JOB_A, 1.0)
    assert health.failed_recently(WORKER, 2.0)
    assert not health.failed_recently(
        WORKER, 1.1 + worker_health.RECENT_FAILURE_SECONDS
    )
    health.record_failure(WORKER, JOB_A, 10.0)
    health.record_success(WORKER)
    assert not health.failed_recently(WORKER, 10.5)


# When the worker becomes a suspect, in seconds.
T = 100.0
_Event = typing.Callable[[worker_health.WorkerHealth, float], object]


def _fail(health: worker_health.WorkerHealth, now: float) -> None:
    health.record_failure(WORKER, JOB_A, now)
    health.record_failure(WORKER, JOB_B, now)


def _stall(health: worker_health.WorkerHealth, now: float) -> None:
    health.record_stall(WORKER, now)


def _succeed(health: worker_health.WorkerHealth, now: float) -> None:
    health.record_success(WORKER)


def _stay(health: worker_health.WorkerHealth, now: float) -> None:
    """A run has just stayed for the time that ends a probation."""
    health.record_running(
        WORKER, [now - worker_health.PROBATION_RUN_SECONDS], now
    )


def _nothing(health: worker_health.WorkerHealth, now: float) -> None:
    pass


HEALTHY = worker_health.Health.HEALTHY
PROBATION = worker_health.Health.PROBATION
SUSPECT = worker_health.Health.SUSPECT


@pytest.mark.parametrize(
    ('event', 'after', 'state'),
    [
        (_nothing, 0.0, SUSPECT),
        (_succeed, 0.0, HEALTHY),
        # Time alone ends a suspension.
        (_nothing, worker_health.FIRST_SUSPENSION_SECONDS, PROBATION),
        (_succeed, worker_health.FIRST_SUSPENSION_SECONDS, HEALTHY),
        (_fail, worker_health.FIRST_SUSPENSION_SECONDS, SUSPECT),
        (_stall, worker_health.FIRST_SUSPENSION_SECONDS, SUSPECT),
        # A run must have begun after the suspension to prove something.
        (_stay, worker_health.FIRST_SUSPENSION_SECONDS, PROBATION),
        (
            _stay,
            worker_health.FIRST_SUSPENSION_SECONDS +
            worker_health.PROBATION_RUN_SECONDS,
            HEALTHY,
        ),
    ],
)
@pytest.mark.parametrize('suspend', [_fail, _stall])
def test_each_state_is_left(
    suspend: _Event,
    event: _Event,
    after: float,
    state: worker_health.Health,
) -> None:
    """Guards against a state that a worker cannot leave."""
    health = worker_health.WorkerHealth()
    suspend(health, T)
    event(health, T + after)
    assert health.status(WORKER, T + after) is state


def test_suspensions_stay_bounded() -> None:
    """Guards against suspensions that grow for ever."""
    health = worker_health.WorkerHealth()
    for _ in range(20):
        _fail(health, T)
    assert health.status(
        WORKER, T + worker_health.MAX_SUSPENSION_SECONDS
    ) is PROBATION


def test_probation_allows_one_run_beside_those_from_before() -> None:
    """Tasks that last never end, and must not keep the trial from coming."""
    health = worker_health.WorkerHealth()
    _fail(health, T)
    began = T + worker_health.FIRST_SUSPENSION_SECONDS
    now = began + 1.0
    access = task_placement.Access
    assert health.access(WORKER, [T - 50.0, T - 1.0], now) is access.PROBE
    assert health.access(WORKER, [T - 50.0, began + 0.5], now) is access.CLOSED
    assert health.access('w2', [now, now], now) is access.OPEN


def test_failures_of_one_batch_are_one_suspension() -> None:
    """Guards against the longest suspension after a single moment."""
    health = worker_health.WorkerHealth()
    jobs = [ids.JobId(f'job-{number}') for number in range(8)]
    for number, job_id in enumerate(jobs):
        health.record_failure(WORKER, job_id, T + 0.01 * number, T - 1.0)
    ends = T + 0.01 + worker_health.FIRST_SUSPENSION_SECONDS
    assert health.status(WORKER, ends - 0.1) is SUSPECT
    assert health.status(WORKER, ends) is PROBATION
    # A run of the batch that fails on probation is no new evidence either.
    assert not health.record_failure(WORKER, jobs[0], ends, T - 1.0)
    assert health.status(WORKER, ends) is PROBATION


def test_failures_at_different_times_lengthen_suspensions() -> None:
    """A faulty worker must not get a run every few seconds for ever."""
    health = worker_health.WorkerHealth()
    _fail(health, T)
    ends = T + worker_health.FIRST_SUSPENSION_SECONDS
    assert health.record_failure(WORKER, JOB_A, ends + 0.1, ends)
    next_end = ends + 0.1 + 2 * worker_health.FIRST_SUSPENSION_SECONDS
    assert health.status(WORKER, next_end - 0.1) is SUSPECT
    assert health.status(WORKER, next_end) is PROBATION


def test_suspect_is_a_last_resort_after_a_pause() -> None:
    """Guards against work that only a suspended worker can run.

    The pause protects the attempts of a job from a worker that fails all.
    """
    access = task_placement.Access
    health = worker_health.WorkerHealth()
    health.record_stall(WORKER, T)
    assert health.access(WORKER, [T - 50.0], T + 1.0) is access.CLOSED
    later = T + worker_exclusion.RETRY_SECONDS
    assert health.access(WORKER, [T - 50.0], later) is access.LAST_RESORT
    assert health.access(WORKER, [later], later + 0.1) is access.CLOSED


def test_task_that_fails_everywhere_is_no_evidence() -> None:
    """Guards against workers suspended one after the other by one job."""
    assert not worker_health.is_own_fault(0)
    assert not worker_health.is_own_fault(1)
    assert worker_health.is_own_fault(2)


def test_failure_on_probation_suspends_for_longer() -> None:
    """A faulty worker gets one run of one job between its suspensions."""
    health = worker_health.WorkerHealth()
    _fail(health, T)
    began = T + worker_health.FIRST_SUSPENSION_SECONDS
    assert health.record_failure(WORKER, JOB_A, began)
    assert health.status(
        WORKER, began + worker_health.FIRST_SUSPENSION_SECONDS
    ) is SUSPECT


def test_run_that_stays_does_not_shorten_the_next_suspension() -> None:
    """A worker that fails late must not be trusted like a sound one."""
    health = worker_health.WorkerHealth()
    _fail(health, T)
    trusted = (
        T + worker_health.FIRST_SUSPENSION_SECONDS +
        worker_health.PROBATION_RUN_SECONDS
    )
    _stay(health, trusted)
    assert health.status(WORKER, trusted) is HEALTHY
    _fail(health, trusted)
    assert health.status(
        WORKER, trusted + worker_health.FIRST_SUSPENSION_SECONDS
    ) is SUSPECT
