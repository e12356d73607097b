from __future__ import annotations

import functools
import typing

import curio
import msgspec
import pytest
import result

from nutmegworks.adapters import store
from nutmegworks.adapters import workers
from nutmegworks.jobs import controller
from nutmegworks.jobs import gang
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.jobs import runner
from nutmegworks.jobs import shard_records
from nutmegworks.jobs import worker_monitor
from nutmegworks.model import ids
from nutmegworks.policy import events
from standins import worker as worker_stand_in
from tests import builders
from tests import helpers
from tests.jobs import fakes

STATE = record.JobState
NOT_SENT = workers.WorkerFault.NOT_SENT
STAGED_LEASE_SECONDS = 2.4
RUNNING_LEASE_SECONDS = 1.2
RENEW_INTERVAL_SECONDS = 0.3
# The bound of docs/gangs.md plus half a second for a loaded machine.
BOUND_SECONDS = (
    RUNNING_LEASE_SECONDS + RENEW_INTERVAL_SECONDS + fakes.CALL_SECONDS + 0.5
)
# Leases in multiples of the usual ones. The longer ones are used only if the
# timers of this process were later than LEASE_MARGIN_SECONDS, since leases
# may then end although their owner is healthy.
LEASE_FACTORS = (1, 3)
LEASE_MARGIN_SECONDS = 0.3
# Number of calls that an owner makes for a gang of two members, up to their
# release.
CALLS_PER_GANG = 15


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten leases and intervals."""
    set_leases(monkeypatch, 1)
    monkeypatch.setattr(worker_monitor, 'POLL_INTERVAL_SECONDS', 0.05)
    monkeypatch.setattr(runner, 'RESEND_DELAY_SECONDS', 0.02)
    monkeypatch.setattr(controller, 'TICK_SECONDS', 0.05)
    monkeypatch.setattr(shard_records, 'RETRY_SECONDS', 0.05)


def set_leases(monkeypatch: pytest.MonkeyPatch, factor: int) -> None:
    """Set leases of members to multiples of the usual ones of these tests."""
    for name, seconds in (
        ('STAGED_LEASE_SECONDS', STAGED_LEASE_SECONDS),
        ('RUNNING_LEASE_SECONDS', RUNNING_LEASE_SECONDS),
        ('RENEW_INTERVAL_SECONDS', RENEW_INTERVAL_SECONDS),
        ('LEASE_MARGIN_SECONDS', LEASE_MARGIN_SECONDS),
    ):
        monkeypatch.setattr(gang, name, factor * seconds)


def run_with_sufficient_leases(
    monkeypatch: pytest.MonkeyPatch,
    main: typing.Callable[[int], typing.Awaitable[None]],
) -> None:
    """Run a test, and again with longer leases if it failed in a late process.

    :param main: takes the factor of the leases.
    """
    for factor in LEASE_FACTORS:
        set_leases(monkeypatch, factor)
        meter = helpers.LagMeter()

        async def run(factor=factor, meter=meter) -> None:
            await curio.spawn(meter.run, daemon=True)
            await main(factor)

        try:
            helpers.run(run)
        except AssertionError:
            was_late = meter.worst > factor * LEASE_MARGIN_SECONDS
            if not was_late or factor == LEASE_FACTORS[-1]:
                raise
        else:
            return


async def run_at_every_call(trial) -> None:
    """Run concurrent trials that halt before and after every call."""
    async with curio.TaskGroup() as group:
        for call_number in range(1, CALLS_PER_GANG + 1):
            for after_call in (False, True):
                await group.spawn(trial, call_number, after_call)
    for error in group.exceptions:
        # The group cancels the other trials after the first failure.
        if isinstance(error, AssertionError):
            raise error
    assert len(group.results) == 2 * CALLS_PER_GANG


def test_ordinary_job_and_its_writes() -> None:
    """A job must not need more than four writes to the store."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            await cluster.start_owner(1)
            job_id = await cluster.accept(result_bytes=1000)
            view = await cluster.wait_until_ended(job_id)
            assert view.state is STATE.DONE and view.result == bytes(1000)
            assert cluster.store.calls['PUT kv'] <= 4
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)

    helpers.run(main)


