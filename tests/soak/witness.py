"""What workers and callers saw, and the promises that it must keep."""
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
    """A job as its caller knows it.

    :param accepted: a submission was answered with success.
    :param uncertain: a submission may have been accepted unseen.
    :param cancelled_at: when a cancel was acknowledged, in steady seconds.
    :param states: as shown, without repetitions.
    """

    submission: spec.Submission
    accepted: bool = False
    uncertain: bool = False
    cancelled_at: float | None = None
    states: list[str] = []


class Witness:
    """Checks starts as they happen; ``broken`` has what went wrong."""

    def __init__(self) -> None:
        self.jobs_by_id: dict[ids.JobId, JobView] = {}
        self.broken: list[str] = []
        self.starts = 0
        self._active: dict[str,
                           set[tuple[str,
                                     int]]] = (collections.defaultdict(set))
        self._room_by_worker: dict[str, spec.Resources] = {}
        self._done: set[str] = set()
        self._noted: set[str] = set()

    def submit(self, job_id: ids.JobId, body: bytes) -> JobView:
        view = JobView(wire.decode_submission(body))
        self.jobs_by_id[job_id] = view
        return view

    def step(self, task: spec.TaskKey) -> spec.Step:
        return self.jobs_by_id[task.job_id].submission.steps[task.step]

    def _break(self, rule: str, detail: str) -> None:
        self.broken.append(f'{rule}: {detail}')

    def started(
        self,
        worker_id: str,
        name: str,
        run: int,
        payload: str,
        room: spec.Resources,
    ) -> spec.Step:
        """Take a start that a worker has begun."""
        self.starts += 1
        task = spec.TaskKey.parse(name)
        view = self.jobs_by_id[task.job_id]
        step = self.step(task)
        if payload != view.submission.payload:
            self._break('unasked', f'{name} with another payload')
        if self._active[name]:
            self._break('twice', f'{name} run {run} on {worker_id}')
        if self._unit(name) in self._noted:
            self._break('twice', f'{name} run {run} after its end was noted')
        for other in step.depends_on:
            if not self._step_done(task, other):
                self._break('order', f'{name} before step {other}')
        self._active[name].add((worker_id, run))
        held = self._room_by_worker.get(worker_id, spec.Resources())
        held = held.plus(step.resources)
        self._room_by_worker[worker_id] = held
        if not room.can_fit(held):
            self._break('limit', f'{worker_id} holds {held}')
        return step

    def _unit(self, name: str) -> str:
        """Return the name under which an end stands, one for a gang."""
        if self.step(spec.TaskKey.parse(name)).gang:
            return name.rsplit('.', 1)[0]
        return name

    def _step_done(self, task: spec.TaskKey, number: int) -> bool:
        group = f'{task.job_id}.{task.occurrence}.{number}'
        step = self.jobs_by_id[task.job_id].submission.steps[number]
        if step.gang:
            return group in self._done
        return all(
            f'{group}.{index}' in self._done for index in range(step.count)
        )

    def ended(
        self,
        worker_id: str,
        name: str,
        run: int,
        kind: workers.EndKind | None,
    ) -> None:
        """Take an end; None if the worker crashed."""
        self._active[name].discard((worker_id, run))
        room = self.step(spec.TaskKey.parse(name)).resources
        held = self._room_by_worker[worker_id]
        self._room_by_worker[worker_id] = held.minus(room)
        if kind is workers.EndKind.DONE:
            self._done.add(self._unit(name))

    def acknowledged(
        self,
        ends: typing.Iterable[tuple[str, int, workers.EndKind]],
    ) -> None:
        """Take ends that the system has taken note of."""
        for name, _, kind in ends:
            if kind is workers.EndKind.DONE:
                self._noted.add(self._unit(name))

    def shown(self, job_id: ids.JobId, state: str) -> None:
        """Take a state that a caller was shown."""
        view = self.jobs_by_id[job_id]
        if not view.states or view.states[-1] != state:
            view.states.append(state)
        if state == 'succeeded':
            task = spec.TaskKey(
                job_id, spec.Occurrence(0), spec.StepNumber(0), 0
            )
            for step in view.submission.steps:
                if not self._step_done(task, step.number):
                    self._break('mixed', f'{job_id} succeeded unfinished')
        if state == 'failed':
            self._break('lost', f'{job_id} shown as failed')
        if state == 'cancelled' and view.cancelled_at is None:
            self._break('lost', f'{job_id} shown as cancelled')

    def unfinished(self) -> list[ids.JobId]:
        """Return accepted jobs whose final state was not shown."""
        return [
            job_id for job_id, view in self.jobs_by_id.items() if view.accepted
            and view.cancelled_at is None and 'succeeded' not in view.states
        ]

    def finish(self) -> None:
        """Check what must hold after the faults have ended."""
        for job_id in self.unfinished():
            self._break('lost', f'{job_id} never shown as succeeded')
        for name, active in self._active.items():
            job_id = spec.TaskKey.parse(name).job_id
            view = self.jobs_by_id[job_id]
            if active and view.cancelled_at is not None:
                age = time.monotonic() - view.cancelled_at
                self._break('unasked', f'{name} runs {age:.1f} s after cancel')
            if not view.accepted and not view.uncertain and active:
                self._break('refused', f'{name} runs')


__all__ = ('JobView', 'SERVICE', 'Witness')
