"""Compares two documents and returns the operations between them."""
from __future__ import annotations

import typing

from nutmegworks.configuration import change as changes
from nutmegworks.configuration import document as documents


def between(
    old: documents.Document,
    new: documents.Document,
) -> tuple[changes.Operation, ...]:
    """Return operations that turn one document into the other.

    Teams come before the classes that name them. A team is changed token by
    token and domain by domain, so that operators who edit different parts of
    it do not conflict.
    """
    return (
        *_team_operations(old, new),
        *_class_operations(old, new),
        *_removals(old, new),
    )


def _class_operations(
    old: documents.Document,
    new: documents.Document,
) -> typing.Iterator[changes.Operation]:
    for name, entry in new.classes.items():
        if old.classes.get(name) != entry:
            yield changes.PutClass(name, entry)


def _removals(
    old: documents.Document,
    new: documents.Document,
) -> typing.Iterator[changes.Operation]:
    for name in old.classes:
        if name not in new.classes:
            yield changes.RemoveClass(name)
    for name in old.teams:
        if name not in new.teams:
            yield changes.RemoveTeam(name)


def _team_operations(
    old: documents.Document,
    new: documents.Document,
) -> typing.Iterator[changes.Operation]:
    for name, entry in new.teams.items():
        before = old.teams.get(name)
        if before is None:
            yield changes.PutTeam(name, entry)
            continue
        for digest in before.token_digests:
            if digest not in entry.token_digests:
                yield changes.RemoveToken(name, digest)
        for digest in entry.token_digests:
            if digest not in before.token_digests:
                yield changes.AddToken(name, digest)
        for domain in {**before.guarantees, **entry.guarantees}:
            shapes = entry.guarantees.get(domain, ())
            if before.guarantees.get(domain, ()) != shapes:
                yield changes.SetGuarantee(name, domain, shapes)


__all__ = ('between', )
