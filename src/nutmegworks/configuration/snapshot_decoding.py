"""Decodes snapshots with interned names, to save memory.

Plain decoding creates a string for every occurrence of a team's name. With
1,100 teams in 40 classes, these took 3 of a daemon's 32 MB, and more during
decoding.
"""
from __future__ import annotations

import msgspec

from nutmegworks.configuration import document as documents
from nutmegworks.configuration import records
from nutmegworks.model import decoding
from nutmegworks.model import ids


class _RawDocument(msgspec.Struct):
    teams: dict[str, documents.TeamEntry]
    classes: dict[str, msgspec.Raw]


class _RawSnapshot(msgspec.Struct, array_like=True):
    sequence: ids.ConfigSequence
    document: _RawDocument


class _Interner:
    """Returns the same object for equal strings and tuples of strings."""

    def __init__(self) -> None:
        self._string_by_text: dict[str, str] = {}
        self._tuple_by_items: dict[tuple[str, ...], tuple[str, ...]] = {}

    def intern(self, text: str) -> str:
        return self._string_by_text.setdefault(text, text)

    def intern_tuple(self, items: tuple[str, ...]) -> tuple[str, ...]:
        interned = self._tuple_by_items.get(items)
        if interned is None:
            interned = tuple(self.intern(item) for item in items)
            self._tuple_by_items[interned] = interned
        return interned

    def intern_team(self, entry: documents.TeamEntry) -> documents.TeamEntry:
        guarantees = {
            self.intern(domain): self.intern_tuple(texts)
            for domain, texts in entry.guarantees.items()
        }
        return msgspec.structs.replace(entry, guarantees=guarantees)

    def decode_class(self, raw: msgspec.Raw) -> documents.ClassEntry:
        entry = msgspec.msgpack.decode(raw, type=documents.ClassEntry)
        teams = self.intern_tuple(entry.teams)
        return msgspec.structs.replace(entry, teams=teams)


def decode_snapshot(data: bytes) -> records.Snapshot:
    """Decode a snapshot; classes one by one, to limit the peak memory.

    :raises documents.DocumentError: if the bytes are damaged.
    """
    raw = documents.decode(data, _RawSnapshot)
    interner = _Interner()
    teams = {
        interner.intern(name): interner.intern_team(entry)
        for name, entry in raw.document.teams.items()
    }
    try:
        with decoding.nesting_limit():
            classes = {
                name: interner.decode_class(entry)
                for name, entry in raw.document.classes.items()
            }
    except msgspec.MsgspecError as error:
        raise documents.DocumentError(str(error)) from error
    document = documents.Document(classes=classes, teams=teams)
    return records.Snapshot(raw.sequence, document)


__all__ = ('decode_snapshot', )
