"""Writes the leader's records to the store, in order and fenced.

Each transaction expects the leader key and a sequence key at the revisions
that the leader knows, and changes the sequence key. A write whose answer was
lost can therefore not land after a newer one, nor after a change of leader.
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

# Of the 32 entries that a transaction takes, two are the expected revisions
# and one is the sequence key.
MAX_RECORDS: typing.Final = 29
RETRY_SECONDS: typing.Final = 0.15


class DeposedError(Exception):
    """Another daemon leads."""


class Journal:
    """Writes one batch at a time; callers wait for theirs."""

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
        self._number = 0
        self._dirty: dict[ids.JobId, None] = {}
        self._batch = curio.Event()
        self._wake = curio.Event()

    async def load(self) -> bool:
        """Read the sequence key; return whether the store answered."""
        found = await self._store.get(records.SEQUENCE_KEY)
        if found.is_err():
            return False
        if found.ok_value is not None:
            self._sequence = found.ok_value.revision
        return True

    async def persist(self, job_ids: typing.Iterable[ids.JobId]) -> None:
        """Return when the present records of these jobs are stored.

        Without jobs, return when the batch under way is stored.
        """
        self._dirty.update(dict.fromkeys(job_ids))
        batch = self._batch
        await self._wake.set()
        await batch.wait()

    async def run(self) -> None:
        """Write batches until cancelled.

        :raise DeposedError: another daemon leads.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            job_ids, self._dirty = list(self._dirty), {}
            done, self._batch = self._batch, curio.Event()
            for start in range(0, len(job_ids), MAX_RECORDS):
                await self._write(job_ids[start:start + MAX_RECORDS])
            await done.set()

    async def _write(self, job_ids: typing.Sequence[ids.JobId]) -> None:
        writes = []
        removed = []
        for job_id in job_ids:
            value = self._encode(job_id)
            if value is None:
                removed += [
                    records.progress_key(job_id),
                    records.cancel_key(job_id),
                    records.job_key(job_id),
                ]
                continue
            writes.append(
                interfaces.Write(records.progress_key(job_id), value)
            )
        for start in range(0, len(removed), MAX_RECORDS):
            await self._commit((), tuple(removed[start:start + MAX_RECORDS]))
        if writes:
            await self._commit(tuple(writes), ())

    async def _commit(
        self,
        writes: tuple[interfaces.Write, ...],
        removed: tuple[str, ...],
    ) -> None:
        self._number += 1
        mark = f'{self._leadership.revision}:{self._number}'.encode()
        writes += (interfaces.Write(records.SEQUENCE_KEY, mark), )
        while True:
            transaction = interfaces.Transaction(
                {
                    records.LEADER_KEY: self._leadership.revision,
                    records.SEQUENCE_KEY: self._sequence,
                },
                writes,
                removed,
            )
            outcome = await self._store.commit(transaction)
            if outcome.is_err():
                _LOG.info('write failed', detail=outcome.err_value.detail)
                await curio.sleep(RETRY_SECONDS)
                continue
            commit = outcome.ok_value
            if commit.outcome is interfaces.CommitOutcome.COMMITTED:
                self._sequence = commit.revision
                return
            if self._settled(commit, mark):
                return

    def _settled(self, commit: interfaces.Commit, mark: bytes) -> bool:
        """Return whether an earlier try of this write took effect."""
        leader = commit.current_by_key.get(records.LEADER_KEY)
        if leader is None or leader.revision != self._leadership.revision:
            raise DeposedError(records.LEADER_KEY)
        sequence = commit.current_by_key.get(records.SEQUENCE_KEY)
        if sequence is None:
            raise DeposedError(records.SEQUENCE_KEY)
        self._sequence = sequence.revision
        return sequence.value == mark


__all__ = ('DeposedError', 'Journal')
