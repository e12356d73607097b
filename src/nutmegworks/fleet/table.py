"""The leader's tables of jobs and runs."""
from __future__ import annotations

import dataclasses
import enum
import typing

import curio

from nutmegworks.model import ids
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

# Seconds that each task of a step is expected to take.
Expected = typing.Callable[[spec.Step], float]

# A run holds its room until its end is listed, also at 100 percent.
SHORTEST_REMAINING_SECONDS = 0.1


class RunPhase(enum.Enum):
    # The order is being written or sent; the run may or may not be there.
    ORDERED = 'ordered'
    RUNNING = 'running'
    # Recorded by an earlier leader, not yet seen on the worker.
    ADOPTED = 'adopted'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on a worker; times are steady seconds.

    :param sent: whether an order may have reached the worker.
    :param confirmed_at: when the worker confirmed the order or the stop; a
        report that was asked for later must list the run.
    :param progressed_at: when the percentage last changed.
    :param expected: seconds that the whole task is expected to take; the
        declared time if it is None.
    :param resumed: the run began at a checkpoint.
    """

    task: spec.TaskKey
    number: workers.RunNumber
    worker_id: ids.WorkerId
    born: workers.Born
    step: spec.Step
    priority: int
    phase: RunPhase
    ordered_at: float
    sent: bool = False
    released: bool = False
    confirmed_at: float | None = None
    progressed_at: float = 0.0
    percent: int = 0
    first_percent: int | None = None
    first_percent_at: float = 0.0
    saved: str = ''
    expected: float | None = None
    resumed: bool = False

    @property
    def key(self) -> tuple[spec.TaskKey, workers.RunNumber]:
        return self.task, self.number

    def note_progress(self, percent: int, saved: str, now: float) -> None:
        """Take a report of the run."""
        if percent != self.percent or self.first_percent is None:
            self.progressed_at = now
        if self.first_percent is None:
            self.first_percent = percent
            self.first_percent_at = now
        self.percent = percent
        self.saved = saved or self.saved

    def remaining(self, now: float) -> float:
        """Return the seconds that the run is expected to need still."""
        elapsed = now - self.first_percent_at
        gained = self.percent - (self.first_percent or 0)
        if self.first_percent is not None and gained >= 5:
            left = elapsed / gained * (100 - self.percent)
            return max(SHORTEST_REMAINING_SECONDS, left)
        expected = self.expected
        if expected is None:
            expected = self.step.estimate
        left = expected * (100 - self.percent) / 100
        if self.first_percent is None:
            left -= now - self.ordered_at
        return max(SHORTEST_REMAINING_SECONDS, left)


class Job:
    """An accepted job and its progress.

    :param arrived_at: steady seconds of the acceptance, as far as known.
    """

    def __init__(
        self,
        job_id: ids.JobId,
        accepted: records.Accepted,
        submission: spec.Submission,
        progress: records.Progress,
        sequence: int,
        arrived_at: float,
    ) -> None:
        self.job_id = job_id
        self.accepted = accepted
        self.submission = submission
        self.progress = progress
        self.sequence = sequence
        self.arrived_at = arrived_at
        self.stored_state = progress.state
        # Set when a final state is stored, so that clients may see it.
        self.settled = curio.Event()
        self.runs_by_task: dict[spec.TaskKey, Run] = {}
        # Workers on which a run of the job failed; it is not sent there again.
        self.failed_on: set[ids.WorkerId] = set()
        # Steady seconds before which nothing of the job starts.
        self.not_before = 0.0
        # Durations of finished tasks by step and worker, to compare workers.
        self.seconds_by_group: dict[
            str,
            dict[ids.WorkerId, list[float]],
        ] = {}
        self._done: dict[str, set[int]] = {
            group: set(indexes)
            for group, indexes in progress.done.items()
        }

    @property
    def final(self) -> bool:
        return records.FINAL[self.progress.state]

    def done(self, occurrence: int, step: int) -> set[int]:
        """Return the indexes of a step's finished tasks."""
        return self._done.setdefault(group_name(occurrence, step), set())

    def step_is_done(self, occurrence: int, step: spec.Step) -> bool:
        return len(self.done(occurrence, step.number)) >= step.count

    def is_done(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return all(
            self.step_is_done(occurrence, step)
            for occurrence in range(self.submission.occurrences)
            for step in self.submission.steps
        )

    def step_of(self, task: spec.TaskKey) -> spec.Step | None:
        """Return a task's step, None if the job has no such task."""
        steps = self.submission.steps
        if not 0 <= task.step < len(steps):
            return None
        step = steps[task.step]
        return step if 0 <= task.index < step.count else None

    def unit(self, task: spec.TaskKey) -> str:
        """Return the key under which runs and failures are counted."""
        if self.submission.steps[task.step].gang:
            return group_name(task.occurrence, task.step)
        return task_name(task)

    def mark_done(self, task: spec.TaskKey) -> None:
        """Note a task as finished; a gang as a whole."""
        step = self.submission.steps[task.step]
        done = self.done(task.occurrence, task.step)
        done.update(range(step.count) if step.gang else (task.index, ))
        self.progress.saved.pop(self.unit(task), None)

    def record(self) -> bytes:
        """Return the progress as the store keeps it."""
        self.progress.done = {
            group: sorted(indexes)
            for group, indexes in self._done.items()
            if indexes
        }
        return records.encode(self.progress)

    def chain(
        self,
        occurrence: spec.Occurrence,
        expected: Expected,
    ) -> float:
        """Return the seconds of the longest chain of unfinished steps."""
        return self._longest(
            lambda step: 0.0
            if self.step_is_done(occurrence, step) else expected(step)
        )

    def whole_chain(self, expected: Expected) -> float:
        """Return the seconds of the longest chain of all steps."""
        return self._longest(expected)

    def _longest(self, seconds_of: Expected) -> float:
        longest: dict[int, float] = {}
        for step in self.submission.steps:
            before = max((longest[other] for other in step.after), default=0.0)
            longest[step.number] = before + seconds_of(step)
        return max(longest.values())


def group_name(occurrence: int, step: int) -> str:
    return f'{occurrence}.{step}'


def task_name(task: spec.TaskKey) -> str:
    return f'{task.occurrence}.{task.step}.{task.index}'


def parse_task(job_id: ids.JobId, name: str) -> spec.TaskKey:
    """Return the key of a task named within its job.

    :raise ValueError: not such a name.
    """
    return spec.TaskKey.parse(f'{job_id}.{name}')


__all__ = (
    'Expected',
    'Job',
    'Run',
    'RunPhase',
    'group_name',
    'parse_task',
    'task_name',
)
