"""Accepts configuration changes by compare-and-swap (CAS) on the head."""
from __future__ import annotations

import dataclasses
import random
import time
import typing

import curio
import result

from nutmegworks.adapters import store
from nutmegworks.configuration import change as changes
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import reader as readers
from nutmegworks.configuration import records
from nutmegworks.configuration import rejection
from nutmegworks.configuration import validation
from nutmegworks.model import ids

ACCEPT_TIMEOUT_SECONDS: typing.Final = 10.0
# Range of the random delay before the next round; it separates operators whose
# CAS collided.
RETRY_DELAY_SECONDS: typing.Final = (0.005, 0.05)
# Half of MAX_HEAD_BYTES, so that the head can hold other changes too.
MAX_CHANGE_BYTES: typing.Final = 128 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The stored configuration at one revision of the head."""

    head: records.Head
    revision: ids.StoreRevision
    document: documents.Document

    @property
    def sequence(self) -> ids.ConfigSequence:
        return self.head.sequence


@dataclasses.dataclass(slots=True)
class _Attempt:
    """The state of one call of ``accept``, over several rounds.

    :param base: the sequence that the author of the change saw.
    :param unresolved_at: revision of the head that the latest write with
        unknown outcome was to replace; None if there was no such write.
    :param detail: the error of the last round.
    """

    change: changes.Change
    base: int
    unresolved_at: ids.StoreRevision | None = None
    detail: str = ''

    @property
    def unresolved(self) -> bool:
        return self.unresolved_at is not None

    def may_replace(self, revision: ids.StoreRevision) -> bool:
        """Return whether a write may still replace, or have replaced, a head.

        A later head that lacks the change shows that no write took effect.
        """
        return (
            self.unresolved_at is not None and revision <= self.unresolved_at
        )

    def record_failure(
        self,
        error: store.StoreError,
        replaced: ids.StoreRevision,
    ) -> None:
        """Record the failure of a CAS on the head."""
        self.detail = f'{error.fault.value}: {error.detail}'
        if error.fault is store.StoreFault.UNKNOWN:
            self.unresolved_at = replaced

    def to_rejection(self) -> rejection.Rejection:
        kind = rejection.RejectionKind.UNAVAILABLE
        if self.unresolved:
            kind = rejection.RejectionKind.UNKNOWN
        return rejection.Rejection(kind, (self.detail, ))


_Outcome = result.Result[changes.AcceptedChange, rejection.Rejection]


class Repository:
    """Reads and changes the configuration in the store.

    :param guarantee_check: checks that the guaranteed shapes fit.
    :param domain_ids: the failure domains that exist; None to accept any.
    :param clock: seconds, monotonic.
    :param pause: sleeps between two rounds; its argument is seconds.
    """

    def __init__(
        self,
        backend: store.Store,
        *,
        rng: random.Random,
        guarantee_check: validation.GuaranteeCheck = validation.accept_all,
        domain_ids: typing.Container[str] | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
        pause: typing.Callable[[float], typing.Awaitable[None]] = curio.sleep,
    ) -> None:
        self._store = backend
        self._reader = readers.Reader(backend)
        self._rng = rng
        self._guarantee_check = guarantee_check
        self._domain_ids = domain_ids
        self._clock = clock
        self._pause = pause
        self._latest: State | None = None
        self._new_snapshots: list[records.SnapshotRef] = []

    @property
    def recent_changes(self) -> tuple[changes.AcceptedChange, ...]:
        """Return the changes in the latest head that was read or written."""
        return () if self._latest is None else self._latest.head.changes

    async def load(self) -> result.Result[State, store.StoreError]:
        """Return the stored configuration, never an older one than before."""
        read = await self._reader.head()
        if isinstance(read, result.Err):
            return read
        head, revision = read.ok_value
        latest = self._latest
        if latest is not None and revision <= latest.revision:
            # A revision that is not higher is unchanged or a stale read.
            return result.Ok(latest)
        document = await self._document(head)
        if isinstance(document, result.Err):
            return document
        self._latest = State(head, revision, document.ok_value)
        return result.Ok(self._latest)

    async def _document(
        self,
        head: records.Head,
    ) -> result.Result[documents.Document, store.StoreError]:
        latest = self._latest
        newer = None if latest is None else head.changes_after(latest.sequence)
        if latest is None or newer is None:
            return await self._reader.document(head)
        return readers.try_replay(latest.document, newer)

    async def history(
        self,
        *,
        after: int,
    ) -> result.Result[tuple[changes.AcceptedChange, ...], store.StoreError]:
        """Return all changes accepted after a sequence, oldest first."""
        loaded = await self.load()
        if isinstance(loaded, result.Err):
            return loaded
        return await self._reader.changes_after(loaded.ok_value.head, after)

    async def accept(
        self,
        change: changes.Change,
        *,
        base: int,
        timeout: float = ACCEPT_TIMEOUT_SECONDS,
    ) -> _Outcome:
        """Append a change to the configuration.

        A retry with the same change id returns the accepted change, if that
        came after the base or is among the last 64 changes.

        :param base: the sequence that its author saw.
        :param timeout: seconds after which no new round is started.
        """
        attempt = _Attempt(change, base)
        deadline = self._clock() + timeout
        while True:
            outcome = await self._run_round(attempt)
            if outcome is not None:
                return outcome
            if self._clock() >= deadline:
                return result.Err(attempt.to_rejection())
            await self._pause(self._rng.uniform(*RETRY_DELAY_SECONDS))

    async def _run_round(self, attempt: _Attempt) -> _Outcome | None:
        """Run one round; return None if another round may succeed."""
        loaded = await self.load()
        if isinstance(loaded, result.Err):
            attempt.detail = loaded.err_value.detail
            return None
        state = loaded.ok_value
        if state.sequence < attempt.base:
            attempt.detail = (
                f'the store answers as of change {state.sequence}, '
                f'before {attempt.base}'
            )
            return None
        since = await self._reader.changes_after(state.head, attempt.base)
        if isinstance(since, result.Err):
            attempt.detail = since.err_value.detail
            return None
        for accepted in (*state.head.changes, *since.ok_value):
            if accepted.change.change_id == attempt.change.change_id:
                return result.Ok(accepted)
        document = self._prepare(state, attempt.change, since.ok_value)
        if isinstance(document, result.Err):
            if attempt.may_replace(state.revision):
                attempt.detail = '; '.join(document.err_value.faults)
                return None
            return document
        return await self._write(attempt, state, document.ok_value)

    def _prepare(
        self,
        state: State,
        change: changes.Change,
        since: tuple[changes.AcceptedChange, ...],
    ) -> result.Result[documents.Document, rejection.Rejection]:
        faults = rejection.conflict_faults(change, since)
        if faults:
            return result.Err(
                rejection.Rejection(rejection.RejectionKind.CONFLICT, faults)
            )
        if len(documents.encode(change)) > MAX_CHANGE_BYTES:
            return _invalid(f'the change exceeds {MAX_CHANGE_BYTES} bytes')
        try:
            document = changes.apply(state.document, change)
        except changes.ChangeError as error:
            return _invalid(str(error))
        faults = validation.validate(
            document,
            guarantee_check=self._guarantee_check,
            domain_ids=self._domain_ids,
        )
        faults += rejection.size_faults(document)
        return _invalid(*faults) if faults else result.Ok(document)

    async def _write(
        self,
        attempt: _Attempt,
        state: State,
        document: documents.Document,
    ) -> _Outcome | None:
        trimmed = await self._trim(state)
        if isinstance(trimmed, result.Err):
            attempt.detail = trimmed.err_value.detail
            return None
        trimmed_head = trimmed.ok_value
        sequence = ids.ConfigSequence(state.sequence + 1)
        accepted = changes.AcceptedChange(sequence, attempt.change)
        head = records.Head(
            sequence, (*trimmed_head.changes, accepted), trimmed_head.snapshots
        )
        answer = await self._store.put(
            records.HEAD_KEY,
            documents.encode(head),
            expected=state.revision,
        )
        if isinstance(answer, result.Err):
            attempt.record_failure(answer.err_value, state.revision)
            return None
        self._latest = State(head, answer.ok_value, document)
        await self._delete_unreferenced_snapshots(state.head, head)
        return result.Ok(accepted)

    async def _trim(
        self,
        state: State,
    ) -> result.Result[records.Head, store.StoreError]:
        """Archive the oldest changes if the head has become too long.

        :return: the head without the archived changes.
        """
        head = state.head
        count = records.count_to_archive(head, len(documents.encode(head)))
        if not count:
            return result.Ok(head)
        dropped = head.changes[:count]
        archived = await self._create_if_absent(
            records.archive_key(dropped[0].sequence, dropped[-1].sequence),
            records.Archive(dropped),
        )
        if isinstance(archived, result.Err):
            return archived
        stored = await self._create_if_absent(
            records.snapshot_key(head.sequence),
            records.Snapshot(head.sequence, state.document),
        )
        if isinstance(stored, result.Err):
            return stored
        reference = records.SnapshotRef(head.sequence, stored.ok_value)
        self._new_snapshots.append(reference)
        snapshots = (*head.snapshots, reference)[-records.RETAINED_SNAPSHOTS:]
        return result.Ok(
            records.Head(head.sequence, head.changes[count:], snapshots)
        )

    async def _create_if_absent(
        self,
        key: str,
        value: records.Archive | records.Snapshot,
    ) -> result.Result[ids.StoreRevision, store.StoreError]:
        """Create a key whose name determines its value, unless it exists."""
        put = await self._store.put(
            key, documents.encode(value), expected=store.ABSENT
        )
        if isinstance(put, result.Ok):
            return put
        if put.err_value.fault is store.StoreFault.UNAVAILABLE:
            return put
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            return read
        if read.ok_value is None:
            return readers.unavailable(f'{key} could not be written')
        return result.Ok(read.ok_value.revision)

    async def _delete_unreferenced_snapshots(
        self,
        before: records.Head,
        head: records.Head,
    ) -> None:
        """Delete snapshots that the head does not refer to; best effort.

        No other writer can add a reference to one of them, since its CAS would
        be on a head before this one and fail.
        """
        unused = {*before.snapshots, *self._new_snapshots} - {*head.snapshots}
        self._new_snapshots.clear()
        for reference in unused:
            await self._store.delete(
                records.snapshot_key(reference.sequence),
                expected=reference.revision,
            )


def _invalid(*faults: str) -> result.Err[rejection.Rejection]:
    return result.Err(
        rejection.Rejection(rejection.RejectionKind.INVALID, faults)
    )


__all__ = (
    'ACCEPT_TIMEOUT_SECONDS',
    'MAX_CHANGE_BYTES',
    'RETRY_DELAY_SECONDS',
    'Repository',
    'State',
)
