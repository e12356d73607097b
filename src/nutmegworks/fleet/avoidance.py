"""Which workers waiting demands avoid in a scheduling round."""
from __future__ import annotations

import typing

import logbook

from nutmegworks.fleet import capacities
from nutmegworks.fleet import state as fleet_state
from nutmegworks.model import ids
from nutmegworks.policy import task_demand
from nutmegworks.policy import worker_exclusion
from nutmegworks.tasks import spec

_LOG: typing.Final = logbook.Logger('avoidance')


class Avoidance:
    """Applies ``worker_exclusion`` to the demands of each round."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        worker_capacities: capacities.Capacities,
    ) -> None:
        self._state = state
        self._capacities = worker_capacities
        # What was last logged of each waiting demand.
        self._avoided: dict[
            task_demand.DemandKey,
            tuple[frozenset[ids.WorkerId], task_demand.Recourse],
        ] = {}

    def restrict(
        self,
        demands: typing.Iterable[task_demand.Demand],
        now: float,
    ) -> list[task_demand.Demand]:
        """Return the demands with the workers to avoid after failures."""
        usable: worker_exclusion.Workers | None = None
        any_suspended = self._state.worker_health.any_suspended()
        waiting = []
        for demand in demands:
            job = self._state.jobs_by_id[demand.job_id]
            if job.failed_at_by_worker or any_suspended:
                if usable is None:
                    usable = worker_exclusion.Workers(
                        self._capacities.usable(now)
                    )
                demand = usable.restrict(
                    demand,
                    {
                        worker_id: now - failed
                        for worker_id, failed in
                        job.failed_at_by_worker.items()
                    },
                    worker_exclusion.Standing(
                        usable.service_use.is_half_empty(demand.service_id),
                        any(
                            job.is_last_attempt(task)
                            for task in _tasks(demand)
                        ),
                    ),
                )
            waiting.append(demand)
        self._log_avoided(waiting)
        return waiting

    def _log_avoided(
        self,
        waiting: typing.Iterable[task_demand.Demand],
    ) -> None:
        """Log which workers demands avoid, once for each change."""
        before = self._avoided
        self._avoided = {
            demand.key: (demand.excluded_worker_ids, demand.recourse)
            for demand in waiting
            if demand.excluded_worker_ids
            or demand.recourse is not task_demand.Recourse.NONE
        }
        for key, avoided in self._avoided.items():
            if before.get(key) != avoided:
                job_id, occurrence, step = key
                worker_ids, recourse = avoided
                _LOG.info(
                    'workers avoided',
                    job=job_id,
                    occurrence=occurrence,
                    step=step,
                    workers=sorted(worker_ids),
                    recourse=recourse.value,
                )


def _tasks(demand: task_demand.Demand) -> typing.Iterator[spec.TaskKey]:
    for index in demand.indexes:
        yield spec.TaskKey(
            demand.job_id, demand.occurrence, demand.step.number, index
        )


__all__ = ('Avoidance', )
