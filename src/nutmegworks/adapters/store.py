"""The interface of the platform's key-value store."""
from __future__ import annotations

import abc
import dataclasses
import enum
import typing

import result

from nutmegworks.model import ids

LeaseId = typing.NewType('LeaseId', str)

# The store's limit for one value.
MAX_VALUE_BYTES: typing.Final = 1024 * 1024
ABSENT: typing.Final = ids.StoreRevision(0)


class StoreFault(enum.Enum):
    """Why a call has no answer.

    CONFLICT and UNAVAILABLE mean that a write did not take effect; UNKNOWN
    means that it may have.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed store call.

    :param revision: the key's revision, known only for a conflict.
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

    :param revision: the store's revision as of the answer.
    """

    entries: tuple[Entry, ...]
    revision: ids.StoreRevision


class Store(abc.ABC):
    """Compare-and-swap, leases and watches; the source of all that lasts."""

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

        :param after: only keys greater than this one.
        """

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        *,
        after: ids.StoreRevision,
        wait: float,
    ) -> result.Result[Page, StoreError]:
        """Wait for changes after a revision; empty when none came.

        :param wait: seconds. A pending watch counts as a call.
        """

    @abc.abstractmethod
    async def grant_lease(
        self,
        ttl: float,
    ) -> result.Result[LeaseId, StoreError]:
        """Grant a lease of ``ttl`` seconds; keys put under it expire."""

    @abc.abstractmethod
    async def renew_lease(
        self,
        lease_id: LeaseId,
    ) -> result.Result[None, StoreError]:
        """Extend the lease by its ttl; CONFLICT if it has expired."""

    @abc.abstractmethod
    async def revoke_lease(
        self,
        lease_id: LeaseId,
    ) -> result.Result[None, StoreError]:
        """End the lease and delete its keys."""


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
