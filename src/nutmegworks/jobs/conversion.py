"""Converts job records to runs, record changes and scheduler events."""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.jobs import record
from nutmegworks.model import ids
from nutmegworks.policy import events


def next_run(job: record.JobRecord) -> tuple[int, ids.RunId]:
    """Return the number of runs and the run id for the next attempt.

    An attempt that resumes from a checkpoint keeps the id of its run.
    """
    if job.state is record.JobState.CHECKPOINTED and job.run is not None:
        return job.runs, job.run.run_id
    return job.runs + 1, record.run_id(job.job_id, job.runs + 1)


def is_committed_run(job: record.JobRecord, run: record.Run) -> bool:
    """Return whether the record still allows this run to execute."""
    if job.state is not record.JobState.COMMITTED or job.run is None:
        return False
    return job.run.commit_id == run.commit_id


def takeover_changes(
    run: record.Run,
    token: ids.FencingToken,
    job: record.JobRecord,
) -> dict[str, typing.Any] | None:
    """Return the record changes with which a new owner takes a run over.

    The write changes the revision of the record, so that later writes of
    earlier owners fail.

    :param token: of the new owner.
    :returns: None if there is nothing to change.
    """
    if not is_committed_run(job, run) or job.run.fencing_token == token:
        return None
    return {'run': msgspec.structs.replace(job.run, fencing_token=token)}


def job_arrived(job: record.JobRecord) -> events.JobArrived:
    """Return the scheduler event for a waiting job."""
    return events.JobArrived(
        job_id=job.job_id,
        spec=job.spec,
        accepted_at=job.accepted_at,
        attempts=job.attempts,
        has_checkpoint=bool(job.checkpoint),
    )


def job_restored(
    job: record.JobRecord,
    run: record.Run,
) -> events.JobRestored:
    """Return the scheduler event for a run that was already committed."""
    return events.JobRestored(
        job_id=job.job_id,
        spec=job.spec,
        accepted_at=job.accepted_at,
        attempt=run.attempt,
        members=run.members,
        started_at=run.committed_at,
        has_checkpoint=bool(job.checkpoint),
    )


__all__ = (
    'is_committed_run',
    'job_arrived',
    'job_restored',
    'next_run',
    'takeover_changes',
)
