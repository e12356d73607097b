"""Exhaustive search for embeddings, for clusters of a few workers."""
from __future__ import annotations

import typing

from nutmegworks.model import shape as shapes

# Bit mask of the free accelerators, and rack ID, by worker ID.
Masks: typing.TypeAlias = dict[str, int]
Racks: typing.TypeAlias = dict[str, str]
# A shape and the only rack that its blocks may use, if restricted.
Item: typing.TypeAlias = tuple[shapes.Shape, str | None]


def can_embed(items: list[Item], masks: Masks, racks: Racks) -> bool:
    """Return whether all items fit at once, by trying every position."""
    seen: set[typing.Any] = set()

    def place(index: int, remaining_blocks: int, rack: str | None) -> bool:
        if index == len(items):
            return True
        shape, only_rack = items[index]
        if remaining_blocks == 0:
            following = (
                items[index + 1][0].blocks if index + 1 < len(items) else 0
            )
            return place(index + 1, following, None)
        state = (index, remaining_blocks, rack, tuple(masks.values()))
        if state in seen:
            return False
        seen.add(state)
        if shape.spread is shapes.Spread.RACK:
            rack = rack or only_rack
        for worker_id, mask in list(masks.items()):
            if rack is not None and racks[worker_id] != rack:
                continue
            block = (1 << shape.block_size) - 1
            while block <= mask:
                if mask & block == block:
                    masks[worker_id] = mask & ~block
                    in_rack = shape.spread is shapes.Spread.RACK
                    next_rack = racks[worker_id] if in_rack else None
                    if place(index, remaining_blocks - 1, next_rack):
                        masks[worker_id] = mask
                        return True
                    masks[worker_id] = mask
                block <<= 1
        return False

    return place(0, items[0][0].blocks, None) if items else True


__all__ = ('Item', 'Masks', 'Racks', 'can_embed')
