"""Plans where a waiting gang job can start and which jobs it preempts.

Used by nutmegd's gang scheduler. The platform daemon's counterpart is
``task_planning``.
"""
from __future__ import annotations

import dataclasses
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import events
from nutmegworks.policy import gang_placement
from nutmegworks.policy import gang_reclaim
from nutmegworks.policy import job as jobs
from nutmegworks.policy import ledger as ledgers
from nutmegworks.policy import reserve


@dataclasses.dataclass(frozen=True, slots=True)
class StartPlan:
    """Where a job starts; other jobs may still occupy or claim the blocks.

    :param reservation: the reservation on whose blocks the job is
        backfilled, if any.
    """

    blocks: gang_placement.Blocks
    charge: events.Charge
    reason: events.Reason
    reservation: reserve.Reservation | None = None


class StartPlanner:
    """Plans the start of a job in the least disruptive way possible.

    :param get_job: returns the job with an ID.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        ledger: ledgers.GuaranteeLedger,
        reservations: reserve.ReservationTable,
        policy: gang_placement.PlacementPolicy,
        get_job: typing.Callable[[ids.JobId], jobs.Job],
    ) -> None:
        self._cluster = cluster
        self._ledger = ledger
        self._reservations = reservations
        self._policy = policy
        self._get_job = get_job
        self._now = 0.0
        self._planned_job: jobs.Job | None = None
        self._victim_chooser = gang_reclaim.VictimChooser(
            cluster, self._lost_work
        )

    def plan(self, job: jobs.Job, now: float) -> StartPlan | None:
        """Return a plan, or None if the job must wait.

        Guarantees may have been rebound for the plan, so it must be executed
        or dropped at once.
        """
        self._now = now
        self._planned_job = job
        for plan_method in (
                self._plan_idle_guarantee,
                self._plan_moved_guarantee,
                self._plan_reserved,
                self._plan_idle_borrowed,
                self._plan_backfilled,
                self._plan_reclaimed_guarantee,
                self._plan_urgent,
        ):
            plan = plan_method(job)
            if plan is not None:
                return plan
        return None

    def _choose_blocks(
        self,
        index: capacity.CapacityIndex | None,
        job: jobs.Job,
    ) -> gang_placement.Blocks | None:
        if index is None or not index.fits(job.spec.shape):
            return None
        request = gang_placement.Request(
            job.spec.shape,
            job.excluded_workers(self._now),
            self._now + job.remaining,
            self._expected_end_on_worker,
        )
        return self._policy.choose(index, request)

    def _expected_end_on_worker(self, worker_id: ids.WorkerId) -> float | None:
        occupants = self._cluster.worker_by_id[worker_id].occupants
        ends = (
            self._get_job(job_id).expected_end(self._now)
            for job_id in occupants
        )
        return max(ends, default=None)

    def _plan_idle_guarantee(self, job: jobs.Job) -> StartPlan | None:
        index = self._cluster.idle_by_team.get(job.spec.team_id)
        return _within_guarantee(self._choose_blocks(index, job))

    def _plan_moved_guarantee(self, job: jobs.Job) -> StartPlan | None:
        if not self._ledger.move_to_idle(job.spec.team_id, job.spec.shape):
            return None
        return self._plan_idle_guarantee(job)

    def _plan_reserved(self, job: jobs.Job) -> StartPlan | None:
        reservation = self._reservations.held_by(job)
        if reservation is None:
            return None
        if self._reservations.occupants(reservation.blocks):
            return None
        if not self._reservations.is_valid(reservation):
            return None
        if reservation.in_guarantee:
            return _within_guarantee(reservation.blocks)
        return self._plan_borrowed(job, reservation.blocks)

    def _plan_borrowed(
        self,
        job: jobs.Job,
        blocks: gang_placement.Blocks | None,
    ) -> StartPlan | None:
        if blocks is None:
            return None
        if not job.reclaimable:
            if not self._ledger.admit_non_reclaimable(job.job_id, blocks):
                return None
        return StartPlan(
            blocks, events.Charge.BORROWED, events.Reason.BORROWED
        )

    def _plan_idle_borrowed(self, job: jobs.Job) -> StartPlan | None:
        for index in (self._cluster.free_unbound, self._cluster.free):
            plan = self._plan_borrowed(job, self._choose_blocks(index, job))
            if plan is not None:
                return plan
        return None

    def _plan_reclaimed_guarantee(self, job: jobs.Job) -> StartPlan | None:
        index = self._cluster.unused_by_team.get(job.spec.team_id)
        if index is None:
            return None
        blocks = self._victim_chooser.choose(
            index,
            job.spec.shape,
            job.excluded_workers(self._now),
        )
        return _within_guarantee(blocks)

    def _plan_urgent(self, job: jobs.Job) -> StartPlan | None:
        if not job.urgent:
            return None
        index = (
            self._cluster.free_or_preemptible
            if job.reclaimable else self._cluster.free_or_preemptible_unbound
        )
        blocks = self._victim_chooser.choose(
            index,
            job.spec.shape,
            job.excluded_workers(self._now),
        )
        return self._plan_borrowed(job, blocks)

    def _plan_backfilled(self, job: jobs.Job) -> StartPlan | None:
        if not job.reclaimable:
            return None
        end = self._now + job.remaining
        for reservation in self._reservations.visible_to(job):
            if reservation.job_id == job.job_id or end > reservation.ready_at:
                continue
            blocks = self._choose_blocks(
                self._reservations.idle_capacity(reservation), job
            )
            if blocks is not None:
                return StartPlan(
                    blocks,
                    events.Charge.BORROWED,
                    events.Reason.BACKFILLED,
                    reservation,
                )
        return None

    def _lost_work(self, job_id: ids.JobId) -> float:
        job = self._get_job(job_id)
        if job.state is jobs.State.STOPPING:
            return 0.0
        planned_job = self._planned_job
        assert planned_job is not None
        same_team = job.spec.team_id == planned_job.spec.team_id
        if same_team and (job.urgent or not planned_job.urgent):
            # A team gains nothing by stopping its own work, and two of its
            # jobs would preempt each other forever.
            return math.inf
        if job.state is jobs.State.CLAIMING:
            return 0.0
        return job.lost_work(self._now)


def _within_guarantee(
    blocks: gang_placement.Blocks | None
) -> StartPlan | None:
    if blocks is None:
        return None
    reason = events.Reason.WITHIN_GUARANTEE
    return StartPlan(blocks, events.Charge.GUARANTEED, reason)


__all__ = ('StartPlan', 'StartPlanner')
