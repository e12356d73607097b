"""Counts of jobs of which no task has started."""
from __future__ import annotations

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
