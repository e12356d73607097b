"""Plans where a waiting job can start and who must make room."""
from __future__ import annotations

import dataclasses
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import events
from nutmegworks.policy import job as jobs
from nutmegworks.policy import ledger as ledgers
from nutmegworks.policy import placement
from nutmegworks.policy import reclaim
from nutmegworks.policy import reserve


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Where a job starts; others may still be there.

    :param reservation: in which the job is backfilled, if any.
    """

    blocks: placement.Blocks
    charge: events.Charge
    reason: events.Reason
    reservation: reserve.Reservation | None = None


class StartPlanner:
    """Tries the ways to start a job, the least disruptive first.

    :param job_of: looks a job up.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        ledger: ledgers.GuaranteeLedger,
        book: reserve.ReservationBook,
        policy: placement.PlacementPolicy,
        job_of: typing.Callable[[ids.JobId], jobs.Job],
    ) -> None:
        self._cluster = cluster
        self._ledger = ledger
        self._book = book
        self._policy = policy
        self._job_of = job_of
        self._now = 0.0
        self._planned: jobs.Job | None = None
        self._victims = reclaim.VictimChooser(cluster, self._lost_work)

    def plan(self, job: jobs.Job, now: float) -> Plan | None:
        """Return a plan, or None if the job must wait.

        Guarantees may have been moved to make room for the plan, so it must
        be carried out or dropped at once.
        """
        self._now = now
        self._planned = job
        for attempt in (
                self._idle_guarantee,
                self._moved_guarantee,
                self._reserved,
                self._idle_borrowed,
                self._backfilled,
                self._reclaimed_guarantee,
                self._urgent,
        ):
            plan = attempt(job)
            if plan is not None:
                return plan
        return None

    def _choose(
        self,
        index: capacity.CapacityIndex | None,
        job: jobs.Job,
    ) -> placement.Blocks | None:
        if index is None or not index.fits(job.spec.shape):
            return None
        request = placement.Request(
            job.spec.shape,
            job.excluded(self._now),
            self._now + job.remaining,
            self._end_on_worker,
        )
        return self._policy.choose(index, request)

    def _end_on_worker(self, worker_id: ids.WorkerId) -> float | None:
        occupants = self._cluster.worker_by_id[worker_id].occupants
        ends = (self._job_of(i).expected_end(self._now) for i in occupants)
        return max(ends, default=None)

    def _idle_guarantee(self, job: jobs.Job) -> Plan | None:
        index = self._cluster.idle_by_team.get(job.spec.team_id)
        return _within_guarantee(self._choose(index, job))

    def _moved_guarantee(self, job: jobs.Job) -> Plan | None:
        if not self._ledger.move_to_idle(job.spec.team_id, job.spec.shape):
            return None
        return self._idle_guarantee(job)

    def _reserved(self, job: jobs.Job) -> Plan | None:
        reservation = self._book.of(job)
        if reservation is None:
            return None
        if self._book.occupants(reservation.blocks):
            return None
        if not self._book.is_valid(reservation):
            return None
        if reservation.in_guarantee:
            return _within_guarantee(reservation.blocks)
        return self._borrowed(job, reservation.blocks)

    def _borrowed(
        self,
        job: jobs.Job,
        blocks: placement.Blocks | None,
    ) -> Plan | None:
        if blocks is None:
            return None
        if not job.reclaimable:
            if not self._ledger.make_room(job.job_id, blocks):
                return None
        return Plan(blocks, events.Charge.BORROWED, events.Reason.BORROWED)

    def _idle_borrowed(self, job: jobs.Job) -> Plan | None:
        for index in (self._cluster.open, self._cluster.free):
            plan = self._borrowed(job, self._choose(index, job))
            if plan is not None:
                return plan
        return None

    def _reclaimed_guarantee(self, job: jobs.Job) -> Plan | None:
        index = self._cluster.unused_by_team.get(job.spec.team_id)
        if index is None:
            return None
        blocks = self._victims.choose(
            index,
            job.spec.shape,
            job.excluded(self._now),
        )
        return _within_guarantee(blocks)

    def _urgent(self, job: jobs.Job) -> Plan | None:
        if not job.urgent:
            return None
        index = (
            self._cluster.evictable
            if job.reclaimable else self._cluster.evictable_open
        )
        blocks = self._victims.choose(
            index,
            job.spec.shape,
            job.excluded(self._now),
        )
        return self._borrowed(job, blocks)

    def _backfilled(self, job: jobs.Job) -> Plan | None:
        if not job.reclaimable:
            return None
        end = self._now + job.remaining
        for reservation in self._book.visible_to(job):
            if reservation.job_id == job.job_id or end > reservation.ready_at:
                continue
            blocks = self._choose(self._book.idle_part(reservation), job)
            if blocks is not None:
                return Plan(
                    blocks,
                    events.Charge.BORROWED,
                    events.Reason.BACKFILLED,
                    reservation,
                )
        return None

    def _lost_work(self, job_id: ids.JobId) -> float:
        job = self._job_of(job_id)
        if job.state is jobs.State.STOPPING:
            return 0.0
        planned = self._planned
        assert planned is not None
        same_team = job.spec.team_id == planned.spec.team_id
        if same_team and (job.urgent or not planned.urgent):
            # A team gains nothing by stopping its own work; two of its jobs
            # would stop each other for ever.
            return math.inf
        if job.state is jobs.State.CLAIMING:
            return 0.0
        return job.lost_work(self._now)


def _within_guarantee(blocks: placement.Blocks | None) -> Plan | None:
    if blocks is None:
        return None
    reason = events.Reason.WITHIN_GUARANTEE
    return Plan(blocks, events.Charge.GUARANTEED, reason)


__all__ = ('Plan', 'StartPlanner')
