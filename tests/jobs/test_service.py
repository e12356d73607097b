from __future__ import annotations

import time

import curio
import pytest

from nutmegworks.adapters import store
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.jobs import service
from nutmegworks.model import ids
from nutmegworks.model import verdict
from tests import builders
from tests import helpers
from tests.jobs import fakes
from tests import memory_store

STATE = record.JobState
TEAM = ids.TeamId('north')
KEY = ids.IdempotencyKey('1-a')


async def accept(
    cluster: fakes.Cluster,
    digest: str = 'digest',
    *,
    jobs: service.JobService | None = None,
    first_attempt: bool = False,
):
    return await (jobs or cluster.service).accept(
        TEAM,
        builders.work_class(),
        builders.job_spec(),
        KEY,
        digest,
        first_attempt=first_attempt,
    )


def test_same_key_gives_one_job_in_one_shard() -> None:
    """A retry at another daemon must not run the job in a second shard."""

    async def main() -> None:
        async with fakes.serve_cluster(count=0) as cluster:
            other = service.JobService(
                cluster.jobs,
                choose_shard=lambda spec: ids.ShardId('amman-east'),
            )
            async with curio.TaskGroup() as group:
                await group.spawn(accept, cluster)
                await group.spawn(lambda: accept(cluster, jobs=other))
            first, second = (answer.ok_value for answer in group.results)
            assert first == second
            stored = [
                (await cluster.jobs.load(ids.ShardId(shard))).ok_value.jobs
                for shard in ('amman-north', 'amman-east')
            ]
            assert sorted(len(jobs) for jobs in stored) == [0, 1]
            refusal = (await accept(cluster, 'another digest')).err_value
            assert refusal.reason is verdict.Reason.KEY_REUSED

    helpers.run(main)


@pytest.mark.parametrize('first_attempt', [True, False])
def test_store_outage_and_verdict_of_earlier_attempts(
    first_attempt: bool,
) -> None:
    """A refusal must allow that an earlier attempt was accepted.

    Only a first attempt may be reported as not run.
    """

    async def main() -> None:
        async with fakes.serve_cluster(count=0) as cluster:
            cluster.store.faults.down = True
            refusal = await accept(cluster, first_attempt=first_attempt)
            expected = verdict.Verdict.MAY_HAVE_RUN
            if first_attempt:
                expected = verdict.Verdict.DID_NOT_RUN
            assert refusal.err_value.verdict is expected

    helpers.run(main)


class DownAfterConflict(memory_store.MemoryStore):
    """A store that goes down after it has refused a write."""

    async def put(self, key, value, *, expected, lease_id=None):
        answer = await super().put(key, value, expected=expected)
        conflict = store.StoreFault.CONFLICT
        if answer.is_err() and answer.err_value.fault is conflict:
            self.down = True
        return answer


def make_service(backend: store.Store, shard: str = 'amman-north'):
    return service.JobService(
        repository.JobRepository(backend),
        choose_shard=lambda spec: ids.ShardId(shard) if shard else None,
    )


async def accept_by(
    jobs: service.JobService,
    *,
    first_attempt: bool = False,
):
    return await jobs.accept(
        TEAM,
        builders.work_class(),
        builders.job_spec(),
        KEY,
        'digest',
        first_attempt=first_attempt,
    )


def test_first_attempt_that_finds_the_job_stored_may_have_run() -> None:
    """A failed read must not hide that the write found the job stored.

    The caller's second attempt overtook the first one.
    """

    async def main() -> None:
        backend = DownAfterConflict()
        assert (await accept_by(make_service(backend))).is_ok()
        late = await accept_by(make_service(backend), first_attempt=True)
        assert backend.down
        assert late.err_value.verdict is verdict.Verdict.MAY_HAVE_RUN

    helpers.run(main)


def test_first_attempt_that_finds_the_key_bound_may_have_run() -> None:
    """A refused write must not hide that another attempt bound the key."""

    async def main() -> None:
        backend = memory_store.MemoryStore()
        assert (await accept_by(make_service(backend))).is_ok()
        backend.faults.append(memory_store.Fault.DOWN)
        late = await accept_by(make_service(backend), first_attempt=True)
        assert late.err_value.verdict is verdict.Verdict.MAY_HAVE_RUN

    helpers.run(main)


