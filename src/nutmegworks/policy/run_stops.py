"""Decides which runs are stopped, and when their job may be forgotten.

Used by the platform daemon (nutmegworks.daemon.fleet). A leader may end while
its stop requests are unanswered, so the decisions follow from stored records
and workers' reports alone: each leader comes to the same ones.
"""
from __future__ import annotations

import collections
import dataclasses
import typing

# The platform's workers end a run within 0.2 s of a stop request. A run that
# is listed this long after the answer is stopped again: its worker may have
# started anew and then have carried out a late start request.
STOP_REPEAT_SECONDS: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRun:
    """A run that an earlier leader stored as assigned.

    :param job_ended: the stored state of its job is final, or the job's
        cancellation is stored.
    :param task_done: the task is stored as done.
    :param gang_incomplete: it belongs to a gang whose assigned members are
        not all of one run.
    """

    job_ended: bool
    task_done: bool
    gang_incomplete: bool = False


def must_stop(run: StoredRun) -> bool:
    """Return whether a new leader stops a run that it adopts.

    A gang is stored without a member only once that member has ended, and the
    others can't finish without it.
    """
    return run.job_ended or run.task_done or run.gang_incomplete


def is_incomplete(run_numbers: typing.Collection[int], count: int) -> bool:
    """Return whether a gang lacks members.

    :param run_numbers: run numbers of the assigned members.
    :param count: number of the gang's members.

    >>> is_incomplete([2, 2], 2)
    False
    >>> is_incomplete([1, 2], 2)
    True
    """
    newest = collections.Counter(run_numbers).get(max(run_numbers, default=0))
    return newest != count


def must_repeat_stop(
    confirmed_at: float | None,
    report_sent_at: float,
) -> bool:
    """Return whether a stop request is repeated for a run still listed.

    :param confirmed_at: seconds at which the worker answered the last stop
        request, None while that is still being sent.
    :param report_sent_at: seconds at which the report that lists the run was
        requested.
    """
    return (
        confirmed_at is not None
        and report_sent_at >= confirmed_at + STOP_REPEAT_SECONDS
    )


def may_forget(
    stored_final: bool,
    ended_at: float,
    cutoff: float,
    runs_left: bool,
) -> bool:
    """Return whether the records of a job may be removed.

    Without them a later leader would not know of runs that have not ended.

    :param stored_final: its final state is stored.
    :param ended_at: when it ended, in Unix seconds.
    :param cutoff: jobs that ended later are kept, in Unix seconds.
    :param runs_left: a run of the job has not ended.
    """
    return stored_final and ended_at < cutoff and not runs_left


__all__ = (
    'STOP_REPEAT_SECONDS',
    'StoredRun',
    'is_incomplete',
    'may_forget',
    'must_repeat_stop',
    'must_stop',
)
