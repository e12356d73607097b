"""Binds team guarantees to accelerators for nutmegd's gang scheduler.

Each guaranteed shape is a slot that is bound to concrete accelerators. Slots
are disjoint, lie on available workers and never overlap a borrower that cannot
be reclaimed. This embedding of all slots proves that, once the reclaimable
borrowers are stopped, every team can use all its slots at the same time.

Binding shapes to physical cells, and rebinding unused ones, follows the
virtual clusters of HiveD (Zhao et al., OSDI 2020), which also argues that a
count of accelerators is no guarantee. Unlike in HiveD, a cell is a run of
adjacent accelerators in a bit mask; ``bitmask.best_block`` prefers the aligned
buddy cell.

The platform daemon's task scheduler has no counterpart of this module.
"""
from __future__ import annotations

import collections
import typing

from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.model import work
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import embedding
from nutmegworks.policy import gang_placement

# Largest domain in which all unused slots may be placed again together. In
# larger domains only the affected slots are moved.
MAX_WORKERS_REEMBEDDED: typing.Final = 64
# Slots moved to admit one borrower, and slots of a team tried for a move onto
# idle accelerators. Both bound the cost of a scheduling decision.
MAX_SLOTS_MOVED: typing.Final = 8
# Unplaced slots that one call of ``repair`` retries, which bounds its cost.
MAX_SLOTS_REPAIRED: typing.Final = 32
# Steps of one embedding search while scheduling, which then takes tens of
# milliseconds at most.
MAX_REEMBED_STEPS: typing.Final = 2_000


class Slot:
    """One guaranteed shape of one team.

    :ivar blocks: the blocks to which it is bound; empty if it is unbound.
    """

    __slots__ = ('slot_id', 'team_id', 'shape', 'blocks')

    def __init__(
        self,
        slot_id: int,
        team_id: ids.TeamId,
        shape: shapes.Shape,
    ) -> None:
        self.slot_id = slot_id
        self.team_id = team_id
        self.shape = shape
        self.blocks: tuple[capacity.Block, ...] = ()

    def covers(self, shape: shapes.Shape) -> bool:
        """Return whether the slot, if unused, can serve a shape."""
        blocks_per_cell = self.shape.block_size // shape.block_size
        spread_allowed = (
            self.shape.spread is shapes.Spread.RACK
            or shape.spread is shapes.Spread.DOMAIN
        )
        return (
            spread_allowed
            and blocks_per_cell * self.shape.blocks >= shape.blocks
        )


class EmbeddingError(AssertionError):
    """The embedding of the slots violates an invariant."""


