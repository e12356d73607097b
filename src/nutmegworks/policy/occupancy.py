"""Applies the allocations and claims of jobs to the masks of workers.

Used by nutmegd's gang scheduler.
"""
from __future__ import annotations

import typing

from nutmegworks.model import ids
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import events
from nutmegworks.policy import job as jobs


class Occupancy:
    """Marks accelerators as occupied, claimed or free."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster

    def _workers_and_masks(
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
        for worker, mask in self._workers_and_masks(job):
            worker.claims[job.job_id] = mask
            self._charge(job, worker, mask)
            self._cluster.refresh(worker)

    def occupy(self, job: jobs.Job) -> None:
        for worker, mask in self._workers_and_masks(job):
            worker.claims.pop(job.job_id, None)
            worker.occupants[job.job_id] = mask
            self._charge(job, worker, mask)
            if self._is_preemptible(job):
                worker.preemptible |= mask
            self._cluster.refresh(worker)

    def vacate(self, job: jobs.Job) -> None:
        """Free the accelerators that a job occupies or claims."""
        for worker, mask in self._workers_and_masks(job):
            worker.claims.pop(job.job_id, None)
            worker.occupants.pop(job.job_id, None)
            self._clear(job, worker, mask)
            self._cluster.refresh(worker)

    def clear_preemptible(self, job: jobs.Job) -> None:
        """Exclude a job that is being stopped from preemption."""
        for worker, mask in self._workers_and_masks(job):
            worker.preemptible &= ~mask
            self._cluster.refresh(worker)

    def charge_as_borrowed(self, job: jobs.Job) -> None:
        """Charge a job as borrowed after its team lost the guarantee."""
        for worker, mask in self._workers_and_masks(job):
            self._clear(job, worker, mask)
        job.charge = events.Charge.BORROWED
        for worker, mask in self._workers_and_masks(job):
            self._charge(job, worker, mask)
            if job.state is jobs.State.RUNNING and self._is_preemptible(job):
                worker.preemptible |= mask
            self._cluster.refresh(worker)

    def is_within_guarantee(self, job: jobs.Job) -> bool:
        """Return whether a job uses only its team's bound accelerators."""
        team_id = job.spec.team_id
        return all(
            not mask & ~worker.bound_by_team.get(team_id, 0)
            for worker, mask in self._workers_and_masks(job)
        )

    def other_jobs(
        self,
        job_id: ids.JobId,
        blocks: typing.Iterable[capacity.Block],
    ) -> tuple[dict[ids.JobId, None], dict[ids.JobId, None]]:
        """Return the other occupants and the other claimants of blocks."""
        occupants: dict[ids.JobId, None] = {}
        claimants: dict[ids.JobId, None] = {}
        for worker_id, mask in blocks:
            worker = self._cluster.worker_by_id[worker_id]
            for other_id, other_mask in worker.occupants.items():
                if other_mask & mask and other_id != job_id:
                    occupants[other_id] = None
            for other_id, other_mask in worker.claims.items():
                if other_mask & mask and other_id != job_id:
                    claimants[other_id] = None
        return occupants, claimants

    def loans(self, job: jobs.Job) -> tuple[events.Loan, ...]:
        """Return how many accelerators bound to other teams a job uses."""
        count_by_team: dict[ids.TeamId, int] = {}
        for worker, mask in self._workers_and_masks(job):
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
            for worker, mask in self._workers_and_masks(job)
        )

    @staticmethod
    def _is_preemptible(job: jobs.Job) -> bool:
        borrowed = job.charge is events.Charge.BORROWED
        return borrowed and job.reclaimable and not job.urgent

    @staticmethod
    def _charge(job: jobs.Job, worker: clusters.Worker, mask: int) -> None:
        if job.charge is events.Charge.GUARANTEED:
            worker.used |= mask
        elif not job.reclaimable:
            worker.non_reclaimable |= mask

    @staticmethod
    def _clear(job: jobs.Job, worker: clusters.Worker, mask: int) -> None:
        worker.preemptible &= ~mask
        if job.charge is events.Charge.GUARANTEED:
            worker.used &= ~mask
        elif not job.reclaimable:
            worker.non_reclaimable &= ~mask


__all__ = ('Occupancy', )
