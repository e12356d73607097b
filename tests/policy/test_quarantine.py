from __future__ import annotations

import random

from nutmegworks.policy import failure_attribution
from nutmegworks.policy import quarantine

_State = quarantine.WorkerState


def _run(pool, bad_workers, bad_jobs, *, jobs=400, teams=4, size=24):
    """Run each job until it succeeds or its attempts are exhausted.

    :return: failed attempts by job, and the largest number of workers that
        were restricted at a time.
    """
    source = random.Random(3)
    limit = quarantine.AttemptLimit()
    attempts_by_job, max_restricted = {}, 0
    for job in range(jobs):
        failed_on = []
        while limit.reason_to_stop(failed_on, pool.state) is None:
            candidates = [
                worker for worker in range(size)
                if pool.state(worker) is not _State.QUARANTINED
                and worker not in failed_on
            ]
            worker = source.choice(candidates)
            if worker not in bad_workers and job not in bad_jobs:
                pool.record_success(worker, job, job)
                break
            pool.record_failure(worker, job, job % teams, job)
            failed_on.append(worker)
        attempts_by_job[job] = len(failed_on)
        states = [pool.state(worker) for worker in range(size)]
        max_restricted = max(
            max_restricted,
            size - states.count(_State.HEALTHY),
        )
    return attempts_by_job, max_restricted


def test_bad_workers_are_quarantined_and_bad_jobs_stop() -> None:
    """Bad workers must not fail all jobs; bad jobs must not cost workers."""
    # Given a rack of bad workers, and a team whose jobs all fail
    pool = quarantine.Quarantine(24)
    bad_jobs = set(range(0, 400, 4))
    attempts_by_job, max_restricted = _run(pool, {0, 1, 2, 3, 4, 5}, bad_jobs)
    # Then exactly the bad workers are in quarantine
    states = [pool.state(worker) for worker in range(24)]
    assert states == [_State.QUARANTINED] * 6 + [_State.HEALTHY] * 18
    # Then a bad job ends after a bounded number of attempts
    assert max(attempts_by_job.values()) <= quarantine.AttemptLimit().attempts
    assert all(attempts_by_job[job] == 3 for job in bad_jobs if job > 200)
    assert max_restricted <= 6


def test_jobs_that_fail_everywhere_quarantine_no_worker() -> None:
    """A broken release of one team must not reduce the pool."""
    pool = quarantine.Quarantine(24)
    for number in range(500):
        worker = number % 24
        assert not pool.record_failure(worker, number, 'team', number)
        assert not pool.record_failure(worker, 'same-job', 'other', number)


def test_broken_releases_of_most_teams_quarantine_no_worker() -> None:
    """Failing jobs of several teams must not quarantine healthy workers."""
    bad_jobs = {job for job in range(400) if job % 4}
    _, max_restricted = _run(quarantine.Quarantine(24), set(), bad_jobs)
    assert max_restricted == 0


def test_failures_count_despite_one_bad_job_of_each_team() -> None:
    """Bad jobs of several teams must not add up, nor hide a bad worker."""
    pool = quarantine.Quarantine(24)
    for team in range(3):
        pool.record_failure('a', f'{team}-good', team, 0.0)
        pool.record_success('b', f'{team}-good', 0.0)
        pool.record_success('a', f'{team}-other', 0.0)
        assert not pool.record_failure('c', f'{team}-bad', team, 0.0)
        assert not pool.record_failure('d', f'{team}-bad', team, 0.0)
    for team in range(3):
        pool.record_failure('e', f'{team}-next', team, 0.0)
    assert pool.state('e') is _State.QUARANTINED


def test_success_elsewhere_confirms_failures_of_one_team() -> None:
    """A bad worker must be quarantined even if only one team runs jobs."""
    pool = quarantine.Quarantine(24)
    for job in range(3):
        assert not pool.record_failure('bad', job, 'team', 0.0)
    transitions = pool.record_success('good', 0, 0.0)
    assert [item.worker_id for item in transitions] == ['bad']
    # Then failures of jobs that failed on it count against the next worker
    for job in range(3, 6):
        pool.record_failure('bad', job, job, 0.0)
        pool.record_failure('next', job, job, 0.0)
    assert pool.state('next') is _State.QUARANTINED
    # Then failures on bad workers also end a job, but later
    reason = quarantine.AttemptLimit(attempts=8).reason_to_stop
    assert reason(['bad', 'next'] * 3, pool.state) is None
    assert reason(['bad', 'next'] * 4, pool.state) == 'failed 8 times'


def test_no_more_than_a_share_of_the_pool_is_restricted() -> None:
    """A fault of the whole domain must not restrict all workers."""
    pool = quarantine.Quarantine(24)
    for job in range(100):
        pool.record_failure(job % 12, job, job, 0.0)
    restricted = [w for w in range(24) if pool.state(w) is not _State.HEALTHY]
    assert restricted == [0, 1, 2, 3, 4, 5]
    # Then a smaller pool releases the oldest, and removing a worker lets the
    # next waiting suspect be quarantined
    released = pool.resize(16, 1.0)
    assert [item.worker_id for item in released] == [0, 1]
    pool.remove_worker(5)
    assert [item.worker_id for item in pool.tick(2.0)] == [6]


def test_failed_probation_doubles_the_quarantine() -> None:
    """A repaired worker must be released; a bad one must not flap."""
    pool = quarantine.Quarantine(24)

    def fail(count, now):
        return [
            item.state
            for job in range(count)
            for item in pool.record_failure('w', f'{now}-{job}', job, now)
        ]

    first = quarantine.FIRST_QUARANTINE_SECONDS
    assert fail(3, 0.0) == [_State.QUARANTINED]
    assert not pool.tick(first - 1)
    assert pool.tick(first)[0].state is _State.PROBATION
    assert fail(2, first) == [_State.QUARANTINED]
    assert not pool.tick(3 * first - 1)
    assert pool.tick(3 * first)[0].state is _State.PROBATION
    assert not pool.record_success('w', 'x', 1000.0)
    assert not pool.record_success('w', 'x', 1000.0)
    assert pool.record_success('w', 'y', 1000.0)[0].state is _State.HEALTHY


def test_failure_records_are_bounded() -> None:
    """Memory must not grow with the number of jobs that ever failed."""
    attribution = failure_attribution.FailureAttribution()
    for job in range(3 * failure_attribution.MAX_JOBS):
        attribution.record_failure(job % 7, job, 'team', bool)
        attribution.record_failure(job, 'everywhere', 'team', bool)
    assert len(attribution._job_by_id) == failure_attribution.MAX_JOBS
    failures = attribution._failures_by_worker
    assert max(
        map(len, failures.values())
    ) <= failure_attribution.MAX_FAILURES_PER_WORKER
    assert attribution.count_failed_jobs(3, lambda worker: True) <= 2
