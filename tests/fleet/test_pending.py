"""Counts of jobs of which no task has started."""
from __future__ import annotations

import time

import curio
import pytest

from nutmegworks.fleet import leader
from nutmegworks.model import ids
from nutmegworks.tasks import records
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

JOB = ids.JobId('00000000000000aa')


class _UnhealthyWorkers(memory.MemoryWorkers):
    """Workers that reject starts until the test lets them accept.

    :ivar healthy: whether starts are accepted.
    :ivar rejected: number of rejected starts.
    """

    def __init__(self) -> None:
        super().__init__()
        self.healthy = False
        self.rejected = 0

    async def start(
        self,
        worker: workers.WorkerEntry,
        request: workers.StartRequest,
        *,
        fresh: bool = False,
    ) -> workers.StartOutcome:
        if not self.healthy:
            self.rejected += 1
            return workers.StartOutcome.UNHEALTHY
        return await super().start(worker, request, fresh=fresh)


def _count(term: leader.Term) -> int | None:
    """Return what a term answers, None if it can not count yet."""
    return term.count_pending('q1') if term.loaded else None


def _stored_state(store: memory.MemoryStore) -> records.JobState | None:
    progress = builders.progress(store, JOB)
    return None if progress is None else progress.state


def test_job_whose_starts_are_rejected_is_pending() -> None:
    """Guards against a count of jobs as begun that wait for a worker."""

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, 'w1')
        fleet = _UnhealthyWorkers()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.rejected >= 2)
            assert term.state.pending('q1') == 1
            fleet.healthy = True
            await builders.wait_until(lambda: term.state.pending('q1') == 0)
            # A job that has begun does not become pending again.
            builders.end_all_runs(fleet, workers.EndKind.STOPPED)
            await builders.wait_until(lambda: len(fleet.starts) == 2)
            assert term.state.pending('q1') == 0
            await builders.finish(fleet, term, JOB)
            assert term.state.pending('q1') == 0

    helpers.run(main)


def test_next_leader_counts_the_job_as_pending() -> None:
    """Guards against a count that a change of leader makes wrong."""

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, 'w1')
        fleet = _UnhealthyWorkers()
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(
                lambda: fleet.rejected and _stored_state(store) is records.
                JobState.QUEUED
            )
        store.remove(records.LEADER_KEY)
        async with builders.running_term(store, fleet, 'host-2') as term:
            await builders.wait_until(lambda: JOB in term.state.jobs_by_id)
            assert term.state.pending('q1') == 1

    helpers.run(main)


@pytest.mark.parametrize('reached', [True, False])
def test_next_leader_counts_a_job_whose_start_was_stored_only(
    reached: bool
) -> None:
    """Guards against a job counted as begun that no worker has received.

    The leader ends between the record of a start and its request. The next
    one can't start the job: its worker drains, or does not answer.
    """

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        worker_id = ids.WorkerId('w1')
        builders.put_worker(store, 'w1')
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: fleet.token_by_id)
            fleet.unreachable.add(worker_id)
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(
                lambda: _stored_state(store) is records.JobState.ACTIVE
            )
            assert _count(term) == 1
        assert not fleet.starts
        store.remove(records.LEADER_KEY)
        if reached:
            fleet.unreachable.clear()
            builders.put_worker(store, 'w1', state='draining')
        async with builders.running_term(store, fleet, 'host-2') as term:
            answers = await _answers(term, leader.FIRST_REPORTS_SECONDS + 0.5)
            assert answers == {None, 1}

    helpers.run(main)


async def _answers(term: leader.Term, seconds: float) -> set[int | None]:
    """Return all answers of a term in a period."""
    answers = set()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        answers.add(_count(term))
        await curio.sleep(0.002)
    return answers


def test_next_leader_does_not_count_a_job_that_runs() -> None:
    """Guards against running jobs that are pending until workers report."""

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        builders.put_worker(store, 'w1')
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: _count(term) == 0)
        assert len(fleet.starts) == 1
        store.remove(records.LEADER_KEY)
        fleet.unreachable.add(ids.WorkerId('w1'))
        async with builders.running_term(store, fleet, 'host-2') as term:
            assert await _answers(term, 0.3) == {None}
            fleet.unreachable.clear()
            answers = await _answers(term, leader.FIRST_REPORTS_SECONDS)
            assert answers == {None, 0}
        assert len(fleet.starts) == 1

    helpers.run(main)


def test_job_of_an_earlier_version_has_begun_once_it_is_active() -> None:
    """Guards against running jobs that are pending after an update."""

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        builders.put_job(store, JOB, builders.accepted())
        store.put(records.progress_key(JOB), b'{"state":"active"}')
        async with builders.running_term(store, fleet) as term:
            assert await _answers(term, 0.3) == {None, 0}

    helpers.run(main)
