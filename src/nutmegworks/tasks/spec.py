"""A job as its client submitted it."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids

StepNumber = typing.NewType('StepNumber', int)
# Counts the runs of a job that repeats, from 0.
Occurrence = typing.NewType('Occurrence', int)

# Of tasks that take no room; more than any step has.
MOST_COPIES: typing.Final = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """An amount of a worker's resources.

    :param cpu: thousandths of a core.
    :param memory: MiB.
    :param accelerators: whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def plus(self, other: Room) -> Room:
        return Room(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Room) -> Room:
        return Room(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Room:
        return Room(
            self.cpu * count,
            self.memory * count,
            self.accelerators * count,
        )

    def holds(self, other: Room) -> bool:
        """Return whether the other room fits into this one."""
        return (
            self.cpu >= other.cpu and self.memory >= other.memory
            and self.accelerators >= other.accelerators
        )

    def copies(self, other: Room) -> int:
        """Return how many times the other room fits, at most 10,000.

        >>> Room(10, 10, 8).copies(Room(2, 1, 4))
        2
        """
        # Called for each worker and waiting step in each round.
        fits = MOST_COPIES
        if other.cpu > 0:
            fits = min(fits, self.cpu // other.cpu)
        if other.memory > 0:
            fits = min(fits, self.memory // other.memory)
        if other.accelerators > 0:
            fits = min(fits, self.accelerators // other.accelerators)
        return max(0, fits)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind within a job.

    :param room: what each task takes on its worker.
    :param estimate: seconds that a task is declared to take.
    :param after: steps whose tasks must all be done first.
    :param gang: the tasks work only while all of them are present.
    :param one_rack: the tasks are slow if they use more than one rack.
    :param label: label that the worker must have, '' for any.
    :param data_rack: rack outside which the tasks are slow, '' for none.
    :param most_per_worker: tasks of the step on one worker, 0 for any.
    :param endless: the tasks run until the job is cancelled.
    :param fills: the tasks take only processor time left by others.
    :param may_miss: tasks of an endless step that may be away at a time.
    """

    number: StepNumber
    count: int
    room: Room
    estimate: float = 0.0
    after: tuple[StepNumber, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ''
    data_rack: str = ''
    most_per_worker: int = 0
    duplicates: bool = False
    endless: bool = False
    fills: bool = False
    may_miss: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """The body of a submission.

    :param payload: opaque text that each start carries.
    :param occurrences: runs of all steps; 1 unless the job repeats.
    :param start_at: Unix time in seconds of the first occurrence, 0 if the
        job has no times.
    :param interval: seconds between occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 1
    start_at: float = 0.0
    interval: float = 0.0

    @property
    def timed(self) -> bool:
        return self.start_at > 0

    def due(self, occurrence: Occurrence) -> float:
        """Return the Unix time in seconds at which an occurrence may start."""
        return self.start_at + occurrence * self.interval


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """Names one task of one occurrence of a job."""

    job_id: ids.JobId
    occurrence: Occurrence
    step: StepNumber
    index: int

    @property
    def name(self) -> str:
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'

    @classmethod
    def parse(cls, name: str) -> TaskKey:
        """Return the key of a name.

        :raise ValueError: not a task's name.

        >>> TaskKey.parse('5c0e.0.1.17').index
        17
        """
        job_id, occurrence, step, index = name.rsplit('.', 3)
        return cls(
            ids.JobId(job_id),
            Occurrence(int(occurrence)),
            StepNumber(int(step)),
            int(index),
        )


__all__ = (
    'Occurrence',
    'Room',
    'Step',
    'StepNumber',
    'Submission',
    'TaskKey',
)
