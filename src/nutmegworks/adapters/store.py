"""Interface of the platform's key-value store."""
from __future__ import annotations

import abc
import dataclasses
import enum
import typing

import result

from nutmegworks.model import ids

LeaseId = typing.NewType('LeaseId', str)

# The store rejects larger values.
MAX_VALUE_BYTES: typing.Final = 1024 * 1024
# Revision of a key that does not exist.
ABSENT: typing.Final = ids.StoreRevision(0)


class StoreFault(enum.Enum):
    """Why a call failed.

    CONFLICT and UNAVAILABLE mean that a write did not take effect; UNKNOWN
    means that it may have.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed store call.

    :param revision: the key's current revision; known only for a conflict.
    """

    fault: StoreFault
    detail: str = ''
    revision: ids.StoreRevision = ABSENT


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value; a deleted key has no value."""

    key: str
    revision: ids.StoreRevision
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Entries in key order.

    :param revision: the store's revision as of the response.
    """

    entries: tuple[Entry, ...]
    revision: ids.StoreRevision


class Store(abc.ABC):
    """Key-value store with compare-and-swap, leases and watches.

    All durable state of the daemon is kept here.
    """

    @abc.abstractmethod
    async def get(
        self,
        key: str,
    ) -> result.Result[Entry | None, StoreError]:
        """Return the entry, or None if the key is absent."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected: ids.StoreRevision,
        lease_id: LeaseId | None = None,
    ) -> result.Result[ids.StoreRevision, StoreError]:
        """Write the value if the key still has the expected revision.

        :param expected: ABSENT to create the key.
        :return: the new revision.
        """

    @abc.abstractmethod
    async def delete(
        self,
        key: str,
        *,
        expected: ids.StoreRevision,
    ) -> result.Result[None, StoreError]:
        """Delete the key if it still has the expected revision."""

    @abc.abstractmethod
    async def range(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 100,
    ) -> result.Result[Page, StoreError]:
        """Return entries whose key starts with the prefix.

        :param after: return only keys greater than this one.
        :param limit: number of entries.
        """

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        *,
        after: ids.StoreRevision,
        wait: float,
    ) -> result.Result[Page, StoreError]:
        """Wait for changes after a revision.

        A pending watch counts as a call to the store.

        :param wait: seconds after which the page is empty.
        """

    @abc.abstractmethod
    async def grant_lease(
        self,
        ttl: float,
    ) -> result.Result[LeaseId, StoreError]:
        """Grant a lease of ``ttl`` seconds.

        Keys that were put with the lease are deleted when it expires.
        """

    @abc.abstractmethod
    async def renew_lease(
        self,
        lease_id: LeaseId,
    ) -> result.Result[None, StoreError]:
        """Renew the lease for its TTL; CONFLICT if it has expired."""

    @abc.abstractmethod
    async def revoke_lease(
        self,
        lease_id: LeaseId,
    ) -> result.Result[None, StoreError]:
        """Revoke the lease and delete its keys."""


__all__ = (
    'ABSENT',
    'Entry',
    'LeaseId',
    'MAX_VALUE_BYTES',
    'Page',
    'Store',
    'StoreError',
    'StoreFault',
)
