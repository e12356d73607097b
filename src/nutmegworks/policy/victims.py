"""Chooses the runs that yield to a job of a higher class."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.policy import demand as demands
from nutmegworks.policy import fitting
from nutmegworks.tasks import spec

# Share of the work that a run loses although it writes a checkpoint when it
# is stopped: the restart takes time.
CHECKPOINTED_LOSS_SHARE: typing.Final = 0.1
# What a stop itself costs a run, in seconds of its work.
STOP_SECONDS: typing.Final = 0.5
# How much dearer work is than that of the next lower class, when it is late.
CLASS_FACTOR: typing.Final = 2.0
LOWEST_CLASS: typing.Final = 4
# Room on a slow worker is worth less to the work that needs it.
SLOW_WORKER_FACTOR: typing.Final = 1.5
# Cost of one accelerator in cores, in the account of lost work.
CORES_PER_ACCELERATOR: typing.Final = 8.0
MILLICORES: typing.Final = 1000.0

# What a job earns of its worth; late ones earn a fifth to a third.
EARNED_SHARE: typing.Final = {
    demands.Prospect.ON_TIME: 1.0,
    demands.Prospect.LATE: 0.25,
    demands.Prospect.HOPELESS: 0.0,
}

# Names runs that end together.
Group = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that may be stopped.

    :param group: runs that end together: a gang's runs share it.
    :param elapsed: seconds of work that would be lost.
    """

    task: spec.TaskKey
    group: Group
    worker_id: ids.WorkerId
    priority: int
    room: spec.Room
    elapsed: float
    checkpoints: bool

    def loss(self) -> float:
        """Return the lost work in core-seconds, weighted by its class."""
        cores = cores_of(self.room)
        share = CHECKPOINTED_LOSS_SHARE if self.checkpoints else 1.0
        return cores * (STOP_SECONDS +
                        self.elapsed * share) * _weight(self.priority)


def _weight(priority: int) -> float:
    return CLASS_FACTOR**max(0, LOWEST_CLASS - priority)


def cores_of(room: spec.Room) -> float:
    """Return what a room counts in cores, in the account of lost work."""
    return (room.cpu / MILLICORES + CORES_PER_ACCELERATOR * room.accelerators)


def gain(demand: demands.Demand) -> float:
    """Return the weighted core-seconds that starting a demand now earns."""
    work = cores_of(demand.step.room) * len(demand.indexes) * demand.duration
    return work * _weight(demand.priority) * EARNED_SHARE[demand.prospect]


@dataclasses.dataclass(frozen=True, slots=True)
class Eviction:
    """Runs to stop, and the workers that the demand then gets."""

    victims: tuple[RunningTask, ...]
    placement: fitting.Placement
    loss: float


class _Search:
    """What the searches in all groups of workers share."""

    def __init__(
        self,
        demand: demands.Demand,
        running: typing.Iterable[RunningTask],
    ) -> None:
        self.demand = demand
        self.loss_by_group: dict[Group, float] = {}
        self.yielding_by_worker: dict[ids.WorkerId, list[RunningTask]] = {}
        self.members_by_group: dict[Group, list[RunningTask]] = {}
        for task in running:
            known = self.loss_by_group.get(task.group, 0.0)
            self.loss_by_group[task.group] = known + task.loss()
            if task.priority > demand.priority:
                self.members_by_group.setdefault(task.group, []).append(task)
                self.yielding_by_worker.setdefault(task.worker_id,
                                                   []).append(task)

    def yielding(self, slot: fitting.Slot) -> list[RunningTask]:
        return self.yielding_by_worker.get(slot.worker_id, [])

    def can_hold_all(self, group: typing.Iterable[fitting.Slot]) -> bool:
        """Return whether the group would do if every lower class yielded."""
        left = len(self.demand.indexes)
        for slot in group:
            free = slot.free
            for task in self.yielding(slot):
                free = free.plus(task.room)
            left -= fitting.copies(self.demand, slot, free)
            if left <= 0:
                return True
        return False


