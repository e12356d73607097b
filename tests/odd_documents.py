"""Builders of documents as no correct writer would write them."""
from __future__ import annotations

import random
import typing

import msgspec

Document = typing.Mapping[str, object]

# Far above the depth at which a recursive decoder gives up.
DEPTH: typing.Final = 5000
NESTED: typing.Final = b'[' * DEPTH + b']' * DEPTH
# Integers of this many digits are above the largest float.
LONG_NUMBER: typing.Final = b'9' * 400
_PLACE: typing.Final = '@place@'

# JSON texts that stand in for a value, also ones that are not valid JSON.
VALUES: typing.Final = (
    NESTED,
    LONG_NUMBER,
    b'-' + LONG_NUMBER,
    b'9' * 5000,
    b'1e400',
    b'-1e400',
    b'1e308',
    b'1e-400',
    b'18446744073709551616',
    b'9223372036854775808',
    b'-1',
    b'0',
    b'0.5',
    b'NaN',
    b'Infinity',
    b'null',
    b'true',
    b'""',
    b'"\\u0000"',
    b'"\\ud800"',
    b'"\xff"',
    '"\u0661\u0662"'.encode(),
    b'{}',
    b'[]',
    b'[[]]',
    b'[null]',
    b'["a",5]',
)


def with_value(document: Document, field: str, raw: bytes) -> bytes:
    """Return a document with the JSON text of one top-level value."""
    encoded = msgspec.json.encode({**document, field: _PLACE})
    return encoded.replace(f'"{_PLACE}"'.encode(), raw)


def nested(document: Document) -> bytes:
    """Return a document with a deeply nested field that no reader knows."""
    return with_value(document, 'unknownField', NESTED)


def mutations(
    document: Document,
    seed: int,
    count: int,
) -> typing.Iterator[bytes]:
    """Return variants of a document with odd values at random places.

    Each has one or two values replaced, or bytes changed, or its end cut off.
    """
    generator = random.Random(seed)
    paths = list(_paths(document))
    for _ in range(count):
        encoded = msgspec.json.encode(document)
        for _ in range(generator.randint(1, 2)):
            path = generator.choice(paths)
            raw = generator.choice(VALUES)
            try:
                tree = msgspec.json.decode(encoded)
                _replace(tree, path)
            except (LookupError, TypeError, ValueError, RecursionError):
                # The first change removed the place or the form of JSON.
                break
            encoded = msgspec.json.encode(tree).replace(
                f'"{_PLACE}"'.encode(), raw
            )
        damage = generator.random()
        if damage < 0.1:
            encoded = encoded[:generator.randrange(len(encoded))]
        elif damage < 0.2:
            place = generator.randrange(len(encoded))
            changed = bytes([generator.randrange(256)])
            encoded = encoded[:place] + changed + encoded[place + 1:]
        yield encoded


def _paths(
    value: object,
    path: tuple[typing.Any, ...] = (),
) -> typing.Iterator[tuple[typing.Any, ...]]:
    if path:
        yield path
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _paths(item, (*path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _paths(item, (*path, index))


def _replace(tree: typing.Any, path: tuple[typing.Any, ...]) -> None:
    for key in path[:-1]:
        tree = tree[key]
    tree[path[-1]] = _PLACE


__all__ = (
    'DEPTH',
    'LONG_NUMBER',
    'NESTED',
    'VALUES',
    'mutations',
    'nested',
    'with_value',
)
