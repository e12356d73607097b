"""Scheduler: resources of preempted runs are reserved for urgent jobs."""
from __future__ import annotations

import curio
import pytest

from nutmegworks.fleet import table
from nutmegworks.model import ids
from nutmegworks.policy import task_planning
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

URGENT = ids.JobId('b2')


def test_reservations_are_passed_to_the_next_round(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against another job that takes the resources of a victim.

    More runs would be stopped for the urgent job.
    """
    passed: list[task_planning.Reservations] = []
    plan = task_planning.plan

    def record(waiting, workers, running, reservations, bounds, pauses):
        passed.append(dict(reservations))
        return plan(waiting, workers, running, reservations, bounds, pauses)

    monkeypatch.setattr(task_planning, 'plan', record)

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, 'w1')
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(
                store, 'a1', builders.accepted(builders.step(gpu=8))
            )
            jobs_by_id = term.state.jobs_by_id
            await builders.wait_until(
                lambda: any(
                    run.phase is table.RunPhase.RUNNING for job in jobs_by_id.
                    values() for run in job.runs_by_task.values()
                )
            )
            # The worker does not report the victim's end.
            fleet.unreachable.add(ids.WorkerId('w1'))
            builders.put_job(
                store,
                URGENT,
                builders.accepted(builders.step(gpu=8), priority=0),
            )
            await builders.wait_until(
                lambda: any(
                    key[0] == URGENT for reservations in passed for key in
                    reservations
                )
            )
            await curio.sleep(0)

    helpers.run(main)


def test_nothing_starts_beyond_a_capacity_that_shrank() -> None:
    """Guards against a worker that gets more than it can hold.

    Its capacity shrinks while it runs a task, and grows again later.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, 'w1')
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(
                store, 'a1', builders.accepted(builders.step(gpu=4))
            )
            await builders.wait_until(lambda: fleet.starts)
            builders.put_worker(
                store,
                'w1',
                capacity={
                    'cpu': 128000,
                    'memMb': 512000,
                    'gpu': 4
                },
            )
            worker = term.state.workers_by_id[ids.WorkerId('w1')]
            await builders.wait_until(
                lambda: worker.entry.resources.accelerators == 4
            )
            builders.put_job(store, URGENT, builders.accepted())
            await curio.sleep(0.5)
            assert len(fleet.starts) == 1
            builders.put_worker(store, 'w1')
            await builders.wait_until(lambda: len(fleet.starts) == 2)

    helpers.run(main)
