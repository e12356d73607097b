"""Plans one scheduling round: which tasks start and which are preempted.

Used by the platform daemon (nutmegworks.daemon.fleet). Its counterpart in
nutmegd is gang_scheduler.
"""
from __future__ import annotations

import dataclasses
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import idle_limit
from nutmegworks.policy import reservation_terms
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_preemption
from nutmegworks.policy import wait_causes
from nutmegworks.tasks import spec

# Waiting gangs for which workers are reserved in one round. More reservations
# would leave too little for small work in between.
MAX_BACKFILL_RESERVATIONS: typing.Final = 3
# Declared durations are often too short; work that is to end before a
# reservation begins must fit in with this factor.
BACKFILL_DURATION_FACTOR: typing.Final = 1.3
# Declared durations are wrong by up to half, so urgent work waits only this
# share of its spare time for releases before lower classes are preempted.
MAX_WAIT_SHARE: typing.Final = 0.5
# Without a guarantee, preemption may cost at most this many times the value of
# the urgent work: the users price lost work at about a fifth of its value.
MAX_PREEMPTION_COST_FACTOR: typing.Final = 4.0
# Away from its data or over several racks, work takes three times as long.
# Waiting for twice its duration and then running at full speed takes the same.
ANY_RACK_WAIT_FACTOR: typing.Final = 2.0
# Part of the time in which guaranteed work has to start that is not spent on
# waiting and stopping: decisions, the store and the start itself.
RECLAIM_MARGIN_SECONDS: typing.Final = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of the platform that decisions depend on, in seconds.

    :param stop: in which a victim stops; the last of several often takes
        nearly all of it.
    :param reclaim: in which guaranteed work starts.
    """

    stop: float = 0.4
    reclaim: float = 2.9

    @property
    def reclaim_wait(self) -> float:
        """Seconds that guaranteed work waits at most before it preempts."""
        return max(0.0, self.reclaim - self.stop - RECLAIM_MARGIN_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Tasks of a demand that start now.

    :param worker_ids: one for each of the indexes.
    :param overdue: preferences would have kept them waiting; see
        ``idle_limit``.
    """

    demand: task_demand.Demand
    indexes: tuple[int, ...]
    worker_ids: tuple[ids.WorkerId, ...]
    overdue: bool = False


