"""Load pattern: workers that fail what they start among jobs at fault."""
from __future__ import annotations

from nutmegworks.model import ids
from nutmegworks.policy import suspicion

WORKER = ids.WorkerId('w1')
JOB_A = ids.JobId('a')
JOB_B = ids.JobId('b')


def test_one_failing_job_does_not_cost_its_worker_the_trust() -> None:
    """Two tasks in a hundred fail by their own fault."""
    evidence = suspicion.Suspicion()
    assert not evidence.failed(WORKER, JOB_A, 1.0)
    assert not evidence.failed(WORKER, JOB_A, 2.0)
    assert evidence.trust(WORKER, 2.0) is suspicion.Trust.TRUSTED


def test_failures_of_two_jobs_make_a_suspect() -> None:
    """A worker that fails everything must stop hurting within seconds."""
    evidence = suspicion.Suspicion()
    evidence.failed(WORKER, JOB_A, 1.0)
    assert evidence.failed(WORKER, JOB_B, 2.0)
    assert evidence.suspects([WORKER, 'w2', 'w3'], 2.1) == {WORKER}


def test_the_pool_is_never_emptied() -> None:
    """Where most workers fail, the jobs are to blame."""
    evidence = suspicion.Suspicion()
    worker_ids = [ids.WorkerId(f'w{number}') for number in range(10)]
    for worker_id in worker_ids:
        evidence.failed(worker_id, JOB_A, 1.0)
        evidence.failed(worker_id, JOB_B, 1.0)
    assert len(evidence.suspects(worker_ids, 2.0)) == 4


def test_a_worker_is_doubted_from_its_first_failure_to_a_success() -> None:
    """A gang that meets a failing worker is lost as a whole."""
    evidence = suspicion.Suspicion()
    assert not evidence.is_doubted(WORKER, 0.0)
    evidence.failed(WORKER, JOB_A, 1.0)
    assert evidence.is_doubted(WORKER, 2.0)
    assert not evidence.is_doubted(WORKER, 1.1 + suspicion.DOUBT_SECONDS)
    evidence.failed(WORKER, JOB_A, 10.0)
    evidence.succeeded(WORKER)
    assert not evidence.is_doubted(WORKER, 10.5)
