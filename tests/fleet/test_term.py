"""Terms of leadership, from accepted jobs to stored results."""
from __future__ import annotations

import curio
import pytest

from nutmegworks.fleet import leader
from nutmegworks.fleet import membership
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.tasks import records
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

JOB = ids.JobId('a1')
DONE = workers.EndKind.DONE
FAILED = workers.EndKind.FAILED


def _fleet(
    *worker_ids: str
) -> tuple[memory.MemoryStore, memory.MemoryWorkers]:
    store = memory.MemoryStore()
    for worker_id in worker_ids or ('w1', ):
        builders.put_worker(store, worker_id)
    return store, memory.MemoryWorkers()


def test_job_runs_once_and_its_result_is_stored() -> None:
    """Guards against tasks of a normal job that start twice."""

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted(builders.step(3)))
            await builders.wait_until(lambda: len(fleet.starts) == 3)
            builders.end_all_runs(fleet, DONE)
            await builders.wait_until(
                lambda: term.state.public_state(JOB) is records.JobState.
                SUCCEEDED
            )
            stored = builders.progress(store, JOB)
            assert stored is not None
            assert stored.state is records.JobState.SUCCEEDED
            await curio.sleep(0.1)
            assert len(fleet.starts) == 3

    helpers.run(main)


def test_start_is_stored_before_it_is_sent() -> None:
    """Guards against a run that a new leader does not know of."""

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            store.down = True
            builders.put_job(store, JOB, builders.accepted())
            term.state.add_job(
                JOB,
                builders.accepted(),
                term._decoder.submission(builders.accepted().body),
                None,
                1,
            )
            await term.state.notify()
            await curio.sleep(0.3)
            assert fleet.starts == []
            store.down = False
            await builders.wait_until(lambda: len(fleet.starts) == 1)

    helpers.run(main)


def test_end_of_a_run_is_stored_before_it_is_acknowledged() -> None:
    """Guards against a finished task that a new leader runs again.

    The worker drops an end from its reports once it is acknowledged.
    """

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            await builders.wait_until(lambda: builders.progress(store, JOB))
            store.down = True
            builders.end_all_runs(fleet, DONE)
            await curio.sleep(0.3)
            assert fleet.ended_by_id[ids.WorkerId('w1')]
            store.down = False
            await builders.wait_until(
                lambda: not fleet.ended_by_id[ids.WorkerId('w1')]
            )
            stored = builders.progress(store, JOB)
            assert stored is not None
            assert stored.state is records.JobState.SUCCEEDED

    helpers.run(main)


def test_new_leader_adopts_running_tasks() -> None:
    """Guards against a task that a new leader starts a second time."""

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
        async with builders.running_term(store, fleet, 'host-1') as term:
            await builders.wait_until(lambda: term.loaded)
            await curio.sleep(0.3)
            assert len(fleet.starts) == 1
            builders.end_all_runs(fleet, DONE)
            await builders.wait_until(
                lambda: term.state.public_state(JOB) is records.JobState.
                SUCCEEDED
            )

    helpers.run(main)


def test_new_leader_waits_for_the_lease_of_an_unreachable_worker() -> None:
    """Guards against a second run while the first may still be running.

    The task may run on the unreachable worker until its lease has expired.
    """

    async def main() -> None:
        store, fleet = _fleet('w1', 'w2')
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
        fleet.unreachable.add(fleet.starts[0][0])
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            await curio.sleep(0.8)
            assert len(fleet.starts) == 1

    helpers.run(main)


def test_start_request_that_never_arrived_is_repeated() -> None:
    """Guards against a task that waits forever for a run that never began.

    The old leader stored the start, but the worker does not report the run.
    """

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
        fleet.running_by_id.clear()
        async with builders.running_term(store, fleet):
            await builders.wait_until(lambda: len(fleet.starts) == 2)
            first, second = (request for _, request in fleet.starts)
            assert second.run > first.run
            assert second.token > first.token

    helpers.run(main)


