"""Runs scheduling rounds over the leader's state and applies their plans."""
from __future__ import annotations

import functools
import time
import typing

import curio
import logbook

from nutmegworks.fleet import avoidance
from nutmegworks.fleet import capacities
from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import membership
from nutmegworks.fleet import orders as fleet_orders
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.policy import reservation_terms
from nutmegworks.policy import task_demand
from nutmegworks.policy import task_placement
from nutmegworks.policy import task_planning
from nutmegworks.policy import task_preemption
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('scheduler')

# Minimum time between rounds, so that a burst of events costs one round.
ROUND_PAUSE_SECONDS: typing.Final = 0.02
# Maximum time between rounds, because progress of runs and due times change
# without an event.
MAX_ROUND_INTERVAL_SECONDS: typing.Final = 0.3
# Added to the time in which victims stop, for which their resources stay
# reserved; after that, resources that are not free are planned again.
RESERVATION_MARGIN_SECONDS: typing.Final = 0.3
# Assumed for a leaving worker that does not say how long it still runs.
LEAVING_SECONDS: typing.Final = 2.0


class Scheduler:
    """Runs scheduling rounds while this daemon leads."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        orders: fleet_orders.Orders,
        member: membership.Membership,
        holder: configuration_holder.ConfigurationHolder,
        bounds: task_planning.Bounds,
    ) -> None:
        self._bounds = bounds
        self._state = state
        self._configuration_holder = holder
        self._orders = orders
        self._member = member
        # Workers of victims by the demand that gets them, with the seconds of
        # membership.steady_clock at which the reservation expires.
        self._reservations: dict[
            task_demand.DemandKey,
            tuple[task_placement.Placement, float],
        ] = {}
        self._terms = reservation_terms.ReservationTerms()
        self._capacities = capacities.Capacities(state, bounds)
        self._avoidance = avoidance.Avoidance(state, self._capacities)

    async def run(self) -> None:
        """Run a round whenever something has changed, until cancelled."""
        while True:
            await curio.ignore_after(
                MAX_ROUND_INTERVAL_SECONDS, self._state.round_needed.wait
            )
            self._state.round_needed.clear()
            if self._member.may_act_as_leader():
                await self.round()
            await curio.sleep(ROUND_PAUSE_SECONDS)

    async def round(self) -> None:
        """Run one round at the present time."""
        now = membership.steady_clock()
        self._drain_leaving_workers(now)
        waiting = self._avoidance.restrict(self._demands(now), now)
        pauses = self._terms.pauses({demand.key for demand in waiting}, now)
        if waiting:
            plan = task_planning.plan(
                waiting,
                self._capacities.available(now),
                self._running(now),
                self._valid_reservations(now),
                self._bounds,
                pauses,
            )
            self._terms.record(plan.waits, plan.reservations, now)
            for task, job_id in plan.stops:
                self._preempt(task, job_id)
            reserved_until = (
                now + self._bounds.stop + RESERVATION_MARGIN_SECONDS
            )
            for key, placement in plan.reservations.items():
                self._reservations[key] = placement, reserved_until
            self._record_waits(waiting, plan, now)
            for start in plan.starts:
                self._reservations.pop(start.demand.key, None)
                await self._start(start, now)
        await self._state.notify_store_and_stops()

    def _record_waits(
        self,
        waiting: typing.Iterable[task_demand.Demand],
        plan: task_planning.Plan,
        now: float,
    ) -> None:
        """Record what jobs wait for; a job waits if one of its steps does."""
        for demand in waiting:
            times = self._state.jobs_by_id[demand.job_id].wait_times
            cause = plan.wait_causes.get(demand.key)
            if cause is None:
                times.stop(now)
            else:
                times.wait_for(cause, now)

    def _valid_reservations(self, now: float) -> task_planning.Reservations:
        self._reservations = {
            key: reservation
            for key, reservation in self._reservations.items()
            if reservation[1] > now
        }
        return {
            key: placement
            for key, (placement, _) in self._reservations.items()
        }

    def _preempt(
        self,
        task: task_preemption.RunningTask,
        job_id: ids.JobId,
    ) -> None:
        job = self._state.jobs_by_id[task.task.job_id]
        run = job.runs_by_task.get(task.task)
        if run is not None:
            self._state.stop_run(run, f'preempted for {job_id}')

    async def _start(self, start: task_planning.Start, now: float) -> None:
        demand = start.demand
        job = self._state.jobs_by_id[demand.job_id]
        assignments = []
        for index, worker_id in zip(start.indexes, start.worker_ids):
            task = spec.TaskKey(
                job.job_id, demand.occurrence, demand.step.number, index
            )
            assignments.append((task, self._state.workers_by_id[worker_id]))
        created = self._create_runs(job, demand, assignments, now)
        _LOG.info(
            'starting tasks',
            job=job.job_id,
            queue=job.accepted.queue,
            step=demand.step.number,
            occurrence=demand.occurrence,
            run=created[0].number,
            workers=[run.worker_id for run in created],
            waited=round(demand.waited, 3),
            prospect=demand.timeliness.name,
            recourse=demand.recourse.value,
            overdue=start.overdue,
        )
        await curio.spawn(self._orders.start_runs, job, created, daemon=True)

    def _create_runs(
        self,
        job: table.Job,
        demand: task_demand.Demand,
        assignments: typing.Sequence[tuple[spec.TaskKey, fleet_worker.Worker]],
        now: float,
    ) -> list[table.Run]:
        progress = job.progress
        if progress.state is records.JobState.QUEUED:
            progress.state = records.JobState.ACTIVE
        if demand.step.gang:
            key = job.attempt_key(assignments[0][0])
            progress.runs[key] = progress.runs.get(key, 0) + 1
        created = []
        for task, worker in assignments:
            key = job.attempt_key(task)
            if not demand.step.gang:
                progress.runs[key] = progress.runs.get(key, 0) + 1
            assert worker.incarnation is not None
            run = table.Run(
                task,
                workers.RunNumber(progress.runs[key]),
                worker.worker_id,
                worker.incarnation,
                demand.step,
                job.accepted.priority,
                table.RunPhase.ORDERED,
                now,
                expected=demand.duration,
                resumed=bool(progress.saved.get(key)),
            )
            progress.assigned[table.task_name(task)] = records.Assignment(
                worker.worker_id, worker.incarnation, run.number
            )
            self._state.add_run(job, run)
            created.append(run)
        return created

    def _running(self, now: float) -> list[task_preemption.RunningTask]:
        return [
            _running_task(run, now)
            for worker in self._state.workers_by_id.values()
            for run in worker.runs_by_key.values()
            if run.phase is table.RunPhase.RUNNING
        ]

    def _demands(self, now: float) -> typing.Iterator[task_demand.Demand]:
        unix_now = time.time()
        guaranteed_teams = self._teams_within_guarantee()
        for job in self._state.jobs_by_id.values():
            if job.final or now < job.not_before:
                continue
            submission = job.submission
            for number in range(submission.occurrences):
                occurrence = spec.Occurrence(number)
                if submission.has_start_time and submission.earliest_start(
                        occurrence) > unix_now:
                    break
                yield from self._step_demands(
                    job, occurrence, now, unix_now, guaranteed_teams
                )

    def _step_demands(
        self,
        job: table.Job,
        occurrence: spec.Occurrence,
        now: float,
        unix_now: float,
        guaranteed_teams: typing.Collection[ids.TeamId],
    ) -> typing.Iterator[task_demand.Demand]:
        submission = job.submission
        expected = functools.partial(self._state.expected_seconds, job)
        for step in submission.steps:
            done = job.done(occurrence, step.number)
            if len(done) >= step.count:
                continue
            if not all(job.step_is_done(occurrence, submission.steps[other])
                       for other in step.depends_on):
                continue
            used: dict[ids.WorkerId, int] = {}
            tasks = []
            for index in range(step.count):
                if index in done:
                    continue
                task = spec.TaskKey(job.job_id, occurrence, step.number, index)
                run = job.runs_by_task.get(task)
                if run is None:
                    tasks.append(task)
                else:
                    used[run.worker_id] = used.get(run.worker_id, 0) + 1
            if not tasks or (step.gang and used):
                continue
            waited = now - job.arrived_at
            if submission.has_start_time:
                waited = max(
                    0.0, unix_now - submission.earliest_start(occurrence)
                )
            if step.endless:
                # The platform has a time limit for each of them.
                tasks.sort(
                    key=functools.partial(job.not_run_since, step, now=now)
                )
            idle = job.idle_seconds(step, tasks[0], now)
            yield task_demand.Demand(
                job_id=job.job_id,
                occurrence=occurrence,
                step=step,
                indexes=tuple(task.index for task in tasks),
                priority=job.accepted.priority,
                waited=waited,
                remaining=job.remaining_chain_seconds(occurrence, expected),
                objective=self._state.objective(job),
                sequence=job.sequence,
                service_id=ids.ServiceId(job.accepted.service),
                team_id=ids.TeamId(job.accepted.team),
                used_by_worker=used,
                expected=expected(step),
                guaranteed=(
                    job.accepted.priority == 0
                    and job.accepted.team in guaranteed_teams
                ),
                idle=None if idle is None else min(waited, idle),
            )

    def _teams_within_guarantee(self) -> typing.Collection[ids.TeamId]:
        """Return the teams whose urgent jobs all fit into their guarantee."""
        configuration = self._configuration_holder.value
        if configuration is None:
            return frozenset()
        needed: dict[ids.TeamId, int] = {}
        for job in self._state.jobs_by_id.values():
            if job.accepted.priority or job.final:
                continue
            team_id = ids.TeamId(job.accepted.team)
            widest = max(
                step.resources.times(step.count).accelerators
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

    def _drain_leaving_workers(self, now: float) -> None:
        """Stop runs that will not end before their worker has left."""
        for worker in self._state.workers_by_id.values():
            if worker.entry.state is not workers.WorkerState.LEAVING:
                continue
            remaining = worker.entry.remaining
            remaining = LEAVING_SECONDS if remaining is None else remaining
            remaining -= now - worker.registered_at
            for run in list(worker.runs_by_key.values()):
                if run.phase is not table.RunPhase.RUNNING:
                    continue
                if run.remaining(now) > remaining or run.step.endless:
                    self._state.stop_run(run, 'worker is leaving')
                    self._state.stop_gang(run, 'worker of a member is leaving')


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
        run.step.resources,
        now - run.ordered_at,
        run.step.checkpoints,
        run.step.endless,
    )


__all__ = ('Scheduler', )
