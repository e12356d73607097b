"""Applies what jobs hold and claim to the masks of workers."""
from __future__ import annotations

import typing

from nutmegworks.model import ids
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import events
from nutmegworks.policy import job as jobs


class Occupancy:
    """Marks accelerators as held, claimed or free."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster

    def _masks(
        self,
        job: jobs.Job,
    ) -> typing.Iterator[tuple[clusters.Worker, int]]:
        mask_by_worker: dict[ids.WorkerId, int] = {}
        for worker_id, mask in job.blocks:
            mask_by_worker[worker_id] = (
                mask_by_worker.get(worker_id, 0) | mask
            )
        for worker_id, mask in mask_by_worker.items():
            yield self._cluster.worker_by_id[worker_id], mask

    def claim(self, job: jobs.Job) -> None:
        for worker, mask in self._masks(job):
            worker.claims[job.job_id] = mask
            self._charge(job, worker, mask)
            self._cluster.refresh(worker)

    def occupy(self, job: jobs.Job) -> None:
        for worker, mask in self._masks(job):
            worker.claims.pop(job.job_id, None)
            worker.occupants[job.job_id] = mask
            self._charge(job, worker, mask)
            if self._is_soft(job):
                worker.soft |= mask
            self._cluster.refresh(worker)

    def vacate(self, job: jobs.Job) -> None:
        """Free what a job holds or claims."""
        for worker, mask in self._masks(job):
            worker.claims.pop(job.job_id, None)
            worker.occupants.pop(job.job_id, None)
            self._clear(job, worker, mask)
            self._cluster.refresh(worker)

    def harden(self, job: jobs.Job) -> None:
        """Make a job that is being stopped no candidate for eviction."""
        for worker, mask in self._masks(job):
            worker.soft &= ~mask
            self._cluster.refresh(worker)

    def charge_as_borrowed(self, job: jobs.Job) -> None:
        """Change a job's charge after its team lost the guarantee."""
        for worker, mask in self._masks(job):
            self._clear(job, worker, mask)
        job.charge = events.Charge.BORROWED
        for worker, mask in self._masks(job):
            self._charge(job, worker, mask)
            if job.state is jobs.State.RUNNING and self._is_soft(job):
                worker.soft |= mask
            self._cluster.refresh(worker)

    def is_within_guarantee(self, job: jobs.Job) -> bool:
        """Return whether a team's bound accelerators cover a job."""
        team_id = job.spec.team_id
        return all(
            not mask & ~worker.bound_by_team.get(team_id, 0)
            for worker, mask in self._masks(job)
        )

    def others(
        self,
        job_id: ids.JobId,
        blocks: typing.Iterable[capacity.Block],
    ) -> tuple[dict[ids.JobId, None], dict[ids.JobId, None]]:
        """Return other occupants and other claimants of blocks."""
        occupants: dict[ids.JobId, None] = {}
        claimants: dict[ids.JobId, None] = {}
        for worker_id, mask in blocks:
            worker = self._cluster.worker_by_id[worker_id]
            for other_id, other in worker.occupants.items():
                if other & mask and other_id != job_id:
                    occupants[other_id] = None
            for other_id, other in worker.claims.items():
                if other & mask and other_id != job_id:
                    claimants[other_id] = None
        return occupants, claimants

    def loans(self, job: jobs.Job) -> tuple[events.Loan, ...]:
        """Return whose set-aside accelerators a borrower holds."""
        count_by_team: dict[ids.TeamId, int] = {}
        for worker, mask in self._masks(job):
            for team_id, bound in worker.bound_by_team.items():
                lent = (bound & mask).bit_count()
                if lent and team_id != job.spec.team_id:
                    count_by_team[team_id] = (
                        count_by_team.get(team_id, 0) + lent
                    )
        return tuple(
            events.Loan(team_id, count)
            for team_id, count in count_by_team.items()
        )

    def members(self, job: jobs.Job) -> tuple[events.Member, ...]:
        return tuple(
            events.Member(worker.worker_id, bitmask.indices(mask))
            for worker, mask in self._masks(job)
        )

    @staticmethod
    def _is_soft(job: jobs.Job) -> bool:
        borrowed = job.charge is events.Charge.BORROWED
        return borrowed and job.reclaimable and not job.urgent

    @staticmethod
    def _charge(job: jobs.Job, worker: clusters.Worker, mask: int) -> None:
        if job.charge is events.Charge.GUARANTEED:
            worker.used |= mask
        elif not job.reclaimable:
            worker.firm |= mask

    @staticmethod
    def _clear(job: jobs.Job, worker: clusters.Worker, mask: int) -> None:
        worker.soft &= ~mask
        if job.charge is events.Charge.GUARANTEED:
            worker.used &= ~mask
        elif not job.reclaimable:
            worker.firm &= ~mask


__all__ = ('Occupancy', )
