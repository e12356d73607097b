"""Writes the leader's job records to the store, in order and fenced.

Each transaction requires the leader key and a sequence key to have the
revisions that the leader last read, and changes the sequence key. A write
whose response was lost can therefore not take effect after a newer write or
after a change of leader.
"""
from __future__ import annotations

import typing

import curio
import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import membership
from nutmegworks.model import ids
from nutmegworks.tasks import records

_LOG: typing.Final = logbook.Logger('journal')

# The store limits a transaction to 32 entries; two of them are the expected
# revisions and one is the write of the sequence key.
MAX_RECORDS: typing.Final = 29
# All keys of a job are removed in one transaction: without its progress, its
# tasks would start again after a change of leader.
KEYS_OF_JOB: typing.Final = 3
MAX_REMOVED_JOBS: typing.Final = MAX_RECORDS // KEYS_OF_JOB
RETRY_SECONDS: typing.Final = 0.15


class LeadershipLostError(Exception):
    """Another daemon has become the leader."""


class Journal:
    """Writes one batch of records at a time.

    :param encode: returns a job's current record, None if the job's keys are
        to be removed.
    """

    def __init__(
        self,
        store: interfaces.Store,
        leadership: membership.Leadership,
        encode: typing.Callable[[ids.JobId], bytes | None],
    ) -> None:
        self._store = store
        self._leadership = leadership
        self._encode = encode
        self._sequence = interfaces.ABSENT
        self._transaction_count = 0
        self._dirty: dict[ids.JobId, None] = {}
        self._batch = curio.Event()
        self._batch_requested = curio.Event()
        self._lock = curio.Lock()

    async def load(self) -> bool:
        """Read the sequence key; return whether the store answered."""
        stored = await self._store.get(records.SEQUENCE_KEY)
        if stored.is_err():
            return False
        if stored.ok_value is not None:
            self._sequence = stored.ok_value.revision
        return True

    async def persist(self, job_ids: typing.Iterable[ids.JobId]) -> None:
        """Store the current records of jobs; return when they are stored.

        Without jobs, return when the next batch is complete; batches that
        were started earlier are complete by then too.
        """
        self._dirty.update(dict.fromkeys(job_ids))
        batch = self._batch
        await self._batch_requested.set()
        await batch.wait()

    async def run(self) -> None:
        """Write batches until cancelled.

        :raise LeadershipLostError: another daemon has become the leader.
        """
        while True:
            await self._batch_requested.wait()
            self._batch_requested.clear()
            job_ids, self._dirty = list(self._dirty), {}
            batch, self._batch = self._batch, curio.Event()
            for start in range(0, len(job_ids), MAX_RECORDS):
                await self._write(job_ids[start:start + MAX_RECORDS])
            await batch.set()

    async def _write(self, job_ids: typing.Sequence[ids.JobId]) -> None:
        writes = []
        removed_ids = []
        for job_id in job_ids:
            value = self._encode(job_id)
            if value is None:
                removed_ids.append(job_id)
                continue
            writes.append(
                interfaces.Write(records.progress_key(job_id), value)
            )
        for start in range(0, len(removed_ids), MAX_REMOVED_JOBS):
            removed: list[str] = []
            for job_id in removed_ids[start:start + MAX_REMOVED_JOBS]:
                removed += _keys_of_job(job_id)
            await self._commit((), tuple(removed))
        if writes:
            await self._commit(tuple(writes), ())

    async def remove_orphan(self, job_id: ids.JobId) -> bool:
        """Remove the progress of a job that is not stored any more.

        :return: False if the job is stored; nothing is removed then.
        :raise LeadershipLostError: another daemon has become the leader.
        """
        return await self._commit(
            (),
            (records.progress_key(job_id), ),
            absent=(records.job_key(job_id), ),
        )

    async def _commit(
        self,
        writes: tuple[interfaces.Write, ...],
        removed: tuple[str, ...],
        absent: tuple[str, ...] = (),
    ) -> bool:
        """Commit a transaction; return whether it took effect.

        :param absent: keys that must not exist; if one does, it is given up.
        """
        async with self._lock:
            return await self._commit_next(writes, removed, absent)

    async def _commit_next(
        self,
        writes: tuple[interfaces.Write, ...],
        removed: tuple[str, ...],
        absent: tuple[str, ...],
    ) -> bool:
        self._transaction_count += 1
        transaction_id = (
            f'{self._leadership.revision}:{self._transaction_count}'.encode()
        )
        writes += (interfaces.Write(records.SEQUENCE_KEY, transaction_id), )
        while True:
            transaction = interfaces.Transaction(
                {
                    records.LEADER_KEY: self._leadership.revision,
                    records.SEQUENCE_KEY: self._sequence,
                    **dict.fromkeys(absent, interfaces.ABSENT),
                },
                writes,
                removed,
            )
            result = await self._store.commit(transaction, repeatable=True)
            if result.is_err():
                _LOG.info(
                    'journal write failed', detail=result.err_value.detail
                )
                await curio.sleep(RETRY_SECONDS)
                continue
            commit = result.ok_value
            if commit.outcome is interfaces.CommitOutcome.COMMITTED:
                self._sequence = commit.revision
                return True
            if self._already_committed(commit, transaction_id):
                return True
            if any(key in commit.current_by_key for key in absent):
                return False

    def _already_committed(
        self, commit: interfaces.Commit, transaction_id: bytes
    ) -> bool:
        """Return whether an earlier attempt of this transaction took effect.

        :raise LeadershipLostError: the leader key has changed.
        """
        leader = commit.current_by_key.get(records.LEADER_KEY)
        if leader is None or leader.revision != self._leadership.revision:
            raise LeadershipLostError(records.LEADER_KEY)
        sequence = commit.current_by_key.get(records.SEQUENCE_KEY)
        if sequence is None and self._sequence == interfaces.ABSENT:
            # Nothing has been written yet; another condition did not hold.
            return False
        if sequence is None:
            raise LeadershipLostError(records.SEQUENCE_KEY)
        self._sequence = sequence.revision
        return sequence.value == transaction_id


def _keys_of_job(job_id: ids.JobId) -> tuple[str, ...]:
    return (
        records.job_key(job_id),
        records.cancel_key(job_id),
        records.progress_key(job_id),
    )


__all__ = ('Journal', 'LeadershipLostError')
