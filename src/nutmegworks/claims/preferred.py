"""Chooses the daemon that writes the claims of a shard."""
from __future__ import annotations

import typing

import xxhash

from nutmegworks.model import ids


def preferred(
    shard: int,
    member_ids: typing.Iterable[ids.MemberId],
) -> ids.MemberId | None:
    """Return the live member with the highest hash; None without members.

    Daemons with different views may choose differently. That costs writes
    that conflict, never a second claim.

    >>> preferred(3, ['a', 'b']) == preferred(3, ['b', 'a'])
    True
    """
    return max(
        member_ids,
        key=lambda member_id: _weight(shard, member_id),
        default=None,
    )


def _weight(shard: int, member_id: ids.MemberId) -> tuple[int, str]:
    name = f'{shard}/{member_id}'.encode()
    return xxhash.xxh3_64_intdigest(name), member_id


__all__ = ('preferred', )
