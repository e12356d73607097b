"""Groups the claim operations of one shard into few store writes."""
from __future__ import annotations

import collections
import math
import time
import typing

import curio
import msgspec
import result

from nutmegworks.adapters import store
from nutmegworks.claims import key as claim_key
from nutmegworks.claims import record
from nutmegworks.model import ids

# At most 40 writes/s for a shard, 320/s for the 8 shards: the store takes
# several hundred.
WRITE_INTERVAL_SECONDS: typing.Final = 0.025
# Writes that a quiet shard may do without a pause, so that a claim does not
# wait because an outcome was just written.
WRITE_BURST: typing.Final = 2
# No caller waits for an outcome to be stored.
FINISH_DELAY_SECONDS: typing.Final = 0.1
# Bounds the reads of retries that poll for an outcome.
LOOK_MAX_AGE_SECONDS: typing.Final = 0.1
RETRY_SECONDS: typing.Final = 1.0
MAX_BATCH: typing.Final = 512
MAX_WAITING: typing.Final = 4096
# Tries of one batch: every conflict means that another daemon has written.
MAX_ROUNDS: typing.Final = 8
# Doubled for each round after the second. A read that lags behind the write
# that caused the conflict leads to the next conflict.
CONFLICT_PAUSE_SECONDS: typing.Final = 0.002
MAX_CACHED_RECORDS: typing.Final = 4
# A cached claim takes about 350 bytes, so 8 shards hold some 6 MB.
MAX_CACHED_CLAIMS: typing.Final = 2048

_WRITTEN: typing.Final = (record.Status.GRANTED, record.Status.DONE)
# A copy of the record that is out of date may lack the claim.
_NOT_FINAL: typing.Final = (record.Status.NOT_HOLDER, record.Status.ABSENT)


class _Waiting:
    """An operation that waits for its reply.

    :param due: when it should be handled, on the batcher's clock.
    :param patient: kept while the store is down; nobody waits for the reply.
    """

    def __init__(
        self,
        operation: record.Operation,
        due: float,
        *,
        patient: bool = False,
    ) -> None:
        self.operation = operation
        self.due = due
        self.patient = patient
        self.unresolved = False
        self.cancelled = False
        self.reply = curio.Result()


class _Cached:
    """A record as of a revision of the store."""

    def __init__(
        self,
        revision: ids.StoreRevision,
        value: record.Record,
        read_at: float,
    ) -> None:
        self.revision = revision
        self.value = value
        self.read_at = read_at


