from __future__ import annotations

import pytest

from nutmegworks.adapters import workers
from nutmegworks.model import ids
from standins import worker as stand_in
from tests import helpers

STEP = workers.Step


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def order(
    step: workers.Step,
    *,
    run: str = 'r1',
    token: int = 1,
    lease: float = 30.0,
) -> workers.Order:
    return workers.Order(
        step=step,
        run_id=ids.RunId(run),
        fencing_token=ids.FencingToken(token),
        accelerators=(0, 1),
        lease_seconds=lease,
        payload=b'{"run_seconds": 20}',
    )


def test_lease_and_fencing_stop_a_task() -> None:
    """A task must stop with its lease, and a lower token must be rejected."""

    async def main() -> None:
        clock = Clock()
        fake = stand_in.WorkerStandIn(clock=clock)
        async with helpers.serving(fake.handle) as address:
            client = workers.HttpWorkerClient()

            async def send(*args, **options):
                return await client.send(address, order(*args, **options))

            await send(STEP.RESERVE)
            busy = await send(STEP.RESERVE, run='r2')
            assert busy.err_value.fault is workers.WorkerFault.BUSY
            await send(STEP.STAGE)
            clock.now += 25.0
            # Staged for longer than its run time: the task must not execute.
            staged = await send(STEP.RENEW, lease=0.0)
            assert staged.ok_value.phase is workers.TaskPhase.STAGED
            assert staged.ok_value.lease_remaining == pytest.approx(5.0)
            await send(STEP.GO, token=2, lease=15.0)
            fenced = await send(STEP.RENEW, token=1)
            assert fenced.err_value.fault is workers.WorkerFault.FENCED
            clock.now += 16.0
            expired = await send(STEP.RENEW, token=2)
            assert expired.ok_value.phase is workers.TaskPhase.EXPIRED
            assert [
                (run.started, run.ended, run.outcome)
                for run in fake.executions
            ] == [(1025.0, 1040.0, 'expired')]

    helpers.run(main)


def test_lost_response_and_outdated_report() -> None:
    """A lost response is not a refusal, and a report may be outdated."""

    async def main() -> None:
        clock = Clock()
        fake = stand_in.WorkerStandIn(clock=clock)
        async with helpers.serving(fake.handle) as address:
            client = workers.HttpWorkerClient()
            await client.report(address)
            clock.now += 5.0
            fake.faults = stand_in.Faults(lose_answers=1, report_lag=2.0)
            lost = await client.send(address, order(STEP.RESERVE))
            assert lost.err_value.fault is workers.WorkerFault.NO_ANSWER
            outdated = await client.report(address)
            assert outdated.ok_value.tasks == ()
            again = await client.send(address, order(STEP.RESERVE))
            assert again.ok_value.phase is workers.TaskPhase.RESERVED
            clock.now += 3.0
            late = await client.report(address)
            assert len(late.ok_value.tasks) == 1

    helpers.run(main)
