"""Authenticates messages between daemons by a shared cluster key.

A request's code covers its path and body. A reply's code covers the code of
its request, so that it cannot be taken for the reply to another one. Repeated
messages are harmless: generations and sequences only rise.
"""
from __future__ import annotations

import hmac
import typing

MAC_HEADER: typing.Final = 'nutmeg-peer-mac'
# The strength of HMAC-SHA256 is not used up by a shorter key.
MIN_KEY_BYTES: typing.Final = 16


class KeyTooShortError(ValueError):
    """The cluster key could be guessed."""


def check_key(key: bytes) -> bytes:
    """Return the key.

    :raises KeyTooShortError: if it has less than ``MIN_KEY_BYTES``.
    """
    if len(key) < MIN_KEY_BYTES:
        raise KeyTooShortError(
            f'the cluster key needs at least {MIN_KEY_BYTES} bytes'
        )
    return key


def code(key: bytes, context: str, body: bytes) -> str:
    """Return the authentication code of a message.

    :param context: the path of a request or the code that a reply answers.
    """
    data = context.encode('utf-8') + b'\n' + body
    return hmac.digest(key, data, 'sha256').hex()


def matches(key: bytes, context: str, body: bytes, claimed: str) -> bool:
    """Compare a received code in constant time."""
    expected = code(key, context, body)
    return hmac.compare_digest(
        expected.encode('ascii'), claimed.encode('utf-8')
    )


__all__ = (
    'KeyTooShortError',
    'MAC_HEADER',
    'MIN_KEY_BYTES',
    'check_key',
    'code',
    'matches',
)
