"""What workers offer to a scheduling round."""
from __future__ import annotations

import math
import typing

from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.policy import worker_health

# Least time until the end of a stopping run is reported.
MIN_STOPPING_SECONDS: typing.Final = 0.05


class Capacities:
    """Builds the capacities of workers from the leader's state.

    Times are seconds of ``membership.steady_clock``.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        bounds: task_planning.Bounds,
    ) -> None:
        self._state = state
        self._bounds = bounds

    def available(
        self,
        now: float,
    ) -> list[task_placement.WorkerCapacity]:
        """Return the workers that may get work now."""
        available_by_id = {
            worker_id: worker
            for worker_id, worker in self._state.workers_by_id.items()
            if worker.available(now)
        }
        suspect_ids = self._state.worker_health.suspects(
            available_by_id.keys(), now
        )
        return [
            self._capacity(worker, now, suspect_ids)
            for worker in available_by_id.values()
        ]

    def usable(
        self,
        now: float,
    ) -> typing.Iterator[task_placement.WorkerCapacity]:
        """Yield the workers to which a step can turn after a failure.

        Their totals are without what tasks that last hold.
        """
        usable_by_id = {
            worker_id: worker
            for worker_id, worker in self._state.workers_by_id.items()
            if worker.usable(now)
        }
        suspect_ids = self._state.worker_health.suspects(
            usable_by_id.keys(), now
        )
        for worker in usable_by_id.values():
            capacity = self._capacity(worker, now, suspect_ids)
            for run in worker.runs_by_key.values():
                if run.step.endless:
                    capacity.total = capacity.total.minus(run.step.resources)
            yield capacity

    def _capacity(
        self,
        worker: fleet_worker.Worker,
        now: float,
        suspect_ids: typing.Collection[ids.WorkerId],
    ) -> task_placement.WorkerCapacity:
        releases = []
        for run in worker.runs_by_key.values():
            after = run.remaining(now)
            if run.phase is table.RunPhase.STOPPING:
                stops_at = run.stopped_at + self._bounds.stop
                after = max(MIN_STOPPING_SECONDS, stops_at - now)
            if math.isinf(after):
                continue
            releases.append(task_placement.Release(after, run.step.resources))
        entry = worker.entry
        return task_placement.WorkerCapacity(
            entry.worker_id,
            entry.service_id,
            entry.rack,
            entry.labels,
            entry.resources,
            worker.free_resources(),
            tuple(releases),
            slow=self._should_avoid(worker.worker_id, now),
            access=self._access(worker, now, suspect_ids),
        )

    def _access(
        self,
        worker: fleet_worker.Worker,
        now: float,
        suspect_ids: typing.Collection[ids.WorkerId],
    ) -> task_placement.Access:
        health = self._state.worker_health
        status = health.status(worker.worker_id, now)
        if (status is worker_health.Health.SUSPECT
                and worker.worker_id not in suspect_ids):
            return task_placement.Access.OPEN
        return health.access(
            worker.worker_id,
            (run.ordered_at for run in worker.runs_by_key.values()),
            now,
        )

    def _should_avoid(self, worker_id: ids.WorkerId, now: float) -> bool:
        """Return whether gangs and urgent work should avoid a worker."""
        return (
            self._state.worker_speeds.is_slow(worker_id)
            or self._state.worker_health.failed_recently(worker_id, now)
        )


__all__ = ('Capacities', )
