"""Simulates a leader's decisions over time, with workers that obey them.

The clock is simulated; state, reports and scheduler are those of the daemon.
Times are seconds, from 0 at the start.
"""
from __future__ import annotations

import contextlib
import dataclasses
import time
import typing
from unittest import mock

import curio

from nutmegworks.fleet import membership
from nutmegworks.fleet import orders as fleet_orders
from nutmegworks.fleet import reports as fleet_reports
from nutmegworks.fleet import scheduler
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.platform import wire
from nutmegworks.policy import task_planning
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from nutmegworks.telemetry import fleetmetrics
from tests.fleet import builders

ROUND_SECONDS: typing.Final = (
    scheduler.MAX_ROUND_INTERVAL_SECONDS + scheduler.ROUND_PAUSE_SECONDS
)
# Unix time at the start.
EPOCH: typing.Final = 1_700_000_000.0
STOP_SECONDS: typing.Final = 0.2
FAILURE_SECONDS: typing.Final = 0.1
INCARNATION: typing.Final = workers.WorkerIncarnation(1)


@dataclasses.dataclass(frozen=True, slots=True)
class HostSpec:
    """A worker of 8 accelerators.

    :param faulty_from: runs that are started from then on fail.
    :param faulty_until: until then.
    """

    worker_id: str
    rack: str = 'r1-1'
    labels: frozenset[str] = frozenset()
    faulty_from: float = 0.0
    faulty_until: float = 0.0

    def is_faulty(self, now: float) -> bool:
        return self.faulty_from <= now < self.faulty_until


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job of one step.

    :param fields: of the step, in the platform's form.
    :param seconds: for which each of its tasks really runs.
    :param fails: all of its tasks fail.
    """

    job_id: str
    arrives_at: float
    priority: int
    seconds: float
    fields: typing.Mapping[str, typing.Any]
    fails: bool = False


@dataclasses.dataclass(slots=True)
class WorkerRun:
    """A run on a worker.

    :param stops_at: when it stops on an order, None without one.
    """

    task: spec.TaskKey
    number: workers.RunNumber
    step: spec.Step
    started_at: float
    seconds: float
    fails: bool
    stops_at: float | None = None

    def percent(self, now: float) -> int:
        share = (now - self.started_at) / max(0.01, self.seconds)
        return 100 if self.step.endless else min(99, int(100 * share))

    def end_kind(self, now: float) -> workers.EndKind | None:
        """Return how the run has ended, None if it has not."""
        if self.stops_at is not None:
            stopped = now >= self.stops_at
            return workers.EndKind.STOPPED if stopped else None
        age = now - self.started_at
        if self.fails:
            return workers.EndKind.FAILED if age >= FAILURE_SECONDS else None
        if self.step.endless or age < self.seconds:
            return None
        return workers.EndKind.DONE


class Host:
    """A worker that carries out orders at once."""

    def __init__(self, host_spec: HostSpec) -> None:
        self.spec = host_spec
        self.runs: list[WorkerRun] = []
        self._ends: list[workers.RunEnd] = []
        self.resources = spec.Resources(128_000, 512_000, 8)

    def entry(self) -> workers.WorkerEntry:
        return workers.WorkerEntry(
            ids.WorkerId(self.spec.worker_id),
            ('10.0.0.1', 80),
            ids.ServiceId(builders.SERVICE),
            ids.DomainId('north'),
            workers.WorkerState.READY,
            INCARNATION,
            self.resources,
            self.spec.rack,
            self.spec.labels,
        )

    def free(self) -> spec.Resources:
        free = self.resources
        for run in self.runs:
            free = free.minus(run.step.resources)
        return free

    def report(self, now: float, acknowledged: int) -> workers.Report:
        """End what has ended by now; return the worker's report."""
        for run in list(self.runs):
            kind = run.end_kind(now)
            if kind is not None:
                self.runs.remove(run)
                number = self._ends[-1].number + 1 if self._ends else 1
                self._ends.append(
                    workers.RunEnd(number, run.task, run.number, kind, '')
                )
        return workers.Report(
            int(now * 1000),
            INCARNATION,
            tuple(
                workers.RunStatus(run.task, run.number, '', run.percent(now))
                for run in self.runs
            ),
            tuple(end for end in self._ends if end.number > acknowledged),
        )