@pytest.mark.parametrize(
    ('idempotent', 'late_takeover', 'real_scheduler'),
    [
        (True, False, False),
        (True, True, False),
        (False, False, False),
        (False, True, False),
        (False, False, True),
    ],
)
def test_owner_dies_between_any_two_messages(
    idempotent: bool,
    late_takeover: bool,
    real_scheduler: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new owner must complete a start or roll it back completely.

    A takeover before the staged leases expire completes every start. A
    later one may run a job again only if it is idempotent.
    """

    async def trial(factor: int, call_number: int, after_call: bool) -> None:
        async with fakes.serve_cluster() as cluster:
            halt_point = fakes.HaltPoint(call_number, after_call=after_call)
            first = await cluster.start_owner(
                1, halt_point=halt_point, real_scheduler=real_scheduler
            )
            job_id = await cluster.accept(idempotent=idempotent)
            async with curio.ignore_after(4.0):
                await halt_point.halted.wait()
            await first.kill()
            if late_takeover:
                await curio.sleep(factor * STAGED_LEASE_SECONDS + 0.1)
            await cluster.start_owner(2, real_scheduler=real_scheduler)
            view = await cluster.wait_until_ended(job_id)
            assert view.state is STATE.DONE or (
                late_takeover and not idempotent
            )
            await fakes.check_invariants(
                cluster, size=2, bound=factor * BOUND_SECONDS
            )

    run_with_sufficient_leases(
        monkeypatch,
        lambda factor: run_at_every_call(functools.partial(trial, factor)),
    )


@pytest.mark.parametrize('idempotent', [True, False])
def test_paused_owner_is_fenced(idempotent: bool) -> None:
    """A resumed owner must neither run a job again nor undo its state."""

    async def trial(call_number: int, after_call: bool) -> None:
        async with fakes.serve_cluster() as cluster:
            halt_point = fakes.HaltPoint(call_number, after_call=after_call)
            await cluster.start_owner(1, halt_point=halt_point)
            job_id = await cluster.accept(idempotent=idempotent)
            async with curio.ignore_after(4.0):
                await halt_point.halted.wait()
            await cluster.start_owner(2)
            await curio.sleep(0.1)
            await halt_point.resumed.set()
            await cluster.wait_until_ended(job_id)
            await curio.sleep(0.2)
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)

    helpers.run(lambda: run_at_every_call(trial))


@pytest.mark.parametrize(
    ('lost_writes', 'outage_seconds'),
    [
        ({1}, 0.0),
        ({2}, 0.0),
        ({3}, 0.0),
        ({4}, 0.0),
        ({1, 3, 5, 7}, 0.0),
        ({3}, 1.0),
        ({4}, 1.0),
    ],
)
def test_store_answer_lost_at_each_write(
    lost_writes: set[int],
    outage_seconds: float,
) -> None:
    """A write whose response is lost must be neither dropped nor repeated.

    With an outage after the write, the reads that resolve it fail too.
    """

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            cluster.lost_writes = lost_writes
            cluster.outage_seconds = outage_seconds
            await cluster.start_owner(1)
            job_id = await cluster.accept(idempotent=False)
            assert (await cluster.wait_until_ended(job_id)).state is STATE.DONE
            assert len(cluster.executions()) == 2
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)

    helpers.run(main)


def test_earlier_owner_can_neither_stop_nor_undo() -> None:
    """A paused owner must not stop a gang that its successor continues."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            first = await cluster.start_owner(1)
            job_id = await cluster.accept(seconds=1.5, idempotent=False)
            await curio.sleep(0.5)
            records = shard_records.ShardRecords(
                cluster.jobs, fakes.SHARD, ids.FencingToken(1)
            )
            await records.refresh(job_id)
            first.store.cut_off = True
            await cluster.start_owner(2)
            await curio.sleep(0.3)
            old_runner = first.controller._runner_by_job[job_id]
            await old_runner.submit_event(gang.StopRequested())
            stored = records.stored_by_id[job_id]
            undone = await cluster.jobs.update(stored, state=STATE.ACCEPTED)
            assert undone.err_value.fault is store.StoreFault.CONFLICT
            assert (await cluster.wait_until_ended(job_id)).state is STATE.DONE
            assert first.task.terminated
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)

    helpers.run(main)


