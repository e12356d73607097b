"""Takes accelerators back from borrowers within a bounded time.

A borrower is asked for a checkpoint, then it is stopped and its leases are no
longer renewed, then they run out. No step needs an answer.
"""
from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import typing

from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import placement

# Within 7.2 s for urgent work, a checkpoint and a stop must both answer; a
# task that needs longer loses the work since its last checkpoint.
CHECKPOINT_SECONDS: typing.Final = 3.0
# Worker leases (design 3.10): a running member, and one that was staged but
# has not been told to go.
RUNNING_LEASE_SECONDS: typing.Final = 15.0
STAGED_LEASE_SECONDS: typing.Final = 30.0
# A renewal already sent may arrive after the stop, and worker clocks may run
# slower than ours.
MARGIN_SECONDS: typing.Final = 3.0
# Longest time between two ticks; each of the two deadlines is seen at a tick.
TICK_SECONDS: typing.Final = 1.0

# The longest time from the decision to reclaim until the accelerators are
# free, whether or not any worker answers. A staged borrower has nothing to
# checkpoint.
RUNNING_RECLAIM_BOUND: typing.Final = (
    CHECKPOINT_SECONDS + RUNNING_LEASE_SECONDS + MARGIN_SECONDS +
    2 * TICK_SECONDS
)
STAGED_RECLAIM_BOUND: typing.Final = (
    STAGED_LEASE_SECONDS + MARGIN_SECONDS + TICK_SECONDS
)
RECLAIM_BOUND: typing.Final = max(RUNNING_RECLAIM_BOUND, STAGED_RECLAIM_BOUND)

# Racks compared when victims are chosen.
_CANDIDATES: typing.Final = placement.CANDIDATES


def lease_seconds(confirmed: bool) -> float:
    """Return how long an attempt may hold on after it was told to stop.

    :param confirmed: whether all members are known to have been told to go.
    """
    lease = RUNNING_LEASE_SECONDS if confirmed else STAGED_LEASE_SECONDS
    return lease + MARGIN_SECONDS


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Timer:
    """A deadline of one attempt."""

    due_at: float
    sequence: int
    job_id: ids.JobId
    attempt: int
    checkpointing: bool


class Timers:
    """Deadlines in order of time."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._sequence = itertools.count()

    def add(
        self,
        due_at: float,
        job_id: ids.JobId,
        attempt: int,
        *,
        checkpointing: bool = False,
    ) -> None:
        timer = Timer(
            due_at,
            next(self._sequence),
            job_id,
            attempt,
            checkpointing,
        )
        heapq.heappush(self._heap, timer)

    def pop_due(self, now: float) -> typing.Iterator[Timer]:
        while self._heap and self._heap[0].due_at <= now:
            yield heapq.heappop(self._heap)


class VictimChooser:
    """Chooses the blocks whose occupants lose the least work.

    :param lost_work: accelerator-seconds lost by stopping a job; 0 if it is
        being stopped anyway; infinite if it must not be stopped.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        lost_work: typing.Callable[[ids.JobId], float],
    ) -> None:
        self._cluster = cluster
        self._lost_work = lost_work

    def choose(
        self,
        index: capacity.CapacityIndex,
        shape: shapes.Shape,
        excluded: frozenset[ids.WorkerId],
    ) -> placement.Blocks | None:
        """Return blocks for the shape among a bounded number of racks."""
        if not index.fits(shape):
            return None
        if shape.spread is shapes.Spread.DOMAIN:
            return self._across_racks(index, shape, excluded)
        racks = index.racks_fitting(shape.blocks, shape.block_size)
        limit = _CANDIDATES + len(excluded)
        best: tuple[float, placement.Blocks] | None = None
        for rack in itertools.islice(racks, limit):
            cost, blocks = self._in_rack(rack, shape, shape.blocks, excluded)
            if len(blocks) == shape.blocks and (best is None
                                                or cost < best[0]):
                best = (cost, tuple(blocks))
        return best and best[1]

    def _across_racks(
        self,
        index: capacity.CapacityIndex,
        shape: shapes.Shape,
        excluded: frozenset[ids.WorkerId],
    ) -> placement.Blocks | None:
        chosen: list[capacity.Block] = []
        for rack in index.racks_by_most(shape.block_size):
            missing = shape.blocks - len(chosen)
            chosen += self._in_rack(rack, shape, missing, excluded)[1]
            if len(chosen) == shape.blocks:
                return tuple(chosen)
        return None

    def _in_rack(
        self,
        rack: capacity.RackCapacity,
        shape: shapes.Shape,
        limit: int,
        excluded: frozenset[ids.WorkerId],
    ) -> tuple[float, list[capacity.Block]]:
        options = {
            capacity.Block(worker_id, block): self._victims(worker_id, block)
            for worker_id, mask in rack.mask_by_worker.items()
            if worker_id not in excluded
            for block in _options(mask, shape.block_size, limit)
        }
        cost_by_job = {
            job_id: self._lost_work(job_id)
            for victims in options.values()
            for job_id in victims
        }
        total = 0.0
        chosen: list[capacity.Block] = []
        while options and len(chosen) < limit:
            cost, block = min(
                (sum(cost_by_job[i]
                     for i in victims), block)
                for block, victims in options.items()
            )
            if cost == math.inf:
                break
            for job_id in options.pop(block):
                # A victim is paid for once.
                cost_by_job[job_id] = 0.0
            total += cost
            chosen.append(block)
        return total, chosen

    def _victims(
        self,
        worker_id: ids.WorkerId,
        block: int,
    ) -> list[ids.JobId]:
        worker = self._cluster.worker_by_id[worker_id]
        held = [*worker.occupants.items(), *worker.claims.items()]
        return [i for i, mask in held if mask & block]


def _options(mask: int, size: int, limit: int) -> list[int]:
    if limit == 1:
        return list(bitmask.positions(mask, size))
    return bitmask.take_blocks(mask, size, limit)


__all__ = (
    'CHECKPOINT_SECONDS',
    'MARGIN_SECONDS',
    'RECLAIM_BOUND',
    'RUNNING_LEASE_SECONDS',
    'RUNNING_RECLAIM_BOUND',
    'STAGED_LEASE_SECONDS',
    'STAGED_RECLAIM_BOUND',
    'TICK_SECONDS',
    'Timer',
    'Timers',
    'VictimChooser',
    'lease_seconds',
)
