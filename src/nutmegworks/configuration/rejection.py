"""States why a change was not accepted."""
from __future__ import annotations

import dataclasses
import enum

from nutmegworks.adapters import store
from nutmegworks.configuration import change as changes
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import records
from nutmegworks.model import ids


class RejectionKind(enum.Enum):
    """Why a change was not seen to be accepted.

    Only UNKNOWN leaves open whether it was: repeat it with the same id.
    """

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A change that was not accepted.

    :param faults: one sentence each, all that were found.
    """

    kind: RejectionKind
    faults: tuple[str, ...]

    def __str__(self) -> str:
        return f'{self.kind.value}: ' + '; '.join(self.faults)


def conflict_faults(
    change: changes.Change,
    since: tuple[changes.Accepted, ...],
) -> tuple[str, ...]:
    """Return a sentence for each entry that someone else has changed."""
    return tuple(
        f'{path} was changed by {other.change.author!r} '
        f'in change {other.sequence}'
        for path, other in changes.conflicts(change, since)
    )


def size_faults(document: documents.Document) -> tuple[str, ...]:
    """Return a fault if a snapshot would exceed the store's limit."""
    sequence = ids.ConfigSequence(0)
    size = len(documents.encode(records.Snapshot(sequence, document)))
    # Leaves room for the growth of the sequence number.
    if size + 16 <= store.MAX_VALUE_BYTES:
        return ()
    return (
        f'the document takes {size} bytes of the '
        f'{store.MAX_VALUE_BYTES} that the store accepts',
    )


__all__ = (
    'Rejection',
    'RejectionKind',
    'conflict_faults',
    'size_faults',
)
