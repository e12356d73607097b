from __future__ import annotations

import msgspec
import pytest

from nutmegworks.adapters import httpstore
from nutmegworks.adapters import store
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.model import ids
from nutmegworks.policy import events
from standins import store as stand_in
from tests import builders
from tests import helpers
from tests import memory_store


def test_write_with_lost_answer_is_neither_repeated_nor_missed() -> None:
    """A commit whose response was lost must be recognized as committed.

    This includes a record that another daemon has changed since.
    """

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            client = httpstore.HttpStore(address)
            jobs = repository.JobRepository(client)
            fake.faults.lose_answers = 1
            stored = (await jobs.create(builders.job_record())).ok_value
            fake.faults.lose_answers = 1
            stored = (
                await jobs.update(stored, state=record.JobState.COMMITTED)
            ).ok_value
            assert len(stored.record.writes) == 2
            entry = await client.get(
                record.store_key(stored.record.shard_id, stored.record.job_id)
            )
            assert entry.ok_value.revision == stored.revision
            changed = (
                await jobs.update(stored, cancel_requested=True)
            ).ok_value
            assert stored.record.writes[-1] in changed.record.writes
            outdated = await jobs.update(stored, state=record.JobState.DONE)
            assert outdated.err_value.fault is store.StoreFault.CONFLICT

    helpers.run(main)


def test_unresolved_write_is_unknown() -> None:
    """A write that may have taken effect must not be reported as refused."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            jobs = repository.JobRepository(httpstore.HttpStore(address))
            fake.faults.drop_writes = -1
            answer = await jobs.create(builders.job_record())
            assert answer.err_value.fault is store.StoreFault.UNKNOWN
            fake.faults = stand_in.Faults(down=True)
            answer = await jobs.create(builders.job_record())
            assert answer.err_value.fault is store.StoreFault.UNAVAILABLE

    helpers.run(main)


def test_stale_read_after_lost_answer() -> None:
    """A stale read must not make a write that took effect look refused."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            jobs = repository.JobRepository(httpstore.HttpStore(address))
            stored = (await jobs.create(builders.job_record())).ok_value
            fake.faults = stand_in.Faults(lose_answers=1, stale_reads=1)
            answer = await jobs.update(stored, state=record.JobState.COMMITTED)
            assert answer.err_value.fault is store.StoreFault.UNKNOWN

    helpers.run(main)


def odd_values() -> dict[str, bytes]:
    """Return values that are no usable job records, by what is wrong."""
    job = builders.job_record()
    run = record.Run(
        run_id=record.run_id(job.job_id, 1),
        attempt=1,
        fencing_token=ids.FencingToken(1),
        members=(events.Member(ids.WorkerId('w'), (0, 1)), ),
        commit_id='c',
        committed_at=1.0,
    )
    committed = {'state': record.JobState.COMMITTED}
    huge = events.Member(ids.WorkerId('w'), (10**12, ))
    odd_by_name = {
        'no shape': {
            'shape': 'large'
        },
        'no run time': {
            'run_time': float('nan')
        },
        'no time of acceptance': {
            'accepted_at': float('inf')
        },
        'huge accelerator': {
            **committed, 'run': msgspec.structs.replace(run, members=(huge, ))
        },
    }
    values = {
        name: record.encode(msgspec.structs.replace(job, **changes))
        for name, changes in odd_by_name.items()
    }
    sound = msgspec.structs.replace(job, run=run, **committed)
    assert record.decode(record.encode(sound)) == sound
    return {
        **values,
        'empty': b'',
        'nested': b'\x81\xa1x' + b'\x91' * 100_000,
        'of another shard': record.encode(builders.job_record(shard='x')),
        'another job': record.encode(builders.job_record('1-b')),
    }


@pytest.mark.parametrize('name', list(odd_values()))
def test_odd_record_blocks_no_other(name: str) -> None:
    """A record that can't be used must not end the owner of its shard."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            client = httpstore.HttpStore(address)
            jobs = repository.JobRepository(client)
            sound = (await jobs.create(builders.job_record('1-z'))).ok_value
            odd = builders.job_record()
            await client.put(
                record.store_key(odd.shard_id, odd.job_id),
                odd_values()[name],
                expected=store.ABSENT,
            )
            loaded = (await jobs.load(odd.shard_id)).ok_value
            assert [item.record for item in loaded.jobs] == [sound.record]
            read = await jobs.get(odd.shard_id, odd.job_id)
            assert read.err_value.fault is store.StoreFault.UNKNOWN
            created = await jobs.create(odd)
            assert created.err_value.fault is store.StoreFault.UNKNOWN

    helpers.run(main)


@pytest.mark.parametrize('value', [b'', b'\x81\xa1x' + b'\x91' * 100_000])
def test_odd_binding_is_of_unknown_effect(value: bytes) -> None:
    """A key whose binding can't be read may be bound to a job."""

    async def main() -> None:
        backend = memory_store.MemoryStore()
        jobs = repository.JobRepository(backend)
        job = builders.job_record()
        key = record.KEY_PREFIX + job.job_id
        await backend.put(key, value, expected=store.ABSENT)
        requested = record.KeyRecord(
            job.team_id, job.idempotency_key, job.shard_id, 'digest', ''
        )
        for call in (
                jobs.get_key(job.job_id),
                jobs.bind_key(job.job_id, requested),
        ):
            read = await call
            assert read.err_value.fault is store.StoreFault.UNKNOWN

    helpers.run(main)


@pytest.mark.parametrize(
    'final', ['done', 'failed', 'cancelled', 'may-have-run']
)
def test_ended_job_does_not_change(final: str) -> None:
    """A job that ended must not end a second time or run again."""
    job = builders.job_record()
    ended = record.apply_changes(
        record.apply_changes(job, 'w1', {'state': record.JobState.COMMITTED}),
        'w2',
        {'state': record.JobState(final)},
    )
    for state in record.JobState:
        with pytest.raises(record.TransitionError):
            record.apply_changes(ended, 'w3', {'state': state})


def test_ids_of_different_keys_differ() -> None:
    """A letter moved from the team to the key must not give the same id."""
    first = record.job_id(ids.TeamId('ab'), ids.IdempotencyKey('c'))
    second = record.job_id(ids.TeamId('a'), ids.IdempotencyKey('bc'))
    assert first != second
