"""Defines why a change was rejected."""
from __future__ import annotations

import dataclasses
import enum

from nutmegworks.adapters import store
from nutmegworks.configuration import change as changes
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import records
from nutmegworks.model import ids


class RejectionKind(enum.Enum):
    """Why a change was not confirmed as accepted.

    After UNKNOWN the change may have been accepted: retry with the same id.
    After the other kinds it was not.
    """

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The reasons why a change was not accepted.

    :param faults: one sentence for each fault that was found.
    """

    kind: RejectionKind
    faults: tuple[str, ...]

    def __str__(self) -> str:
        return f'{self.kind.value}: ' + '; '.join(self.faults)


def conflict_faults(
    change: changes.Change,
    since: tuple[changes.AcceptedChange, ...],
) -> tuple[str, ...]:
    """Return one sentence for each entry that another change has written."""
    return tuple(
        f'{path} was changed by {other.change.author!r} '
        f'in change {other.sequence}'
        for path, other in changes.conflicts(change, since)
    )


def size_faults(document: documents.Document) -> tuple[str, ...]:
    """Return a fault if the snapshot would exceed the store's limit."""
    sequence = ids.ConfigSequence(0)
    size = len(documents.encode(records.Snapshot(sequence, document)))
    # The 16 bytes are a margin for longer sequence numbers.
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
