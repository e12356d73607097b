"""Searches for places of several shapes at the same time."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity

# Partial placements examined before the search gives up. Packing blocks into
# racks is bin packing, so no small bound covers every case; 20,000 steps take
# well under a second.
MAX_STEPS: typing.Final = 20_000

# The search recurses once for each item.
MAX_ITEMS: typing.Final = 256

Masks: typing.TypeAlias = dict[ids.WorkerId, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A shape to place.

    :param rack_id: the only rack allowed, if part of it is already there.
    """

    shape: shapes.Shape
    rack_id: ids.RackId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a search.

    :param blocks_by_item: in the order of the items; None if none found.
    :param complete: whether None proves that no embedding exists.
    """

    blocks_by_item: tuple[tuple[capacity.Block, ...], ...] | None
    complete: bool


class _StepLimit(Exception):
    """The search examined too many partial placements."""


class _Search:

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
        self._order = sorted(range(len(items)), key=self._rank)
        self._steps_left = max_steps
        self._failed: set[tuple[typing.Any, ...]] = set()
        self._chosen: dict[int, tuple[capacity.Block, ...]] = {}

    def _rank(self, i: int) -> tuple[typing.Any, ...]:
        """Order items: restricted ones, then the hardest to place."""
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

    def _state(self, depth: int) -> tuple[typing.Any, ...]:
        """Return a state that is equal for interchangeable racks."""
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
        state = self._state(depth)
        if state in self._failed:
            return False
        i = self._order[depth]
        for blocks in self._placements(self._items[i]):
            self._chosen[i] = blocks
            if self._place(depth + 1):
                return True
        self._failed.add(state)
        return False

    def _placements(
        self,
        item: Item,
    ) -> typing.Iterator[tuple[capacity.Block, ...]]:
        """Yield each placement, applied while the caller looks at it."""
        if item.rack_id is not None:
            groups = [[item.rack_id]]
        elif item.shape.spread is shapes.Spread.DOMAIN:
            groups = [list(self._masks_by_rack)]
        else:
            groups = [[rack_id] for rack_id in self._masks_by_rack]
        size = item.shape.block_size
        groups.sort(key=lambda group: self._count(group, size))
        for group in groups:
            if self._count(group, size) < item.shape.blocks:
                continue
            racks = [self._masks_by_rack[rack_id] for rack_id in group]
            places = [(masks, w) for masks in racks for w in masks]
            places.sort(key=lambda place: place[0][place[1]].bit_count())
            yield from self._blocks(places, 0, item.shape.blocks, size, ())

    def _count(self, group: list[ids.RackId], size: int) -> int:
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
        places: list[tuple[Masks, ids.WorkerId]],
        first: int,
        wanted: int,
        size: int,
        chosen: tuple[capacity.Block, ...],
    ) -> typing.Iterator[tuple[capacity.Block, ...]]:
        if not wanted:
            yield chosen
            return
        for at in range(first, len(places)):
            masks, worker_id = places[at]
            mask = masks[worker_id]
            best = bitmask.best_block(mask, size)
            options = sorted(
                bitmask.positions(mask, size),
                key=lambda block: block != best,
            )
            for block in options:
                self._spend_step()
                masks[worker_id] = mask & ~block
                yield from self._blocks(
                    places,
                    at,
                    wanted - 1,
                    size,
                    chosen + (capacity.Block(worker_id, block), ),
                )
                masks[worker_id] = mask

    def _spend_step(self) -> None:
        self._steps_left -= 1
        if self._steps_left < 0:
            raise _StepLimit


def embed(
    items: typing.Sequence[Item],
    masks_by_rack: typing.Mapping[ids.RackId, Masks],
    *,
    max_steps: int = MAX_STEPS,
) -> Outcome:
    """Place all items on disjoint accelerators, if that is possible."""
    wanted = sum(item.shape.accelerators for item in items)
    present = sum(
        mask.bit_count()
        for masks in masks_by_rack.values()
        for mask in masks.values()
    )
    if wanted > present:
        return Outcome(None, complete=True)
    if len(items) > MAX_ITEMS:
        return Outcome(None, complete=False)
    try:
        found = _Search(items, masks_by_rack, max_steps).run()
    except _StepLimit:
        return Outcome(None, complete=False)
    return Outcome(found, complete=True)


__all__ = ('Item', 'MAX_ITEMS', 'MAX_STEPS', 'Masks', 'Outcome', 'embed')