class _Orders:
    """Takes the place of ``fleet.orders.Orders``."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    async def start_runs(
        self,
        job: table.Job,
        runs: typing.Sequence[table.Run],
    ) -> None:
        for run in runs:
            self._simulation.start(job, run)


class _Member:
    """Takes the place of ``membership.Membership``; always leads."""

    def may_act_as_leader(self) -> bool:
        return True


class Simulation:
    """Workers, jobs and the leaders that follow each other.

    :ivar arrived_at: by job, when it came.
    :ivar started_at: by job, when its first run started.
    """

    def __init__(self, hosts: typing.Iterable[HostSpec]) -> None:
        self.now = 0.0
        self.hosts_by_id = {host.worker_id: Host(host) for host in hosts}
        self.job_specs_by_id: dict[ids.JobId, JobSpec] = {}
        self.arrived_at: dict[ids.JobId, float] = {}
        self.started_at: dict[ids.JobId, float] = {}
        self._accepted: dict[ids.JobId, records.AcceptedJob] = {}
        self._decoder = wire.PlatformDecoder()
        self._begin_term()

    @property
    def state(self) -> fleet_state.FleetState:
        return self._state

    def _begin_term(self) -> None:
        self._state = fleet_state.FleetState(fleetmetrics.FleetMetrics())
        self._scheduler = scheduler.Scheduler(
            self._state,
            typing.cast(fleet_orders.Orders, _Orders(self)),
            typing.cast(membership.Membership, _Member()),
            builders.held_configuration(),
            task_planning.Bounds(),
        )
        self._reports = fleet_reports.Reports(self._state, self._acknowledge)
        for host in self.hosts_by_id.values():
            worker = fleet_worker.Worker(host.entry(), 0.0)
            self._state.workers_by_id[worker.worker_id] = worker

    @contextlib.contextmanager
    def _clock(self) -> typing.Iterator[None]:
        """Let the daemon's code read the simulated clock."""
        with (
                mock.patch.object(membership, 'steady_clock',
                                  lambda: self.now),
                mock.patch.object(time, 'time', lambda: EPOCH + self.now),
        ):
            yield

    async def _acknowledge(
        self,
        worker: fleet_worker.Worker,
        number: int,
    ) -> None:
        worker.acknowledged = number

    def change_leader(self) -> None:
        """Begin a term that knows only what is stored."""
        before = self._state
        self._begin_term()
        for worker_id, worker in before.workers_by_id.items():
            self._state.workers_by_id[worker_id].acknowledged = (
                worker.acknowledged
            )
            self._state.workers_by_id[worker_id].processed = worker.processed
            self._state.workers_by_id[worker_id].incarnation = INCARNATION
        for job_id, job in before.jobs_by_id.items():
            job.encode_progress()
            self._add_job(job_id, job.progress)

    def _add_job(
        self,
        job_id: ids.JobId,
        progress: records.Progress | None,
    ) -> None:
        accepted = self._accepted[job_id]
        with self._clock():
            self._state.add_job(
                job_id,
                accepted,
                self._decoder.submission(accepted.body),
                progress,
                len(self._state.jobs_by_id),
            )

    def submit(self, job_spec: JobSpec) -> None:
        job_id = ids.JobId(job_spec.job_id)
        self.job_specs_by_id[job_id] = job_spec
        self.arrived_at[job_id] = self.now
        with self._clock():
            self._accepted[job_id] = builders.accepted(
                builders.step(**job_spec.fields), priority=job_spec.priority
            )
        self._add_job(job_id, None)

    def start(self, job: table.Job, run: table.Run) -> None:
        """Start a run on its worker."""
        run.sent = run.started = True
        job.record_start()
        run.phase = table.RunPhase.RUNNING
        run.confirmed_at = self.now
        host = self.hosts_by_id[run.worker_id]
        job_spec = self.job_specs_by_id[job.job_id]
        host.runs.append(
            WorkerRun(
                run.task,
                run.number,
                run.step,
                self.now,
                job_spec.seconds,
                job_spec.fails or host.spec.is_faulty(self.now),
            )
        )
        self.started_at.setdefault(job.job_id, self.now)

    def _stop_runs(self) -> None:
        while self._state.runs_to_stop:
            run = self._state.runs_to_stop.popleft()
            run.confirmed_at = self.now
            for own in self.hosts_by_id[run.worker_id].runs:
                if (own.task, own.number) == run.key:
                    own.stops_at = self.now + STOP_SECONDS

    async def advance(self) -> None:
        """Move the clock by the time between two rounds, then run one."""
        self.now += ROUND_SECONDS
        with self._clock():
            for host in self.hosts_by_id.values():
                worker = self._state.workers_by_id[ids.WorkerId(
                    host.spec.worker_id
                )]
                report = host.report(self.now, worker.acknowledged)
                await self._reports.handle_report(worker, report, self.now)
            self._stop_runs()
            await self._scheduler.round()
            await curio.sleep(0)
            self._stop_runs()

    def runs_of(self, job_id: ids.JobId) -> list[WorkerRun]:
        """Return a job's runs that have not ended."""
        return [
            run for host in self.hosts_by_id.values() for run in host.runs
            if run.task.job_id == job_id
        ]
