"""One odd entry among sound ones of workers, in a term of leadership."""
from __future__ import annotations

import curio
import msgspec
import pytest

from nutmegworks.model import ids
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers
from tests import odd_documents

JOB = ids.JobId('a1')
W1 = ids.WorkerId('w1')
ODD_ID = ids.WorkerId('odd')

ODD_ENTRIES = {
    'nested':
    odd_documents.nested(builders.worker_document()),
    'large number':
    odd_documents.with_value(
        builders.worker_document(), 'born', odd_documents.LONG_NUMBER
    ),
    'port out of range':
    msgspec.json.encode(builders.worker_document(address='10.0.0.1:99999')),
    'negative capacity':
    odd_documents.with_value(
        builders.worker_document(), 'capacity', b'{"cpu":-1,"memMb":1}'
    ),
    'label that is not a string':
    odd_documents.with_value(
        builders.worker_document(), 'labels', b'[["a"],5]'
    ),
    'not JSON':
    b'\xff\xfe',
    'empty':
    b'',
}


@pytest.mark.parametrize('when', ['listed', 'watched'])
@pytest.mark.parametrize('name', ODD_ENTRIES)
def test_an_odd_worker_entry_gets_no_work_and_the_others_do(
    name: str, when: str
) -> None:
    """Guards against a term that ends whenever it reads the entry."""

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        builders.put_worker(store, 'w1')
        key = f'servers/{ODD_ID}'
        if when == 'listed':
            store.put(key, ODD_ENTRIES[name])
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            if when == 'watched':
                store.put(key, ODD_ENTRIES[name])
            # The watch that returns the entry precedes this worker's.
            builders.put_worker(store, 'w2')
            await builders.wait_until(lambda: 'w2' in term.state.workers_by_id)
            builders.put_job(store, JOB, builders.accepted(builders.step(12)))
            await builders.finish(fleet, term, JOB)
            assert {worker_id for worker_id, _ in fleet.starts} == {'w1', 'w2'}
            assert ODD_ID not in term.state.workers_by_id

    helpers.run(main)


@pytest.mark.parametrize('read', ['replace', 'apply'])
def test_a_worker_whose_entry_becomes_odd_gets_no_work(read: str) -> None:
    """A listing and a watch must agree; runs on the worker go on."""

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        builders.put_worker(store, 'w1')
        async with builders.running_term(store, fleet) as term:
            builders.put_job(store, JOB, builders.accepted())
            await builders.wait_until(lambda: fleet.starts)
            if read == 'replace':
                store.silent_watches = True
            store.put('servers/w1', ODD_ENTRIES['nested'])
            if read == 'replace':
                # A watch that has lost its history is followed by a listing.
                store.silent_watches = False
                store.drop_history()
            worker = term.state.workers_by_id[W1]
            await builders.wait_until(lambda: not worker.registered)
            builders.put_job(store, ids.JobId('a2'), builders.accepted())
            await curio.sleep(0.5)
            assert len(fleet.starts) == 1
            assert len(worker.runs_by_key) == 1
            builders.put_worker(store, 'w1')
            await builders.wait_until(lambda: len(fleet.starts) == 2)
            await builders.finish(fleet, term, JOB)
            await builders.finish(fleet, term, ids.JobId('a2'))
            assert len(fleet.starts) == 2

    helpers.run(main)
