"""Decides which configuration a daemon adopts; sequences only rise."""
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

# Enough for a peer that was silent for minutes at 49,000 changes a day; a
# burst beyond it costs such a peer a snapshot.
RECENT_CHANGES: typing.Final = 256
MAX_RECENT_BYTES: typing.Final = 256 * 1024


class Step(enum.Enum):
    """What to do with an offer."""

    ADOPT = 'adopt'
    NEED_OLDER = 'need-older'
    IGNORE = 'ignore'


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The configuration in force; replaced as a whole.

    :param team_id_by_digest: teams by SHA-256 of their tokens.
    :param recent: the last changes, oldest first, without gaps; kept for
        peers that are behind.
    """

    document: documents.Document
    configuration: work.Configuration
    team_id_by_digest: typing.Mapping[str, ids.TeamId]
    recent: tuple[changes.Accepted, ...] = ()

    @property
    def sequence(self) -> ids.ConfigSequence:
        return self.configuration.sequence

    def after(self, sequence: int) -> tuple[changes.Accepted, ...] | None:
        """Return the changes after a sequence; None if some are dropped."""
        first = self.sequence - len(self.recent) + 1
        if sequence + 1 < first:
            return None
        return self.recent[max(0, sequence + 1 - first):]


def sequence_of(current: Adopted | None) -> ids.ConfigSequence:
    """Return the sequence in force; 0 before any adoption."""
    return ids.ConfigSequence(0) if current is None else current.sequence


def decide(current: int, first: int, last: int) -> Step:
    """Decide on consecutive changes.

    :param current: the sequence in force.
    :param first: sequence of the oldest change offered.
    :param last: sequence of the newest one.

    >>> decide(4, 5, 6), decide(4, 6, 6), decide(6, 5, 6)
    (<Step.ADOPT: 'adopt'>, <Step.NEED_OLDER: 'need-older'>, \
<Step.IGNORE: 'ignore'>)
    """
    if last <= current or last < first:
        return Step.IGNORE
    return Step.ADOPT if first <= current + 1 else Step.NEED_OLDER


def adopt_changes(
    current: Adopted | None,
    offered: tuple[changes.Accepted, ...],
) -> tuple[Step, Adopted | None]:
    """Apply consecutive changes on top of the configuration in force.

    :return: the step and the configuration that is now in force.
    """
    if not offered:
        return Step.IGNORE, current
    sequence = sequence_of(current)
    step = decide(sequence, offered[0].sequence, offered[-1].sequence)
    if step is not Step.ADOPT or not _consecutive(offered):
        return (Step.IGNORE if step is Step.ADOPT else step), current
    newer = offered[sequence + 1 - offered[0].sequence:]
    document = documents.EMPTY if current is None else current.document
    try:
        document = reader.replay(document, newer)
        recent = () if current is None else current.recent
        recent = _bounded((*recent, *newer))
        return Step.ADOPT, _adopt(
            current, document, newer[-1].sequence, recent
        )
    except ValueError:
        # The document in force is not the one these were accepted for.
        return Step.NEED_OLDER, current


def adopt_snapshot(
    current: Adopted | None,
    snapshot: records.Snapshot,
) -> tuple[Step, Adopted | None]:
    """Replace the configuration by a whole document if that is newer."""
    if snapshot.sequence <= sequence_of(current):
        return Step.IGNORE, current
    try:
        return Step.ADOPT, _adopt(
            current, snapshot.document, snapshot.sequence, ()
        )
    except ValueError:
        return Step.IGNORE, current


def _consecutive(offered: tuple[changes.Accepted, ...]) -> bool:
    first = offered[0].sequence
    return all(
        item.sequence == first + index for index, item in enumerate(offered)
    )


def _bounded(
    recent: tuple[changes.Accepted, ...],
) -> tuple[changes.Accepted, ...]:
    room = MAX_RECENT_BYTES
    for count, item in enumerate(reversed(recent)):
        room -= len(msgspec.msgpack.encode(item))
        if room < 0 or count >= RECENT_CHANGES:
            return recent[len(recent) - count:]
    return recent


def _adopt(
    current: Adopted | None,
    document: documents.Document,
    sequence: ids.ConfigSequence,
    recent: tuple[changes.Accepted, ...],
) -> Adopted:
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
    return Adopted(document, configuration, digests, recent)


__all__ = (
    'Adopted',
    'MAX_RECENT_BYTES',
    'RECENT_CHANGES',
    'Step',
    'adopt_changes',
    'adopt_snapshot',
    'decide',
    'sequence_of',
)
