"""Reserves accelerators for a blocked job so that it does not starve.

The first blocked job keeps the blocks that are expected to become free first
(EASY backfilling, Lifka 1995). Later jobs may use these blocks meanwhile only
if they can be stopped and are expected to end by then. One that is still
there at that time is reclaimed, so a wrong estimate of a backfilled job does
not delay the reservation.

Bound: a reserved job starts at most RESERVATION_SLACK after the later of the
reservation's time and the end of the jobs that held its blocks when the
reservation was made. It does not hold if a worker of the blocks is lost or
another team takes back its guarantee there; the job then gets a new
reservation. A team's reservation in its own guarantee meets only the former.
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
from nutmegworks.policy import job as jobs
from nutmegworks.policy import ledger as ledgers
from nutmegworks.policy import placement
from nutmegworks.policy import reclaim

# Reclaim of a backfilled job, which is noticed at a tick, and the tick at
# which the reserved job is started.
RESERVATION_SLACK: typing.Final = (
    reclaim.RECLAIM_BOUND + 2 * reclaim.TICK_SECONDS
)
# Racks and slots that are compared for a reservation.
_CANDIDATES: typing.Final = 16

EndOf: typing.TypeAlias = typing.Callable[[ids.JobId], float]


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Blocks kept for one job.

    :param ready_at: seconds at which all blocks are expected to be free.
    :param original: jobs that held the blocks when they were reserved.
    :param backfilled: jobs started on the blocks since.
    """

    job_id: ids.JobId
    team_id: ids.TeamId
    blocks: placement.Blocks
    ready_at: float
    in_guarantee: bool
    original: frozenset[ids.JobId]
    backfilled: set[ids.JobId] = dataclasses.field(default_factory=set)


