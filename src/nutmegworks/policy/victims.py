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
# Cost of one accelerator in cores, in the account of lost work.
CORES_PER_ACCELERATOR: typing.Final = 8.0
MILLICORES: typing.Final = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that may be stopped.

    :param group: runs that end together: a gang's runs share it.
    :param elapsed: seconds of work that would be lost.
    """

    task: spec.TaskKey
    group: tuple[str, ...]
    worker_id: ids.WorkerId
    priority: int
    room: spec.Room
    elapsed: float
    checkpoints: bool

    def loss(self) -> float:
        """Return the lost work in core-seconds, weighted by its class."""
        cores = (
            self.room.cpu / MILLICORES +
            CORES_PER_ACCELERATOR * self.room.accelerators
        )
        share = CHECKPOINTED_LOSS_SHARE if self.checkpoints else 1.0
        return cores * (STOP_SECONDS +
                        self.elapsed * share) * _weight(self.priority)


def _weight(priority: int) -> float:
    return CLASS_FACTOR**max(0, LOWEST_CLASS - priority)


@dataclasses.dataclass(frozen=True, slots=True)
class Eviction:
    """Runs to stop, and the workers that the demand then gets."""

    victims: tuple[RunningTask, ...]
    placement: fitting.Placement
    loss: float


def _evict_on(
    demand: demands.Demand,
    slot: fitting.Slot,
    running: typing.Sequence[RunningTask],
    loss_by_group: typing.Mapping[tuple[str, ...], float],
    gone: set[tuple[str, ...]],
) -> tuple[float, list[RunningTask]] | None:
    """Return the cheapest victims that make room for one more task."""
    free = slot.free
    for task in running:
        if task.group in gone:
            free = free.plus(task.room)
    if free.holds(demand.step.room):
        return 0.0, []
    victims: list[RunningTask] = []
    loss = 0.0
    rest = [task for task in running if task.group not in gone]
    for task in sorted(rest, key=lambda task: loss_by_group[task.group]):
        victims.append(task)
        loss += loss_by_group[task.group]
        free = free.plus(task.room)
        if free.holds(demand.step.room):
            return loss, _needed(victims, free, demand.step.room)
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
    demand: demands.Demand,
    group: typing.Sequence[fitting.Slot],
    running: typing.Sequence[RunningTask],
) -> Eviction | None:
    """Return the cheapest eviction within a group of workers."""
    by_worker: dict[ids.WorkerId, list[RunningTask]] = {}
    loss_by_group: dict[tuple[str, ...], float] = {}
    for task in running:
        loss_by_group[task.group
                      ] = (loss_by_group.get(task.group, 0.0) + task.loss())
        if task.priority > demand.priority:
            by_worker.setdefault(task.worker_id, []).append(task)
    free_by_worker = {slot.worker_id: slot.free for slot in group}
    used: dict[ids.WorkerId, int] = dict(demand.used_by_worker)
    gone: set[tuple[str, ...]] = set()
    placement: fitting.Placement = []
    total = 0.0
    for _ in demand.indexes:
        best: tuple[float, list[RunningTask], fitting.Slot] | None = None
        for slot in group:
            most = demand.step.most_per_worker
            if most and used.get(slot.worker_id, 0) >= most:
                continue
            shadow = dataclasses.replace(
                slot, free=free_by_worker[slot.worker_id]
            )
            found = _evict_on(
                demand, shadow, by_worker.get(slot.worker_id, ()),
                loss_by_group, gone
            )
            if found and (best is None or found[0] < best[0]):
                best = (*found, slot)
                if found[0] == 0.0:
                    break
        if best is None:
            return None
        loss, victims, slot = best
        total += loss
        gone |= {task.group for task in victims}
        worker_id = slot.worker_id
        free_by_worker[worker_id] = free_by_worker[worker_id].minus(
            demand.step.room
        )
        used[worker_id] = used.get(worker_id, 0) + 1
        placement.append(worker_id)
    chosen = tuple(task for task in running if task.group in gone)
    return Eviction(chosen, placement, total)


def choose(
    demand: demands.Demand,
    slots: typing.Sequence[fitting.Slot],
    running: typing.Sequence[RunningTask],
) -> Eviction | None:
    """Return the cheapest eviction that makes room for all waiting tasks.

    :return: None if stopping every lower class makes not enough room.
    """
    usable = fitting.suitable(demand, slots)
    evictions = [
        _evict_in(demand, group, running)
        for group in fitting.groups(demand, usable, far=False)
    ]
    found = [eviction for eviction in evictions if eviction is not None]
    return min(found, key=lambda eviction: eviction.loss, default=None)


__all__ = ('Eviction', 'RunningTask', 'choose')
