"""Tasks without an end beside gangs, lesser work and urgent work."""
from __future__ import annotations

import math

import curio

from nutmegworks.fleet import leader
from nutmegworks.fleet import membership
from nutmegworks.fleet import table
from nutmegworks.model import ids
from nutmegworks.policy import task_planning
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

WORKERS = 2
URGENT = ids.JobId('b1')


def _running(term: leader.Term, job_id: str) -> int:
    """Return how many runs of a job their workers have reported."""
    job = term.state.jobs_by_id.get(ids.JobId(job_id))
    if job is None:
        return 0
    return sum(
        run.reported and run.phase is table.RunPhase.RUNNING
        for run in job.runs_by_task.values()
    )


async def _start_lasting(
    store: memory.MemoryStore,
    term: leader.Term,
    count: int,
) -> None:
    step = builders.step(
        count, longRunning=True, antiAffinity=count // WORKERS
    )
    builders.put_job(store, 'a1', builders.accepted(step))
    await builders.wait_until(lambda: _running(term, 'a1') == count)


def test_task_that_lasts_has_no_expected_end() -> None:
    """Guards against a wait for its release, which never comes."""

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = memory.MemoryWorkers()
        fleet.percent = 100
        for number in range(WORKERS):
            builders.put_worker(store, f'w{number}')
        async with builders.running_term(store, fleet) as term:
            await _start_lasting(store, term, WORKERS)
            job = term.state.jobs_by_id[ids.JobId('a1')]
            now = membership.steady_clock()
            assert {run.remaining(now)
                    for run in job.runs_by_task.values()} == {math.inf}

    helpers.run(main)


def test_lesser_work_starts_beside_a_gang_without_room() -> None:
    """Guards against workers that are reserved for a gang for ever.

    The gang has no room while the tasks that last are there.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = memory.MemoryWorkers()
        fleet.percent = 100
        for number in range(WORKERS):
            builders.put_worker(store, f'w{number}')
        async with builders.running_term(store, fleet) as term:
            await _start_lasting(store, term, WORKERS)
            gang = builders.step(WORKERS, gpu=8, gang=True)
            builders.put_job(store, 'a2', builders.accepted(gang))
            await builders.wait_until(
                lambda: ids.JobId('a2') in term.state.jobs_by_id
            )
            await curio.sleep(0.1)
            builders.put_job(store, 'a3', builders.accepted(priority=2))
            await builders.wait_until(lambda: _running(term, 'a3'))
            assert _running(term, 'a2') == 0

    helpers.run(main)


def test_lesser_work_starts_beside_a_gang_that_waits_for_true_releases(
) -> None:
    """Guards against a job that counts as lost while a gang waits rightly.

    Each worker runs a task of 40 s, and most of their room is free.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = memory.MemoryWorkers()
        for number in range(WORKERS):
            builders.put_worker(store, f'w{number}')
        async with builders.running_term(store, fleet) as term:
            step = builders.step(WORKERS, antiAffinity=1, estimatedMs=40_000)
            builders.put_job(store, 'a1', builders.accepted(step))
            await builders.wait_until(lambda: _running(term, 'a1') == WORKERS)
            gang = builders.step(WORKERS, gpu=8, gang=True, estimatedMs=6800)
            builders.put_job(store, 'a2', builders.accepted(gang))
            await builders.wait_until(
                lambda: ids.JobId('a2') in term.state.jobs_by_id
            )
            await curio.sleep(0.1)
            small = builders.step(estimatedMs=60_000)
            builders.put_job(store, 'a3', builders.accepted(small, priority=2))
            await builders.wait_until(
                lambda: _running(term, 'a3'), seconds=3.0
            )
            assert _running(term, 'a2') == 0

    helpers.run(main)


def test_urgent_work_reclaims_from_tasks_that_last() -> None:
    """Guards against a wait for a release that never comes.

    The job needs all accelerators of one worker.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = memory.MemoryWorkers()
        fleet.percent = 100
        for number in range(WORKERS):
            builders.put_worker(store, f'w{number}')
        async with builders.running_term(store, fleet) as term:
            await _start_lasting(store, term, 8 * WORKERS)
            urgent = builders.accepted(builders.step(gpu=8), priority=0)
            builders.put_job(store, URGENT, urgent)
            await builders.wait_until(
                lambda: _running(term, URGENT), seconds=2.7
            )
            assert _running(term, 'a1') == 8

    helpers.run(main)


async def _start_overdue(
    store: memory.MemoryStore,
    term: leader.Term,
) -> None:
    """Start a task on a whole worker that is overdue at once.

    At 100 percent it does not count as stalled.
    """
    step = builders.step(gpu=8, estimatedMs=50)
    builders.put_job(store, 'a1', builders.accepted(step))
    await builders.wait_until(lambda: _running(term, 'a1'))


def test_lesser_work_starts_while_a_gang_waits_for_an_overdue_run() -> None:
    """Guards against a reservation that moves on with each round.

    The run was declared too short; the gang starts when all has ended.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = memory.MemoryWorkers()
        fleet.percent = 100
        for number in range(WORKERS):
            builders.put_worker(store, f'w{number}')
        async with builders.running_term(store, fleet) as term:
            await _start_overdue(store, term)
            gang = builders.step(WORKERS, gpu=8, gang=True)
            builders.put_job(store, 'a2', builders.accepted(gang))
            await builders.wait_until(
                lambda: ids.JobId('a2') in term.state.jobs_by_id
            )
            await curio.sleep(0.1)
            builders.put_job(store, 'a3', builders.accepted(priority=2))
            await builders.wait_until(
                lambda: _running(term, 'a3'), seconds=6.0
            )
            assert _running(term, 'a2') == 0
            builders.end_all_runs(fleet, workers.EndKind.DONE)
            await builders.wait_until(lambda: _running(term, 'a2') == WORKERS)

    helpers.run(main)


def test_urgent_work_reclaims_from_an_overdue_run() -> None:
    """Guards against a wait for a release that is always 0.1 s ahead."""

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = memory.MemoryWorkers()
        fleet.percent = 100
        builders.put_worker(store, 'w0')
        async with builders.running_term(store, fleet) as term:
            await _start_overdue(store, term)
            urgent = builders.accepted(builders.step(gpu=8), priority=0)
            builders.put_job(store, URGENT, urgent)
            await builders.wait_until(
                lambda: _running(term, URGENT),
                seconds=task_planning.Bounds().reclaim,
            )

    helpers.run(main)
