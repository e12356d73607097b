"""Load pattern: urgent work on a fleet that lower classes fill."""
from __future__ import annotations

import curio
import pytest

from nutmegworks.fleet import table
from nutmegworks.model import ids
from nutmegworks.policy import planning
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

URGENT = ids.JobId('b2')


def test_promised_room_reaches_the_next_round(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without it another job takes the room and more runs are stopped."""
    given: list[planning.Promises] = []
    plan = planning.plan

    def record(waiting, slots, running, promised=None):
        given.append(dict(promised or {}))
        return plan(waiting, slots, running, promised)

    monkeypatch.setattr(planning, 'plan', record)

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, 'w1')
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(
                store, 'a1', builders.accepted(builders.step(gpu=8))
            )
            job_by_id = term.state.jobs_by_id
            await builders.wait_until(
                lambda: any(
                    run.phase is table.RunPhase.RUNNING for job in job_by_id.
                    values() for run in job.runs_by_task.values()
                )
            )
            # The victim's end is listed late.
            fleet.unreachable.add(ids.WorkerId('w1'))
            builders.put_job(
                store,
                URGENT,
                builders.accepted(builders.step(gpu=8), priority=0),
            )
            await builders.wait_until(
                lambda: any(
                    key[0] == URGENT for promised in given for key in promised
                )
            )
            await curio.sleep(0)

    helpers.run(main)
