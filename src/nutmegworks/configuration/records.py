"""Values of the configuration keys in the store.

``config/head`` orders all changes: only a CAS on it accepts one. It holds the
latest changes, at least the last 64 unless they are very large. Before older
ones are dropped from it, they are written to ``config/archive/<first>-<last>``
and the whole document to ``config/snapshot/<sequence>``.
"""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.configuration import change
from nutmegworks.configuration import document as documents
from nutmegworks.model import ids

HEAD_KEY: typing.Final = 'config/head'
SNAPSHOT_PREFIX: typing.Final = 'config/snapshot/'
ARCHIVE_PREFIX: typing.Final = 'config/archive/'

KEPT_CHANGES: typing.Final = 64
# A snapshot of the whole document is written once for this many changes.
ARCHIVED_CHANGES: typing.Final = 32
# Large changes leave the head earlier, since every reader fetches the head.
MAX_HEAD_BYTES: typing.Final = 256 * 1024
# A reader that has just read an older head still finds its snapshot.
KEPT_SNAPSHOTS: typing.Final = 3


class SnapshotRef(msgspec.Struct, frozen=True, array_like=True):
    """A stored snapshot.

    :param revision: the store's revision of its key, for deletion.
    """

    sequence: ids.ConfigSequence
    revision: ids.StoreRevision


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The value of ``config/head``.

    :param sequence: of the last accepted change; 0 if there is none.
    :param changes: the latest changes, oldest first, without gaps.
    :param snapshots: stored snapshots, oldest first; a document without a
        snapshot starts empty at sequence 0.
    """

    sequence: ids.ConfigSequence = ids.ConfigSequence(0)
    changes: tuple[change.Accepted, ...] = ()
    snapshots: tuple[SnapshotRef, ...] = ()

    @property
    def first_inline(self) -> int:
        """Return the sequence of the oldest change it holds."""
        return self.sequence - len(self.changes) + 1

    @property
    def snapshot_sequence(self) -> ids.ConfigSequence:
        """Return the sequence of the latest snapshot; 0 if none."""
        if not self.snapshots:
            return ids.ConfigSequence(0)
        return self.snapshots[-1].sequence

    def after(self, sequence: int) -> tuple[change.Accepted, ...] | None:
        """Return the changes after a sequence; None if some are dropped."""
        if sequence + 1 < self.first_inline:
            return None
        return self.changes[max(0, sequence + 1 - self.first_inline):]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole document as of a sequence."""

    sequence: ids.ConfigSequence
    document: documents.Document


class Archive(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive changes that the head no longer holds."""

    changes: tuple[change.Accepted, ...]


def snapshot_key(sequence: int) -> str:
    return f'{SNAPSHOT_PREFIX}{sequence:012d}'


def archive_key(first: int, last: int) -> str:
    """Return a key that states the content.

    Two writers may archive ranges of different length from the same start;
    neither may mistake the other's record for its own.
    """
    return f'{ARCHIVE_PREFIX}{first:012d}-{last:012d}'


def archived_count(head: Head, size: int) -> int:
    """Return how many changes must leave the head.

    :param size: bytes of the encoded head.
    """
    if len(head.changes) >= KEPT_CHANGES + ARCHIVED_CHANGES:
        return ARCHIVED_CHANGES
    if size > MAX_HEAD_BYTES:
        return max(1, len(head.changes) // 2)
    return 0


__all__ = (
    'ARCHIVED_CHANGES',
    'ARCHIVE_PREFIX',
    'Archive',
    'HEAD_KEY',
    'Head',
    'KEPT_CHANGES',
    'KEPT_SNAPSHOTS',
    'MAX_HEAD_BYTES',
    'SNAPSHOT_PREFIX',
    'Snapshot',
    'SnapshotRef',
    'archive_key',
    'archived_count',
    'snapshot_key',
)
