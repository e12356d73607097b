from __future__ import annotations

import time

import curio
import pytest

from nutmegworks.jobs import record
from nutmegworks.jobs import service
from nutmegworks.model import ids
from nutmegworks.model import verdict
from tests import builders
from tests import helpers
from tests.jobs import fakes

STATE = record.JobState
TEAM = ids.TeamId('north')
KEY = ids.IdempotencyKey('1-a')


async def accept(
    at: fakes.Cluster,
    digest: str = 'digest',
    *,
    jobs: service.JobService | None = None,
    first_attempt: bool = False,
):
    return await (jobs or at.service).accept(
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
        async with fakes.cluster(count=0) as at:
            other = service.JobService(
                at.jobs,
                choose_shard=lambda spec: ids.ShardId('amman-east'),
            )
            async with curio.TaskGroup() as group:
                await group.spawn(accept, at)
                await group.spawn(lambda: accept(at, jobs=other))
            first, second = (answer.ok_value for answer in group.results)
            assert first == second
            stored = [
                (await at.jobs.load(ids.ShardId(shard))).ok_value.jobs
                for shard in ('amman-north', 'amman-east')
            ]
            assert sorted(len(jobs) for jobs in stored) == [0, 1]
            refused = (await accept(at, 'another digest')).err_value
            assert refused.reason is verdict.Reason.KEY_REUSED

    helpers.run(main)


@pytest.mark.parametrize('first_attempt', [True, False])
def test_store_down_is_not_a_promise_about_earlier_attempts(
    first_attempt: bool,
) -> None:
    """An earlier attempt with the key may have been accepted."""

    async def main() -> None:
        async with fakes.cluster(count=0) as at:
            at.store.faults.down = True
            refused = await accept(at, first_attempt=first_attempt)
            expected = verdict.Verdict.MAY_HAVE_RUN
            if first_attempt:
                expected = verdict.Verdict.DID_NOT_RUN
            assert refused.err_value.verdict is expected

    helpers.run(main)


def test_waiting_costs_few_reads_and_ends_when_told() -> None:
    """Waiting callers must not use up the store's reads, nor delay a stop."""

    async def main() -> None:
        async with fakes.cluster(count=0) as at:
            job_id = (await accept(at)).ok_value
            before = sum(at.store.calls.values())
            view = (await at.service.wait(job_id, 1.0)).ok_value
            assert view.state is STATE.ACCEPTED
            assert sum(at.store.calls.values()) - before <= 4
            started = time.monotonic()
            waiting = await curio.spawn(at.service.wait, job_id, 20.0)
            await curio.sleep(0.1)
            await at.service.stop_waiting()
            assert (await waiting.join()).ok_value.state is STATE.ACCEPTED
            assert time.monotonic() - started < 2.0

    helpers.run(main)


def test_cancelled_before_any_start_did_not_run() -> None:
    """The verdict of a job that no owner started must be exact."""

    async def main() -> None:
        async with fakes.cluster() as at:
            job_id = (await accept(at)).ok_value
            view = (await at.service.cancel(job_id)).ok_value
            assert view.state is STATE.CANCELLED
            assert view.verdict is verdict.Verdict.DID_NOT_RUN
            await at.owner(1)
            await curio.sleep(0.3)
            assert at.executions() == []
            assert (await at.service.cancel(job_id)).ok_value == view
            lines = (await at.service.explain(job_id)).ok_value
            assert 'cancelled' in lines
            missing = await at.service.cancel(ids.JobId('none'))
            assert missing.err_value.reason is verdict.Reason.NOT_FOUND

    helpers.run(main)
