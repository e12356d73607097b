"""Decodes snapshots so that equal names are stored once.

Plain decoding creates a string for every mention of a team. With 1,100 teams
in 40 classes these took 3 of a daemon's 32 MB and more while decoding.
"""
from __future__ import annotations

import msgspec

from nutmegworks.configuration import document as documents
from nutmegworks.configuration import records
from nutmegworks.model import ids


class _RawDocument(msgspec.Struct):
    teams: dict[str, documents.TeamEntry]
    classes: dict[str, msgspec.Raw]


class _RawSnapshot(msgspec.Struct, array_like=True):
    sequence: ids.ConfigSequence
    document: _RawDocument


class _Names:
    """Returns one object for equal strings and for equal lists of them."""

    def __init__(self) -> None:
        self._string_by_text: dict[str, str] = {}
        self._list_by_items: dict[tuple[str, ...], tuple[str, ...]] = {}

    def string(self, text: str) -> str:
        return self._string_by_text.setdefault(text, text)

    def strings(self, items: tuple[str, ...]) -> tuple[str, ...]:
        known = self._list_by_items.get(items)
        if known is None:
            known = tuple(self.string(item) for item in items)
            self._list_by_items[known] = known
        return known

    def team(self, entry: documents.TeamEntry) -> documents.TeamEntry:
        guarantees = {
            self.string(domain): self.strings(texts)
            for domain, texts in entry.guarantees.items()
        }
        return msgspec.structs.replace(entry, guarantees=guarantees)

    def work_class(self, raw: msgspec.Raw) -> documents.ClassEntry:
        entry = msgspec.msgpack.decode(raw, type=documents.ClassEntry)
        teams = self.strings(entry.teams)
        return msgspec.structs.replace(entry, teams=teams)


def decode_snapshot(data: bytes) -> records.Snapshot:
    """Decode a snapshot, class by class.

    :raises documents.DocumentError: if the bytes are damaged.
    """
    raw = documents.decode(data, _RawSnapshot)
    names = _Names()
    teams = {
        names.string(name): names.team(entry)
        for name, entry in raw.document.teams.items()
    }
    try:
        classes = {
            name: names.work_class(entry)
            for name, entry in raw.document.classes.items()
        }
    except msgspec.MsgspecError as error:
        raise documents.DocumentError(str(error)) from error
    document = documents.Document(classes=classes, teams=teams)
    return records.Snapshot(raw.sequence, document)


__all__ = ('decode_snapshot', )
