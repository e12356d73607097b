from __future__ import annotations

import random

from nutmegworks.policy import evidence
from nutmegworks.policy import quarantine

_State = quarantine.WorkerState


def _run(pool, bad_workers, bad_jobs, *, jobs=400, teams=4, size=24):
    """Run each job until it succeeds or its attempts are used up.

    :return: the attempts by job, and the largest number of restricted.
    """
    source = random.Random(3)
    limit = quarantine.AttemptLimit()
    attempts, most = {}, 0
    for job in range(jobs):
        failed_on = []
        while limit.reason_to_stop(failed_on, pool.state) is None:
            free = [
                worker for worker in range(size)
                if pool.state(worker) is not _State.QUARANTINED
                and worker not in failed_on
            ]
            worker = source.choice(free)
            if worker not in bad_workers and job not in bad_jobs:
                pool.succeeded(worker, job, job)
                break
            pool.failed(worker, job, job % teams, job)
            failed_on.append(worker)
        attempts[job] = len(failed_on)
        states = [pool.state(worker) for worker in range(size)]
        most = max(most, size - states.count(_State.HEALTHY))
    return attempts, most


def test_bad_workers_are_quarantined_and_bad_jobs_stop() -> None:
    """A bad worker must not eat jobs; a bad job must not take workers."""
    # Given a bad rack, and a team whose jobs all fail
    pool = quarantine.Quarantine(24)
    bad_jobs = set(range(0, 400, 4))
    attempts, most = _run(pool, {0, 1, 2, 3, 4, 5}, bad_jobs)
    # Then exactly the bad workers are in quarantine
    states = [pool.state(worker) for worker in range(24)]
    assert states == [_State.QUARANTINED] * 6 + [_State.HEALTHY] * 18
    # Then a bad job ends after a bounded number of attempts
    assert max(attempts.values()) <= quarantine.AttemptLimit().total
    assert all(attempts[job] == 3 for job in bad_jobs if job > 200)
    assert most <= 6


def test_jobs_that_fail_everywhere_quarantine_nobody() -> None:
    """One team's broken release must not shrink the pool."""
    pool = quarantine.Quarantine(24)
    for number in range(500):
        worker = number % 24
        assert not pool.failed(worker, number, 'team', number)
        assert not pool.failed(worker, 'same-job', 'other', number)


def test_broken_releases_of_most_teams_quarantine_nobody() -> None:
    """Failures of several teams at once must not convict healthy workers."""
    bad_jobs = {job for job in range(400) if job % 4}
    _, most = _run(quarantine.Quarantine(24), set(), bad_jobs)
    assert most == 0


def test_one_bad_job_of_a_sound_team_is_no_evidence() -> None:
    """Bad jobs of several teams must not add up; their good jobs count."""
    pool = quarantine.Quarantine(24)
    for team in range(3):
        pool.failed('a', f'{team}-good', team, 0.0)
        pool.succeeded('b', f'{team}-good', 0.0)
        pool.succeeded('a', f'{team}-other', 0.0)
        assert not pool.failed('c', f'{team}-bad', team, 0.0)
        assert not pool.failed('d', f'{team}-bad', team, 0.0)
    for team in range(3):
        pool.failed('e', f'{team}-next', team, 0.0)
    assert pool.state('e') is _State.QUARANTINED


def test_success_elsewhere_convicts_even_with_one_team() -> None:
    """A pool with one team must not keep a worker that fails every task."""
    pool = quarantine.Quarantine(24)
    for job in range(3):
        assert not pool.failed('bad', job, 'team', 0.0)
    convicted = pool.succeeded('good', 0, 0.0)
    assert [item.worker_id for item in convicted] == ['bad']
    # Then a failure on it does not excuse the next bad worker
    for job in range(3, 6):
        pool.failed('bad', job, job, 0.0)
        pool.failed('next', job, job, 0.0)
    assert pool.state('next') is _State.QUARANTINED
    # Then failures on bad workers stop a job too, but later
    reason = quarantine.AttemptLimit(total=8).reason_to_stop
    assert reason(['bad', 'next'] * 3, pool.state) is None
    assert reason(['bad', 'next'] * 4, pool.state) == 'failed 8 times'


def test_no_more_than_a_share_of_the_pool_is_restricted() -> None:
    """A fault of the whole domain must leave workers to try."""
    pool = quarantine.Quarantine(24)
    for job in range(100):
        pool.failed(job % 12, job, job, 0.0)
    restricted = [w for w in range(24) if pool.state(w) is not _State.HEALTHY]
    assert restricted == [0, 1, 2, 3, 4, 5]
    # Then a smaller pool releases, and the next suspect gets a free place
    released = pool.resize(16, 1.0)
    assert [item.worker_id for item in released] == [0, 1]
    pool.forget(5)
    assert [item.worker_id for item in pool.tick(2.0)] == [6]


def test_probation_releases_or_returns_for_twice_as_long() -> None:
    """A repaired worker must come back; a bad one must not flap."""
    pool = quarantine.Quarantine(24)

    def fail(count, now):
        return [
            item.state
            for job in range(count)
            for item in pool.failed('w', f'{now}-{job}', job, now)
        ]

    first = quarantine.FIRST_QUARANTINE_SECONDS
    assert fail(3, 0.0) == [_State.QUARANTINED]
    assert not pool.tick(first - 1)
    assert pool.tick(first)[0].state is _State.PROBATION
    assert fail(2, first) == [_State.QUARANTINED]
    assert not pool.tick(3 * first - 1)
    assert pool.tick(3 * first)[0].state is _State.PROBATION
    assert not pool.succeeded('w', 'x', 1000.0)
    assert not pool.succeeded('w', 'x', 1000.0)
    assert pool.succeeded('w', 'y', 1000.0)[0].state is _State.HEALTHY


def test_evidence_is_bounded() -> None:
    """Job ids arrive for ever; memory must not grow with them."""
    kept = evidence.Evidence()
    for job in range(3 * evidence.MAX_JOBS):
        kept.add_failure(job % 7, job, 'team', bool)
        kept.add_failure(job, 'everywhere', 'team', bool)
    assert len(kept._job_by_id) == evidence.MAX_JOBS
    failures = kept._failures_by_worker
    assert max(map(len, failures.values())) <= evidence.MAX_FAILURES_PER_WORKER
    assert kept.count(3, lambda worker: True) <= 2
