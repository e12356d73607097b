"""Jobs and runs as the leader tracks them."""
from __future__ import annotations

import dataclasses
import enum
import math
import typing

import curio

from nutmegworks.model import ids
from nutmegworks.policy import wait_causes
from nutmegworks.policy import worker_speeds
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

# Returns the seconds that each task of a step is expected to take.
ExpectedSeconds = typing.Callable[[spec.Step], float]

# Least remaining time of a run: it uses its resources until its end is
# reported, also at 100 percent.
MIN_REMAINING_SECONDS = 0.1


class RunPhase(enum.Enum):
    # The start request is being stored or sent; the worker may or may not
    # have the run.
    ORDERED = 'ordered'
    RUNNING = 'running'
    # Recorded by an earlier leader, not yet reported by the worker.
    ADOPTED = 'adopted'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    Times are seconds of ``membership.steady_clock``.

    :param incarnation: the worker's last one that may have the run.
    :param ordered_at: when the start was decided.
    :param sent: whether a start request may have reached the worker.
    :param started: the worker confirmed the start, or a report listed the run.
    :param worker_ended: the incarnation to which it was sent has ended. A
        later one under the same id may still list the run.
    :param released: the run is over and no longer in the tables.
    :param confirmed_at: when the worker confirmed the start or stop request;
        a report that was asked for later must list the run.
    :param stopped_at: when the run became ``STOPPING``.
    :param progressed_at: when the percentage last changed.
    :param first_percent: progress in the first report, which came at
        ``first_percent_at``.
    :param saved: newest checkpoint, '' for none.
    :param expected: seconds that the whole task is expected to take; the
        declared time if it is None.
    :param resumed: the run started from a checkpoint.
    :param rate: how fast the run proceeds.
    """

    task: spec.TaskKey
    number: workers.RunNumber
    worker_id: ids.WorkerId
    incarnation: workers.WorkerIncarnation
    step: spec.Step
    priority: int
    phase: RunPhase
    ordered_at: float
    sent: bool = False
    started: bool = False
    worker_ended: bool = False
    released: bool = False
    confirmed_at: float | None = None
    stopped_at: float = 0.0
    progressed_at: float = 0.0
    percent: int = 0
    first_percent: int | None = None
    first_percent_at: float = 0.0
    saved: str = ''
    expected: float | None = None
    resumed: bool = False
    rate: worker_speeds.ProgressRate = dataclasses.field(
        default_factory=worker_speeds.ProgressRate
    )

    @property
    def key(self) -> tuple[spec.TaskKey, workers.RunNumber]:
        return self.task, self.number

    @property
    def reported(self) -> bool:
        """Whether a report of its worker has listed the run."""
        return self.first_percent is not None

    @property
    def at_work(self) -> bool:
        """Whether its reports show work; a task that lasts has no progress."""
        return self.first_percent is not None and (
            self.step.endless or self.percent > self.first_percent
        )

    def record_progress(self, percent: int, saved: str, now: float) -> None:
        """Update the run from a report of its worker."""
        self.started = True
        self.worker_ended = False
        if percent != self.percent or self.first_percent is None:
            self.progressed_at = now
        if self.first_percent is None:
            self.first_percent = percent
            self.first_percent_at = now
        self.percent = percent
        self.saved = saved or self.saved

    def remaining(self, now: float) -> float:
        """Return the seconds that the run is expected to take from now.

        Infinite for a task without an end, whose percentage only says that it
        is at work.
        """
        if self.step.endless:
            return math.inf
        elapsed = now - self.first_percent_at
        gained = self.percent - (self.first_percent or 0)
        if self.first_percent is not None and gained >= 5:
            remaining = elapsed / gained * (100 - self.percent)
            return max(MIN_REMAINING_SECONDS, remaining)
        expected = self.expected
        if expected is None:
            expected = self.step.estimate
        remaining = expected * (100 - self.percent) / 100
        if self.first_percent is None:
            remaining -= now - self.ordered_at
        return max(MIN_REMAINING_SECONDS, remaining)


class Job:
    """An accepted job and its progress.

    :param sequence: position in the order of acceptance.
    :param arrived_at: estimated time of the acceptance, in seconds of
        ``membership.steady_clock``.
    :param waits_since: from when it waits for the first decision.
    """

    def __init__(
        self,
        job_id: ids.JobId,
        accepted: records.AcceptedJob,
        submission: spec.Submission,
        progress: records.Progress,
        sequence: int,
        arrived_at: float,
        waits_since: float,
    ) -> None:
        self.job_id = job_id
        self.accepted = accepted
        self.submission = submission
        self.progress = progress
        self.sequence = sequence
        self.arrived_at = arrived_at
        # Of this leader only.
        self.wait_times = wait_causes.WaitTimes(waits_since)
        self.stored_state = progress.state
        if progress.begun is None:
            progress.begun = progress.state is not records.JobState.QUEUED
        # Set when a final state is stored, so that clients may see it.
        self.final_state_stored = curio.Event()
        self.runs_by_task: dict[spec.TaskKey, Run] = {}
        # When a run of the job last ended, in seconds of
        # membership.steady_clock; its arrival before that.
        self.idle_since = arrived_at
        # The same for tasks that last, each of which must run.
        self.idle_since_by_task: dict[spec.TaskKey, float] = {}
        # When a run of the job last failed on a worker, in seconds of
        # membership.steady_clock; others are preferred for a time.
        self.failed_at_by_worker: dict[ids.WorkerId, float] = {}
        # Workers on which a task has failed, by its attempt_key.
        self.failed_ids_by_key: dict[str, set[ids.WorkerId]] = {}
        # Seconds of membership.steady_clock before which no task of the job
        # starts.
        self.not_before = 0.0
        # Durations of finished tasks by step_key and worker, to compare the
        # speeds of workers.
        self.seconds_by_step: dict[
            str,
            dict[ids.WorkerId, list[float]],
        ] = {}
        self._done: dict[str, set[int]] = {
            key: set(indexes)
            for key, indexes in progress.done.items()
        }

    @property
    def final(self) -> bool:
        return records.IS_FINAL[self.progress.state]

    @property
    def begun(self) -> bool:
        """Whether a task is known to have started."""
        return bool(self.progress.begun)

    @property
    def may_have_begun(self) -> bool:
        """Whether only the report of a worker can tell if a task has started.

        An earlier leader may have ended before it sent a start request or
        received the answer.
        """
        return not self.begun and any(
            run.phase is RunPhase.ADOPTED for run in self.runs_by_task.values()
        )

    def record_start(self) -> None:
        """Record that a task has started; stored with the next change."""
        self.progress.begun = True

    def done(self, occurrence: int, step: int) -> set[int]:
        """Return the indexes of a step's finished tasks."""
        return self._done.setdefault(step_key(occurrence, step), set())

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

    def attempt_key(self, task: spec.TaskKey) -> str:
        """Return the key under which runs and failures are counted.

        Members of a gang share a key, because they run and fail together.
        """
        if self.submission.steps[task.step].gang:
            return step_key(task.occurrence, task.step)
        return task_name(task)

    def record_idle(self, run: Run, now: float) -> None:
        """Record that a run that had started has ended."""
        self.idle_since = now
        if run.step.endless:
            self.idle_since_by_task[run.task] = now

    def not_run_since(
        self,
        step: spec.Step,
        task: spec.TaskKey,
        now: float,
    ) -> float:
        """Return since when a task that lasts has not run though it could.

        :return: seconds of ``membership.steady_clock``.
        """
        due_since = now if step.depends_on else self.arrived_at
        return self.idle_since_by_task.setdefault(task, due_since)

    def idle_seconds(
        self,
        step: spec.Step,
        task: spec.TaskKey,
        now: float,
    ) -> float | None:
        """Return for how long nothing of the job has run, None if it does.

        A task that lasts must run whatever else does: for how long it has not.

        :param task: a task of the step that does not run and could.
        """
        if step.endless:
            return now - self.not_run_since(step, task, now)
        return None if self.runs_by_task else now - self.idle_since

    def is_last_attempt(self, task: spec.TaskKey) -> bool:
        """Return whether the job fails if the task fails once more."""
        step = self.submission.steps[task.step]
        failures = self.progress.failures.get(self.attempt_key(task), 0)
        return not step.endless and failures + 1 >= self.accepted.attempts

    def mark_done(self, task: spec.TaskKey) -> None:
        """Mark a task as finished, or its whole gang."""
        step = self.submission.steps[task.step]
        done = self.done(task.occurrence, task.step)
        done.update(range(step.count) if step.gang else (task.index, ))
        self.progress.saved.pop(self.attempt_key(task), None)

    def encode_progress(self) -> bytes:
        """Return the progress in the encoding of the store."""
        self.progress.done = {
            key: sorted(indexes)
            for key, indexes in self._done.items()
            if indexes
        }
        return records.encode(self.progress)

    def remaining_chain_seconds(
        self,
        occurrence: spec.Occurrence,
        expected: ExpectedSeconds,
    ) -> float:
        """Return the seconds of the longest chain of unfinished steps."""
        return self._longest_chain_seconds(
            lambda step: 0.0
            if self.step_is_done(occurrence, step) else expected(step)
        )

    def total_chain_seconds(self, expected: ExpectedSeconds) -> float:
        """Return the seconds of the longest chain of all steps."""
        return self._longest_chain_seconds(expected)

    def _longest_chain_seconds(self, expected: ExpectedSeconds) -> float:
        chain_by_step: dict[int, float] = {}
        for step in self.submission.steps:
            preceding = max(
                (chain_by_step[other] for other in step.depends_on),
                default=0.0
            )
            chain_by_step[step.number] = preceding + expected(step)
        return max(chain_by_step.values())


def step_key(occurrence: int, step: int) -> str:
    return f'{occurrence}.{step}'


def task_name(task: spec.TaskKey) -> str:
    return f'{task.occurrence}.{task.step}.{task.index}'


def parse_task(job_id: ids.JobId, name: str) -> spec.TaskKey:
    """Return the key of a task from its name within the job.

    :raise ValueError: not the name of a task.
    """
    return spec.TaskKey.parse(f'{job_id}.{name}')


__all__ = (
    'ExpectedSeconds',
    'Job',
    'Run',
    'RunPhase',
    'parse_task',
    'step_key',
    'task_name',
)