def test_outdated_record_is_ignored() -> None:
    """A watch that returns a job as before its end must not restore it."""
    records = shard_records.ShardRecords(
        None, fakes.SHARD, ids.FencingToken(1)
    )
    job = builders.job_record()
    old = repository.StoredJob(job, ids.StoreRevision(5))
    new = repository.StoredJob(job, ids.StoreRevision(7))
    records.observe(new)
    records.observe(old)
    assert records.stored_by_id[job.job_id] is new
    records.remove_ended(job.job_id)
    assert records.is_outdated(old) and records.is_outdated(new)


@pytest.mark.parametrize('members', [None, ()])
def test_committed_record_without_members_blocks_no_other(members) -> None:
    """A record that can't be adopted must not end the owner."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            odd = builders.job_record('1-odd')
            run = members if members is None else record.Run(
                run_id=record.run_id(odd.job_id, 1),
                attempt=1,
                fencing_token=ids.FencingToken(1),
                members=members,
                commit_id='c',
                committed_at=1.0,
            )
            await cluster.jobs.create(
                msgspec.structs.replace(odd, state=STATE.COMMITTED, run=run)
            )
            await cluster.start_owner(1)
            view = await cluster.wait_until_ended(await cluster.accept())
            assert view.state is STATE.DONE

    helpers.run(main)


def test_task_of_unknown_run_is_stopped() -> None:
    """A reservation of a dead owner must not block a worker for long."""

    async def main() -> None:
        async with fakes.serve_cluster(count=2) as cluster:
            client = workers.HttpWorkerClient()
            order = workers.Order(
                step=workers.Step.RESERVE,
                run_id=ids.RunId('gone.1'),
                fencing_token=ids.FencingToken(1),
                accelerators=(0, ),
                lease_seconds=600.0,
            )
            await client.send(cluster.hosts[0].address, order)
            await cluster.start_owner(2)
            view = await cluster.wait_until_ended(
                await cluster.accept(), within=5.0
            )
            assert view.state is STATE.DONE

    helpers.run(main)


@pytest.mark.parametrize('kind', ['idempotent', 'once', 'checkpointed'])
def test_worker_dies_mid_task(kind: str) -> None:
    """The other members must stop; only some jobs may run again."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            await cluster.start_owner(1, checkpoint=kind == 'checkpointed')
            job_id = await cluster.accept(
                seconds=1.0, idempotent=kind == 'idempotent'
            )
            await curio.sleep(0.6)
            dead = worker_stand_in.Faults(dead=True)
            cluster.worker_by_id['w0'].set_faults(dead)
            view = await cluster.wait_until_ended(job_id)
            expected = STATE.MAY_HAVE_RUN if kind == 'once' else STATE.DONE
            assert view.state is expected
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)
            runs = {run.run_id for _, run in cluster.executions()}
            assert len(runs) == (2 if kind == 'idempotent' else 1)

    helpers.run(main)


