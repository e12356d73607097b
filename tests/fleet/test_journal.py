"""Journal: lost answers, late writes and changes of leader."""
from __future__ import annotations

import curio
import pytest

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import journal
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
