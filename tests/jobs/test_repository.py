from __future__ import annotations

import pytest

from nutmegworks.adapters import httpstore
from nutmegworks.adapters import store
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.model import ids
from standins import store as stand_in
from tests import builders
from tests import helpers


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
