"""Simulates the workers of nutmegd's gang scheduler.

It drives one Scheduler of nutmegworks.policy.gang_scheduler in simulated time.
The simulation of the platform daemon is nutmegworks.bench.fleetmodel.
"""
from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import typing

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import events
from nutmegworks.policy import gang_scheduler

# Time that a simulated worker takes to start, checkpoint or stop a job.
START_SECONDS: typing.Final = 0.2
CHECKPOINT_SECONDS: typing.Final = 1.0
STOP_SECONDS: typing.Final = 0.3
TICK_SECONDS: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SimulatedJob:
    """A job and its actual behaviour.

    :param arrive_at: simulated seconds.
    :param run_time: actual seconds of work.
    :param cancel_at: simulated seconds; None if the job is not cancelled.
    :param fails: whether each attempt fails halfway.
    """

    job_id: ids.JobId
    spec: work.JobSpec
    arrive_at: float
    run_time: float
    cancel_at: float | None = None
    fails: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """An attempt of a job on the simulated workers."""

    job: SimulatedJob
    attempt: int
    members: tuple[events.Member, ...]
    started_at: float
    stopping: bool = False


class Simulation:
    """Workers that execute the actions of a scheduler.

    :param observer: called before and after each event.
    :ivar finished_at: simulated seconds at which each job finished.
    :ivar ended: reason by job for all jobs that ended.
    :ivar unreachable: workers that do not respond but still run their tasks.
    """

    def __init__(
        self,
        scheduler: gang_scheduler.Scheduler,
        *,
        observer: 'Observer | None' = None,
    ) -> None:
        self.scheduler = scheduler
        self.now = 0.0
        self.finished_at: dict[ids.JobId, float] = {}
        self.first_started_at: dict[ids.JobId, float] = {}
        self.ended: dict[ids.JobId, str] = {}
        self.run_by_id: dict[ids.JobId, Run] = {}
        self.unreachable: set[ids.WorkerId] = set()
        self.restarts = 0
        self._observer = observer or Observer()
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._job_by_id: dict[ids.JobId, SimulatedJob] = {}
        self._checkpointed_seconds: collections.Counter[
            ids.JobId] = collections.Counter()
        self._schedule(0.0, self._tick)

    def _schedule(self, when: float, call: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), call))

    def send(self, event: events.Event, when: float | None = None) -> None:
        """Pass an event to the scheduler at a time, by default now."""
        if when is None:
            self._deliver(event)
        else:
            self._schedule(when, lambda: self._deliver(event))

    def configure(self, configuration: work.Configuration) -> None:
        self.send(events.ConfigurationChanged(configuration=configuration))

    def add_job(self, job: SimulatedJob) -> None:
        self._job_by_id[job.job_id] = job
        arrived = events.JobArrived(
            job_id=job.job_id,
            spec=job.spec,
            accepted_at=job.arrive_at,
        )
        self.send(arrived, job.arrive_at)
        if job.cancel_at is not None:
            cancelled = events.JobCancelled(job_id=job.job_id)
            self.send(cancelled, job.cancel_at)
            self._schedule(
                job.cancel_at,
                lambda: self._mark_ended(job.job_id, 'cancelled'),
            )

    def _mark_ended(self, job_id: ids.JobId, reason: str) -> None:
        self.ended.setdefault(job_id, reason)

    def run_until(self, end: float, *, until_idle: bool = False) -> None:
        """Process events up to a time.

        :param until_idle: stop earlier when every job has ended.
        """
        while self._events and self._events[0][0] <= end:
            if until_idle and len(self.ended) == len(self._job_by_id):
                return
            when, _, call = heapq.heappop(self._events)
            self._observer.before_event(self, when - self.now)
            self.now = when
            call()

    def _tick(self) -> None:
        self._deliver(events.Tick())
        self._schedule(self.now + TICK_SECONDS, self._tick)

    def _deliver(self, event: events.Event) -> None:
        actions = self.scheduler.handle(event, self.now)
        self._observer.after_event(self, event, actions)
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: events.Action) -> None:
        if isinstance(action, events.StartJob):
            self._start(action)
        elif isinstance(action, events.ReleaseJob):
            self.run_by_id.pop(action.job_id, None)
        elif isinstance(action, events.RefuseJob):
            self._mark_ended(action.job_id, action.reason.value)
        else:
            self._interrupt(action)

    def _start(self, action: events.StartJob) -> None:
        job = self._job_by_id[action.job_id]
        run = Run(job, action.attempt, action.members, self.now)
        if action.attempt > 1:
            self.restarts += 1
        self.run_by_id[job.job_id] = run
        self.first_started_at.setdefault(job.job_id, self.now)
        self._schedule_answer(run, START_SECONDS, self._report_start)
        if job.fails:
            self._schedule_answer(run, job.run_time / 2, self._fail)
        else:
            remaining = job.run_time - self._checkpointed_seconds[job.job_id]
            self._schedule_answer(run, START_SECONDS + remaining, self._finish)

    def _schedule_answer(
        self,
        run: Run,
        delay: float,
        call: typing.Callable[[Run], None],
    ) -> None:

        def answer() -> None:
            if self.run_by_id.get(run.job.job_id) is run:
                call(run)

        self._schedule(self.now + delay, answer)

    def _is_reachable(self, run: Run) -> bool:
        worker_by_id = self.scheduler.cluster.worker_by_id
        return all(
            member.worker_id not in self.unreachable
            and worker_by_id[member.worker_id].up for member in run.members
        )

    def _report_start(self, run: Run) -> None:
        started = events.JobStarted(
            job_id=run.job.job_id,
            attempt=run.attempt,
        )
        self._deliver(started)

    def _finish(self, run: Run) -> None:
        if not self._is_reachable(run) or run.stopping:
            return
        job_id = run.job.job_id
        self.finished_at[job_id] = self.now
        self._mark_ended(job_id, 'finished')
        finished = events.JobFinished(job_id=job_id, attempt=run.attempt)
        self._deliver(finished)

    def _fail(self, run: Run) -> None:
        if self._is_reachable(run) and not run.stopping:
            failed = events.JobFailed(
                job_id=run.job.job_id,
                attempt=run.attempt,
                kind=events.FailureKind.TASK,
                worker_id=run.members[0].worker_id,
                members_stopped=True,
            )
            self._deliver(failed)

    def _interrupt(
        self,
        action: events.CheckpointJob | events.StopJob,
    ) -> None:
        run = self.run_by_id.get(action.job_id)
        if run is None or not self._is_reachable(run):
            return
        if isinstance(action, events.StopJob):
            run.stopping = True
            self._schedule_answer(run, STOP_SECONDS, self._report_stop)
        else:
            self._schedule_answer(
                run, CHECKPOINT_SECONDS, self._report_checkpoint
            )

    def _report_stop(self, run: Run) -> None:
        stopped = events.JobStopped(
            job_id=run.job.job_id,
            attempt=run.attempt,
        )
        self._deliver(stopped)

    def _report_checkpoint(self, run: Run) -> None:
        self._checkpointed_seconds[
            run.job.job_id] += (self.now - run.started_at - START_SECONDS)
        checkpointed = events.JobCheckpointed(
            job_id=run.job.job_id,
            attempt=run.attempt,
        )
        self._deliver(checkpointed)


class Observer:
    """Base class of observers of a simulation; does nothing."""

    def before_event(self, simulation: Simulation, elapsed: float) -> None:
        """Observe the state that lasted for the last ``elapsed`` seconds."""

    def after_event(
        self,
        simulation: Simulation,
        event: events.Event,
        actions: list[events.Action],
    ) -> None:
        """Observe the actions that the scheduler took for an event."""


__all__ = ('Observer', 'Run', 'SimulatedJob', 'Simulation')