def test_worker_dies_after_a_go_that_was_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A job that is not idempotent must not run twice.

    The first ``go`` to each worker finds it unreachable; the next one starts
    the task.
    """
    refused: set[tuple[str, int]] = set()
    send = workers.HttpWorkerClient.send

    async def send_unless_refused(self, address, order):
        if order.step is workers.Step.GO and address not in refused:
            refused.add(address)
            return result.Err(workers.WorkerError(NOT_SENT))
        return await send(self, address, order)

    monkeypatch.setattr(workers.HttpWorkerClient, 'send', send_unless_refused)

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            await cluster.start_owner(1)
            job_id = await cluster.accept(seconds=2.0, idempotent=False)
            await curio.sleep(1.0)
            assert cluster.executions()
            dead = worker_stand_in.Faults(dead=True)
            cluster.worker_by_id['w0'].set_faults(dead)
            view = await cluster.wait_until_ended(job_id)
            assert len({run.run_id for _, run in cluster.executions()}) == 1
            assert view.state is STATE.MAY_HAVE_RUN

    helpers.run(main)


@pytest.mark.parametrize(
    'faults',
    [
        worker_stand_in.Faults(no_reports=True),
        worker_stand_in.Faults(report_lag=0.5),
        worker_stand_in.Faults(lose_answers=1),
        worker_stand_in.Faults(delay=0.15),
    ],
)
def test_bad_reports_and_slow_workers(
    faults: worker_stand_in.Faults,
) -> None:
    """A worker that is slow or drops messages must not lose its job."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            await cluster.start_owner(1)
            await curio.sleep(0.3)
            for worker in cluster.worker_by_id.values():
                worker.set_faults(faults)
            job_id = await cluster.accept(seconds=1.5, idempotent=False)
            assert (await cluster.wait_until_ended(job_id)).state is STATE.DONE
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)

    helpers.run(main)


def test_unreachable_member_stops_the_gang() -> None:
    """Members must not continue while another one is unreachable."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            await cluster.start_owner(1)
            job_id = await cluster.accept(seconds=8.0, idempotent=False)
            await curio.sleep(0.5)
            silent = worker_stand_in.Faults(silent=True)
            cluster.worker_by_id['w1'].set_faults(silent)
            view = await cluster.wait_until_ended(job_id)
            assert view.state is STATE.MAY_HAVE_RUN
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)

    helpers.run(main)


def test_reclaimed_job_resumes_as_the_same_run() -> None:
    """A guarantee must be served without loss of the borrower's work."""

    async def main() -> None:
        async with fakes.serve_cluster(count=1) as cluster:
            await cluster.start_owner(1, real_scheduler=True)
            lent = await cluster.accept('a', shape='1x8', seconds=2.0)
            await curio.sleep(0.6)
            owned = await cluster.accept('b', shape='1x8', team_id='south')
            assert (await cluster.wait_until_ended(owned)).state is STATE.DONE
            assert (await cluster.wait_until_ended(lent)).state is STATE.DONE
            runs = [run for _, run in cluster.executions()]
            assert [run.outcome
                    for run in runs] == ['stopped', 'finished', 'finished']
            assert runs[0].run_id == runs[2].run_id and runs[2].checkpoint
            await fakes.check_invariants(cluster, size=1, bound=BOUND_SECONDS)

    helpers.run(main)


def test_many_concurrent_cancellations() -> None:
    """Cancelled jobs must all end exactly once and leave no task running."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            owner = await cluster.start_owner(1)
            jobs = [
                await cluster.accept(str(index), seconds=5.0)
                for index in range(20)
            ]
            await curio.sleep(0.3)
            async with curio.TaskGroup() as group:
                for job_id in jobs + jobs:
                    await group.spawn(cluster.service.cancel, job_id)
            for job_id in jobs:
                view = await cluster.wait_until_ended(job_id)
                assert view.state is STATE.CANCELLED
                again = (await cluster.service.cancel(job_id)).ok_value
                assert again.ended_at == view.ended_at
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)
            assert all(run.ended for _, run in cluster.executions())
            assert not owner.controller._runner_by_job

    helpers.run(main)


def test_job_of_a_removed_class_can_be_cancelled() -> None:
    """A running job that the scheduler refuses must still be cancelled."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            first = await cluster.start_owner(1, real_scheduler=True)
            job_id = await cluster.accept(seconds=20.0)
            await curio.sleep(0.6)
            await first.kill()
            await cluster.start_owner(
                2, real_scheduler=True, configuration=builders.configuration()
            )
            await curio.sleep(0.3)
            await cluster.service.cancel(job_id)
            view = await cluster.wait_until_ended(job_id, within=5.0)
            assert view.state is STATE.CANCELLED
            assert all(run.ended for _, run in cluster.executions())

    helpers.run(main)


