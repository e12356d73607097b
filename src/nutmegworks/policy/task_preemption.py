"""Chooses the runs that are preempted for a job of a higher class.

Used by the platform daemon (nutmegworks.daemon.fleet). Its counterpart in
nutmegd is gang_reclaim.
"""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.tasks import spec

# Share of its work that a run loses although it writes a checkpoint when it
# is stopped: the restart takes time.
CHECKPOINTED_LOSS_SHARE: typing.Final = 0.1
# Cost of the stop itself, in seconds of the run's work.
STOP_COST_SECONDS: typing.Final = 0.5
# Most that a task without an end loses, in seconds of its work: what it did
# before has served its users, and they allow this long until it runs again.
ENDLESS_LOSS_SECONDS: typing.Final = 6.0
# Work counts this many times as much as work of the next lower class.
CLASS_COST_FACTOR: typing.Final = 2.0
LOWEST_PRIORITY: typing.Final = 4
# Preemption on a slow worker counts this many times as much: the demand for
# which it happens runs longer there.
SLOW_WORKER_FACTOR: typing.Final = 1.5
# Weight of an accelerator in cores, when lost work is counted.
CORES_PER_ACCELERATOR: typing.Final = 8.0
MILLICORES: typing.Final = 1000.0

# Part of its full value that a job still has; late ones have a fifth to a
# third.
VALUE_SHARE: typing.Final = {
    task_demand.Timeliness.ON_TIME: 1.0,
    task_demand.Timeliness.LATE: 0.25,
    task_demand.Timeliness.HOPELESS: 0.0,
}

