"""Faulty workers among jobs whose tasks fail through their own fault."""
from __future__ import annotations

from nutmegworks.model import ids
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
