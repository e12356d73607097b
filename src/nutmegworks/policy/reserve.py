"""Reserves accelerators for a blocked gang job so that it does not starve.

The first blocked job reserves the blocks that are expected to become free
first (EASY backfilling, Lifka 1995). Until then, later jobs are backfilled on
these blocks only if they are reclaimable and expected to end in time. A
backfilled job that still runs when the reservation is due is reclaimed, so a
wrong estimate of its run time does not delay the reserved job.

Bound: a reserved job starts at most RESERVATION_SLACK_SECONDS after the later
of the reservation's ``ready_at`` and the end of the jobs that held its blocks
when the reservation was made. The bound does not hold if a worker of the
blocks is lost or another team reclaims its guarantee there; the job then gets
a new reservation. A reservation in the team's own guarantee is exposed only to
the loss of a worker.

Used by nutmegd's gang scheduler. The platform daemon reserves workers for
waiting tasks in ``task_planning``.
"""
from __future__ import annotations

import dataclasses
import itertools
import typing

from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import gang_placement
from nutmegworks.policy import gang_reclaim
from nutmegworks.policy import job as jobs
from nutmegworks.policy import ledger as ledgers

# Time to reclaim a backfilled job, which is detected as late as one tick, and
# the tick at which the reserved job is started.
RESERVATION_SLACK_SECONDS: typing.Final = (
    gang_reclaim.RECLAIM_BOUND_SECONDS +
    2 * gang_reclaim.MAX_TICK_INTERVAL_SECONDS
)
# Racks or slots compared for one reservation, which bounds its cost.
_MAX_CANDIDATES: typing.Final = 16

