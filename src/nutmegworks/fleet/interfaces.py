"""Interfaces to the store, the workers and the stored documents."""
from __future__ import annotations

import abc
import dataclasses
import enum
import typing

import result

from nutmegworks.model import ids
from nutmegworks.policy import call_effect
from nutmegworks.tasks import configuration as configurations
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

LeaseId = typing.NewType('LeaseId', int)

NO_LEASE: typing.Final = LeaseId(0)
ABSENT: typing.Final = ids.StoreRevision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A store call that failed or returned an unusable answer.

    :param effect: whether the call may have taken effect nevertheless.
    :param detail: cause of the failure, for logs.
    :param isolated: neither the store nor a host of another failure domain
        answered.
    """

    effect: call_effect.Effect
    detail: str
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored value.

    :param revision: store revision of its last change.
    """

    key: str
    value: bytes
    revision: ids.StoreRevision
    lease_id: LeaseId = NO_LEASE


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The content of a prefix, or changes to it.

    :param items: written items; in a listing, all items of the prefix.
    :param removed: removed keys, each with the revision of its removal.
    :param revision: store revision after which a watch continues.
    """

    items: tuple[Item, ...]
    removed: tuple[tuple[str, ids.StoreRevision], ...]
    revision: ids.StoreRevision

    def coalesced(self) -> Changes:
        """Drop writes undone by a later removal, and the reverse."""
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
    """The store has compacted the changes after a revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    key: str
    value: bytes
    lease_id: LeaseId = NO_LEASE


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and removals that are committed atomically.

    :param expected: required revisions by key; ABSENT if the key must not
        exist.
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
    """The result of a transaction.

    :param revision: the store's revision after a successful commit.
    :param current_by_key: on a conflict, the current items of the expected
        keys that exist.
    """

    outcome: CommitOutcome
    revision: ids.StoreRevision = ABSENT
    current_by_key: typing.Mapping[str, Item] = dataclasses.field(
        default_factory=dict
    )


class Store(abc.ABC):
    """The platform's key-value store; all durations are in seconds."""

    @abc.abstractmethod
    def is_down(self) -> bool:
        """Return whether the store is currently known not to answer."""

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

        :param wait: seconds after which an empty answer is returned.
        :raise HistoryLostError: the changes are no longer available; the
            caller has to list the prefix again.
        """

    @abc.abstractmethod
    async def commit(
        self,
        transaction: Transaction,
        *,
        timeout: float | None = None,
        repeatable: bool = False,
    ) -> result.Result[Commit, StoreError]:
        """Commit a transaction.

        :param repeatable: the caller recognizes a conflict with an earlier
            copy of the same transaction, so it may be sent twice.
        """

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


class Delivery(enum.Enum):
    """What became of a request to a worker.

    :cvar UNANSWERED: no usable answer in time; it may still take effect.
    :cvar BROKEN: the connection broke; it may have taken effect.
    :cvar UNREACHED: no connection could be opened; it was not sent.
    :cvar NO_CONNECTION: this host had no connection left; it was not sent.
    """

    ANSWERED = 'answered'
    UNANSWERED = 'unanswered'
    BROKEN = 'broken'
    UNREACHED = 'unreached'
    NO_CONNECTION = 'no-connection'


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """A worker gave no usable answer.

    :param replaced: another worker answered at the address, so the intended
        incarnation has ended.
    :param delivery: whether the request may still take effect.
    """

    detail: str
    replaced: bool = False
    delivery: Delivery = Delivery.UNANSWERED


class WorkerClient(abc.ABC):
    """Requests from the leader to workers.

    With ``fresh`` a request is sent over a new connection.
    """

    async def disconnect(self) -> None:
        """Close the connections that no request uses."""

    @abc.abstractmethod
    async def start(
        self,
        worker: workers.WorkerEntry,
        request: workers.StartRequest,
        *,
        fresh: bool = False,
    ) -> workers.StartOutcome:
        """Request the start of a run; idempotent for the same request."""

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
        """Stop a run, or prevent it from starting if it has not arrived yet.

        :return: False if the worker has seen a higher token.
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
        """Extend the lease of all runs and return the worker's report.

        :param acknowledged: number of the last ended run that is stored.
        :param lease_until: end of the lease in milliseconds on the worker's
            clock; None doesn't change the lease.
        :param wait: seconds that the worker may wait for a run to end before
            it answers.
        :return: None if the worker has seen a higher token.
        """


class Decoder(abc.ABC):
    """Decodes documents that other systems write into the store."""

    configuration_key: str
    workers_prefix: str

    @abc.abstractmethod
    def configuration(self, data: bytes) -> configurations.Configuration:
        """Decode a configuration document.

        :raise ValueError: it is not valid.
        """

    @abc.abstractmethod
    def worker(self, key: str, data: bytes) -> workers.WorkerEntry:
        """Decode a worker entry.

        :raise ValueError: it is not valid.
        """

    @abc.abstractmethod
    def submission(self, data: bytes) -> spec.Submission:
        """Decode a job submission.

        :raise ValueError: it is not valid.
        """

    @abc.abstractmethod
    def compact_submission(self, data: bytes) -> bytes:
        """Return a job submission without what ``submission`` ignores.

        :raise ValueError: it is not valid.
        """


__all__ = (
    'ABSENT',
    'CallError',
    'Changes',
    'Commit',
    'CommitOutcome',
    'Decoder',
    'Delivery',
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
