"""One round of decisions: what starts where, and what has to yield."""
from __future__ import annotations

import dataclasses
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import demand as demands
from nutmegworks.policy import fitting
from nutmegworks.policy import victims
from nutmegworks.tasks import spec

# Waiting demands that have workers promised to them in one round. More of
# them would leave too little for small work in between.
MAX_HOLDS: typing.Final = 3
# Declared durations are often too short; work that is to end before a promised
# time must fit in with this factor.
BACKFILL_MARGIN: typing.Final = 1.3
# Declared durations are wrong by up to half, so only this share of the time
# that a job seems to have left is waited for room before lower classes yield.
PATIENCE_SHARE: typing.Final = 0.5
# Guaranteed shapes start within 2.7 s; a stop and a start take part of it.
RECLAIM_SECONDS: typing.Final = 1.6
# Without a guarantee, work is thrown away only up to this many times what the
# urgent work earns: the users price lost work at about a fifth of it.
EVICTION_SHARE: typing.Final = 4.0
# Far from its data or over several racks, work takes three times as long, so
# twice its duration is spent on waiting for near room just as well.
FAR_PATIENCE: typing.Final = 2.0
# Idle workers are not left idle for longer: nothing may run for 3 s at most
# while most of a service is free.
IDLE_PATIENCE_SECONDS: typing.Final = 1.5
# Seconds that a victim may take to stop.
STOPPING_SECONDS: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Tasks of a demand that start now.

    :param worker_ids: one for each of the indexes.
    """

    demand: demands.Demand
    indexes: tuple[int, ...]
    worker_ids: tuple[ids.WorkerId, ...]


Promises = typing.Mapping[demands.DemandKey, fitting.Placement]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a round decided.

    :param stops: runs that yield, with the job that needs their room.
    :param promised: workers that demands get once the victims have stopped.
    """

    starts: tuple[Start, ...]
    stops: tuple[tuple[victims.RunningTask, ids.JobId], ...]
    held: int = 0
    promised: Promises = dataclasses.field(default_factory=dict)


