"""Counts the runs of a job's tasks that are lost with their workers."""
from __future__ import annotations

import typing

import logbook

from nutmegworks.fleet import membership
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.policy import crash_limit
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('lost_runs')


def count(
    job: table.Job,
    run: table.Run,
    worker: fleet_worker.Worker | None,
    worker_answers: bool,
) -> bool:
    """Count a lost run against its task, if it says anything of the task.

    :param worker: the run's worker, None if it is not registered any more.
    :param worker_answers: a report that should list the run does not.
    :return: whether the job's progress has changed.
    """
    loss = _classify(run, worker, worker_answers)
    if loss is None:
        return False
    name = table.task_name(run.task)
    losses = job.progress.losses
    before = losses.get(name, records.Losses())
    addresses = before.workers
    if run.step.endless:
        age = membership.steady_clock() - run.ordered_at
        if age > crash_limit.ENDLESS_STABLE_SECONDS:
            return losses.pop(name, None) is not None
        address = str(
            run.worker_id if worker is None else worker.entry.address
        )
        if not crash_limit.counts_for_lasting(loss, address in addresses):
            return False
        addresses += (address, )
    at_start = loss is crash_limit.Loss.CRASH_AT_START
    losses[name] = records.Losses(
        before.crashes_at_start + at_start, before.total + 1, addresses
    )
    _LOG.info(
        'task lost with its worker',
        task=run.task.name,
        run=run.number,
        worker=run.worker_id,
        loss=loss.value,
        crashes_at_start=losses[name].crashes_at_start,
        losses=losses[name].total,
        given_up=is_given_up(job, run.task),
    )
    return True


def is_given_up(job: table.Job, task: spec.TaskKey) -> bool:
    """Return whether too many workers were lost under a task."""
    losses = job.progress.losses.get(table.task_name(task), records.Losses())
    return crash_limit.is_exhausted(losses.crashes_at_start, losses.total)


def _classify(
    run: table.Run,
    worker: fleet_worker.Worker | None,
    worker_answers: bool,
) -> crash_limit.Loss | None:
    return crash_limit.classify(
        crash_limit.LostRun(
            sent=run.sent,
            started=run.started,
            reported=run.reported,
            worker_ended=run.worker_ended,
            worker_leaving=(
                worker is not None
                and worker.entry.state is workers.WorkerState.LEAVING
            ),
            worker_answers=worker_answers,
        )
    )


__all__ = ('count', 'is_given_up')
