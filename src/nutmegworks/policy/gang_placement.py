"""Chooses accelerators for a gang, for nutmegd's gang scheduler.

The policies differ only in which racks, workers and blocks they prefer. The
counterpart for the tasks of the platform daemon is ``task_placement``.
"""
from __future__ import annotations

import abc
import dataclasses
import itertools
import random
import typing

from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity

# Limits the racks that a policy compares, and thus the cost of a decision.
MAX_RACKS_COMPARED: typing.Final = 16

Blocks: typing.TypeAlias = tuple[capacity.Block, ...]
WorkerExpectedEnd: typing.TypeAlias = (
    typing.Callable[[ids.WorkerId], float | None]
)


def _no_expected_end(worker_id: ids.WorkerId) -> float | None:
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A shape to place and the job's constraints and expectations.

    :param excluded: workers on which the job failed before.
    :param expected_end: time in seconds at which the job is expected to end.
    :param worker_expected_end: returns the expected end, in seconds, of the
        last job on a worker, or None if the worker is idle.
    """

    shape: shapes.Shape
    excluded: frozenset[ids.WorkerId] = frozenset()
    expected_end: float = 0.0
    worker_expected_end: WorkerExpectedEnd = _no_expected_end


class PlacementPolicy(abc.ABC):
    """Chooses blocks from a capacity index."""

    @abc.abstractmethod
    def rank_racks(
        self,
        index: capacity.CapacityIndex,
        blocks: int,
        size: int,
    ) -> typing.Iterator[capacity.RackCapacity]:
        """Yield racks with at least ``blocks`` blocks, best first."""

    @abc.abstractmethod
    def worker_key(
        self,
        request: Request,
        worker_id: ids.WorkerId,
        mask: int,
    ) -> tuple[typing.Any, ...]:
        """Return the sort key of a worker; the smallest is preferred."""

    def choose_blocks(self, mask: int, size: int, limit: int) -> list[int]:
        """Return up to ``limit`` disjoint blocks of one worker."""
        return bitmask.take_blocks(mask, size, limit)

    def choose(
        self,
        index: capacity.CapacityIndex,
        request: Request,
    ) -> Blocks | None:
        """Return blocks for the whole shape, or None if it does not fit."""
        if not index.fits(request.shape):
            return None
        if request.shape.spread is shapes.Spread.DOMAIN:
            return self._across_racks(index, request)
        return self._within_rack(index, request)

    def choose_in_rack(
        self,
        rack: capacity.RackCapacity,
        request: Request,
        limit: int,
    ) -> list[capacity.Block]:
        """Return up to ``limit`` blocks in one rack, in preferred order."""
        size = request.shape.block_size
        candidates = [
            (self.worker_key(request, worker_id, mask), worker_id, mask)
            for worker_id, mask in rack.mask_by_worker.items()
            if bitmask.longest_run(mask) >= size
            and worker_id not in request.excluded
        ]
        chosen: list[capacity.Block] = []
        for _, worker_id, mask in sorted(candidates):
            for block in self.choose_blocks(mask, size, limit - len(chosen)):
                chosen.append(capacity.Block(worker_id, block))
            if len(chosen) == limit:
                break
        return chosen

    def _within_rack(
        self,
        index: capacity.CapacityIndex,
        request: Request,
    ) -> Blocks | None:
        needed = request.shape.blocks
        racks = self.rank_racks(index, needed, request.shape.block_size)
        # Each excluded worker can make at most one rack unusable.
        limit = MAX_RACKS_COMPARED + len(request.excluded)
        for rack in itertools.islice(racks, limit):
            blocks = self.choose_in_rack(rack, request, needed)
            if len(blocks) == needed:
                return tuple(blocks)
        return None

    def _across_racks(
        self,
        index: capacity.CapacityIndex,
        request: Request,
    ) -> Blocks | None:
        needed = request.shape.blocks
        chosen: list[capacity.Block] = []
        for rack in index.racks_most_blocks_first(request.shape.block_size):
            chosen += self.choose_in_rack(rack, request, needed - len(chosen))
            if len(chosen) == needed:
                return tuple(chosen)
        return None


class RandomPlacement(PlacementPolicy):
    """Baseline for comparison: random racks, workers and blocks that fit."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        # Random blocks can fragment a worker so much that a gang which would
        # fit is not placed.
        self._fallback = FirstFit()

    def choose(
        self,
        index: capacity.CapacityIndex,
        request: Request,
    ) -> Blocks | None:
        chosen = super().choose(index, request)
        return chosen or self._fallback.choose(index, request)

    def rank_racks(
        self,
        index: capacity.CapacityIndex,
        blocks: int,
        size: int,
    ) -> typing.Iterator[capacity.RackCapacity]:
        racks = list(index.racks_fewest_blocks_first(blocks, size))
        self._random.shuffle(racks)
        return iter(racks)

    def worker_key(
        self,
        request: Request,
        worker_id: ids.WorkerId,
        mask: int,
    ) -> tuple[typing.Any, ...]:
        return (self._random.random(), )

    def choose_blocks(self, mask: int, size: int, limit: int) -> list[int]:
        blocks: list[int] = []
        while len(blocks) < limit:
            options = list(bitmask.block_positions(mask, size))
            if not options:
                break
            blocks.append(self._random.choice(options))
            mask &= ~blocks[-1]
        return blocks


