"""What becomes of a run whose order did not get a plain answer."""
from __future__ import annotations

import typing

import curio
import pytest
import result

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.platform import wire
from nutmegworks.tasks import records
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

JOB: typing.Final = ids.JobId('00000000000000aa')
W1: typing.Final = ids.WorkerId('w1')
Outcome = workers.StartOutcome


class _OddWorkers(memory.MemoryWorkers):
    """Workers whose first orders end in another way.

    :ivar start_outcomes: of the first starts; what is raised if it is an
        exception. Those that reach the worker take effect.
    :ivar stop_outcomes: of the first stops.
    :ivar start_seconds: for which each start is under way.
    """

    def __init__(self) -> None:
        super().__init__()
        self.start_outcomes: list[Outcome | Exception] = []
        self.stop_outcomes: list[interfaces.Delivery | Exception] = []
        self.start_seconds = 0.0
        self.stop_count = 0
        self.disconnects = 0

    async def disconnect(self) -> None:
        self.disconnects += 1

    async def start(
        self,
        worker: workers.WorkerEntry,
        request: workers.StartRequest,
        *,
        fresh: bool = False,
    ) -> Outcome:
        await curio.sleep(self.start_seconds)
        if not self.start_outcomes:
            return await super().start(worker, request, fresh=fresh)
        outcome = self.start_outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        if outcome is Outcome.BROKEN:
            await super().start(worker, request, fresh=fresh)
        return outcome

    async def stop(self, *args: typing.Any, **fields: typing.Any):
        self.stop_count += 1
        if not self.stop_outcomes:
            return await super().stop(*args, **fields)
        outcome = self.stop_outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return result.Err(interfaces.CallError('odd', delivery=outcome))


def _fleet(*worker_ids: str) -> tuple[memory.MemoryStore, _OddWorkers]:
    store = memory.MemoryStore()
    for worker_id in worker_ids:
        builders.put_worker(store, worker_id)
    return store, _OddWorkers()


@pytest.mark.parametrize(
    'outcome',
    [
        Outcome.NO_CONNECTION,
        Outcome.UNREACHED,
        Outcome.BROKEN,
        RuntimeError('odd'),
    ],
)
def test_a_start_without_an_answer_is_sent_again(
    outcome: Outcome | Exception
) -> None:
    """Guards against a run that nothing sends any more."""

    async def main() -> None:
        store, fleet = _fleet('w1')
        fleet.start_outcomes = [outcome]
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            await builders.finish(fleet, term, JOB)
            assert {request.run for _, request in fleet.starts} == {1}

    helpers.run(main)


@pytest.mark.parametrize(
    'outcome',
    [
        *(
            delivery for delivery in interfaces.Delivery
            if delivery is not interfaces.Delivery.ANSWERED
        ),
        RuntimeError('odd'),
    ],
)
def test_a_stop_without_an_answer_is_sent_again(
    outcome: interfaces.Delivery | Exception
) -> None:
    """Guards against a cancelled task that nothing stops any more."""

    async def main() -> None:
        store, fleet = _fleet('w1')
        fleet.stop_outcomes = [outcome] * 3
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            store.put(records.cancel_key(JOB), b'{}')
            await builders.wait_until(lambda: not fleet.running_by_id[W1])

    helpers.run(main)


@pytest.mark.parametrize(
    ('outcome', 'silent'),
    [
        (Outcome.NO_CONNECTION, False),
        (Outcome.UNREACHED, False),
        (Outcome.BROKEN, False),
        (Outcome.UNKNOWN, True),
    ],
)
def test_only_a_missing_answer_makes_a_worker_silent(
    outcome: Outcome,
    silent: bool,
) -> None:
    """Guards against runs that end because a request found no connection.

    The lease of a silent worker is not renewed.
    """

    async def main() -> None:
        store, fleet = _fleet('w1')
        fleet.start_outcomes = [outcome]
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(
                lambda: W1 in term.state.workers_by_id and term.state.
                workers_by_id[W1].reachable
            )
            worker = term.state.workers_by_id[W1]
            before = worker.unanswered_at
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            assert (worker.unanswered_at > before) is silent

    helpers.run(main)


