"""Authenticates messages between daemons by a shared cluster key.

The authentication code (MAC) of a request covers its path and body. The code
of a reply covers the code of its request and the body, so that it is not
accepted as the reply to another request. Replayed messages are harmless,
because generations and sequences only increase.
"""
from __future__ import annotations

import hmac
import typing

MAC_HEADER: typing.Final = 'nutmeg-peer-mac'
# A shorter key would be easier to guess than HMAC-SHA256 is to break.
MIN_KEY_BYTES: typing.Final = 16


class KeyTooShortError(ValueError):
    """The cluster key is short enough to be guessed."""


def check_key(key: bytes) -> bytes:
    """Return the key unchanged if it is long enough.

    :raises KeyTooShortError: if it has fewer than ``MIN_KEY_BYTES`` bytes.
    """
    if len(key) < MIN_KEY_BYTES:
        raise KeyTooShortError(
            f'the cluster key needs at least {MIN_KEY_BYTES} bytes'
        )
    return key


def compute_mac(key: bytes, context: str, body: bytes) -> str:
    """Return the authentication code of a message.

    :param context: the path of a request, or the code of the request that a
        reply answers.
    :return: hexadecimal HMAC-SHA256.
    """
    data = context.encode('utf-8') + b'\n' + body
    return hmac.digest(key, data, 'sha256').hex()


def is_valid_mac(key: bytes, context: str, body: bytes, received: str) -> bool:
    """Return whether a received code is right, in constant time.

    :param context: as in ``compute_mac``.
    """
    expected = compute_mac(key, context, body)
    return hmac.compare_digest(
        expected.encode('ascii'), received.encode('utf-8')
    )


__all__ = (
    'KeyTooShortError',
    'MAC_HEADER',
    'MIN_KEY_BYTES',
    'check_key',
    'compute_mac',
    'is_valid_mac',
)