def test_running_gang_survives_a_store_outage() -> None:
    """A gang must be renewed and keep its result while the store is down."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            await cluster.start_owner(1)
            job_id = await cluster.accept(seconds=2.0, idempotent=False)
            await curio.sleep(0.5)
            cluster.store.faults.down = True
            await curio.sleep(2.5)
            cluster.store.faults.down = False
            assert (await cluster.wait_until_ended(job_id)).state is STATE.DONE
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)

    helpers.run(main)


def test_worker_that_fails_every_task() -> None:
    """A job whose tasks always fail must end with the right state."""

    async def main() -> None:
        async with fakes.serve_cluster(count=2) as cluster:
            cluster.worker_by_id['w0'].faults.fail_tasks = True
            await cluster.start_owner(1)
            again = await cluster.wait_until_ended(await cluster.accept('a'))
            once = await cluster.wait_until_ended(
                await cluster.accept('b', idempotent=False)
            )
            assert again.state is STATE.FAILED
            assert events.Reason.ATTEMPTS_EXHAUSTED.value in again.detail
            assert once.state is STATE.MAY_HAVE_RUN
            await fakes.check_invariants(cluster, size=2, bound=BOUND_SECONDS)

    helpers.run(main)


def test_contending_owners_end_every_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Owners that contend for all workers must still end every job.

    Reservations last so long here that their expiry cannot free a worker.
    """
    monkeypatch.setattr(gang, 'STAGED_LEASE_SECONDS', 600.0)

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            jobs = [
                await cluster.accept(str(index), shape='3x8')
                for index in range(6)
            ]
            await cluster.start_owner(1)
            await cluster.start_owner(1, reverse=True)
            await curio.sleep(0.5)
            await cluster.start_owner(2)
            for job_id in jobs:
                assert (
                    await cluster.wait_until_ended(job_id)
                ).state is STATE.DONE
            await fakes.check_invariants(cluster, size=3, bound=BOUND_SECONDS)

    helpers.run(main)


@pytest.mark.parametrize(
    ('size', 'state'),
    [
        (record.MAX_INLINE_RESULT_BYTES, STATE.DONE),
        (record.MAX_RESULT_BYTES, STATE.DONE),
        (record.MAX_RESULT_BYTES + 1, STATE.FAILED),
    ],
)
def test_result_sizes(size: int, state: record.JobState) -> None:
    """A large result must be returned completely or the job must fail."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            await cluster.start_owner(1)
            view = await cluster.wait_until_ended(
                await cluster.accept(result_bytes=size)
            )
            assert view.state is state
            assert len(view.result or b'') == (size if view.result else 0)

    helpers.run(main)


def test_job_skipped_by_a_stale_watch_is_loaded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A job whose record a watch skipped must not wait for ever."""
    monkeypatch.setattr(controller, 'RESYNC_SECONDS', 1.0)

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            await cluster.start_owner(1)
            first = await cluster.accept('first')
            await cluster.wait_until_ended(first)
            cluster.store.faults.stale_reads = 5
            job_id = await cluster.accept('second')
            await curio.sleep(0.5)
            cluster.store.faults.stale_reads = 0
            view = await cluster.wait_until_ended(job_id)
            assert view.state is STATE.DONE

    helpers.run(main)
