"""Emulates workers and arrivals in one process to compare decisions.

It drives policy.task_planning as the scheduler does, without sockets,
store or clocks. Times are simulated seconds.
"""
from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from nutmegworks.model import ids
from nutmegworks.policy import task_demand as demands
from nutmegworks.policy import task_durations
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.policy import task_preemption
from nutmegworks.policy import worker_speeds
from nutmegworks.tasks import spec

SERVICE: typing.Final = ids.ServiceId('model')
# What the platform's workers and store take, in seconds.
START_SECONDS: typing.Final = 0.05
STOP_SECONDS: typing.Final = 0.2
RESTORE_SECONDS: typing.Final = 0.6
# Rounds of the scheduler follow each other after this time at least.
ROUND_SECONDS: typing.Final = 0.05
PROMISE_SECONDS: typing.Final = 1.2
# Work outside the near racks takes this many times as long.
FAR_FACTOR: typing.Final = 3.0
# A job after this many times its objective earns nothing.
LATE_FACTOR: typing.Final = 3.0
# Worth of a job without work, and its cap, as multiples of its class's worth.
BASE_WORTH: typing.Final = 0.3
MOST_WORTH: typing.Final = 4.0
WORKER_ROOM: typing.Final = spec.Resources(128_000, 512_000, 8)
CORES_PER_ACCELERATOR: typing.Final = 8.0
# One in so many urgent jobs is covered by its team's guarantee.
GUARANTEED_EVERY: typing.Final = 2
# Progress from which the rest of a run is extrapolated.
KNOWN_PROGRESS: typing.Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """One kind of job.

    :param rate: jobs a second.
    :param width: mean number of tasks; log-normal with ``width_spread``.
    :param work: mean seconds of a task; log-normal with ``work_spread``.
    :param accelerators: a job's tasks take one of these.
    :param gang: share of jobs whose tasks work together.
    :param one_rack: share of gangs that are slow on several racks.
    :param checkpoints: share of jobs that save their progress.
    :param estimate_spread: of the logarithm of the declared time over the
        true one.
    """

    name: str
    priority: int
    rate: float
    width: float
    most_width: int
    work: float
    most_work: float
    cpu: int
    memory: int
    accelerators: tuple[int, ...]
    worth: float
    late_worth: float
    stretch: float
    target: float
    gang: float = 0.0
    one_rack: float = 0.0
    checkpoints: float = 0.0
    width_spread: float = 0.8
    work_spread: float = 0.3
    estimate_spread: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load: workers, kinds of jobs and a surge of one kind.

    :param slow_share: share of workers that take ``slow_factor`` as long.
    :param unevenness: tasks of a step differ by up to this share.
    :param surges: factor on a class's rate, with its first and last second.
    """

    workers: int
    rack_size: int
    classes: tuple[JobClass, ...]
    seconds: float = 34.0
    slow_share: float = 0.0
    slow_factor: float = 1.0
    unevenness: float = 0.0
    surges: typing.Mapping[str, tuple[
        float, float, float]] = (dataclasses.field(default_factory=dict))


@dataclasses.dataclass(slots=True)
class ModelJob:
    """An accepted job.

    :param core_seconds: of its work; an accelerator counts as 8 cores.
    """

    job_id: ids.JobId
    job_class: JobClass
    step: spec.Step
    work: float
    arrived_at: float
    sequence: int
    core_seconds: float
    done: set[int] = dataclasses.field(default_factory=set)
    held: dict[int, ModelRun] = dataclasses.field(default_factory=dict)
    saved: float = 0.0
    ended_at: float = math.inf
    seconds_by_worker: dict[ids.WorkerId, list[float]] = dataclasses.field(
        default_factory=dict
    )

    def objective(self, work: float) -> float:
        return self.job_class.stretch * work + self.job_class.target


@dataclasses.dataclass(slots=True)
class ModelRun:
    """A gang, or one task of another job."""

    job: ModelJob
    indexes: tuple[int, ...]
    worker_ids: tuple[ids.WorkerId, ...]
    started_at: float
    seconds: float
    over: bool = False

    expected: float = 0.0

    def remaining(self, now: float) -> float:
        elapsed = now - self.started_at
        if elapsed > KNOWN_PROGRESS * self.seconds:
            return max(0.1, self.seconds - elapsed)
        return max(0.1, self.expected - elapsed)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a day earned.

    :param share: earned worth over owed worth.
    :param share_by_class: the same for each class.
    :param wasted: core-seconds thrown away.
    """

    share: float
    share_by_class: typing.Mapping[str, float]
    wasted: float
    rounds: int


