"""Batches the claim operations of one shard into few store writes."""
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
from nutmegworks.claims import replies as claim_replies
from nutmegworks.model import ids

# At most 40 writes/s per shard and 320/s for the 8 shards; the store supports
# several hundred.
WRITE_INTERVAL_SECONDS: typing.Final = 0.025
# Writes that an idle shard may make without a delay, so that a claim does not
# wait because an outcome was just written.
WRITE_BURST: typing.Final = 2
# Outcomes can be delayed into larger batches, as no caller waits for them.
FINISH_DELAY_SECONDS: typing.Final = 0.1
# Maximum age of a cached record for a look-up, or for the reply that another
# attempt holds a key. It bounds the store reads of retries that poll for an
# outcome.
LOOK_UP_MAX_AGE_SECONDS: typing.Final = 0.1
# Delay before an outcome that the store did not accept is written again.
STORE_RETRY_SECONDS: typing.Final = 1.0
MAX_BATCH_OPERATIONS: typing.Final = 512
MAX_PENDING_OPERATIONS: typing.Final = 4096
# Every conflict means that another daemon has written the record.
MAX_BATCH_ATTEMPTS: typing.Final = 8
# Delay after the second conflict of a batch, doubled after each further one. A
# read that lags behind the conflicting write leads to another conflict.
CONFLICT_BACKOFF_SECONDS: typing.Final = 0.002
MAX_CACHED_RECORDS: typing.Final = 4
# A cached claim takes about 350 bytes, so the 8 shards use about 6 MB.
MAX_CACHED_CLAIMS: typing.Final = 2048

_WRITE_STATUSES: typing.Final = (record.Status.GRANTED, record.Status.DONE)
# Not final if they come from a cached record: it may be out of date and lack
# the claim.
_REREAD_STATUSES: typing.Final = (
    record.Status.NOT_HOLDER, record.Status.ABSENT
)


class _PendingOperation:
    """An operation that waits for its reply.

    :param due_at: when to process it, in seconds on the batcher's clock.
    :param retry_in_outage: whether it is retried until the store is available;
        for operations whose reply nobody waits for.
    :ivar write_unresolved: whether a write of it may have taken effect without
        being confirmed.
    :ivar seen_claim: the claim that the key had when it was last applied.
    :ivar cancelled: whether the caller no longer waits for the reply.
    """

    def __init__(
        self,
        operation: record.Operation,
        due_at: float,
        *,
        retry_in_outage: bool = False,
    ) -> None:
        self.operation = operation
        self.due_at = due_at
        self.retry_in_outage = retry_in_outage
        self.write_unresolved = False
        self.seen_claim: record.Claim | None = None
        self.cancelled = False
        self.reply = curio.Result()

    def unconfirmed(self) -> record.Reply:
        """Return the reply if the store did not answer in time."""
        return record.Reply(
            record.Status.STORE_UNAVAILABLE,
            claim=self.seen_claim,
            write_sent=self.write_unresolved,
        )


