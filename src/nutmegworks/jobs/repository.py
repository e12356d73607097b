"""Reads and writes job records in the store."""
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
_Value = typing.TypeVar('_Value')


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A job record and the revision at which it was read or written."""

    record: record.JobRecord
    revision: ids.StoreRevision


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Job records in key order.

    :param last_key: key after which to continue; empty if there are no
        more records.
    :param revision: of the store at the time of the answer.
    """

    jobs: tuple[StoredJob, ...]
    last_key: str
    revision: ids.StoreRevision


@dataclasses.dataclass(frozen=True, slots=True)
class Binding:
    """The binding of an idempotency key.

    :param is_new: whether this call has bound the key.
    """

    record: record.KeyRecord
    is_new: bool


def _new_write_id() -> str:
    return uuid.uuid4().hex


class JobRepository:
    """Job records in a store; every write has a unique id.

    :param new_write_id: returns a globally unique id.
    """

    def __init__(
        self,
        store_client: store.Store,
        *,
        new_write_id: typing.Callable[[], str] = _new_write_id,
    ) -> None:
        self._store = store_client
        self._new_write_id = new_write_id

    async def get(
        self,
        shard_id: ids.ShardId,
        job_id: ids.JobId,
    ) -> result.Result[StoredJob | None, _Error]:
        """Return a job, or None if there is no such job."""
        answer = await self._store.get(record.store_key(shard_id, job_id))
        if isinstance(answer, result.Err):
            return answer
        if answer.ok_value is None:
            return result.Ok(None)
        return _decode(answer.ok_value, _decode_stored)

    async def bind_key(
        self,
        job_id: ids.JobId,
        requested: record.KeyRecord,
    ) -> result.Result[Binding, _Error]:
        """Bind an idempotency key, or return its existing binding.

        :return: CONFLICT and UNAVAILABLE mean that the key was not bound by
            this call and is not known to be bound.
        """
        key = record.KEY_PREFIX + job_id
        existing = await self.get_key(job_id)
        if isinstance(existing, result.Err):
            return existing
        if existing.ok_value is not None:
            return result.Ok(Binding(existing.ok_value, False))
        bound = msgspec.structs.replace(
            requested, write_id=self._new_write_id()
        )
        answer = await cas.put(
            self._store,
            key,
            record.encode(bound),
            expected=store.ABSENT,
            is_own=functools.partial(_is_binding, bound.write_id),
        )
        if isinstance(answer, result.Ok):
            return result.Ok(Binding(bound, True))
        if answer.err_value.fault is not store.StoreFault.CONFLICT:
            return answer
        other = _found_by_write(await self.get_key(job_id))
        return other.map(lambda found: Binding(found, False))

    async def get_key(
        self,
        job_id: ids.JobId,
    ) -> result.Result[record.KeyRecord | None, _Error]:
        """Return the binding of a job's idempotency key, if there is one."""
        answer = await self._store.get(record.KEY_PREFIX + job_id)
        if isinstance(answer, result.Err) or answer.ok_value is None:
            return answer
        return _decode(
            answer.ok_value,
            lambda entry: record.decode_key(entry.value or b''),
        )

    async def create(
        self,
        job: record.JobRecord,
    ) -> result.Result[StoredJob, _Error]:
        """Write a new record, or return the existing one.

        :return: UNKNOWN also if the record exists and can't be read.
        """
        answer = await self._put(job, store.ABSENT)
        if isinstance(answer, result.Ok):
            return answer
        if answer.err_value.fault is not store.StoreFault.CONFLICT:
            return answer
        return _found_by_write(await self.get(job.shard_id, job.job_id))

    async def update(
        self,
        stored: StoredJob,
        **changes: typing.Any,
    ) -> result.Result[StoredJob, _Error]:
        """Change a record unless it was changed since it was read.

        :raises record.TransitionError: if the state table forbids it.
        """
        job = record.apply_changes(
            stored.record, self._new_write_id(), changes
        )
        return await self._put(job, stored.revision, has_write_id=True)

    async def _put(
        self,
        job: record.JobRecord,
        expected: ids.StoreRevision,
        *,
        has_write_id: bool = False,
    ) -> result.Result[StoredJob, _Error]:
        if not has_write_id:
            job = msgspec.structs.replace(job, writes=(self._new_write_id(), ))
        answer = await cas.put(
            self._store,
            record.store_key(job.shard_id, job.job_id),
            record.encode(job),
            expected=expected,
            is_own=functools.partial(_contains_write, job.writes[-1]),
        )
        return answer.map(lambda revision: StoredJob(job, revision))

    async def load(
        self,
        shard_id: ids.ShardId,
        *,
        after: str = '',
    ) -> result.Result[Batch, _Error]:
        """Return the next batch of a shard's records.

        :param after: ``last_key`` of the previous batch.
        """
        answer = await self._store.range(
            f'{record.JOB_PREFIX}{shard_id}/',
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
        """Wait for changes of a shard's records and return them.

        :param after: revision from which to watch.
        :param wait: at most, in seconds.
        """
        answer = await self._store.watch(
            f'{record.JOB_PREFIX}{shard_id}/',
            after=after,
            wait=wait,
        )
        return answer.map(_batch)

    async def watch_job(
        self,
        stored: StoredJob,
        *,
        wait: float,
    ) -> result.Result[None, _Error]:
        """Return when one record has changed or the time has passed.

        :param wait: at most, in seconds.
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
        """Store a result under its own key and return the key.

        An existing value is kept: only the owner of a committed run stores
        results, so it belongs to the same run.
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
        if isinstance(answer, result.Err):
            return answer
        entry = answer.ok_value
        if entry is None or entry.value is None:
            # It was stored before the record that refers to it.
            return result.Err(
                _Error(store.StoreFault.UNAVAILABLE, 'a read is stale')
            )
        return result.Ok(entry.value)


def _found_by_write(
    answer: result.Result[typing.Any, _Error],
) -> result.Result[typing.Any, _Error]:
    """Return the value whose presence made a write fail.

    That it exists remains known if the read fails or is stale, so the outcome
    of the caller's request is then unknown.
    """
    if isinstance(answer, result.Err):
        detail = f'exists; reading it failed: {answer.err_value.detail}'
        return result.Err(_Error(store.StoreFault.UNKNOWN, detail))
    if answer.ok_value is None:
        return result.Err(_Error(store.StoreFault.UNKNOWN, 'a read is stale'))
    return answer


def _is_binding(write_id: str, value: bytes) -> bool:
    try:
        return record.decode_key(value).write_id == write_id
    except msgspec.DecodeError:
        return False


def _contains_write(write_id: str, value: bytes) -> bool:
    try:
        return write_id in record.decode(value).writes
    except msgspec.DecodeError:
        return False


def _decode_stored(entry: store.Entry) -> StoredJob:
    decoded = record.decode(entry.value or b'')
    if record.store_key(decoded.shard_id, decoded.job_id) != entry.key:
        raise msgspec.ValidationError('the record of another job')
    return StoredJob(decoded, entry.revision)


def _decode(
    entry: store.Entry,
    decode: typing.Callable[[store.Entry], _Value],
) -> result.Result[_Value, _Error]:
    try:
        return result.Ok(decode(entry))
    except msgspec.DecodeError as error:
        detail = f'{entry.key} can not be used: {error}'
        return result.Err(_Error(store.StoreFault.UNKNOWN, detail))


def _batch(page: store.Page) -> Batch:
    jobs = []
    for entry in page.entries:
        if entry.value is None:
            continue
        try:
            jobs.append(_decode_stored(entry))
        except msgspec.DecodeError as error:
            # One damaged record must not block the whole shard.
            _log.error(
                'skipping {}, which is not a valid job record: {}', entry.key,
                error
            )
    last_key = page.entries[-1].key if page.entries else ''
    return Batch(tuple(jobs), last_key, page.revision)


__all__ = ('Batch', 'Binding', 'JobRepository', 'PAGE_LIMIT', 'StoredJob')