def test_an_unreached_worker_gets_no_work_and_keeps_its_lease() -> None:
    """Guards against starts that fail one after the other on one worker.

    Its runs go on: renewals have a connection of their own.
    """
    store, _ = _fleet('w1')
    item = store.item_by_key['servers/w1']
    entry = wire.PlatformDecoder().worker(item.key, item.value)
    worker = fleet_worker.Worker(entry, 0.0)
    report = workers.Report(10_000, entry.incarnation, (), ())
    worker.record_answer(report, 10.0)
    assert worker.available(10.1)
    worker.unreached_at = 10.2
    assert not worker.available(10.3)
    assert worker.renewal_lease(10.3) is not None
    worker.record_answer(report, 10.4)
    assert worker.available(10.5)


def test_a_start_that_was_never_sent_is_planned_on_another_worker() -> None:
    """Guards against a task that waits for the lease of its worker."""

    async def main() -> None:
        store, fleet = _fleet('w1')
        fleet.start_outcomes = [Outcome.UNREACHED] * 1000
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: len(fleet.start_outcomes) < 1000)
            fleet.unreachable.add(W1)
            builders.put_worker(store, 'w2')
            await builders.wait_until(
                lambda: len(fleet.start_outcomes) < 990, seconds=5.0
            )
            fleet.start_outcomes.clear()
            await builders.wait_until(lambda: fleet.starts)
            assert fleet.starts[0][0] == 'w2'
            assert fleet.stop_count == 0

    helpers.run(main)


def test_a_run_that_is_stopped_before_it_was_sent_is_over() -> None:
    """Guards against room that a run holds which no worker ever had."""

    async def main() -> None:
        store, fleet = _fleet('w1')
        fleet.start_outcomes = [Outcome.UNREACHED] * 1000
        fleet.stop_outcomes = [interfaces.Delivery.UNREACHED] * 1000
        fleet.start_seconds = 0.3
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(
                lambda: any(
                    run.sent for worker in term.state.workers_by_id.values(
                    ) for run in worker.runs_by_key.values()
                )
            )
            store.put(records.cancel_key(JOB), b'{}')
            await builders.wait_until(
                lambda: not term.state.workers_by_id[W1].runs_by_key
            )
            assert not fleet.starts

    helpers.run(main)


@pytest.mark.parametrize(
    'outcome',
    [interfaces.Delivery.UNANSWERED,
     RuntimeError('odd')],
)
def test_one_stop_that_fails_at_once_is_not_sent_all_the_time(
    outcome: interfaces.Delivery | Exception
) -> None:
    """Guards against a daemon that does nothing but repeat one order.

    Other orders to the worker are answered all the while.
    """

    async def main() -> None:
        store, fleet = _fleet('w1')
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            fleet.stop_outcomes = [outcome] * 1000
            store.put(records.cancel_key(JOB), b'{}')
            for number in range(20):
                await curio.sleep(0.1)
                builders.put_job(store, f'{number:016x}', builders.accepted())
            assert 3 < fleet.stop_count < 20
            fleet.stop_outcomes.clear()
            await builders.wait_until(
                lambda: not any(
                    task.job_id == JOB for task, _ in fleet.running_by_id[W1]
                )
            )

    helpers.run(main)


def test_connections_are_closed_when_a_term_ends() -> None:
    """Guards against a former leader that keeps the next one out."""

    async def main() -> None:
        store, fleet = _fleet('w1')
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            assert not fleet.disconnects
        assert fleet.disconnects == 1

    helpers.run(main)


def test_orders_of_a_term_end_with_it() -> None:
    """Guards against stops that a former leader sends for ever."""

    async def main() -> None:
        store, fleet = _fleet('w1')
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            fleet.unreachable.add(W1)
            store.put(records.cancel_key(JOB), b'{}')
            await builders.wait_until(lambda: fleet.stop_count > 2)
        sent = fleet.stop_count
        await curio.sleep(1.2)
        assert fleet.stop_count == sent

    helpers.run(main)
