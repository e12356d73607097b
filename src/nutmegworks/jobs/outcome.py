"""Derives record changes and scheduler events from the end of an attempt."""
from __future__ import annotations

import typing

from nutmegworks.jobs import gang
from nutmegworks.jobs import record
from nutmegworks.model import ids
from nutmegworks.policy import events

_STATE: typing.Final = record.JobState
_OUTCOME: typing.Final = gang.Outcome


def end_changes(
    ended: gang.Ended,
    commit_id: str,
    result_changes: typing.Mapping[str, typing.Any],
    now: float,
    job: record.JobRecord,
) -> dict[str, typing.Any] | None:
    """Return the record changes for the end of a committed attempt.

    :param commit_id: of the attempt.
    :param result_changes: fields that hold or refer to the result.
    :param now: seconds since 1970.
    :returns: None if the record is no longer committed to this attempt.
    """
    is_current = job.run is not None and job.run.commit_id == commit_id
    if job.state is not _STATE.COMMITTED or not is_current:
        return None
    state = _next_state(ended, job)
    changes: dict[str, typing.Any] = {'state': state}
    if ended.outcome is _OUTCOME.FINISHED:
        changes.update(result_changes)
    else:
        changes['detail'] = describe(ended)
    if not ended.may_have_executed:
        # A start that executed nothing must not count as one that may
        # have executed.
        changes['attempts'] = job.attempts - 1
    if state in record.FINAL_STATES:
        changes['ended_at'] = now
    return changes


def _next_state(
    ended: gang.Ended,
    job: record.JobRecord,
) -> record.JobState:
    if ended.outcome is _OUTCOME.FINISHED:
        return _STATE.DONE
    if job.cancel_requested:
        return _STATE.CANCELLED
    if job.checkpoint:
        return _STATE.CHECKPOINTED
    if job.idempotent or not ended.may_have_executed:
        return _STATE.ACCEPTED
    return _STATE.MAY_HAVE_RUN


def describe(ended: gang.Ended) -> str:
    """Return a readable line about the end of an attempt."""
    location = f' on {ended.worker_id}' if ended.worker_id else ''
    return f'{ended.outcome.value}{location}'


def scheduler_event(
    ended: gang.Ended,
    job_id: ids.JobId,
    attempt: int,
) -> events.Event:
    """Return the scheduler event for the end of an attempt."""
    if ended.outcome is _OUTCOME.FINISHED:
        return events.JobFinished(job_id=job_id, attempt=attempt)
    if ended.outcome is _OUTCOME.STOPPED:
        return events.JobStopped(job_id=job_id, attempt=attempt)
    return events.JobFailed(
        job_id=job_id,
        attempt=attempt,
        kind=_failure_kind(ended),
        worker_id=ended.worker_id,
        members_stopped=True,
    )


def _failure_kind(ended: gang.Ended) -> events.FailureKind:
    if ended.outcome is _OUTCOME.TASK_FAILED:
        return events.FailureKind.TASK
    if ended.outcome is _OUTCOME.WORKER_LOST and ended.may_have_executed:
        return events.FailureKind.WORKER
    return events.FailureKind.START


__all__ = ('describe', 'end_changes', 'scheduler_event')
