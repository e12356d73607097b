"""Odd records of jobs and of their progress, in a term of leadership."""
from __future__ import annotations

import msgspec
import pytest

from nutmegworks.model import ids
from nutmegworks.tasks import records
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers
from tests import odd_documents

JOB = ids.JobId('a1')


def odd_job_records() -> dict[str, bytes]:
    good = builders.accepted()
    document = msgspec.json.decode(records.encode(good))
    return {
        'nested':
        odd_documents.nested(document),
        'not JSON':
        b'\xff',
        'nested body':
        records.encode(
            msgspec.structs.replace(
                good,
                body=odd_documents.nested({'steps': [builders.step()]}),
            )
        ),
        'more tasks than any term can plan':
        records.encode(
            msgspec.structs.replace(
                good, body=b'{"steps":[{"count":100000000000}]}'
            )
        ),
    }


@pytest.mark.parametrize('name', odd_job_records())
def test_an_odd_job_record_is_passed_over(name: str) -> None:
    """Guards against a term that ends, or never leaves a planning round."""

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        builders.put_worker(store, 'w1')
        odd_id = ids.JobId('b2')
        store.put(records.job_key(odd_id), odd_job_records()[name])
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.finish(fleet, term, JOB)
            assert len(fleet.starts) == 1
            assert term.state.public_state(odd_id) is None

    helpers.run(main)


def odd_progress_records() -> dict[str, bytes]:
    document = msgspec.json.decode(records.encode(records.Progress()))
    return {
        'nested': odd_documents.nested(document),
        'not JSON': b'\xff',
        'other type': odd_documents.with_value(document, 'runs', b'5'),
    }


@pytest.mark.parametrize('name', odd_progress_records())
def test_a_job_with_an_odd_progress_record_is_left_alone(name: str) -> None:
    """What has run is not known, so that a start could be a second one.

    The record stays as it is for a version that can read it.
    """

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        builders.put_worker(store, 'w1')
        odd_id = ids.JobId('b2')
        data = odd_progress_records()[name]
        key = records.progress_key(odd_id)
        store.put(key, data)
        builders.put_job(store, odd_id, builders.accepted())
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.finish(fleet, term, JOB)
            assert [request.task.job_id
                    for _, request in fleet.starts] == [JOB]
            assert store.item_by_key[key].value == data
            assert term.state.public_state(odd_id) is None

    helpers.run(main)


@pytest.mark.parametrize('task', ['', 'x', '0.0', '0.0.x', '0.0.-1', '0.0.9'])
def test_an_assignment_of_an_odd_task_is_passed_over(task: str) -> None:
    """Guards against a term that ends when it adopts the job's runs."""

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        builders.put_worker(store, 'w1')
        progress = records.Progress(
            assigned={task: records.Assignment('w1', 1, 1)}
        )
        store.put(records.progress_key(JOB), records.encode(progress))
        builders.put_job(store, JOB, builders.accepted())
        async with builders.running_term(store, fleet) as term:
            await builders.finish(fleet, term, JOB)

    helpers.run(main)