class GuaranteeLedger:
    """Binds the guaranteed shapes of one failure domain.

    :ivar unplaced: slots that are not completely bound to available workers,
        for example after a worker was lost.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        domain_id: ids.DomainId,
    ) -> None:
        self._cluster = cluster
        self._domain_id = domain_id
        self._policy = gang_placement.LeastFragmentation()
        self._next_slot_id = 0
        self.slot_by_id: dict[int, Slot] = {}
        self.slot_ids_by_team: dict[ids.TeamId, dict[int, None]] = {}
        self._slot_ids_by_worker: dict[ids.WorkerId, dict[int, None]] = {}
        self.unplaced: dict[int, None] = {}

    # Configuration.

    def configure(
        self,
        configuration: work.Configuration,
        on_dropped: typing.Callable[[set[ids.WorkerId]], None] | None = None,
    ) -> bool:
        """Apply the guarantees of a configuration.

        Slots of shapes that a team keeps remain bound as they are.

        :param on_dropped: called with the workers of dropped slots before
            new slots are bound; it must charge the work there as borrowed.
        :return: whether any guarantee changed.
        """
        count_by_shape = guaranteed_shape_counts(
            configuration,
            self._domain_id,
        )
        dropped: set[ids.WorkerId] = set()
        count = len(self.slot_by_id)
        for slot in list(self.slot_by_id.values()):
            key = (slot.team_id, slot.shape)
            if count_by_shape[key]:
                count_by_shape[key] -= 1
            else:
                dropped.update(block.worker_id for block in slot.blocks)
                self._drop(slot)
        changed = len(self.slot_by_id) < count
        if dropped and on_dropped is not None:
            on_dropped(dropped)
        added = []
        for (team_id, shape), count in count_by_shape.items():
            added += [self._add(team_id, shape) for _ in range(count)]
        for slot in sorted(added, key=_largest_first):
            if not self._bind_anywhere(slot):
                self.unplaced[slot.slot_id] = None
        self.repair()
        return changed or bool(added)

    def _add(self, team_id: ids.TeamId, shape: shapes.Shape) -> Slot:
        slot = Slot(self._next_slot_id, team_id, shape)
        self._next_slot_id += 1
        self.slot_by_id[slot.slot_id] = slot
        self.slot_ids_by_team.setdefault(team_id, {})[slot.slot_id] = None
        return slot

    def _drop(self, slot: Slot) -> None:
        self._unbind(slot)
        del self.slot_by_id[slot.slot_id]
        del self.slot_ids_by_team[slot.team_id][slot.slot_id]
        self.unplaced.pop(slot.slot_id, None)

    # Binding.

    def _bind(
        self,
        slot: Slot,
        blocks: typing.Iterable[capacity.Block],
    ) -> None:
        for block in blocks:
            self._cluster.bind(slot.team_id, block)
            by_worker = self._slot_ids_by_worker
            by_worker.setdefault(block.worker_id, {})[slot.slot_id] = None
            slot.blocks += (block, )

    def _unbind(
        self,
        slot: Slot,
        blocks: typing.Iterable[capacity.Block] | None = None,
    ) -> None:
        removed = slot.blocks if blocks is None else tuple(blocks)
        slot.blocks = tuple(b for b in slot.blocks if b not in removed)
        remaining = {block.worker_id for block in slot.blocks}
        for block in removed:
            self._cluster.unbind(slot.team_id, block)
            if block.worker_id not in remaining:
                by_slot = self._slot_ids_by_worker[block.worker_id]
                by_slot.pop(slot.slot_id, None)

    def _bind_anywhere(self, slot: Slot) -> bool:
        request = gang_placement.Request(slot.shape)
        blocks = self._policy.choose(self._cluster.bindable, request)
        if blocks is None:
            return False
        self._bind(slot, blocks)
        return True

    def _used_mask(self, block: capacity.Block) -> int:
        return self._cluster.worker_by_id[block.worker_id].used & block.mask

    def _unused_blocks(self, slot: Slot) -> list[capacity.Block]:
        return [block for block in slot.blocks if not self._used_mask(block)]

    def _rack_of(self, block: capacity.Block) -> ids.RackId:
        return self._cluster.worker_by_id[block.worker_id].rack_id

    def _is_available(self, block: capacity.Block) -> bool:
        return bool(self._cluster.worker_by_id[block.worker_id].available)

    # Moves.

    def _move(self, slot: Slot, moving: list[capacity.Block]) -> bool:
        """Bind some unused blocks of a slot elsewhere.

        A slot that is entirely unused moves as a whole, possibly to another
        rack. On failure the slot remains without the blocks in ``moving``.
        """
        kept = [block for block in slot.blocks if block not in moving]
        if not any(self._used_mask(block) for block in kept):
            self._unbind(slot)
            return self._bind_anywhere(slot)
        self._unbind(slot, moving)
        return self._bind_missing(slot)

    def _bind_missing(self, slot: Slot) -> bool:
        """Bind the blocks that a partly bound slot lacks."""
        kept = slot.blocks
        missing = slot.shape.blocks - len(kept)
        if not missing:
            return True
        shape = shapes.Shape(
            missing,
            slot.shape.block_size,
            slot.shape.spread,
        )
        request = gang_placement.Request(shape)
        index = self._cluster.bindable
        if slot.shape.spread is shapes.Spread.DOMAIN:
            blocks = self._policy.choose(index, request)
        else:
            rack = index.rack(self._rack_of(kept[0]))
            chosen = self._policy.choose_in_rack(rack, request, missing)
            blocks = tuple(chosen) if len(chosen) == missing else None
        if blocks is None:
            return False
        self._bind(slot, blocks)
        return True

    def _restore(
        self,
        blocks_by_slot: typing.Mapping[int, tuple[capacity.Block, ...]],
    ) -> None:
        for slot_id in blocks_by_slot:
            self._unbind(self.slot_by_id[slot_id])
        for slot_id, blocks in blocks_by_slot.items():
            self._bind(self.slot_by_id[slot_id], blocks)

    def _reembed(self) -> bool:
        """Place all movable blocks of all slots again; small domains only.

        :return: whether every slot is placed; otherwise nothing changed.
        """
        if len(self._cluster.worker_by_id) > MAX_WORKERS_REEMBEDDED:
            return False
        before = {i: slot.blocks for i, slot in self.slot_by_id.items()}
        items: list[embedding.Item] = []
        slots: list[Slot] = []
        for slot in self.slot_by_id.values():
            self._unbind(slot, self._unused_blocks(slot))
            if len(slot.blocks) < slot.shape.blocks:
                items.append(self._missing_part(slot))
                slots.append(slot)
        masks = self._cluster.bindable.masks_by_rack()
        outcome = embedding.embed(items, masks, max_steps=MAX_REEMBED_STEPS)
        if outcome.blocks_by_item is None:
            self._restore(before)
            return False
        for slot, blocks in zip(slots, outcome.blocks_by_item):
            self._bind(slot, blocks)
        return True

    def _missing_part(self, slot: Slot) -> embedding.Item:
        missing = slot.shape.blocks - len(slot.blocks)
        shape = shapes.Shape(
            missing,
            slot.shape.block_size,
            slot.shape.spread,
        )
        in_rack = slot.shape.spread is shapes.Spread.RACK
        rack_id = (
            self._rack_of(slot.blocks[0]) if slot.blocks and in_rack else None
        )
        return embedding.Item(shape, rack_id)

    # Changes of the cluster.

    def worker_lost(self, worker_id: ids.WorkerId) -> None:
        """Move slots off a worker that is no longer available."""
        for slot_id in list(self._slot_ids_by_worker.get(worker_id, ())):
            self.unplaced[slot_id] = None
        self.repair()

    def repair(self) -> None:
        """Try to place up to ``MAX_SLOTS_REPAIRED`` unplaced slots."""
        pending = list(self.unplaced)[:MAX_SLOTS_REPAIRED]
        for slot_id in pending:
            del self.unplaced[slot_id]
            if not self._repair_slot(self.slot_by_id[slot_id]):
                # Reinserted at the end, so that the slots are retried in turn.
                self.unplaced[slot_id] = None
        if self.unplaced and self._reembed():
            self.unplaced = {
                i: None
                for i in self.unplaced
                if not self._is_placed(self.slot_by_id[i])
            }

    def _repair_slot(self, slot: Slot) -> bool:
        if self._is_placed(slot):
            return True
        lost = [
            block for block in self._unused_blocks(slot)
            if not self._is_available(block)
        ]
        if lost or len(slot.blocks) < slot.shape.blocks:
            self._move(slot, lost)
        return self._is_placed(slot)

    def _is_placed(self, slot: Slot) -> bool:
        return len(slot.blocks) == slot.shape.blocks and all(
            self._is_available(block) for block in slot.blocks
        )

    # Admission of work.

    def admit_non_reclaimable(
        self,
        job_id: ids.JobId,
        blocks: typing.Sequence[capacity.Block],
    ) -> bool:
        """Move slots off the blocks of a borrower that cannot be reclaimed.

        :return: whether the borrower may use the blocks; they are then
            marked as non-reclaimable. Otherwise nothing changed.
        """
        if self.unplaced:
            # A returning worker may be the only capacity left for these slots.
            return False
        displaced = self._slots_on(blocks)
        if len(displaced) > MAX_SLOTS_MOVED:
            return False
        for slot in displaced:
            # A block in use cannot be moved, even if only a part is used.
            if any(self._used_mask(b)
                   for b in self._overlapping(slot, blocks)):
                return False
        before = {slot.slot_id: slot.blocks for slot in displaced}
        self._mark_non_reclaimable(blocks, True)
        for slot in displaced:
            if not self._move(slot, self._overlapping(slot, blocks)):
                self._restore(before)
                break
        else:
            return True
        if self._reembed():
            return True
        self._mark_non_reclaimable(blocks, False)
        return False

    def bind_around_running(
        self,
        team_id: ids.TeamId,
        shape: shapes.Shape,
        blocks: typing.Sequence[capacity.Block],
    ) -> bool:
        """Bind an unused slot of a team around work that already runs.

        :return: whether that was possible; otherwise nothing changed.
        """
        for slot in self.covering_slots(team_id, shape):
            if len(self._unused_blocks(slot)) == slot.shape.blocks:
                return self._bind_around(slot, blocks)
        return False

    def _bind_around(
        self,
        slot: Slot,
        blocks: typing.Sequence[capacity.Block],
    ) -> bool:
        displaced = [s for s in self._slots_on(blocks) if s is not slot]
        for other in displaced:
            if any(self._used_mask(b)
                   for b in self._overlapping(other, blocks)):
                return False
        before = {s.slot_id: s.blocks for s in (slot, *displaced)}
        self._unbind(slot)
        self._mark_non_reclaimable(blocks, True)
        moved = all(
            self._move(other, self._overlapping(other, blocks))
            for other in displaced
        )
        self._mark_non_reclaimable(blocks, False)
        if moved:
            self._bind(slot, self._cells_around(slot.shape, blocks))
            complete = 0 < len(slot.blocks) <= slot.shape.blocks
            if complete and self._bind_missing(slot):
                return True
        self._restore(before)
        return False

    def _cells_around(
        self,
        shape: shapes.Shape,
        blocks: typing.Sequence[capacity.Block],
    ) -> list[capacity.Block]:
        """Return cells of the shape's block size that cover all blocks.

        :return: [] if a block cannot be covered.
        """
        cells: list[capacity.Block] = []
        for worker_id, mask in blocks:
            on_worker = [c.mask for c in cells if c.worker_id == worker_id]
            if any(cell & mask == mask for cell in on_worker):
                continue
            worker = self._cluster.worker_by_id[worker_id]
            usable = self._cluster.bindable.mask(worker_id, worker.rack_id)
            usable &= ~sum(on_worker)
            cell = next(
                (
                    option for option in
                    bitmask.block_positions(usable, shape.block_size)
                    if option & mask == mask
                ),
                None,
            )
            if cell is None:
                return []
            cells.append(capacity.Block(worker_id, cell))
        return cells

    def displace(self, blocks: typing.Sequence[capacity.Block]) -> None:
        """Unbind slots from blocks where non-reclaimable work already runs."""
        for slot in self._slots_on(blocks):
            self._unbind(slot, self._overlapping(slot, blocks))
            self.unplaced[slot.slot_id] = None

    def _mark_non_reclaimable(
        self,
        blocks: typing.Iterable[capacity.Block],
        non_reclaimable: bool,
    ) -> None:
        for block in blocks:
            worker = self._cluster.worker_by_id[block.worker_id]
            if non_reclaimable:
                worker.non_reclaimable |= block.mask
            else:
                worker.non_reclaimable &= ~block.mask
            self._cluster.refresh(worker)

    def _slots_on(
        self,
        blocks: typing.Iterable[capacity.Block],
    ) -> list[Slot]:
        slot_by_id: dict[int, Slot] = {}
        for block in blocks:
            by_slot = self._slot_ids_by_worker.get(block.worker_id, {})
            for slot_id in by_slot:
                slot = self.slot_by_id[slot_id]
                if self._overlapping(slot, [block]):
                    slot_by_id[slot_id] = slot
        return list(slot_by_id.values())

    @staticmethod
    def _overlapping(
        slot: Slot,
        blocks: typing.Iterable[capacity.Block],
    ) -> list[capacity.Block]:
        mask_by_worker: dict[ids.WorkerId, int] = {}
        for worker_id, mask in blocks:
            mask_by_worker[worker_id] = (
                mask_by_worker.get(worker_id, 0) | mask
            )
        return [
            block for block in slot.blocks
            if block.mask & mask_by_worker.get(block.worker_id, 0)
        ]

    def move_to_idle(
        self,
        team_id: ids.TeamId,
        shape: shapes.Shape,
    ) -> bool:
        """Bind an unused slot of a team to idle accelerators, if possible.

        This avoids stopping the borrowers that run in the slot now.
        """
        tried: set[shapes.Shape] = set()
        for slot in self.covering_slots(team_id, shape):
            if slot.shape in tried or len(tried) == MAX_SLOTS_MOVED:
                continue
            if len(self._unused_blocks(slot)) < slot.shape.blocks:
                continue
            tried.add(slot.shape)
            request = gang_placement.Request(slot.shape)
            blocks = self._policy.choose(self._cluster.free_unbound, request)
            if blocks is not None:
                self._unbind(slot)
                self._bind(slot, blocks)
                return True
        return False

    def covering_slots(
        self,
        team_id: ids.TeamId,
        shape: shapes.Shape,
    ) -> typing.Iterator[Slot]:
        """Yield a team's placed slots that can serve a shape if unused."""
        for slot_id in list(self.slot_ids_by_team.get(team_id, ())):
            slot = self.slot_by_id[slot_id]
            if slot.covers(shape) and slot_id not in self.unplaced:
                yield slot

    def verify(self) -> None:
        """Check every invariant of the embedding.

        :raises EmbeddingError: if a placed slot could not be given to its
            team, or if the masks of a worker differ from the slots.
        """
        bound_by_worker: dict[ids.WorkerId, int] = collections.defaultdict(int)
        for slot in self.slot_by_id.values():
            for block in slot.blocks:
                if bound_by_worker[block.worker_id] & block.mask:
                    raise EmbeddingError(f'{block} is bound twice')
                bound_by_worker[block.worker_id] |= block.mask
                worker = self._cluster.worker_by_id[block.worker_id]
                if worker.non_reclaimable & block.mask:
                    raise EmbeddingError(
                        f'{block} is in use by non-reclaimable work'
                    )
            if slot.slot_id not in self.unplaced:
                self._verify_shape(slot)
        for worker in self._cluster.worker_by_id.values():
            if worker.bound != bound_by_worker[worker.worker_id]:
                raise EmbeddingError(
                    f'{worker.worker_id}: bound mask differs from the slots'
                )
            if worker.used & ~worker.bound:
                raise EmbeddingError(
                    f'{worker.worker_id}: used accelerators are not bound'
                )

    def _verify_shape(self, slot: Slot) -> None:
        if not self._is_placed(slot):
            raise EmbeddingError(f'slot {slot.slot_id} is not placed')
        if slot.shape.spread is shapes.Spread.RACK:
            if len({self._rack_of(block) for block in slot.blocks}) > 1:
                raise EmbeddingError(f'slot {slot.slot_id} spans racks')
        for block in slot.blocks:
            size = slot.shape.block_size
            if bitmask.block_counts(block.mask)[size - 1:] != (1, ):
                raise EmbeddingError(
                    f'{block} is not a run of {size} accelerators'
                )


def guaranteed_shape_counts(
    configuration: work.Configuration,
    domain_id: ids.DomainId,
) -> collections.Counter[tuple[ids.TeamId, shapes.Shape]]:
    """Count the guaranteed shapes of each team in one failure domain."""
    return collections.Counter(
        (team.team_id, shape)
        for team in configuration.team_by_id.values()
        for guarantee in team.guarantees if guarantee.domain_id == domain_id
        for shape in guarantee.shapes
    )


def _largest_first(slot: Slot) -> tuple[typing.Any, ...]:
    shape = slot.shape
    across_racks = shape.spread is shapes.Spread.DOMAIN
    return (-shape.block_size, across_racks, -shape.blocks, slot.slot_id)


__all__ = (
    'EmbeddingError',
    'GuaranteeLedger',
    'MAX_REEMBED_STEPS',
    'MAX_WORKERS_REEMBEDDED',
    'Slot',
    'guaranteed_shape_counts',
)
