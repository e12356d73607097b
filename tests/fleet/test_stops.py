"""Runs that must end, whichever leader learns of them."""
from __future__ import annotations

import typing

import curio
import pytest
import result

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import leader
from nutmegworks.model import ids
from nutmegworks.policy import run_stops
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

JOB = ids.JobId('a1')
OTHER = ids.JobId('a2')
W1 = ids.WorkerId('w1')
FIRST_RUN = workers.RunNumber(1)
# A run without progress would be stopped as stalled after a tenth of this.
LONG_MS: typing.Final = 100_000


def _fleet(
    *worker_ids: str
) -> tuple[memory.MemoryStore, memory.MemoryWorkers]:
    store = memory.MemoryStore()
    for worker_id in worker_ids or ('w1', ):
        builders.put_worker(store, worker_id)
    return store, memory.MemoryWorkers()


class _Connections(interfaces.WorkerClient):
    """Requests of one leader, whose process or network may end.

    :ivar ended: no request arrives any more.
    :ivar stops_lost: no stop request arrives.
    """

    def __init__(self, fleet: memory.MemoryWorkers) -> None:
        self.ended = False
        self.stops_lost = False
        self._fleet = fleet

    async def start(
        self,
        *args: typing.Any,
        **fields: typing.Any,
    ) -> workers.StartOutcome:
        if self.ended:
            return workers.StartOutcome.UNKNOWN
        return await self._fleet.start(*args, **fields)

    async def stop(
        self,
        *args: typing.Any,
        **fields: typing.Any,
    ) -> result.Result[bool, interfaces.CallError]:
        if self.ended or self.stops_lost:
            return result.Err(interfaces.CallError('silent'))
        return await self._fleet.stop(*args, **fields)

    async def renew(
        self,
        *args: typing.Any,
        **fields: typing.Any,
    ) -> result.Result[workers.Report | None, interfaces.CallError]:
        if self.ended:
            return result.Err(interfaces.CallError('silent'))
        return await self._fleet.renew(*args, **fields)


def _put_progress(
    store: memory.MemoryStore,
    progress: records.Progress,
) -> None:
    store.put(records.progress_key(JOB), records.encode(progress))


def _run(
    fleet: memory.MemoryWorkers,
    job_id: ids.JobId = JOB,
    index: int = 0,
) -> None:
    """Let w1 run a task of the first step."""
    task = spec.TaskKey.parse(f'{job_id}.0.0.{index}')
    fleet.running_by_id.setdefault(W1, {})[(task, FIRST_RUN)] = ''


def _running(fleet: memory.MemoryWorkers) -> int:
    return sum(len(runs) for runs in fleet.running_by_id.values())


async def _expect_all_stopped(fleet: memory.MemoryWorkers) -> None:
    await builders.wait_until(lambda: not _running(fleet))


def test_next_leader_stops_the_run_of_a_cancelled_job() -> None:
    """Guards against a cancelled task that holds its accelerators for ever.

    The worker could not be reached when the job was cancelled, and the leader
    ended before it could.
    """

    async def main() -> None:
        store, fleet = _fleet()
        connections = _Connections(fleet)
        async with builders.running_term(store, connections) as term:
            builders.put_job(
                store, JOB, builders.accepted(builders.step(longRunning=True))
            )
            await builders.wait_until(lambda: fleet.starts)
            fleet.unreachable.add(W1)
            store.put(records.cancel_key(JOB), b'{}')
            await builders.wait_until(
                lambda: term.state.public_state(JOB) is records.JobState.
                CANCELLED
            )
        connections.ended = True
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            fleet.unreachable.clear()
            await _expect_all_stopped(fleet)
            await builders.wait_until(
                lambda: not builders.progress(store, JOB).assigned
            )

    helpers.run(main)


def test_next_leader_stops_the_remaining_runs_of_a_failed_job() -> None:
    """Guards against tasks that go on after their job was given up."""

    async def main() -> None:
        store, fleet = _fleet()
        connections = _Connections(fleet)
        async with builders.running_term(store, connections) as term:
            step = builders.step(2, estimatedMs=LONG_MS)
            builders.put_job(store, JOB, builders.accepted(step, attempts=1))
            await builders.wait_until(lambda: len(fleet.starts) == 2)
            connections.stops_lost = True
            task = fleet.starts[0][1].task
            fleet.end(W1, task, FIRST_RUN, workers.EndKind.FAILED)
            await builders.wait_until(
                lambda: term.state.public_state(JOB) is records.JobState.FAILED
            )
            assert _running(fleet) == 1
        connections.ended = True
        async with builders.running_term(store, fleet):
            await _expect_all_stopped(fleet)

    helpers.run(main)