def _lognormal(rng: random.Random, mean: float, spread: float) -> float:
    return rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)


def arrivals(pattern: Pattern, rng: random.Random) -> list[ModelJob]:
    """Return a day's jobs in the order of arrival."""
    made: list[tuple[float, JobClass]] = []
    for job_class in pattern.classes:
        factor, first, last = pattern.surges.get(
            job_class.name, (1.0, 0.0, 0.0)
        )
        at = 0.0
        while True:
            at += rng.expovariate(job_class.rate * max(1.0, factor))
            if at > pattern.seconds:
                break
            surging = first <= at < last
            if surging or rng.random() < 1 / max(1.0, factor):
                made.append((at, job_class))
    made.sort(key=lambda pair: pair[0])
    return [
        _job(number, at, job_class, rng)
        for number, (at, job_class) in enumerate(made)
    ]


def _job(
    number: int,
    at: float,
    job_class: JobClass,
    rng: random.Random,
) -> ModelJob:
    width = _lognormal(rng, job_class.width, job_class.width_spread)
    count = max(1, min(job_class.most_width, round(width)))
    work = min(
        job_class.most_work,
        _lognormal(rng, job_class.work, job_class.work_spread),
    )
    accelerators = rng.choice(job_class.accelerators)
    gang = rng.random() < job_class.gang
    step = spec.Step(
        number=spec.StepNumber(0),
        count=count,
        resources=spec.Resources(
            job_class.cpu, job_class.memory, accelerators
        ),
        estimate=work * rng.lognormvariate(0.0, job_class.estimate_spread),
        checkpoints=rng.random() < job_class.checkpoints,
        gang=gang,
        one_rack=gang and rng.random() < job_class.one_rack,
    )
    cores = job_class.cpu / 1000 + CORES_PER_ACCELERATOR * accelerators
    return ModelJob(
        ids.JobId(f'j{number}'), job_class, step, work, at, number,
        cores * count * work
    )


