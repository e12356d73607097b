"""Checks of a simulation by what the users' rules allow.

Rule LOST: for 3 s, a job has nothing running while a task's turn has come,
there is capacity for it twice over, and under half of the service's capacity
is in use. For each task that lasts it holds however full the service is.
"""
from __future__ import annotations

import typing

from nutmegworks.fleet import table
from nutmegworks.model import ids
from nutmegworks.policy import worker_health
from nutmegworks.tasks import spec
from tests.fleet import simulation

MAX_IDLE_SECONDS: typing.Final = 3.0
# A task that lasts has this time from the end of its last run.
MAX_AWAY_SECONDS: typing.Final = 6.0
# Suspensions and exclusions of a sound worker end within this time.
MAX_LEFT_OUT_SECONDS: typing.Final = 20.0
# In which a gang starts that has room, and that nothing else competes with.
MAX_GANG_SECONDS: typing.Final = 3.0

# What is wrong, and the job, worker or task of which it is.
Key = tuple[str, ...]


class Checks:
    """Remembers since when each condition has held without a break.

    :ivar violations: one line for each condition that held too long.
    """

    def __init__(self, run: simulation.Simulation) -> None:
        self._simulation = run
        self._since: dict[Key, float] = {}
        self._ended_at: dict[spec.TaskKey, float] = {}
        self._were_running: set[spec.TaskKey] = set()
        self.violations: list[str] = []

    def check(self) -> None:
        """Check the present moment; call it after each round."""
        run = self._simulation
        self._record_ends()
        waiting = self._waiting()
        limits: dict[Key, float] = {}
        for job, step in waiting:
            limits.update(self._idle(job, step))
        gangs = [(job, step) for job, step in waiting if step.gang]
        if not gangs:
            for job, step in waiting:
                limits.update(self._left_out(job, step))
        if len(waiting) == 1 and gangs:
            limits.update(self._gang_with_room(*gangs[0]))
        for key in self._since.keys() - limits.keys():
            del self._since[key]
        for key, limit in limits.items():
            since = self._since.setdefault(key, run.now)
            if run.now - since > limit:
                self.violations.append(
                    f'{" ".join(key)}: from {since:.2f} to {run.now:.2f}'
                )

    def _record_ends(self) -> None:
        run = self._simulation
        running = {
            own.task
            for host in run.hosts_by_id.values()
            for own in host.runs
        }
        for task in self._were_running - running:
            self._ended_at[task] = run.now
        self._were_running = running

    def _waiting(self) -> list[tuple[table.Job, spec.Step]]:
        """Return the jobs of which a task waits, with their step."""
        waiting = []
        for job in self._simulation.state.jobs_by_id.values():
            step = job.submission.steps[0]
            done = job.done(0, 0)
            unfinished = [
                self._task(job, index)
                for index in range(step.count)
                if index not in done
            ]
            if not job.final and not self._were_running.issuperset(unfinished):
                waiting.append((job, step))
        return waiting

    @staticmethod
    def _task(job: table.Job, index: int) -> spec.TaskKey:
        return spec.TaskKey(
            job.job_id, spec.Occurrence(0), spec.StepNumber(0), index
        )

    def _room(self, job: table.Job, step: spec.Step) -> dict[str, int]:
        """Return how many of a step's tasks fit on each worker now."""
        room = {}
        for host in self._simulation.hosts_by_id.values():
            label = step.required_label
            if label and label not in host.spec.labels:
                continue
            count = host.free().max_copies(step.resources)
            if step.max_per_worker:
                used = sum(own.task.job_id == job.job_id for own in host.runs)
                count = min(count, step.max_per_worker - used)
            if count > 0:
                room[host.spec.worker_id] = count
        return room

    def _is_half_used(self) -> bool:
        hosts = self._simulation.hosts_by_id.values()
        free = sum(host.free().accelerators for host in hosts)
        total = sum(host.resources.accelerators for host in hosts)
        return 2 * (total - free) >= total

    def _idle(
        self,
        job: table.Job,
        step: spec.Step,
    ) -> typing.Iterator[tuple[Key, float]]:
        """Yield the job, or each of its tasks that last, if rule LOST binds.

        :return: keys with the seconds that the rule allows.
        """
        needed = step.count if step.gang else 1
        if sum(self._room(job, step).values()) < 2 * needed:
            return
        if not step.endless:
            if (not self._simulation.runs_of(job.job_id)
                    and not self._is_half_used()):
                yield ('job', job.job_id), MAX_IDLE_SECONDS
            return
        for index in range(step.count):
            task = self._task(job, index)
            if task in self._were_running:
                continue
            limit = MAX_IDLE_SECONDS
            if task in self._ended_at:
                limit = MAX_AWAY_SECONDS
            yield ('lasting task', task.name), limit

    def _left_out(
        self,
        job: table.Job,
        step: spec.Step,
    ) -> typing.Iterator[tuple[Key, float]]:
        """Yield the workers on which there is room for the job."""
        for worker_id in self._room(job, step):
            yield ('worker', worker_id, job.job_id), MAX_LEFT_OUT_SECONDS

    def _gang_with_room(
        self,
        job: table.Job,
        step: spec.Step,
    ) -> typing.Iterator[tuple[Key, float]]:
        """Yield a gang that could start."""
        if sum(self._room(job, step).values()) < step.count:
            return
        limit = MAX_GANG_SECONDS
        if any(host.spec.faulty_until
               for host in self._simulation.hosts_by_id.values()):
            limit += worker_health.MAX_SUSPENSION_SECONDS
        yield ('gang', job.job_id), limit


def gang_waits(run: simulation.Simulation) -> dict[ids.JobId, float]:
    """Return for how long each gang has waited for its first start."""
    return {
        job_id: run.started_at.get(job_id, run.now) - run.arrived_at[job_id]
        for job_id, job_spec in run.job_specs_by_id.items()
        if job_spec.fields.get('gang')
    }
