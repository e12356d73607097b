"""HTTP requests and responses, independent of h11."""
from __future__ import annotations

import dataclasses
import typing

import h11
import msgspec

# Larger headers are rejected; h11 buffers no more than this.
MAX_HEADER_BYTES: typing.Final = 16 * 1024
MAX_BODY_BYTES: typing.Final = 1024 * 1024
RECEIVE_BYTES: typing.Final = 64 * 1024

Headers = typing.Mapping[str, str]


class BodyTooLargeError(Exception):
    """A message body exceeds the receiver's limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request.

    :param target: path with query, as sent.
    :param headers: values by lower-case name.
    """

    method: str
    target: str
    headers: Headers = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response; header names are lower-case."""

    status: int
    headers: Headers = dataclasses.field(default_factory=dict)
    body: bytes = b''


def json_response(
    status: int,
    value: object,
    headers: Headers | None = None,
) -> Response:
    """Return a response whose body is the JSON form of a value."""
    merged = {'content-type': 'application/json', **(headers or {})}
    return Response(status, merged, msgspec.json.encode(value))


def decode_headers(event: h11.Request | h11.Response) -> dict[str, str]:
    """Return header values by lower-case name.

    Of a repeated header the last value is used.
    """
    return {
        name.decode('ascii'): value.decode('latin-1')
        for name, value in event.headers
    }


def encode_headers(
    headers: Headers,
    body: bytes,
) -> list[tuple[bytes, bytes]]:
    """Return headers in the form of h11, with the body's content length."""
    pairs = [
        (name.encode('ascii'), value.encode('latin-1'))
        for name, value in headers.items()
        if name != 'content-length'
    ]
    pairs.append((b'content-length', str(len(body)).encode('ascii')))
    return pairs


__all__ = (
    'BodyTooLargeError',
    'Headers',
    'MAX_BODY_BYTES',
    'MAX_HEADER_BYTES',
    'RECEIVE_BYTES',
    'Request',
    'Response',
    'decode_headers',
    'encode_headers',
    'json_response',
)
