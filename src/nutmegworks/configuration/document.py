"""The operators' configuration document as it is stored and transferred."""
from __future__ import annotations

import functools
import typing
import zlib

import msgspec

from nutmegworks.model import decoding
from nutmegworks.model import ids
from nutmegworks.model import shape
from nutmegworks.model import work

# Bounds the memory of decoding: a daemon has 32 MB, and a damaged or hostile
# value may expand to far more than its compressed size.
MAX_DECODED_BYTES: typing.Final = 8 * 1024 * 1024


class DocumentError(ValueError):
    """Bytes can't be decoded as the expected value."""


class ClassEntry(
        msgspec.Struct,
        frozen=True,
        kw_only=True,
        forbid_unknown_fields=True,
):
    """A class of work.

    :param target: seconds from acceptance to complete response.
    :param guaranteed_share: fraction of the service's capacity, 0 to 1.
    :param teams: names of the entitled teams.
    """

    service: str
    target: float
    guaranteed_share: float = 0.0
    idempotent: bool = False
    interruptible: bool = False
    teams: tuple[str, ...] = ()


class TeamEntry(
        msgspec.Struct,
        frozen=True,
        kw_only=True,
        forbid_unknown_fields=True,
):
    """A team.

    :param token_digests: SHA-256 of each token, in lower-case hexadecimal.
    :param guarantees: texts of shapes by failure domain.
    """

    token_digests: tuple[str, ...] = ()
    guarantees: dict[str, tuple[str,
                                ...]] = msgspec.field(default_factory=dict)


class Document(
        msgspec.Struct,
        frozen=True,
        kw_only=True,
        forbid_unknown_fields=True,
):
    """All classes and teams by name; never modified in place."""

    classes: dict[str, ClassEntry] = msgspec.field(default_factory=dict)
    teams: dict[str, TeamEntry] = msgspec.field(default_factory=dict)


EMPTY: typing.Final = Document()


def encode(value: msgspec.Struct) -> bytes:
    """Return compressed MessagePack.

    Names and shapes repeat, so compression halves the size of the document
    and also reduces the stored head, which every reader fetches at each
    change.
    """
    return zlib.compress(msgspec.msgpack.encode(value), 6)


_Decoded = typing.TypeVar('_Decoded')


def decode(data: bytes, kind: type[_Decoded]) -> _Decoded:
    """Decode what ``encode`` returned.

    :raises DocumentError: if the bytes are damaged, of another kind or
        larger than ``MAX_DECODED_BYTES``.
    """
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(data, MAX_DECODED_BYTES)
        if decompressor.unconsumed_tail:
            raise DocumentError(f'larger than {MAX_DECODED_BYTES} bytes')
        with decoding.nesting_limit():
            return msgspec.msgpack.decode(raw, type=kind)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise DocumentError(str(error)) from error


# Teams use few distinct shapes; the cache stores each of them once.
_parse_shape = functools.lru_cache(maxsize=1024)(shape.Shape.parse)


def to_class(
    name: str,
    entry: ClassEntry,
    team_ids: frozenset[ids.TeamId] | None = None,
) -> work.WorkClass:
    """Convert the entry of a class.

    :param team_ids: the entitled teams, if they are already converted.
    """
    if team_ids is None:
        team_ids = frozenset(ids.TeamId(team) for team in entry.teams)
    return work.WorkClass(
        class_id=ids.ClassId(name),
        service_id=ids.ServiceId(entry.service),
        target=entry.target,
        guaranteed_share=entry.guaranteed_share,
        idempotent=entry.idempotent,
        interruptible=entry.interruptible,
        team_ids=team_ids,
    )


def to_team(name: str, entry: TeamEntry) -> work.Team:
    """Convert the entry of a team.

    :raises shape.ShapeError: if the text of a shape is invalid.
    """
    return work.Team(
        team_id=ids.TeamId(name),
        token_digests=entry.token_digests,
        guarantees=tuple(
            work.Guarantee(
                ids.DomainId(domain),
                tuple(_parse_shape(text) for text in texts),
            ) for domain, texts in entry.guarantees.items()
        ),
    )


_Entry = typing.TypeVar('_Entry')
_Value = typing.TypeVar('_Value')


def _convert(
    entry_by_name: dict[str, _Entry],
    make: typing.Callable[[str, _Entry], _Value],
    previous: dict[str, _Entry],
    value_by_name: typing.Mapping[typing.Any, _Value],
) -> dict[typing.Any, _Value]:
    return {
        name:
        value_by_name[name]
        if previous.get(name) is entry else make(name, entry)
        for name, entry in entry_by_name.items()
    }


def to_configuration(
    document: Document,
    sequence: ids.ConfigSequence,
    *,
    previous: tuple[Document, work.Configuration] | None = None,
) -> work.Configuration:
    """Convert a valid document to a configuration.

    :param previous: an earlier document and its conversion; entries that have
        not changed since are reused from it.
    """
    previous_document = EMPTY
    previous_configuration = work.Configuration(sequence, {}, {})
    if previous is not None:
        previous_document, previous_configuration = previous
    team_ids_by_names: dict[tuple[str, ...], frozenset[ids.TeamId]] = {}

    def make_class(name: str, entry: ClassEntry) -> work.WorkClass:
        work_class = to_class(name, entry, team_ids_by_names.get(entry.teams))
        team_ids_by_names[entry.teams] = work_class.team_ids
        return work_class

    return work.Configuration(
        sequence=sequence,
        class_by_id=_convert(
            document.classes, make_class, previous_document.classes,
            previous_configuration.class_by_id
        ),
        team_by_id=_convert(
            document.teams, to_team, previous_document.teams,
            previous_configuration.team_by_id
        ),
    )


__all__ = (
    'ClassEntry',
    'Document',
    'DocumentError',
    'EMPTY',
    'MAX_DECODED_BYTES',
    'TeamEntry',
    'decode',
    'encode',
    'to_class',
    'to_configuration',
    'to_team',
)
