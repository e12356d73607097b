"""Choice of the preferred daemon, which writes the claims of a shard."""
from __future__ import annotations

import typing

import xxhash

from nutmegworks.model import ids


def choose(
    shard: int,
    member_ids: typing.Iterable[ids.MemberId],
) -> ids.MemberId | None:
    """Return the member with the highest hash; None if there are no members.

    Daemons with different member lists may choose differently. This causes
    conflicting writes but never a second claim.

    :param member_ids: of the live members.

    >>> choose(3, ['a', 'b']) == choose(3, ['b', 'a'])
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


__all__ = ('choose', )
