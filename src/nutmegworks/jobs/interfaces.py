"""What the controller of a shard needs from others."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.policy import events


class Scheduler(typing.Protocol):
    """Decides what runs where; ``policy.scheduler`` has the real one."""

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        """Apply one event and return the actions that follow from it.

        :param now: seconds; never decreases between calls.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHost:
    """A worker of the shard, as the host list names it."""

    worker_id: ids.WorkerId
    address: client.Address


ListWorkers = typing.Callable[
    [],
    typing.Awaitable[typing.Sequence[WorkerHost] | None],
]

__all__ = ('ListWorkers', 'Scheduler', 'WorkerHost')
