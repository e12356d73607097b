"""An in-memory store into which a test injects faults call by call."""
from __future__ import annotations

import typing

import result

from nutmegworks.adapters import store
from nutmegworks.model import ids


def _error(fault: store.StoreFault) -> result.Err[store.StoreError]:
    return result.Err(store.StoreError(fault, 'injected'))


class MemoryStore(store.Store):
    """Stores every version of every key.

    :ivar lose_answers: number of puts that take effect but return UNKNOWN.
    :ivar drop_writes: number of puts that take no effect and return UNKNOWN.
    :ivar stale: the lag of the next reads in revisions, one item per read.
    :ivar before_put: called before the next puts, one item per put, so that
        a test can interfere between a read and its CAS.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.versions_by_key: dict[str, list[tuple[int, bytes | None]]] = {}
        self.lose_answers = 0
        self.drop_writes = 0
        self.stale: list[int] = []
        self.before_put: list[typing.Callable[[], typing.Awaitable[None]]] = []

    def keys(self, prefix: str) -> list[str]:
        return sorted(
            key for key, versions in self.versions_by_key.items()
            if key.startswith(prefix) and versions[-1][1] is not None
        )

    def _read(self, key: str, lag: int = 0) -> tuple[int, bytes | None]:
        for revision, value in reversed(self.versions_by_key.get(key, [])):
            if revision <= self.revision - lag:
                return revision, value
        return 0, None

    async def get(
        self,
        key: str,
    ) -> result.Result[store.Entry | None, store.StoreError]:
        revision, value = self._read(
            key,
            self.stale.pop(0) if self.stale else 0
        )
        if value is None:
            return result.Ok(None)
        return result.Ok(store.Entry(key, ids.StoreRevision(revision), value))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected: ids.StoreRevision,
        lease_id: store.LeaseId | None = None,
    ) -> result.Result[ids.StoreRevision, store.StoreError]:
        if self.before_put:
            await self.before_put.pop()()
        if self.drop_writes:
            self.drop_writes -= 1
            return _error(store.StoreFault.UNKNOWN)
        revision, current = self._read(key)
        if expected != (0 if current is None else revision):
            return _error(store.StoreFault.CONFLICT)
        self._write(key, value)
        if self.lose_answers:
            self.lose_answers -= 1
            return _error(store.StoreFault.UNKNOWN)
        return result.Ok(ids.StoreRevision(self.revision))

    def _write(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        self.versions_by_key.setdefault(key, []).append((self.revision, value))

    async def delete(
        self,
        key: str,
        *,
        expected: ids.StoreRevision,
    ) -> result.Result[None, store.StoreError]:
        if self._read(key)[0] != expected:
            return _error(store.StoreFault.CONFLICT)
        self._write(key, None)
        return result.Ok(None)

    async def range(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 100,
    ) -> result.Result[store.Page, store.StoreError]:
        keys = [key for key in self.keys(prefix) if key > after][:limit]
        entries = []
        for key in keys:
            revision, value = self._read(key)
            entries.append(
                store.Entry(key, ids.StoreRevision(revision), value)
            )
        revision = ids.StoreRevision(self.revision)
        return result.Ok(store.Page(tuple(entries), revision))

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.StoreRevision,
        wait: float,
    ) -> result.Result[store.Page, store.StoreError]:
        lag = self.stale.pop(0) if self.stale else 0
        entries = []
        for key in self.keys(prefix):
            revision, value = self._read(key, lag)
            if revision > after:
                entries.append(
                    store.Entry(key, ids.StoreRevision(revision), value)
                )
        latest = ids.StoreRevision(self.revision)
        return result.Ok(store.Page(tuple(entries), latest))

    async def grant_lease(
        self,
        ttl: float,
    ) -> result.Result[store.LeaseId, store.StoreError]:
        raise NotImplementedError

    async def renew_lease(
        self,
        lease_id: store.LeaseId,
    ) -> result.Result[None, store.StoreError]:
        raise NotImplementedError

    async def revoke_lease(
        self,
        lease_id: store.LeaseId,
    ) -> result.Result[None, store.StoreError]:
        raise NotImplementedError


__all__ = ('MemoryStore', )
