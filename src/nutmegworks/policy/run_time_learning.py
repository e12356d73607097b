"""Feeds observed run times and worker failures back to the gang scheduler.

Used by nutmegd. The counterparts for the platform daemon are
``task_durations`` for run times and ``worker_health`` for worker failures.
"""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import events
from nutmegworks.policy import quarantine
from nutmegworks.policy import run_time_estimate


class Scheduler(typing.Protocol):
    """The interface of the gang scheduler that this module needs."""

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        """Apply one event and return the actions that follow from it."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    """The current attempt of a job.

    :param resumed: whether the attempt may have continued from a checkpoint.
    :param started_at: time in seconds; None until the start request was sent
        to all members.
    """

    members: tuple[events.Member, ...]
    resumed: bool
    started_at: float | None = None


class LearningScheduler:
    """Wraps a scheduler and records run times and failures of its jobs.

    :param estimator: receives the run times; must be the estimator that the
        inner scheduler uses.
    :param worker_quarantine: receives the failures and successes of workers;
        its transitions are passed to the inner scheduler as events.
    """

    def __init__(
        self,
        inner: Scheduler,
        estimator: run_time_estimate.RunTimeEstimator,
        worker_quarantine: quarantine.Quarantine,
    ) -> None:
        self._inner = inner
        self._estimator = estimator
        self._quarantine = worker_quarantine
        self._spec_by_job: dict[ids.JobId, work.JobSpec] = {}
        self._attempt_by_job: dict[ids.JobId, _Attempt] = {}
        self._worker_ids: set[ids.WorkerId] = set()

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        """Apply an event and the quarantine events that follow from it."""
        transitions = self._record_event(event, now)
        actions = self._inner.handle(event, now)
        for transition in transitions:
            actions += self._inner.handle(_to_event(transition), now)
        for action in actions:
            self._record_action(action)
        return actions

    def _record_action(self, action: events.Action) -> None:
        if isinstance(action, events.StartJob):
            self._attempt_by_job[action.job_id] = _Attempt(
                action.members,
                action.resume,
            )
        elif isinstance(action, events.ReleaseJob):
            self._attempt_by_job.pop(action.job_id, None)
        elif isinstance(action, events.RefuseJob):
            self._spec_by_job.pop(action.job_id, None)

    def _record_event(
        self,
        event: events.Event,
        now: float,
    ) -> list[quarantine.Transition]:
        if isinstance(event, events.JobArrived):
            self._spec_by_job[event.job_id] = event.spec
        elif isinstance(event, events.JobRestored):
            self._spec_by_job[event.job_id] = event.spec
            self._attempt_by_job[event.job_id] = _Attempt(event.members, True)
        elif isinstance(event, events.JobStarted):
            attempt = self._attempt_by_job.get(event.job_id)
            if attempt is not None:
                attempt.started_at = now
        elif isinstance(event, events.JobFinished):
            return self._record_finished(event, now)
        elif isinstance(event, events.JobFailed):
            return self._record_failed(event, now)
        elif isinstance(event, events.WorkerUp):
            self._worker_ids.add(event.worker_id)
            return self._quarantine.resize(len(self._worker_ids), now)
        elif isinstance(event, events.Tick):
            return self._quarantine.tick(now)
        return []

    def _record_finished(
        self,
        event: events.JobFinished,
        now: float,
    ) -> list[quarantine.Transition]:
        spec = self._spec_by_job.pop(event.job_id, None)
        attempt = self._attempt_by_job.get(event.job_id)
        if spec is None or attempt is None:
            return []
        # A resumed attempt executes only a part of the job.
        if attempt.started_at is not None and not attempt.resumed:
            self._estimator.observe(
                spec.team_id,
                spec.class_id,
                spec.run_time,
                now - attempt.started_at,
            )
        transitions = []
        for member in attempt.members:
            transitions += self._quarantine.record_success(
                member.worker_id, event.job_id, now
            )
        return transitions

    def _record_failed(
        self,
        event: events.JobFailed,
        now: float,
    ) -> list[quarantine.Transition]:
        spec = self._spec_by_job.get(event.job_id)
        is_task_failure = event.kind is events.FailureKind.TASK
        if spec is None or event.worker_id is None or not is_task_failure:
            return []
        return self._quarantine.record_failure(
            event.worker_id, event.job_id, spec.team_id, now
        )


def _to_event(transition: quarantine.Transition) -> events.Event:
    if transition.state is quarantine.WorkerState.QUARANTINED:
        return events.WorkerQuarantined(worker_id=transition.worker_id)
    # A worker on probation gets work again, like a healthy one. Failed jobs
    # during the probation return it to quarantine.
    return events.WorkerReadmitted(worker_id=transition.worker_id)


__all__ = ('LearningScheduler', 'Scheduler')
