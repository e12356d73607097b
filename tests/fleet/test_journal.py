"""Journal: answers that are lost, writes that land late, a newer leader."""
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


class _Journaling:
    """A journal of one job whose record is set by the test."""

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


def test_a_lost_answer_is_no_reason_to_stop() -> None:
    """The write took effect; the sequence key shows it."""

    async def main() -> None:
        given = _Journaling()
        await given.start()
        given.store.lose_answers = 1
        await given.journal.persist([JOB])
        given.value = b'2'
        await given.journal.persist([JOB])
        assert given.stored() == b'2'
        await given.task.cancel()

    helpers.run(main)


def test_a_late_write_does_not_replace_a_newer_one() -> None:
    """A finished task that is forgotten would run a second time."""

    async def main() -> None:
        given = _Journaling()
        await given.start()
        given.store.hold_commits = True
        waiting = await curio.spawn(given.journal.persist, [JOB])
        await curio.sleep(0.05)
        given.store.hold_commits = False
        await waiting.join()
        given.value = b'2'
        await given.journal.persist([JOB])

        landed = given.store.land_late()

        assert {commit.outcome
                for commit in landed} == {interfaces.CommitOutcome.CONFLICT}
        assert given.stored() == b'2'
        await given.task.cancel()

    helpers.run(main)


def test_a_deposed_leader_writes_nothing() -> None:
    """Its records are older than those of the new leader."""

    async def main() -> None:
        given = _Journaling()
        await given.start()
        given.store.put(records.LEADER_KEY, b'{}')
        await curio.spawn(given.journal.persist, [JOB], daemon=True)
        with pytest.raises(curio.TaskError) as caught:
            await given.task.join()
        assert isinstance(caught.value.__cause__, journal.DeposedError)
        assert KEY not in given.store.item_by_key

    helpers.run(main)


def test_waiting_without_changes_ends() -> None:
    """An acknowledgement without changes of its own would wait for ever."""

    async def main() -> None:
        given = _Journaling()
        await given.start()
        async with curio.timeout_after(1.0):
            await given.journal.persist([])
        await given.task.cancel()

    helpers.run(main)


def test_a_large_batch_is_divided() -> None:
    """After an outage many records change at once; the store takes 32."""

    async def main() -> None:
        given = _Journaling()
        await given.start()
        job_ids = [ids.JobId(f'{number:x}') for number in range(75)]
        async with curio.timeout_after(2.0):
            await given.journal.persist(job_ids)
        stored = [
            key for key in given.store.item_by_key
            if key.startswith(records.PROGRESS_PREFIX)
        ]
        assert len(stored) == 75
        await given.task.cancel()

    helpers.run(main)
