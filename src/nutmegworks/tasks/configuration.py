"""The operators' configuration of queues, services and teams."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids

QueueId = typing.NewType('QueueId', str)


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Where a class of jobs is submitted and how it is served.

    :param host: value of the Host header.
    :param prefix: start of the path, with its closing slash.
    :param target: seconds added to the objective of each job.
    :param priority: 0 comes first and may preempt.
    :param attempts: failed runs of a task after which its job has failed.
    :param stretch: factor on the longest chain in the objective.
    :param open_to_all: calls need no key.
    :param advised: an outside service chooses the workers.
    """

    queue_id: QueueId
    host: str
    prefix: str
    service_id: ids.ServiceId
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target: float = 0.0
    open_to_all: bool = False
    advised: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """:param guaranteed: accelerators for its jobs of priority 0."""

    team_id: ids.TeamId
    keys: frozenset[str] = frozenset()
    guaranteed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version."""

    version: int
    queues_by_id: typing.Mapping[QueueId, Queue]
    teams_by_id: typing.Mapping[ids.TeamId, Team]
    service_ids: frozenset[ids.ServiceId]
    max_body: int = 1024 * 1024

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path."""
        found = [
            queue for queue in self.queues_by_id.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(found, key=lambda queue: len(queue.prefix), default=None)

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds an API key."""
        for team in self.teams_by_id.values():
            if key in team.keys:
                return team
        return None


__all__ = ('Configuration', 'Queue', 'QueueId', 'Team')
