"""What operators and callers declare: classes, teams, guarantees, jobs."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.model import shape


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work with its completion target.

    :param target: seconds from acceptance to the complete response.
    :param guaranteed_share: fraction of the capacity, from 0 to 1.
    :param idempotent: whether a request may run more than once.
    :param interruptible: whether its jobs can be checkpointed or stopped.
    :param team_ids: teams entitled to the class.
    """

    class_id: ids.ClassId
    service_id: ids.ServiceId
    target: float
    guaranteed_share: float
    idempotent: bool
    interruptible: bool
    team_ids: frozenset[ids.TeamId]


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantee:
    """Shapes that a team can always reclaim in one failure domain."""

    domain_id: ids.DomainId
    shapes: tuple[shape.Shape, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team, its tokens and its guarantees.

    :param token_digests: SHA-256 of each token, in lower-case hexadecimal.
    """

    team_id: ids.TeamId
    token_digests: tuple[str, ...]
    guarantees: tuple[Guarantee, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The cluster's configuration as of one accepted change."""

    sequence: ids.ConfigSequence
    class_by_id: typing.Mapping[ids.ClassId, WorkClass]
    team_by_id: typing.Mapping[ids.TeamId, Team]


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller declares it.

    :param run_time: declared run time in seconds; often inaccurate.
    :param payload: passed to the workers; opaque to the scheduler.
    """

    team_id: ids.TeamId
    class_id: ids.ClassId
    shape: shape.Shape
    run_time: float
    payload: bytes = b''


__all__ = ('Configuration', 'Guarantee', 'JobSpec', 'Team', 'WorkClass')
