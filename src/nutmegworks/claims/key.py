"""Parses idempotency keys and maps them to records of the store."""
from __future__ import annotations

import dataclasses
import hashlib
import re
import typing

import result
import xxhash

from nutmegworks.model import ids

EPOCH_SECONDS: typing.Final = 10
# Epochs share a ring of slots; with epochs of 10 s a slot is reused after an
# hour.
EPOCH_SLOTS: typing.Final = 360
SHARD_COUNT: typing.Final = 8
# One minute, for callers whose clock is ahead of the daemon's.
MAX_EPOCHS_AHEAD: typing.Final = 6
MAX_KEY_LENGTH: typing.Final = 128
KEY_ID_BYTES: typing.Final = 16

_KEY: typing.Final = re.compile(r'(0|[1-9][0-9]{0,11})-([A-Za-z0-9._~-]+)')


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """An idempotency key in the namespace of its team.

    :param epoch: seconds since 1970 divided by 10, as stated by the caller.
    :param key_id: digest of team and key text. It is cryptographic, because a
        caller who finds a collision would get the response to another caller.
    """

    epoch: int
    shard: int
    key_id: bytes

    @property
    def slot(self) -> int:
        return self.epoch % EPOCH_SLOTS

    @property
    def record_key(self) -> str:
        return record_key(self.shard, self.slot)


def parse(
    text: str,
    team_id: ids.TeamId,
) -> result.Result[Key, str]:
    """Parse ``<epoch>-<opaque>``.

    :return: the key, or an error message for the caller.

    >>> parse('176000000-a', 'north').ok_value.record_key
    'claims/1/320'
    >>> parse('a', 'north')
    Err('the key is not of the form <epoch>-<opaque>')
    """
    if len(text) > MAX_KEY_LENGTH:
        return result.Err(f'the key exceeds {MAX_KEY_LENGTH} characters')
    match = _KEY.fullmatch(text)
    if match is None:
        return result.Err('the key is not of the form <epoch>-<opaque>')
    # The length prefix makes the pair of team and key unambiguous.
    name = f'{len(team_id)}:{team_id}:{text}'.encode()
    key_id = hashlib.blake2b(name, digest_size=KEY_ID_BYTES).digest()
    shard = xxhash.xxh3_64_intdigest(key_id) % SHARD_COUNT
    return result.Ok(Key(int(match.group(1)), shard, key_id))


def record_key(shard: int, slot: int) -> str:
    """Return the store key of the record of a shard and an epoch slot."""
    return f'claims/{shard}/{slot}'


def epoch_at(seconds: float) -> int:
    """Return the epoch of a time in seconds since 1970."""
    return int(seconds // EPOCH_SECONDS)


def is_ahead(epoch: int, now: float) -> bool:
    """Return whether an epoch is too far ahead of the clock.

    :param now: seconds since 1970.
    """
    return epoch > epoch_at(now) + MAX_EPOCHS_AHEAD


__all__ = (
    'EPOCH_SECONDS',
    'EPOCH_SLOTS',
    'KEY_ID_BYTES',
    'Key',
    'MAX_EPOCHS_AHEAD',
    'MAX_KEY_LENGTH',
    'SHARD_COUNT',
    'epoch_at',
    'is_ahead',
    'parse',
    'record_key',
)
