"""Workers, racks and what occupies each accelerator.

Each worker keeps bit masks, and each change of a worker updates the indexes
of capacity, so that no decision scans the cluster.
"""
from __future__ import annotations

import collections
import typing

from nutmegworks.model import ids
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity


class Worker:
    """A machine with accelerators; each mask has a bit per accelerator.

    :ivar occupants: what an attempt holds, by job; includes attempts that
        are being stopped.
    :ivar claims: what a job will hold once the occupants have stopped.
    :ivar used: held or claimed by work within its team's guarantee.
    :ivar firm: held or claimed by borrowers that cannot be stopped.
    :ivar soft: held by borrowers that urgent work may stop.
    :ivar bound_by_team: set aside for unused and used guarantees.
    :ivar held_shared: kept for the job with the domain's reservation.
    :ivar held_shared_by: the team of that job.
    :ivar held_team: kept for a team's reservation in its own guarantee.
    """

    __slots__ = (
        'worker_id',
        'rack_id',
        'accelerators',
        'up',
        'quarantined',
        'occupants',
        'claims',
        'used',
        'firm',
        'soft',
        'bound_by_team',
        'held_shared',
        'held_shared_by',
        'held_team',
    )

    def __init__(
        self,
        worker_id: ids.WorkerId,
        rack_id: ids.RackId,
        accelerators: int,
    ) -> None:
        self.worker_id = worker_id
        self.rack_id = rack_id
        self.accelerators = accelerators
        self.up = True
        self.quarantined = False
        self.occupants: dict[ids.JobId, int] = {}
        self.claims: dict[ids.JobId, int] = {}
        self.used = 0
        self.firm = 0
        self.soft = 0
        self.bound_by_team: dict[ids.TeamId, int] = {}
        self.held_shared = 0
        self.held_shared_by: ids.TeamId | None = None
        self.held_team = 0

    @property
    def available(self) -> int:
        if not self.up or self.quarantined:
            return 0
        return bitmask.full(self.accelerators)

    @property
    def busy(self) -> int:
        return _union(self.occupants)

    @property
    def claimed(self) -> int:
        return _union(self.claims)

    @property
    def bound(self) -> int:
        return _union(self.bound_by_team)


def _union(mask_by_id: typing.Mapping[typing.Any, int]) -> int:
    union = 0
    for mask in mask_by_id.values():
        union |= mask
    return union


class Cluster:
    """All workers of one failure domain.

    :ivar free: idle and not kept for a reservation.
    :ivar open: free and not set aside for any guarantee.
    :ivar unbound: may be set aside for a guarantee; stoppable borrowers may
        run there.
    :ivar evictable: free, or held by borrowers that urgent work may stop.
    :ivar evictable_open: evictable and not set aside for any guarantee.
    :ivar unused_by_team: set aside for a team and not used by it.
    :ivar idle_by_team: unused and idle.
    """

    def __init__(self) -> None:
        self.worker_by_id: dict[ids.WorkerId, Worker] = {}
        self.worker_ids_by_rack: dict[ids.RackId, set[ids.WorkerId]] = {}
        # Workers with this many accelerators, for shapes that never fit.
        self.count_by_size: collections.Counter[int] = collections.Counter()
        self.free = capacity.CapacityIndex()
        self.open = capacity.CapacityIndex()
        self.unbound = capacity.CapacityIndex()
        self.evictable = capacity.CapacityIndex()
        self.evictable_open = capacity.CapacityIndex()
        self.total = capacity.CapacityIndex()
        self.unused_by_team: dict[ids.TeamId, capacity.CapacityIndex] = {}
        self.idle_by_team: dict[ids.TeamId, capacity.CapacityIndex] = {}

    def add_worker(
        self,
        worker_id: ids.WorkerId,
        rack_id: ids.RackId,
        accelerators: int,
    ) -> Worker:
        worker = Worker(worker_id, rack_id, accelerators)
        self.worker_by_id[worker_id] = worker
        self.worker_ids_by_rack.setdefault(rack_id, set()).add(worker_id)
        self.count_by_size[accelerators] += 1
        self.total.set_mask(worker_id, rack_id, bitmask.full(accelerators))
        self.refresh(worker)
        return worker

    def remove_worker(self, worker_id: ids.WorkerId) -> None:
        """Forget a worker that holds no work and no guarantee."""
        worker = self.worker_by_id[worker_id]
        worker.up = False
        self.refresh(worker)
        self.total.set_mask(worker_id, worker.rack_id, 0)
        self.count_by_size[worker.accelerators] -= 1
        del self.worker_by_id[worker_id]
        self.worker_ids_by_rack[worker.rack_id].discard(worker_id)

    def refresh(self, worker: Worker) -> None:
        """Update all indexes after a change of a worker's masks."""
        available = worker.available
        occupied = worker.busy
        taken = occupied | worker.claimed
        held = worker.held_shared | worker.held_team
        bound = worker.bound
        free = available & ~taken & ~held
        evictable = available & ~(occupied & ~worker.soft)
        evictable &= ~worker.claimed & ~held
        self._set(self.free, worker, free)
        self._set(self.open, worker, free & ~bound)
        self._set(self.unbound, worker, available & ~worker.firm & ~bound)
        self._set(self.evictable, worker, evictable)
        self._set(self.evictable_open, worker, evictable & ~bound)
        # Claims of borrowers do not count: a guarantee withdraws them.
        usable = available & ~worker.used & ~worker.held_team
        for team_id, mask in worker.bound_by_team.items():
            unused = mask & usable
            if team_id == worker.held_shared_by:
                # A team's jobs respect the reservation of its own job.
                unused &= ~worker.held_shared
            self._set(self.unused(team_id), worker, unused)
            self._set(self.idle(team_id), worker, unused & ~taken)

    def unused(self, team_id: ids.TeamId) -> capacity.CapacityIndex:
        return _index_of(self.unused_by_team, team_id)

    def idle(self, team_id: ids.TeamId) -> capacity.CapacityIndex:
        return _index_of(self.idle_by_team, team_id)

    def bind(self, team_id: ids.TeamId, block: capacity.Block) -> None:
        """Set accelerators aside for a guarantee."""
        worker = self.worker_by_id[block.worker_id]
        bound = worker.bound_by_team.get(team_id, 0)
        worker.bound_by_team[team_id] = bound | block.mask
        self.refresh(worker)

    def unbind(self, team_id: ids.TeamId, block: capacity.Block) -> None:
        worker = self.worker_by_id[block.worker_id]
        worker.bound_by_team[team_id] &= ~block.mask
        self.refresh(worker)
        if not worker.bound_by_team[team_id]:
            del worker.bound_by_team[team_id]

    @staticmethod
    def _set(
        index: capacity.CapacityIndex,
        worker: Worker,
        mask: int,
    ) -> None:
        index.set_mask(worker.worker_id, worker.rack_id, mask)


def _index_of(
    by_team: dict[ids.TeamId, capacity.CapacityIndex],
    team_id: ids.TeamId,
) -> capacity.CapacityIndex:
    index = by_team.get(team_id)
    if index is None:
        index = by_team[team_id] = capacity.CapacityIndex()
    return index


__all__ = ('Cluster', 'Worker')
