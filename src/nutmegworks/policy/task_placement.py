"""Chooses workers for the tasks of a step.

Used by the platform daemon (nutmegworks.daemon.fleet). Its counterpart in
nutmegd, where gangs get whole accelerators, is gang_placement.
"""
from __future__ import annotations

import bisect
import dataclasses
import enum
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import task_demand
from nutmegworks.tasks import spec

# Weight of a free accelerator against a free processor share or memory share
# when workers are compared; accelerators run out first.
ACCELERATOR_WEIGHT: typing.Final = 2.0
# Release times are rounded up to multiples of this, in seconds. The ends of
# runs are known to about this precision; a finer search for the earliest time
# would only take longer.
RELEASE_STEP_SECONDS: typing.Final = 0.25


class Access(enum.Enum):
    """Which demands get a worker's room.

    OPEN: all.
    PROBE: one run, or one gang, of any demand.
    LAST_RESORT: the same of a demand that no other worker can take in time.
    CLOSED: only demands that may not wait any longer.
    """

    OPEN = 'open'
    PROBE = 'probe'
    LAST_RESORT = 'last-resort'
    CLOSED = 'closed'


# A worker that is in use gets work of any demand.
IN_USE: typing.Final = frozenset({Access.OPEN, Access.PROBE})

_Recourse = task_demand.Recourse

_ADMITTED: typing.Final[typing.Mapping[
    Access,
    frozenset[task_demand.Recourse],
]] = {
    Access.OPEN: frozenset(_Recourse),
    Access.PROBE: frozenset(_Recourse),
    Access.LAST_RESORT: frozenset({_Recourse.PROBE, _Recourse.ANY}),
    Access.CLOSED: frozenset({_Recourse.ANY}),
}

