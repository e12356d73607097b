"""Journal: lost answers, late writes and changes of leader."""
from __future__ import annotations

import curio
import pytest

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import journal
from nutmegworks.fleet import leader
from nutmegworks.model import ids
from nutmegworks.tasks import records
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers

JOB = ids.JobId('a1')
KEY = records.progress_key(JOB)


class _JournalFixture:
    """A running journal; each job's record is the value that a test sets."""

    def __init__(self) -> None:
        self.store = memory.MemoryStore()
        self.value = b'1'

    async def start(self) -> None:
        elected = await builders.elect(self.store)
        assert elected.leader is not None
        self.journal = journal.Journal(
            self.store, elected.leader, lambda job_id: self.value
        )
        assert await self.journal.load()
        self.task = await curio.spawn(self.journal.run, daemon=True)

    def stored(self) -> bytes:
        return self.store.item_by_key[KEY].value


def test_write_with_lost_answer_counts_as_committed() -> None:
    """Guards against a journal that stops after its own write.

    The repeated transaction conflicts with the first one, which took effect;
    the value of the sequence key identifies it.
    """

    async def main() -> None:
        fixture = _JournalFixture()
        await fixture.start()
        fixture.store.lose_answers = 1
        await fixture.journal.persist([JOB])
        fixture.value = b'2'
        await fixture.journal.persist([JOB])
        assert fixture.stored() == b'2'
        await fixture.task.cancel()

    helpers.run(main)


def test_late_write_does_not_overwrite_a_newer_one() -> None:
    """Guards against a finished task that runs again for a lost record."""

    async def main() -> None:
        fixture = _JournalFixture()
        await fixture.start()
        fixture.store.hold_commits = True
        waiting = await curio.spawn(fixture.journal.persist, [JOB])
        await curio.sleep(0.05)
        fixture.store.hold_commits = False
        await waiting.join()
        fixture.value = b'2'
        await fixture.journal.persist([JOB])

        late_commits = fixture.store.apply_held_commits()

        assert {commit.outcome
                for commit in late_commits
                } == {interfaces.CommitOutcome.CONFLICT}
        assert fixture.stored() == b'2'
        await fixture.task.cancel()

    helpers.run(main)


def test_former_leader_writes_nothing() -> None:
    """Guards against old records that overwrite those of a new leader."""

    async def main() -> None:
        fixture = _JournalFixture()
        await fixture.start()
        fixture.store.put(records.LEADER_KEY, b'{}')
        await curio.spawn(fixture.journal.persist, [JOB], daemon=True)
        with pytest.raises(curio.TaskError) as caught:
            await fixture.task.join()
        assert isinstance(caught.value.__cause__, journal.LeadershipLostError)
        assert KEY not in fixture.store.item_by_key

    helpers.run(main)


def test_persist_without_changes_returns() -> None:
    """Guards against an acknowledgement that waits forever.

    It may have no changes of its own to store.
    """

    async def main() -> None:
        fixture = _JournalFixture()
        await fixture.start()
        async with curio.timeout_after(1.0):
            await fixture.journal.persist([])
        await fixture.task.cancel()

    helpers.run(main)


def test_large_batch_is_split() -> None:
    """Guards against transactions above the store's limit of 32 entries.

    After an outage many records change at once.
    """

    async def main() -> None:
        fixture = _JournalFixture()
        await fixture.start()
        job_ids = [ids.JobId(f'{number:x}') for number in range(75)]
        async with curio.timeout_after(2.0):
            await fixture.journal.persist(job_ids)
        stored = [
            key for key in fixture.store.item_by_key
            if key.startswith(records.PROGRESS_PREFIX)
        ]
        assert len(stored) == 75
        await fixture.task.cancel()

    helpers.run(main)


def _put_ended_jobs(store: memory.MemoryStore, count: int) -> None:
    """Store jobs that succeeded long ago."""
    progress = records.Progress(
        state=records.JobState.SUCCEEDED, done={'0.0': [0]}, ended_at=1.0
    )
    for number in range(count):
        job_id = ids.JobId(f'{number:x}')
        builders.put_job(store, job_id, builders.accepted())
        store.put(records.progress_key(job_id), records.encode(progress))


class _EndingStore(memory.MemoryStore):
    """A store that is down after a number of removals of jobs.

    :ivar removals_left: number of such transactions before it is down.
    """

    def __init__(self) -> None:
        super().__init__()
        self.removals_left = -1

    def _apply(
        self,
        transaction: interfaces.Transaction,
    ) -> interfaces.Commit:
        commit = super()._apply(transaction)
        if transaction.removed:
            self.removals_left -= 1
            self.down = self.removals_left == 0
        return commit


@pytest.mark.parametrize('removals', [1, 2, 3])
def test_job_is_removed_with_its_progress(
    monkeypatch: pytest.MonkeyPatch,
    removals: int,
) -> None:
    """Guards against a finished job that the next leader runs again.

    The leader ends between two transactions that remove jobs.
    """
    monkeypatch.setattr(leader, 'CLEANUP_INTERVAL_SECONDS', 0.05)

    async def main() -> None:
        store = _EndingStore()
        store.removals_left = removals
        builders.put_worker(store, 'w1')
        fleet = memory.MemoryWorkers()
        _put_ended_jobs(store, 40)
        async with builders.running_term(store, fleet):
            await builders.wait_until(lambda: store.down)
        monkeypatch.setattr(leader, 'CLEANUP_INTERVAL_SECONDS', 60.0)
        store.down = False
        assert any(
            key.startswith(records.JOBS_PREFIX) for key in store.item_by_key
        )
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            await curio.sleep(0.3)
            assert fleet.starts == []

    helpers.run(main)


@pytest.mark.parametrize('value', [b'{}', b'{'])
def test_progress_without_a_job_is_removed(value: bytes) -> None:
    """Guards against records that stay in the store for ever.

    A job whose own record can't be decoded keeps its progress.
    """

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        store.put(KEY, value)
        kept = ids.JobId('b2')
        store.put(records.job_key(kept), b'{')
        store.put(records.progress_key(kept), value)
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: KEY not in store.item_by_key)
            assert JOB in term.state.removed_ids
            await curio.sleep(0.1)
            assert records.progress_key(kept) in store.item_by_key
            # The term goes on and stores what happens.
            builders.put_worker(store, 'w1')
            builders.put_job(store, 'c3', builders.accepted())
            await builders.wait_until(lambda: fleet.starts)

    helpers.run(main)


def test_progress_is_kept_if_its_job_comes_back() -> None:
    """Guards against a job that loses its progress in a race.

    The job is stored after the listing in which it was missing.
    """

    async def main() -> None:
        fixture = _JournalFixture()
        await fixture.start()
        fixture.store.put(KEY, b'{}')
        builders.put_job(fixture.store, JOB, builders.accepted())
        assert not await fixture.journal.remove_orphan(JOB)
        assert KEY in fixture.store.item_by_key
        await fixture.journal.persist([JOB])
        assert fixture.stored() == b'1'
        fixture.store.remove(records.job_key(JOB))
        fixture.store.lose_answers = 1
        assert await fixture.journal.remove_orphan(JOB)
        assert KEY not in fixture.store.item_by_key
        await fixture.task.cancel()

    helpers.run(main)
