"""Checks the invariants of task scheduling against what a soak observes."""
from __future__ import annotations

import collections
import time
import typing

import msgspec

from nutmegworks.model import ids
from nutmegworks.platform import wire
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

SERVICE: typing.Final = 'planner'


class JobView(msgspec.Struct):
    """A job as its caller sees it.

    :param accepted: whether a submission was answered with success.
    :param uncertain: whether a submission without a definite answer may have
        been accepted.
    :param cancelled_at: monotonic seconds of the cancellation: when it was
        sent, then when it was acknowledged.
    :param states: the states that a caller read, without repetitions.
    :param attempts: failures of a task after which the job fails.
    :param always_fails: all of its runs fail through their own fault.
    :param queue: the priority of its queue.
    :param accepted_at: monotonic seconds at which it was known as accepted.
    """

    submission: spec.Submission
    attempts: int = 3
    always_fails: bool = False
    accepted: bool = False
    uncertain: bool = False
    cancelled_at: float | None = None
    states: list[str] = []
    queue: int = 1
    accepted_at: float | None = None


class HistoryChecker:
    """Checks events as they are recorded.

    :ivar violations: one text per violation, which starts with the rule:
        ``limit`` (a worker exceeds its resources), ``lost`` (a job is
        unknown, failed, cancelled or unfinished without cause, or a step
        waits beside room), ``mixed`` (a job succeeds before its steps, or a
        count of pending jobs is too low), ``order`` (a step starts before its
        dependency), ``refused`` (a refused job runs), ``twice`` (a task runs
        again) or ``unasked`` (a run with another payload or of a cancelled
        job).
    """

    def __init__(self) -> None:
        self.jobs_by_id: dict[ids.JobId, JobView] = {}
        self.violations: list[str] = []
        self.start_count = 0
        self._active_by_task: dict[str, set[tuple[
            str, int]]] = (collections.defaultdict(set))
        self._used_by_worker: dict[str, spec.Resources] = {}
        self._finished_units: set[str] = set()
        self._acknowledged_units: set[str] = set()
        self._failures_by_unit: collections.Counter[str] = (
            collections.Counter()
        )
        self._started_ids: set[ids.JobId] = set()
        self._last_end_by_job: dict[ids.JobId, float] = {}

    def record_submission(
        self,
        job_id: ids.JobId,
        body: bytes,
        *,
        attempts: int = 3,
        always_fails: bool = False,
        queue: int = 1,
    ) -> JobView:
        view = JobView(
            wire.decode_submission(body), attempts, always_fails, queue=queue
        )
        self.jobs_by_id[job_id] = view
        return view

    def job(self, name: str) -> JobView:
        """Return the job of a task, by the task's name."""
        return self.jobs_by_id[spec.TaskKey.parse(name).job_id]

    def step(self, task: spec.TaskKey) -> spec.Step:
        return self.jobs_by_id[task.job_id].submission.steps[task.step]

    def report(self, rule: str, detail: str) -> None:
        self.violations.append(f'{rule}: {detail}')

    def record_start(
        self,
        worker_id: str,
        name: str,
        run: int,
        payload: str,
        resources: spec.Resources,
    ) -> spec.Step:
        """Record and check the start of a run; return its step."""
        self.start_count += 1
        task = spec.TaskKey.parse(name)
        view = self.jobs_by_id[task.job_id]
        step = self.step(task)
        self._started_ids.add(task.job_id)
        if payload != view.submission.payload:
            self.report('unasked', f'{name} with another payload')
        if self._active_by_task[name]:
            self.report('twice', f'{name} run {run} on {worker_id}')
        if self._unit_name(name) in self._acknowledged_units:
            self.report(
                'twice', f'{name} run {run} after its end was acknowledged'
            )
        for dependency in step.depends_on:
            if not self.step_done(task, dependency):
                self.report('order', f'{name} before step {dependency}')
        self._active_by_task[name].add((worker_id, run))
        used = self._used_by_worker.get(worker_id, spec.Resources())
        used = used.plus(step.resources)
        self._used_by_worker[worker_id] = used
        if not resources.can_fit(used):
            self.report('limit', f'{worker_id} uses {used}')
        return step

    def _unit_name(self, name: str) -> str:
        """Return the name of the unit that ends as a whole: task or gang."""
        if self.step(spec.TaskKey.parse(name)).gang:
            return name.rsplit('.', 1)[0]
        return name

    def step_done(self, task: spec.TaskKey, number: int) -> bool:
        group = f'{task.job_id}.{task.occurrence}.{number}'
        step = self.jobs_by_id[task.job_id].submission.steps[number]
        if step.gang:
            return group in self._finished_units
        return all(
            f'{group}.{index}' in self._finished_units
            for index in range(step.count)
        )

    def record_end(
        self,
        worker_id: str,
        name: str,
        run: int,
        kind: workers.EndKind | None,
    ) -> None:
        """Record the end of a run.

        :param kind: None if the worker crashed.
        """
        self._active_by_task[name].discard((worker_id, run))
        task = spec.TaskKey.parse(name)
        self._last_end_by_job[task.job_id] = time.monotonic()
        resources = self.step(task).resources
        used = self._used_by_worker[worker_id]
        self._used_by_worker[worker_id] = used.minus(resources)
        if kind is workers.EndKind.DONE:
            self._finished_units.add(self._unit_name(name))
        if kind is workers.EndKind.FAILED:
            self._failures_by_unit[self._unit_name(name)] += 1

    def free(self, worker_id: str, total: spec.Resources) -> spec.Resources:
        """Return what no run uses of a worker's resources."""
        used = self._used_by_worker.get(worker_id, spec.Resources())
        return total.minus(used)

    def last_end(self, job_id: ids.JobId) -> float:
        """Return when a run of a job last ended, in monotonic seconds."""
        return self._last_end_by_job.get(job_id, 0.0)

    def worker_ids(self, job_id: ids.JobId) -> set[str]:
        """Return the workers that run tasks of a job."""
        return {
            worker_id
            for name, active in self._active_by_task.items()
            if name.startswith(f'{job_id}.') for worker_id, _ in active
        }

    def running(self, job_id: ids.JobId, step: spec.StepNumber) -> int:
        """Return how many tasks of a step run."""
        prefix = f'{job_id}.0.{step}.'
        return sum(
            bool(active)
            for name, active in self._active_by_task.items()
            if name.startswith(prefix)
        )

    def may_have_failed(self, job_id: ids.JobId) -> bool:
        """Return whether a task has failed as often as its job allows."""
        view = self.jobs_by_id[job_id]
        return any(
            count >= view.attempts
            for unit, count in self._failures_by_unit.items()
            if unit.startswith(f'{job_id}.')
            and not view.submission.steps[int(unit.split('.')[2])].endless
        )

    def record_acknowledged(
        self,
        ends: typing.Iterable[tuple[str, int, workers.EndKind]],
    ) -> None:
        """Record ends that the leader has acknowledged to a worker."""
        for name, _, kind in ends:
            if kind is workers.EndKind.DONE:
                self._acknowledged_units.add(self._unit_name(name))

    def record_state(self, job_id: ids.JobId, state: str) -> None:
        """Record and check a state that a caller read."""
        view = self.jobs_by_id[job_id]
        if not view.states or view.states[-1] != state:
            view.states.append(state)
        if state == 'succeeded':
            task = spec.TaskKey(
                job_id, spec.Occurrence(0), spec.StepNumber(0), 0
            )
            for step in view.submission.steps:
                if not self.step_done(task, step.number):
                    self.report('mixed', f'{job_id} succeeded unfinished')
        if state == 'failed' and not self.may_have_failed(job_id):
            self.report('lost', f'{job_id} shown as failed')
        if state == 'cancelled' and view.cancelled_at is None:
            self.report('lost', f'{job_id} shown as cancelled')

    def record_count(self, queue: int, pending: int, until: float) -> None:
        """Check a queue's number of pending jobs as a caller was told it.

        :param until: monotonic seconds; jobs accepted before it must count.
        """
        waiting = sum(
            view.queue == queue and view.accepted_at is not None
            and view.accepted_at < until and view.cancelled_at is None
            and job_id not in self._started_ids
            for job_id, view in self.jobs_by_id.items()
        )
        if 2 * pending < waiting:
            self.report('mixed', f'{pending} pending while {waiting} wait')

    def unfinished(self) -> list[ids.JobId]:
        """Return accepted jobs whose end was not shown."""
        return [
            job_id for job_id, view in self.jobs_by_id.items()
            if view.accepted and view.cancelled_at is None
            and not {'succeeded', 'failed'} & set(view.states)
        ]

    def finish(self) -> None:
        """Check what must hold after the faults and the time to settle."""
        for job_id in self.unfinished():
            self.report('lost', f'{job_id} never shown as ended')
        for job_id in self._started_ids:
            view = self.jobs_by_id[job_id]
            if not view.accepted and not view.uncertain:
                self.report('refused', f'{job_id} was started')
        for name, active in self._active_by_task.items():
            job_id = spec.TaskKey.parse(name).job_id
            view = self.jobs_by_id[job_id]
            if active and view.cancelled_at is not None:
                age = time.monotonic() - view.cancelled_at
                self.report('unasked', f'{name} runs {age:.1f} s after cancel')


__all__ = ('HistoryChecker', 'JobView', 'SERVICE')
