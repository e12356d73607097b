"""Reclaims accelerators from borrowing gangs within a bounded time.

A borrower is asked for a checkpoint. Then it is sent a stop request and its
leases are no longer renewed, so that they expire. No step depends on an answer
of a worker.

Used by nutmegd's gang scheduler. The platform daemon's counterpart is
``task_preemption``.
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
from nutmegworks.policy import gang_placement

# Urgent work must start within 7.2 s, in which both the checkpoint and the
# stop have to be answered. A task whose checkpoint takes longer loses the work
# since its previous checkpoint.
CHECKPOINT_TIMEOUT_SECONDS: typing.Final = 3.0
# Leases on workers (design 3.10): of a running member, and of one that was
# staged but has not received the go request.
RUNNING_LEASE_SECONDS: typing.Final = 15.0
STAGED_LEASE_SECONDS: typing.Final = 30.0
# Added to a lease: a renewal that was already sent may arrive after the stop
# request, and worker clocks may run slower than the scheduler's.
LEASE_MARGIN_SECONDS: typing.Final = 3.0
# Longest time between two ticks. Deadlines are checked at ticks only, so each
# of the two deadlines of a reclaim may be detected this much late.
MAX_TICK_INTERVAL_SECONDS: typing.Final = 1.0

# The longest time from the decision to reclaim until the accelerators are
# released, whether or not any worker answers. A staged borrower has nothing to
# checkpoint.
RUNNING_RECLAIM_BOUND_SECONDS: typing.Final = (
    CHECKPOINT_TIMEOUT_SECONDS + RUNNING_LEASE_SECONDS + LEASE_MARGIN_SECONDS +
    2 * MAX_TICK_INTERVAL_SECONDS
)
STAGED_RECLAIM_BOUND_SECONDS: typing.Final = (
    STAGED_LEASE_SECONDS + LEASE_MARGIN_SECONDS + MAX_TICK_INTERVAL_SECONDS
)
RECLAIM_BOUND_SECONDS: typing.Final = max(
    RUNNING_RECLAIM_BOUND_SECONDS, STAGED_RECLAIM_BOUND_SECONDS
)

# Racks compared when victims are chosen, which bounds the cost of a decision.
_MAX_RACKS_COMPARED: typing.Final = gang_placement.MAX_RACKS_COMPARED


def lease_expiry_seconds(confirmed: bool) -> float:
    """Return after how long the leases of a stopped attempt have expired.

    :param confirmed: whether all members are known to have received the go
        request.
    """
    lease = RUNNING_LEASE_SECONDS if confirmed else STAGED_LEASE_SECONDS
    return lease + LEASE_MARGIN_SECONDS


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Timer:
    """A deadline of one attempt.

    :param sequence: order of creation; breaks ties of ``due_at``.
    :param checkpointing: True for the deadline of a checkpoint, False for the
        expiry of the leases after a stop request.
    """

    due_at: float
    sequence: int
    job_id: ids.JobId
    attempt: int
    checkpointing: bool


class Timers:
    """Pending deadlines, ordered by time."""

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
        """Remove and yield all timers that are due, the earliest first."""
        while self._heap and self._heap[0].due_at <= now:
            yield heapq.heappop(self._heap)


class VictimChooser:
    """Chooses the blocks whose occupants lose the least work.

    :param lost_work: returns the accelerator-seconds lost by stopping a job:
        0 if it is already being stopped, infinite if it must not be stopped.
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
    ) -> gang_placement.Blocks | None:
        """Return blocks for the shape, or None if no choice is allowed.

        A shape within one rack gets the cheapest of a bounded number of
        racks.

        :param excluded: workers that must not be used.
        """
        if not index.fits(shape):
            return None
        if shape.spread is shapes.Spread.DOMAIN:
            return self._choose_across_racks(index, shape, excluded)
        racks = index.racks_fewest_blocks_first(shape.blocks, shape.block_size)
        limit = _MAX_RACKS_COMPARED + len(excluded)
        best: tuple[float, gang_placement.Blocks] | None = None
        for rack in itertools.islice(racks, limit):
            cost, blocks = self._choose_in_rack(
                rack, shape, shape.blocks, excluded
            )
            if (len(blocks) == shape.blocks
                    and (best is None or cost < best[0])):
                best = (cost, tuple(blocks))
        return best and best[1]

    def _choose_across_racks(
        self,
        index: capacity.CapacityIndex,
        shape: shapes.Shape,
        excluded: frozenset[ids.WorkerId],
    ) -> gang_placement.Blocks | None:
        chosen: list[capacity.Block] = []
        for rack in index.racks_most_blocks_first(shape.block_size):
            missing = shape.blocks - len(chosen)
            chosen += self._choose_in_rack(rack, shape, missing, excluded)[1]
            if len(chosen) == shape.blocks:
                return tuple(chosen)
        return None

    def _choose_in_rack(
        self,
        rack: capacity.RackCapacity,
        shape: shapes.Shape,
        limit: int,
        excluded: frozenset[ids.WorkerId],
    ) -> tuple[float, list[capacity.Block]]:
        """Return up to ``limit`` blocks of one rack and their lost work."""
        options = {
            capacity.Block(worker_id, block): self._holders(worker_id, block)
            for worker_id, mask in rack.mask_by_worker.items()
            if worker_id not in excluded
            for block in _candidate_blocks(mask, shape.block_size, limit)
        }
        cost_by_job = {
            job_id: self._lost_work(job_id)
            for victims in options.values()
            for job_id in victims
        }
        total_cost = 0.0
        chosen: list[capacity.Block] = []
        while options and len(chosen) < limit:
            cost, block = min(
                (sum(cost_by_job[job_id]
                     for job_id in victims), block)
                for block, victims in options.items()
            )
            if cost == math.inf:
                break
            for job_id in options.pop(block):
                # Further blocks of the same victim add no cost.
                cost_by_job[job_id] = 0.0
            total_cost += cost
            chosen.append(block)
        return total_cost, chosen

    def _holders(
        self,
        worker_id: ids.WorkerId,
        block: int,
    ) -> list[ids.JobId]:
        """Return the jobs that occupy or claim a part of a block."""
        worker = self._cluster.worker_by_id[worker_id]
        holders = [*worker.occupants.items(), *worker.claims.items()]
        return [job_id for job_id, mask in holders if mask & block]


def _candidate_blocks(mask: int, size: int, limit: int) -> list[int]:
    if limit == 1:
        return list(bitmask.block_positions(mask, size))
    return bitmask.take_blocks(mask, size, limit)


__all__ = (
    'CHECKPOINT_TIMEOUT_SECONDS',
    'LEASE_MARGIN_SECONDS',
    'MAX_TICK_INTERVAL_SECONDS',
    'RECLAIM_BOUND_SECONDS',
    'RUNNING_LEASE_SECONDS',
    'RUNNING_RECLAIM_BOUND_SECONDS',
    'STAGED_LEASE_SECONDS',
    'STAGED_RECLAIM_BOUND_SECONDS',
    'Timer',
    'Timers',
    'VictimChooser',
    'lease_expiry_seconds',
)
