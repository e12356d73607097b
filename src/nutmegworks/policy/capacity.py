"""Index of accelerators by block size, for nutmegd's gang scheduler.

Updating one worker takes time logarithmic in the number of racks, and so does
finding the rack with the fewest blocks that fits a shape.
"""
from __future__ import annotations

import itertools
import typing

import sortedcontainers

from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.policy import bitmask


class Block(typing.NamedTuple):
    """Adjacent accelerators of one worker."""

    worker_id: ids.WorkerId
    mask: int


class RackCapacity:
    """Accelerators of one rack.

    :ivar mask_by_worker: only workers with a non-zero mask.
    :ivar counts: item i is the number of disjoint blocks of i + 1
        accelerators that fit.
    """

    __slots__ = ('rack_id', 'mask_by_worker', 'counts')

    def __init__(self, rack_id: ids.RackId) -> None:
        self.rack_id = rack_id
        self.mask_by_worker: dict[ids.WorkerId, int] = {}
        self.counts: list[int] = []

    def count(self, size: int) -> int:
        return self.counts[size - 1] if size <= len(self.counts) else 0


class CapacityIndex:
    """A set of accelerators, searchable by block size."""

    def __init__(self) -> None:
        self.accelerators = 0
        self._rack_by_id: dict[ids.RackId, RackCapacity] = {}
        self._total_counts: list[int] = []
        # Item i orders the racks by their number of blocks of i + 1
        # accelerators.
        self._racks_by_count: list[sortedcontainers.SortedList] = []
        # Item i contains the workers whose longest run is i + 1
        # accelerators. A dict preserves the insertion order, which makes
        # decisions reproducible.
        self._workers_by_longest_run: list[dict[ids.WorkerId, ids.RackId]] = []

    def mask(self, worker_id: ids.WorkerId, rack_id: ids.RackId) -> int:
        rack = self._rack_by_id.get(rack_id)
        return 0 if rack is None else rack.mask_by_worker.get(worker_id, 0)

    def set_mask(
        self,
        worker_id: ids.WorkerId,
        rack_id: ids.RackId,
        mask: int,
    ) -> None:
        rack = self._rack_by_id.get(rack_id)
        if rack is None:
            if not mask:
                return
            rack = RackCapacity(rack_id)
            self._rack_by_id[rack_id] = rack
        old = rack.mask_by_worker.get(worker_id, 0)
        if old == mask:
            return
        if mask:
            rack.mask_by_worker[worker_id] = mask
        else:
            del rack.mask_by_worker[worker_id]
        self.accelerators += mask.bit_count() - old.bit_count()
        self._update_counts(
            rack,
            bitmask.block_counts(old),
            bitmask.block_counts(mask),
        )
        self._update_longest_run(worker_id, rack_id, old, mask)

    def _update_counts(
        self,
        rack: RackCapacity,
        old: tuple[int, ...],
        new: tuple[int, ...],
    ) -> None:
        self._extend_sizes(len(new))
        pairs = itertools.zip_longest(old, new, fillvalue=0)
        for i, (before, after) in enumerate(pairs):
            if before == after:
                continue
            if i >= len(rack.counts):
                rack.counts.extend([0] * (i + 1 - len(rack.counts)))
            racks = self._racks_by_count[i]
            if rack.counts[i]:
                racks.remove((rack.counts[i], rack.rack_id))
            rack.counts[i] += after - before
            if rack.counts[i]:
                racks.add((rack.counts[i], rack.rack_id))
            self._total_counts[i] += after - before

    def _update_longest_run(
        self,
        worker_id: ids.WorkerId,
        rack_id: ids.RackId,
        old: int,
        new: int,
    ) -> None:
        before = bitmask.longest_run(old)
        after = bitmask.longest_run(new)
        if before == after:
            return
        if before:
            del self._workers_by_longest_run[before - 1][worker_id]
        if after:
            self._workers_by_longest_run[after - 1][worker_id] = rack_id

    def _extend_sizes(self, size: int) -> None:
        while len(self._total_counts) < size:
            self._total_counts.append(0)
            self._racks_by_count.append(sortedcontainers.SortedList())
            self._workers_by_longest_run.append({})

    def fits(self, shape: shapes.Shape) -> bool:
        """Return whether the shape fits, in constant time."""
        size = shape.block_size
        if (size > len(self._total_counts)
                or self._total_counts[size - 1] < shape.blocks):
            return False
        if shape.spread is shapes.Spread.DOMAIN:
            return True
        racks = self._racks_by_count[size - 1]
        return racks[-1][0] >= shape.blocks

    def racks_fewest_blocks_first(
        self,
        blocks: int,
        size: int,
    ) -> typing.Iterator[RackCapacity]:
        """Yield racks with at least ``blocks`` blocks, fewest first."""
        if size > len(self._racks_by_count):
            return
        for _, rack_id in self._racks_by_count[size - 1].irange((blocks, )):
            yield self._rack_by_id[rack_id]

    def racks_most_blocks_first(
        self,
        size: int,
    ) -> typing.Iterator[RackCapacity]:
        """Yield racks with any block of ``size``, most blocks first."""
        if size > len(self._racks_by_count):
            return
        for _, rack_id in reversed(self._racks_by_count[size - 1]):
            yield self._rack_by_id[rack_id]

    def racks(self) -> typing.Iterable[RackCapacity]:
        """Return all racks, in the order in which they were added."""
        return self._rack_by_id.values()

    def rack(self, rack_id: ids.RackId) -> RackCapacity:
        """Return one rack; it is empty if the index does not contain it."""
        return self._rack_by_id.get(rack_id) or RackCapacity(rack_id)

    def masks_by_rack(self) -> dict[ids.RackId, dict[ids.WorkerId, int]]:
        """Return a copy of all masks, in time linear in the index size."""
        return {
            rack_id: dict(rack.mask_by_worker)
            for rack_id, rack in self._rack_by_id.items()
        }

    def workers_by_longest_run(
        self,
        size: int,
    ) -> typing.Iterator[tuple[RackCapacity, ids.WorkerId]]:
        """Yield workers that fit a block, by ascending longest run."""
        for by_id in self._workers_by_longest_run[size - 1:]:
            for worker_id, rack_id in by_id.items():
                yield self._rack_by_id[rack_id], worker_id


__all__ = ('Block', 'CapacityIndex', 'RackCapacity')