def _evict_on(
    search: _Search,
    slot: fitting.Slot,
    free: spec.Room,
    gone: typing.Collection[Group],
) -> tuple[float, list[RunningTask]] | None:
    """Return the cheapest victims that make room for one more task."""
    wanted = search.demand.step.room
    rest = []
    for task in search.yielding(slot):
        if task.group in gone:
            free = free.plus(task.room)
        else:
            rest.append(task)
    if free.holds(wanted):
        return 0.0, []
    victims: list[RunningTask] = []
    loss = 0.0
    for task in sorted(rest,
                       key=lambda task: search.loss_by_group[task.group]):
        victims.append(task)
        loss += search.loss_by_group[task.group]
        free = free.plus(task.room)
        if free.holds(wanted):
            if slot.slow:
                loss *= SLOW_WORKER_FACTOR
            return loss, _needed(victims, free, wanted)
    return None


def _needed(
    victims: typing.Sequence[RunningTask],
    free: spec.Room,
    room: spec.Room,
) -> list[RunningTask]:
    """Drop victims whose room is not needed, dearest first."""
    needed = list(victims)
    for task in sorted(victims, key=RunningTask.loss, reverse=True):
        rest = free.minus(task.room)
        if rest.holds(room):
            free = rest
            needed.remove(task)
    return needed


def _evict_in(
    search: _Search,
    group: typing.Sequence[fitting.Slot],
) -> Eviction | None:
    """Return the cheapest eviction within a group of workers."""
    demand = search.demand
    if not search.can_hold_all(group):
        return None
    slot_by_id = {slot.worker_id: slot for slot in group}
    free_by_id = {slot.worker_id: slot.free for slot in group}
    used = dict(demand.used_by_worker)
    gone: set[Group] = set()
    # Present price of one more task by worker; None where it can't be had.
    price_by_id = {
        slot.worker_id: _evict_on(search, slot, slot.free, gone)
        for slot in group
    }
    placement: fitting.Placement = []
    total = 0.0
    most = demand.step.most_per_worker
    for _ in demand.indexes:
        best: tuple[float, list[RunningTask]] | None = None
        best_id = None
        for worker_id, price in price_by_id.items():
            if price is None or (most and used.get(worker_id, 0) >= most):
                continue
            if best is None or price[0] < best[0]:
                best, best_id = price, worker_id
                if price[0] == 0.0:
                    break
        if best is None or best_id is None:
            return None
        loss, victims = best
        total += loss
        placement.append(best_id)
        used[best_id] = used.get(best_id, 0) + 1
        free_by_id[best_id] = free_by_id[best_id].minus(demand.step.room)
        stale = {best_id}
        for task in victims:
            gone.add(task.group)
            stale.update(
                member.worker_id
                for member in search.members_by_group[task.group]
            )
        for worker_id in stale & slot_by_id.keys():
            price_by_id[worker_id] = _evict_on(
                search, slot_by_id[worker_id], free_by_id[worker_id], gone
            )
    chosen = tuple(
        task for group_id in gone for task in search.members_by_group[group_id]
    )
    return Eviction(chosen, placement, total)


def choose(
    demand: demands.Demand,
    slots: typing.Sequence[fitting.Slot],
    running: typing.Sequence[RunningTask],
    *,
    far: bool = False,
) -> Eviction | None:
    """Return the cheapest eviction that makes room for all waiting tasks.

    :param far: also use workers on which the tasks are slow.
    :return: None if stopping every lower class makes not enough room.
    """
    usable = fitting.suitable(demand, slots)
    search = _Search(demand, running)
    evictions = [
        _evict_in(search, group)
        for group in fitting.groups(demand, usable, far)
    ]
    found = [eviction for eviction in evictions if eviction is not None]
    return min(found, key=lambda eviction: eviction.loss, default=None)


__all__ = ('Eviction', 'RunningTask', 'choose', 'cores_of', 'gain')
