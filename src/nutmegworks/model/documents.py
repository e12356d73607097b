"""Decodes JSON documents that other processes have written.

A document may come from any writer. Whatever is wrong with it is a
``DocumentError``, so that its reader can pass it over.
"""
from __future__ import annotations

import ipaddress
import re
import typing

import msgspec

from nutmegworks.model import decoding

# The largest integer up to which floats represent all integers exactly.
MAX_EXACT_INTEGER: typing.Final = 2**53
# Unix milliseconds, in the year 2286: later times are mistakes of the writer.
MAX_UNIX_MS: typing.Final = 10**13
MAX_PORT: typing.Final = 65535

# Part of the text of an error that is kept; it may quote the document.
_MAX_DETAIL_CHARACTERS: typing.Final = 200
_PORT: typing.Final = re.compile(r'[0-9]{1,5}', re.ASCII)

Count = typing.Annotated[
    int,
    msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER),
]
Seconds = typing.Annotated[
    float,
    msgspec.Meta(ge=0),
]
UnixMilliseconds = typing.Annotated[
    int,
    msgspec.Meta(ge=0, le=MAX_UNIX_MS),
]
Port = typing.Annotated[
    int,
    msgspec.Meta(ge=1, le=MAX_PORT),
]

_Document = typing.TypeVar('_Document')


class DocumentError(ValueError):
    """A document that can not be read, or a value that is out of range."""


def decode(data: bytes, document: type[_Document]) -> _Document:
    """Return the document of a type that JSON text contains.

    :raise DocumentError: it is not JSON, too deeply nested, or not of the
        type.
    """
    try:
        with decoding.nesting_limit():
            return msgspec.json.decode(data, type=document)
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        detail = str(error)[:_MAX_DETAIL_CHARACTERS]
        raise DocumentError(detail) from None


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port; the host is not checked.

    :raise DocumentError: not of the form host:port, or not a port.
    """
    host, colon, port = text.rpartition(':')
    if not colon or not _PORT.fullmatch(port):
        detail = text[:_MAX_DETAIL_CHARACTERS]
        raise DocumentError(f'{detail!r} is not host:port')
    number = int(port)
    if not 1 <= number <= MAX_PORT:
        raise DocumentError(f'{number} is not a port')
    return host, number


def check_ip(host: str) -> None:
    """Check that a host is an IPv4 address in the usual form.

    Connecting to a name would block this process until it is resolved.

    :raise DocumentError: it is not.
    """
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        detail = host[:_MAX_DETAIL_CHARACTERS]
        raise DocumentError(f'{detail!r} is not an IPv4 address') from None


__all__ = (
    'Count',
    'DocumentError',
    'MAX_EXACT_INTEGER',
    'MAX_PORT',
    'MAX_UNIX_MS',
    'Port',
    'Seconds',
    'UnixMilliseconds',
    'check_ip',
    'decode',
    'parse_address',
)
