"""The operators' configuration of queues, services and teams."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids

QueueId = typing.NewType('QueueId', str)


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A class of jobs: where they are submitted and how they are served.

    A job's objective is the time in which it should end: ``stretch`` times
    the expected time of its longest chain of steps, plus ``target``.

    :param host: value of the Host header of its calls.
    :param prefix: start of the path of its calls, including the last slash.
    :param target: seconds added to the objective of each job.
    :param priority: 0 is the highest; its jobs may preempt others.
    :param attempts: number of failed runs of a task at which its job fails.
    :param stretch: factor on the longest chain of steps in the objective.
    :param allows_anonymous: calls need no API key.
    :param externally_placed: a service outside the daemon chooses the workers.
    """

    queue_id: QueueId
    host: str
    prefix: str
    service_id: ids.ServiceId
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target: float = 0.0
    allows_anonymous: bool = False
    externally_placed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team and its guarantee.

    :param keys: API keys that authenticate its calls.
    :param guaranteed: accelerators guaranteed to its jobs of priority 0.
    """

    team_id: ids.TeamId
    keys: frozenset[str] = frozenset()
    guaranteed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    :param max_body_bytes: limit of the size of a submission.
    :param max_header_bytes: limit of the size of a call's head.
    :param header_timeout: seconds for the head of a call to arrive.
    :param idle_timeout: seconds for which an idle connection stays open.
    """

    version: int
    queues_by_id: typing.Mapping[QueueId, Queue]
    teams_by_id: typing.Mapping[ids.TeamId, Team]
    service_ids: frozenset[ids.ServiceId]
    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 30.0

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host whose prefix of the path is longest.

        :return: None if no queue of the host has a prefix of the path.
        """
        matching = [
            queue for queue in self.queues_by_id.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def team_for_key(self, key: str) -> Team | None:
        """Return the team that an API key belongs to, None if unknown."""
        for team in self.teams_by_id.values():
            if key in team.keys:
                return team
        return None


__all__ = ('Configuration', 'Queue', 'QueueId', 'Team')
