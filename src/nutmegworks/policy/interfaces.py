"""What the scheduler needs from estimates, queue order and quarantine."""
from __future__ import annotations

import abc
import typing

from nutmegworks.model import ids
from nutmegworks.model import work


class RunTimeEstimator(abc.ABC):
    """Estimates how long a job will run."""

    @abc.abstractmethod
    def estimate(
        self,
        team_id: ids.TeamId,
        class_id: ids.ClassId,
        declared: float,
    ) -> float:
        """Return seconds that the job is expected not to exceed."""


class QueueOrder(abc.ABC):
    """Orders waiting jobs."""

    @abc.abstractmethod
    def sort_key(
        self,
        job_id: ids.JobId,
        work_class: work.WorkClass,
        team_id: ids.TeamId,
        accepted_at: float,
        now: float,
    ) -> tuple[typing.Any, ...]:
        """Return a key; the smallest key is served first.

        The key is computed when a job reaches the head of the queue of its
        team, class and shape, and is refreshed on ticks.
        """


class Quarantine(abc.ABC):
    """Knows the workers that must not receive new work."""

    @abc.abstractmethod
    def is_quarantined(self, worker_id: ids.WorkerId) -> bool:
        """Return whether new work must avoid the worker."""


class DeclaredRunTime(RunTimeEstimator):
    """Trusts the declaration."""

    def estimate(
        self,
        team_id: ids.TeamId,
        class_id: ids.ClassId,
        declared: float,
    ) -> float:
        return declared


class EarliestDeadline(QueueOrder):
    """Serves the job first whose completion target ends first."""

    def sort_key(
        self,
        job_id: ids.JobId,
        work_class: work.WorkClass,
        team_id: ids.TeamId,
        accepted_at: float,
        now: float,
    ) -> tuple[typing.Any, ...]:
        return (accepted_at + work_class.target, job_id)


class NoQuarantine(Quarantine):
    """Admits every worker."""

    def is_quarantined(self, worker_id: ids.WorkerId) -> bool:
        return False


__all__ = (
    'DeclaredRunTime',
    'EarliestDeadline',
    'NoQuarantine',
    'Quarantine',
    'QueueOrder',
    'RunTimeEstimator',
)
