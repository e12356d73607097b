"""Steps that must run again on workers on which they have failed."""
from __future__ import annotations

import typing

import curio
import logbook
import pytest

from nutmegworks.fleet import membership
from nutmegworks.model import ids
from nutmegworks.policy import worker_health
from nutmegworks.tasks import records
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests.fleet import simulation
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


def _fail_runs(
    fleet: memory.MemoryWorkers,
    job_ids: typing.Container[ids.JobId],
) -> None:
    for worker_id, running in list(fleet.running_by_id.items()):
        for task, run in list(running):
            if task.job_id in job_ids:
                fleet.end(worker_id, task, run, workers.EndKind.FAILED)


def test_step_runs_again_while_the_alternative_is_busy() -> None:
    """Guards against a job that waits beside a free worker for a busy one.

    The platform allows 3 s without a run while much of the service is free.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        _put_workers(store, 'special')
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet):
            builders.put_worker(
                store, 'w5', labels=['special', 'other', 'r1-1']
            )
            filler = builders.step(
                gpu=8, requirements='other', estimatedMs=60_000
            )
            builders.put_job(store, 'ff', builders.accepted(filler))
            await builders.wait_until(lambda: len(fleet.starts) == 1)
            step = builders.step(requirements='special')
            builders.put_job(store, JOB, builders.accepted(step, attempts=4))
            await builders.wait_until(lambda: len(fleet.starts) == 2)
            with logbook.TestHandler() as log:
                _fail_runs(fleet, {JOB})
                await builders.wait_until(
                    lambda: len(fleet.starts) == 3, seconds=3.0
                )
            assert fleet.starts[-1][0] == SPECIAL
            # On-call must see what the job waited for, without a line a round.
            lines = [
                record.kwargs
                for record in log.records
                if record.message == 'workers avoided'
            ]
            assert lines
            assert lines[0]['workers'] == [SPECIAL]
            assert len(lines) <= 3

    helpers.run(main)


def test_jobs_that_always_fail_do_not_close_their_worker() -> None:
    """Guards against a suspension that keeps work from its only worker.

    Failures of one moment are one suspension, and each job may have nothing
    running for 3 s.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        _put_workers(store, 'special')
        fleet = memory.MemoryWorkers()
        failing = {ids.JobId(f'{number:016x}') for number in range(4)}
        async with builders.running_term(store, fleet) as term:
            record = builders.accepted(
                builders.step(requirements='special'), attempts=2
            )
            for job_id in failing:
                builders.put_job(store, job_id, record)
            await builders.wait_until(lambda: len(fleet.starts) == 4)
            _fail_runs(fleet, failing)

            def all_have_failed() -> bool:
                _fail_runs(fleet, failing)
                return all(
                    term.state.public_state(job_id) is records.JobState.FAILED
                    for job_id in failing
                )

            await builders.wait_until(all_have_failed, seconds=3.5)
            builders.put_job(store, JOB, record)
            await builders.wait_until(
                lambda: fleet.starts[-1][1].task.job_id == JOB, seconds=3.0
            )

    helpers.run(main)


def test_worker_held_by_a_task_that_lasts_is_no_alternative() -> None:
    """Guards against urgent work that waits for room that never comes.

    It can't preempt the task, which is as urgent, and half of the service is
    in use, so that no time limit of the platform ends the wait.
    """

    async def main() -> None:
        run = simulation.Simulation(
            [
                simulation.HostSpec('w0'),
                simulation.HostSpec('w1', faulty_until=2.0),
            ]
        )
        for job_id, lasts in (('a0', True), ('a1', False)):
            fields = {'gpu': 8, 'longRunning': lasts}
            run.submit(simulation.JobSpec(job_id, run.now, 0, 30.0, fields))
            await run.advance()
        await run.advance()
        assert not run.runs_of(ids.JobId('a1'))
        while run.now < 5.0:
            await run.advance()
        assert len(run.runs_of(ids.JobId('a1'))) == 1

    helpers.run(main)


def test_worker_on_probation_gets_one_run_in_a_round() -> None:
    """Guards against a faulty worker that collects jobs after its pause."""

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, 'w1')
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.state.workers_by_id)
            now = membership.steady_clock()
            health = term.state.worker_health
            for job_id in ('b1', 'b2'):
                health.record_failure(
                    SPECIAL,
                    ids.JobId(job_id),
                    now - worker_health.FIRST_SUSPENSION_SECONDS,
                )
            for number in range(4):
                builders.put_job(store, f'{number:016x}', builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            await curio.sleep(1.0)
            assert len(fleet.starts) == 1

    helpers.run(main)


def test_jobs_that_fail_everywhere_suspend_few_workers() -> None:
    """Guards against sound workers that are kept from other work.

    A task that has failed on two other workers is at fault itself.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        for number in range(1, 7):
            builders.put_worker(store, f'w{number}')
        fleet = memory.MemoryWorkers()
        failing = {ids.JobId('f1'), ids.JobId('f2')}
        async with builders.running_term(store, fleet) as term:
            for job_id in failing:
                builders.put_job(store, job_id, builders.accepted(attempts=4))

            def all_have_failed() -> bool:
                _fail_runs(fleet, failing)
                return all(
                    term.state.public_state(job_id) is records.JobState.FAILED
                    for job_id in failing
                )

            await builders.wait_until(all_have_failed, seconds=9.0)
            health = term.state.worker_health
            now = membership.steady_clock()
            suspended = [
                worker_id for worker_id in term.state.workers_by_id
                if health.status(worker_id, now)
                is not worker_health.Health.HEALTHY
            ]
            assert len(suspended) <= worker_health.MAX_BLAMED_WORKERS

    helpers.run(main)
