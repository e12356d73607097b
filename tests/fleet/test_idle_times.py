"""For how long the leader takes jobs to have had nothing running."""
from __future__ import annotations

import typing

from nutmegworks.fleet import table
from nutmegworks.model import ids
from nutmegworks.platform import wire
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from tests.fleet import builders

NOW: typing.Final = 100.0


def _job(
    waits_since: float = NOW,
    **fields: object,
) -> table.Job:
    """Return a job of one step that was accepted at 90."""
    accepted = builders.accepted(builders.step(**fields))
    return table.Job(
        ids.JobId('a1'),
        accepted,
        wire.PlatformDecoder().submission(accepted.body),
        records.Progress(),
        1,
        90.0,
        waits_since,
    )


def _task(index: int) -> spec.TaskKey:
    return spec.TaskKey(
        ids.JobId('a1'), spec.Occurrence(0), spec.StepNumber(0), index
    )


def _run(job: table.Job, index: int) -> table.Run:
    return table.Run(
        _task(index),
        workers.RunNumber(1),
        ids.WorkerId('w1'),
        workers.WorkerIncarnation(1),
        job.submission.steps[0],
        1,
        table.RunPhase.RUNNING,
        95.0,
    )


def test_end_of_a_task_that_lasts_resets_the_time_of_no_other() -> None:
    """Guards against tasks that are away for as long as another one fails."""
    job = _job(count=2, longRunning=True)
    step = job.submission.steps[0]
    assert job.idle_seconds(step, _task(1), NOW) == 10.0
    job.record_idle(_run(job, 0), 99.0)
    assert job.idle_seconds(step, _task(0), NOW) == 1.0
    assert job.idle_seconds(step, _task(1), NOW) == 10.0


def test_new_leader_counts_the_time_before_its_term() -> None:
    """Guards against a limit that begins anew with each change of leader."""
    job = _job(waits_since=NOW)
    step = job.submission.steps[0]
    assert job.idle_seconds(step, _task(0), NOW) == 10.0


def test_job_of_which_something_runs_is_not_idle() -> None:
    """Guards against work that takes held room although it is not lost."""
    job = _job(count=2)
    job.runs_by_task[_task(0)] = _run(job, 0)
    assert job.idle_seconds(job.submission.steps[0], _task(1), NOW) is None
