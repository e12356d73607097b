"""Interfaces between nutmegd's gang scheduler and its replaceable policies.

They cover run time estimates, queue order and quarantine, each with the
default that the scheduler uses if none is given.
"""
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
        """Return the run time in seconds that the job should not exceed.

        :param declared: run time in seconds that the caller declared.
        """


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
        """Return the sort key of a job; the smallest is served first.

        The key is computed when a job becomes the first one of its team,
        class and shape, and is refreshed on ticks.
        """


class Quarantine(abc.ABC):
    """Decides which workers must not receive new work."""

    @abc.abstractmethod
    def is_quarantined(self, worker_id: ids.WorkerId) -> bool:
        """Return whether the worker must not receive new work."""


class DeclaredRunTime(RunTimeEstimator):
    """Uses the declared run time as the estimate."""

    def estimate(
        self,
        team_id: ids.TeamId,
        class_id: ids.ClassId,
        declared: float,
    ) -> float:
        return declared


class EarliestDeadline(QueueOrder):
    """Serves jobs in the order of their completion deadlines."""

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
    """Quarantines no worker."""

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
