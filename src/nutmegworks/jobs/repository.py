"""Reads and writes job records."""
from __future__ import annotations

import dataclasses
import functools
import typing
import uuid

import logbook
import msgspec
import result

from nutmegworks.adapters import cas
from nutmegworks.adapters import store
from nutmegworks.jobs import record
from nutmegworks.model import ids

PAGE_LIMIT: typing.Final = 100

_log = logbook.Logger(__name__)

_Error = store.StoreError


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """A record as of one revision."""

    record: record.JobRecord
    revision: ids.StoreRevision


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records in key order.

    :param last_key: where to continue; empty if nothing is left.
    :param revision: the store's revision as of the answer.
    """

    jobs: tuple[Stored, ...]
    last_key: str
    revision: ids.StoreRevision


def _new_id() -> str:
    return uuid.uuid4().hex


class JobRepository:
    """Job records in a store; every write has an id of its own.

    :param new_id: returns an id that is never returned again by anyone.
    """

    def __init__(
        self,
        store_client: store.Store,
        *,
        new_id: typing.Callable[[], str] = _new_id,
    ) -> None:
        self._store = store_client
        self._new_id = new_id

    async def get(
        self,
        shard_id: ids.ShardId,
        job_id: ids.JobId,
    ) -> result.Result[Stored | None, _Error]:
        """Return a job, or None if there is no such job."""
        answer = await self._store.get(record.store_key(shard_id, job_id))
        if isinstance(answer, result.Err):
            return answer
        if answer.ok_value is None:
            return result.Ok(None)
        return result.Ok(_stored(answer.ok_value))

    async def bind_key(
        self,
        job_id: ids.JobId,
        wanted: record.KeyRecord,
    ) -> result.Result[record.KeyRecord, _Error]:
        """Bind an idempotency key, or return what it is bound to."""
        key = record.KEY_PREFIX + job_id
        known = await self.get_key(job_id)
        if isinstance(known, result.Err):
            return known
        if known.ok_value is not None:
            return result.Ok(known.ok_value)
        own = msgspec.structs.replace(wanted, write_id=self._new_id())
        answer = await cas.put(
            self._store,
            key,
            record.encode(own),
            expected=store.ABSENT,
            is_own=lambda value: _decode_key(value).write_id == own.write_id,
        )
        if isinstance(answer, result.Ok):
            return result.Ok(own)
        if answer.err_value.fault is not store.StoreFault.CONFLICT:
            return answer
        return (await self.get_key(job_id)).and_then(_present)

    async def get_key(
        self,
        job_id: ids.JobId,
    ) -> result.Result[record.KeyRecord | None, _Error]:
        """Return what the key of a job is bound to."""
        answer = await self._store.get(record.KEY_PREFIX + job_id)
        return answer.map(
            lambda entry: entry and _decode_key(entry.value or b'')
        )

    async def create(
        self,
        job: record.JobRecord,
    ) -> result.Result[Stored, _Error]:
        """Write a new record, or return the one that exists already."""
        answer = await self._put(job, store.ABSENT)
        if isinstance(answer, result.Ok):
            return answer
        if answer.err_value.fault is not store.StoreFault.CONFLICT:
            return answer
        existing = await self.get(job.shard_id, job.job_id)
        return existing.and_then(_present)

    async def update(
        self,
        stored: Stored,
        **changes: typing.Any,
    ) -> result.Result[Stored, _Error]:
        """Change a record if nobody else has changed it.

        :raises record.TransitionError: if the state table forbids it.
        """
        job = record.advance(stored.record, self._new_id(), changes)
        return await self._put(job, stored.revision, advanced=True)

    async def _put(
        self,
        job: record.JobRecord,
        expected: ids.StoreRevision,
        *,
        advanced: bool = False,
    ) -> result.Result[Stored, _Error]:
        if not advanced:
            job = msgspec.structs.replace(job, writes=(self._new_id(), ))
        answer = await cas.put(
            self._store,
            record.store_key(job.shard_id, job.job_id),
            record.encode(job),
            expected=expected,
            is_own=functools.partial(_contains_write, job.writes[-1]),
        )
        return answer.map(lambda revision: Stored(job, revision))

    async def load(
        self,
        shard_id: ids.ShardId,
        *,
        after: str = '',
    ) -> result.Result[Batch, _Error]:
        """Return the next records of a shard.

        :param after: ``last_key`` of the batch before.
        """
        answer = await self._store.range(
            f'{record.PREFIX}{shard_id}/',
            after=after,
            limit=PAGE_LIMIT,
        )
        return answer.map(_batch)

    async def watch(
        self,
        shard_id: ids.ShardId,
        *,
        after: ids.StoreRevision,
        wait: float,
    ) -> result.Result[Batch, _Error]:
        """Wait for changes of a shard's records.

        :param wait: seconds.
        """
        answer = await self._store.watch(
            f'{record.PREFIX}{shard_id}/',
            after=after,
            wait=wait,
        )
        return answer.map(_batch)

    async def watch_job(
        self,
        stored: Stored,
        *,
        wait: float,
    ) -> result.Result[None, _Error]:
        """Return when one record has changed or the time is up.

        :param wait: seconds.
        """
        job = stored.record
        answer = await self._store.watch(
            record.store_key(job.shard_id, job.job_id),
            after=stored.revision,
            wait=wait,
        )
        return answer.map(lambda _: None)

    async def put_result(
        self,
        job_id: ids.JobId,
        value: bytes,
    ) -> result.Result[str, _Error]:
        """Store a result beside the record and return its key.

        Only the owner of a committed run stores results, and a result that
        exists is of the same run, so any present value is kept.
        """
        key = record.RESULT_PREFIX + job_id
        answer = await cas.put(
            self._store,
            key,
            value,
            expected=store.ABSENT,
            is_own=lambda _: True,
        )
        conflict = store.StoreFault.CONFLICT
        if answer.is_err() and answer.err_value.fault is not conflict:
            return result.Err(answer.err_value)
        return result.Ok(key)

    async def get_result(
        self,
        job: record.JobRecord,
    ) -> result.Result[bytes, _Error]:
        """Return the result of a finished job."""
        if not job.result_key:
            return result.Ok(job.result or b'')
        answer = await self._store.get(job.result_key)
        return answer.map(lambda entry: (entry and entry.value) or b'')


def _present(value: typing.Any) -> result.Result[typing.Any, _Error]:
    if value is None:
        # Deleted between the conflict and the reread.
        return result.Err(_Error(store.StoreFault.CONFLICT, 'deleted'))
    return result.Ok(value)


def _decode_key(value: bytes) -> record.KeyRecord:
    return msgspec.msgpack.decode(value, type=record.KeyRecord)


def _contains_write(write_id: str, value: bytes) -> bool:
    return write_id in record.decode(value).writes


def _stored(entry: store.Entry) -> Stored:
    return Stored(record.decode(entry.value or b''), entry.revision)


def _batch(page: store.Page) -> Batch:
    jobs = []
    for entry in page.entries:
        if entry.value is None:
            continue
        try:
            jobs.append(_stored(entry))
        except msgspec.DecodeError as error:
            # One damaged record must not stop a whole shard.
            _log.error('{} is not a job record: {}', entry.key, error)
    last_key = page.entries[-1].key if page.entries else ''
    return Batch(tuple(jobs), last_key, page.revision)


__all__ = ('Batch', 'JobRepository', 'PAGE_LIMIT', 'Stored')