class _Round:
    """The state of one round; slots change as decisions are taken."""

    def __init__(
        self,
        slots: typing.Sequence[fitting.Slot],
        running: typing.Sequence[victims.RunningTask],
        promised: Promises,
    ) -> None:
        self._slots = list(slots)
        self._running = list(running)
        self._slot_by_id = {slot.worker_id: slot for slot in slots}
        self.starts: list[Start] = []
        self.stops: list[tuple[victims.RunningTask, ids.JobId]] = []
        self.holds = 0
        # Room that no open slot has any more, with the shortest duration for
        # which this was seen.
        self._exhausted: list[tuple[spec.Room, float]] = []
        self._promised = promised
        self.made: dict[demands.DemandKey, fitting.Placement] = {}

    def keep_promises(
        self,
        waiting: typing.Iterable[demands.Demand],
    ) -> None:
        """Take room that victims give up out of the others' reach."""
        for demand in waiting:
            self._promise(self._promised.get(demand.key, []), demand)

    def _redeem(self, demand: demands.Demand) -> bool:
        """Return whether a demand still waits for its promised room."""
        placement = self._promised.get(demand.key)
        if placement is None:
            return False
        for worker_id in placement:
            slot = self._slot_by_id.get(worker_id)
            if slot is not None:
                slot.free = slot.free.plus(demand.step.room)
        self._exhausted.clear()
        rest = self._start(demand)
        if rest.indexes:
            self._promise(placement, demand)
        return True

    def serve(self, demand: demands.Demand) -> None:
        """Start what fits; make or promise room for the rest."""
        if self._redeem(demand):
            return
        demand = self._start(demand)
        if not demand.indexes:
            return
        if demand.priority == 0:
            if self._wait_for_room(demand) or self._evict(demand):
                return
        if demand.step.gang and self.holds < MAX_HOLDS:
            self._hold(demand)

    def _goes_far(self, demand: demands.Demand) -> bool:
        """Return whether the tasks may also run where they are slow.

        Such a run takes as long as waiting for near room and running there.
        """
        tied = demand.step.data_rack or (
            demand.step.gang and demand.step.one_rack
        )
        if not tied:
            return False
        if demand.waited > FAR_PATIENCE * demand.duration:
            return True
        if demand.waited > IDLE_PATIENCE_SECONDS and self._is_half_empty():
            return True
        if demand.guaranteed and demand.waited > RECLAIM_SECONDS:
            # A guarantee says when the tasks start, not how fast they are.
            return True
        return not fitting.fits_near(demand, self._slots)

    def _is_half_empty(self) -> bool:
        free = sum(slot.free.accelerators for slot in self._slots)
        total = sum(slot.total.accelerators for slot in self._slots)
        return 2 * free > total

    def _open_to(self, demand: demands.Demand) -> list[fitting.Slot]:
        duration = demand.duration * BACKFILL_MARGIN
        return [slot for slot in self._slots if slot.held_from > duration]

    def _is_in_vain(self, demand: demands.Demand) -> bool:
        """Return whether like tasks found no room in this round."""
        return any(
            demand.step.room.holds(room) and demand.duration >= duration
            for room, duration in self._exhausted
        )

    def _note_exhausted(self, demand: demands.Demand) -> None:
        step = demand.step
        tied = (
            step.gang or step.label or step.data_rack or step.most_per_worker
            or demand.avoid
        )
        if demand.indexes and not tied:
            self._exhausted.append((step.room, demand.duration))

    def _start(self, demand: demands.Demand) -> demands.Demand:
        if self._is_in_vain(demand):
            return demand
        rest = self._place(demand)
        self._note_exhausted(rest)
        return rest

    def _place(self, demand: demands.Demand) -> demands.Demand:
        placement = fitting.place(
            demand, self._open_to(demand), far=self._goes_far(demand)
        )
        indexes = demand.indexes[:len(placement)]
        if not indexes:
            return demand
        self.starts.append(Start(demand, indexes, tuple(placement)))
        for worker_id in placement:
            slot = self._slot_by_id[worker_id]
            slot.free = slot.free.minus(demand.step.room)
        return dataclasses.replace(
            demand, indexes=demand.indexes[len(indexes):]
        )

    def _unpromised(self) -> list[fitting.Slot]:
        return [slot for slot in self._slots if slot.held_from > 0]

    def _wait_for_room(self, demand: demands.Demand) -> bool:
        """Return whether enough room comes free in time by itself."""
        patience = max(STOPPING_SECONDS, _patience(demand))
        placement = fitting.place(
            demand, self._unpromised(), far=False, after=patience
        )
        if len(placement) < len(demand.indexes):
            return False
        self._promise(placement, demand)
        return True

    def _evict(self, demand: demands.Demand) -> bool:
        open_slots = self._unpromised()
        eviction = victims.choose(demand, open_slots, self._running)
        if eviction is None and demand.guaranteed:
            eviction = victims.choose(
                demand, open_slots, self._running, far=True
            )
        if eviction is None:
            return False
        if not demand.guaranteed:
            if eviction.loss > EVICTION_SHARE * victims.gain(demand):
                return False
        for task in eviction.victims:
            self.stops.append((task, demand.job_id))
            self._running.remove(task)
            slot = self._slot_by_id.get(task.worker_id)
            if slot is not None:
                release = fitting.Release(STOPPING_SECONDS, task.room)
                slot.releases += (release, )
        self._promise(eviction.placement, demand)
        self.made[demand.key] = eviction.placement
        return True

    def _hold(self, demand: demands.Demand) -> None:
        # Not for gangs over several racks: room for them would empty much of
        # the fleet.
        when, placement = fitting.earliest(demand, self._unpromised())
        if math.isinf(when):
            return
        self.holds += 1
        for worker_id in set(placement):
            slot = self._slot_by_id[worker_id]
            slot.held_from = min(slot.held_from, when)

    def _promise(
        self,
        placement: fitting.Placement,
        demand: demands.Demand,
    ) -> None:
        """Take room that is free or becomes free within moments."""
        for worker_id in placement:
            slot = self._slot_by_id.get(worker_id)
            if slot is not None:
                slot.free = slot.free.minus(demand.step.room)


def _patience(demand: demands.Demand) -> float:
    """Return for how many seconds a demand may wait before others yield."""
    spare = demand.objective - demand.remaining - demand.waited
    patience = PATIENCE_SHARE * spare
    if demand.guaranteed:
        patience = min(patience, RECLAIM_SECONDS - demand.waited)
    return patience


def plan(
    waiting: typing.Iterable[demands.Demand],
    slots: typing.Sequence[fitting.Slot],
    running: typing.Sequence[victims.RunningTask],
    promised: Promises | None = None,
) -> Plan:
    """Return what to start and what to stop.

    :param waiting: tasks whose turn has come.
    :param slots: trusted workers; changed by this function.
    :param running: runs that may be stopped.
    :param promised: room that victims of earlier rounds give up.
    """
    state = _Round(slots, running, promised or {})
    ordered = demands.order(waiting)
    state.keep_promises(ordered)
    for demand in ordered:
        state.serve(demand)
    return Plan(
        tuple(state.starts),
        tuple(state.stops),
        state.holds,
        state.made,
    )


__all__ = ('Plan', 'Start', 'plan')
