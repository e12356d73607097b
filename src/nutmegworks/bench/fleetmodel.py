"""Simulates the platform daemon's workers and arrivals in one process.

It calls nutmegworks.policy.task_planning as nutmegworks.daemon.fleet does, but
without sockets, store and clocks, to compare scheduling decisions. Times are
simulated seconds. The simulation of nutmegd is nutmegworks.bench.simulation.
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
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_durations
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.policy import task_preemption
from nutmegworks.policy import worker_speeds
from nutmegworks.tasks import spec

SERVICE_ID: typing.Final = ids.ServiceId('model')
# Times that the platform's workers and store take to start a task, to stop it
# and to restore a checkpoint.
START_SECONDS: typing.Final = 0.05
STOP_SECONDS: typing.Final = 0.2
RESTORE_SECONDS: typing.Final = 0.6
MIN_ROUND_INTERVAL_SECONDS: typing.Final = 0.05
# Resources that preempted runs release are reserved for this time.
RESERVATION_SECONDS: typing.Final = 1.2
# Slowdown of a one-rack gang whose tasks run in several racks.
CROSS_RACK_FACTOR: typing.Final = 3.0
# A job that ends after this many times its objective has no value.
LATE_FACTOR: typing.Final = 3.0
# Value of a job without work, and maximum value of a job, as multiples of the
# value of its class.
BASE_VALUE_FACTOR: typing.Final = 0.3
MAX_VALUE_FACTOR: typing.Final = 4.0
WORKER_RESOURCES: typing.Final = spec.Resources(128_000, 512_000, 8)
CORES_PER_ACCELERATOR: typing.Final = 8.0
# Jobs of priority 0 whose sequence is a multiple of this are covered by the
# team's guarantee.
GUARANTEED_JOB_INTERVAL: typing.Final = 2
# From this share of its run time, a run reports its actual remaining time, as
# an extrapolation of its progress would; before, the expected one.
MIN_EXTRAPOLATION_PROGRESS: typing.Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs of one step.

    The spreads are standard deviations of logarithms.

    :param rate: jobs per second.
    :param width: mean number of tasks; log-normal with ``width_spread``.
    :param work: mean seconds of a task; log-normal with ``work_spread``.
    :param cpu: millicores of a task.
    :param memory: MiB of a task.
    :param accelerators: numbers per task, one of which is drawn for each job.
    :param value: value of a job of mean size that meets its objective.
    :param late_value: the same if the job ends after its objective, but
        within ``LATE_FACTOR`` times of it.
    :param stretch: the objective is ``stretch`` times the work, plus
        ``target`` seconds.
    :param gang: share of jobs whose tasks run at the same time.
    :param one_rack: share of gangs that are slow in several racks.
    :param checkpoints: share of jobs that write checkpoints.
    :param estimate_spread: spread of the declared time over the actual one.
    """

    name: str
    priority: int
    rate: float
    width: float
    max_width: int
    work: float
    max_work: float
    cpu: int
    memory: int
    accelerators: tuple[int, ...]
    value: float
    late_value: float
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
    """Workers and the jobs that arrive for them.

    :param rack_size: workers per rack.
    :param seconds: time in which jobs arrive.
    :param slow_share: share of workers on which tasks take ``slow_factor``
        times as long.
    :param unevenness: run times of a step's tasks differ by up to this share.
    :param surges: by class, a factor on its rate and the first and last
        second of the surge.
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

    :param work: seconds that each task takes on a worker of normal speed.
    :param core_seconds: work of all tasks; an accelerator counts as 8 cores.
    :ivar checkpointed_seconds: work of a gang that its checkpoint saves.
    :ivar seconds_by_worker: run times of the finished tasks of a job that is
        no gang.
    """

    job_id: ids.JobId
    job_class: JobClass
    step: spec.Step
    work: float
    arrived_at: float
    sequence: int
    core_seconds: float
    finished_indexes: set[int] = dataclasses.field(default_factory=set)
    run_by_index: dict[int, ModelRun] = dataclasses.field(default_factory=dict)
    checkpointed_seconds: float = 0.0
    ended_at: float = math.inf
    seconds_by_worker: dict[ids.WorkerId, list[float]] = dataclasses.field(
        default_factory=dict
    )

    def objective(self, work: float) -> float:
        return self.job_class.stretch * work + self.job_class.target


