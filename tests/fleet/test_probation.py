"""Workers on probation that hold tasks that last."""
from __future__ import annotations

import curio

from nutmegworks.fleet import leader
from nutmegworks.fleet import membership
from nutmegworks.fleet import table
from nutmegworks.model import ids
from nutmegworks.policy import idle_limit
from nutmegworks.policy import worker_health
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

LASTING = ids.JobId('00000000000000aa')
WORKER = ids.WorkerId('w1')


def _is_running(term: leader.Term, job_id: str) -> bool:
    job = term.state.jobs_by_id.get(ids.JobId(job_id))
    return job is not None and any(
        run.phase is table.RunPhase.RUNNING
        for run in job.runs_by_task.values()
    )


def _put_lasting(store: memory.MemoryStore, job_id: str) -> None:
    builders.put_job(
        store, job_id, builders.accepted(builders.step(longRunning=True))
    )


async def _suspend(term: leader.Term) -> None:
    """Suspend the worker with the task that lasts; wait for its probation."""
    await builders.wait_until(lambda: _is_running(term, LASTING))
    health = term.state.worker_health
    failed_at = (
        membership.steady_clock() - worker_health.FIRST_SUSPENSION_SECONDS +
        0.1
    )
    for job_id in ('b1', 'b2'):
        health.record_failure(WORKER, ids.JobId(job_id), failed_at)
    await builders.wait_until(
        lambda: health.status(WORKER, membership.steady_clock()) is
        worker_health.Health.PROBATION
    )


def test_worker_with_a_lasting_task_gets_a_run_on_probation() -> None:
    """Guards against a worker that never gets work again.

    The run is its probe, before the job may turn to any worker.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, WORKER)
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet) as term:
            _put_lasting(store, LASTING)
            await _suspend(term)
            builders.put_job(store, 'c1', builders.accepted())
            await builders.wait_until(
                lambda: _is_running(term, 'c1'),
                seconds=idle_limit.MAX_IDLE_SECONDS / 2,
            )
            # Its outcome is awaited before another run starts.
            builders.put_job(store, 'c2', builders.accepted())
            await curio.sleep(0.5)
            assert not _is_running(term, 'c2')

    helpers.run(main)


def test_lasting_task_that_stays_ends_the_probation() -> None:
    """Guards against a trial without an end: its task lasts, too."""

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, WORKER)
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet) as term:
            _put_lasting(store, LASTING)
            await _suspend(term)
            _put_lasting(store, 'c1')
            await builders.wait_until(lambda: _is_running(term, 'c1'))
            builders.put_job(store, 'c2', builders.accepted())
            await builders.wait_until(
                lambda: _is_running(term, 'c2') and term.state.worker_health.
                status(WORKER, membership.steady_clock()
                       ) is worker_health.Health.HEALTHY,
                seconds=8.0,
            )

    helpers.run(main)
