"""Stores responses for later retries, several in each segment."""
from __future__ import annotations

import time
import typing

import curio
import msgspec
import result

from nutmegworks.adapters import store
from nutmegworks.claims import record
from nutmegworks.model import decoding
from nutmegworks.model import ids

MAX_ANSWER_BYTES: typing.Final = 256 * 1024
MAX_CONTENT_TYPE_LENGTH: typing.Final = 256
# Holds three responses of the maximum size and stays below the store's 1 MB.
MAX_SEGMENT_BYTES: typing.Final = 900 * 1024
# Bounds the memory of responses that wait while the store is slow.
MAX_PENDING_BYTES: typing.Final = 4 * 1024 * 1024
# Responses that arrive within this time share a segment.
BATCH_DELAY_SECONDS: typing.Final = 0.02
MAX_WRITE_ATTEMPTS: typing.Final = 3
# A segment expires with its lease. A lease serves the segments of ten minutes
# and lasts an hour longer, as every response must outlive the hour for which
# its key is stored.
LEASE_SECONDS: typing.Final = 4200.0
LEASE_REUSE_SECONDS: typing.Final = 600.0


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A response as the upstream sent it."""

    content_type: str
    body: bytes


class _PendingAnswer:

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.stored = curio.Result()


class AnswerStore:
    """Writes the responses of one daemon and reads those of any daemon."""

    def __init__(
        self,
        backend: store.Store,
        incarnation: ids.Incarnation,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = backend
        self._incarnation = incarnation
        self._clock = clock
        self._pending: list[_PendingAnswer] = []
        self._answer_added = curio.Event()
        self._next_segment = 0
        self._lease_id: store.LeaseId | None = None
        self._lease_reuse_until = 0.0

    async def save(
        self,
        answer: Answer,
        *,
        timeout: float,
    ) -> record.AnswerRef | None:
        """Store a response and return its position.

        :param timeout: seconds.
        :return: None if the response is too large or was not stored in time.
        """
        if not _is_within_limits(answer):
            return None
        pending_bytes = sum(len(item.answer.body) for item in self._pending)
        if pending_bytes + len(answer.body) > MAX_PENDING_BYTES:
            return None
        item = _PendingAnswer(answer)
        self._pending.append(item)
        await self._answer_added.set()
        return await curio.ignore_after(timeout, item.stored.unwrap)

    async def read(
        self,
        reference: record.AnswerRef,
    ) -> result.Result[Answer | None, store.StoreError]:
        """Return a stored response; None if it has expired."""
        path = _path(reference.incarnation, reference.segment)
        entry = await self._store.get(path)
        if isinstance(entry, result.Err):
            return entry
        if entry.ok_value is None or entry.ok_value.value is None:
            return result.Ok(None)
        return result.Ok(_answer_at(entry.ok_value.value, reference.index))

    async def run(self) -> None:
        """Write segments until cancelled."""
        while True:
            await self._answer_added.wait()
            await curio.sleep(BATCH_DELAY_SECONDS)
            batch = self._take_batch()
            if not self._pending:
                self._answer_added.clear()
            if batch:
                await self._write(batch)

    def _take_batch(self) -> list[_PendingAnswer]:
        size = 0
        count = 0
        for item in self._pending:
            size += len(item.answer.body) + MAX_CONTENT_TYPE_LENGTH + 16
            if size > MAX_SEGMENT_BYTES:
                break
            count += 1
        batch = self._pending[:count]
        del self._pending[:count]
        return batch

    async def _write(self, batch: list[_PendingAnswer]) -> None:
        value = msgspec.msgpack.encode([item.answer for item in batch])
        stored = await self._put(value)
        for index, item in enumerate(batch):
            reference = None
            if stored is not None:
                reference = record.AnswerRef(self._incarnation, stored, index)
            await item.stored.set_value(reference)

    async def _put(self, value: bytes) -> int | None:
        """Write a segment; return its number or None if it was not stored."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            lease_id = await self._current_lease()
            if lease_id is None:
                return None
            number = self._next_segment
            path = _path(self._incarnation, number)
            put = await self._store.put(
                path, value, expected=store.ABSENT, lease_id=lease_id
            )
            if (isinstance(put, result.Ok)
                    or await self._has_value(path, value)):
                self._next_segment += 1
                return number
            if put.err_value.fault is store.StoreFault.CONFLICT:
                # The number is in use or the lease has expired.
                self._next_segment += 1
                self._lease_id = None
        return None

    async def _has_value(self, path: str, value: bytes) -> bool:
        entry = await self._store.get(path)
        if isinstance(entry, result.Err) or entry.ok_value is None:
            return False
        return entry.ok_value.value == value

    async def _current_lease(self) -> store.LeaseId | None:
        if self._lease_id is None or self._clock() >= self._lease_reuse_until:
            granted = await self._store.grant_lease(LEASE_SECONDS)
            if isinstance(granted, result.Err):
                return None
            self._lease_id = granted.ok_value
            self._lease_reuse_until = self._clock() + LEASE_REUSE_SECONDS
        return self._lease_id


def _is_within_limits(answer: Answer) -> bool:
    if len(answer.content_type) > MAX_CONTENT_TYPE_LENGTH:
        return False
    return len(answer.body) <= MAX_ANSWER_BYTES


def _answer_at(segment: bytes, index: int) -> Answer | None:
    try:
        with decoding.nesting_limit():
            return _DECODER.decode(segment)[index]
    except (msgspec.DecodeError, IndexError):
        return None


def _path(incarnation: str, segment: int) -> str:
    return f'answers/{incarnation}/{segment}'


_DECODER: typing.Final = msgspec.msgpack.Decoder(list[Answer])

__all__ = (
    'Answer',
    'AnswerStore',
    'LEASE_SECONDS',
    'MAX_ANSWER_BYTES',
    'MAX_SEGMENT_BYTES',
)
