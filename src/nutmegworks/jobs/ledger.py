"""The records of one shard as its owner knows and writes them."""
from __future__ import annotations

import collections
import time
import typing

import curio
import logbook
import result

from nutmegworks.adapters import store
from nutmegworks.jobs import gang
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.model import ids

RETRY_SECONDS: typing.Final = 0.5
# Jobs that end while the store is down must not flood it when it is back.
CONCURRENT_WRITES: typing.Final = 16
# Ends well before the staged leases that a commit relies on.
COMMIT_LIMIT_SECONDS: typing.Final = 15.0
# A watch may show a job as it was before this owner ended it.
REMEMBERED_ENDS: typing.Final = 4096

_log = logbook.Logger(__name__)

# Returns the changes to make, or None if there is nothing left to do.
Decide = typing.Callable[
    [record.JobRecord],
    dict[str, typing.Any] | None,
]


class DeposedError(Exception):
    """A record names a newer owner of the shard."""


class Ledger:
    """Job records by id, written with this owner's fencing token."""

    def __init__(
        self,
        jobs: repository.JobRepository,
        shard_id: ids.ShardId,
        fencing_token: ids.FencingToken,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._jobs = jobs
        self._shard_id = shard_id
        self._token = fencing_token
        self._clock = clock
        self._writing = curio.Semaphore(CONCURRENT_WRITES)
        self.stored_by_id: dict[ids.JobId, repository.Stored] = {}
        self._ended: collections.OrderedDict[
            ids.JobId,
            ids.StoreRevision,
        ] = collections.OrderedDict()

    def is_old(self, stored: repository.Stored) -> bool:
        """Return whether a later version of the record was seen."""
        job_id = stored.record.job_id
        known = self.stored_by_id.get(job_id)
        if known is not None:
            return known.revision > stored.revision
        return self._ended.get(job_id, store.ABSENT) >= stored.revision

    def take(self, stored: repository.Stored) -> None:
        """Note a record as read or written."""
        if not self.is_old(stored):
            self.stored_by_id[stored.record.job_id] = stored

    def get(self, job_id: ids.JobId) -> record.JobRecord | None:
        """Return a record as last seen."""
        stored = self.stored_by_id.get(job_id)
        return None if stored is None else stored.record

    def forget(self, job_id: ids.JobId) -> None:
        """Drop a job that has ended."""
        stored = self.stored_by_id.pop(job_id, None)
        if stored is None:
            return
        self._ended[job_id] = stored.revision
        if len(self._ended) > REMEMBERED_ENDS:
            self._ended.popitem(last=False)

    async def refresh(self, job_id: ids.JobId) -> bool:
        """Read a record; return whether the read succeeded."""
        answer = await self._jobs.get(self._shard_id, job_id)
        if isinstance(answer, result.Err) or answer.ok_value is None:
            return False
        self.take(answer.ok_value)
        return True

    async def write(self, job_id: ids.JobId, decide: Decide) -> None:
        """Change a record, however long the store is down.

        :param decide: asked again whenever the record turns out to differ.
        :raises DeposedError: if the record names a newer owner.
        """
        while True:
            stored = self.stored_by_id.get(job_id)
            if stored is None:
                # It ended in the meantime.
                return
            self._check_owner(stored.record)
            changes = decide(stored.record)
            if changes is None:
                return
            async with self._writing:
                answer = await self._jobs.update(stored, **changes)
                if isinstance(answer, result.Ok):
                    self.take(answer.ok_value)
                    return
                _log.warning('job {}: {}', job_id, answer.err_value)
                await self.refresh(job_id)
            await curio.sleep(RETRY_SECONDS)

    def _check_owner(self, job: record.JobRecord) -> None:
        if job.run is not None and job.run.fencing_token > self._token:
            raise DeposedError(f'job {job.job_id} has a newer owner')

    async def commit(
        self,
        job_id: ids.JobId,
        run: record.Run,
        runs: int,
    ) -> gang.CommitResult:
        """Write the record that lets a gang execute.

        :param runs: number of different run ids including this one.
        """
        deadline = self._clock() + COMMIT_LIMIT_SECONDS
        stored = self.stored_by_id[job_id]
        sent = False
        while self._clock() < deadline:
            if stored.record.state not in record.WAITING_STATES:
                return gang.CommitResult.REFUSED
            answer = await self._jobs.update(
                stored,
                state=record.JobState.COMMITTED,
                run=run,
                runs=runs,
                attempts=run.attempt,
            )
            if isinstance(answer, result.Ok):
                self.take(answer.ok_value)
                return gang.CommitResult.COMMITTED
            sent = sent or _may_have_taken_effect(answer.err_value)
            seen = await self._resolve(job_id, stored, run)
            if seen is not None:
                return seen
            await curio.sleep(RETRY_SECONDS)
        open_result = gang.CommitResult.OPEN
        return open_result if sent else gang.CommitResult.REFUSED

    async def _resolve(
        self,
        job_id: ids.JobId,
        expected: repository.Stored,
        run: record.Run,
    ) -> gang.CommitResult | None:
        """Return what became of a commit, or None if that is still open."""
        await self.refresh(job_id)
        stored = self.stored_by_id[job_id]
        if stored.revision <= expected.revision:
            return None
        present = stored.record.run
        if present is not None and present.commit_id == run.commit_id:
            if present.fencing_token == run.fencing_token:
                return gang.CommitResult.COMMITTED
        return gang.CommitResult.REFUSED


def _may_have_taken_effect(error: store.StoreError) -> bool:
    return error.fault is store.StoreFault.UNKNOWN


__all__ = (
    'COMMIT_LIMIT_SECONDS',
    'CONCURRENT_WRITES',
    'Decide',
    'DeposedError',
    'Ledger',
    'REMEMBERED_ENDS',
    'RETRY_SECONDS',
)