# Workers whose resources are set aside for a demand until its victims have
# stopped.
Reservations = typing.Mapping[task_demand.DemandKey, task_placement.Placement]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Decisions of one round.

    :param stops: runs to preempt, with the job that needs their resources.
    :param backfill_reservations: waiting gangs for which workers are reserved
        from a later time.
    :param reservations: workers that demands get once the victims of this
        round have stopped.
    :param wait_causes: what demands wait for of which tasks do not start.
    :param waits: room that is held for demands until releases.
    """

    starts: tuple[Start, ...]
    stops: tuple[tuple[task_preemption.RunningTask, ids.JobId], ...]
    backfill_reservations: int = 0
    reservations: Reservations = dataclasses.field(default_factory=dict)
    wait_causes: typing.Mapping[
        task_demand.DemandKey,
        wait_causes.WaitCause,
    ] = dataclasses.field(default_factory=dict)
    waits: typing.Mapping[
        task_demand.DemandKey,
        reservation_terms.Wait,
    ] = dataclasses.field(default_factory=dict)


class _Round:
    """State of one round; worker capacities change with each decision."""

    def __init__(
        self,
        workers: typing.Sequence[task_placement.WorkerCapacity],
        running: typing.Sequence[task_preemption.RunningTask],
        reservations: Reservations,
        bounds: Bounds,
        pauses: reservation_terms.Pauses,
    ) -> None:
        self._bounds = bounds
        self._pauses = pauses
        self.waits: dict[
            task_demand.DemandKey,
            reservation_terms.Wait,
        ] = {}
        self._workers = list(workers)
        self._running = list(running)
        self._service_use = idle_limit.ServiceUse(workers)
        # Demands with the tasks that got no room, in the order of service.
        self._unplaced: list[task_demand.Demand] = []
        # Free resources that are held for urgent demands until releases.
        self._held_for_releases: list[
            tuple[task_demand.Demand, task_placement.Placement],
        ] = []
        self._worker_by_id = {worker.worker_id: worker for worker in workers}
        self.starts: list[Start] = []
        self.stops: list[tuple[task_preemption.RunningTask, ids.JobId]] = []
        self.backfill_reservations = 0
        # Resources that no worker of a service can provide any more, with the
        # shortest time without a reservation for which this was found.
        self._exhausted: dict[
            ids.ServiceId,
            list[tuple[spec.Resources, float]],
        ] = {}
        # Gangs that could not be placed in this round: number of tasks and
        # time without a reservation by shape.
        self._unplaced_gangs: dict[
            task_placement.ShapeKey,
            list[tuple[int, float]],
        ] = {}
        # Whether tasks fit into their preferred racks, by shape and number.
        self._fits_racks: dict[tuple[task_placement.ShapeKey, int], bool] = {}
        self._reservations = reservations
        self.wait_causes: dict[
            task_demand.DemandKey,
            wait_causes.WaitCause,
        ] = {}
        self.new_reservations: dict[
            task_demand.DemandKey,
            task_placement.Placement,
        ] = {}

    def apply_reservations(
        self,
        waiting: typing.Iterable[task_demand.Demand],
    ) -> None:
        """Withhold the resources of earlier victims from other demands."""
        for demand in waiting:
            self._reserve(self._reservations.get(demand.key, []), demand)

    def _use_reservation(self, demand: task_demand.Demand) -> bool:
        """Start a demand on its reserved workers, as far as they are free.

        :return: whether the demand has a reservation.
        """
        placement = self._reservations.get(demand.key)
        if placement is None:
            return False
        self._give_back(placement, demand)
        self._exhausted.clear()
        self._unplaced_gangs.clear()
        unplaced = self._start(demand)
        if unplaced.indexes:
            self._reserve(placement, demand)
            self._record_wait(demand, wait_causes.WaitCause.PREEMPTION)
        return True

    def _record_wait(
        self,
        demand: task_demand.Demand,
        cause: wait_causes.WaitCause,
    ) -> None:
        self.wait_causes[demand.key] = cause

    def serve(self, demand: task_demand.Demand) -> None:
        """Start the tasks that fit; preempt or reserve for the others."""
        if self._use_reservation(demand):
            return
        demand = self._start(demand)
        if not demand.indexes:
            return
        self._record_wait(demand, wait_causes.WaitCause.LOWER_CLASS)
        if demand.priority == 0:
            if self._wait_for_releases(demand):
                self._unplaced.append(demand)
                return
            if self._preempt(demand):
                return
        self._unplaced.append(demand)
        if (demand.step.gang and demand.key not in self._pauses.keys
                and self.backfill_reservations < MAX_BACKFILL_RESERVATIONS):
            self._reserve_for_backfill(demand)

    def _may_use_any_rack(self, demand: task_demand.Demand) -> bool:
        """Return whether the tasks may also run in racks where they are slow.

        By default they may once waiting for a preferred rack and running there
        would take as long.
        """
        prefers_rack = demand.step.data_rack or (
            demand.step.gang and demand.step.one_rack
        )
        if not prefers_rack:
            return False
        if demand.waited > ANY_RACK_WAIT_FACTOR * demand.duration:
            return True
        if self._is_overdue(demand):
            return True
        if (demand.guaranteed and demand.waited > self._bounds.reclaim_wait):
            # A guarantee says when the tasks start, not how fast they are.
            return True
        key = task_placement.shape_key(demand), len(demand.indexes)
        if key not in self._fits_racks:
            self._fits_racks[key] = task_placement.fits_preferred_racks(
                demand, self._workers
            )
        return not self._fits_racks[key]

    def _is_overdue(self, demand: task_demand.Demand) -> bool:
        """Return whether no preference may delay the demand any longer."""
        half_empty = self._service_use.is_half_empty(demand.service_id)
        return idle_limit.seconds_left(demand, half_empty) <= 0

    def _backfill_workers(
        self,
        demand: task_demand.Demand,
    ) -> list[task_placement.WorkerCapacity]:
        """Return workers on which the tasks end before a reservation."""
        duration = _backfill_seconds(demand)
        return [
            worker for worker in self._workers
            if worker.reserved_from > duration
            or math.isinf(worker.reserved_from)
        ]

    def _is_exhausted(self, demand: task_demand.Demand) -> bool:
        """Return whether similar tasks could not be placed in this round."""
        if demand.recourse is not task_demand.Recourse.NONE:
            return False
        return any(
            demand.step.resources.can_fit(resources)
            and _backfill_seconds(demand) >= duration for resources, duration
            in self._exhausted.get(demand.service_id, ())
        )

    def _is_unplaced_gang(
        self,
        demand: task_demand.Demand,
        key: task_placement.ShapeKey,
    ) -> bool:
        """Return whether a gang of the shape that needs no more had no room.

        During a round workers only get fuller, except for reservations that
        are used.
        """
        return any(
            len(demand.indexes) >= count
            and _backfill_seconds(demand) >= duration
            for count, duration in self._unplaced_gangs.get(key, ())
        )

    def _record_exhausted(self, demand: task_demand.Demand) -> None:
        step = demand.step
        constrained = (
            step.gang or step.required_label or step.data_rack
            or step.max_per_worker or demand.excluded_worker_ids
            or demand.recourse is not task_demand.Recourse.NONE
        )
        if demand.indexes and not constrained:
            self._exhausted.setdefault(demand.service_id, []).append(
                (step.resources, _backfill_seconds(demand))
            )

    def _start(self, demand: task_demand.Demand) -> task_demand.Demand:
        """Start the tasks that fit; return the demand with the others."""
        if self._is_exhausted(demand):
            return demand
        unplaced = self._place(demand)
        self._record_exhausted(unplaced)
        return unplaced

    def _place(self, demand: task_demand.Demand) -> task_demand.Demand:
        any_rack = self._may_use_any_rack(demand)
        key = task_placement.shape_key(demand, any_rack=any_rack)
        if demand.step.gang and self._is_unplaced_gang(demand, key):
            return demand
        placement = task_placement.place(
            demand, self._backfill_workers(demand), any_rack=any_rack
        )
        if demand.step.gang and not placement:
            self._unplaced_gangs.setdefault(key, []).append(
                (len(demand.indexes), _backfill_seconds(demand))
            )
        return self._start_on(demand, placement)

    def _start_on(
        self,
        demand: task_demand.Demand,
        placement: task_placement.Placement,
        *,
        overdue: bool = False,
    ) -> task_demand.Demand:
        """Start tasks on their workers; return the demand with the others."""
        indexes = demand.indexes[:len(placement)]
        if not indexes:
            return demand
        self.starts.append(Start(demand, indexes, tuple(placement), overdue))
        self._service_use.record_start(demand, len(indexes))
        for worker_id in placement:
            worker = self._worker_by_id[worker_id]
            worker.free = worker.free.minus(demand.step.resources)
        for worker_id in set(placement):
            self._worker_by_id[worker_id].record_start()
        return dataclasses.replace(
            demand, indexes=demand.indexes[len(indexes):]
        )

    def _unreserved_workers(self) -> list[task_placement.WorkerCapacity]:
        return [worker for worker in self._workers if worker.reserved_from > 0]

    def _max_wait(self, demand: task_demand.Demand) -> float:
        """Return how many seconds a demand may wait before it preempts."""
        spare = demand.objective - demand.remaining - demand.waited
        max_wait = MAX_WAIT_SHARE * spare
        if demand.guaranteed:
            max_wait = min(max_wait, self._bounds.reclaim_wait - demand.waited)
        return max_wait

    def _wait_for_releases(self, demand: task_demand.Demand) -> bool:
        """Reserve workers that are released in time without preemption.

        :return: whether there are enough of them, and none was waited for in
            vain a short time ago.
        """
        if demand.key in self._pauses.keys:
            return False
        max_wait = max(self._bounds.stop, self._max_wait(demand))
        placement = task_placement.place(
            demand, self._unreserved_workers(), any_rack=False, after=max_wait
        )
        if len(placement) < len(demand.indexes):
            return False
        self._reserve(placement, demand)
        self._held_for_releases.append((demand, placement))
        self._record_wait(demand, wait_causes.WaitCause.RELEASE)
        # Also while the releases are always just ahead, no longer than this.
        self.waits[demand.key] = reservation_terms.Wait(
            max_wait + self._bounds.stop, frozenset(placement)
        )
        return True

    def _preempt(self, demand: task_demand.Demand) -> bool:
        workers = self._unreserved_workers()
        preemption = task_preemption.choose_victims(
            demand, workers, self._running
        )
        if preemption is None and demand.guaranteed:
            preemption = task_preemption.choose_victims(
                demand, workers, self._running, any_rack=True
            )
        if preemption is None:
            self._record_wait(demand, wait_causes.WaitCause.ROOM)
            return False
        if not demand.guaranteed:
            if (preemption.cost > MAX_PREEMPTION_COST_FACTOR *
                    task_preemption.start_value(demand)):
                self._record_wait(demand, wait_causes.WaitCause.COST)
                return False
        self._record_wait(demand, wait_causes.WaitCause.PREEMPTION)
        for task in preemption.victims:
            self.stops.append((task, demand.job_id))
            self._running.remove(task)
            worker = self._worker_by_id.get(task.worker_id)
            if worker is not None:
                release = task_placement.Release(
                    self._bounds.stop, task.resources
                )
                worker.add_release(release)
        self._reserve(preemption.placement, demand)
        self.new_reservations[demand.key] = preemption.placement
        return True

    def _reserve_for_backfill(self, demand: task_demand.Demand) -> None:
        """Reserve workers for a gang from the earliest time at which it fits.

        Until then, work that ends in time may use them.
        """
        # Not for gangs over several racks: a reservation for them would empty
        # much of the fleet.
        start_after, placement = task_placement.earliest_placement(
            demand, self._unreserved_workers()
        )
        if math.isinf(start_after):
            return
        self.backfill_reservations += 1
        held_ids = []
        for worker_id in set(placement) - self._pauses.worker_ids:
            worker = self._worker_by_id[worker_id]
            if math.isinf(worker.reserved_from):
                held_ids.append(worker_id)
            worker.reserved_from = min(worker.reserved_from, start_after)
        if held_ids:
            failures = self._pauses.failures_by_key.get(demand.key, 0)
            self.waits[demand.key] = reservation_terms.Wait(
                reservation_terms.gang_due_in(start_after, failures),
                frozenset(held_ids),
            )

    def start_overdue(self) -> None:
        """Start demands that no preference may delay any longer.

        They may use room that is held for gangs, or for urgent work until
        releases, but not that of victims, which is held for a moment only.
        """
        overdue = [
            demand for demand in self._unplaced if self._is_overdue(demand)
        ]
        if not overdue:
            return
        for demand, placement in self._held_for_releases:
            self._give_back(placement, demand)
        started_ids = {start.demand.job_id for start in self.starts}
        # Shapes and numbers of tasks without room; workers only get fuller.
        without_room: set[tuple[task_placement.ShapeKey, int]] = set()
        for demand in overdue:
            if not demand.step.endless:
                # One run is enough for a job not to be idle.
                if demand.job_id in started_ids:
                    continue
                if not demand.step.gang:
                    demand = dataclasses.replace(
                        demand, indexes=demand.indexes[:1]
                    )
            # The starts before may have filled the service.
            if not self._is_overdue(demand):
                continue
            shape = task_placement.shape_key(demand, any_rack=True)
            if (shape, len(demand.indexes)) in without_room:
                continue
            placement = task_placement.place_beside_reservations(
                demand, self._workers
            )
            if placement:
                self._start_on(demand, placement, overdue=True)
                started_ids.add(demand.job_id)
                self.wait_causes.pop(demand.key, None)
            else:
                without_room.add((shape, len(demand.indexes)))

    def _give_back(
        self,
        placement: task_placement.Placement,
        demand: task_demand.Demand,
    ) -> None:
        """Make resources available that ``_reserve`` has withheld."""
        for worker_id in placement:
            worker = self._worker_by_id.get(worker_id)
            if worker is not None:
                worker.free = worker.free.plus(demand.step.resources)

    def _reserve(
        self,
        placement: task_placement.Placement,
        demand: task_demand.Demand,
    ) -> None:
        """Withhold resources that are free now or will be shortly."""
        for worker_id in placement:
            worker = self._worker_by_id.get(worker_id)
            if worker is not None:
                worker.free = worker.free.minus(demand.step.resources)


def _backfill_seconds(demand: task_demand.Demand) -> float:
    """Return for how long its workers must not be reserved for others.

    Infinite for tasks that never end.
    """
    if demand.step.endless:
        return math.inf
    return demand.duration * BACKFILL_DURATION_FACTOR


def plan(
    waiting: typing.Iterable[task_demand.Demand],
    workers: typing.Sequence[task_placement.WorkerCapacity],
    running: typing.Sequence[task_preemption.RunningTask],
    reservations: Reservations | None = None,
    bounds: Bounds = Bounds(),
    pauses: reservation_terms.Pauses = reservation_terms.Pauses(),
) -> Plan:
    """Return which tasks to start and which runs to stop.

    :param waiting: tasks that are ready to start.
    :param workers: workers that may get work; changed by this function.
    :param running: runs that may be stopped.
    :param reservations: resources that victims of earlier rounds release.
    :param pauses: demands and workers whose wait for releases was in vain.
    """
    state = _Round(workers, running, reservations or {}, bounds, pauses)
    ordered = task_demand.sort_demands(waiting)
    state.apply_reservations(ordered)
    for demand in ordered:
        state.serve(demand)
    state.start_overdue()
    return Plan(
        tuple(state.starts),
        tuple(state.stops),
        state.backfill_reservations,
        state.new_reservations,
        state.wait_causes,
        state.waits,
    )


__all__ = ('Bounds', 'Plan', 'Start', 'plan')
