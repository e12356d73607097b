"""Interfaces that the controller of a shard depends on."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.policy import events


class Scheduler(typing.Protocol):
    """Decides which job runs on which workers.

    The implementation is ``Scheduler`` in
    ``nutmegworks.policy.gang_scheduler``.
    """

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        """Apply one event and return the resulting actions.

        :param now: seconds; never decreases between calls.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHost:
    """A worker of the shard, as given in the list of hosts."""

    worker_id: ids.WorkerId
    address: client.Address


# Returns the workers of the shard, or None if the list is not available.
ListWorkers = typing.Callable[
    [],
    typing.Awaitable[typing.Sequence[WorkerHost] | None],
]

__all__ = ('ListWorkers', 'Scheduler', 'WorkerHost')
