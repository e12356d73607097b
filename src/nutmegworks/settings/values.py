"""Parsers of settings; each raises ValueError for an invalid value."""
from __future__ import annotations

import ipaddress
import re
import typing

_SECONDS_BY_UNIT: typing.Final = {'ms': 0.001, 's': 1.0, 'min': 60.0}
_BYTES_BY_UNIT: typing.Final = {'B': 1, 'KiB': 1024, 'MiB': 1024 * 1024}
_QUANTITY: typing.Final = re.compile(r'^(\d+(?:\.\d+)?) ?([A-Za-z]+)$')
_NAME: typing.Final = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')

_DIGEST: typing.Final = re.compile(r'^[0-9a-f]{64}$')

MIN_KEY_BYTES: typing.Final = 16


def parse_name(text: str) -> str:
    """Return a name of letters, digits, dots, dashes and underscores."""
    if not _NAME.match(text):
        raise ValueError('is not a name of up to 63 letters, digits, . _ -')
    return text


def parse_address(text: str) -> tuple[str, int]:
    """Return an IP address and a port.

    :param text: ``ip:port``.

    >>> parse_address('127.0.0.1:8080')
    ('127.0.0.1', 8080)
    """
    host, colon, port = text.rpartition(':')
    if not colon:
        raise ValueError('is not of the form <ip>:<port>')
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f'{host!r} is not an IP address') from None
    if not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f'{port!r} is not a port number')
    return str(address), int(port)


def parse_seconds(text: str) -> float:
    """Return a duration in seconds.

    >>> parse_seconds('250 ms')
    0.25
    """
    return _quantity(text, _SECONDS_BY_UNIT)


def parse_bytes(text: str) -> int:
    """Return a size in bytes.

    >>> parse_bytes('64 KiB')
    65536
    """
    return int(_quantity(text, _BYTES_BY_UNIT))


def _quantity(text: str, factor_by_unit: typing.Mapping[str, float]) -> float:
    match = _QUANTITY.match(text)
    if match is None or match.group(2) not in factor_by_unit:
        units = ', '.join(factor_by_unit)
        raise ValueError(f'needs a number and a unit of {units}')
    value = float(match.group(1)) * factor_by_unit[match.group(2)]
    if value <= 0:
        raise ValueError('must be greater than zero')
    return value


def parse_count(text: str) -> int:
    """Return a positive whole number."""
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        raise ValueError('is not a positive whole number')
    return int(text)


def parse_key(text: str) -> bytes:
    """Return a key of at least ``MIN_KEY_BYTES``, given in hexadecimal."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        raise ValueError('is not hexadecimal') from None
    if len(key) < MIN_KEY_BYTES:
        raise ValueError(f'is shorter than {MIN_KEY_BYTES} bytes')
    return key


def parse_digests(text: str) -> tuple[str, ...]:
    """Return SHA-256 digests of tokens, separated by commas."""
    digests = tuple(item.strip() for item in text.split(',') if item.strip())
    for digest in digests:
        if not _DIGEST.match(digest):
            raise ValueError(f'{digest!r} is not a SHA-256 in lower-case hex')
    return digests


def parse_level(text: str) -> str:
    """Return a log level."""
    levels = ('debug', 'info', 'warning', 'error')
    if text not in levels:
        raise ValueError(f'is not one of {", ".join(levels)}')
    return text


def parse_path(text: str) -> str:
    """Return a path, or an empty text for ``none``."""
    if not text:
        raise ValueError('is empty; use none for no file')
    return '' if text == 'none' else text


__all__ = (
    'MIN_KEY_BYTES',
    'parse_address',
    'parse_bytes',
    'parse_count',
    'parse_digests',
    'parse_key',
    'parse_level',
    'parse_name',
    'parse_path',
    'parse_seconds',
)
