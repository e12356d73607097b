"""Drives one scheduler with a fake of its workers, in simulated time."""
from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import typing

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import events
from nutmegworks.policy import gang_scheduler as schedulers

# Seconds that the fake workers take.
START_SECONDS: typing.Final = 0.2
CHECKPOINT_SECONDS: typing.Final = 1.0
STOP_SECONDS: typing.Final = 0.3
TICK_SECONDS: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SimulatedJob:
    """A job and its true behaviour.

    :param run_time: true seconds of work.
    :param cancel_at: seconds, or None.
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
    """An attempt on the fake workers."""

    job: SimulatedJob
    attempt: int
    members: tuple[events.Member, ...]
    started_at: float
    stopping: bool = False


class Simulation:
    """Workers that carry out what the scheduler decides.

    :ivar finished_at: seconds at which each job finished.
    :ivar ended: jobs that ended for any reason.
    :ivar unreachable: workers that answer nothing but still run their tasks.
    :param observer: called before each event with the seconds since the
        last one, and after it with the actions taken.
    """

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
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
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._job_by_id: dict[ids.JobId, SimulatedJob] = {}
        self._saved: collections.Counter[ids.JobId] = collections.Counter()
        self._at(0.0, self._tick)

    def _at(self, when: float, call: typing.Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._sequence), call))

    def send(self, event: events.Event, when: float | None = None) -> None:
        """Pass an event to the scheduler now or later."""
        if when is None:
            self._deliver(event)
        else:
            self._at(when, lambda: self._deliver(event))

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
            self._at(
                job.cancel_at,
                lambda: self._mark_ended(job.job_id, 'cancelled'),
            )

    def _mark_ended(self, job_id: ids.JobId, why: str) -> None:
        self.ended.setdefault(job_id, why)

    def run_until(self, end: float, *, until_idle: bool = False) -> None:
        """Process events up to a time, or until every job has ended."""
        while self._heap and self._heap[0][0] <= end:
            if until_idle and len(self.ended) == len(self._job_by_id):
                return
            when, _, call = heapq.heappop(self._heap)
            self._observer.before(self, when - self.now)
            self.now = when
            call()

    def _tick(self) -> None:
        self._deliver(events.Tick())
        self._at(self.now + TICK_SECONDS, self._tick)

    def _deliver(self, event: events.Event) -> None:
        actions = self.scheduler.handle(event, self.now)
        self._observer.after(self, event, actions)
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
        self._answer(run, START_SECONDS, self._confirm)
        if job.fails:
            self._answer(run, job.run_time / 2, self._fail)
        else:
            left = job.run_time - self._saved[job.job_id]
            self._answer(run, START_SECONDS + left, self._finish)

    def _answer(
        self,
        run: Run,
        delay: float,
        call: typing.Callable[[Run], None],
    ) -> None:

        def answer() -> None:
            if self.run_by_id.get(run.job.job_id) is run:
                call(run)

        self._at(self.now + delay, answer)

    def _is_reachable(self, run: Run) -> bool:
        up = self.scheduler.cluster.worker_by_id
        return all(
            member.worker_id not in self.unreachable
            and up[member.worker_id].up for member in run.members
        )

    def _confirm(self, run: Run) -> None:
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
            self._answer(run, STOP_SECONDS, self._stopped)
        else:
            self._answer(run, CHECKPOINT_SECONDS, self._checkpointed)

    def _stopped(self, run: Run) -> None:
        stopped = events.JobStopped(
            job_id=run.job.job_id,
            attempt=run.attempt,
        )
        self._deliver(stopped)

    def _checkpointed(self, run: Run) -> None:
        self._saved[run.job.job_id
                    ] += (self.now - run.started_at - START_SECONDS)
        checkpointed = events.JobCheckpointed(
            job_id=run.job.job_id,
            attempt=run.attempt,
        )
        self._deliver(checkpointed)


class Observer:
    """Sees every step of a simulation; does nothing by default."""

    def before(self, simulation: Simulation, elapsed: float) -> None:
        """See the state that lasted for ``elapsed`` seconds."""

    def after(
        self,
        simulation: Simulation,
        event: events.Event,
        actions: list[events.Action],
    ) -> None:
        """See what the scheduler did about an event."""


__all__ = ('Observer', 'Run', 'SimulatedJob', 'Simulation')
