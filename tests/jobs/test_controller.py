from __future__ import annotations

import curio
import pytest

from nutmegworks.adapters import store
from nutmegworks.adapters import workers
from nutmegworks.jobs import controller
from nutmegworks.jobs import gang
from nutmegworks.jobs import ledger
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.jobs import roster
from nutmegworks.jobs import runner
from nutmegworks.model import ids
from nutmegworks.policy import events
from standins import worker as worker_stand_in
from tests import builders
from tests import helpers
from tests.jobs import fakes

STATE = record.JobState
STAGED_LEASE = 2.4
RUNNING_LEASE = 1.2
RENEW_INTERVAL = 0.3
# As in docs/gangs.md, with half a second for a busy machine.
BOUND = RUNNING_LEASE + RENEW_INTERVAL + fakes.CALL_SECONDS + 0.5
# Calls of an owner for one gang of two, up to the release of its members.
CALLS = 15


@pytest.fixture(autouse=True)
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Scale leases and pauses down."""
    monkeypatch.setattr(gang, 'STAGED_LEASE_SECONDS', STAGED_LEASE)
    monkeypatch.setattr(gang, 'RUNNING_LEASE_SECONDS', RUNNING_LEASE)
    monkeypatch.setattr(gang, 'RENEW_INTERVAL_SECONDS', RENEW_INTERVAL)
    monkeypatch.setattr(gang, 'LEASE_MARGIN_SECONDS', 0.3)
    monkeypatch.setattr(roster, 'POLL_INTERVAL_SECONDS', 0.05)
    monkeypatch.setattr(runner, 'REPEAT_DELAY_SECONDS', 0.02)
    monkeypatch.setattr(controller, 'TICK_SECONDS', 0.05)
    monkeypatch.setattr(ledger, 'RETRY_SECONDS', 0.05)


async def at_every_call(trial) -> None:
    """Run a trial for every call and both sides of it, side by side."""
    async with curio.TaskGroup() as group:
        for number in range(1, CALLS + 1):
            for after in (False, True):
                await group.spawn(trial, number, after)
    assert len(group.results) == 2 * CALLS


def test_ordinary_job_and_its_writes() -> None:
    """A job must not cost more than four writes of the store."""

    async def main() -> None:
        async with fakes.cluster() as at:
            await at.owner(1)
            job_id = await at.accept(result_bytes=1000)
            view = await at.ended(job_id)
            assert view.state is STATE.DONE and view.result == bytes(1000)
            assert at.store.calls['PUT kv'] <= 4
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(main)


@pytest.mark.parametrize(
    ('idempotent', 'late', 'real'),
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
    late: bool,
    real: bool,
) -> None:
    """A new owner must roll a start forward or back, never do half of it.

    A takeover while staged leases last completes every start. A late one
    runs an idempotent job again and never another one.
    """

    async def trial(number: int, after: bool) -> None:
        async with fakes.cluster() as at:
            life = fakes.Life(number, after=after)
            first = await at.owner(1, life=life, real=real)
            job_id = await at.accept(idempotent=idempotent)
            async with curio.ignore_after(4.0):
                await life.halted.wait()
            await first.kill()
            if late:
                await curio.sleep(STAGED_LEASE + 0.1)
            await at.owner(2, real=real)
            view = await at.ended(job_id)
            assert view.state is STATE.DONE or (late and not idempotent)
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(lambda: at_every_call(trial))


@pytest.mark.parametrize('idempotent', [True, False])
def test_paused_owner_is_fenced(idempotent: bool) -> None:
    """An owner that resumes must not run a job a second time or undo it."""

    async def trial(number: int, after: bool) -> None:
        async with fakes.cluster() as at:
            life = fakes.Life(number, after=after)
            await at.owner(1, life=life)
            job_id = await at.accept(idempotent=idempotent)
            async with curio.ignore_after(4.0):
                await life.halted.wait()
            await at.owner(2)
            await curio.sleep(0.1)
            await life.resumed.set()
            await at.ended(job_id)
            await curio.sleep(0.2)
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(lambda: at_every_call(trial))


@pytest.mark.parametrize(
    ('lost', 'outage'),
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
    lost: set[int],
    outage: float,
) -> None:
    """A write without response must neither be lost nor done twice.

    With an outage after it, the rereads fail too.
    """

    async def main() -> None:
        async with fakes.cluster() as at:
            at.lost_writes = lost
            at.outage = outage
            await at.owner(1)
            job_id = await at.accept(idempotent=False)
            assert (await at.ended(job_id)).state is STATE.DONE
            assert len(at.executions()) == 2
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(main)


def test_earlier_owner_can_neither_stop_nor_undo() -> None:
    """A paused owner must not end a gang that its successor continues."""

    async def main() -> None:
        async with fakes.cluster() as at:
            first = await at.owner(1)
            job_id = await at.accept(seconds=1.5, idempotent=False)
            await curio.sleep(0.5)
            records = ledger.Ledger(at.jobs, fakes.SHARD, ids.FencingToken(1))
            await records.refresh(job_id)
            first.store.cut_off = True
            await at.owner(2)
            await curio.sleep(0.3)
            old = first.controller._runner_by_job[job_id]
            await old.tell(gang.StopAsked())
            stored = records.stored_by_id[job_id]
            undone = await at.jobs.update(stored, state=STATE.ACCEPTED)
            assert undone.err_value.fault is store.StoreFault.CONFLICT
            assert (await at.ended(job_id)).state is STATE.DONE
            assert first.task.terminated
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(main)


def test_old_version_of_a_record_is_no_news() -> None:
    """A watch that shows a job before its end must not revive it."""
    records = ledger.Ledger(None, fakes.SHARD, ids.FencingToken(1))
    job = builders.job_record()
    old = repository.Stored(job, ids.StoreRevision(5))
    new = repository.Stored(job, ids.StoreRevision(7))
    records.take(new)
    records.take(old)
    assert records.stored_by_id[job.job_id] is new
    records.forget(job.job_id)
    assert records.is_old(old) and records.is_old(new)


def test_task_of_no_known_run_is_stopped() -> None:
    """A reservation of a dead owner must not block a worker for long."""

    async def main() -> None:
        async with fakes.cluster(count=2) as at:
            client = workers.HttpWorkerClient()
            order = workers.Order(
                step=workers.Step.RESERVE,
                run_id=ids.RunId('gone.1'),
                fencing_token=ids.FencingToken(1),
                accelerators=(0, ),
                lease_seconds=600.0,
            )
            await client.send(at.hosts[0].address, order)
            await at.owner(2)
            view = await at.ended(await at.accept(), within=5.0)
            assert view.state is STATE.DONE

    helpers.run(main)


@pytest.mark.parametrize('kind', ['idempotent', 'once', 'checkpointed'])
def test_worker_dies_mid_task(kind: str) -> None:
    """The rest of a gang must stop; what may run again depends on the job."""

    async def main() -> None:
        async with fakes.cluster() as at:
            await at.owner(1, checkpoint=kind == 'checkpointed')
            job_id = await at.accept(
                seconds=1.0, idempotent=kind == 'idempotent'
            )
            await curio.sleep(0.6)
            dead = worker_stand_in.Faults(dead=True)
            at.worker_by_id['w0'].set_faults(dead)
            view = await at.ended(job_id)
            expected = STATE.MAY_HAVE_RUN if kind == 'once' else STATE.DONE
            assert view.state is expected
            await fakes.check_promises(at, size=2, bound=BOUND)
            runs = {run.run_id for _, run in at.executions()}
            assert len(runs) == (2 if kind == 'idempotent' else 1)

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
    """A worker that is only slow or hard to hear must not lose its job."""

    async def main() -> None:
        async with fakes.cluster() as at:
            await at.owner(1)
            await curio.sleep(0.3)
            for worker in at.worker_by_id.values():
                worker.set_faults(faults)
            job_id = await at.accept(seconds=1.5, idempotent=False)
            assert (await at.ended(job_id)).state is STATE.DONE
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(main)


def test_silent_member_stops_the_gang() -> None:
    """A part must not execute on while another part is cut off."""

    async def main() -> None:
        async with fakes.cluster() as at:
            await at.owner(1)
            job_id = await at.accept(seconds=8.0, idempotent=False)
            await curio.sleep(0.5)
            silent = worker_stand_in.Faults(silent=True)
            at.worker_by_id['w1'].set_faults(silent)
            view = await at.ended(job_id)
            assert view.state is STATE.MAY_HAVE_RUN
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(main)


def test_reclaimed_job_resumes_as_the_same_run() -> None:
    """A team's guarantee must be served, and the borrower's work kept."""

    async def main() -> None:
        async with fakes.cluster(count=1) as at:
            await at.owner(1, real=True)
            lent = await at.accept('a', shape='1x8', seconds=2.0)
            await curio.sleep(0.6)
            owned = await at.accept('b', shape='1x8', team_id='south')
            assert (await at.ended(owned)).state is STATE.DONE
            assert (await at.ended(lent)).state is STATE.DONE
            runs = [run for _, run in at.executions()]
            assert [run.outcome
                    for run in runs] == ['stopped', 'finished', 'finished']
            assert runs[0].run_id == runs[2].run_id and runs[2].checkpoint
            await fakes.check_promises(at, size=1, bound=BOUND)

    helpers.run(main)


def test_cancellation_wave() -> None:
    """Cancelled jobs must all end, once, and leave no task behind."""

    async def main() -> None:
        async with fakes.cluster() as at:
            owner = await at.owner(1)
            jobs = [
                await at.accept(str(index), seconds=5.0)
                for index in range(20)
            ]
            await curio.sleep(0.3)
            async with curio.TaskGroup() as group:
                for job_id in jobs + jobs:
                    await group.spawn(at.service.cancel, job_id)
            for job_id in jobs:
                view = await at.ended(job_id)
                assert view.state is STATE.CANCELLED
                again = (await at.service.cancel(job_id)).ok_value
                assert again.ended_at == view.ended_at
            await fakes.check_promises(at, size=2, bound=BOUND)
            assert all(run.ended for _, run in at.executions())
            assert not owner.controller._runner_by_job

    helpers.run(main)


def test_job_of_a_removed_class_can_be_cancelled() -> None:
    """A scheduler that does not know a running job must not keep it."""

    async def main() -> None:
        async with fakes.cluster() as at:
            first = await at.owner(1, real=True)
            job_id = await at.accept(seconds=20.0)
            await curio.sleep(0.6)
            await first.kill()
            await at.owner(
                2, real=True, configuration=builders.configuration()
            )
            await curio.sleep(0.3)
            await at.service.cancel(job_id)
            view = await at.ended(job_id, within=5.0)
            assert view.state is STATE.CANCELLED
            assert all(run.ended for _, run in at.executions())

    helpers.run(main)


def test_running_gang_outlives_a_store_outage() -> None:
    """A gang must be renewed, and its result kept, while the store is down."""

    async def main() -> None:
        async with fakes.cluster() as at:
            await at.owner(1)
            job_id = await at.accept(seconds=2.0, idempotent=False)
            await curio.sleep(0.5)
            at.store.faults.down = True
            await curio.sleep(2.5)
            at.store.faults.down = False
            assert (await at.ended(job_id)).state is STATE.DONE
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(main)


def test_worker_that_fails_every_task() -> None:
    """A job that cannot run must end, with its verdict."""

    async def main() -> None:
        async with fakes.cluster(count=2) as at:
            at.worker_by_id['w0'].faults.fail_tasks = True
            await at.owner(1)
            again = await at.ended(await at.accept('a'))
            once = await at.ended(await at.accept('b', idempotent=False))
            assert again.state is STATE.FAILED
            assert events.Reason.ATTEMPTS_EXHAUSTED.value in again.detail
            assert once.state is STATE.MAY_HAVE_RUN
            await fakes.check_promises(at, size=2, bound=BOUND)

    helpers.run(main)


def test_contending_owners_end_every_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Owners that contend for all workers must still end every job.

    Reservations are long here, so that their end cannot help.
    """
    monkeypatch.setattr(gang, 'STAGED_LEASE_SECONDS', 600.0)

    async def main() -> None:
        async with fakes.cluster() as at:
            jobs = [
                await at.accept(str(index), shape='3x8') for index in range(6)
            ]
            await at.owner(1)
            await at.owner(1, reverse=True)
            await curio.sleep(0.5)
            await at.owner(2)
            for job_id in jobs:
                assert (await at.ended(job_id)).state is STATE.DONE
            await fakes.check_promises(at, size=3, bound=BOUND)

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
    """A large result must be returned whole or the job must fail."""

    async def main() -> None:
        async with fakes.cluster() as at:
            await at.owner(1)
            view = await at.ended(await at.accept(result_bytes=size))
            assert view.state is state
            assert len(view.result or b'') == (size if view.result else 0)

    helpers.run(main)


def test_job_that_a_stale_watch_skipped_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A watch that skips a record must not leave its job waiting for ever."""
    monkeypatch.setattr(controller, 'RESYNC_SECONDS', 1.0)

    async def main() -> None:
        async with fakes.cluster() as at:
            await at.owner(1)
            first = await at.accept('first')
            await at.ended(first)
            at.store.faults.stale_reads = 5
            job_id = await at.accept('second')
            await curio.sleep(0.5)
            at.store.faults.stale_reads = 0
            view = await at.ended(job_id)
            assert view.state is STATE.DONE

    helpers.run(main)
