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
    """

    submission: spec.Submission
    accepted: bool = False
    uncertain: bool = False
    cancelled_at: float | None = None
    states: list[str] = []


class HistoryChecker:
    """Checks events as they are recorded.

    :ivar violations: one text per violation, which starts with the rule:
        ``limit`` (a worker exceeds its resources), ``lost`` (a job is
        unknown, failed, cancelled or unfinished without cause), ``mixed``
        (a job succeeds before its steps), ``order`` (a step starts before
        its dependency), ``refused`` (a refused job runs), ``twice`` (a task
        runs again) or ``unasked`` (a run with another payload or of a
        cancelled job).
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

    def record_submission(self, job_id: ids.JobId, body: bytes) -> JobView:
        view = JobView(wire.decode_submission(body))
        self.jobs_by_id[job_id] = view
        return view

    def step(self, task: spec.TaskKey) -> spec.Step:
        return self.jobs_by_id[task.job_id].submission.steps[task.step]

    def _report(self, rule: str, detail: str) -> None:
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
        if payload != view.submission.payload:
            self._report('unasked', f'{name} with another payload')
        if self._active_by_task[name]:
            self._report('twice', f'{name} run {run} on {worker_id}')
        if self._unit_name(name) in self._acknowledged_units:
            self._report(
                'twice', f'{name} run {run} after its end was acknowledged'
            )
        for dependency in step.depends_on:
            if not self._step_done(task, dependency):
                self._report('order', f'{name} before step {dependency}')
        self._active_by_task[name].add((worker_id, run))
        used = self._used_by_worker.get(worker_id, spec.Resources())
        used = used.plus(step.resources)
        self._used_by_worker[worker_id] = used
        if not resources.can_fit(used):
            self._report('limit', f'{worker_id} uses {used}')
        return step

    def _unit_name(self, name: str) -> str:
        """Return the name of the unit that ends as a whole: task or gang."""
        if self.step(spec.TaskKey.parse(name)).gang:
            return name.rsplit('.', 1)[0]
        return name

    def _step_done(self, task: spec.TaskKey, number: int) -> bool:
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
        resources = self.step(spec.TaskKey.parse(name)).resources
        used = self._used_by_worker[worker_id]
        self._used_by_worker[worker_id] = used.minus(resources)
        if kind is workers.EndKind.DONE:
            self._finished_units.add(self._unit_name(name))

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
                if not self._step_done(task, step.number):
                    self._report('mixed', f'{job_id} succeeded unfinished')
        if state == 'failed':
            self._report('lost', f'{job_id} shown as failed')
        if state == 'cancelled' and view.cancelled_at is None:
            self._report('lost', f'{job_id} shown as cancelled')

    def unfinished(self) -> list[ids.JobId]:
        """Return accepted jobs whose success was not shown."""
        return [
            job_id for job_id, view in self.jobs_by_id.items() if view.accepted
            and view.cancelled_at is None and 'succeeded' not in view.states
        ]

    def finish(self) -> None:
        """Check what must hold after the faults and the time to settle."""
        for job_id in self.unfinished():
            self._report('lost', f'{job_id} never shown as succeeded')
        for name, active in self._active_by_task.items():
            job_id = spec.TaskKey.parse(name).job_id
            view = self.jobs_by_id[job_id]
            if active and view.cancelled_at is not None:
                age = time.monotonic() - view.cancelled_at
                self._report(
                    'unasked', f'{name} runs {age:.1f} s after cancel'
                )
            if not view.accepted and not view.uncertain and active:
                self._report('refused', f'{name} runs')


__all__ = ('HistoryChecker', 'JobView', 'SERVICE')
