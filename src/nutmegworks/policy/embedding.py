"""Searches for a placement of several shapes at the same time.

Used by nutmegd's gang scheduler to check and repair team guarantees.
"""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity

# Partial placements examined before the search stops. Packing blocks into
# racks is bin packing, so no small limit covers every case; 20,000 steps take
# well under a second.
MAX_STEPS: typing.Final = 20_000

# Limits the recursion depth: the search recurses once for each item.
MAX_ITEMS: typing.Final = 256

Masks: typing.TypeAlias = dict[ids.WorkerId, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A shape to place.

    :param rack_id: the only rack allowed, if a part of the shape is already
        placed there; None if any rack is allowed.
    """

    shape: shapes.Shape
    rack_id: ids.RackId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a search.

    :param blocks_by_item: in the order of the items; None if no embedding was
        found.
    :param is_conclusive: whether None proves that no embedding exists; False
        if the search was stopped by a limit.
    """

    blocks_by_item: tuple[tuple[capacity.Block, ...], ...] | None
    is_conclusive: bool


class _StepLimitError(Exception):
    """The search exceeded its limit of partial placements."""


class _Search:
    """A backtracking search that skips states that failed before."""

    def __init__(
        self,
        items: typing.Sequence[Item],
        masks_by_rack: typing.Mapping[ids.RackId, Masks],
        max_steps: int,
    ) -> None:
        self._items = items
        self._masks_by_rack = {
            rack_id: dict(masks)
            for rack_id, masks in masks_by_rack.items()
        }
        self._order = sorted(range(len(items)), key=self._sort_key)
        self._remaining_steps = max_steps
        self._failed_states: set[tuple[typing.Any, ...]] = set()
        self._chosen: dict[int, tuple[capacity.Block, ...]] = {}

    def _sort_key(self, i: int) -> tuple[typing.Any, ...]:
        """Sort items restricted to a rack first, then the largest items."""
        item = self._items[i]
        in_rack = item.shape.spread is shapes.Spread.RACK
        return (
            item.rack_id is None,
            -item.shape.block_size,
            not in_rack,
            -item.shape.blocks,
        )

    def run(self) -> tuple[tuple[capacity.Block, ...], ...] | None:
        if not self._place(0):
            return None
        return tuple(self._chosen[i] for i in range(len(self._items)))

    def _state_key(self, depth: int) -> tuple[typing.Any, ...]:
        """Return a key that is equal for interchangeable racks."""
        racks = sorted(
            (
                self._is_restricted(rack_id, depth) and rack_id or '',
                tuple(sorted(masks.values())),
            ) for rack_id, masks in self._masks_by_rack.items()
        )
        return (depth, *racks)

    def _is_restricted(self, rack_id: ids.RackId, depth: int) -> bool:
        return any(
            self._items[i].rack_id == rack_id for i in self._order[depth:]
        )

    def _place(self, depth: int) -> bool:
        if depth == len(self._order):
            return True
        state = self._state_key(depth)
        if state in self._failed_states:
            return False
        i = self._order[depth]
        for blocks in self._placements(self._items[i]):
            self._chosen[i] = blocks
            if self._place(depth + 1):
                return True
        self._failed_states.add(state)
        return False

    def _placements(
        self,
        item: Item,
    ) -> typing.Iterator[tuple[capacity.Block, ...]]:
        """Yield each placement; it remains applied until the next one."""
        if item.rack_id is not None:
            groups = [[item.rack_id]]
        elif item.shape.spread is shapes.Spread.DOMAIN:
            groups = [list(self._masks_by_rack)]
        else:
            groups = [[rack_id] for rack_id in self._masks_by_rack]
        size = item.shape.block_size
        groups.sort(key=lambda group: self._block_count(group, size))
        for group in groups:
            if self._block_count(group, size) < item.shape.blocks:
                continue
            racks = [self._masks_by_rack[rack_id] for rack_id in group]
            workers = [
                (masks, worker_id) for masks in racks for worker_id in masks
            ]
            workers.sort(key=lambda worker: worker[0][worker[1]].bit_count())
            yield from self._blocks(workers, 0, item.shape.blocks, size, ())

    def _block_count(self, group: list[ids.RackId], size: int) -> int:
        counts = (
            bitmask.block_counts(mask)
            for rack_id in group
            for mask in self._masks_by_rack[rack_id].values()
        )
        return sum(
            by_size[size - 1] for by_size in counts if len(by_size) >= size
        )

    def _blocks(
        self,
        workers: list[tuple[Masks, ids.WorkerId]],
        first_index: int,
        needed: int,
        size: int,
        chosen: tuple[capacity.Block, ...],
    ) -> typing.Iterator[tuple[capacity.Block, ...]]:
        if not needed:
            yield chosen
            return
        for index in range(first_index, len(workers)):
            masks, worker_id = workers[index]
            mask = masks[worker_id]
            best_block = bitmask.best_block(mask, size)
            options = sorted(
                bitmask.block_positions(mask, size),
                key=lambda block: block != best_block,
            )
            for block in options:
                self._spend_step()
                masks[worker_id] = mask & ~block
                yield from self._blocks(
                    workers,
                    index,
                    needed - 1,
                    size,
                    chosen + (capacity.Block(worker_id, block), ),
                )
                masks[worker_id] = mask

    def _spend_step(self) -> None:
        self._remaining_steps -= 1
        if self._remaining_steps < 0:
            raise _StepLimitError


def embed(
    items: typing.Sequence[Item],
    masks_by_rack: typing.Mapping[ids.RackId, Masks],
    *,
    max_steps: int = MAX_STEPS,
) -> Outcome:
    """Search for a placement of all items on disjoint accelerators.

    :param masks_by_rack: the accelerators that may be used, by rack and
        worker; not changed.
    :param max_steps: partial placements examined before the search stops.
    """
    needed = sum(item.shape.accelerators for item in items)
    available = sum(
        mask.bit_count()
        for masks in masks_by_rack.values()
        for mask in masks.values()
    )
    if needed > available:
        return Outcome(None, is_conclusive=True)
    if len(items) > MAX_ITEMS:
        return Outcome(None, is_conclusive=False)
    try:
        blocks_by_item = _Search(items, masks_by_rack, max_steps).run()
    except _StepLimitError:
        return Outcome(None, is_conclusive=False)
    return Outcome(blocks_by_item, is_conclusive=True)


__all__ = ('Item', 'MAX_ITEMS', 'MAX_STEPS', 'Masks', 'Outcome', 'embed')
