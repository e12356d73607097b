"""Limits how long preferences may keep a demand off free room.

Used by the platform daemon (nutmegworks.daemon.fleet). The planner leaves room
unused that a demand fits in: workers on which tasks failed, racks where the
tasks are slow, room that is held for gangs and urgent work. Each is a
preference, and all of them end here. The platform counts a job as lost if it
has nothing running for 3 s while over half of its service is free and
there is room for it; for a task that lasts, however full the service is.
"""
from __future__ import annotations

import collections
import math
import typing

from nutmegworks.model import ids
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement

# Seconds for which preferences may keep a demand off free room. The rest of
# the platform's 3 s is for a round, the store and the start.
MAX_IDLE_SECONDS: typing.Final = 2.0


class ServiceUse:
    """How much of each service's room is in use during a round.

    :param workers: all workers of the services.
    """

    def __init__(
        self,
        workers: typing.Iterable[task_placement.WorkerCapacity],
    ) -> None:
        self._total: collections.Counter[ids.ServiceId] = collections.Counter()
        self._free: collections.Counter[ids.ServiceId] = collections.Counter()
        for worker in workers:
            self._total[worker.service_id] += worker.total.accelerators
            self._free[worker.service_id] += worker.free.accelerators

    def record_start(self, demand: task_demand.Demand, tasks: int) -> None:
        """Record that tasks of a demand start in this round."""
        self._free[demand.service_id
                   ] -= (tasks * demand.step.resources.accelerators)

    def is_half_empty(self, service_id: ids.ServiceId) -> bool:
        """Return whether over half of a service's accelerators are free."""
        return 2 * self._free[service_id] > self._total[service_id]


def seconds_left(demand: task_demand.Demand, half_empty: bool) -> float:
    """Return for how long preferences may still keep a demand off free room.

    Infinite for a demand that is in no danger of being counted as lost.

    :param half_empty: whether over half of its service is free.
    """
    if demand.idle is None:
        return math.inf
    if not demand.step.endless and not half_empty:
        return math.inf
    return max(0.0, MAX_IDLE_SECONDS - demand.idle)


__all__ = ('MAX_IDLE_SECONDS', 'ServiceUse', 'seconds_left')
