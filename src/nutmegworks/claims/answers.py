"""Keeps responses in the store, many to a segment, for later retries."""
from __future__ import annotations

import time
import typing

import curio
import msgspec
import result

from nutmegworks.adapters import store
from nutmegworks.claims import record
from nutmegworks.model import ids

MAX_ANSWER_BYTES: typing.Final = 256 * 1024
MAX_CONTENT_TYPE_LENGTH: typing.Final = 256
# Leaves room for three of the largest responses below the store's 1 MB.
MAX_SEGMENT_BYTES: typing.Final = 900 * 1024
# Bounds the memory of responses that wait for a slow store.
MAX_WAITING_BYTES: typing.Final = 4 * 1024 * 1024
LINGER_SECONDS: typing.Final = 0.02
WRITE_TRIES: typing.Final = 3
# A segment lapses with its lease. Every response outlives the hour for which
# its key is kept; a lease serves all segments of ten minutes.
LEASE_SECONDS: typing.Final = 4200.0
LEASE_USE_SECONDS: typing.Final = 600.0


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A response as the upstream sent it."""

    content_type: str
    body: bytes


class _Waiting:

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.stored = curio.Result()


class AnswerStore:
    """Writes the responses of one daemon and reads those of any."""

    def __init__(
        self,
        backing: store.Store,
        incarnation: ids.Incarnation,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = backing
        self._incarnation = incarnation
        self._clock = clock
        self._waiting: list[_Waiting] = []
        self._wake = curio.Event()
        self._segment = 0
        self._lease_id: store.LeaseId | None = None
        self._lease_until = 0.0

    async def keep(
        self,
        answer: Answer,
        *,
        timeout: float,
    ) -> record.AnswerRef | None:
        """Store a response; None if it is too large or can't be stored.

        :param timeout: seconds.
        """
        if not _is_kept(answer):
            return None
        waiting_bytes = sum(len(item.answer.body) for item in self._waiting)
        if waiting_bytes + len(answer.body) > MAX_WAITING_BYTES:
            return None
        item = _Waiting(answer)
        self._waiting.append(item)
        await self._wake.set()
        return await curio.ignore_after(timeout, item.stored.unwrap)

    async def read(
        self,
        reference: record.AnswerRef,
    ) -> result.Result[Answer | None, store.StoreError]:
        """Return a kept response; None if it has lapsed."""
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
            await self._wake.wait()
            await curio.sleep(LINGER_SECONDS)
            batch = self._take()
            if not self._waiting:
                self._wake.clear()
            if batch:
                await self._write(batch)

    def _take(self) -> list[_Waiting]:
        size = 0
        count = 0
        for item in self._waiting:
            size += len(item.answer.body) + MAX_CONTENT_TYPE_LENGTH + 16
            if size > MAX_SEGMENT_BYTES:
                break
            count += 1
        batch = self._waiting[:count]
        del self._waiting[:count]
        return batch

    async def _write(self, batch: list[_Waiting]) -> None:
        value = msgspec.msgpack.encode([item.answer for item in batch])
        stored = await self._put(value)
        for index, item in enumerate(batch):
            reference = None
            if stored is not None:
                reference = record.AnswerRef(self._incarnation, stored, index)
            await item.stored.set_value(reference)

    async def _put(self, value: bytes) -> int | None:
        """Return the number of the written segment."""
        for _ in range(WRITE_TRIES):
            lease_id = await self._lease()
            if lease_id is None:
                return None
            number = self._segment
            path = _path(self._incarnation, number)
            put = await self._store.put(
                path, value, expected=store.ABSENT, lease_id=lease_id
            )
            if isinstance(put, result.Ok) or await self._is_at(path, value):
                self._segment += 1
                return number
            if put.err_value.fault is store.StoreFault.CONFLICT:
                # The number is in use or the lease has lapsed.
                self._segment += 1
                self._lease_id = None
        return None

    async def _is_at(self, path: str, value: bytes) -> bool:
        entry = await self._store.get(path)
        if isinstance(entry, result.Err) or entry.ok_value is None:
            return False
        return entry.ok_value.value == value

    async def _lease(self) -> store.LeaseId | None:
        if self._lease_id is None or self._clock() >= self._lease_until:
            granted = await self._store.grant_lease(LEASE_SECONDS)
            if isinstance(granted, result.Err):
                return None
            self._lease_id = granted.ok_value
            self._lease_until = self._clock() + LEASE_USE_SECONDS
        return self._lease_id


def _is_kept(answer: Answer) -> bool:
    if len(answer.content_type) > MAX_CONTENT_TYPE_LENGTH:
        return False
    return len(answer.body) <= MAX_ANSWER_BYTES


def _answer_at(segment: bytes, index: int) -> Answer | None:
    try:
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
