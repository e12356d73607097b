"""What waits for workers, and in which order it is served."""
from __future__ import annotations

import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.tasks import spec

# A job that ends after this many times its objective earns nothing.
LATE_FACTOR: typing.Final = 3.0


class Prospect(enum.IntEnum):
    """Whether a job can still earn; lower values are served first."""

    ON_TIME = 0
    LATE = 1
    HOPELESS = 2


DemandKey = tuple[ids.JobId, spec.Occurrence, spec.StepNumber]


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Tasks of one step that wait for workers.

    :param indexes: the waiting tasks; a gang's are placed together.
    :param waited: seconds since the job was accepted or due.
    :param remaining: seconds of the longest chain of work that is left.
    :param objective: seconds from acceptance in which the job earns fully.
    :param sequence: position in the order of acceptance.
    :param team_id: whose guarantee the tasks use at priority 0.
    :param avoid: workers on which the job has failed.
    :param used_by_worker: tasks of the step that a worker holds already.
    :param expected: seconds that each task is expected to take; the declared
        time if it is not given.
    :param guaranteed: the team's guarantee covers the tasks, so that others
        have to yield whatever it costs.
    """

    job_id: ids.JobId
    occurrence: spec.Occurrence
    step: spec.Step
    indexes: tuple[int, ...]
    priority: int
    waited: float
    remaining: float
    objective: float
    sequence: int
    service_id: ids.ServiceId
    team_id: ids.TeamId = ids.TeamId('')
    avoid: frozenset[ids.WorkerId] = frozenset()
    used_by_worker: typing.Mapping[ids.WorkerId, int] = dataclasses.field(
        default_factory=dict
    )
    expected: float | None = None
    guaranteed: bool = False

    @property
    def duration(self) -> float:
        """Seconds that each task is expected to take."""
        return self.step.estimate if self.expected is None else self.expected

    @property
    def wants_fast(self) -> bool:
        """Whether slow workers should be left to others.

        The slowest member sets the pace of a gang, and urgent work has little
        time to spare.
        """
        return self.step.gang or self.priority == 0

    @property
    def key(self) -> DemandKey:
        return self.job_id, self.occurrence, self.step.number

    @property
    def prospect(self) -> Prospect:
        total = self.waited + self.remaining
        if total <= self.objective:
            return Prospect.ON_TIME
        if total <= LATE_FACTOR * self.objective:
            return Prospect.LATE
        return Prospect.HOPELESS


def guaranteed_teams(
    needed_by_team: typing.Mapping[ids.TeamId, int],
    guaranteed_by_team: typing.Mapping[ids.TeamId, int],
) -> frozenset[ids.TeamId]:
    """Return the teams whose urgent jobs all fit into their guarantee.

    :param needed_by_team: accelerators of a team's unfinished urgent jobs.
    :param guaranteed_by_team: accelerators that a team can reclaim.

    >>> sorted(guaranteed_teams({'a': 8, 'b': 9}, {'a': 8, 'b': 8}))
    ['a']
    """
    return frozenset(
        team_id for team_id, needed in needed_by_team.items()
        if needed <= guaranteed_by_team.get(team_id, 0)
    )


def order(demands: typing.Iterable[Demand]) -> list[Demand]:
    """Return demands in the order in which they are served.

    Classes of work come by their priority. Within a class, jobs that can meet
    their objective precede late ones, and these precede jobs that can earn
    nothing more; each group is served in the order of acceptance.
    """
    return sorted(
        demands,
        key=lambda demand: (
            demand.priority, demand.prospect, demand.sequence, demand.step.
            number
        )
    )


__all__ = (
    'Demand',
    'DemandKey',
    'LATE_FACTOR',
    'Prospect',
    'guaranteed_teams',
    'order',
)
