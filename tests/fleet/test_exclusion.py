"""Steps that must run again on workers on which they have failed."""
from __future__ import annotations

import curio
import pytest

from nutmegworks.model import ids
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

JOB = ids.JobId('00000000000000aa')
SPECIAL = ids.WorkerId('w1')


def _put_workers(store: memory.MemoryStore, special: str) -> None:
    """Add four workers, of which only the first has the label."""
    builders.put_worker(store, SPECIAL, labels=[special, 'r1-1'])
    for number in range(2, 5):
        builders.put_worker(store, f'w{number}')


@pytest.mark.parametrize('lasts', [False, True])
def test_step_runs_again_on_the_only_worker_with_its_label(
    lasts: bool
) -> None:
    """Guards against a job that waits for ever after one failed run."""

    async def main() -> None:
        store = memory.MemoryStore()
        _put_workers(store, 'special')
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet):
            builders.put_job(
                store,
                JOB,
                builders.accepted(
                    builders.step(requirements='special', longRunning=lasts),
                    attempts=4,
                ),
            )
            await builders.wait_until(lambda: len(fleet.starts) == 1)
            builders.end_all_runs(fleet, workers.EndKind.FAILED)
            await builders.wait_until(
                lambda: len(fleet.starts) == 2, seconds=6.0
            )
            assert {start[0] for start in fleet.starts} == {SPECIAL}

    helpers.run(main)


def test_job_leaves_a_worker_that_fails_everything() -> None:
    """Guards against a faulty worker that uses up a job's attempts."""

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, 'w1')
        builders.put_worker(store, 'w2')
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet) as term:
            for number in range(4):
                builders.put_job(
                    store,
                    f'{number:016x}',
                    builders.accepted(builders.step(gpu=4), attempts=2),
                )
            await builders.wait_until(lambda: len(fleet.starts) == 4)
            # w1 fails all that it starts; w2 is full until its runs end.
            for _ in range(100):
                for task, run in list(fleet.running_by_id.get('w1', {})):
                    fleet.end('w1', task, run, workers.EndKind.FAILED)
                await curio.sleep(0.01)
            for task, run in list(fleet.running_by_id['w2']):
                fleet.end('w2', task, run, workers.EndKind.DONE)
            await builders.wait_until(
                lambda: len(fleet.running_by_id['w2']) == 2
            )
            assert not any(
                job.final and job.progress.failures
                for job in term.state.jobs_by_id.values()
            )

    helpers.run(main)
