"""Demands: tasks that wait for workers, in the order of service.

Used by the platform daemon (nutmegworks.daemon.fleet). Its counterpart in
nutmegd, where whole gang jobs wait, is nutmegworks.policy.queue.
"""
from __future__ import annotations

import dataclasses
import enum
import typing

from nutmegworks.model import ids
from nutmegworks.tasks import spec

# A job that ends after this many times its objective has no value.
LATE_FACTOR: typing.Final = 3.0


class Timeliness(enum.IntEnum):
    """When a job can still end; lower values are served first.

    ON_TIME: within its objective, for its full value.
    LATE: within LATE_FACTOR times its objective, for a part of its value.
    HOPELESS: later, without any value.

    The names are values of the log field ``prospect``.
    """

    ON_TIME = 0
    LATE = 1
    HOPELESS = 2


class Recourse(enum.Enum):
    """Which workers a demand may use that get no other work.

    NONE: none of them.
    PROBE: no other worker can take it in time, so it may be the one run that
        a suspended worker gets.
    ANY: it may not wait any longer, so that any worker may get one of its
        tasks.
    """

    NONE = 'none'
    PROBE = 'probe'
    ANY = 'any'


DemandKey = tuple[ids.JobId, spec.Occurrence, spec.StepNumber]


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Tasks of one step that wait for workers.

    :param indexes: the waiting tasks; a gang's are placed together.
    :param priority: class of the work; 0, the highest, is urgent.
    :param waited: seconds since the job was accepted or due.
    :param idle: seconds for which the job has had nothing running though the
        tasks could, None while it has. For tasks that last it is the longest
        time for which one of them has not run, whatever else of the job does.
    :param remaining: seconds of the longest chain of unfinished steps.
    :param objective: seconds from acceptance within which the job has its
        full value.
    :param sequence: position in the order of acceptance.
    :param team_id: whose guarantee the tasks use at priority 0.
    :param excluded_worker_ids: workers that get none of the tasks now, because
        the job has failed on them.
    :param recourse: which suspended workers may get one of the tasks, or the
        gang.
    :param used_by_worker: number of the step's tasks that already run on a
        worker.
    :param expected: seconds that each task is expected to take; the declared
        time if it is not given.
    :param guaranteed: the team's guarantee covers the tasks, so that lower
        classes are preempted for them at any cost.
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
    excluded_worker_ids: frozenset[ids.WorkerId] = frozenset()
    recourse: Recourse = Recourse.NONE
    used_by_worker: typing.Mapping[ids.WorkerId, int] = dataclasses.field(
        default_factory=dict
    )
    expected: float | None = None
    guaranteed: bool = False
    idle: float | None = None

    @property
    def duration(self) -> float:
        """Seconds that each task is expected to take."""
        return self.step.estimate if self.expected is None else self.expected

    @property
    def prefers_fast_workers(self) -> bool:
        """Whether the tasks should avoid slow workers.

        The slowest member sets the pace of a gang, and urgent work has little
        time to spare. Other work takes the slow workers first.
        """
        return self.step.gang or self.priority == 0

    @property
    def key(self) -> DemandKey:
        return self.job_id, self.occurrence, self.step.number

    @property
    def timeliness(self) -> Timeliness:
        total = self.waited + self.remaining
        if total <= self.objective:
            return Timeliness.ON_TIME
        if total <= LATE_FACTOR * self.objective:
            return Timeliness.LATE
        return Timeliness.HOPELESS


def teams_within_guarantee(
    needed_by_team: typing.Mapping[ids.TeamId, int],
    guaranteed_by_team: typing.Mapping[ids.TeamId, int],
) -> frozenset[ids.TeamId]:
    """Return the teams whose urgent jobs all fit into their guarantee.

    :param needed_by_team: accelerators of a team's unfinished urgent jobs.
    :param guaranteed_by_team: accelerators that a team can reclaim.

    >>> sorted(teams_within_guarantee({'a': 8, 'b': 9}, {'a': 8, 'b': 8}))
    ['a']
    """
    return frozenset(
        team_id for team_id, needed in needed_by_team.items()
        if needed <= guaranteed_by_team.get(team_id, 0)
    )


def sort_demands(demands: typing.Iterable[Demand]) -> list[Demand]:
    """Return demands in the order in which they are served.

    Classes of work are ordered by their priority. Within a class, jobs that
    can meet their objective precede late ones, and these precede jobs that
    have no value any more; each group is served in the order of acceptance.
    """
    return sorted(
        demands,
        key=lambda demand: (
            demand.priority,
            demand.timeliness,
            demand.sequence,
            demand.step.number,
        ),
    )


__all__ = (
    'Demand',
    'DemandKey',
    'LATE_FACTOR',
    'Recourse',
    'Timeliness',
    'sort_demands',
    'teams_within_guarantee',
)