def test_unanswered_start_is_not_repeated_on_another_worker() -> None:
    """Guards against a second run after a start whose answer was lost."""

    async def main() -> None:
        store, fleet = _fleet('w1', 'w2')
        fleet.lose_starts = 1
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: len(fleet.starts) >= 2)
            await curio.sleep(0.2)
            assert len({worker_id for worker_id, _ in fleet.starts}) == 1
            assert len({request.run for _, request in fleet.starts}) == 1
            builders.end_all_runs(fleet, DONE)
            await builders.wait_until(
                lambda: term.state.public_state(JOB) is records.JobState.
                SUCCEEDED
            )

    helpers.run(main)


def test_job_fails_after_exactly_its_attempts() -> None:
    """Guards against more or fewer attempts than the queue allows."""

    async def main() -> None:
        store, fleet = _fleet('w1', 'w2', 'w3')
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted(attempts=2))
            for attempt in (1, 2):
                await builders.wait_until(
                    lambda n=attempt: len(fleet.starts) == n
                )
                builders.end_all_runs(fleet, FAILED)
            await builders.wait_until(
                lambda: term.state.public_state(JOB) is records.JobState.FAILED
            )
            await curio.sleep(0.1)
            assert len(fleet.starts) == 2

    helpers.run(main)


def test_failure_that_is_reported_again_counts_once() -> None:
    """Guards against a failure that uses up two attempts.

    The worker reports it to each leader until it is acknowledged.
    """

    async def main() -> None:
        store, fleet = _fleet()
        worker_id = ids.WorkerId('w1')
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted(attempts=2))
            await builders.wait_until(lambda: fleet.starts)
            request = fleet.starts[0][1]
            builders.end_all_runs(fleet, FAILED)
            await builders.wait_until(
                lambda: builders.progress(store, JOB).failures
            )
            assert term.loaded
        repeated = workers.RunEnd(9, request.task, request.run, FAILED, '')
        fleet.ended_by_id[worker_id] = [repeated]
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: not fleet.ended_by_id[worker_id])
            assert term.state.jobs_by_id[JOB].progress.failures == {'0.0.0': 1}

    helpers.run(main)


def test_cancelled_job_is_stopped_and_not_restarted() -> None:
    """Guards against runs of a job after its cancellation was confirmed."""

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted(builders.step(2)))
            await builders.wait_until(lambda: len(fleet.starts) == 2)
            store.put(records.cancel_key(JOB), b'{}')
            await builders.wait_until(
                lambda: term.state.public_state(JOB) is records.JobState.
                CANCELLED
            )
            await builders.wait_until(
                lambda: not fleet.running_by_id[ids.WorkerId('w1')]
            )
            await curio.sleep(0.1)
            assert len(fleet.starts) == 2

    helpers.run(main)


def test_step_starts_after_its_dependencies() -> None:
    """Guards against a step that starts before its input exists."""

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet):
            builders.put_job(
                store,
                JOB,
                builders.accepted(
                    builders.step(2), builders.step(1, after=[0])
                ),
            )
            await builders.wait_until(lambda: len(fleet.starts) == 2)
            await curio.sleep(0.1)
            assert {request.task.step for _, request in fleet.starts} == {0}
            builders.end_all_runs(fleet, DONE)
            await builders.wait_until(lambda: len(fleet.starts) == 3)

    helpers.run(main)


def test_gang_is_restarted_as_a_whole() -> None:
    """Guards against a gang whose members belong to different runs.

    Such members would wait for each other forever.
    """

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet):
            builders.put_job(
                store, JOB, builders.accepted(builders.step(3, gang=True))
            )
            await builders.wait_until(lambda: len(fleet.starts) == 3)
            task = fleet.starts[0][1].task
            fleet.end(ids.WorkerId('w1'), task, workers.RunNumber(1), FAILED)
            builders.put_worker(store, 'w2')
            await builders.wait_until(lambda: len(fleet.starts) == 6)
            runs = [request.run for _, request in fleet.starts]
            assert runs == [1, 1, 1, 2, 2, 2]

    helpers.run(main)


