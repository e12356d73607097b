from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from nutmegworks.policy import order

_SECONDS = strategies.floats(0, 1e6)
_JOBS = strategies.builds(
    order.QueuedJob,
    job_id=strategies.text('ab', min_size=1, max_size=3),
    accepted_at=_SECONDS,
    target=strategies.floats(1, 1e5),
    remaining=strategies.none() | strategies.floats(-1e9, 1e12),
    attained_service=strategies.floats(0, 1e12),
)
_BELOW_SHARE = order.ClassUse(0.5, 0.1)
_OVER_SHARE = order.ClassUse(0.5, 0.5)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_JOBS, _JOBS)
def test_no_job_overtakes_after_the_overtaking_deadline(old, new) -> None:
    """A job with an extreme estimate must not starve another job."""
    hypothesis.assume(new.accepted_at > order.overtaking_deadline(old))
    queue_order = order.LeastSlack()
    assert (
        queue_order.sort_key(old, _BELOW_SHARE)
        < queue_order.sort_key(new, _BELOW_SHARE)
    )


@pytest.mark.parametrize('class_runs_until', [0, 1000])
def test_a_flood_cannot_starve_a_class_without_share(class_runs_until) -> None:
    """Urgent jobs that arrive faster than they run must not starve others."""
    # Given a class of share 0 with one job, and an endless flood of jobs
    waiting_job = order.QueuedJob('victim', accepted_at=0.0, target=600.0)
    queue = []
    flood_use = order.ClassUse(0.9, 0.5)
    queue_order = order.LeastSlack()
    # When one job a second starts and two arrive with wrong estimates
    for now in range(3 * 2400):
        for index in range(2):
            late = order.QueuedJob(f'{now}-{index}', now, 10.0, 1e9)
            queue.append((late, flood_use))
        queue.sort(key=lambda pair: queue_order.sort_key(*pair))
        used = 0.3 if now < class_runs_until else 0.0
        own = (waiting_job, order.ClassUse(0.0, used))
        if queue_order.sort_key(*own) < queue_order.sort_key(*queue.pop(0)):
            break
    # Then only jobs accepted up to its latest start go first; two a second
    # arrive and one a second starts
    assert now <= 2 * order.latest_start(waiting_job)


def test_share_target_and_attained_service_decide() -> None:
    """Share, latest start and attained service must each affect the order."""
    urgent = order.QueuedJob('urgent', 50.0, 30.0, remaining=10.0)
    slow = order.QueuedJob('slow', 0.0, 3600.0, remaining=600.0)
    begun = order.QueuedJob('begun', 0.0, 3600.0, attained_service=64 * 3600.0)
    fresh = order.QueuedJob('fresh', 900.0, 3600.0)
    jobs = [begun, fresh, slow, urgent]
    queue_order = order.LeastSlack()

    def ranked_ids(over=()):
        uses = {
            job: _OVER_SHARE if job.job_id in over else _BELOW_SHARE
            for job in jobs
        }
        ranked = sorted(
            jobs, key=lambda job: queue_order.sort_key(job, uses[job])
        )
        return [job.job_id for job in ranked]

    assert ranked_ids() == ['urgent', 'slow', 'fresh', 'begun']
    assert ranked_ids(over=['urgent']) == ['slow', 'fresh', 'begun', 'urgent']
    fcfs = order.FirstComeFirstServed()
    assert min(jobs, key=lambda job: fcfs.sort_key(job, _BELOW_SHARE)) is begun
