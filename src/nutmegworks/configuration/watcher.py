"""Reads new configurations from the store."""
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

# A watch that gets no answer is detected after this time plus the 1 s of
# httpstore.WATCH_SLACK_SECONDS.
WATCH_TIMEOUT_SECONDS: typing.Final = 1.0
# Minimum time from the start of one successful call to the next, so that a
# burst of changes is fetched at once.
READ_INTERVAL_SECONDS: typing.Final = 0.5
# The head is read at least this often, in case the store drops a watch without
# an error.
VERIFY_INTERVAL_SECONDS: typing.Final = 15.0
RETRY_DELAY_SECONDS: typing.Final = 0.1
MAX_RETRY_DELAY_SECONDS: typing.Final = 1.0
# A daemon that does not read checks this often whether it should.
IDLE_INTERVAL_SECONDS: typing.Final = 1.0
# If no reader has confirmed the configuration for this long, all readers may
# have lost the store. Then every daemon may read; the rate is for all daemons
# together.
FALLBACK_AGE_SECONDS: typing.Final = 2.0
FALLBACK_READS_PER_SECOND: typing.Final = 4.0
# Used until the host list is known.
DEFAULT_MEMBER_COUNT: typing.Final = 100


class Watcher:
    """Watches the store if this daemon is a designated reader."""

    def __init__(
        self,
        holder: holders.Holder,
        backend: store.Store,
        view: views.ClusterView,
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
        self._verified_at = clock()
        self._failures = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        await curio.sleep(self._rng.uniform(0, READ_INTERVAL_SECONDS))
        while True:
            started = self._clock()
            called = await self.step()
            pause = self._pause(called)
            await curio.sleep(max(0.0, pause - (self._clock() - started)))

    async def step(self) -> bool:
        """Call the store if this daemon is to read it now.

        :return: whether it called the store.
        """
        if self._view.is_reader():
            succeeded = await self._follow()
        elif self._should_fall_back():
            succeeded = await self._read()
        else:
            self._revision = None
            return False
        self._failures = 0 if succeeded else self._failures + 1
        return True

    def _pause(self, called: bool) -> float:
        if not called:
            return jitter.spread(self._rng, IDLE_INTERVAL_SECONDS)
        if self._failures:
            return jitter.backoff(
                self._rng,
                self._failures,
                base=RETRY_DELAY_SECONDS,
                cap=MAX_RETRY_DELAY_SECONDS,
            )
        return READ_INTERVAL_SECONDS

    def _should_fall_back(self) -> bool:
        age = self._holder.age()
        if age is not None and age < FALLBACK_AGE_SECONDS:
            return False
        return jitter.should_make_shared_call(
            self._rng,
            rate=FALLBACK_READS_PER_SECOND,
            member_count=self._view.member_count() or DEFAULT_MEMBER_COUNT,
            seconds=IDLE_INTERVAL_SECONDS,
        )

    async def _follow(self) -> bool:
        overdue = self._clock() - self._verified_at >= VERIFY_INTERVAL_SECONDS
        if self._revision is None or overdue:
            return await self._read()
        return await self._watch(self._revision)

    async def _read(self) -> bool:
        requested_at = self._clock()
        read = await self._reader.head()
        if isinstance(read, result.Err):
            return False
        self._verified_at = requested_at
        head, revision = read.ok_value
        return await self._adopt_head(head, revision, requested_at)

    async def _watch(self, revision: ids.StoreRevision) -> bool:
        requested_at = self._clock()
        page = await self._store.watch(
            records.HEAD_KEY, after=revision, wait=WATCH_TIMEOUT_SECONDS
        )
        if isinstance(page, result.Err):
            # The failed watch may have missed a change: read next.
            self._revision = None
            return False
        for entry in page.ok_value.entries:
            if entry.key == records.HEAD_KEY and entry.value is not None:
                head = readers.decode(entry, records.Head)
                if isinstance(head, result.Err):
                    return False
                return await self._adopt_head(
                    head.ok_value, entry.revision, requested_at
                )
        if self._clock() - requested_at < WATCH_TIMEOUT_SECONDS / 2:
            # The watch ended early, so something changed; an answer without
            # the change is stale.
            self._revision = None
            return True
        self._holder.confirm(self._holder.sequence, requested_at)
        return True

    async def _adopt_head(
        self,
        head: records.Head,
        revision: ids.StoreRevision,
        requested_at: float,
    ) -> bool:
        # A watch must start from the revision of a head that was read: the
        # store's own revision may be ahead of a stale answer.
        self._revision = max(revision, self._revision or revision)
        if head.sequence < self._holder.sequence:
            return True
        newer = head.changes_after(self._holder.sequence)
        action = adoption.Action.NEED_OLDER
        if newer is not None:
            action = await self._holder.adopt_changes(newer)
        if action is adoption.Action.NEED_OLDER:
            if not await self._adopt_document(head):
                self._revision = None
                return False
        self._holder.confirm(head.sequence, requested_at)
        return True

    async def _adopt_document(self, head: records.Head) -> bool:
        document = await self._reader.document(head)
        if isinstance(document, result.Err):
            return False
        await self._holder.adopt_snapshot(
            records.Snapshot(head.sequence, document.ok_value)
        )
        return True


__all__ = ('Watcher', )
