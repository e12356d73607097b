"""Typed changes of the document, and conflicts between changes.

Operations and changes are stored as arrays. Add new fields at the end and
with a default, so that older daemons can decode them.
"""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.configuration import document as documents
from nutmegworks.model import ids


class ChangeError(ValueError):
    """A change does not apply to the document."""


_Value = typing.TypeVar('_Value')


def _require(
    entries: dict[str, _Value],
    kind: str,
    name: str,
) -> _Value:
    if name not in entries:
        raise ChangeError(f'{kind} {name!r} does not exist')
    return entries[name]


def _without(entries: dict[str, _Value], name: str) -> dict[str, _Value]:
    return {key: value for key, value in entries.items() if key != name}


def _with_team(
    document: documents.Document,
    name: str,
    entry: documents.TeamEntry,
) -> documents.Document:
    teams = {**document.teams, name: entry}
    return msgspec.structs.replace(document, teams=teams)


class _Operation(msgspec.Struct, frozen=True, array_like=True, tag=True):

    def written_path(self) -> str:
        """Return the path of the entry that the operation writes."""
        raise NotImplementedError

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the changed document.

        :raises ChangeError: if the operation does not apply.
        """
        raise NotImplementedError


class PutClass(_Operation, frozen=True, array_like=True, tag='put-class'):
    name: str
    entry: documents.ClassEntry

    def written_path(self) -> str:
        return f'class/{self.name}'

    def apply(self, document: documents.Document) -> documents.Document:
        classes = {**document.classes, self.name: self.entry}
        return msgspec.structs.replace(document, classes=classes)


class RemoveClass(
        _Operation,
        frozen=True,
        array_like=True,
        tag='remove-class',
):
    name: str

    def written_path(self) -> str:
        return f'class/{self.name}'

    def apply(self, document: documents.Document) -> documents.Document:
        _require(document.classes, 'class', self.name)
        classes = _without(document.classes, self.name)
        return msgspec.structs.replace(document, classes=classes)


class PutTeam(_Operation, frozen=True, array_like=True, tag='put-team'):
    name: str
    entry: documents.TeamEntry

    def written_path(self) -> str:
        return f'team/{self.name}'

    def apply(self, document: documents.Document) -> documents.Document:
        return _with_team(document, self.name, self.entry)


class RemoveTeam(_Operation, frozen=True, array_like=True, tag='remove-team'):
    name: str

    def written_path(self) -> str:
        return f'team/{self.name}'

    def apply(self, document: documents.Document) -> documents.Document:
        _require(document.teams, 'team', self.name)
        teams = _without(document.teams, self.name)
        return msgspec.structs.replace(document, teams=teams)


class AddToken(_Operation, frozen=True, array_like=True, tag='add-token'):
    team: str
    digest: str

    def written_path(self) -> str:
        return f'team/{self.team}/token/{self.digest}'

    def apply(self, document: documents.Document) -> documents.Document:
        entry = _require(document.teams, 'team', self.team)
        if self.digest in entry.token_digests:
            raise ChangeError(f'team {self.team!r} already has the token')
        digests = (*entry.token_digests, self.digest)
        changed = msgspec.structs.replace(entry, token_digests=digests)
        return _with_team(document, self.team, changed)


class RemoveToken(
        _Operation,
        frozen=True,
        array_like=True,
        tag='remove-token',
):
    team: str
    digest: str

    def written_path(self) -> str:
        return f'team/{self.team}/token/{self.digest}'

    def apply(self, document: documents.Document) -> documents.Document:
        entry = _require(document.teams, 'team', self.team)
        if self.digest not in entry.token_digests:
            raise ChangeError(f'team {self.team!r} does not have the token')
        digests = tuple(
            digest for digest in entry.token_digests if digest != self.digest
        )
        changed = msgspec.structs.replace(entry, token_digests=digests)
        return _with_team(document, self.team, changed)


class SetGuarantee(
        _Operation,
        frozen=True,
        array_like=True,
        tag='set-guarantee',
):
    """Replace a team's guaranteed shapes in one failure domain.

    :param shapes: texts of shapes; an empty tuple removes the guarantee.
    """

    team: str
    domain: str
    shapes: tuple[str, ...]

    def written_path(self) -> str:
        return f'team/{self.team}/guarantee/{self.domain}'

    def apply(self, document: documents.Document) -> documents.Document:
        entry = _require(document.teams, 'team', self.team)
        guarantees = _without(entry.guarantees, self.domain)
        if self.shapes:
            guarantees[self.domain] = self.shapes
        changed = msgspec.structs.replace(entry, guarantees=guarantees)
        return _with_team(document, self.team, changed)


Operation = typing.Union[
    PutClass,
    RemoveClass,
    PutTeam,
    RemoveTeam,
    AddToken,
    RemoveToken,
    SetGuarantee,
]


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Operations that take effect together.

    :param change_id: chosen at random by the caller; a retry uses the same
        id. 16 hexadecimal digits are enough; longer ids would make the head
        larger, which every reader fetches.
    :param at: seconds since 1970 by the operator's clock; informational.
    """

    change_id: str
    author: str
    at: int
    operations: tuple[Operation, ...]

    def written_paths(self) -> frozenset[str]:
        """Return the paths of all entries that the change writes."""
        return frozenset(item.written_path() for item in self.operations)


class AcceptedChange(msgspec.Struct, frozen=True, array_like=True):
    """A change with its position in the sequence of all changes."""

    sequence: ids.ConfigSequence
    change: Change


def apply(
    document: documents.Document,
    change: Change,
) -> documents.Document:
    """Return the document after all operations of a change.

    :raises ChangeError: if one of them does not apply.
    """
    if not change.operations:
        raise ChangeError('the change has no operations')
    for operation in change.operations:
        document = operation.apply(document)
    return document


def overlaps(first: str, second: str) -> bool:
    """Return whether one path is the other or contains it.

    >>> overlaps('team/north', 'team/north/token/00ff')
    True
    >>> overlaps('team/north', 'team/northern')
    False
    """
    return f'{first}/'.startswith(f'{second}/'
                                  ) or f'{second}/'.startswith(f'{first}/')


def conflicts(
    change: Change,
    since: typing.Iterable[AcceptedChange],
) -> tuple[tuple[str, AcceptedChange], ...]:
    """Return accepted changes that conflict with a change.

    :param since: changes accepted after the state that the author saw.
    :return: pairs of the path in conflict and the earlier change.
    """
    paths = sorted(change.written_paths())
    return tuple(
        (path, other)
        for other in since
        for path in paths
        if any(overlaps(path, item) for item in other.change.written_paths())
    )


__all__ = (
    'AcceptedChange',
    'AddToken',
    'Change',
    'ChangeError',
    'Operation',
    'PutClass',
    'PutTeam',
    'RemoveClass',
    'RemoveTeam',
    'RemoveToken',
    'SetGuarantee',
    'apply',
    'conflicts',
    'overlaps',
)
