"""Reports steps that wait beside room for them."""
from __future__ import annotations

import typing

from nutmegworks.model import ids
from nutmegworks.tasks import spec
from tests.soak import checker as checkers

# The platform's limits, in seconds: for 3 s a job may have nothing running
# where there is room for it twice over; a task that lasts has 6 s from its
# last run before that.
MAX_IDLE_SECONDS: typing.Final = 3.0
LASTING_GRACE_SECONDS: typing.Final = 6.0


class WorkerView(typing.NamedTuple):
    """A worker that accepts work.

    :param labels: what steps may require of it.
    """

    resources: spec.Resources
    labels: typing.Collection[str]


class WaitingCheck:
    """Judges the steps of unfinished jobs while nothing disturbs the fleet."""

    def __init__(self, checker: checkers.HistoryChecker) -> None:
        self._checker = checker
        # By job and step: from when it has waited beside room.
        self._since: dict[tuple[ids.JobId, spec.StepNumber], float] = {}

    def check(
        self,
        workers_by_id: typing.Mapping[str, WorkerView],
        now: float,
    ) -> None:
        """Report steps that have waited too long; call it often.

        :param workers_by_id: the workers that accept work.
        :param now: monotonic seconds.
        """
        since = {}
        for job_id in self._checker.unfinished():
            for step in self._checker.jobs_by_id[job_id].submission.steps:
                if not (self._waits(job_id, step)
                        and self._has_room(step, workers_by_id)):
                    continue
                began = max(
                    self._since.get((job_id, step.number), now),
                    self._checker.last_end(job_id),
                )
                grace = LASTING_GRACE_SECONDS if step.endless else 0.0
                if now - began > MAX_IDLE_SECONDS + grace:
                    self._checker.report(
                        'lost', f'{job_id} step {step.number} waits for '
                        f'{now - began:.1f} s beside room'
                    )
                    began = now
                since[job_id, step.number] = began
        self._since = since

    def _waits(self, job_id: ids.JobId, step: spec.Step) -> bool:
        """Return whether a step's turn has come and its job has no run.

        Each task that lasts must run, whatever else of its job does.
        """
        checker = self._checker
        task = spec.TaskKey(job_id, spec.Occurrence(0), step.number, 0)
        if not all(checker.step_done(task, other)
                   for other in step.depends_on):
            return False
        if step.endless:
            return checker.running(job_id, step.number) < step.count
        if checker.step_done(task, step.number):
            return False
        steps = checker.jobs_by_id[job_id].submission.steps
        return not any(checker.running(job_id, s.number) for s in steps)

    def _has_room(
        self,
        step: spec.Step,
        workers_by_id: typing.Mapping[str, WorkerView],
    ) -> bool:
        """Return whether there is room twice over for a task, or a gang.

        Under half of the accelerators must be in use, but for tasks that last.
        """
        free_accelerators = total = copies = 0
        for worker_id, (resources, labels) in workers_by_id.items():
            free = self._checker.free(worker_id, resources)
            free_accelerators += free.accelerators
            total += resources.accelerators
            if not step.required_label or step.required_label in labels:
                copies += free.max_copies(step.resources)
        needed = step.count if step.gang else 1
        return copies >= 2 * needed and (
            step.endless or 2 * free_accelerators > total
        )


__all__ = ('WaitingCheck', 'WorkerView')
