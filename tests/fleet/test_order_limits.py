"""Jobs that are larger than the connections of an executor."""
from __future__ import annotations

import time
import typing

import curio
import pytest

from nutmegworks.fleet import leader
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.tasks import records
from tests.fleet import builders
from tests.fleet import served_fleet
from tests import helpers

JOB: typing.Final = ids.JobId('00000000000000aa')
OTHER: typing.Final = ids.JobId('00000000000000bb')
# From the sheets: cancel_ms and stopTimeoutMs of zahra-rounds.
CANCEL_SECONDS: typing.Final = 3.2


def _step(count: int, seconds: float, **fields: object) -> dict[str, object]:
    return builders.step(
        count,
        cpu=500,
        gpu=0,
        estimatedMs=int(1000 * seconds),
        **fields,
    )


def _has_succeeded(term: leader.Term, job_id: ids.JobId = JOB) -> bool:
    state = term.state.public_state(job_id)
    return state is records.JobState.SUCCEEDED


@pytest.mark.parametrize('tasks', [40, 400])
def test_a_large_job_ends(tasks: int) -> None:
    """Guards against starts whose connections the executor resets.

    Each start used a connection of its own; without any fault a job of 400
    tasks did not end.
    """

    async def main() -> None:
        async with served_fleet.running_fleet(2) as (fleet, term):
            fleet.submit(JOB, _step(tasks, 1.0))
            await builders.wait_until(
                lambda: _has_succeeded(term), seconds=20.0
            )
            assert fleet.resets == 0
            assert fleet.checker.start_count == tasks
            assert fleet.checker.violations == []

    helpers.run(main)


def test_many_jobs_that_are_cancelled_at_once_stop_in_time() -> None:
    """Guards against stops whose connections the executor resets.

    Of 256 tasks that clients cancelled at once, half ran on (review/12).
    """

    async def main() -> None:
        job_ids = [ids.JobId(f'{number:016x}') for number in range(16)]
        async with served_fleet.running_fleet(3) as (fleet, term):
            for job_id in job_ids:
                fleet.submit(job_id, _step(16, 60.0))
            await builders.wait_until(
                lambda: sum(map(fleet.running, job_ids)) == 256, seconds=10.0
            )
            cancelled_at = time.monotonic()
            for job_id in job_ids:
                fleet.cancel(job_id)
            await builders.wait_until(
                lambda: not sum(map(fleet.running, job_ids)),
                seconds=CANCEL_SECONDS,
            )
            assert time.monotonic() - cancelled_at < CANCEL_SECONDS
            await curio.sleep(0.5)
            assert fleet.resets == 0

    helpers.run(main)


async def _occupy(fleet: served_fleet.ServedFleet,
                  count: int) -> list[client.Connection]:
    """Hold connections to each worker, as suspended leaders do."""
    held = []
    for worker in fleet.workers:
        for _ in range(count):
            opened = await client.connect(worker.server.address)
            held.append(opened.ok_value)
    await curio.sleep(0.1)
    return held


@pytest.mark.parametrize('held', [48, 60])
def test_former_leaders_that_hold_connections_leave_a_share(held: int) -> None:
    """Guards against a leader whose orders all meet the executor's limit.

    Three suspended leaders hold 48 connections; with 60 the orders must do
    with those that are left.
    """

    async def main() -> None:
        async with served_fleet.running_fleet(2) as (fleet, term):
            connections = await _occupy(fleet, held)
            fleet.submit(JOB, _step(400, 1.0))
            await builders.wait_until(
                lambda: _has_succeeded(term), seconds=20.0
            )
            assert held > 48 or fleet.resets == 0
            # Each time the number of orders grows again, one may be reset.
            assert fleet.resets < 40
            assert fleet.checker.violations == []
            for connection in connections:
                await connection.close()

    helpers.run(main)


