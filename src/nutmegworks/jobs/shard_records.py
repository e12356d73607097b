"""Caches and writes the job records of one shard for its owner."""
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
# Jobs that end during a store outage must not overload the store when it
# is available again.
MAX_CONCURRENT_WRITES: typing.Final = 16
# A commit relies on staged leases and must be over well before they expire.
COMMIT_TIMEOUT_SECONDS: typing.Final = 15.0
# A watch may return a job as it was before this owner ended it. The revisions
# of ended jobs are kept to recognize such outdated records.
MAX_ENDED_REVISIONS: typing.Final = 4096

_log = logbook.Logger(__name__)

# Returns the changes to write, or None if the record needs no change.
DecideChanges = typing.Callable[
    [record.JobRecord],
    dict[str, typing.Any] | None,
]


class NewerOwnerError(Exception):
    """A record has the fencing token of a newer owner of the shard."""


class ShardRecords:
    """Job records by id, as last read or written by this owner.

    :param clock: monotonic, in seconds.
    """

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
        self._write_permits = curio.Semaphore(MAX_CONCURRENT_WRITES)
        self.stored_by_id: dict[ids.JobId, repository.StoredJob] = {}
        self._ended_by_id: collections.OrderedDict[
            ids.JobId,
            ids.StoreRevision,
        ] = collections.OrderedDict()

    def is_outdated(self, stored: repository.StoredJob) -> bool:
        """Return whether a version of a record has been superseded.

        It has if a later version was observed, or if the job has ended with
        this version or a later one.
        """
        job_id = stored.record.job_id
        cached = self.stored_by_id.get(job_id)
        if cached is not None:
            return cached.revision > stored.revision
        return self._ended_by_id.get(job_id, store.ABSENT) >= stored.revision

    def observe(self, stored: repository.StoredJob) -> None:
        """Cache a record that was read or written, unless it is outdated."""
        if not self.is_outdated(stored):
            self.stored_by_id[stored.record.job_id] = stored

    def get(self, job_id: ids.JobId) -> record.JobRecord | None:
        """Return the latest version of a record, or None if unknown."""
        stored = self.stored_by_id.get(job_id)
        return None if stored is None else stored.record

    def remove_ended(self, job_id: ids.JobId) -> None:
        """Remove a job that has ended from the cache."""
        stored = self.stored_by_id.pop(job_id, None)
        if stored is None:
            return
        self._ended_by_id[job_id] = stored.revision
        if len(self._ended_by_id) > MAX_ENDED_REVISIONS:
            self._ended_by_id.popitem(last=False)

    async def refresh(self, job_id: ids.JobId) -> bool:
        """Read a record; return whether the read succeeded."""
        answer = await self._jobs.get(self._shard_id, job_id)
        if isinstance(answer, result.Err) or answer.ok_value is None:
            return False
        self.observe(answer.ok_value)
        return True

    async def write(self, job_id: ids.JobId, decide: DecideChanges) -> None:
        """Change a record, with retries for as long as the store is down.

        :param decide: called again with the current record before each retry.
        :raises NewerOwnerError: if the record belongs to a newer owner.
        """
        while True:
            stored = self.stored_by_id.get(job_id)
            if stored is None:
                # The job has ended in the meantime.
                return
            self._check_owner(stored.record)
            changes = decide(stored.record)
            if changes is None:
                return
            async with self._write_permits:
                answer = await self._jobs.update(stored, **changes)
                if isinstance(answer, result.Ok):
                    self.observe(answer.ok_value)
                    return
                _log.warning(
                    'writing job {} failed, retrying: {}', job_id,
                    answer.err_value
                )
                await self.refresh(job_id)
            await curio.sleep(RETRY_SECONDS)

    def _check_owner(self, job: record.JobRecord) -> None:
        if job.run is not None and job.run.fencing_token > self._token:
            raise NewerOwnerError(f'job {job.job_id} has a newer owner')

    async def commit(
        self,
        job_id: ids.JobId,
        run: record.Run,
        runs: int,
    ) -> gang.CommitResult:
        """Write the record that commits a gang to run.

        :param runs: number of different run ids, including this one.
        :returns: UNKNOWN if a write may have taken effect but could not be
            resolved within COMMIT_TIMEOUT_SECONDS.
        """
        deadline = self._clock() + COMMIT_TIMEOUT_SECONDS
        stored = self.stored_by_id[job_id]
        may_be_written = False
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
                self.observe(answer.ok_value)
                return gang.CommitResult.COMMITTED
            may_be_written = (
                may_be_written or _may_have_taken_effect(answer.err_value)
            )
            resolved = await self._resolve(job_id, stored, run)
            if resolved is not None:
                return resolved
            await curio.sleep(RETRY_SECONDS)
        unknown = gang.CommitResult.UNKNOWN
        return unknown if may_be_written else gang.CommitResult.REFUSED

    async def _resolve(
        self,
        job_id: ids.JobId,
        expected: repository.StoredJob,
        run: record.Run,
    ) -> gang.CommitResult | None:
        """Return the result of a commit, or None if it is still unknown."""
        await self.refresh(job_id)
        stored = self.stored_by_id[job_id]
        if stored.revision <= expected.revision:
            return None
        current_run = stored.record.run
        if current_run is not None and current_run.commit_id == run.commit_id:
            if current_run.fencing_token == run.fencing_token:
                return gang.CommitResult.COMMITTED
        return gang.CommitResult.REFUSED


def _may_have_taken_effect(error: store.StoreError) -> bool:
    return error.fault is store.StoreFault.UNKNOWN


__all__ = (
    'COMMIT_TIMEOUT_SECONDS',
    'DecideChanges',
    'MAX_CONCURRENT_WRITES',
    'MAX_ENDED_REVISIONS',
    'NewerOwnerError',
    'RETRY_SECONDS',
    'ShardRecords',
)
