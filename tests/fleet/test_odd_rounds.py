"""Planning rounds over documents at the ends of the accepted ranges."""
from __future__ import annotations

import random
import typing

import curio
import logbook
import msgspec
import pytest

from nutmegworks.fleet import leader
from nutmegworks.model import ids
from nutmegworks.platform import wire
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

JOB = ids.JobId('a1')
JOBS = 40
WORKERS = 12
ROUNDS = 10

AMOUNTS: typing.Final = {
    'cpu': (0, 1, 1000, wire.MAX_CPU),
    'memMb': (0, 1, 100, wire.MAX_MEMORY),
    'gpu': (0, 1, 8, wire.MAX_ACCELERATORS),
}
STEP_FIELDS: typing.Final = {
    'count': (1, 2, 8),
    'estimatedMs': (0, 1e-300, 0.5, 5000, wire.MAX_DURATION_MS),
    'checkpointing': (False, True),
    'gang': (False, True),
    'sameRack': (False, True),
    'requirements': ('', 'a', 'missing', '\u00e9\n'),
    'affinity': ('', 'r1-1', '-'),
    'antiAffinity': (0, 1, 2**53),
    'allowDuplicates': (False, True),
    'longRunning': (False, True),
    'fills': (False, True),
    'mayMiss': (0, 1, 2**53),
}
JOB_FIELDS: typing.Final = {
    'repeatCount': (0, 1, 3),
    'startAtMs': (0, 1, 1_600_000_000_000, 10**13),
    'intervalMs': (0, 1e-300, 1000, wire.MAX_DURATION_MS),
}


def _pick(
    generator: random.Random,
    choices: typing.Mapping[str, typing.Sequence[object]],
) -> dict[str, object]:
    return {name: generator.choice(values) for name, values in choices.items()}


def _put_jobs(store: memory.MemoryStore, generator: random.Random) -> None:
    for number in range(JOBS):
        steps = []
        for index in range(generator.randint(1, 3)):
            fields = _pick(generator, {**AMOUNTS, **STEP_FIELDS})
            fields['after'] = sorted(
                generator.sample(range(index), generator.randint(0, index))
            )
            steps.append(fields)
        record = msgspec.structs.replace(
            builders.accepted(*steps, **_pick(generator, JOB_FIELDS)),
            priority=generator.choice((-1, 0, 1, 2**53)),
            attempts=generator.choice((-1, 0, 1, 2**53)),
            stretch=generator.choice((-1.0, 0.0, 1e-300, 3.0, 1e300)),
            target=generator.choice((-1.0, 0.0, 1e300)),
            accepted_at=generator.choice((-1e300, 0.0, 1e300)),
        )
        builders.put_job(store, f'odd{number}', record)


def _put_workers(store: memory.MemoryStore, generator: random.Random) -> None:
    for number in range(WORKERS):
        builders.put_worker(
            store,
            f'odd{number}',
            capacity=_pick(generator, AMOUNTS),
            labels=generator.choice(
                ([], ['a'], ['', '-', 'r', 'r-', 'r1-1', 'r1-1'])
            ),
            state=generator.choice(('ready', 'ready', 'draining')),
            remainingMs=generator.choice((None, -1e308, 0, 1e308)),
            born=generator.choice((0, 1, 10**13)),
        )


def _report_extreme_progress(
    term: leader.Term, generator: random.Random
) -> None:
    """Make the runs look as fast and as slow as reports can make them."""
    for worker in term.state.workers_by_id.values():
        for run in worker.runs_by_key.values():
            run.record_progress(
                generator.choice((0, 1, 99, 100)), '', worker.clock_at
            )


@pytest.mark.parametrize('seed', range(4))
def test_extreme_documents_end_no_term(seed: int) -> None:
    """Guards against arithmetic that fails for a value that is accepted."""
    generator = random.Random(seed)

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        _put_workers(store, generator)
        _put_jobs(store, generator)
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: fleet.starts)
            for _ in range(ROUNDS):
                _report_extreme_progress(term, generator)
                builders.end_all_runs(
                    fleet, generator.choice(list(workers.EndKind))
                )
                await term.state.notify()
                await curio.sleep(0.05)
            builders.put_worker(store, 'late', labels=['sound', 'r1-1'])
            sound = builders.accepted(builders.step(2, requirements='sound'))
            builders.put_job(
                store, JOB, msgspec.structs.replace(sound, priority=-2)
            )
            await builders.finish(fleet, term, JOB)

    with logbook.TestHandler() as log:
        helpers.run(main)
    assert not log.has_errors, log.formatted_records
