"""Decides which workers a demand avoids, and how long that may delay it.

Used by the platform daemon (nutmegworks.daemon.fleet). A demand avoids workers
on which its job has failed and workers that are suspended. That is a
preference: it may delay a demand while another worker can take it in time, but
never keeps it from running.
"""
from __future__ import annotations

import dataclasses
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import idle_limit
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement

# Seconds after which a worker may get a job again on which it has failed,
# also while others could run the step: they may reject starts. Faulty workers
# fail everything for up to 6.5 s.
EXCLUSION_SECONDS: typing.Final = 10.0
# Seconds between a failure and the next start on the same worker. Faulty
# workers fail everything for up to 6.5 s, which must not use up four attempts;
# a job may have nothing running for 3 s.
RETRY_SECONDS: typing.Final = 2.5
# The same for tasks that last, whose attempts are not limited.
LASTING_RETRY_SECONDS: typing.Final = 0.5
# At most this share of the workers that could run a step is excluded, apart
# from the pause before a retry.
MAX_EXCLUDED_SHARE: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What limits the delay of a demand.

    :param half_empty: over half of its service's accelerators are free.
    :param last_attempt: the job fails with the next failure of a task.
    """

    half_empty: bool
    last_attempt: bool = False


def max_delay(demand: task_demand.Demand, standing: Standing) -> float:
    """Return how many seconds longer a demand may avoid workers.

    Its class's target limits the delay, but for urgent work, which preempts
    on other workers, and tasks that last, which have no target. A job that
    would fail for good is better late.
    """
    limit = idle_limit.seconds_left(demand, standing.half_empty)
    if demand.step.endless or demand.priority == 0:
        return limit
    objective = demand.objective
    if standing.last_attempt:
        objective *= task_demand.LATE_FACTOR
    spare = objective - demand.remaining - demand.waited
    return max(0.0, min(limit, spare))


class Workers:
    """The workers of one round.

    :param workers: all that may get work now or after a pause. The ``total``
        of each is what it can offer to tasks that end, without what tasks that
        last hold.
    """

    def __init__(
        self,
        workers: typing.Iterable[task_placement.WorkerCapacity],
    ) -> None:
        self._open: list[task_placement.WorkerCapacity] = []
        self._suspended: list[task_placement.WorkerCapacity] = []
        for worker in workers:
            in_use = worker.access in task_placement.IN_USE
            (self._open if in_use else self._suspended).append(worker)
        self._can_take_by_shape: dict[typing.Hashable, bool] = {}
        self.service_use = idle_limit.ServiceUse(
            (*self._open, *self._suspended)
        )

    def restrict(
        self,
        demand: task_demand.Demand,
        seconds_since_failure: typing.Mapping[ids.WorkerId, float],
        standing: Standing,
    ) -> task_demand.Demand:
        """Return the demand with the workers that it avoids.

        :param seconds_since_failure: by worker, since the latest failure of a
            run of the demand's job on it.
        """
        delay = max_delay(demand, standing)
        if seconds_since_failure:
            demand = dataclasses.replace(
                demand,
                excluded_worker_ids=choose(
                    demand, seconds_since_failure, self._open, delay
                ),
            )
        recourse = self._recourse(demand, standing, delay)
        if recourse is task_demand.Recourse.NONE:
            return demand
        return dataclasses.replace(demand, recourse=recourse)

    def _recourse(
        self,
        demand: task_demand.Demand,
        standing: Standing,
        delay: float,
    ) -> task_demand.Recourse:
        anywhere = dataclasses.replace(
            demand, recourse=task_demand.Recourse.ANY
        )
        if not task_placement.eligible_workers(anywhere, self._suspended):
            return task_demand.Recourse.NONE
        shape = (
            task_placement.shape_key(demand),
            len(demand.indexes) if demand.step.gang else 1,
            delay,
        )
        if shape not in self._can_take_by_shape:
            self._can_take_by_shape[shape] = _can_take(
                demand,
                task_placement.eligible_workers(demand, self._open),
                delay,
            )
        if self._can_take_by_shape[shape]:
            return task_demand.Recourse.NONE
        if idle_limit.seconds_left(demand, standing.half_empty) <= 0:
            return task_demand.Recourse.ANY
        return task_demand.Recourse.PROBE


def choose(
    demand: task_demand.Demand,
    seconds_since_failure: typing.Mapping[ids.WorkerId, float],
    workers: typing.Iterable[task_placement.WorkerCapacity],
    delay: float = math.inf,
) -> frozenset[ids.WorkerId]:
    """Return the workers that must not get the demand's tasks now.

    Of the failed workers, the latest are excluded, as long as the others can
    take one of the tasks, or the whole gang, in time.

    :param demand: a demand without excluded workers.
    :param seconds_since_failure: by worker, since the latest failure of a run
        of the demand's job on it.
    :param workers: workers that get work; see ``Workers``.
    :param delay: seconds for which the demand may wait for the others; if
        infinite, they only have to be able to run it if empty.
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
    while excluded_ids:
        others = [
            worker for worker in eligible
            if worker.worker_id not in excluded_ids
        ]
        if _can_take(demand, others, delay):
            break
        excluded_ids.pop()
    return paused_ids.union(excluded_ids)


def _can_take(
    demand: task_demand.Demand,
    workers: typing.Iterable[task_placement.WorkerCapacity],
    delay: float,
) -> bool:
    """Return whether workers can take one of the tasks, or the gang.

    :param workers: eligible workers.
    :param delay: see ``choose``.
    """
    needed = len(demand.indexes) if demand.step.gang else 1
    for worker in workers:
        room = worker.total if math.isinf(delay) else worker.free_after(delay)
        needed -= task_placement.max_tasks(demand, worker, room)
        if needed <= 0:
            return True
    return False


__all__ = (
    'RETRY_SECONDS',
    'Standing',
    'Workers',
    'choose',
    'max_delay',
)
