"""Decides which workers a step avoids because its job has failed on them.

Used by the platform daemon (nutmegworks.daemon.fleet). Exclusion is a
preference: it may delay a step, but never keeps it from running.
"""
from __future__ import annotations

import typing

from nutmegworks.model import ids
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement

# Seconds after which a worker may get a job again on which it has failed,
# also while others could run the step: they may be busy or reject starts.
EXCLUSION_SECONDS: typing.Final = 30.0
# Seconds between a failure and the next start on the same worker. Faulty
# workers fail everything for up to 6.5 s, which must not use up four attempts;
# a job may have nothing running for 3 s.
RETRY_SECONDS: typing.Final = 2.5
# The same for tasks that last, whose attempts are not limited.
LASTING_RETRY_SECONDS: typing.Final = 0.5
# At most this share of the workers that could run a step is excluded, apart
# from the pause before a retry.
MAX_EXCLUDED_SHARE: typing.Final = 0.5


def choose(
    demand: task_demand.Demand,
    seconds_since_failure: typing.Mapping[ids.WorkerId, float],
    workers: typing.Iterable[task_placement.WorkerCapacity],
) -> frozenset[ids.WorkerId]:
    """Return the workers that must not get the demand's tasks now.

    Of the failed workers, the latest are excluded, as long as the others can
    run one of the tasks, or the whole gang.

    :param demand: a demand without excluded workers.
    :param seconds_since_failure: by worker, since the latest failure of a run
        of the demand's job on it.
    :param workers: workers that may get work; the ``total`` of each is what it
        can offer to tasks that end, without what tasks that last hold.
    """
    retry_seconds = (
        LASTING_RETRY_SECONDS if demand.step.endless else RETRY_SECONDS
    )
    paused_ids = frozenset(
        worker_id for worker_id, seconds in seconds_since_failure.items()
        if seconds < retry_seconds
    )
    eligible = task_placement.eligible_workers(demand, workers)
    failed_ids = sorted(
        (
            worker.worker_id for worker in eligible if seconds_since_failure.
            get(worker.worker_id, EXCLUSION_SECONDS) < EXCLUSION_SECONDS
        ),
        key=lambda worker_id: (seconds_since_failure[worker_id], worker_id),
    )
    excluded_ids = failed_ids[:int(MAX_EXCLUDED_SHARE * len(eligible))]
    while excluded_ids and not _can_run(demand, eligible, excluded_ids):
        excluded_ids.pop()
    return paused_ids.union(excluded_ids)


def _can_run(
    demand: task_demand.Demand,
    workers: typing.Iterable[task_placement.WorkerCapacity],
    excluded_ids: typing.Collection[ids.WorkerId],
) -> bool:
    """Return whether the other workers can run the demand if empty."""
    needed = len(demand.indexes) if demand.step.gang else 1
    return needed <= sum(
        task_placement.max_tasks(demand, worker, worker.total)
        for worker in workers
        if worker.worker_id not in excluded_ids
    )


__all__ = ('choose', )
