"""Keys and values of the configuration in the store.

A change is accepted by a compare-and-swap (CAS) on ``config/head``, which
therefore orders all changes. The head holds the latest changes, at least the
last 64 unless they are very large. Before older ones are removed from it, they
are written to ``config/archive/<first>-<last>`` and the whole document to
``config/snapshot/<sequence>``.
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

RETAINED_CHANGES: typing.Final = 64
# When the head exceeds RETAINED_CHANGES by this many, they are archived and a
# snapshot of the whole document is written.
ARCHIVE_BATCH_CHANGES: typing.Final = 32
# A larger head is archived earlier, since every reader fetches the head.
MAX_HEAD_BYTES: typing.Final = 256 * 1024
# More than one, so that a reader with an older head still finds its snapshot.
RETAINED_SNAPSHOTS: typing.Final = 3


class SnapshotRef(msgspec.Struct, frozen=True, array_like=True):
    """A stored snapshot.

    :param revision: the store's revision of its key, for deletion.
    """

    sequence: ids.ConfigSequence
    revision: ids.StoreRevision


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The value of ``config/head``.

    :param sequence: the sequence of the last accepted change; 0 if none.
    :param changes: the latest changes, oldest first, without gaps.
    :param snapshots: stored snapshots, oldest first; a document without a
        snapshot starts empty at sequence 0.
    """

    sequence: ids.ConfigSequence = ids.ConfigSequence(0)
    changes: tuple[change.AcceptedChange, ...] = ()
    snapshots: tuple[SnapshotRef, ...] = ()

    @property
    def first_sequence(self) -> int:
        """Return the sequence of the oldest change in the head."""
        return self.sequence - len(self.changes) + 1

    @property
    def snapshot_sequence(self) -> ids.ConfigSequence:
        """Return the sequence of the latest snapshot; 0 if none."""
        if not self.snapshots:
            return ids.ConfigSequence(0)
        return self.snapshots[-1].sequence

    def changes_after(
        self, sequence: int
    ) -> tuple[change.AcceptedChange, ...] | None:
        """Return the changes after a sequence; None if some were archived."""
        if sequence + 1 < self.first_sequence:
            return None
        return self.changes[max(0, sequence + 1 - self.first_sequence):]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole document after the change with a sequence."""

    sequence: ids.ConfigSequence
    document: documents.Document


class Archive(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive changes that were removed from the head."""

    changes: tuple[change.AcceptedChange, ...]


def snapshot_key(sequence: int) -> str:
    return f'{SNAPSHOT_PREFIX}{sequence:012d}'


def archive_key(first: int, last: int) -> str:
    """Return the key of an archive, which determines its content.

    Two writers may archive ranges of different length from the same start, so
    the last sequence is part of the key.
    """
    return f'{ARCHIVE_PREFIX}{first:012d}-{last:012d}'


def count_to_archive(head: Head, size: int) -> int:
    """Return how many of the oldest changes are to be archived.

    :param size: bytes of the encoded head.
    """
    if len(head.changes) >= RETAINED_CHANGES + ARCHIVE_BATCH_CHANGES:
        return ARCHIVE_BATCH_CHANGES
    if size > MAX_HEAD_BYTES:
        return max(1, len(head.changes) // 2)
    return 0


__all__ = (
    'ARCHIVE_BATCH_CHANGES',
    'ARCHIVE_PREFIX',
    'Archive',
    'HEAD_KEY',
    'Head',
    'MAX_HEAD_BYTES',
    'RETAINED_CHANGES',
    'RETAINED_SNAPSHOTS',
    'SNAPSHOT_PREFIX',
    'Snapshot',
    'SnapshotRef',
    'archive_key',
    'count_to_archive',
    'snapshot_key',
)
