"""Learns of new configurations from the store."""
from __future__ import annotations

import random
import time
import typing

import curio
import result

from nutmegworks.adapters import store
from nutmegworks.configuration import adoption
from nutmegworks.configuration import holder as holders
from nutmegworks.configuration import reader as readers
from nutmegworks.configuration import records
from nutmegworks.configuration import view as views
from nutmegworks.membership import jitter
from nutmegworks.model import ids

# A silent watch is noticed after this time and the adapter's slack of 1 s.
WATCH_SECONDS: typing.Final = 1.0
# A reader fetches the head at most this often; bursts of changes coalesce.
SPACING_SECONDS: typing.Final = 0.5
# Bounds the harm of a store that forgets a watch without an error.
VERIFY_SECONDS: typing.Final = 15.0
RETRY_SECONDS: typing.Final = 0.1
MAX_RETRY_SECONDS: typing.Final = 1.0
IDLE_SECONDS: typing.Final = 1.0
# When nobody has confirmed the configuration for this long, the readers may
# all be cut from the store; then any daemon may read, together this often.
FALLBACK_AGE_SECONDS: typing.Final = 2.0
FALLBACK_CALLS_PER_SECOND: typing.Final = 4.0
# Assumed before the host list is known.
UNKNOWN_MEMBERS: typing.Final = 100


class Watcher:
    """Watches the store if this daemon is a reader."""

    def __init__(
        self,
        holder: holders.Holder,
        backend: store.Store,
        view: views.View,
        *,
        rng: random.Random,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._holder = holder
        self._store = backend
        self._reader = readers.Reader(backend)
        self._view = view
        self._rng = rng
        self._clock = clock
        self._revision: ids.StoreRevision | None = None
        self._verified = clock()
        self._failures = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        await curio.sleep(self._rng.uniform(0, SPACING_SECONDS))
        while True:
            started = self._clock()
            acted = await self.step()
            pause = self._pause(acted)
            await curio.sleep(max(0.0, pause - (self._clock() - started)))

    async def step(self) -> bool:
        """Call the store if that is this daemon's turn."""
        if self._view.is_reader():
            done = await self._follow()
        elif self._falls_back():
            done = await self._read()
        else:
            self._revision = None
            return False
        self._failures = 0 if done else self._failures + 1
        return True

    def _pause(self, acted: bool) -> float:
        if not acted:
            return jitter.spread(self._rng, IDLE_SECONDS)
        if self._failures:
            return jitter.backoff(
                self._rng,
                self._failures,
                base=RETRY_SECONDS,
                cap=MAX_RETRY_SECONDS,
            )
        return SPACING_SECONDS

    def _falls_back(self) -> bool:
        age = self._holder.age()
        if age is not None and age < FALLBACK_AGE_SECONDS:
            return False
        return jitter.cluster_share(
            self._rng,
            rate=FALLBACK_CALLS_PER_SECOND,
            members=self._view.member_count() or UNKNOWN_MEMBERS,
            seconds=IDLE_SECONDS,
        )

    async def _follow(self) -> bool:
        overdue = self._clock() - self._verified >= VERIFY_SECONDS
        if self._revision is None or overdue:
            return await self._read()
        return await self._watch(self._revision)

    async def _read(self) -> bool:
        asked = self._clock()
        read = await self._reader.head()
        if isinstance(read, result.Err):
            return False
        self._verified = asked
        head, revision = read.ok_value
        return await self._take_head(head, revision, asked)

    async def _watch(self, revision: ids.StoreRevision) -> bool:
        asked = self._clock()
        page = await self._store.watch(
            records.HEAD_KEY, after=revision, wait=WATCH_SECONDS
        )
        if isinstance(page, result.Err):
            # The watch may have swallowed a change: read at once.
            self._revision = None
            return False
        for entry in page.ok_value.entries:
            if entry.key == records.HEAD_KEY and entry.value is not None:
                head = readers.decode(entry, records.Head)
                if isinstance(head, result.Err):
                    return False
                return await self._take_head(
                    head.ok_value, entry.revision, asked
                )
        if self._clock() - asked < WATCH_SECONDS / 2:
            # Something changed, but the answer does not show it: it is stale.
            self._revision = None
            return True
        self._holder.confirm(self._holder.sequence, asked)
        return True

    async def _take_head(
        self,
        head: records.Head,
        revision: ids.StoreRevision,
        asked: float,
    ) -> bool:
        # Only a revision at which the head was seen may be watched from: the
        # store's own revision may be ahead of a stale answer.
        self._revision = max(revision, self._revision or revision)
        if head.sequence < self._holder.sequence:
            return True
        newer = head.after(self._holder.sequence)
        step = adoption.Step.NEED_OLDER
        if newer is not None:
            step = await self._holder.take_changes(newer)
        if step is adoption.Step.NEED_OLDER:
            if not await self._take_document(head):
                self._revision = None
                return False
        self._holder.confirm(head.sequence, asked)
        return True

    async def _take_document(self, head: records.Head) -> bool:
        document = await self._reader.document(head)
        if isinstance(document, result.Err):
            return False
        await self._holder.take_snapshot(
            records.Snapshot(head.sequence, document.ok_value)
        )
        return True


__all__ = ('Watcher', )