def test_renewals_do_not_wait_for_slow_orders() -> None:
    """Guards against a lease that ends because starts use all connections."""

    async def main() -> None:
        async with served_fleet.running_fleet(1) as (fleet, term):
            [worker] = fleet.workers
            worker.delay = 0.5
            fleet.submit(JOB, _step(200, 30.0))
            await curio.sleep(3.0)
            renewals = [at for at, path in worker.calls if path == '/hold']
            pauses = [
                after - before
                for before, after in zip(renewals[1:], renewals[2:])
            ]
            assert worker.count('/run-start') > 15
            assert max(pauses) < 1.5
            assert not term.state.workers_by_id[ids.WorkerId('w0')].silent

    helpers.run(main)


def test_stops_overtake_starts_and_the_starts_of_ended_runs() -> None:
    """Guards against a cancelled task behind hundreds of waiting starts.

    What waits of a job that is cancelled is not started any more.
    """

    async def main() -> None:
        async with served_fleet.running_fleet(1) as (fleet, term):
            [worker] = fleet.workers
            fleet.submit(OTHER, _step(40, 60.0))
            await builders.wait_until(
                lambda: fleet.running(OTHER) == 40, seconds=10.0
            )
            worker.delay = 0.1
            fleet.submit(JOB, _step(400, 60.0))
            await builders.wait_until(lambda: fleet.running(JOB) > 10)
            fleet.cancel(OTHER)
            await builders.wait_until(
                lambda: not fleet.running(OTHER), seconds=CANCEL_SECONDS
            )
            started = worker.count('/run-start')
            assert started < 40 + 200
            fleet.cancel(JOB)
            await builders.wait_until(
                lambda: not fleet.running(JOB), seconds=CANCEL_SECONDS
            )
            # Requests that were on their way when it was cancelled.
            assert worker.count('/run-start') < started + 60
            assert fleet.resets == 0
            assert fleet.checker.violations == []

    helpers.run(main)


def test_lost_orders_do_not_hold_up_the_others() -> None:
    """Guards against stops that come one after the other for lost answers.

    Of the orders to each worker a tenth is lost while jobs are cancelled.
    """

    async def main() -> None:
        async with served_fleet.running_fleet(2) as (fleet, term):
            fleet.submit(JOB, _step(200, 60.0))
            await builders.wait_until(
                lambda: fleet.running(JOB) == 200, seconds=10.0
            )
            for worker in fleet.workers:
                worker.unanswered_share = 0.1
            fleet.cancel(JOB)
            await builders.wait_until(
                lambda: not fleet.running(JOB), seconds=CANCEL_SECONDS
            )
            assert fleet.resets == 0

    helpers.run(main)


def test_lack_of_connections_does_not_make_workers_silent() -> None:
    """Guards against runs that are lost because this host has no sockets.

    What could not be sent waits; its worker still gets work.
    """

    async def main() -> None:
        # An eighth of them is for orders.
        sockets = 16 * 8
        async with served_fleet.running_fleet(6,
                                              max_sockets=sockets) as (fleet,
                                                                       term):
            for worker in fleet.workers:
                worker.delay = 0.02
            # 50 on each worker.
            fleet.submit(JOB, _step(300, 0.5, antiAffinity=50))
            await builders.wait_until(
                lambda: _has_succeeded(term), seconds=20.0
            )
            assert fleet.refused > 0
            assert fleet.checker.start_count == 300
            assert fleet.checker.violations == []
            for worker in term.state.workers_by_id.values():
                assert not worker.silent
                assert worker.reachable

    helpers.run(main)


def test_starts_for_a_worker_that_refuses_connections_go_elsewhere() -> None:
    """Guards against tasks that wait for the lease of an unreached worker.

    They were never sent, so they can start elsewhere at once.
    """

    async def main() -> None:
        async with served_fleet.running_fleet(2) as (fleet, term):
            await fleet.workers[0].server.drain(limit=0.0)
            fleet.submit(JOB, _step(40, 60.0))
            # Less than the lease of 8 s that the worker may still have.
            await builders.wait_until(
                lambda: fleet.running(JOB) == 40, seconds=4.0
            )
            assert fleet.checker.violations == []

    helpers.run(main)