def test_job_that_no_longer_fits_is_still_accepted() -> None:
    """A retry must not be told that an accepted job did not run."""

    async def main() -> None:
        backend = memory_store.MemoryStore()
        without_room = make_service(backend, '')
        first = await accept_by(without_room, first_attempt=True)
        assert first.err_value.verdict is verdict.Verdict.DID_NOT_RUN
        retry = await accept_by(without_room)
        assert retry.err_value.reason is verdict.Reason.NEVER_FITS
        assert retry.err_value.verdict is verdict.Verdict.MAY_HAVE_RUN
        accepted = await accept_by(make_service(backend))
        assert await accept_by(without_room) == accepted

    helpers.run(main)


def test_stale_read_does_not_hide_a_job_that_was_seen() -> None:
    """A waiting caller must not be told that a running job did not run."""

    async def main() -> None:
        async with fakes.serve_cluster(count=0) as cluster:
            job_id = (await accept(cluster)).ok_value
            waiting = await curio.spawn(cluster.service.wait, job_id, 1.0)
            await curio.sleep(0.2)
            cluster.store.faults.stale_reads = 1000
            stored = (await cluster.jobs.get(fakes.SHARD, job_id)).ok_value
            assert stored is None
            view = (await waiting.join()).ok_value
            assert view.state is STATE.ACCEPTED
            unseen = (await cluster.service.wait(job_id, 0.0)).err_value
            assert unseen.reason is verdict.Reason.NOT_FOUND
            assert unseen.verdict is verdict.Verdict.MAY_HAVE_RUN

    helpers.run(main)


@pytest.mark.parametrize('down', [True, False])
def test_job_whose_result_is_not_readable_has_run(down: bool) -> None:
    """A failed or stale read must not turn a result into another answer."""

    async def main() -> None:
        backend = memory_store.MemoryStore()
        jobs = repository.JobRepository(backend)
        accepting = make_service(backend)
        job_id = (await accept_by(accepting)).ok_value
        stored = (await jobs.get(fakes.SHARD, job_id)).ok_value
        for state in (STATE.COMMITTED, STATE.DONE):
            changes = {'state': state, 'result_key': 'answers/jobs/x'}
            stored = (await jobs.update(stored, **changes)).ok_value
        get = backend.get

        async def get_result_later(key):
            backend.down = down and key == 'answers/jobs/x'
            return await get(key)

        backend.get = get_result_later
        refused = (await accepting.wait(job_id, 0.0)).err_value
        assert refused.reason is verdict.Reason.STORE_UNAVAILABLE
        assert refused.verdict is verdict.Verdict.RAN

    helpers.run(main)


def test_waiting_uses_few_reads_and_ends_on_stop() -> None:
    """Waiting callers must not overload the store or delay a stop."""

    async def main() -> None:
        async with fakes.serve_cluster(count=0) as cluster:
            job_id = (await accept(cluster)).ok_value
            before = sum(cluster.store.calls.values())
            view = (await cluster.service.wait(job_id, 1.0)).ok_value
            assert view.state is STATE.ACCEPTED
            assert sum(cluster.store.calls.values()) - before <= 4
            started = time.monotonic()
            waiting = await curio.spawn(cluster.service.wait, job_id, 20.0)
            await curio.sleep(0.1)
            await cluster.service.stop_waiting()
            assert (await waiting.join()).ok_value.state is STATE.ACCEPTED
            assert time.monotonic() - started < 2.0

    helpers.run(main)


def test_cancelled_before_any_start_did_not_run() -> None:
    """The verdict of a job that was never started must be did-not-run."""

    async def main() -> None:
        async with fakes.serve_cluster() as cluster:
            job_id = (await accept(cluster)).ok_value
            view = (await cluster.service.cancel(job_id)).ok_value
            assert view.state is STATE.CANCELLED
            assert view.verdict is verdict.Verdict.DID_NOT_RUN
            await cluster.start_owner(1)
            await curio.sleep(0.3)
            assert cluster.executions() == []
            assert (await cluster.service.cancel(job_id)).ok_value == view
            lines = (await cluster.service.explain(job_id)).ok_value
            assert 'cancelled' in lines
            missing = await cluster.service.cancel(ids.JobId('none'))
            assert missing.err_value.reason is verdict.Reason.NOT_FOUND

    helpers.run(main)