class _CachedRecord:
    """A copy of a record as of one revision of the store.

    :param read_at: seconds on the batcher's clock.
    """

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
    """Applies the operations of a shard, with at most one write in flight.

    It replies GRANTED or DONE only after the store has confirmed the write, or
    after a later read has returned a record with the same attempt id.

    :param write_interval: minimum average seconds between two writes.
    :param finish_delay: seconds by which outcomes are delayed.
    """

    def __init__(
        self,
        backend: store.Store,
        shard: int,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
        write_interval: float = WRITE_INTERVAL_SECONDS,
        finish_delay: float = FINISH_DELAY_SECONDS,
    ) -> None:
        self._store = backend
        self._shard = shard
        self._clock = clock
        self._write_interval = write_interval
        self._finish_delay = finish_delay
        self._next_write = -math.inf
        self._pending_by_slot: dict[int, list[_PendingOperation]] = {}
        self._pending_count = 0
        self._cached_by_slot: collections.OrderedDict[
            int,
            _CachedRecord,
        ] = collections.OrderedDict()
        self._operation_added = curio.Event()

    async def submit(
        self,
        operation: record.Operation,
        *,
        timeout: float,
    ) -> record.Reply:
        """Apply an operation and return its reply.

        STORE_UNAVAILABLE means that it was not confirmed in time.

        :param timeout: seconds.
        """
        if self._pending_count >= MAX_PENDING_OPERATIONS:
            return record.Reply(record.Status.OVERLOADED)
        pending = _PendingOperation(operation, self._due_time(operation))
        await self._add(pending)
        try:
            reply = await curio.ignore_after(timeout, pending.reply.unwrap)
        finally:
            pending.cancelled = True
        return pending.unconfirmed() if reply is None else reply

    async def enqueue(self, operation: record.Operation) -> None:
        """Queue an operation without waiting for its reply.

        It is retried until the store is available, and dropped if too many
        operations are pending.
        """
        if self._pending_count < MAX_PENDING_OPERATIONS:
            pending = _PendingOperation(
                operation, self._due_time(operation), retry_in_outage=True
            )
            await self._add(pending)

    async def run(self) -> None:
        """Process operations until cancelled."""
        while True:
            await self._wait_until_due()
            slot, batch = self._take_batch()
            self._advance_next_write()
            await self._process_batch(slot, batch)

    def _advance_next_write(self) -> None:
        earliest = self._clock() - WRITE_BURST * self._write_interval
        self._next_write = (
            max(self._next_write, earliest) + self._write_interval
        )

    def _due_time(self, operation: record.Operation) -> float:
        if isinstance(operation, record.FinishOperation):
            return self._clock() + self._finish_delay
        return self._clock()

    async def _add(self, pending: _PendingOperation) -> None:
        slot = pending.operation.epoch % claim_key.EPOCH_SLOTS
        self._pending_by_slot.setdefault(slot, []).append(pending)
        self._pending_count += 1
        await self._operation_added.set()

    async def _wait_until_due(self) -> None:
        while True:
            self._operation_added.clear()
            due = self._earliest()[0]
            wait = due - self._clock()
            if math.isinf(wait):
                await self._operation_added.wait()
            elif wait > 0:
                await curio.ignore_after(wait, self._operation_added.wait)
            elif self._next_write > self._clock():
                await curio.sleep(self._next_write - self._clock())
            else:
                return

    def _earliest(self) -> tuple[float, int]:
        return min(
            (
                (min(item.due_at
                     for item in items), slot)
                for slot, items in self._pending_by_slot.items()
            ),
            default=(math.inf, 0),
        )

    def _take_batch(self) -> tuple[int, list[_PendingOperation]]:
        """Remove and return a batch of the slot that is due first."""
        slot = self._earliest()[1]
        items = self._pending_by_slot.pop(slot)
        if len(items) > MAX_BATCH_OPERATIONS:
            self._pending_by_slot[slot] = items[MAX_BATCH_OPERATIONS:]
        batch = items[:MAX_BATCH_OPERATIONS]
        self._pending_count -= len(batch)
        return slot, batch

    async def _process_batch(
        self, slot: int, batch: list[_PendingOperation]
    ) -> None:
        for attempt in range(MAX_BATCH_ATTEMPTS):
            if attempt > 1:
                await curio.sleep(CONFLICT_BACKOFF_SECONDS * 2**(attempt - 2))
            batch = _remaining(batch)
            if not batch or await self._try_batch(slot, batch):
                return
        await self._fail(batch)

    async def _try_batch(
        self, slot: int, batch: list[_PendingOperation]
    ) -> bool:
        """Make one attempt; return whether the batch is finished."""
        was_cached = slot in self._cached_by_slot
        cached = await self._load(slot, _max_cache_age(batch))
        if cached is None:
            await self._fail(batch)
            return True
        # A caller that gave up during the read was told that nothing was sent.
        batch = _remaining(batch)
        updated, replies = _apply(cached.value, batch)
        if updated is cached.value:
            age = self._clock() - cached.read_at
            if was_cached and _needs_reread(replies, age):
                self._cached_by_slot.pop(slot, None)
                return False
            await _send_replies(batch, replies)
            return True
        written = [
            item for item, reply in zip(batch, replies)
            if reply.status in _WRITE_STATUSES
        ]
        fault = await self._write(slot, cached, updated, written)
        if fault is None:
            await _send_replies(batch, replies)
            return True
        if fault is store.StoreFault.UNAVAILABLE:
            await self._fail(batch)
            return True
        return False

    async def _load(self, slot: int, max_age: float) -> _CachedRecord | None:
        cached = self._cached_by_slot.get(slot)
        if cached and self._clock() - cached.read_at <= max_age:
            self._cached_by_slot.move_to_end(slot)
            return cached
        entry = await self._store.get(claim_key.record_key(self._shard, slot))
        if isinstance(entry, result.Err):
            return None
        loaded = self._decode(entry.ok_value)
        if loaded is not None:
            self._cache(slot, loaded)
        return loaded

    def _decode(self, entry: store.Entry | None) -> _CachedRecord | None:
        if entry is None or entry.value is None:
            return _CachedRecord(store.ABSENT, record.empty(0), self._clock())
        try:
            value = record.decode(entry.value)
        except msgspec.DecodeError:
            return None
        return _CachedRecord(entry.revision, value, self._clock())

    async def _write(
        self,
        slot: int,
        cached: _CachedRecord,
        updated: record.Record,
        written: list[_PendingOperation],
    ) -> store.StoreFault | None:
        newly_unresolved = [
            item for item in written if not item.write_unresolved
        ]
        for item in written:
            item.write_unresolved = True
        put = await self._store.put(
            claim_key.record_key(self._shard, slot),
            record.encode(updated),
            expected=cached.revision,
        )
        if isinstance(put, result.Ok):
            self._cache(
                slot, _CachedRecord(put.ok_value, updated, self._clock())
            )
            return None
        self._cached_by_slot.pop(slot, None)
        if put.err_value.fault is not store.StoreFault.UNKNOWN:
            for item in newly_unresolved:
                item.write_unresolved = False
        return put.err_value.fault

    def _cache(self, slot: int, cached: _CachedRecord) -> None:
        by_slot = self._cached_by_slot
        by_slot[slot] = cached
        by_slot.move_to_end(slot)
        while len(by_slot) > 1 and _exceeds_cache_limits(by_slot.values()):
            by_slot.popitem(last=False)

    async def _fail(self, batch: list[_PendingOperation]) -> None:
        for item in batch:
            if item.retry_in_outage:
                item.due_at = self._clock() + STORE_RETRY_SECONDS
                await self._add(item)
                continue
            await item.reply.set_value(item.unconfirmed())


