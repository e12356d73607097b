"""Turns the leader's tables into decisions and carries them out."""
from __future__ import annotations

import functools
import time
import typing

import curio
import logbook

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import membership
from nutmegworks.fleet import orders as fleet_orders
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.policy import task_preemption
from nutmegworks.policy import worker_health
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('scheduler')

# Rounds follow each other after this time at least, so that a burst of events
# costs one round.
ROUND_PAUSE_SECONDS: typing.Final = 0.02
# Progress of runs and due times change without an event.
ROUND_SECONDS: typing.Final = 0.3
# A stop takes this long, for the time at which its room is free.
STOPPING_SECONDS: typing.Final = 0.3
# Victims stop within the platform's bound (0.2 to 0.9 s); what is not free
# by then is looked for anew.
PROMISE_SECONDS: typing.Final = 1.2
# A leaving worker that states no time serves this long.
LEAVING_SECONDS: typing.Final = 2.0


class Scheduler:
    """Runs rounds of decisions."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        orders: fleet_orders.Orders,
        member: membership.Membership,
        current: configuration_holder.ConfigurationHolder,
    ) -> None:
        self._state = state
        self._current = current
        self._orders = orders
        self._member = member
        # Room of victims, by the demand that gets it, with steady seconds at
        # which the promise ends.
        self._promises: dict[
            task_demand.DemandKey,
            tuple[task_placement.Placement, float],
        ] = {}

    async def run(self) -> None:
        """Decide whenever something has changed, until cancelled."""
        while True:
            await curio.ignore_after(ROUND_SECONDS, self._state.wake.wait)
            self._state.wake.clear()
            if self._member.may_act_as_leader():
                await self._round()
            await curio.sleep(ROUND_PAUSE_SECONDS)

    async def _round(self) -> None:
        now = membership.steady_clock()
        self._evacuate(now)
        waiting = list(self._demands(now))
        if waiting:
            plan = task_planning.plan(
                waiting,
                self._slots(now),
                self._running(now),
                self._valid_promises(now),
            )
            for task, job_id in plan.stops:
                self._preempt(task, job_id)
            for key, placement in plan.reservations.items():
                self._promises[key] = placement, now + PROMISE_SECONDS
            for start in plan.starts:
                self._promises.pop(start.demand.key, None)
                await self._start(start, now)
        await self._state.notify_stops()

    def _valid_promises(self, now: float) -> task_planning.Reservations:
        self._promises = {
            key: promise
            for key, promise in self._promises.items()
            if promise[1] > now
        }
        return {
            key: placement
            for key, (placement, _) in self._promises.items()
        }

    def _preempt(
        self,
        task: task_preemption.RunningTask,
        job_id: ids.JobId,
    ) -> None:
        job = self._state.jobs_by_id[task.task.job_id]
        run = job.runs_by_task.get(task.task)
        if run is not None:
            self._state.stop_run(run, f'yields to {job_id}')

    async def _start(self, start: task_planning.Start, now: float) -> None:
        demand = start.demand
        job = self._state.jobs_by_id[demand.job_id]
        runs = []
        for index, worker_id in zip(start.indexes, start.worker_ids):
            task = spec.TaskKey(
                job.job_id, demand.occurrence, demand.step.number, index
            )
            runs.append((task, self._state.workers_by_id[worker_id]))
        created = self._create(job, demand, runs, now)
        _LOG.info(
            'tasks start',
            job=job.job_id,
            queue=job.accepted.queue,
            step=demand.step.number,
            occurrence=demand.occurrence,
            run=created[0].number,
            workers=[run.worker_id for run in created],
            waited=round(demand.waited, 3),
            prospect=demand.timeliness.name,
        )
        await curio.spawn(self._orders.launch, job, created, daemon=True)

    def _create(
        self,
        job: table.Job,
        demand: task_demand.Demand,
        places: typing.Sequence[tuple[spec.TaskKey, fleet_worker.Worker]],
        now: float,
    ) -> list[table.Run]:
        progress = job.progress
        if progress.state is records.JobState.QUEUED:
            progress.state = records.JobState.ACTIVE
        if demand.step.gang:
            unit = job.unit(places[0][0])
            progress.runs[unit] = progress.runs.get(unit, 0) + 1
        created = []
        for task, worker in places:
            unit = job.unit(task)
            if not demand.step.gang:
                progress.runs[unit] = progress.runs.get(unit, 0) + 1
            assert worker.born is not None
            run = table.Run(
                task,
                workers.RunNumber(progress.runs[unit]),
                worker.worker_id,
                worker.born,
                demand.step,
                job.accepted.priority,
                table.RunPhase.ORDERED,
                now,
                expected=demand.duration,
                resumed=bool(progress.saved.get(unit)),
            )
            progress.assigned[
                table.task_name(task)
            ] = records.Assignment(worker.worker_id, worker.born, run.number)
            self._state.add_run(job, run)
            created.append(run)
        return created

    def _slots(self, now: float) -> list[task_placement.WorkerCapacity]:
        available = {
            worker_id: worker
            for worker_id, worker in self._state.workers_by_id.items()
            if worker.available(now)
        }
        health = self._state.worker_health
        suspects = health.suspects(available.keys(), now)
        return [
            _slot(worker, now, self._is_unwanted(worker_id, now))
            for worker_id, worker in available.items()
            if worker_id not in suspects and not (
                worker.runs_by_key and health.status(worker_id, now) is
                worker_health.Health.PROBATION
            )
        ]

    def _is_unwanted(self, worker_id: ids.WorkerId, now: float) -> bool:
        """Return whether gangs and urgent work should avoid a worker."""
        return (
            self._state.worker_speeds.is_slow(worker_id)
            or self._state.worker_health.failed_recently(worker_id, now)
        )

    def _running(self, now: float) -> list[task_preemption.RunningTask]:
        return [
            _running_task(run, now)
            for worker in self._state.workers_by_id.values()
            for run in worker.runs_by_key.values()
            if run.phase is table.RunPhase.RUNNING
        ]

    def _demands(self, now: float) -> typing.Iterator[task_demand.Demand]:
        wall = time.time()
        covered = self._covered_teams()
        for job in self._state.jobs_by_id.values():
            if job.final or now < job.not_before:
                continue
            submission = job.submission
            for number in range(submission.occurrences):
                occurrence = spec.Occurrence(number)
                if submission.timed and submission.due(occurrence) > wall:
                    break
                yield from self._step_demands(
                    job, occurrence, now, wall, covered
                )

    def _step_demands(
        self,
        job: table.Job,
        occurrence: spec.Occurrence,
        now: float,
        wall: float,
        covered: typing.Collection[ids.TeamId],
    ) -> typing.Iterator[task_demand.Demand]:
        submission = job.submission
        expected = functools.partial(self._state.expected, job)
        for step in submission.steps:
            done = job.done(occurrence, step.number)
            if len(done) >= step.count:
                continue
            if not all(job.step_is_done(occurrence, submission.steps[other])
                       for other in step.after):
                continue
            used: dict[ids.WorkerId, int] = {}
            indexes = []
            for index in range(step.count):
                if index in done:
                    continue
                run = job.runs_by_task.get(
                    spec.TaskKey(job.job_id, occurrence, step.number, index)
                )
                if run is None:
                    indexes.append(index)
                else:
                    used[run.worker_id] = used.get(run.worker_id, 0) + 1
            if not indexes or (step.gang and used):
                continue
            waited = now - job.arrived_at
            if submission.timed:
                waited = max(0.0, wall - submission.due(occurrence))
            yield task_demand.Demand(
                job_id=job.job_id,
                occurrence=occurrence,
                step=step,
                indexes=tuple(indexes),
                priority=job.accepted.priority,
                waited=waited,
                remaining=job.chain(occurrence, expected),
                objective=self._state.objective(job),
                sequence=job.sequence,
                service_id=ids.ServiceId(job.accepted.service),
                team_id=ids.TeamId(job.accepted.team),
                excluded_worker_ids=self._excluded_worker_ids(job),
                used_by_worker=used,
                expected=expected(step),
                guaranteed=(
                    job.accepted.priority == 0 and job.accepted.team in covered
                ),
            )

    def _covered_teams(self) -> typing.Collection[ids.TeamId]:
        """Return the teams whose urgent jobs their guarantee covers."""
        configuration = self._current.value
        if configuration is None:
            return frozenset()
        needed: dict[ids.TeamId, int] = {}
        for job in self._state.jobs_by_id.values():
            if job.accepted.priority or job.final:
                continue
            team_id = ids.TeamId(job.accepted.team)
            widest = max(
                step.room.times(step.count).accelerators
                for step in job.submission.steps
            )
            needed[team_id] = needed.get(team_id, 0) + widest
        return task_demand.teams_within_guarantee(
            needed,
            {
                team_id: team.guaranteed
                for team_id, team in configuration.teams_by_id.items()
            },
        )

    def _excluded_worker_ids(self, job: table.Job) -> frozenset[ids.WorkerId]:
        """Return workers on which the job failed, unless these are many."""
        if 2 * len(job.failed_on) > len(self._state.workers_by_id):
            job.failed_on.clear()
        return frozenset(job.failed_on)

    def _evacuate(self, now: float) -> None:
        """Stop what a leaving worker will not finish in its time."""
        for worker in self._state.workers_by_id.values():
            if worker.entry.state is not workers.WorkerState.LEAVING:
                continue
            left = worker.entry.remaining
            left = LEAVING_SECONDS if left is None else left
            left -= now - worker.registered_at
            for run in list(worker.runs_by_key.values()):
                if run.phase is not table.RunPhase.RUNNING:
                    continue
                if run.remaining(now) > left or run.step.endless:
                    self._state.stop_run(run, 'worker leaves')
                    self._state.stop_gang(run, 'the worker of a member leaves')


def _slot(
    worker: fleet_worker.Worker,
    now: float,
    slow: bool,
) -> task_placement.WorkerCapacity:
    releases = []
    for run in worker.runs_by_key.values():
        after = STOPPING_SECONDS
        if run.phase is not table.RunPhase.STOPPING:
            after = run.remaining(now)
        releases.append(task_placement.Release(after, run.step.room))
    entry = worker.entry
    return task_placement.WorkerCapacity(
        entry.worker_id,
        entry.service_id,
        entry.rack,
        entry.labels,
        entry.room,
        worker.free(),
        tuple(releases),
        slow=slow,
    )


def _running_task(run: table.Run, now: float) -> task_preemption.RunningTask:
    task = run.task
    group: tuple[str, ...] = (task.name, )
    if run.step.gang:
        group = (task.job_id, str(task.occurrence), str(task.step))
    return task_preemption.RunningTask(
        task,
        group,
        run.worker_id,
        run.priority,
        run.step.room,
        now - run.ordered_at,
        run.step.checkpoints,
    )


__all__ = ('Scheduler', )
