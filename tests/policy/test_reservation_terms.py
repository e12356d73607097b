"""Rounds over time in which releases come later than declared."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.policy import reservation_terms
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

ROUND_SECONDS = 0.25
BOUNDS = task_planning.Bounds(stop=0.4, reclaim=2.7)
W1 = ids.WorkerId('w1')
W2 = ids.WorkerId('w2')


@dataclasses.dataclass(frozen=True)
class _Run:
    """A run that ends at ``ends_at`` and was declared to end before."""

    worker_id: ids.WorkerId
    resources: spec.Resources
    declared_end: float
    ends_at: float


class _Fleet:
    """Two workers and a planner whose clock the test moves.

    :ivar started_at: times of the first starts by job.
    :ivar stopped_at: time of the first preemption, None before.
    """

    def __init__(self, *runs: _Run) -> None:
        self.now = 0.0
        self.runs = list(runs)
        self.waiting: list[task_demand.Demand] = []
        self.started_at: dict[str, float] = {}
        self.stopped_at: float | None = None
        self._terms = reservation_terms.ReservationTerms()

    def _worker(self, worker_id: ids.WorkerId) -> typing.Any:
        free = builders.WHOLE_WORKER
        releases = []
        for run in self.runs:
            if run.worker_id == worker_id:
                free = free.minus(run.resources)
                after = max(0.1, run.declared_end - self.now)
                releases.append(task_placement.Release(after, run.resources))
        return builders.worker(
            worker_id,
            free=free,
            releases=[
                (release.after, release.resources) for release in releases
            ],
        )

    def round(self) -> task_planning.Plan:
        """Plan one round, apply its starts and move the clock on."""
        self.runs = [run for run in self.runs if run.ends_at > self.now]
        waiting = [
            dataclasses.replace(demand, waited=demand.waited + self.now)
            for demand in self.waiting
        ]
        keys = {demand.key for demand in waiting}
        plan = task_planning.plan(
            waiting,
            [self._worker(W1), self._worker(W2)],
            [
                builders.running(
                    'long', run.worker_id, resources=run.resources
                ) for run in self.runs
            ],
            bounds=BOUNDS,
            pauses=self._terms.pauses(keys, self.now),
        )
        self._terms.record(plan.waits, plan.reservations, self.now)
        if plan.stops and self.stopped_at is None:
            self.stopped_at = self.now
        for start in plan.starts:
            self.started_at.setdefault(start.demand.job_id, self.now)
            end = self.now + start.demand.duration
            for worker_id in start.worker_ids:
                resources = start.demand.step.resources
                self.runs.append(_Run(worker_id, resources, end, end))
            self.waiting = [
                demand for demand in self.waiting
                if demand.key != start.demand.key
            ]
        self.now += ROUND_SECONDS
        return plan


def _long_run(ends_at: float) -> _Run:
    """Return a run that was declared to take no time at all."""
    return _Run(W1, builders.WHOLE_WORKER, 0.0, ends_at)


def _gang() -> task_demand.Demand:
    return builders.demand(
        'gang', tasks=2, gang=True, accelerators=8, sequence=0
    )


def test_lesser_work_starts_and_then_the_gang() -> None:
    """Guards against a worker that stays reserved while nothing is released.

    Lesser work arrives all the time; it must not starve the gang either.
    """
    fleet = _Fleet(_long_run(ends_at=20.0))
    fleet.waiting.append(_gang())
    arrived_at = {}
    number = 0
    while 'gang' not in fleet.started_at and fleet.now < 60:
        if fleet.now >= number:
            number += 1
            job_id = f'small{number}'
            arrived_at[job_id] = fleet.now
            fleet.waiting.append(builders.demand(job_id, sequence=number))
        fleet.round()

    assert fleet.started_at['small1'] < 5.0
    assert 20.0 <= fleet.started_at['gang'] < 45.0
    longest = max(
        fleet.started_at.get(job_id, fleet.now) - at
        for job_id, at in arrived_at.items()
    )
    assert longest <= (
        reservation_terms.MAX_GRACE_SECONDS + 2 * 5.0 + 2 * ROUND_SECONDS
    )


def test_gangs_do_not_reserve_the_same_worker_in_turn() -> None:
    """Guards against lesser work that starves behind several gangs."""
    fleet = _Fleet(_long_run(ends_at=60.0))
    for number in range(6):
        fleet.waiting.append(
            builders.demand(
                f'gang{number}',
                tasks=2,
                gang=True,
                accelerators=8,
                sequence=number,
            )
        )
    fleet.waiting.append(builders.demand('small', sequence=9))
    while 'small' not in fleet.started_at and fleet.now < 60:
        fleet.round()

    assert fleet.started_at['small'] < 5.0


def test_a_reservation_that_is_met_is_not_given_up() -> None:
    """Guards against a gang that loses its turn although estimates hold."""
    run = _Run(W1, builders.WHOLE_WORKER, 9.0, 9.5)
    fleet = _Fleet(run)
    fleet.waiting.append(_gang())
    fleet.waiting.append(builders.demand('small', sequence=1, estimate=10.0))
    while 'gang' not in fleet.started_at and fleet.now < 60:
        fleet.round()

    assert fleet.started_at['gang'] == 9.5
    assert 'small' not in fleet.started_at


def test_guaranteed_work_preempts_runs_that_are_overdue() -> None:
    """Guards against a wait for a release that is always 0.1 s ahead."""
    fleet = _Fleet(
        _long_run(ends_at=60.0),
        dataclasses.replace(_long_run(ends_at=60.0), worker_id=W2),
    )
    fleet.waiting.append(builders.demand('urgent', priority=0, accelerators=8))
    while fleet.stopped_at is None and fleet.now < 60:
        fleet.round()

    assert fleet.stopped_at is not None
    assert fleet.stopped_at + BOUNDS.stop < BOUNDS.reclaim


def test_a_demand_that_no_longer_waits_is_forgotten() -> None:
    """Guards against a gang that is paused for waits of its former run."""
    terms = reservation_terms.ReservationTerms()
    key = _gang().key
    wait = reservation_terms.Wait(3.0, frozenset({W1}))
    terms.record({key: wait}, (), 0.0)
    terms.pauses((), 1.0)

    assert terms.pauses((key, ), 5.0) == reservation_terms.Pauses()


def test_pauses_end() -> None:
    """Guards against a gang that never gets a reservation again."""
    terms = reservation_terms.ReservationTerms()
    key = _gang().key
    wait = reservation_terms.Wait(3.0, frozenset({W1}))
    terms.record({key: wait}, (), 0.0)

    given_up = terms.pauses((key, ), 3.0)
    terms.record({}, (), 3.0)
    later = terms.pauses((key, ), 3.0 + reservation_terms.PAUSE_SECONDS)

    assert given_up.keys == {key}
    assert given_up.worker_ids == {W1}
    assert not later.keys and not later.worker_ids
    assert later.failures_by_key == {key: 1}
    due_in = [reservation_terms.gang_due_in(1.0, count) for count in (0, 1)]
    assert due_in[0] < due_in[1]
