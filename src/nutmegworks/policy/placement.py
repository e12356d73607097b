"""Chooses accelerators for a shape; policies differ in preference only."""
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

# Racks and workers that a policy compares; bounds the cost of a decision.
CANDIDATES: typing.Final = 16

Blocks: typing.TypeAlias = tuple[capacity.Block, ...]
EndByWorker: typing.TypeAlias = typing.Callable[[ids.WorkerId], float | None]


def _no_end(worker_id: ids.WorkerId) -> float | None:
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What is to be placed.

    :param excluded: workers on which the job failed before.
    :param end_at: seconds, when the work is expected to end.
    :param end_by_worker: expected end of the last work on a worker, or None
        if the worker is idle.
    """

    shape: shapes.Shape
    excluded: frozenset[ids.WorkerId] = frozenset()
    end_at: float = 0.0
    end_by_worker: EndByWorker = _no_end


class PlacementPolicy(abc.ABC):
    """Chooses blocks in an index of capacity."""

    @abc.abstractmethod
    def racks(
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
        """Return the preference for a worker; the smallest is first."""

    def take(self, mask: int, size: int, limit: int) -> list[int]:
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

    def in_rack(
        self,
        rack: capacity.RackCapacity,
        request: Request,
        limit: int,
    ) -> list[capacity.Block]:
        """Return up to ``limit`` blocks in one rack, in preferred order."""
        size = request.shape.block_size
        fitting = [
            (self.worker_key(request, worker_id, mask), worker_id, mask)
            for worker_id, mask in rack.mask_by_worker.items()
            if bitmask.longest_run(mask) >= size
            and worker_id not in request.excluded
        ]
        chosen: list[capacity.Block] = []
        for _, worker_id, mask in sorted(fitting):
            for block in self.take(mask, size, limit - len(chosen)):
                chosen.append(capacity.Block(worker_id, block))
            if len(chosen) == limit:
                break
        return chosen

    def _within_rack(
        self,
        index: capacity.CapacityIndex,
        request: Request,
    ) -> Blocks | None:
        wanted = request.shape.blocks
        racks = self.racks(index, wanted, request.shape.block_size)
        # Excluded workers can spoil only as many racks as there are.
        limit = CANDIDATES + len(request.excluded)
        for rack in itertools.islice(racks, limit):
            blocks = self.in_rack(rack, request, wanted)
            if len(blocks) == wanted:
                return tuple(blocks)
        return None

    def _across_racks(
        self,
        index: capacity.CapacityIndex,
        request: Request,
    ) -> Blocks | None:
        wanted = request.shape.blocks
        chosen: list[capacity.Block] = []
        for rack in index.racks_by_most(request.shape.block_size):
            chosen += self.in_rack(rack, request, wanted - len(chosen))
            if len(chosen) == wanted:
                return tuple(chosen)
        return None


class RandomPlacement(PlacementPolicy):
    """A baseline: any rack, workers and blocks that fit."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        # Random positions can leave too few blocks for a gang that fits.
        self._fallback = FirstFit()

    def choose(
        self,
        index: capacity.CapacityIndex,
        request: Request,
    ) -> Blocks | None:
        chosen = super().choose(index, request)
        return chosen or self._fallback.choose(index, request)

    def racks(
        self,
        index: capacity.CapacityIndex,
        blocks: int,
        size: int,
    ) -> typing.Iterator[capacity.RackCapacity]:
        racks = list(index.racks_fitting(blocks, size))
        self._source.shuffle(racks)
        return iter(racks)

    def worker_key(
        self,
        request: Request,
        worker_id: ids.WorkerId,
        mask: int,
    ) -> tuple[typing.Any, ...]:
        return (self._source.random(), )

    def take(self, mask: int, size: int, limit: int) -> list[int]:
        blocks: list[int] = []
        while len(blocks) < limit:
            options = list(bitmask.positions(mask, size))
            if not options:
                break
            blocks.append(self._source.choice(options))
            mask &= ~blocks[-1]
        return blocks


class FirstFit(PlacementPolicy):
    """A baseline: the first rack, worker and position that fit."""

    def racks(
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

    def take(self, mask: int, size: int, limit: int) -> list[int]:
        blocks: list[int] = []
        for block in bitmask.positions(mask, size):
            if len(blocks) < limit and mask & block == block:
                blocks.append(block)
                mask &= ~block
        return blocks


class BestFit(PlacementPolicy):
    """The fullest rack and worker that fit."""

    def racks(
        self,
        index: capacity.CapacityIndex,
        blocks: int,
        size: int,
    ) -> typing.Iterator[capacity.RackCapacity]:
        if blocks > 1:
            yield from index.racks_fitting(blocks, size)
            return
        seen: set[ids.RackId] = set()
        for rack, _ in index.tight_workers(size):
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


class LeastLoss(BestFit):
    """The workers where the fewest large blocks are lost.

    A worker's loss is the number of blocks of
    each size that no longer fit after the placement, the largest size first.
    Among equal losses, the
    worker whose other work ends at nearly the same time is taken, so that
    whole workers become free together.
    """

    def worker_key(
        self,
        request: Request,
        worker_id: ids.WorkerId,
        mask: int,
    ) -> tuple[typing.Any, ...]:
        loss = bitmask.loss_by_size(mask, request.shape.block_size)
        other_end = request.end_by_worker(worker_id)
        gap = 0.0 if other_end is None else abs(other_end - request.end_at)
        return (loss, gap)


__all__ = (
    'BestFit',
    'Blocks',
    'CANDIDATES',
    'FirstFit',
    'LeastLoss',
    'PlacementPolicy',
    'RandomPlacement',
    'Request',
)
