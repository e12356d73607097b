"""The outside world as the controllers use it."""
from __future__ import annotations

import abc
import dataclasses
import enum
import typing

import result

from nutmegworks.model import ids
from nutmegworks.tasks import configuration as configurations
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

LeaseId = typing.NewType('LeaseId', int)

NO_LEASE: typing.Final = LeaseId(0)
ABSENT: typing.Final = ids.StoreRevision(0)


class Effect(enum.Enum):
    """Whether a failed call may have taken effect."""

    NONE = 'none'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A call without a usable answer.

    :param isolated: no route to the store answered at all.
    """

    effect: Effect
    detail: str
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored value.

    :param revision: of its last change.
    """

    key: str
    value: bytes
    revision: ids.StoreRevision
    lease_id: LeaseId = NO_LEASE


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a prefix holds, or how it changed.

    :param items: written items; all items in a listing.
    :param removed: keys that were removed, with the revision.
    :param revision: the store's revision to continue from.
    """

    items: tuple[Item, ...]
    removed: tuple[tuple[str, ids.StoreRevision], ...]
    revision: ids.StoreRevision

    def settled(self) -> Changes:
        """Return the changes without those that a later one undid."""
        written = {item.key: item.revision for item in self.items}
        removed = dict(self.removed)
        return Changes(
            tuple(
                item for item in self.items
                if item.revision >= removed.get(item.key, ABSENT)
            ),
            tuple(
                (key, revision)
                for key, revision in self.removed
                if revision > written.get(key, ABSENT)
            ),
            self.revision,
        )


class HistoryLostError(Exception):
    """The store no longer knows the changes after a revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    key: str
    value: bytes
    lease_id: LeaseId = NO_LEASE


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are made together or not at all.

    :param expected: revisions by key; ABSENT if the key must not exist.
    """

    expected: typing.Mapping[str, ids.StoreRevision]
    writes: tuple[Write, ...] = ()
    removed: tuple[str, ...] = ()


class CommitOutcome(enum.Enum):
    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    NO_LEASE = 'no-lease'


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """:param current_by_key: expected items as they are, on a conflict."""

    outcome: CommitOutcome
    revision: ids.StoreRevision = ABSENT
    current_by_key: typing.Mapping[str, Item] = dataclasses.field(
        default_factory=dict
    )


class Store(abc.ABC):
    """The platform's key-value store; all times are in seconds."""

    @abc.abstractmethod
    def is_down(self) -> bool:
        """Return whether a call now is known to be in vain."""

    @abc.abstractmethod
    async def get(
        self,
        key: str,
    ) -> result.Result[Item | None, StoreError]:
        ...

    @abc.abstractmethod
    async def list(self, prefix: str) -> result.Result[Changes, StoreError]:
        """Return all items below a prefix."""

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        after: ids.StoreRevision,
        wait: float,
    ) -> result.Result[Changes, StoreError]:
        """Return changes after a revision as soon as there are any.

        :raise HistoryLostError: list the prefix again.
        """

    @abc.abstractmethod
    async def commit(
        self,
        transaction: Transaction,
        *,
        timeout: float | None = None,
    ) -> result.Result[Commit, StoreError]:
        ...

    @abc.abstractmethod
    async def grant_lease(
        self,
        seconds: float,
    ) -> result.Result[LeaseId, StoreError]:
        ...

    @abc.abstractmethod
    async def renew_lease(
        self,
        lease_id: LeaseId,
    ) -> result.Result[bool, StoreError]:
        """Return whether the lease still existed."""

    @abc.abstractmethod
    async def end_lease(
        self,
        lease_id: LeaseId,
    ) -> result.Result[bool, StoreError]:
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """A worker gave no usable answer; it may have acted or act later."""

    detail: str


class WorkerClient(abc.ABC):
    """Orders to workers."""

    @abc.abstractmethod
    async def start(
        self,
        worker: workers.WorkerEntry,
        order: workers.StartOrder,
        *,
        fresh: bool = False,
    ) -> workers.StartVerdict:
        """Order a run; repeating the same order is harmless."""

    @abc.abstractmethod
    async def stop(
        self,
        worker: workers.WorkerEntry,
        task: spec.TaskKey,
        run: workers.RunNumber,
        token: ids.FencingToken,
        *,
        fresh: bool = False,
    ) -> result.Result[bool, CallError]:
        """Stop a run and prevent it from starting later.

        :return: False if a higher token has been seen there.
        """

    @abc.abstractmethod
    async def renew(
        self,
        worker: workers.WorkerEntry,
        token: ids.FencingToken,
        acknowledged: int,
        *,
        lease_until: int | None,
        wait: float,
    ) -> result.Result[workers.Report | None, CallError]:
        """Extend the lease of all runs and return the worker's lists.

        :param acknowledged: number of the last end that is stored.
        :param lease_until: milliseconds on the worker's clock; None leaves
            the lease as it is.
        :param wait: seconds to wait for an end.
        :return: None if a higher token has been seen there.
        """


class Decoder(abc.ABC):
    """Reads the documents that others write into the store."""

    configuration_key: str
    workers_prefix: str

    @abc.abstractmethod
    def configuration(self, data: bytes) -> configurations.Configuration:
        """:raise ValueError: unreadable."""

    @abc.abstractmethod
    def worker(self, key: str, data: bytes) -> workers.WorkerEntry:
        """:raise ValueError: unreadable."""

    @abc.abstractmethod
    def submission(self, data: bytes) -> spec.Submission:
        """:raise ValueError: unreadable."""


__all__ = (
    'ABSENT',
    'CallError',
    'Changes',
    'Commit',
    'CommitOutcome',
    'Decoder',
    'Effect',
    'HistoryLostError',
    'Item',
    'LeaseId',
    'NO_LEASE',
    'Store',
    'StoreError',
    'Transaction',
    'WorkerClient',
    'Write',
)
