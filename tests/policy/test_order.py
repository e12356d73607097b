from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from nutmegworks.policy import order

_SECONDS = strategies.floats(0, 1e6)
_JOBS = strategies.builds(
    order.QueuedJob,
    job_id=strategies.text('ab', min_size=1, max_size=3),
    accepted=_SECONDS,
    target=strategies.floats(1, 1e5),
    remaining=strategies.none() | strategies.floats(-1e9, 1e12),
    attained=strategies.floats(0, 1e12),
)
_BELOW = order.ClassUse(0.5, 0.1)
_OVER = order.ClassUse(0.5, 0.5)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_JOBS, _JOBS)
def test_no_job_overtakes_after_the_bound(old, new) -> None:
    """An absurd estimate must not make another job wait for ever."""
    hypothesis.assume(new.accepted > order.bound(old))
    chosen = order.LeastSlack()
    assert chosen.sort_key(old, _BELOW) < chosen.sort_key(new, _BELOW)


@pytest.mark.parametrize('class_runs_until', [0, 1000])
def test_a_flood_cannot_starve_a_class_without_share(class_runs_until) -> None:
    """Urgent work that arrives faster than it runs must not starve others."""
    # Given a class of share 0 with one job, and a flood that never ends
    victim = order.QueuedJob('victim', accepted=0.0, target=600.0)
    queue = []
    flood = order.ClassUse(0.9, 0.5)
    chosen = order.LeastSlack()
    # When one job a second starts and two arrive with false estimates
    for now in range(3 * 2400):
        for index in range(2):
            late = order.QueuedJob(f'{now}-{index}', now, 10.0, 1e9)
            queue.append((late, flood))
        queue.sort(key=lambda pair: chosen.sort_key(*pair))
        used = 0.3 if now < class_runs_until else 0.0
        own = (victim, order.ClassUse(0.0, used))
        if chosen.sort_key(*own) < chosen.sort_key(*queue.pop(0)):
            break
    # Then only jobs accepted before the bound of the victim went first
    assert now <= 2 * order.latest_start(victim)


def test_share_target_and_attained_service_decide() -> None:
    """Each stated rule must have its effect."""
    urgent = order.QueuedJob('urgent', 50.0, 30.0, remaining=10.0)
    slow = order.QueuedJob('slow', 0.0, 3600.0, remaining=600.0)
    begun = order.QueuedJob('begun', 0.0, 3600.0, attained=64 * 3600.0)
    fresh = order.QueuedJob('fresh', 900.0, 3600.0)
    jobs = [begun, fresh, slow, urgent]
    chosen = order.LeastSlack()

    def names(over=()):
        uses = {job: _OVER if job.job_id in over else _BELOW for job in jobs}
        ranked = sorted(jobs, key=lambda job: chosen.sort_key(job, uses[job]))
        return [job.job_id for job in ranked]

    assert names() == ['urgent', 'slow', 'fresh', 'begun']
    assert names(over=['urgent']) == ['slow', 'fresh', 'begun', 'urgent']
    fcfs = order.FirstComeFirstServed()
    assert min(jobs, key=lambda job: fcfs.sort_key(job, _BELOW)) is begun