class ReservationBook:
    """At most one reservation for the domain and one for each team."""

    def __init__(
        self,
        cluster: clusters.Cluster,
        ledger: ledgers.GuaranteeLedger,
        end_of: EndOf,
    ) -> None:
        self._cluster = cluster
        self._ledger = ledger
        self._end_of = end_of
        self.shared: Reservation | None = None
        self.by_team: dict[ids.TeamId, Reservation] = {}

    def all(self) -> list[Reservation]:
        shared = [] if self.shared is None else [self.shared]
        return shared + list(self.by_team.values())

    def of(self, job: jobs.Job) -> Reservation | None:
        """Return the reservation that a job holds."""
        for reservation in self.visible_to(job):
            if reservation.job_id == job.job_id:
                return reservation
        return None

    def visible_to(self, job: jobs.Job) -> list[Reservation]:
        """Return reservations in which a job may be backfilled."""
        own = self.by_team.get(job.spec.team_id)
        return [r for r in (self.shared, own) if r is not None]

    def reserve(self, job: jobs.Job, now: float) -> None:
        """Reserve for a blocked job unless others come first."""
        existing = self.of(job)
        if existing is not None:
            if self.is_valid(existing):
                return
            self.release(existing)
        team_id = job.spec.team_id
        if team_id not in self.by_team:
            reservation = self._in_guarantee(job, now)
            if reservation is not None:
                self.by_team[team_id] = reservation
                self._set_held(reservation, True)
                return
        if self.shared is None:
            self.shared = self._in_domain(job, now)
            if self.shared is not None:
                self._set_held(self.shared, True)

    def release(self, reservation: Reservation) -> None:
        if reservation is self.shared:
            self.shared = None
        else:
            del self.by_team[reservation.team_id]
        self._set_held(reservation, False)

    def attempt_ended(self, job: jobs.Job) -> None:
        """Forget that an attempt was backfilled."""
        for reservation in self.visible_to(job):
            reservation.backfilled.discard(job.job_id)

    def idle_part(self, reservation: Reservation) -> capacity.CapacityIndex:
        """Return the idle accelerators of a reservation."""
        index = capacity.CapacityIndex()
        for block in reservation.blocks:
            worker = self._cluster.worker_by_id[block.worker_id]
            idle = worker.available & ~worker.busy & ~worker.claimed
            mask = index.mask(worker.worker_id, worker.rack_id)
            mask |= block.mask & idle
            index.set_mask(worker.worker_id, worker.rack_id, mask)
        return index

    def _set_held(self, reservation: Reservation, held: bool) -> None:
        for block in reservation.blocks:
            worker = self._cluster.worker_by_id[block.worker_id]
            name = 'held_team' if reservation.in_guarantee else 'held_shared'
            mask = getattr(worker, name) & ~block.mask
            setattr(worker, name, mask | block.mask if held else mask)
            if not reservation.in_guarantee:
                worker.held_shared_by = reservation.team_id if held else None
            self._cluster.refresh(worker)

    def _in_guarantee(self, job: jobs.Job, now: float) -> Reservation | None:
        shape = job.spec.shape
        best: tuple[float, placement.Blocks] | None = None
        slots = self._ledger.covering_slots(job.spec.team_id, shape)
        for slot in itertools.islice(slots, _CANDIDATES):
            options = [
                capacity.Block(block.worker_id, mask)
                for block in slot.blocks
                for mask in bitmask.
                take_blocks(block.mask, shape.block_size, shape.blocks)
            ]
            found = self._earliest(options, shape.blocks, now)
            if found and (best is None or found < best):
                best = found
        return best and self._make(job, best, in_guarantee=True)

    def _in_domain(self, job: jobs.Job, now: float) -> Reservation | None:
        shape = job.spec.shape
        best: tuple[float, placement.Blocks] | None = None
        for racks in self._rack_groups(shape):
            options = [
                capacity.Block(worker_id, mask)
                for rack in racks
                for worker_id in sorted(rack.mask_by_worker)
                for mask in self._allowed_blocks(job, worker_id)
            ]
            found = self._earliest(options, shape.blocks, now)
            if found and (best is None or found < best):
                best = found
        return best and self._make(job, best, in_guarantee=False)

    def _rack_groups(
        self,
        shape: shapes.Shape,
    ) -> typing.Iterator[list[capacity.RackCapacity]]:
        total = self._cluster.total
        size = shape.block_size
        if shape.spread is shapes.Spread.DOMAIN:
            group: list[capacity.RackCapacity] = []
            count = 0
            # Twice the need, so that there is a choice.
            for rack in total.racks_by_most(size):
                if count >= 2 * shape.blocks:
                    break
                group.append(rack)
                count += rack.count(size)
            yield group
            return
        emptiest = itertools.islice(
            self._cluster.free.racks_by_most(size),
            _CANDIDATES,
        )
        ranked = [rack.rack_id for rack in emptiest]
        fitting = itertools.islice(
            total.racks_fitting(shape.blocks, size),
            _CANDIDATES,
        )
        ranked += [rack.rack_id for rack in fitting]
        for rack_id in dict.fromkeys(ranked):
            rack = total.rack(rack_id)
            if rack.count(size) >= shape.blocks:
                yield [rack]

    def _allowed_blocks(
        self,
        job: jobs.Job,
        worker_id: ids.WorkerId,
    ) -> list[int]:
        worker = self._cluster.worker_by_id[worker_id]
        allowed = worker.available & ~worker.held_team
        if not job.reclaimable:
            allowed &= ~worker.bound
        size = job.spec.shape.block_size
        return bitmask.take_blocks(allowed, size, worker.accelerators)

    def _earliest(
        self,
        options: list[capacity.Block],
        wanted: int,
        now: float,
    ) -> tuple[float, placement.Blocks] | None:
        if len(options) < wanted:
            return None
        ranked = sorted((self._ready_at(b, now), b) for b in options)[:wanted]
        return ranked[-1][0], tuple(block for _, block in ranked)

    def _ready_at(self, block: capacity.Block, now: float) -> float:
        worker = self._cluster.worker_by_id[block.worker_id]
        held = [*worker.occupants.items(), *worker.claims.items()]
        ends = [self._end_of(i) for i, mask in held if mask & block.mask]
        return max(ends, default=now)

    def _make(
        self,
        job: jobs.Job,
        found: tuple[float, placement.Blocks],
        *,
        in_guarantee: bool,
    ) -> Reservation:
        ready_at, blocks = found
        return Reservation(
            job_id=job.job_id,
            team_id=job.spec.team_id,
            blocks=blocks,
            ready_at=ready_at,
            in_guarantee=in_guarantee,
            original=frozenset(self.occupants(blocks)),
        )

    def occupants(self, blocks: placement.Blocks) -> list[ids.JobId]:
        """Return jobs that hold or claim any of the blocks."""
        found: dict[ids.JobId, None] = {}
        for worker_id, block in blocks:
            worker = self._cluster.worker_by_id[worker_id]
            for by_id in (worker.occupants, worker.claims):
                found |= {i: None for i, mask in by_id.items() if mask & block}
        return list(found)

    def is_valid(self, reservation: Reservation) -> bool:
        """Return whether nobody else can delay the reservation further."""
        known = reservation.original | reservation.backfilled
        if not known.issuperset(self.occupants(reservation.blocks)):
            return False
        for block in reservation.blocks:
            worker = self._cluster.worker_by_id.get(block.worker_id)
            if worker is None or not worker.available:
                return False
            bound = worker.bound_by_team.get(reservation.team_id, 0)
            if reservation.in_guarantee and block.mask & ~bound:
                return False
        return True


__all__ = ('RESERVATION_SLACK', 'Reservation', 'ReservationBook')