ExpectedEnd: typing.TypeAlias = typing.Callable[[ids.JobId], float]


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Blocks reserved for one job.

    :param ready_at: time at which all blocks are expected to be free.
    :param in_guarantee: whether the blocks lie in the team's own guarantee.
    :param outside_guarantees: whether the blocks must not be set aside for
        any team, because the job is not reclaimable.
    :param original_job_ids: jobs that held or claimed the blocks when they
        were reserved.
    :param backfilled_job_ids: jobs started on the blocks since then.
    """

    job_id: ids.JobId
    team_id: ids.TeamId
    blocks: gang_placement.Blocks
    ready_at: float
    in_guarantee: bool
    outside_guarantees: bool
    original_job_ids: frozenset[ids.JobId]
    backfilled_job_ids: set[ids.JobId] = dataclasses.field(default_factory=set)


class ReservationTable:
    """Holds at most one shared reservation and one for each team.

    :param expected_end: returns the time at which a job is expected to end.
    :ivar shared: the domain's only reservation for a job that does not use its
        team's guarantee, if any.
    :ivar by_team: each team's only reservation within its own guarantee.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        ledger: ledgers.GuaranteeLedger,
        expected_end: ExpectedEnd,
    ) -> None:
        self._cluster = cluster
        self._ledger = ledger
        self._expected_end = expected_end
        self.shared: Reservation | None = None
        self.by_team: dict[ids.TeamId, Reservation] = {}

    def all(self) -> list[Reservation]:
        shared = [] if self.shared is None else [self.shared]
        return shared + list(self.by_team.values())

    def held_by(self, job: jobs.Job) -> Reservation | None:
        """Return the reservation of a job, or None if it has none."""
        for reservation in self.visible_to(job):
            if reservation.job_id == job.job_id:
                return reservation
        return None

    def visible_to(self, job: jobs.Job) -> list[Reservation]:
        """Return the reservations relevant to a job.

        One of them may be its own; it may be backfilled on the blocks of the
        others.
        """
        own = self.by_team.get(job.spec.team_id)
        return [r for r in (self.shared, own) if r is not None]

    def reserve(self, job: jobs.Job, now: float) -> None:
        """Reserve blocks for a blocked job.

        Does nothing if the job already has a valid reservation, or if other
        jobs have both the team's and the shared reservation.
        """
        existing = self.held_by(job)
        if existing is not None:
            if self.is_valid(existing):
                return
            self.release(existing)
        team_id = job.spec.team_id
        if team_id not in self.by_team:
            reservation = self._reserve_in_guarantee(job, now)
            if reservation is not None:
                self.by_team[team_id] = reservation
                self._mark_reserved(reservation, True)
                return
        if self.shared is None:
            self.shared = self._reserve_in_domain(job, now)
            if self.shared is not None:
                self._mark_reserved(self.shared, True)

    def release(self, reservation: Reservation) -> None:
        """Drop a reservation and free its blocks."""
        if reservation is self.shared:
            self.shared = None
        else:
            del self.by_team[reservation.team_id]
        self._mark_reserved(reservation, False)

    def attempt_ended(self, job: jobs.Job) -> None:
        """Remove an ended attempt from the backfilled jobs."""
        for reservation in self.visible_to(job):
            reservation.backfilled_job_ids.discard(job.job_id)

    def idle_capacity(
        self, reservation: Reservation
    ) -> capacity.CapacityIndex:
        """Return the idle accelerators of a reservation."""
        index = capacity.CapacityIndex()
        for block in reservation.blocks:
            worker = self._cluster.worker_by_id[block.worker_id]
            idle = worker.available & ~worker.busy & ~worker.claimed
            mask = index.mask(worker.worker_id, worker.rack_id)
            mask |= block.mask & idle
            index.set_mask(worker.worker_id, worker.rack_id, mask)
        return index

    def _mark_reserved(
        self,
        reservation: Reservation,
        reserved: bool,
    ) -> None:
        for block in reservation.blocks:
            worker = self._cluster.worker_by_id[block.worker_id]
            name = 'team_hold' if reservation.in_guarantee else 'domain_hold'
            mask = getattr(worker, name) & ~block.mask
            setattr(worker, name, mask | block.mask if reserved else mask)
            if not reservation.in_guarantee:
                worker.domain_hold_team = (
                    reservation.team_id if reserved else None
                )
            self._cluster.refresh(worker)

    def _reserve_in_guarantee(
        self, job: jobs.Job, now: float
    ) -> Reservation | None:
        shape = job.spec.shape
        best: tuple[float, gang_placement.Blocks] | None = None
        slots = self._ledger.covering_slots(job.spec.team_id, shape)
        for slot in itertools.islice(slots, _MAX_CANDIDATES):
            options = [
                capacity.Block(block.worker_id, mask)
                for block in slot.blocks
                for mask in bitmask.take_blocks(
                    block.mask,
                    shape.block_size,
                    shape.blocks,
                )
            ]
            earliest = self._earliest_blocks(options, shape.blocks, now)
            if earliest and (best is None or earliest < best):
                best = earliest
        return best and self._new_reservation(job, best, in_guarantee=True)

    def _reserve_in_domain(
        self, job: jobs.Job, now: float
    ) -> Reservation | None:
        shape = job.spec.shape
        best: tuple[float, gang_placement.Blocks] | None = None
        for racks in self._rack_groups(shape):
            options = [
                capacity.Block(worker_id, mask)
                for rack in racks
                for worker_id in sorted(rack.mask_by_worker)
                for mask in self._allowed_blocks(job, worker_id)
            ]
            earliest = self._earliest_blocks(options, shape.blocks, now)
            if earliest and (best is None or earliest < best):
                best = earliest
        return best and self._new_reservation(job, best, in_guarantee=False)

    def _rack_groups(
        self,
        shape: shapes.Shape,
    ) -> typing.Iterator[list[capacity.RackCapacity]]:
        """Yield the groups of racks that are compared for a reservation.

        A shape within one rack gets single racks: first those with the most
        free capacity, then others that are large enough.
        """
        total = self._cluster.total
        size = shape.block_size
        if shape.spread is shapes.Spread.DOMAIN:
            group: list[capacity.RackCapacity] = []
            count = 0
            # Twice the number of blocks needed, so that there is a choice.
            for rack in total.racks_most_blocks_first(size):
                if count >= 2 * shape.blocks:
                    break
                group.append(rack)
                count += rack.count(size)
            yield group
            return
        most_free = itertools.islice(
            self._cluster.free.racks_most_blocks_first(size),
            _MAX_CANDIDATES,
        )
        rack_ids = [rack.rack_id for rack in most_free]
        fitting = itertools.islice(
            total.racks_fewest_blocks_first(shape.blocks, size),
            _MAX_CANDIDATES,
        )
        rack_ids += [rack.rack_id for rack in fitting]
        for rack_id in dict.fromkeys(rack_ids):
            rack = total.rack(rack_id)
            if rack.count(size) >= shape.blocks:
                yield [rack]

    def _allowed_blocks(
        self,
        job: jobs.Job,
        worker_id: ids.WorkerId,
    ) -> list[int]:
        """Return the blocks of a worker that may be reserved for a job."""
        worker = self._cluster.worker_by_id[worker_id]
        allowed = worker.available & ~worker.team_hold
        if not job.reclaimable:
            allowed &= ~worker.bound
        size = job.spec.shape.block_size
        return bitmask.take_blocks(allowed, size, worker.accelerators)

    def _earliest_blocks(
        self,
        options: list[capacity.Block],
        count: int,
        now: float,
    ) -> tuple[float, gang_placement.Blocks] | None:
        """Return the ``count`` blocks free first, and when all are free."""
        if len(options) < count:
            return None
        ranked = sorted((self._ready_at(b, now), b) for b in options)[:count]
        return ranked[-1][0], tuple(block for _, block in ranked)

    def _ready_at(self, block: capacity.Block, now: float) -> float:
        worker = self._cluster.worker_by_id[block.worker_id]
        holders = [*worker.occupants.items(), *worker.claims.items()]
        ends = [
            self._expected_end(job_id)
            for job_id, mask in holders
            if mask & block.mask
        ]
        return max(ends, default=now)

    def _new_reservation(
        self,
        job: jobs.Job,
        earliest: tuple[float, gang_placement.Blocks],
        *,
        in_guarantee: bool,
    ) -> Reservation:
        ready_at, blocks = earliest
        return Reservation(
            job_id=job.job_id,
            team_id=job.spec.team_id,
            blocks=blocks,
            ready_at=ready_at,
            in_guarantee=in_guarantee,
            outside_guarantees=not in_guarantee and not job.reclaimable,
            original_job_ids=frozenset(self.occupants(blocks)),
        )

    def occupants(self, blocks: gang_placement.Blocks) -> list[ids.JobId]:
        """Return the jobs that occupy or claim any of the blocks."""
        holders: dict[ids.JobId, None] = {}
        for worker_id, block in blocks:
            worker = self._cluster.worker_by_id[worker_id]
            for by_id in (worker.occupants, worker.claims):
                holders |= {
                    job_id: None
                    for job_id, mask in by_id.items()
                    if mask & block
                }
        return list(holders)

    def is_valid(self, reservation: Reservation) -> bool:
        """Return whether nothing else can delay the reserved job.

        It can be delayed if its blocks were taken by jobs that are neither
        original nor backfilled, if a worker is unavailable or if guarantees
        were rebound.
        """
        expected = (
            reservation.original_job_ids | reservation.backfilled_job_ids
        )
        if not expected.issuperset(self.occupants(reservation.blocks)):
            return False
        for block in reservation.blocks:
            worker = self._cluster.worker_by_id.get(block.worker_id)
            if worker is None or not worker.available:
                return False
            bound = worker.bound_by_team.get(reservation.team_id, 0)
            if reservation.in_guarantee and block.mask & ~bound:
                return False
            if reservation.outside_guarantees and block.mask & worker.bound:
                return False
        return True


__all__ = ('RESERVATION_SLACK_SECONDS', 'Reservation', 'ReservationTable')