@dataclasses.dataclass(slots=True)
class ModelRun:
    """A run of a whole gang, or of one task of another job.

    :param seconds: actual run time.
    :param expected_seconds: run time that the scheduler expects.
    """

    job: ModelJob
    indexes: tuple[int, ...]
    worker_ids: tuple[ids.WorkerId, ...]
    started_at: float
    seconds: float
    ended: bool = False
    expected_seconds: float = 0.0

    def remaining(self, now: float) -> float:
        elapsed = now - self.started_at
        if elapsed > MIN_EXTRAPOLATION_PROGRESS * self.seconds:
            return max(0.1, self.seconds - elapsed)
        return max(0.1, self.expected_seconds - elapsed)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a simulation.

    :param value_share: value of all jobs over their value had all of them met
        their objective.
    :param value_share_by_class: the same by name of the class.
    :param wasted: core-seconds of work lost by preemption.
    :param rounds: number of scheduling rounds.
    """

    value_share: float
    value_share_by_class: typing.Mapping[str, float]
    wasted: float
    rounds: int


def _lognormal(rng: random.Random, mean: float, spread: float) -> float:
    return rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)


def generate_jobs(pattern: Pattern, rng: random.Random) -> list[ModelJob]:
    """Return the jobs of a pattern, sorted by arrival."""
    arrivals: list[tuple[float, JobClass]] = []
    for job_class in pattern.classes:
        factor, first, last = pattern.surges.get(
            job_class.name, (1.0, 0.0, 0.0)
        )
        arrived_at = 0.0
        while True:
            arrived_at += rng.expovariate(job_class.rate * max(1.0, factor))
            if arrived_at > pattern.seconds:
                break
            surging = first <= arrived_at < last
            if surging or rng.random() < 1 / max(1.0, factor):
                arrivals.append((arrived_at, job_class))
    arrivals.sort(key=lambda pair: pair[0])
    return [
        _generate_job(number, arrived_at, job_class, rng)
        for number, (arrived_at, job_class) in enumerate(arrivals)
    ]


def _generate_job(
    number: int,
    arrived_at: float,
    job_class: JobClass,
    rng: random.Random,
) -> ModelJob:
    width = _lognormal(rng, job_class.width, job_class.width_spread)
    count = max(1, min(job_class.max_width, round(width)))
    work = min(
        job_class.max_work,
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
        ids.JobId(f'j{number}'), job_class, step, work, arrived_at, number,
        cores * count * work
    )


class FleetModel:
    """A simulation of one pattern with one seed; ``run`` runs it once."""

    def __init__(self, pattern: Pattern, seed: int) -> None:
        rng = random.Random(seed)
        self._pattern = pattern
        self.jobs = generate_jobs(pattern, rng)
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
        self._reservations: dict[
            task_demand.DemandKey,
            tuple[task_placement.Placement, float],
        ] = {}
        self._stopping: set[int] = set()
        self._round_is_due = False
        self._now = 0.0
        self._wasted = 0.0
        self._rounds = 0

    def _schedule(self, when: float, call: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), call))

    def run(self, settle: float = 30.0) -> Outcome:
        """Simulate the pattern and ``settle`` seconds more."""
        for job in self.jobs:
            self._schedule(job.arrived_at, lambda job=job: self._arrive(job))
        end = self._pattern.seconds + settle
        while self._events and self._events[0][0] <= end:
            self._now, _, call = heapq.heappop(self._events)
            call()
        return self._outcome()

    def _arrive(self, job: ModelJob) -> None:
        self._waiting[job.job_id] = job
        self._request_round()

    def _request_round(self) -> None:
        if not self._round_is_due:
            self._round_is_due = True
            self._schedule(self._now + MIN_ROUND_INTERVAL_SECONDS, self._round)

    def _round(self) -> None:
        self._round_is_due = False
        self._rounds += 1
        waiting = [
            self._demand(job) for job in self._waiting.values() if (
                len(job.run_by_index) +
                len(job.finished_indexes) < job.step.count
            )
        ]
        if not waiting:
            return
        plan = task_planning.plan(
            waiting,
            self._worker_capacities(),
            self._running_tasks(),
            {
                key: placement
                for key, (placement, until) in self._reservations.items()
                if until > self._now
            },
        )
        stopped = {
            id(self._find_run(task).job.run_by_index[task.task.index]):
            self._find_run(task)
            for task, _ in plan.stops
        }
        for run in stopped.values():
            self._stop(run)
        for key, placement in plan.reservations.items():
            self._reservations[key] = (
                placement, self._now + RESERVATION_SECONDS
            )
        for start in plan.starts:
            self._reservations.pop(start.demand.key, None)
            self._start(start)
        # Demands that still wait are planned again even if no run ends.
        self._schedule(self._now + 0.3, self._request_round)

    def _find_run(self, task: task_preemption.RunningTask) -> ModelRun:
        job = self._waiting[task.task.job_id]
        return job.run_by_index[task.task.index]

    def _expected_seconds(self, job: ModelJob) -> float:
        return self._durations.expected(job.job_class.name, job.step.estimate)

    def _demand(self, job: ModelJob) -> task_demand.Demand:
        expected = self._expected_seconds(job)
        return task_demand.Demand(
            job_id=job.job_id,
            occurrence=spec.Occurrence(0),
            step=job.step,
            indexes=tuple(
                index for index in range(job.step.count)
                if index not in job.finished_indexes
                and index not in job.run_by_index
            ),
            priority=job.job_class.priority,
            waited=self._now - job.arrived_at,
            remaining=expected,
            objective=job.objective(expected),
            sequence=job.sequence,
            service_id=SERVICE_ID,
            expected=expected,
            guaranteed=(
                job.job_class.priority == 0
                and job.sequence % GUARANTEED_JOB_INTERVAL == 0
            ),
        )

    def _worker_capacities(self) -> list[task_placement.WorkerCapacity]:
        capacities = []
        for worker_id, runs in self._runs_by_worker.items():
            free = WORKER_RESOURCES
            releases = []
            for run in runs:
                resources = run.job.step.resources.times(
                    run.worker_ids.count(worker_id)
                )
                free = free.minus(resources)
                release_in = run.remaining(self._now)
                if id(run) in self._stopping:
                    release_in = STOP_SECONDS
                releases.append(task_placement.Release(release_in, resources))
            rack = self._rack_by_worker[worker_id]
            capacities.append(
                task_placement.WorkerCapacity(
                    worker_id,
                    SERVICE_ID,
                    rack,
                    frozenset({rack}),
                    WORKER_RESOURCES,
                    free,
                    tuple(releases),
                    slow=self._speeds.is_slow(worker_id),
                )
            )
        return capacities

    def _running_tasks(self) -> list[task_preemption.RunningTask]:
        tasks = []
        for job in self._waiting.values():
            for index, run in job.run_by_index.items():
                if id(run) in self._stopping:
                    continue
                position = run.indexes.index(index)
                task = spec.TaskKey(
                    job.job_id, spec.Occurrence(0), spec.StepNumber(0), index
                )
                group = (job.job_id, ) if job.step.gang else (task.name, )
                tasks.append(
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
        return tasks

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
            factor *= CROSS_RACK_FACTOR
        seconds = (job.work - job.checkpointed_seconds) * factor
        if job.checkpointed_seconds:
            seconds += RESTORE_SECONDS
        run = ModelRun(
            job,
            indexes,
            worker_ids,
            self._now + START_SECONDS,
            seconds,
            expected_seconds=self._expected_seconds(job),
        )
        for index in indexes:
            job.run_by_index[index] = run
        for worker_id in set(worker_ids):
            self._runs_by_worker[worker_id].append(run)
        self._schedule(run.started_at + seconds, lambda: self._finish(run))

    def _release(self, run: ModelRun) -> None:
        run.ended = True
        self._stopping.discard(id(run))
        for index in run.indexes:
            del run.job.run_by_index[index]
        for worker_id in set(run.worker_ids):
            self._runs_by_worker[worker_id].remove(run)
        self._request_round()

    def _finish(self, run: ModelRun) -> None:
        if run.ended:
            return
        self._release(run)
        job = run.job
        job.finished_indexes.update(run.indexes)
        self._record_durations(run)
        if len(job.finished_indexes) == job.step.count:
            job.ended_at = self._now
            del self._waiting[job.job_id]

    def _record_durations(self, run: ModelRun) -> None:
        job = run.job
        self._durations.observe(
            job.job_class.name, job.step.estimate, run.seconds
        )
        if job.step.gang:
            return
        for worker_id in run.worker_ids:
            job.seconds_by_worker.setdefault(worker_id, []).append(run.seconds)
        if len(job.finished_indexes) == job.step.count:
            self._speeds.compare(job.seconds_by_worker)

    def _stop(self, run: ModelRun) -> None:
        self._stopping.add(id(run))
        self._schedule(
            self._now + STOP_SECONDS, lambda: self._complete_stop(run)
        )

    def _complete_stop(self, run: ModelRun) -> None:
        if run.ended:
            return
        job = run.job
        elapsed = max(0.0, self._now - run.started_at)
        if job.step.checkpoints and job.step.gang:
            share = min(1.0, elapsed / run.seconds)
            job.checkpointed_seconds += (
                job.work - job.checkpointed_seconds
            ) * share
        elif not job.step.checkpoints:
            resources = job.step.resources
            cores = resources.cpu / 1000 + (
                CORES_PER_ACCELERATOR * resources.accelerators
            )
            self._wasted += cores * len(run.indexes) * elapsed
        self._release(run)

    def _outcome(self) -> Outcome:
        total: dict[str, float] = collections.defaultdict(float)
        count: dict[str, int] = collections.Counter()
        for job in self.jobs:
            total[job.job_class.name] += job.core_seconds
            count[job.job_class.name] += 1
        max_value_by_class: dict[str, float] = collections.defaultdict(float)
        value_by_class: dict[str, float] = collections.defaultdict(float)
        for job in self.jobs:
            name = job.job_class.name
            mean = total[name] / count[name]
            factor = (
                BASE_VALUE_FACTOR +
                (1 - BASE_VALUE_FACTOR) * job.core_seconds / mean
            )
            factor = min(MAX_VALUE_FACTOR, factor)
            max_value_by_class[name] += job.job_class.value * factor
            value_by_class[name] += _achieved_value(job) * factor
        return Outcome(
            sum(value_by_class.values()) / sum(max_value_by_class.values()),
            {
                name: value_by_class[name] / max_value_by_class[name]
                for name in max_value_by_class
            },
            self._wasted,
            self._rounds,
        )


def _achieved_value(job: ModelJob) -> float:
    completion_seconds = job.ended_at - job.arrived_at
    objective = job.objective(job.work)
    if completion_seconds <= objective:
        return job.job_class.value
    if completion_seconds <= LATE_FACTOR * objective:
        return job.job_class.late_value
    return 0.0


__all__ = (
    'FleetModel',
    'JobClass',
    'ModelJob',
    'Outcome',
    'Pattern',
    'generate_jobs',
)