# Identifies runs that are stopped together.
GroupKey = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that may be stopped.

    :param group: key of runs that are stopped together: a gang's runs share
        it.
    :param elapsed: seconds since the start of the run.
    :param checkpoints: whether the run writes a checkpoint when stopped.
    :param endless: the task runs until its job is cancelled.
    """

    task: spec.TaskKey
    group: GroupKey
    worker_id: ids.WorkerId
    priority: int
    resources: spec.Resources
    elapsed: float
    checkpoints: bool
    endless: bool = False

    def cost(self) -> float:
        """Return the lost work in core-seconds, weighted by its class."""
        cores = weighted_cores(self.resources)
        share = CHECKPOINTED_LOSS_SHARE if self.checkpoints else 1.0
        lost = self.elapsed * share
        if self.endless:
            lost = min(lost, ENDLESS_LOSS_SECONDS)
        return (
            cores * (STOP_COST_SECONDS + lost) * _class_weight(self.priority)
        )


def _class_weight(priority: int) -> float:
    return CLASS_COST_FACTOR**max(0, LOWEST_PRIORITY - priority)


def weighted_cores(resources: spec.Resources) -> float:
    """Return cores plus accelerators weighted as cores."""
    return (
        resources.cpu / MILLICORES +
        CORES_PER_ACCELERATOR * resources.accelerators
    )


def start_value(demand: task_demand.Demand) -> float:
    """Return the value of starting a demand now, in weighted core-seconds."""
    work = (
        weighted_cores(demand.step.resources) * len(demand.indexes) *
        demand.duration
    )
    return (
        work * _class_weight(demand.priority) * VALUE_SHARE[demand.timeliness]
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """Runs to stop, and the workers that the demand then gets.

    :param cost: lost work in weighted core-seconds.
    """

    victims: tuple[RunningTask, ...]
    placement: task_placement.Placement
    cost: float


class _Search:
    """Data shared by the searches in all groups of workers."""

    def __init__(
        self,
        demand: task_demand.Demand,
        running: typing.Iterable[RunningTask],
    ) -> None:
        self.demand = demand
        self.cost_by_group: dict[GroupKey, float] = {}
        self.preemptible_by_worker: dict[ids.WorkerId, list[RunningTask]] = {}
        self.members_by_group: dict[GroupKey, list[RunningTask]] = {}
        for task in running:
            cost = self.cost_by_group.get(task.group, 0.0)
            self.cost_by_group[task.group] = cost + task.cost()
            if task.priority > demand.priority:
                self.members_by_group.setdefault(task.group, []).append(task)
                self.preemptible_by_worker.setdefault(task.worker_id,
                                                      []).append(task)

    def preemptible(
        self,
        worker: task_placement.WorkerCapacity,
    ) -> list[RunningTask]:
        return self.preemptible_by_worker.get(worker.worker_id, [])

    def fits_after_preemption(
        self,
        workers: typing.Iterable[task_placement.WorkerCapacity],
    ) -> bool:
        """Return whether all tasks fit if every lower class is preempted."""
        remaining = len(self.demand.indexes)
        for worker in workers:
            free = worker.free
            for task in self.preemptible(worker):
                free = free.plus(task.resources)
            remaining -= task_placement.max_tasks(self.demand, worker, free)
            if remaining <= 0:
                return True
        return False


def _cheapest_victims(
    search: _Search,
    worker: task_placement.WorkerCapacity,
    free: spec.Resources,
    preempted_groups: typing.Collection[GroupKey],
) -> tuple[float, list[RunningTask]] | None:
    """Return the cheapest victims on a worker that let one more task fit.

    :param free: resources that are free on the worker.
    :param preempted_groups: groups that are stopped in any case.
    :return: their cost and the victims; None if the task can't fit.
    """
    required = search.demand.step.resources
    candidates = []
    for task in search.preemptible(worker):
        if task.group in preempted_groups:
            free = free.plus(task.resources)
        else:
            candidates.append(task)
    if free.can_fit(required):
        return 0.0, []
    victims: list[RunningTask] = []
    cost = 0.0
    for task in sorted(candidates,
                       key=lambda task: search.cost_by_group[task.group]):
        victims.append(task)
        cost += search.cost_by_group[task.group]
        free = free.plus(task.resources)
        if free.can_fit(required):
            if worker.slow:
                cost *= SLOW_WORKER_FACTOR
            return cost, _required_victims(victims, free, required)
    return None


def _required_victims(
    victims: typing.Sequence[RunningTask],
    free: spec.Resources,
    required: spec.Resources,
) -> list[RunningTask]:
    """Drop victims whose resources are not required, most costly first.

    :param free: resources that are free once all victims have stopped.
    """
    kept = list(victims)
    for task in sorted(victims, key=RunningTask.cost, reverse=True):
        free_without = free.minus(task.resources)
        if free_without.can_fit(required):
            free = free_without
            kept.remove(task)
    return kept


def _cheapest_preemption(
    search: _Search,
    workers: typing.Sequence[task_placement.WorkerCapacity],
) -> Preemption | None:
    """Return a cheap preemption within a group of workers.

    Tasks are placed one by one, each where it costs least.
    """
    demand = search.demand
    if not search.fits_after_preemption(workers):
        return None
    worker_by_id = {worker.worker_id: worker for worker in workers}
    free_by_id = {worker.worker_id: worker.free for worker in workers}
    used = dict(demand.used_by_worker)
    preempted_groups: set[GroupKey] = set()
    # Cost and victims of one more task by worker; None where it can't fit.
    option_by_id = {
        worker.worker_id:
        _cheapest_victims(search, worker, worker.free, preempted_groups)
        for worker in workers
    }
    placement: task_placement.Placement = []
    total_cost = 0.0
    limit = demand.step.max_per_worker
    for _ in demand.indexes:
        best: tuple[float, list[RunningTask]] | None = None
        best_id = None
        for worker_id, option in option_by_id.items():
            if option is None or (limit and used.get(worker_id, 0) >= limit):
                continue
            if best is None or option[0] < best[0]:
                best, best_id = option, worker_id
                if option[0] == 0.0:
                    break
        if best is None or best_id is None:
            return None
        cost, victims = best
        total_cost += cost
        placement.append(best_id)
        used[best_id] = used.get(best_id, 0) + 1
        free_by_id[best_id] = free_by_id[best_id].minus(demand.step.resources)
        changed_ids = {best_id}
        for task in victims:
            preempted_groups.add(task.group)
            changed_ids.update(
                member.worker_id
                for member in search.members_by_group[task.group]
            )
        for worker_id in changed_ids & worker_by_id.keys():
            option_by_id[worker_id] = _cheapest_victims(
                search,
                worker_by_id[worker_id],
                free_by_id[worker_id],
                preempted_groups,
            )
    all_victims = tuple(
        task for group in preempted_groups
        for task in search.members_by_group[group]
    )
    return Preemption(all_victims, placement, total_cost)


def choose_victims(
    demand: task_demand.Demand,
    workers: typing.Sequence[task_placement.WorkerCapacity],
    running: typing.Sequence[RunningTask],
    *,
    any_rack: bool = False,
) -> Preemption | None:
    """Return the cheapest preemption after which all waiting tasks fit.

    :param any_rack: also use racks in which the tasks are slow.
    :return: None if the tasks don't fit even without the lower classes.
    """
    eligible = task_placement.eligible_workers(demand, workers)
    search = _Search(demand, running)
    options = [
        _cheapest_preemption(search, group) for group in
        task_placement.placement_groups(demand, eligible, any_rack)
    ]
    preemptions = [option for option in options if option is not None]
    return min(
        preemptions, key=lambda preemption: preemption.cost, default=None
    )


__all__ = (
    'Preemption',
    'RunningTask',
    'choose_victims',
    'start_value',
    'weighted_cores',
)
