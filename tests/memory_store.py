"""An in-memory store without sockets whose next writes can be made to fail."""
from __future__ import annotations

import collections
import enum

import curio
import result

from nutmegworks.adapters import store
from nutmegworks.model import ids

_UNKNOWN = result.Err(store.StoreError(store.StoreFault.UNKNOWN, 'lost'))
_DOWN = result.Err(store.StoreError(store.StoreFault.UNAVAILABLE, 'down'))


class Fault(enum.Enum):
    """What happens to one write.

    LOSE applies it and reports an unknown outcome. DROP reports the same
    without applying it. DELAY reports the same and applies it at the next call
    of ``deliver``. DOWN refuses it. LOSE_AND_DOWN is LOSE, after which the
    store is down.
    """

    NONE = 'none'
    LOSE = 'lose'
    DROP = 'drop'
    DELAY = 'delay'
    DOWN = 'down'
    LOSE_AND_DOWN = 'lose-and-down'


class MemoryStore(store.Store):
    """Keeps entries in memory.

    :ivar faults: faults of the next writes, in order.
    :ivar delay: seconds by which each read and write is delayed.
    :ivar stale_by_key: entry that the next read of a key returns instead.
    """

    def __init__(self, *, delay: float = 0.0) -> None:
        self.faults: collections.deque[Fault] = collections.deque()
        self.down = False
        self.delay = delay
        self.gets = 0
        self.puts = 0
        self.stale_by_key: dict[str, store.Entry] = {}
        self._entry_by_key: dict[str, store.Entry] = {}
        self._revision = 0
        self._delayed: list[tuple[str, bytes, int]] = []

    def peek(self, key: str) -> store.Entry | None:
        return self._entry_by_key.get(key)

    def deliver(self) -> None:
        """Apply the delayed writes if their revisions still match."""
        for key, value, expected in self._delayed:
            self._apply(key, value, expected)
        self._delayed.clear()

    async def get(self, key):
        self.gets += 1
        await curio.sleep(self.delay)
        if self.down:
            return _DOWN
        stale_entry = self.stale_by_key.pop(key, None)
        return result.Ok(stale_entry or self._entry_by_key.get(key))

    async def put(self, key, value, *, expected, lease_id=None):
        self.puts += 1
        await curio.sleep(self.delay)
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if self.down or fault is Fault.DOWN:
            return _DOWN
        if fault is Fault.DROP:
            return _UNKNOWN
        if fault is Fault.DELAY:
            self._delayed.append((key, value, expected))
            return _UNKNOWN
        applied = self._apply(key, value, expected)
        if not applied:
            error = store.StoreError(store.StoreFault.CONFLICT, 'revision')
            return result.Err(error)
        self.down = fault is Fault.LOSE_AND_DOWN
        if fault in (Fault.LOSE, Fault.LOSE_AND_DOWN):
            return _UNKNOWN
        return result.Ok(ids.StoreRevision(self._revision))

    def _apply(self, key: str, value: bytes, expected: int) -> bool:
        current = self._entry_by_key.get(key)
        if expected != (current.revision if current else 0):
            return False
        self._revision += 1
        revision = ids.StoreRevision(self._revision)
        self._entry_by_key[key] = store.Entry(key, revision, value)
        return True

    async def delete(self, key, *, expected):
        raise NotImplementedError

    async def range(self, prefix, *, after='', limit=100):
        raise NotImplementedError

    async def watch(self, prefix, *, after, wait):
        raise NotImplementedError

    async def grant_lease(self, ttl):
        return _DOWN if self.down else result.Ok(store.LeaseId('lease'))

    async def renew_lease(self, lease_id):
        raise NotImplementedError

    async def revoke_lease(self, lease_id):
        raise NotImplementedError


__all__ = ('Fault', 'MemoryStore')
