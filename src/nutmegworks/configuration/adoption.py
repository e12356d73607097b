"""Decides which configuration a daemon adopts; sequences never decrease."""
from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec

from nutmegworks.configuration import change as changes
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import reader
from nutmegworks.configuration import records
from nutmegworks.model import ids
from nutmegworks.model import work

# At 49,000 changes a day, enough for a peer that was unreachable for minutes.
# After a larger burst, such a peer has to fetch a snapshot.
MAX_RECENT_CHANGES: typing.Final = 256
# Bounds the memory if changes are large.
MAX_RECENT_BYTES: typing.Final = 256 * 1024


class Action(enum.Enum):
    """How to handle an offered configuration.

    NEED_OLDER means that changes before the offered ones are missing.
    """

    ADOPT = 'adopt'
    NEED_OLDER = 'need-older'
    IGNORE = 'ignore'


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptedConfiguration:
    """The configuration in force; replaced as a whole.

    :param team_id_by_digest: teams by SHA-256 of their tokens.
    :param recent: the last changes, oldest first, without gaps; they are
        retained for peers that are behind.
    """

    document: documents.Document
    configuration: work.Configuration
    team_id_by_digest: typing.Mapping[str, ids.TeamId]
    recent: tuple[changes.AcceptedChange, ...] = ()

    @property
    def sequence(self) -> ids.ConfigSequence:
        return self.configuration.sequence

    def changes_after(
        self, sequence: int
    ) -> tuple[changes.AcceptedChange, ...] | None:
        """Return the changes after a sequence; None if some were dropped."""
        first = self.sequence - len(self.recent) + 1
        if sequence + 1 < first:
            return None
        return self.recent[max(0, sequence + 1 - first):]


def sequence_of(current: AdoptedConfiguration | None) -> ids.ConfigSequence:
    """Return the sequence in force; 0 before any adoption."""
    return ids.ConfigSequence(0) if current is None else current.sequence


def decide(current: int, first: int, last: int) -> Action:
    """Decide how to handle consecutive changes.

    :param current: the sequence in force.
    :param first: sequence of the oldest change offered.
    :param last: sequence of the newest one.

    >>> decide(4, 5, 6), decide(4, 6, 6), decide(6, 5, 6)
    (<Action.ADOPT: 'adopt'>, <Action.NEED_OLDER: 'need-older'>, \
<Action.IGNORE: 'ignore'>)
    """
    if last <= current or last < first:
        return Action.IGNORE
    return Action.ADOPT if first <= current + 1 else Action.NEED_OLDER


def adopt_changes(
    current: AdoptedConfiguration | None,
    offered: tuple[changes.AcceptedChange, ...],
) -> tuple[Action, AdoptedConfiguration | None]:
    """Apply consecutive changes on top of the configuration in force.

    :return: what was done and the configuration that is now in force.
    """
    if not offered:
        return Action.IGNORE, current
    sequence = sequence_of(current)
    action = decide(sequence, offered[0].sequence, offered[-1].sequence)
    if action is not Action.ADOPT or not _are_consecutive(offered):
        return (Action.IGNORE if action is Action.ADOPT else action), current
    newer = offered[sequence + 1 - offered[0].sequence:]
    document = documents.EMPTY if current is None else current.document
    try:
        document = reader.replay(document, newer)
        recent = () if current is None else current.recent
        recent = _trim_recent((*recent, *newer))
        return Action.ADOPT, _adopt(
            current, document, newer[-1].sequence, recent
        )
    except ValueError:
        # The document in force differs from the one that these changes were
        # accepted for.
        return Action.NEED_OLDER, current


def adopt_snapshot(
    current: AdoptedConfiguration | None,
    snapshot: records.Snapshot,
) -> tuple[Action, AdoptedConfiguration | None]:
    """Replace the configuration by a whole document if that is newer.

    :return: what was done and the configuration that is now in force.
    """
    if snapshot.sequence <= sequence_of(current):
        return Action.IGNORE, current
    try:
        return Action.ADOPT, _adopt(
            current, snapshot.document, snapshot.sequence, ()
        )
    except ValueError:
        return Action.IGNORE, current


def _are_consecutive(offered: tuple[changes.AcceptedChange, ...]) -> bool:
    first = offered[0].sequence
    return all(
        item.sequence == first + index for index, item in enumerate(offered)
    )


def _trim_recent(
    recent: tuple[changes.AcceptedChange, ...],
) -> tuple[changes.AcceptedChange, ...]:
    remaining_bytes = MAX_RECENT_BYTES
    for count, item in enumerate(reversed(recent)):
        remaining_bytes -= len(msgspec.msgpack.encode(item))
        if remaining_bytes < 0 or count >= MAX_RECENT_CHANGES:
            return recent[len(recent) - count:]
    return recent


def _adopt(
    current: AdoptedConfiguration | None,
    document: documents.Document,
    sequence: ids.ConfigSequence,
    recent: tuple[changes.AcceptedChange, ...],
) -> AdoptedConfiguration:
    previous = None
    if current is not None:
        previous = current.document, current.configuration
    configuration = documents.to_configuration(
        document, sequence, previous=previous
    )
    digests = {
        digest: team.team_id
        for team in configuration.team_by_id.values()
        for digest in team.token_digests
    }
    return AdoptedConfiguration(document, configuration, digests, recent)


__all__ = (
    'Action',
    'AdoptedConfiguration',
    'MAX_RECENT_BYTES',
    'MAX_RECENT_CHANGES',
    'adopt_changes',
    'adopt_snapshot',
    'decide',
    'sequence_of',
)