class Batcher:
    """Owns the cached records of a shard; one write is in flight.

    A reply that reports a write follows only a write that the store has
    confirmed, or a record, read later, that holds the same attempt id.
    """

    def __init__(
        self,
        backing: store.Store,
        shard: int,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
        write_interval: float = WRITE_INTERVAL_SECONDS,
        finish_delay: float = FINISH_DELAY_SECONDS,
    ) -> None:
        self._store = backing
        self._shard = shard
        self._clock = clock
        self._write_interval = write_interval
        self._finish_delay = finish_delay
        self._next_write = -math.inf
        self._waiting_by_slot: dict[int, list[_Waiting]] = {}
        self._count = 0
        self._cached_by_slot: collections.OrderedDict[
            int, _Cached] = collections.OrderedDict()
        self._wake = curio.Event()

    async def submit(
        self,
        operation: record.Operation,
        *,
        timeout: float,
    ) -> record.Reply:
        """Return the reply once it is certain, or that it is not known.

        :param timeout: seconds.
        """
        if self._count >= MAX_WAITING:
            return record.Reply(record.Status.OVERLOADED)
        waiting = _Waiting(operation, self._due(operation))
        await self._enqueue(waiting)
        try:
            reply = await curio.ignore_after(timeout, waiting.reply.unwrap)
        finally:
            waiting.cancelled = True
        if reply is not None:
            return reply
        return record.Reply(
            record.Status.STORE_UNAVAILABLE, write_sent=waiting.unresolved
        )

    async def post(self, operation: record.Operation) -> None:
        """Store an outcome when the store permits; nobody waits for it."""
        if self._count < MAX_WAITING:
            waiting = _Waiting(operation, self._due(operation), patient=True)
            await self._enqueue(waiting)

    async def run(self) -> None:
        """Handle operations until cancelled."""
        while True:
            await self._wait_until_due()
            slot, batch = self._take()
            self._count_write()
            await self._settle(slot, batch)

    def _count_write(self) -> None:
        earliest = self._clock() - WRITE_BURST * self._write_interval
        self._next_write = (
            max(self._next_write, earliest) + self._write_interval
        )

    def _due(self, operation: record.Operation) -> float:
        if isinstance(operation, record.FinishOperation):
            return self._clock() + self._finish_delay
        return self._clock()

    async def _enqueue(self, waiting: _Waiting) -> None:
        slot = waiting.operation.epoch % claim_key.EPOCH_SLOTS
        self._waiting_by_slot.setdefault(slot, []).append(waiting)
        self._count += 1
        await self._wake.set()

    async def _wait_until_due(self) -> None:
        while True:
            self._wake.clear()
            due = self._earliest()[0]
            wait = due - self._clock()
            if math.isinf(wait):
                await self._wake.wait()
            elif wait > 0:
                await curio.ignore_after(wait, self._wake.wait)
            elif self._next_write > self._clock():
                await curio.sleep(self._next_write - self._clock())
            else:
                return

    def _earliest(self) -> tuple[float, int]:
        return min(
            (
                (min(item.due
                     for item in items), slot)
                for slot, items in self._waiting_by_slot.items()
            ),
            default=(math.inf, 0),
        )

    def _take(self) -> tuple[int, list[_Waiting]]:
        """Remove a batch of the slot whose operation is due first."""
        slot = self._earliest()[1]
        items = self._waiting_by_slot.pop(slot)
        if len(items) > MAX_BATCH:
            self._waiting_by_slot[slot] = items[MAX_BATCH:]
        batch = items[:MAX_BATCH]
        self._count -= len(batch)
        return slot, batch

    async def _settle(self, slot: int, batch: list[_Waiting]) -> None:
        for turn in range(MAX_ROUNDS):
            if turn > 1:
                await curio.sleep(CONFLICT_PAUSE_SECONDS * 2**(turn - 2))
            batch = [item for item in batch if not item.cancelled]
            if not batch or await self._try_settle(slot, batch):
                return
        await self._fail(batch)

    async def _try_settle(self, slot: int, batch: list[_Waiting]) -> bool:
        """Return whether every operation has its reply."""
        was_cached = slot in self._cached_by_slot
        cached = await self._load(slot, _max_age(batch))
        if cached is None:
            await self._fail(batch)
            return True
        after, replies = _apply(cached.value, batch)
        if after is cached.value:
            if was_cached and _needs_reread(replies):
                self._cached_by_slot.pop(slot, None)
                return False
            await _send(batch, replies)
            return True
        written = [
            item for item, reply in zip(batch, replies)
            if reply.status in _WRITTEN
        ]
        fault = await self._write(slot, cached, after, written)
        if fault is None:
            await _send(batch, replies)
            return True
        if fault is store.StoreFault.UNAVAILABLE:
            await self._fail(batch)
            return True
        return False

    async def _load(self, slot: int, max_age: float) -> _Cached | None:
        cached = self._cached_by_slot.get(slot)
        if cached and self._clock() - cached.read_at <= max_age:
            self._cached_by_slot.move_to_end(slot)
            return cached
        entry = await self._store.get(claim_key.record_key(self._shard, slot))
        if isinstance(entry, result.Err):
            return None
        loaded = self._decode(entry.ok_value)
        if loaded is not None:
            self._remember(slot, loaded)
        return loaded

    def _decode(self, entry: store.Entry | None) -> _Cached | None:
        if entry is None or entry.value is None:
            return _Cached(store.ABSENT, record.empty(0), self._clock())
        try:
            value = record.decode(entry.value)
        except msgspec.DecodeError:
            return None
        return _Cached(entry.revision, value, self._clock())

    async def _write(
        self,
        slot: int,
        cached: _Cached,
        after: record.Record,
        written: list[_Waiting],
    ) -> store.StoreFault | None:
        known = [item for item in written if not item.unresolved]
        for item in written:
            item.unresolved = True
        put = await self._store.put(
            claim_key.record_key(self._shard, slot),
            record.encode(after),
            expected=cached.revision,
        )
        if isinstance(put, result.Ok):
            self._remember(slot, _Cached(put.ok_value, after, self._clock()))
            return None
        self._cached_by_slot.pop(slot, None)
        if put.err_value.fault is not store.StoreFault.UNKNOWN:
            for item in known:
                item.unresolved = False
        return put.err_value.fault

    def _remember(self, slot: int, cached: _Cached) -> None:
        by_slot = self._cached_by_slot
        by_slot[slot] = cached
        by_slot.move_to_end(slot)
        while len(by_slot) > 1 and _is_too_large(by_slot.values()):
            by_slot.popitem(last=False)

    async def _fail(self, batch: list[_Waiting]) -> None:
        for item in batch:
            if item.patient:
                item.due = self._clock() + RETRY_SECONDS
                await self._enqueue(item)
                continue
            await item.reply.set_value(
                record.Reply(
                    record.Status.STORE_UNAVAILABLE,
                    write_sent=item.unresolved,
                )
            )


def _max_age(batch: list[_Waiting]) -> float:
    for item in batch:
        if isinstance(item.operation, record.LookOperation):
            return LOOK_MAX_AGE_SECONDS
    return math.inf


def _apply(
    before: record.Record,
    batch: list[_Waiting],
) -> tuple[record.Record, list[record.Reply]]:
    replies = []
    after = before
    for item in batch:
        after, reply = record.apply(after, item.operation)
        replies.append(reply)
    return after, replies


def _needs_reread(replies: list[record.Reply]) -> bool:
    return any(reply.status in _NOT_FINAL for reply in replies)


async def _send(batch: list[_Waiting], replies: list[record.Reply]) -> None:
    for item, reply in zip(batch, replies):
        if item.unresolved and reply.status not in _WRITTEN:
            reply = msgspec.structs.replace(reply, write_sent=True)
        await item.reply.set_value(reply)


def _is_too_large(records: typing.Collection[_Cached]) -> bool:
    if len(records) > MAX_CACHED_RECORDS:
        return True
    claims = sum(len(cached.value.claim_by_id) for cached in records)
    return claims > MAX_CACHED_CLAIMS


__all__ = ('Batcher', 'MAX_WAITING', 'WRITE_INTERVAL_SECONDS')
