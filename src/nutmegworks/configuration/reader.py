"""Reads the configuration from the store; every read may be stale."""
from __future__ import annotations

import typing

import result

from nutmegworks.adapters import store
from nutmegworks.configuration import change
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import records
from nutmegworks.configuration import snapshot_decoding
from nutmegworks.model import ids

ARCHIVE_PAGE_ENTRIES: typing.Final = 16

_Value = typing.TypeVar('_Value')


def unavailable(detail: str) -> result.Err[store.StoreError]:
    """Return the error of a failed read; a retry may succeed."""
    return result.Err(store.StoreError(store.StoreFault.UNAVAILABLE, detail))


def decode(
    entry: store.Entry,
    kind: type[_Value],
) -> result.Result[_Value, store.StoreError]:
    """Decode a stored value; a value that can't be decoded is unavailable."""
    try:
        return result.Ok(documents.decode(entry.value or b'', kind))
    except documents.DocumentError as error:
        return unavailable(f'{entry.key}: {error}')


class Reader:
    """Reads the head, snapshots and archives."""

    def __init__(self, backend: store.Store) -> None:
        self._store = backend

    async def head(
        self,
    ) -> result.Result[
            tuple[records.Head, ids.StoreRevision],
            store.StoreError,
    ]:
        """Return the head and its revision; an empty head if there is none."""
        read = await self._store.get(records.HEAD_KEY)
        if isinstance(read, result.Err):
            return read
        entry = read.ok_value
        if entry is None:
            return result.Ok((records.Head(), store.ABSENT))
        head = decode(entry, records.Head)
        return head.map(lambda value: (value, entry.revision))

    async def snapshot(
        self,
        sequence: ids.ConfigSequence,
    ) -> result.Result[records.Snapshot, store.StoreError]:
        """Return a stored snapshot; the empty document for sequence 0."""
        if sequence == 0:
            return result.Ok(records.Snapshot(sequence, documents.EMPTY))
        key = records.snapshot_key(sequence)
        read = await self._store.get(key)
        if isinstance(read, result.Err):
            return read
        if read.ok_value is None:
            return unavailable(f'{key} is gone; the head has moved on')
        try:
            value = read.ok_value.value or b''
            return result.Ok(snapshot_decoding.decode_snapshot(value))
        except documents.DocumentError as error:
            return unavailable(f'{key}: {error}')

    async def document(
        self,
        head: records.Head,
    ) -> result.Result[documents.Document, store.StoreError]:
        """Return the document of a head, from its latest snapshot on."""
        newer = head.changes_after(head.snapshot_sequence)
        if newer is None:
            return unavailable('the head does not reach its snapshot')
        read = await self.snapshot(head.snapshot_sequence)
        return read.and_then(lambda value: try_replay(value.document, newer))

    async def changes_after(
        self,
        head: records.Head,
        sequence: int,
    ) -> result.Result[tuple[change.AcceptedChange, ...], store.StoreError]:
        """Return all changes after a sequence, from archives if needed."""
        in_head = head.changes_after(sequence)
        if in_head is not None:
            return result.Ok(in_head)
        change_by_sequence: dict[int, change.AcceptedChange] = {
            item.sequence: item
            for item in head.changes
        }
        sequences = range(sequence + 1, head.sequence + 1)
        # An archive that holds the first of these changes starts at most this
        # many changes before it, the length of a full head.
        max_length = records.RETAINED_CHANGES + records.ARCHIVE_BATCH_CHANGES
        after = records.archive_key(max(0, sequences.start - max_length), 0)
        while not all(item in change_by_sequence for item in sequences):
            read = await self._store.range(
                records.ARCHIVE_PREFIX,
                after=after,
                limit=ARCHIVE_PAGE_ENTRIES
            )
            if isinstance(read, result.Err):
                return read
            if not read.ok_value.entries:
                return unavailable(f'changes after {sequence} are incomplete')
            for entry in read.ok_value.entries:
                after = entry.key
                archive = decode(entry, records.Archive)
                if isinstance(archive, result.Err):
                    return archive
                for item in archive.ok_value.changes:
                    change_by_sequence[item.sequence] = item
        return result.Ok(tuple(change_by_sequence[item] for item in sequences))


def replay(
    document: documents.Document,
    accepted: typing.Iterable[change.AcceptedChange],
) -> documents.Document:
    """Return the document after the accepted changes.

    :raises change.ChangeError: if a change does not apply, because the
        document is not the one that it was accepted for.
    """
    for item in accepted:
        document = change.apply(document, item.change)
    return document


def try_replay(
    document: documents.Document,
    accepted: typing.Iterable[change.AcceptedChange],
) -> result.Result[documents.Document, store.StoreError]:
    """Return the document after stored changes, which may be damaged."""
    try:
        return result.Ok(replay(document, accepted))
    except change.ChangeError as error:
        return unavailable(f'a stored change does not apply: {error}')


__all__ = (
    'ARCHIVE_PAGE_ENTRIES', 'Reader', 'decode', 'replay', 'try_replay',
    'unavailable'
)
