"""Fits the tasks of a step on workers."""
from __future__ import annotations

import dataclasses
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import demand as demands
from nutmegworks.tasks import spec

# Weight of a free accelerator against a free processor share or memory share
# when workers are compared; accelerators run out first.
ACCELERATOR_WEIGHT: typing.Final = 2.0
# Ends of runs are known about as exactly as this, in seconds; a finer search
# for the earliest time would only cost more.
RELEASE_STEP_SECONDS: typing.Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Room that a running task will give back.

    :param after: seconds from now.
    """

    after: float
    room: spec.Room


@dataclasses.dataclass(slots=True)
class Slot:
    """A worker as the placement sees it.

    :param free: room that no run holds.
    :param held_from: seconds from now at which its room is promised to a
        waiting demand; infinite if it is not.
    :param slow: tasks take longer here than on the usual worker.
    """

    worker_id: ids.WorkerId
    service_id: ids.ServiceId
    rack: str
    labels: frozenset[str]
    total: spec.Room
    free: spec.Room
    releases: tuple[Release, ...] = ()
    held_from: float = math.inf
    slow: bool = False

    def freeness(self) -> float:
        """Return how empty the worker is; lower values are filled first."""
        free, total = self.free, self.total
        return (
            free.cpu / max(1, total.cpu) + free.memory / max(1, total.memory) +
            ACCELERATOR_WEIGHT * free.accelerators /
            max(1, total.accelerators)
        )

    def free_at(self, after: float) -> spec.Room:
        """Return the free room after some seconds, 0 for the present.

        A run that is about to end still holds its room at present.
        """
        free = self.free
        if after <= 0:
            return free
        for release in self.releases:
            if release.after <= after:
                free = free.plus(release.room)
        return free


Placement = list[ids.WorkerId]


def suitable(demand: demands.Demand,
             slots: typing.Iterable[Slot]) -> list[Slot]:
    """Return the slots that may run a demand's tasks at all."""
    label = demand.step.label
    return [
        slot for slot in slots if slot.service_id == demand.service_id and
        (not label or label in slot.labels) and slot.total.
        holds(demand.step.room) and slot.worker_id not in demand.avoid
    ]


def copies(
    demand: demands.Demand,
    slot: Slot,
    free: spec.Room,
) -> int:
    """Return how many of the demand's tasks fit into a slot's free room."""
    fitting_copies = free.copies(demand.step.room)
    most = demand.step.most_per_worker
    if most:
        used = demand.used_by_worker.get(slot.worker_id, 0)
        fitting_copies = min(fitting_copies, most - used)
    return max(0, fitting_copies)


def _rooms(
    demand: demands.Demand,
    slots: typing.Iterable[Slot],
    after: float,
) -> dict[ids.WorkerId, int]:
    """Return how many tasks each slot can take, without those with none."""
    found = {}
    for slot in slots:
        room_for = copies(demand, slot, slot.free_at(after))
        if room_for > 0:
            found[slot.worker_id] = room_for
    return found


def _fill(
    demand: demands.Demand,
    slots: typing.Iterable[Slot],
    room_by_id: typing.Mapping[ids.WorkerId, int],
) -> Placement:
    """Return workers for up to all tasks, the fullest ones first.

    A gang gets workers for all of its tasks or none. Work that needs no fast
    workers takes the slow ones first.
    """
    count = len(demand.indexes)
    candidates = [slot for slot in slots if slot.worker_id in room_by_id]
    if demand.step.gang:
        total = sum(room_by_id[slot.worker_id] for slot in candidates)
        if total < count:
            return []
    wants_fast = demand.wants_fast
    candidates.sort(
        key=lambda slot: (slot.slow is wants_fast, slot.freeness())
    )
    chosen: Placement = []
    for slot in candidates:
        take = min(count - len(chosen), room_by_id[slot.worker_id])
        chosen += [slot.worker_id] * take
        if len(chosen) == count:
            break
    return chosen


def groups(
    demand: demands.Demand,
    slots: typing.Sequence[Slot],
    far: bool,
) -> list[list[Slot]]:
    """Return the groups of slots in which the tasks are fast."""
    step = demand.step
    by_rack: dict[str, list[Slot]] = {}
    for slot in slots:
        by_rack.setdefault(slot.rack, []).append(slot)
    if step.data_rack:
        near = by_rack.get(step.data_rack, [])
        return [near, list(slots)] if far else [near]
    if step.one_rack:
        groups = [by_rack[rack] for rack in sorted(by_rack)]
        return [*groups, list(slots)] if far else groups
    return [list(slots)]


def place(
    demand: demands.Demand,
    slots: typing.Iterable[Slot],
    *,
    far: bool,
    after: float = 0.0,
) -> Placement:
    """Return workers for a demand's tasks.

    A gang gets all of its workers or none. Other steps may get fewer workers
    than they have tasks.

    :param far: also use workers on which the tasks are slow.
    :param after: seconds from now, with the releases until then.
    """
    usable = suitable(demand, slots)
    room_by_id = _rooms(demand, usable, after)
    if demand.step.gang and sum(room_by_id.values()) < len(demand.indexes):
        return []
    slow_ids = set()
    if demand.wants_fast:
        slow_ids = {slot.worker_id for slot in usable if slot.slow}
    best: Placement = []
    best_cost = (0, False, math.inf)
    for group in groups(demand, usable, far):
        chosen = _fill(demand, group, room_by_id)
        if not chosen:
            continue
        rest = sum(slot.free_at(after).accelerators for slot in group)
        cost = -len(chosen), not slow_ids.isdisjoint(chosen), rest
        if not best or cost < best_cost:
            best, best_cost = chosen, cost
        if len(group) == len(usable) and best:
            break
    return best


def fits_near(
    demand: demands.Demand,
    slots: typing.Iterable[Slot],
) -> bool:
    """Return whether empty workers hold the tasks where they are fast."""
    for group in groups(demand, suitable(demand, slots), far=False):
        left = len(demand.indexes)
        for slot in group:
            left -= copies(demand, slot, slot.total)
            if left <= 0:
                return True
        if group and not demand.step.gang:
            # Tasks that work alone may follow one another there.
            return True
    return False


def earliest(
    demand: demands.Demand,
    slots: typing.Sequence[Slot],
) -> tuple[float, Placement]:
    """Return when and where a demand fits if nothing else starts.

    :return: seconds from now, infinite if it never fits; the workers.
    """
    usable = suitable(demand, slots)
    times = sorted(
        {
            math.ceil(release.after / RELEASE_STEP_SECONDS) *
            RELEASE_STEP_SECONDS
            for slot in usable
            for release in slot.releases
        }
    )
    low, high = 0, len(times)
    found: tuple[float, Placement] = (math.inf, [])
    while low < high:
        middle = (low + high) // 2
        placement = place(demand, usable, far=False, after=times[middle])
        if len(placement) == len(demand.indexes):
            found = (times[middle], placement)
            high = middle
        else:
            low = middle + 1
    return found


__all__ = (
    'Placement',
    'Release',
    'Slot',
    'copies',
    'earliest',
    'fits_near',
    'groups',
    'place',
    'suitable',
)