_AFTER_START: typing.Final[typing.Mapping[Access, Access]] = {
    Access.OPEN: Access.OPEN,
    Access.PROBE: Access.CLOSED,
    Access.LAST_RESORT: Access.CLOSED,
    Access.CLOSED: Access.CLOSED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Resources that a running task is expected to release.

    :param after: seconds from now.
    """

    after: float
    resources: spec.Resources


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
    """A worker's resources during one scheduling round.

    :param free: resources that no run uses.
    :param releases: resources that runs are expected to release.
    :param reserved_from: seconds from now at which its resources are reserved
        for a waiting demand; infinite if they are not.
    :param slow: tasks take longer here than on a typical worker.
    :param access: which demands get its room.
    """

    worker_id: ids.WorkerId
    service_id: ids.ServiceId
    rack: str
    labels: frozenset[str]
    total: spec.Resources
    free: spec.Resources
    releases: tuple[Release, ...] = ()
    reserved_from: float = math.inf
    slow: bool = False
    access: Access = Access.OPEN
    # Sorted times of the releases, and what is released up to each of them;
    # None until they are needed.
    _released: tuple[list[float], list[spec.Resources]] | None = (
        dataclasses.field(default=None, init=False, repr=False, compare=False)
    )

    def admits(self, demand: task_demand.Demand) -> bool:
        """Return whether the demand may get room here, if there is any."""
        return (
            self.access is Access.OPEN
            or demand.recourse in _ADMITTED[self.access]
        )

    def record_start(self) -> None:
        """Record that a demand has got room here in this round."""
        self.access = _AFTER_START[self.access]

    @property
    def last_release(self) -> float:
        """Seconds until the last expected release, 0 if there is none."""
        return max((release.after for release in self.releases), default=0.0)

    def add_release(self, release: Release) -> None:
        self.releases += (release, )
        self._released = None

    def free_score(self) -> float:
        """Return how empty the worker is; lower values are filled first."""
        free, total = self.free, self.total
        return (
            free.cpu / max(1, total.cpu) + free.memory / max(1, total.memory) +
            ACCELERATOR_WEIGHT * free.accelerators /
            max(1, total.accelerators)
        )

    def free_after(self, after: float) -> spec.Resources:
        """Return the resources that are free in some seconds, 0 for now.

        A run that is about to end still uses its resources now.
        """
        if after <= 0 or not self.releases:
            return self.free
        if self._released is None:
            self._released = self._sum_releases()
        times, released = self._released
        count = bisect.bisect_right(times, after)
        return self.free.plus(released[count - 1]) if count else self.free

    def _sum_releases(self) -> tuple[list[float], list[spec.Resources]]:
        ordered = sorted(self.releases, key=lambda release: release.after)
        released = []
        total = spec.Resources()
        for release in ordered:
            total = total.plus(release.resources)
            released.append(total)
        return [release.after for release in ordered], released


Placement = list[ids.WorkerId]

# What decides on which workers a task of a demand fits.
ShapeKey = tuple[typing.Hashable, ...]


def shape_key(
    demand: task_demand.Demand,
    *,
    any_rack: bool = False,
) -> ShapeKey:
    """Return a key that is equal for demands that fit on the same workers."""
    step = demand.step
    return (
        demand.service_id,
        step.resources,
        step.required_label,
        step.data_rack,
        step.gang,
        step.one_rack,
        step.max_per_worker,
        demand.excluded_worker_ids,
        demand.recourse,
        tuple(sorted(demand.used_by_worker.items())),
        any_rack,
    )


def eligible_workers(
    demand: task_demand.Demand,
    workers: typing.Iterable[WorkerCapacity],
) -> list[WorkerCapacity]:
    """Return the workers that may run one of the tasks, and could if empty."""
    label = demand.step.required_label
    resources = demand.step.resources
    excluded_ids = demand.excluded_worker_ids
    return [
        worker for worker in workers
        if worker.service_id == demand.service_id and (
            not label or label in worker.labels
        ) and worker.total.can_fit(resources) and worker.admits(demand)
        and worker.worker_id not in excluded_ids
    ]


def max_tasks(
    demand: task_demand.Demand,
    worker: WorkerCapacity,
    free: spec.Resources,
) -> int:
    """Return how many of the demand's tasks a worker can take.

    :param free: resources that are free on the worker.
    """
    count = free.max_copies(demand.step.resources)
    limit = demand.step.max_per_worker
    if limit:
        used = demand.used_by_worker.get(worker.worker_id, 0)
        count = min(count, limit - used)
    return max(0, count)


def max_tasks_now(
    demand: task_demand.Demand,
    worker: WorkerCapacity,
    free: spec.Resources,
) -> int:
    """Return how many tasks a worker can take within its access.

    A worker that is not open gets one task of a step, or a gang, which ends as
    a whole. While it is closed, tasks of the step that run there count, but
    for tasks that last, whose attempts are unlimited.

    :param free: resources that are free on the worker.
    """
    count = max_tasks(demand, worker, free)
    if worker.access is Access.OPEN or demand.step.gang:
        return count
    limit = 1
    if worker.access is Access.CLOSED and not demand.step.endless:
        limit -= demand.used_by_worker.get(worker.worker_id, 0)
    return max(0, min(count, limit))


def _max_tasks_by_id(
    demand: task_demand.Demand,
    workers: typing.Iterable[WorkerCapacity],
    after: float,
) -> dict[ids.WorkerId, int]:
    """Return how many tasks each worker can take; omits those with none."""
    max_tasks_by_id = {}
    for worker in workers:
        count = max_tasks_now(demand, worker, worker.free_after(after))
        if count > 0:
            max_tasks_by_id[worker.worker_id] = count
    return max_tasks_by_id


def _choose_workers(
    demand: task_demand.Demand,
    workers: typing.Iterable[WorkerCapacity],
    max_tasks_by_id: typing.Mapping[ids.WorkerId, int],
) -> Placement:
    """Return workers for as many tasks as possible, the fullest first.

    A gang gets workers for all of its tasks or none. Work that needs no fast
    workers takes the slow ones first.
    """
    count = len(demand.indexes)
    candidates = [
        worker for worker in workers if worker.worker_id in max_tasks_by_id
    ]
    if demand.step.gang:
        total = sum(max_tasks_by_id[worker.worker_id] for worker in candidates)
        if total < count:
            return []
    prefers_fast = demand.prefers_fast_workers
    candidates.sort(
        key=lambda worker: (worker.slow is prefers_fast, worker.free_score())
    )
    placement: Placement = []
    for worker in candidates:
        taken = min(count - len(placement), max_tasks_by_id[worker.worker_id])
        placement += [worker.worker_id] * taken
        if len(placement) == count:
            break
    return placement


def placement_groups(
    demand: task_demand.Demand,
    workers: typing.Sequence[WorkerCapacity],
    any_rack: bool,
) -> list[list[WorkerCapacity]]:
    """Return the groups of workers in which the tasks run at full speed.

    A step with data runs in the rack of its data, and a step for one rack in
    each single rack.

    :param any_rack: also return all workers as the last group; tasks that
        prefer a rack are slow there.
    """
    step = demand.step
    by_rack: dict[str, list[WorkerCapacity]] = {}
    for worker in workers:
        by_rack.setdefault(worker.rack, []).append(worker)
    if step.data_rack:
        data_group = by_rack.get(step.data_rack, [])
        return [data_group, list(workers)] if any_rack else [data_group]
    if step.one_rack:
        groups = [by_rack[rack] for rack in sorted(by_rack)]
        return [*groups, list(workers)] if any_rack else groups
    return [list(workers)]


def place(
    demand: task_demand.Demand,
    workers: typing.Iterable[WorkerCapacity],
    *,
    any_rack: bool,
    after: float = 0.0,
) -> Placement:
    """Return workers for a demand's tasks.

    A gang gets all of its workers or none. Other steps may get fewer workers
    than they have tasks.

    :param any_rack: also use racks in which the tasks are slow.
    :param after: seconds from now at which the tasks are to start; resources
        released until then count as free.
    """
    eligible = eligible_workers(demand, workers)
    groups = placement_groups(demand, eligible, any_rack)
    return _place_in_groups(demand, eligible, groups, after)


def _place_in_groups(
    demand: task_demand.Demand,
    eligible: typing.Sequence[WorkerCapacity],
    groups: typing.Iterable[typing.Sequence[WorkerCapacity]],
    after: float,
) -> Placement:
    """Return workers of the group that suits the tasks best.

    :param eligible: the workers of all groups.
    """
    max_tasks_by_id = _max_tasks_by_id(demand, eligible, after)
    if (demand.step.gang
            and sum(max_tasks_by_id.values()) < len(demand.indexes)):
        return []
    slow_ids = set()
    if demand.prefers_fast_workers:
        slow_ids = {worker.worker_id for worker in eligible if worker.slow}
    best: Placement = []
    best_cost = (0, False, math.inf)
    for group in groups:
        placement = _choose_workers(demand, group, max_tasks_by_id)
        if not placement:
            continue
        free_accelerators = sum(
            worker.free_after(after).accelerators for worker in group
        )
        cost = (
            -len(placement), not slow_ids.isdisjoint(placement),
            free_accelerators
        )
        if not best or cost < best_cost:
            best, best_cost = placement, cost
        if len(group) == len(eligible) and best:
            break
    return best


def place_beside_reservations(
    demand: task_demand.Demand,
    workers: typing.Sequence[WorkerCapacity],
) -> Placement:
    """Return workers for a demand that may start on reserved ones, too.

    Workers that are not reserved come first, at best in a preferred rack. Of
    the others, those come first whose present runs end last, as they delay
    the demands that hold them least.
    """
    unreserved = [
        worker for worker in workers if math.isinf(worker.reserved_from)
    ]
    placement = place(demand, unreserved, any_rack=True)
    if len(placement) == len(demand.indexes):
        return placement
    if demand.step.gang:
        return place(demand, workers, any_rack=True)
    reserved = [
        worker for worker in workers if not math.isinf(worker.reserved_from)
    ]
    reserved.sort(
        key=lambda worker: (-worker.last_release, worker.free_score())
    )
    eligible = eligible_workers(demand, reserved)
    for worker in eligible:
        count = max_tasks_now(demand, worker, worker.free)
        count = min(count, len(demand.indexes) - len(placement))
        placement += [worker.worker_id] * count
    return placement


def fits_preferred_racks(
    demand: task_demand.Demand,
    workers: typing.Iterable[WorkerCapacity],
) -> bool:
    """Return whether the tasks fit into their preferred racks if empty."""
    for group in placement_groups(demand, eligible_workers(demand, workers),
                                  any_rack=False):
        remaining = len(demand.indexes)
        for worker in group:
            remaining -= max_tasks(demand, worker, worker.total)
            if remaining <= 0:
                return True
        if group and not demand.step.gang:
            # Independent tasks may run there one after another.
            return True
    return False


def earliest_placement(
    demand: task_demand.Demand,
    workers: typing.Sequence[WorkerCapacity],
) -> tuple[float, Placement]:
    """Return when and where a demand fits if nothing else starts.

    :return: seconds from now, infinite if it never fits; the workers.
    """
    eligible = eligible_workers(demand, workers)
    times = sorted(
        {
            math.ceil(release.after / RELEASE_STEP_SECONDS) *
            RELEASE_STEP_SECONDS
            for worker in eligible
            for release in worker.releases
        }
    )
    groups = placement_groups(demand, eligible, any_rack=False)
    earliest: tuple[float, Placement] = (math.inf, [])
    if not times:
        return earliest
    # Most gangs that fit at all need less than all releases, but a gang that
    # never fits is common and needs no search.
    low, high = 0, len(times)
    middle = high - 1
    while low < high:
        placement = _place_in_groups(demand, eligible, groups, times[middle])
        if len(placement) == len(demand.indexes):
            earliest = (times[middle], placement)
            high = middle
        else:
            low = middle + 1
        middle = (low + high) // 2
    return earliest


__all__ = (
    'Access',
    'IN_USE',
    'Placement',
    'Release',
    'ShapeKey',
    'WorkerCapacity',
    'earliest_placement',
    'eligible_workers',
    'fits_preferred_racks',
    'max_tasks',
    'max_tasks_now',
    'place',
    'place_beside_reservations',
    'placement_groups',
    'shape_key',
)