def test_nothing_starts_on_a_leaving_worker() -> None:
    """Guards against tasks that are lost when their worker leaves."""

    async def main() -> None:
        store = memory.MemoryStore()
        builders.put_worker(store, 'w1', state='draining')
        fleet = memory.MemoryWorkers()
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await curio.sleep(0.4)
            assert fleet.starts == []

    helpers.run(main)


def test_lease_granted_by_an_earlier_leader_is_awaited() -> None:
    """Guards against a lease of an earlier leader that is ignored.

    A worker's first answer does not tell when its present lease expires.
    """
    document = builders.worker_document()
    del document['sequence']
    store, _ = _fleet()
    decoder = builders.wire.PlatformDecoder()
    entry = decoder.worker('servers/w1', store.item_by_key['servers/w1'].value)
    worker = fleet_worker.Worker(entry, prior_leases_expire_at=100.0)
    assert not worker.lease_expired(99.0)
    worker.record_answer(workers.Report(5000, entry.incarnation, (), ()), 50.0)
    assert not worker.lease_expired(59.0)
    assert worker.lease_expired(62.0)


def test_task_of_a_worker_that_left_with_the_old_leader_is_restarted(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a task that waits forever for a removed worker."""
    monkeypatch.setattr(fleet_worker, 'PRIOR_LEADER_LEASE_SECONDS', 0.1)
    monkeypatch.setattr(fleet_worker, 'MAX_LEASE_SECONDS', 0.2)

    async def main() -> None:
        store, fleet = _fleet('w1')
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
        store.remove('servers/w1')
        builders.put_worker(store, 'w2')
        async with builders.running_term(store, fleet):
            await builders.wait_until(lambda: len(fleet.starts) == 2)
            assert [worker_id for worker_id, _ in fleet.starts] == ['w1', 'w2']

    helpers.run(main)


def test_old_listing_does_not_restore_a_removed_job() -> None:
    """Guards against a removed job that runs again without its progress."""

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            term.state.removed_ids.add(JOB)
            builders.put_job(store, JOB, builders.accepted())
            await curio.sleep(0.2)
            assert fleet.starts == []

    helpers.run(main)


def test_query_waits_for_a_final_state_that_is_being_stored(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client that sees the end of its job 0.25 s late.

    Clients query right after the end of their job, and then only 0.25 s later.
    """
    # The journal's delay before a retry is as long as the default wait.
    monkeypatch.setattr(leader, 'FINAL_STATE_WAIT_SECONDS', 10.0)

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            store.down = True
            builders.end_all_runs(fleet, DONE)
            await builders.wait_until(lambda: term.state.jobs_by_id[JOB].final)
            query = await curio.spawn(term.public_job_state, JOB)
            await curio.sleep(0)
            store.down = False
            assert await query.join() is records.JobState.SUCCEEDED

    helpers.run(main)


def test_query_does_not_wait_for_a_store_that_is_down() -> None:
    """Guards against a query that misses its client's deadline."""

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            store.down = True
            builders.end_all_runs(fleet, DONE)
            await builders.wait_until(lambda: term.state.jobs_by_id[JOB].final)
            async with curio.timeout_after(1.0):
                state = await term.public_job_state(JOB)
            assert state is records.JobState.ACTIVE

    helpers.run(main)


def test_worker_that_did_not_answer_a_start_gets_no_more_work() -> None:
    """Guards against gangs that wait for a member on such a worker."""

    async def main() -> None:
        store, fleet = _fleet('w1')
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.state.workers_by_id)
            worker = term.state.workers_by_id[ids.WorkerId('w1')]
            await builders.wait_until(
                lambda: worker.available(membership.steady_clock())
            )
            fleet.unreachable.add(ids.WorkerId('w1'))
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(
                lambda: not worker.available(membership.steady_clock()),
                seconds=1.0,
            )
            fleet.unreachable.clear()
            await builders.wait_until(
                lambda: worker.available(membership.steady_clock())
            )

    helpers.run(main)
