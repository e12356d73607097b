"""Starts, stops and releases attempts of nutmegd's gang jobs.

Each step updates the job and the occupancy and emits the matching action.
"""
from __future__ import annotations

import typing

from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.policy import events
from nutmegworks.policy import gang_reclaim
from nutmegworks.policy import job as jobs
from nutmegworks.policy import occupancy as occupancies


class Lifecycle:
    """Changes the state of attempts and collects the resulting actions.

    :ivar actions: actions emitted since ``take_actions`` was last called.
    :ivar timers: deadlines of checkpoints and leases of stopping attempts.
    """

    def __init__(self, occupancy: occupancies.Occupancy) -> None:
        self.actions: list[events.Action] = []
        self.timers = gang_reclaim.Timers()
        self._occupancy = occupancy

    def take_actions(self) -> list[events.Action]:
        """Return the emitted actions and clear the list."""
        actions = self.actions
        self.actions = []
        return actions

    @staticmethod
    def _action_fields(
        job: jobs.Job,
        now: float,
        reason: events.Reason,
        detail: str = '',
    ) -> dict[str, typing.Any]:
        return {
            'decided_at': now,
            'job_id': job.job_id,
            'team_id': job.spec.team_id,
            'class_id': job.spec.class_id,
            'attempt': job.attempt,
            'accelerators': job.accelerators,
            'reason': reason,
            'detail': detail,
        }

    def start(self, job: jobs.Job, now: float) -> None:
        """Start an attempt on free accelerators."""
        job.attempt += 1
        job.state = jobs.State.RUNNING
        job.started_at = now
        job.checkpoint_at = None
        job.executed_earlier = job.executed
        job.executed = True
        job.confirmed = False
        job.failure = None
        job.stop_reason = None
        self._occupancy.occupy(job)
        borrowed = job.charge is events.Charge.BORROWED
        self.actions.append(
            events.StartJob(
                **self._action_fields(job, now, job.start_reason),
                members=self._occupancy.members(job),
                charge=job.charge,
                loans=self._occupancy.loans(job) if borrowed else (),
                resume=job.has_checkpoint,
            )
        )

    def begin_stop(
        self,
        job: jobs.Job,
        now: float,
        reason: events.Reason,
        *,
        checkpoint: bool = False,
        for_job: jobs.Job | None = None,
        detail: str = '',
    ) -> None:
        """Stop an attempt unless it is already being stopped.

        :param checkpoint: whether to request a checkpoint first. It has no
            effect on an attempt whose start is not confirmed, which has
            nothing to save.
        :param for_job: the job that needs the accelerators, if any.
        """
        if job.state is jobs.State.STOPPING:
            return
        job.state = jobs.State.STOPPING
        job.stop_reason = reason
        job.for_job_id = None if for_job is None else for_job.job_id
        self._occupancy.clear_preemptible(job)
        if not checkpoint or not job.confirmed:
            self.send_stop(job, now, detail)
            return
        job.checkpointing = True
        self.timers.add(
            now + gang_reclaim.CHECKPOINT_TIMEOUT_SECONDS,
            job.job_id,
            job.attempt,
            checkpointing=True,
        )
        self.actions.append(
            events.CheckpointJob(
                **self._action_fields(job, now, reason, detail),
                members=self._occupancy.members(job),
                for_job_id=job.for_job_id,
            )
        )

    def send_stop(
        self,
        job: jobs.Job,
        now: float,
        detail: str = '',
    ) -> None:
        """Stop all members and let their leases expire."""
        job.checkpointing = False
        self.timers.add(
            now + gang_reclaim.lease_expiry_seconds(job.confirmed),
            job.job_id,
            job.attempt,
        )
        assert job.stop_reason is not None
        self.actions.append(
            events.StopJob(
                **self._action_fields(job, now, job.stop_reason, detail),
                members=self._occupancy.members(job),
                for_job_id=job.for_job_id,
            )
        )

    def release(
        self,
        job: jobs.Job,
        now: float,
        reason: events.Reason,
    ) -> set[ids.WorkerId]:
        """Release an attempt's accelerators.

        :return: the workers that held them.
        """
        self.actions.append(
            events.ReleaseJob(
                **self._action_fields(job, now, reason),
                members=self._occupancy.members(job),
                charge=job.charge,
            )
        )
        self._occupancy.vacate(job)
        worker_ids = {block.worker_id for block in job.blocks}
        job.blocks = ()
        job.checkpointing = False
        return worker_ids

    def refuse(
        self,
        job: jobs.Job,
        now: float,
        reason: events.Reason,
        detail: str,
    ) -> None:
        """End a job that will not be started again."""
        outcome = verdict.Verdict.DID_NOT_RUN
        if job.executed:
            outcome = verdict.Verdict.MAY_HAVE_RUN
        self.actions.append(
            events.RefuseJob(
                **self._action_fields(job, now, reason, detail),
                verdict=outcome,
            )
        )


__all__ = ('Lifecycle', )
