"""Rendezvous hashing, which gives the same choice on every daemon."""
from __future__ import annotations

import typing

import xxhash


def choose(
    topic: str,
    names: typing.Iterable[str],
    *,
    count: int,
) -> tuple[str, ...]:
    """Return the names with the highest hashes for a topic.

    If a chosen name is removed, only its place changes.

    >>> choose('readers', ['a', 'b', 'c'], count=2)
    ('c', 'a')
    """

    def score(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f'{topic}\n{name}'.encode()), name

    return tuple(sorted(names, key=score, reverse=True)[:count])


__all__ = ('choose', )