@pytest.mark.parametrize(
    'progress',
    [
        records.Progress(
            state=records.JobState.ACTIVE,
            done={'0.0': [0]},
            runs={'0.0.0': 1},
            assigned={'0.0.0': records.Assignment('w1', 1, 1)},
        ),
        records.Progress(
            state=records.JobState.ACTIVE,
            runs={'0.0': 1},
            assigned={'0.0.0': records.Assignment('w1', 1, 1)},
        ),
    ],
    ids=['task done', 'member of a gang missing'],
)
def test_next_leader_stops_what_is_not_needed_any_more(
    progress: records.Progress,
) -> None:
    """Guards against the second run of a task, and a gang without a member.

    The earlier leader ended before its stop request was answered.
    """

    async def main() -> None:
        store, fleet = _fleet()
        step = builders.step(
            2, estimatedMs=LONG_MS, gang='0.0' in progress.runs
        )
        builders.put_job(store, JOB, builders.accepted(step))
        _put_progress(store, progress)
        _run(fleet)
        key = spec.TaskKey.parse(f'{JOB}.0.0.0'), FIRST_RUN
        async with builders.running_term(store, fleet):
            await builders.wait_until(
                lambda: key not in fleet.running_by_id[W1]
            )

    helpers.run(main)


def test_next_leader_keeps_a_whole_gang() -> None:
    """Guards against work that is lost with each change of leader."""

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet):
            builders.put_job(
                store, JOB, builders.accepted(builders.step(3, gang=True))
            )
            await builders.wait_until(lambda: len(fleet.starts) == 3)
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            await curio.sleep(0.3)
            assert _running(fleet) == 3

    helpers.run(main)


@pytest.mark.parametrize('record', ['none', 'job', 'progress'])
def test_run_of_an_unknown_job_is_stopped(record: str) -> None:
    """Guards against a run that lasts as long as its worker's lease.

    Its job has been removed, or one of its records can't be read.
    """

    async def main() -> None:
        store, fleet = _fleet()
        if record == 'job':
            store.put(records.job_key(JOB), b'{')
        if record == 'progress':
            builders.put_job(store, JOB, builders.accepted())
            store.put(records.progress_key(JOB), b'{')
        _run(fleet)
        async with builders.running_term(store, fleet):
            await _expect_all_stopped(fleet)
            # Its end is acknowledged as any other.
            await builders.wait_until(lambda: not fleet.ended_by_id[W1])

    helpers.run(main)


def test_nothing_starts_beside_a_run_of_unknown_size() -> None:
    """Guards against a start over the capacity of its worker.

    A run uses its resources until it has ended.
    """

    async def main() -> None:
        store, fleet = _fleet()
        _run(fleet)
        connections = _Connections(fleet)
        connections.stops_lost = True
        async with builders.running_term(store, connections) as term:
            await builders.wait_until(
                lambda: any(
                    worker.runs_by_key
                    for worker in term.state.workers_by_id.values()
                )
            )
            builders.put_job(store, OTHER, builders.accepted())
            await curio.sleep(0.4)
            assert not fleet.starts
            connections.stops_lost = False
            await builders.wait_until(lambda: fleet.starts)

    helpers.run(main)


def test_stop_is_repeated_while_the_run_is_listed(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a late start after the answer to the stop request.

    The worker answers the stop request, starts anew, and carries out the start
    request.
    """
    monkeypatch.setattr(run_stops, 'STOP_REPEAT_SECONDS', 0.1)

    async def main() -> None:
        store, fleet = _fleet()
        fleet.ignored_stops = 1
        async with builders.running_term(store, fleet):
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            store.put(records.cancel_key(JOB), b'{}')
            await _expect_all_stopped(fleet)
            assert not fleet.ignored_stops

    helpers.run(main)


def test_stop_is_repeated_at_the_next_incarnation() -> None:
    """Guards against a start request that reaches a later incarnation.

    The stop request was answered by the one before, whose reports never listed
    the run.
    """

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            run, = term.state.jobs_by_id[JOB].runs_by_task.values()
            fleet.unreachable.add(W1)
            fleet.running_by_id.clear()
            term.state.stop_run(run, 'test')
            run.confirmed_at = 0.0
            run.first_percent = None
            term.state.runs_to_stop.clear()
            builders.put_worker(store, 'w1', born=2)
            _run(fleet)
            fleet.unreachable.clear()
            await _expect_all_stopped(fleet)

    helpers.run(main)


def test_job_is_not_forgotten_before_its_runs_have_ended(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a run that no later leader knows of."""
    monkeypatch.setattr(leader, 'CLEANUP_INTERVAL_SECONDS', 0.05)

    async def main() -> None:
        store, fleet = _fleet()
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            fleet.unreachable.add(W1)
            store.put(records.cancel_key(JOB), b'{}')
            await builders.wait_until(
                lambda: term.state.public_state(JOB) is records.JobState.
                CANCELLED
            )
            term._retention_seconds = -1000.0
            await curio.sleep(0.3)
            assert term.state.public_state(JOB) is records.JobState.CANCELLED
            assert records.job_key(JOB) in store.item_by_key
            fleet.unreachable.clear()
            await builders.wait_until(
                lambda: records.job_key(JOB) not in store.item_by_key
            )
            assert not _running(fleet)

    helpers.run(main)
