"""Converts job records to runs, writes and events of the scheduler."""
from __future__ import annotations

import typing

import msgspec

from nutmegworks.jobs import record
from nutmegworks.model import ids
from nutmegworks.policy import events


def next_run(job: record.JobRecord) -> tuple[int, ids.RunId]:
    """Return the number of runs and the run id of the next attempt."""
    if job.state is record.JobState.CHECKPOINTED and job.run is not None:
        return job.runs, job.run.run_id
    return job.runs + 1, record.run_id(job.job_id, job.runs + 1)


def holds(job: record.JobRecord, run: record.Run) -> bool:
    """Return whether a record still says that this run may execute."""
    if job.state is not record.JobState.COMMITTED or job.run is None:
        return False
    return job.run.commit_id == run.commit_id


def adopt_changes(
    run: record.Run,
    token: ids.FencingToken,
    job: record.JobRecord,
) -> dict[str, typing.Any] | None:
    """Return the write that makes later writes of earlier owners fail."""
    if not holds(job, run) or job.run.fencing_token == token:
        return None
    return {'run': msgspec.structs.replace(job.run, fencing_token=token)}


def arrived(job: record.JobRecord) -> events.JobArrived:
    """Return what the scheduler is told of a job that waits."""
    return events.JobArrived(
        job_id=job.job_id,
        spec=job.spec,
        accepted_at=job.accepted_at,
        attempts=job.attempts,
        has_checkpoint=bool(job.checkpoint),
    )


def restored(
    job: record.JobRecord,
    run: record.Run,
) -> events.JobRestored:
    """Return what the scheduler is told of a run that was found."""
    return events.JobRestored(
        job_id=job.job_id,
        spec=job.spec,
        accepted_at=job.accepted_at,
        attempt=run.attempt,
        members=run.members,
        started_at=run.committed_at,
        has_checkpoint=bool(job.checkpoint),
    )


__all__ = ('adopt_changes', 'arrived', 'holds', 'next_run', 'restored')