class FirstFit(PlacementPolicy):
    """Baseline for comparison: the first rack, worker and block that fit."""

    def rank_racks(
        self,
        index: capacity.CapacityIndex,
        blocks: int,
        size: int,
    ) -> typing.Iterator[capacity.RackCapacity]:
        fitting = (
            rack for rack in index.racks() if rack.count(size) >= blocks
        )
        return iter(sorted(fitting, key=lambda rack: rack.rack_id))

    def worker_key(
        self,
        request: Request,
        worker_id: ids.WorkerId,
        mask: int,
    ) -> tuple[typing.Any, ...]:
        return ()

    def choose_blocks(self, mask: int, size: int, limit: int) -> list[int]:
        blocks: list[int] = []
        for block in bitmask.block_positions(mask, size):
            if len(blocks) < limit and mask & block == block:
                blocks.append(block)
                mask &= ~block
        return blocks


class BestFit(PlacementPolicy):
    """Prefers the racks and workers with the least free capacity that fits.

    A rack is compared by its number of free blocks or, for a single block, by
    the longest free run of its workers; a worker by its free accelerators.
    """

    def rank_racks(
        self,
        index: capacity.CapacityIndex,
        blocks: int,
        size: int,
    ) -> typing.Iterator[capacity.RackCapacity]:
        if blocks > 1:
            yield from index.racks_fewest_blocks_first(blocks, size)
            return
        seen: set[ids.RackId] = set()
        for rack, _ in index.workers_by_longest_run(size):
            if rack.rack_id not in seen:
                seen.add(rack.rack_id)
                yield rack

    def worker_key(
        self,
        request: Request,
        worker_id: ids.WorkerId,
        mask: int,
    ) -> tuple[typing.Any, ...]:
        return (mask.bit_count(), )


class LeastFragmentation(BestFit):
    """Prefers the workers on which the fewest large blocks are lost.

    A worker's loss is the number of blocks of each size that no longer fit
    after the placement, the largest size first. Among equal losses, the worker
    whose other jobs end at nearly the same time is preferred, so that whole
    workers become free together.
    """

    def worker_key(
        self,
        request: Request,
        worker_id: ids.WorkerId,
        mask: int,
    ) -> tuple[typing.Any, ...]:
        loss = bitmask.loss_by_size(mask, request.shape.block_size)
        other_end = request.worker_expected_end(worker_id)
        gap = 0.0 if other_end is None else abs(
            other_end - request.expected_end
        )
        return (loss, gap)


__all__ = (
    'BestFit',
    'Blocks',
    'FirstFit',
    'LeastFragmentation',
    'MAX_RACKS_COMPARED',
    'PlacementPolicy',
    'RandomPlacement',
    'Request',
)