class FleetModel:
    """One day; ``run`` plays it."""

    def __init__(self, pattern: Pattern, seed: int) -> None:
        rng = random.Random(seed)
        self._pattern = pattern
        self.jobs = arrivals(pattern, rng)
        self._waiting: dict[ids.JobId, ModelJob] = {}
        self._runs_by_worker: dict[ids.WorkerId, list[ModelRun]] = {
            ids.WorkerId(f'w{number}'): []
            for number in range(pattern.workers)
        }
        self._rack_by_worker = {
            worker_id: f'r{number // pattern.rack_size}'
            for number, worker_id in enumerate(self._runs_by_worker)
        }
        slow = rng.sample(
            sorted(self._runs_by_worker),
            round(pattern.slow_share * pattern.workers),
        )
        self._factor_by_worker = dict.fromkeys(slow, pattern.slow_factor)
        self._rng = rng
        self._speeds = worker_speeds.WorkerSpeeds()
        self._durations = task_durations.DurationModel()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._promises: dict[
            demands.DemandKey,
            tuple[task_placement.Placement, float],
        ] = {}
        self._stopping: set[int] = set()
        self._round_is_due = False
        self._now = 0.0
        self._wasted = 0.0
        self._rounds = 0

    def _at(self, when: float, call: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), call))

    def run(self, settle: float = 30.0) -> Outcome:
        """Play the day and ``settle`` seconds more."""
        for job in self.jobs:
            self._at(job.arrived_at, lambda job=job: self._arrive(job))
        end = self._pattern.seconds + settle
        while self._events and self._events[0][0] <= end:
            self._now, _, call = heapq.heappop(self._events)
            call()
        return self._outcome()

    def _arrive(self, job: ModelJob) -> None:
        self._waiting[job.job_id] = job
        self._wake()

    def _wake(self) -> None:
        if not self._round_is_due:
            self._round_is_due = True
            self._at(self._now + ROUND_SECONDS, self._round)

    def _round(self) -> None:
        self._round_is_due = False
        self._rounds += 1
        waiting = [
            self._demand(job)
            for job in self._waiting.values()
            if len(job.held) + len(job.done) < job.step.count
        ]
        if not waiting:
            return
        plan = task_planning.plan(
            waiting,
            self._slots(),
            self._running(),
            {
                key: placement
                for key, (placement, until) in self._promises.items()
                if until > self._now
            },
        )
        stopped = {
            id(self._find(task).job.held[task.task.index]): self._find(task)
            for task, _ in plan.stops
        }
        for run in stopped.values():
            self._stop(run)
        for key, placement in plan.reservations.items():
            self._promises[key] = placement, self._now + PROMISE_SECONDS
        for start in plan.starts:
            self._promises.pop(start.demand.key, None)
            self._start(start)
        self._at(self._now + 0.3, self._wake)

    def _find(self, task: task_preemption.RunningTask) -> ModelRun:
        job = self._waiting[task.task.job_id]
        return job.held[task.task.index]

    def _expected(self, job: ModelJob) -> float:
        return self._durations.expected(job.job_class.name, job.step.estimate)

    def _demand(self, job: ModelJob) -> demands.Demand:
        expected = self._expected(job)
        return demands.Demand(
            job_id=job.job_id,
            occurrence=spec.Occurrence(0),
            step=job.step,
            indexes=tuple(
                index for index in range(job.step.count)
                if index not in job.done and index not in job.held
            ),
            priority=job.job_class.priority,
            waited=self._now - job.arrived_at,
            remaining=expected,
            objective=job.objective(expected),
            sequence=job.sequence,
            service_id=SERVICE,
            expected=expected,
            guaranteed=(
                job.job_class.priority == 0
                and job.sequence % GUARANTEED_EVERY == 0
            ),
        )

    def _slots(self) -> list[task_placement.WorkerCapacity]:
        slots = []
        for worker_id, runs in self._runs_by_worker.items():
            free = WORKER_ROOM
            releases = []
            for run in runs:
                room = run.job.step.resources.times(
                    run.worker_ids.count(worker_id)
                )
                free = free.minus(room)
                after = run.remaining(self._now)
                if id(run) in self._stopping:
                    after = STOP_SECONDS
                releases.append(task_placement.Release(after, room))
            rack = self._rack_by_worker[worker_id]
            slots.append(
                task_placement.WorkerCapacity(
                    worker_id,
                    SERVICE,
                    rack,
                    frozenset({rack}),
                    WORKER_ROOM,
                    free,
                    tuple(releases),
                    slow=self._speeds.is_slow(worker_id),
                )
            )
        return slots

    def _running(self) -> list[task_preemption.RunningTask]:
        found = []
        for job in self._waiting.values():
            for index, run in job.held.items():
                if id(run) in self._stopping:
                    continue
                position = run.indexes.index(index)
                task = spec.TaskKey(
                    job.job_id, spec.Occurrence(0), spec.StepNumber(0), index
                )
                group = (job.job_id, ) if job.step.gang else (task.name, )
                found.append(
                    task_preemption.RunningTask(
                        task,
                        group,
                        run.worker_ids[position],
                        job.job_class.priority,
                        job.step.resources,
                        self._now - run.started_at,
                        job.step.checkpoints,
                    )
                )
        return found

    def _start(self, start: task_planning.Start) -> None:
        job = self._waiting[start.demand.job_id]
        if job.step.gang:
            self._start_run(job, start.indexes, start.worker_ids)
            return
        for index, worker_id in zip(start.indexes, start.worker_ids):
            self._start_run(job, (index, ), (worker_id, ))

    def _start_run(
        self,
        job: ModelJob,
        indexes: tuple[int, ...],
        worker_ids: tuple[ids.WorkerId, ...],
    ) -> None:
        racks = {self._rack_by_worker[worker_id] for worker_id in worker_ids}
        factor = max(
            self._factor_by_worker.get(worker_id, 1.0) * self._rng.uniform(
                1 - self._pattern.unevenness, 1 + self._pattern.unevenness
            ) for worker_id in worker_ids
        )
        if job.step.one_rack and len(racks) > 1:
            factor *= FAR_FACTOR
        seconds = (job.work - job.saved) * factor
        if job.saved:
            seconds += RESTORE_SECONDS
        run = ModelRun(
            job,
            indexes,
            worker_ids,
            self._now + START_SECONDS,
            seconds,
            expected=self._expected(job),
        )
        for index in indexes:
            job.held[index] = run
        for worker_id in set(worker_ids):
            self._runs_by_worker[worker_id].append(run)
        self._at(run.started_at + seconds, lambda: self._finish(run))

    def _release(self, run: ModelRun) -> None:
        run.over = True
        self._stopping.discard(id(run))
        for index in run.indexes:
            del run.job.held[index]
        for worker_id in set(run.worker_ids):
            self._runs_by_worker[worker_id].remove(run)
        self._wake()

    def _finish(self, run: ModelRun) -> None:
        if run.over:
            return
        self._release(run)
        job = run.job
        job.done.update(run.indexes)
        self._learn(run)
        if len(job.done) == job.step.count:
            job.ended_at = self._now
            del self._waiting[job.job_id]

    def _learn(self, run: ModelRun) -> None:
        job = run.job
        self._durations.observe(
            job.job_class.name, job.step.estimate, run.seconds
        )
        if job.step.gang:
            return
        for worker_id in run.worker_ids:
            job.seconds_by_worker.setdefault(worker_id, []).append(run.seconds)
        if len(job.done) == job.step.count:
            self._speeds.compare(job.seconds_by_worker)

    def _stop(self, run: ModelRun) -> None:
        self._stopping.add(id(run))
        self._at(self._now + STOP_SECONDS, lambda: self._stopped(run))

    def _stopped(self, run: ModelRun) -> None:
        if run.over:
            return
        job = run.job
        elapsed = max(0.0, self._now - run.started_at)
        if job.step.checkpoints and job.step.gang:
            share = min(1.0, elapsed / run.seconds)
            job.saved += (job.work - job.saved) * share
        elif not job.step.checkpoints:
            room = job.step.resources
            cores = room.cpu / 1000 + (
                CORES_PER_ACCELERATOR * room.accelerators
            )
            self._wasted += cores * len(run.indexes) * elapsed
        self._release(run)

    def _outcome(self) -> Outcome:
        total: dict[str, float] = collections.defaultdict(float)
        count: dict[str, int] = collections.Counter()
        for job in self.jobs:
            total[job.job_class.name] += job.core_seconds
            count[job.job_class.name] += 1
        owed: dict[str, float] = collections.defaultdict(float)
        earned: dict[str, float] = collections.defaultdict(float)
        for job in self.jobs:
            name = job.job_class.name
            mean = total[name] / count[name]
            size = BASE_WORTH + (1 - BASE_WORTH) * job.core_seconds / mean
            size = min(MOST_WORTH, size)
            owed[name] += job.job_class.worth * size
            earned[name] += _credit(job) * size
        return Outcome(
            sum(earned.values()) / sum(owed.values()),
            {name: earned[name] / owed[name]
             for name in owed},
            self._wasted,
            self._rounds,
        )


def _credit(job: ModelJob) -> float:
    age = job.ended_at - job.arrived_at
    objective = job.objective(job.work)
    if age <= objective:
        return job.job_class.worth
    if age <= LATE_FACTOR * objective:
        return job.job_class.late_worth
    return 0.0


__all__ = (
    'FleetModel',
    'JobClass',
    'ModelJob',
    'Outcome',
    'Pattern',
    'arrivals',
)
