"""Tasks under which workers crash, again and again."""
from __future__ import annotations

import dataclasses
import typing

import curio
import pytest

from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.policy import crash_limit
from nutmegworks.tasks import records
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

JOB = ids.JobId('00000000000000aa')
# The platform's bound: after three crashes a task is not started three times
# more.
MAX_STARTS: typing.Final = 3 + 2


@pytest.fixture(autouse=True)
def short_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    builders.shorten_leases(monkeypatch)


class _CrashingWorkers(memory.MemoryWorkers):
    """Workers that crash as soon as they have confirmed a start.

    After a crash another worker serves at the address, under a new id.

    :ivar crashes: False if started runs go on.
    """

    def __init__(self, store: memory.MemoryStore) -> None:
        super().__init__()
        self.crashes = True
        self._store = store
        self._workers = 0
        self.add_worker()

    def add_worker(self) -> None:
        self._workers += 1
        builders.put_worker(self._store, f'w{self._workers}')

    def crash(self, worker_id: ids.WorkerId) -> None:
        """End a worker; another one serves at its address."""
        self.replaced.add(worker_id)
        self.running_by_id.pop(worker_id, None)
        self._store.remove(f'servers/{worker_id}')
        self.add_worker()

    async def start(
        self,
        worker: workers.WorkerEntry,
        request: workers.StartRequest,
        *,
        fresh: bool = False,
    ) -> workers.StartOutcome:
        if worker.worker_id in self.replaced:
            return workers.StartOutcome.WRONG_WORKER
        outcome = await super().start(worker, request, fresh=fresh)
        if self.crashes:
            self.crash(worker.worker_id)
        return outcome


class _MovingWorkers(_CrashingWorkers):
    """Workers that are replaced at other addresses."""

    def add_worker(self) -> None:
        self._workers += 1
        builders.put_worker(
            self._store,
            f'w{self._workers}',
            address=f'10.0.0.{self._workers}:80',
        )


class _RestartingWorkers(_CrashingWorkers):
    """Workers that start again under their id and address after a crash."""

    def crash(self, worker_id: ids.WorkerId) -> None:
        self._workers += 1
        self.running_by_id.pop(worker_id, None)
        builders.put_worker(self._store, worker_id, born=self._workers)

    async def renew(self, worker, token, acknowledged, *, lease_until, wait):
        answer = await super().renew(
            worker, token, acknowledged, lease_until=lease_until, wait=wait
        )
        # The report may arrive before the leader sees the new entry.
        born = workers.WorkerIncarnation(self._workers)
        return answer.map(
            lambda report: dataclasses.replace(report, incarnation=born)
        )


def _put_job(store: memory.MemoryStore) -> None:
    builders.put_job(store, JOB, builders.accepted(attempts=4))


def _state(store: memory.MemoryStore) -> records.JobState | None:
    progress = builders.progress(store, JOB)
    return None if progress is None else progress.state


async def _wait_until_failed(store: memory.MemoryStore) -> None:
    await builders.wait_until(
        lambda: _state(store) is records.JobState.FAILED, seconds=20.0
    )


def test_task_that_crashes_each_worker_is_given_up() -> None:
    """Guards against a task that is started until all workers have crashed.

    Each crash loses the runs of other jobs on the worker, too.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = _CrashingWorkers(store)
        _put_job(store)
        async with builders.running_term(store, fleet):
            await _wait_until_failed(store)
            await curio.sleep(0.5)
        assert len(fleet.starts) <= MAX_STARTS

    helpers.run(main)


def test_crashes_under_former_leaders_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that crashes workers anew for each leader.

    The workers crash at the moment at which the leader that ordered the start
    is lost.
    """
    monkeypatch.setattr(fleet_worker, 'PRIOR_LEADER_LEASE_SECONDS', 0.2)

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = _CrashingWorkers(store)
        _put_job(store)
        for number in range(2 * MAX_STARTS):
            starts = len(fleet.starts)
            async with builders.running_term(store, fleet, f'host-{number}'):
                await builders.wait_until(
                    lambda: len(fleet.starts) > starts or _state(store) is
                    records.JobState.FAILED,
                    seconds=20.0,
                )
            store.remove(records.LEADER_KEY)
        assert len(fleet.starts) <= MAX_STARTS

    helpers.run(main)


def test_task_goes_on_after_two_crashes() -> None:
    """Guards against a sound task that is given up with its workers."""

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = _CrashingWorkers(store)
        _put_job(store)
        async with builders.running_term(store, fleet):
            await builders.wait_until(lambda: len(fleet.starts) == 2, 20.0)
            fleet.crashes = False
            await builders.wait_until(lambda: len(fleet.starts) == 3, 20.0)
            builders.end_all_runs(fleet, workers.EndKind.DONE)
            await builders.wait_until(
                lambda: _state(store) is records.JobState.SUCCEEDED
            )

    helpers.run(main)


def test_runs_at_work_on_a_crashed_worker_are_not_to_blame() -> None:
    """Guards against jobs that fail because others crash their workers."""

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = _CrashingWorkers(store)
        fleet.crashes = False
        _put_job(store)
        async with builders.running_term(store, fleet) as term:
            for number in range(crash_limit.MAX_CRASHES_AT_START):
                await builders.wait_until(
                    lambda: any(
                        run.reported
                        for job in term.state.jobs_by_id.values()
                        for run in job.runs_by_task.values()
                    ), 20.0
                )
                fleet.crash(ids.WorkerId(f'w{number + 1}'))
                await builders.wait_until(
                    lambda: len(fleet.starts) == number + 2, 20.0
                )
            assert _state(store) is records.JobState.ACTIVE

    helpers.run(main)


def test_worker_that_restarts_under_its_id_counts_as_crashed() -> None:
    """Guards against crashes that are seen only as a later start."""

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = _RestartingWorkers(store)
        _put_job(store)
        async with builders.running_term(store, fleet):
            await _wait_until_failed(store)
        assert len(fleet.starts) <= MAX_STARTS

    helpers.run(main)


def test_lasting_task_is_restarted_on_a_worker_that_goes_down_and_up() -> None:
    """Guards against a lasting job shown as failed without an end `failed`.

    The worker crashes by itself, shortly after each start.
    """

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = _RestartingWorkers(store)
        lasting = builders.step(longRunning=True)
        builders.put_job(store, JOB, builders.accepted(lasting))
        async with builders.running_term(store, fleet):
            await builders.wait_until(
                lambda: len(fleet.starts) > MAX_STARTS, seconds=40.0
            )
            assert _state(store) is records.JobState.ACTIVE

    helpers.run(main)


def test_lasting_task_that_crashes_each_worker_is_given_up() -> None:
    """Guards against a lasting task that crashes the whole fleet."""

    async def main() -> None:
        store = memory.MemoryStore()
        fleet = _MovingWorkers(store)
        lasting = builders.step(longRunning=True)
        builders.put_job(store, JOB, builders.accepted(lasting))
        async with builders.running_term(store, fleet):
            await _wait_until_failed(store)
        assert len(fleet.starts) <= MAX_STARTS

    helpers.run(main)
