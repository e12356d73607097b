"""State of the workers that nutmegd's gang scheduler allocates.

Each worker keeps bit masks of its accelerators by use. Each change of a worker
updates the capacity indexes, so that no scheduling decision scans the cluster.
"""
from __future__ import annotations

import collections
import typing

from nutmegworks.model import ids
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity


class Worker:
    """A machine with accelerators; each mask has a bit per accelerator.

    :ivar occupants: mask of each job with an attempt on the worker, including
        attempts that are being stopped.
    :ivar claims: mask of each job that starts once the occupants have stopped.
    :ivar used: occupied or claimed by work within its team's guarantee.
    :ivar non_reclaimable: occupied or claimed by borrowers that cannot be
        reclaimed.
    :ivar preemptible: occupied by borrowers that urgent work may preempt.
    :ivar bound_by_team: mask of the guarantees of each team, whether used or
        not.
    :ivar domain_hold: reserved for the job that has the domain's shared
        reservation (``reserve.ReservationTable.shared``).
    :ivar domain_hold_team: the team of that job; None if nothing is reserved.
    :ivar team_hold: reserved for a job within the guarantee of its own team
        (``reserve.ReservationTable.by_team``).
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
        'non_reclaimable',
        'preemptible',
        'bound_by_team',
        'domain_hold',
        'domain_hold_team',
        'team_hold',
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
        self.non_reclaimable = 0
        self.preemptible = 0
        self.bound_by_team: dict[ids.TeamId, int] = {}
        self.domain_hold = 0
        self.domain_hold_team: ids.TeamId | None = None
        self.team_hold = 0

    @property
    def available(self) -> int:
        if not self.up or self.quarantined:
            return 0
        return bitmask.full_mask(self.accelerators)

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

    :ivar free: neither occupied, claimed nor reserved.
    :ivar free_unbound: free and not bound to any guarantee.
    :ivar bindable: may be bound to a guarantee; reclaimable borrowers may run
        there.
    :ivar free_or_preemptible: free, or occupied only by borrowers that urgent
        work may preempt.
    :ivar free_or_preemptible_unbound: the part of ``free_or_preemptible``
        that is not bound to any guarantee.
    :ivar total: all accelerators, available or not.
    :ivar unused_by_team: bound to a team's guarantees and not used by it.
    :ivar idle_by_team: the idle part of ``unused_by_team``.
    """

    def __init__(self) -> None:
        self.worker_by_id: dict[ids.WorkerId, Worker] = {}
        self.worker_ids_by_rack: dict[ids.RackId, set[ids.WorkerId]] = {}
        # Number of workers of each size, to detect shapes that never fit.
        self.count_by_size: collections.Counter[int] = collections.Counter()
        self.free = capacity.CapacityIndex()
        self.free_unbound = capacity.CapacityIndex()
        self.bindable = capacity.CapacityIndex()
        self.free_or_preemptible = capacity.CapacityIndex()
        self.free_or_preemptible_unbound = capacity.CapacityIndex()
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
        self.total.set_mask(
            worker_id, rack_id, bitmask.full_mask(accelerators)
        )
        self.refresh(worker)
        return worker

    def remove_worker(self, worker_id: ids.WorkerId) -> None:
        """Remove a worker that has no work and no bound guarantee."""
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
        occupied_or_claimed = occupied | worker.claimed
        reserved = worker.domain_hold | worker.team_hold
        bound = worker.bound
        free = available & ~occupied_or_claimed & ~reserved
        free_or_preemptible = available & ~(occupied & ~worker.preemptible)
        free_or_preemptible &= ~worker.claimed & ~reserved
        self._set(self.free, worker, free)
        self._set(self.free_unbound, worker, free & ~bound)
        self._set(
            self.bindable,
            worker,
            available & ~worker.non_reclaimable & ~bound,
        )
        self._set(self.free_or_preemptible, worker, free_or_preemptible)
        self._set(
            self.free_or_preemptible_unbound, worker,
            free_or_preemptible & ~bound
        )
        # Claims of borrowers are ignored: a start within the guarantee
        # withdraws them.
        usable = available & ~worker.used & ~worker.team_hold
        for team_id, mask in worker.bound_by_team.items():
            unused = mask & usable
            if team_id == worker.domain_hold_team:
                # A team's jobs respect the reservation of its own job.
                unused &= ~worker.domain_hold
            self._set(self.unused(team_id), worker, unused)
            self._set(
                self.idle(team_id), worker, unused & ~occupied_or_claimed
            )

    def unused(self, team_id: ids.TeamId) -> capacity.CapacityIndex:
        return _index_of(self.unused_by_team, team_id)

    def idle(self, team_id: ids.TeamId) -> capacity.CapacityIndex:
        return _index_of(self.idle_by_team, team_id)

    def bind(self, team_id: ids.TeamId, block: capacity.Block) -> None:
        """Bind accelerators to a guarantee of a team."""
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
