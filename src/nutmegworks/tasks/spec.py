"""Jobs as submitted by clients: steps, tasks and the resources they need."""
from __future__ import annotations

import dataclasses
import re
import typing

from nutmegworks.model import ids

StepNumber = typing.NewType('StepNumber', int)
# Index of one repetition of a job that repeats, from 0.
Occurrence = typing.NewType('Occurrence', int)

# A job, then numbers of an occurrence, a step and a task. The numbers have few
# enough digits for any arithmetic.
_TASK_NAME: typing.Final = re.compile(
    r'(.+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})', re.DOTALL
)
_MAX_NAME_IN_ERROR: typing.Final = 80

# Limit for tasks that need no resources; no step has as many tasks.
MAX_COPIES: typing.Final = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of cpu, memory and accelerators.

    :param cpu: thousandths of a core.
    :param memory: MiB.
    :param accelerators: whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        return Resources(
            self.cpu * count,
            self.memory * count,
            self.accelerators * count,
        )

    def can_fit(self, other: Resources) -> bool:
        """Return whether the other amount fits into this one."""
        return (
            self.cpu >= other.cpu and self.memory >= other.memory
            and self.accelerators >= other.accelerators
        )

    def max_copies(self, other: Resources) -> int:
        """Return how many times the other amount fits, at most 10,000.

        >>> Resources(10, 10, 8).max_copies(Resources(2, 1, 4))
        2
        """
        # Hot path: called for each worker and waiting step in each round.
        # Accelerators run out first.
        fits = MAX_COPIES
        if other.accelerators > 0:
            copies = self.accelerators // other.accelerators
            if copies <= 0:
                return 0
            fits = copies if copies < fits else fits
        if other.cpu > 0:
            copies = self.cpu // other.cpu
            fits = copies if copies < fits else fits
        if other.memory > 0:
            copies = self.memory // other.memory
            fits = copies if copies < fits else fits
        return fits if fits > 0 else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind within a job.

    :param count: number of tasks.
    :param resources: what each task needs on its worker.
    :param estimate: declared run time of a task, in seconds.
    :param depends_on: steps whose tasks must all be done first.
    :param checkpoints: the tasks write checkpoints.
    :param gang: the tasks make progress only while all of them run.
    :param one_rack: the tasks are slow if they use more than one rack.
    :param required_label: label that the worker must have, '' for any.
    :param data_rack: rack outside which the tasks are slow, '' for none.
    :param max_per_worker: limit of the step's tasks on one worker, 0 for none.
    :param allows_duplicates: a task may have more than one run at a time.
    :param endless: the tasks run until the job is cancelled.
    :param best_effort: the tasks use only processor time that others leave.
    :param max_unavailable: tasks of an endless step that may be down at once.
    """

    number: StepNumber
    count: int
    resources: Resources
    estimate: float = 0.0
    depends_on: tuple[StepNumber, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    allows_duplicates: bool = False
    endless: bool = False
    best_effort: bool = False
    max_unavailable: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """The body of a submission.

    :param payload: opaque text that is sent with each start request.
    :param occurrences: how often all steps are run; 1 unless the job repeats.
    :param start_at: Unix time in seconds at which the first occurrence may
        start, 0 if it may start at once.
    :param interval: seconds between the starts of occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 1
    start_at: float = 0.0
    interval: float = 0.0

    @property
    def has_start_time(self) -> bool:
        return self.start_at > 0

    def earliest_start(self, occurrence: Occurrence) -> float:
        """Return the Unix time in seconds from which an occurrence may run."""
        return self.start_at + occurrence * self.interval


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """Identifies one task of one occurrence of a job."""

    job_id: ids.JobId
    occurrence: Occurrence
    step: StepNumber
    index: int

    @property
    def name(self) -> str:
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'

    @classmethod
    def parse(cls, name: str) -> TaskKey:
        """Return the key that has a name.

        :raise ValueError: the text is not the name of a task.

        >>> TaskKey.parse('5c0e.0.1.17').index
        17
        """
        match = _TASK_NAME.fullmatch(name)
        if match is None:
            raise ValueError(f'{name[:_MAX_NAME_IN_ERROR]!r} is not a task')
        job_id, occurrence, step, index = match.groups()
        return cls(
            ids.JobId(job_id),
            Occurrence(int(occurrence)),
            StepNumber(int(step)),
            int(index),
        )


__all__ = (
    'Occurrence',
    'Resources',
    'Step',
    'StepNumber',
    'Submission',
    'TaskKey',
)
