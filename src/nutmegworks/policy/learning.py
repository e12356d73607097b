"""Feeds what runs have shown back into the scheduler."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import estimate
from nutmegworks.policy import events
from nutmegworks.policy import quarantine


class Decider(typing.Protocol):
    """A scheduler."""

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        """Apply one event and return the actions that follow from it."""


@dataclasses.dataclass(slots=True)
class _Run:
    """A job's present attempt.

    :param started_at: seconds; None until all members were told to go.
    """

    members: tuple[events.Member, ...]
    resumed: bool
    started_at: float | None = None


class LearningScheduler:
    """Observes run times and failing workers of another scheduler.

    :param estimator: the one that the inner scheduler asks.
    """

    def __init__(
        self,
        inner: Decider,
        estimator: estimate.RunTimeEstimator,
        pool: quarantine.Quarantine,
    ) -> None:
        self._inner = inner
        self._estimator = estimator
        self._quarantine = pool
        self._spec_by_job: dict[ids.JobId, work.JobSpec] = {}
        self._run_by_job: dict[ids.JobId, _Run] = {}
        self._workers: set[ids.WorkerId] = set()

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        """Apply an event, and those that follow from what it shows."""
        transitions = self._learn(event, now)
        actions = self._inner.handle(event, now)
        for item in transitions:
            actions += self._inner.handle(_event(item), now)
        for action in actions:
            self._note(action)
        return actions

    def _note(self, action: events.Action) -> None:
        if isinstance(action, events.StartJob):
            self._run_by_job[action.job_id
                             ] = _Run(action.members, action.resume)
        elif isinstance(action, events.ReleaseJob):
            self._run_by_job.pop(action.job_id, None)
        elif isinstance(action, events.RefuseJob):
            self._spec_by_job.pop(action.job_id, None)

    def _learn(
        self,
        event: events.Event,
        now: float,
    ) -> list[quarantine.Transition]:
        if isinstance(event, events.JobArrived):
            self._spec_by_job[event.job_id] = event.spec
        elif isinstance(event, events.JobRestored):
            self._spec_by_job[event.job_id] = event.spec
            self._run_by_job[event.job_id] = _Run(event.members, True)
        elif isinstance(event, events.JobStarted):
            run = self._run_by_job.get(event.job_id)
            if run is not None:
                run.started_at = now
        elif isinstance(event, events.JobFinished):
            return self._finished(event, now)
        elif isinstance(event, events.JobFailed):
            return self._failed(event, now)
        elif isinstance(event, events.WorkerUp):
            self._workers.add(event.worker_id)
            return self._quarantine.resize(len(self._workers), now)
        elif isinstance(event, events.Tick):
            return self._quarantine.tick(now)
        return []

    def _finished(
        self,
        event: events.JobFinished,
        now: float,
    ) -> list[quarantine.Transition]:
        spec = self._spec_by_job.pop(event.job_id, None)
        run = self._run_by_job.get(event.job_id)
        if spec is None or run is None:
            return []
        # A resumed run shows only a part of the run time.
        if run.started_at is not None and not run.resumed:
            self._estimator.observe(
                spec.team_id,
                spec.class_id,
                spec.run_time,
                now - run.started_at,
            )
        transitions = []
        for member in run.members:
            transitions += self._quarantine.succeeded(
                member.worker_id, event.job_id, now
            )
        return transitions

    def _failed(
        self,
        event: events.JobFailed,
        now: float,
    ) -> list[quarantine.Transition]:
        spec = self._spec_by_job.get(event.job_id)
        is_task = event.kind is events.FailureKind.TASK
        if spec is None or event.worker_id is None or not is_task:
            return []
        return self._quarantine.failed(
            event.worker_id, event.job_id, spec.team_id, now
        )


def _event(transition: quarantine.Transition) -> events.Event:
    if transition.state is quarantine.WorkerState.QUARANTINED:
        return events.WorkerQuarantined(worker_id=transition.worker_id)
    # On probation a worker gets tasks again; one failed job ends it.
    return events.WorkerReadmitted(worker_id=transition.worker_id)


__all__ = ('Decider', 'LearningScheduler')