def _remaining(batch: list[_PendingOperation]) -> list[_PendingOperation]:
    return [item for item in batch if not item.cancelled]


def _max_cache_age(batch: list[_PendingOperation]) -> float:
    for item in batch:
        if isinstance(item.operation, record.LookUpOperation):
            return LOOK_UP_MAX_AGE_SECONDS
    return math.inf


def _apply(
    current: record.Record,
    batch: list[_PendingOperation],
) -> tuple[record.Record, list[record.Reply]]:
    replies = []
    updated = current
    for item in batch:
        updated, reply = record.apply(updated, item.operation)
        item.seen_claim = reply.claim or item.seen_claim
        replies.append(reply)
    return updated, replies


def _needs_reread(replies: list[record.Reply], age: float) -> bool:
    """Return whether replies from a cached record may be out of date.

    :param age: seconds since the record was read.
    """
    if any(reply.status in _REREAD_STATUSES for reply in replies):
        return True
    # Another daemon may have stored the end of the attempt that held the key.
    return age > LOOK_UP_MAX_AGE_SECONDS and any(
        reply.status is record.Status.IN_PROGRESS for reply in replies
    )


async def _send_replies(
    batch: list[_PendingOperation], replies: list[record.Reply]
) -> None:
    for item, reply in zip(batch, replies):
        if reply.status not in _WRITE_STATUSES:
            reply = claim_replies.after(item.unconfirmed(), reply)
        await item.reply.set_value(reply)


def _exceeds_cache_limits(records: typing.Collection[_CachedRecord]) -> bool:
    if len(records) > MAX_CACHED_RECORDS:
        return True
    claims = sum(len(cached.value.claim_by_id) for cached in records)
    return claims > MAX_CACHED_CLAIMS


__all__ = ('Batcher', 'MAX_PENDING_OPERATIONS', 'WRITE_INTERVAL_SECONDS')
