"""Gang scheduler of nutmegd: decides which job runs where in a failure domain.

The platform daemon's counterpart for tasks of job steps is ``task_planning``.
"""
from __future__ import annotations

import heapq
import random
import typing

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import admission
from nutmegworks.policy import bitmask
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import events
from nutmegworks.policy import gang_placement
from nutmegworks.policy import gang_starts
from nutmegworks.policy import interfaces
from nutmegworks.policy import job as jobs
from nutmegworks.policy import ledger as ledgers
from nutmegworks.policy import lifecycle
from nutmegworks.policy import occupancy as occupancies
from nutmegworks.policy import queue as queues
from nutmegworks.policy import reserve

# Groups of waiting jobs tried after one event, which bounds its cost; the
# others follow at ticks.
MAX_GROUPS_TRIED: typing.Final = 128
# Groups whose sort key is recomputed at a tick, which bounds its cost.
MAX_GROUPS_REFRESHED: typing.Final = 256
# Failures of one kind after which a job is refused. A failed start costs
# nothing, and lost workers are rarely the job's fault.
MAX_FAILURES_BY_KIND: typing.Final = {
    events.FailureKind.START: 20,
    events.FailureKind.TASK: 3,
    events.FailureKind.WORKER: 8,
}
# Delay after a failed start, doubled with each further one up to a limit.
FIRST_RETRY_DELAY_SECONDS: typing.Final = 0.5
MAX_RETRY_DELAY_SECONDS: typing.Final = 30.0
# How long a job is not placed on the workers on which it last failed.
AVOID_WORKER_SECONDS: typing.Final = 120.0
# How long a lost worker counts as one that may return; until then, jobs that
# need it to fit are not refused.
LOST_WORKER_RETENTION_SECONDS: typing.Final = 3600.0

# States in which an attempt of a job occupies accelerators.
_OCCUPYING_STATES: typing.Final = (jobs.State.RUNNING, jobs.State.STOPPING)


class Scheduler:
    """Schedules the gang jobs of one failure domain.

    It does no I/O and reads no clock. The caller passes events in order and
    executes the returned actions. A new owner of the domain passes the
    configuration, the workers, the running jobs and the waiting jobs, in
    this order.

    :param domain_id: selects the guarantees that apply.
    :param random_source: used only by the random placement policy.
    :param policy: chooses among placements that are all allowed.
    """

    def __init__(
        self,
        domain_id: ids.DomainId,
        *,
        random_source: random.Random,
        estimator: interfaces.RunTimeEstimator | None = None,
        queue_order: interfaces.QueueOrder | None = None,
        quarantine: interfaces.Quarantine | None = None,
        policy: gang_placement.PlacementPolicy | None = None,
    ) -> None:
        self.random_source = random_source
        self.cluster = clusters.Cluster()
        self.ledger = ledgers.GuaranteeLedger(self.cluster, domain_id)
        self.job_by_id: dict[ids.JobId, jobs.Job] = {}
        self._estimator = estimator or interfaces.DeclaredRunTime()
        self._quarantine = quarantine or interfaces.NoQuarantine()
        self.queue = queues.JobQueue(
            queue_order or interfaces.EarliestDeadline()
        )
        self._configuration: work.Configuration | None = None
        self._now = 0.0
        self._resume_after_rank: typing.Any = None
        self._capacity_changed = False
        self._down_since: dict[ids.WorkerId, float] = {}
        # Workers that returned with another rack or size while their old
        # record is still in use.
        self._returning: dict[ids.WorkerId, events.WorkerUp] = {}
        # Workers quarantined by the policy rather than by an event.
        self._quarantined_by_policy: set[ids.WorkerId] = set()
        self._delayed: list[tuple[float, ids.JobId]] = []
        self._occupancy = occupancies.Occupancy(self.cluster)
        self._lifecycle = lifecycle.Lifecycle(self._occupancy)
        self._reservations = reserve.ReservationTable(
            self.cluster,
            self.ledger,
            self._expected_end,
        )
        self._planner = gang_starts.StartPlanner(
            self.cluster,
            self.ledger,
            self._reservations,
            policy or gang_placement.LeastFragmentation(),
            self.job_by_id.__getitem__,
        )
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = {
            events.JobArrived: self._job_arrived,
            events.JobRestored: self._job_restored,
            events.JobStarted: self._job_started,
            events.JobCheckpointed: self._job_checkpointed,
            events.JobStopped: self._job_stopped,
            events.JobFinished: self._job_finished,
            events.JobFailed: self._job_failed,
            events.JobCancelled: self._job_cancelled,
            events.WorkerUp: self._worker_up,
            events.WorkerDown: self._worker_down,
            events.WorkerQuarantined: self._worker_quarantined,
            events.WorkerReadmitted: self._worker_readmitted,
            events.ConfigurationChanged: self._configuration_changed,
            events.Tick: self._tick,
        }

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        """Apply one event and return the actions that follow from it.

        :param now: seconds; never decreases between calls.
        """
        self._now = now
        self._handlers[type(event)](event)
        if self._capacity_changed:
            self._capacity_changed = False
            if self.ledger.unplaced:
                self.ledger.repair()
            self._serve_queue()
        return self._lifecycle.take_actions()

    # Jobs.

    def _new_job(
        self,
        event: events.JobArrived | events.JobRestored,
        work_class: work.WorkClass,
    ) -> jobs.Job:
        spec = event.spec
        return jobs.Job(
            job_id=event.job_id,
            spec=spec,
            work_class=work_class,
            accepted_at=event.accepted_at,
            estimate=self._estimator.estimate(
                spec.team_id,
                spec.class_id,
                spec.run_time,
            ),
            has_checkpoint=event.has_checkpoint,
        )

    def _job_arrived(self, event: events.JobArrived) -> None:
        if event.job_id in self.job_by_id:
            return
        refusal = self._check_entitlement(event.spec)
        if refusal is not None:
            self._refuse_arrival(event, refusal)
            return
        assert self._configuration is not None
        work_class = self._configuration.class_by_id[event.spec.class_id]
        job = self._new_job(event, work_class)
        job.attempt = event.attempts
        job.executed = event.attempts > 0
        self.job_by_id[job.job_id] = job
        refusal = admission.check_job(
            self._configuration,
            self.cluster,
            self.ledger,
            job,
        )
        if refusal is not None:
            self._refuse(job, *refusal)
        elif not job.may_run_again:
            self._refuse(
                job,
                events.Reason.MAY_HAVE_RUN,
                'an earlier attempt may have run',
            )
        else:
            self.queue.add(job, self._now)
            if self.queue.first(queues.group_key(job)) is job:
                self._serve_first(queues.group_key(job))

    def _check_entitlement(
        self,
        spec: work.JobSpec,
    ) -> admission.Refusal | None:
        if self._configuration is None:
            return events.Reason.UNKNOWN_CLASS, 'no configuration yet'
        return admission.check_entitlement(self._configuration, spec)

    def _refuse_arrival(
        self,
        event: events.JobArrived,
        refusal: admission.Refusal,
    ) -> None:
        # The class may be unknown, so a placeholder completes the job.
        placeholder_class = work.WorkClass(
            event.spec.class_id,
            ids.ServiceId(''),
            0.0,
            0.0,
            False,
            False,
            frozenset(),
        )
        job = self._new_job(event, placeholder_class)
        job.attempt = event.attempts
        job.executed = event.attempts > 0
        self._lifecycle.refuse(job, self._now, *refusal)

    def _job_restored(self, event: events.JobRestored) -> None:
        is_known = event.job_id in self.job_by_id
        if is_known or self._configuration is None:
            return
        work_class = self._configuration.class_by_id.get(event.spec.class_id)
        if work_class is None:
            return
        job = self._new_job(event, work_class)
        job.attempt = event.attempt
        job.started_at = event.started_at
        job.executed = job.confirmed = True
        job.executed_earlier = event.attempt > 1
        job.state = jobs.State.RUNNING
        job.blocks = tuple(
            capacity.Block(
                member.worker_id,
                bitmask.from_indices(member.accelerators),
            ) for member in event.members
        )
        self.job_by_id[job.job_id] = job
        self._charge_restored(job)
        self._occupancy.occupy(job)
        if self.ledger.unplaced:
            self.ledger.repair()

    def _charge_restored(self, job: jobs.Job) -> None:
        worker_by_id = self.cluster.worker_by_id
        unused = all(
            not worker_by_id[worker_id].used & mask
            for worker_id, mask in job.blocks
        )
        within_guarantee = unused and self._occupancy.is_within_guarantee(job)
        if not within_guarantee and not job.reclaimable:
            # This owner bound the guarantees elsewhere than the previous one
            # did. A reclaimable job is charged as borrowed instead.
            within_guarantee = self.ledger.bind_around_running(
                job.spec.team_id,
                job.spec.shape,
                job.blocks,
            )
        if within_guarantee:
            job.charge = events.Charge.GUARANTEED
        elif not job.reclaimable:
            if not self.ledger.admit_non_reclaimable(job.job_id, job.blocks):
                self.ledger.displace(job.blocks)

    def _current_job(
        self,
        job_id: ids.JobId,
        attempt: int,
    ) -> jobs.Job | None:
        """Return the job if the attempt currently occupies accelerators."""
        job = self.job_by_id.get(job_id)
        if job is None or job.attempt != attempt:
            return None
        return job if job.state in _OCCUPYING_STATES else None

    def _job_started(self, event: events.JobStarted) -> None:
        job = self._current_job(event.job_id, event.attempt)
        if job is not None:
            job.confirmed = True

    def _job_checkpointed(self, event: events.JobCheckpointed) -> None:
        job = self._current_job(event.job_id, event.attempt)
        if job is None:
            return
        unsaved_since = job.started_at
        if job.checkpoint_at is not None:
            unsaved_since = job.checkpoint_at
        job.progress += self._now - unsaved_since
        job.checkpoint_at = self._now
        job.has_checkpoint = True
        if job.checkpointing:
            self._lifecycle.send_stop(job, self._now)

    def _job_stopped(self, event: events.JobStopped) -> None:
        job = self._current_job(event.job_id, event.attempt)
        if job is None:
            return
        if job.state is jobs.State.RUNNING:
            # Stopped without a stop request: the members lost their leases.
            self._count_failure(job, events.FailureKind.WORKER, None)
        self._end_attempt(job, events.Reason.STOPPED)

    def _job_finished(self, event: events.JobFinished) -> None:
        job = self._current_job(event.job_id, event.attempt)
        if job is None:
            return
        self._release(job, events.Reason.FINISHED)
        self._remove_job(job)

    def _job_failed(self, event: events.JobFailed) -> None:
        job = self._current_job(event.job_id, event.attempt)
        if job is None:
            return
        if event.kind is events.FailureKind.START:
            job.executed = job.executed_earlier
        if job.state is jobs.State.RUNNING:
            self._count_failure(job, event.kind, event.worker_id)
        if event.worker_id is not None:
            self._sync_quarantine(event.worker_id)
        if event.members_stopped:
            reason = events.Reason.STOPPED
            if event.kind is events.FailureKind.START:
                reason = events.Reason.START_FAILED
            self._end_attempt(job, reason)
        else:
            reason = events.Reason.TASK_FAILED
            if event.kind is events.FailureKind.WORKER:
                reason = events.Reason.WORKER_LOST
            self._lifecycle.begin_stop(job, self._now, reason)

    def _count_failure(
        self,
        job: jobs.Job,
        kind: events.FailureKind,
        worker_id: ids.WorkerId | None,
    ) -> None:
        job.failure = kind
        job.failures[kind] += 1
        if worker_id is not None:
            job.failed_workers.add(worker_id)
            job.avoid_workers_until = self._now + AVOID_WORKER_SECONDS

    def _job_cancelled(self, event: events.JobCancelled) -> None:
        job = self.job_by_id.get(event.job_id)
        if job is None:
            return
        job.cancelled = True
        if job.state in _OCCUPYING_STATES:
            self._lifecycle.begin_stop(
                job,
                self._now,
                events.Reason.CANCELLED,
            )
            if job.checkpointing:
                # The job will not resume, so the checkpoint is not needed.
                self._lifecycle.send_stop(job, self._now)
            return
        if job.state is jobs.State.CLAIMING:
            self._occupancy.vacate(job)
            self._capacity_changed = True
        self._remove_job(job)

    # Attempts.

    def _expected_end(self, job_id: ids.JobId) -> float:
        return self.job_by_id[job_id].expected_end(self._now)

    def _release(self, job: jobs.Job, reason: events.Reason) -> None:
        worker_ids = self._lifecycle.release(job, self._now, reason)
        self._reservations.attempt_ended(job)
        self._capacity_changed = True
        claimants: dict[ids.JobId, None] = {}
        for worker_id in worker_ids:
            worker = self.cluster.worker_by_id[worker_id]
            claimants |= dict.fromkeys(worker.claims)
        for job_id in claimants:
            claimant = self.job_by_id[job_id]
            occupants, _ = self._occupancy.other_jobs(job_id, claimant.blocks)
            if not occupants:
                self._lifecycle.start(claimant, self._now)

    def _end_attempt(self, job: jobs.Job, reason: events.Reason) -> None:
        """Release a stopped attempt and decide whether to start another."""
        self._release(job, reason)
        if job.cancelled:
            self._remove_job(job)
        elif not job.may_run_again:
            self._refuse(
                job,
                events.Reason.MAY_HAVE_RUN,
                'the work may have been billed and cannot be resumed',
            )
        elif job.failure is None:
            self._requeue(job)
        else:
            self._retry(job, job.failure)

    def _retry(self, job: jobs.Job, kind: events.FailureKind) -> None:
        count = job.failures[kind]
        if count >= MAX_FAILURES_BY_KIND[kind]:
            self._refuse(
                job,
                events.Reason.ATTEMPTS_EXHAUSTED,
                f'{count} attempts failed ({kind.value})',
            )
        elif kind is events.FailureKind.START:
            job.state = jobs.State.DELAYED
            delay = FIRST_RETRY_DELAY_SECONDS * 2**(count - 1)
            due_at = self._now + min(delay, MAX_RETRY_DELAY_SECONDS)
            self._delayed.append((due_at, job.job_id))
        else:
            self._requeue(job)

    def _requeue(self, job: jobs.Job) -> None:
        """Return a job to the queue unless it has lost its entitlement."""
        assert self._configuration is not None
        job.state = jobs.State.WAITING
        refusal = admission.check_entitlement(self._configuration, job.spec)
        if refusal is not None:
            self._refuse(job, *refusal)
            return
        job.work_class = self._configuration.class_by_id[job.spec.class_id]
        self.queue.add(job, self._now)

    def _refuse(
        self,
        job: jobs.Job,
        reason: events.Reason,
        detail: str,
    ) -> None:
        self._lifecycle.refuse(job, self._now, reason, detail)
        self._remove_job(job)

    def _remove_job(self, job: jobs.Job) -> None:
        self.queue.discard(job, self._now)
        self._drop_reservations(job)
        self.job_by_id.pop(job.job_id, None)

    def _drop_reservations(self, job: jobs.Job) -> None:
        reservation = self._reservations.held_by(job)
        if reservation is not None:
            self._reservations.release(reservation)
            self._capacity_changed = True

    def _withdraw_claim(self, job: jobs.Job) -> None:
        """Withdraw what a job claims and return the job to the queue."""
        self._occupancy.vacate(job)
        job.blocks = ()
        self._requeue(job)
        self._capacity_changed = True

    # Serving the queue.

    def _serve_queue(self) -> None:
        """Try up to MAX_GROUPS_TRIED waiting groups in order."""
        self._serve_groups(self.queue.ranked_groups(MAX_GROUPS_TRIED))

    def _serve_groups(self, ranks: list[typing.Any]) -> None:
        limit_reached = len(ranks) == MAX_GROUPS_TRIED
        self._resume_after_rank = ranks[-1] if limit_reached else None
        # A sorted list is a heap. After a start, the group is ranked by its
        # next job, possibly behind other groups.
        while ranks:
            key = heapq.heappop(ranks)[-1]
            if self._serve_first(key):
                rank = self.queue.rank(key)
                if rank is not None:
                    heapq.heappush(ranks, rank)

    def _serve_first(self, key: queues.GroupKey) -> bool:
        """Start the first job of a group, or reserve blocks for it.

        :return: whether it was started or claims accelerators.
        """
        job = self.queue.first(key)
        if job is None:
            return False
        plan = self._planner.plan(job, self._now)
        if plan is None:
            self._reservations.reserve(job, self._now)
            return False
        self._execute_plan(job, plan)
        return True

    def _execute_plan(
        self, job: jobs.Job, plan: gang_starts.StartPlan
    ) -> None:
        self._drop_reservations(job)
        self.queue.discard(job, self._now)
        job.blocks = plan.blocks
        job.charge = plan.charge
        job.start_reason = plan.reason
        if plan.reservation is not None:
            plan.reservation.backfilled_job_ids.add(job.job_id)
        occupants, claimants = self._occupancy.other_jobs(
            job.job_id,
            plan.blocks,
        )
        for claimant_id in claimants:
            self._withdraw_claim(self.job_by_id[claimant_id])
        if not occupants:
            self._lifecycle.start(job, self._now)
            return
        job.state = jobs.State.CLAIMING
        self._occupancy.claim(job)
        reason = events.Reason.RECLAIMED
        if plan.charge is events.Charge.BORROWED:
            reason = events.Reason.URGENT
        for occupant_id in occupants:
            self._reclaim(self.job_by_id[occupant_id], reason, job)

    def _reclaim(
        self,
        victim: jobs.Job,
        reason: events.Reason,
        job: jobs.Job,
    ) -> None:
        self._lifecycle.begin_stop(
            victim,
            self._now,
            reason,
            checkpoint=True,
            for_job=job,
            detail=f'needed by team {job.spec.team_id}',
        )

    # Workers.

    def _worker_up(self, event: events.WorkerUp) -> None:
        worker = self.cluster.worker_by_id.get(event.worker_id)
        if worker is not None:
            if worker.up:
                # It restarted without a WorkerDown event; its tasks are lost.
                self._lose_worker(worker)
            recorded = (worker.rack_id, worker.accelerators)
            if recorded != (event.rack_id, event.accelerators):
                # Retried at each tick until its old tasks have been released.
                self._returning[event.worker_id] = event
                if not self._remove_worker(worker):
                    return
                worker = None
        if worker is None:
            worker = self.cluster.add_worker(
                event.worker_id,
                event.rack_id,
                event.accelerators,
            )
        self._down_since.pop(event.worker_id, None)
        replaced = self._returning.pop(event.worker_id, None) is not None
        worker.up = True
        self.cluster.refresh(worker)
        self._sync_quarantine(event.worker_id)
        if replaced:
            self.ledger.repair()
            self._refuse_unplaceable()
        self._capacity_changed = True

    def _worker_down(self, event: events.WorkerDown) -> None:
        worker = self.cluster.worker_by_id.get(event.worker_id)
        if worker is not None and worker.up:
            self._down_since[event.worker_id] = self._now
            self._lose_worker(worker)
        self._returning.pop(event.worker_id, None)

    def _lose_worker(self, worker: clusters.Worker) -> None:
        """Mark a worker as lost and stop the gangs that ran on it.

        Their accelerators stay occupied until the members answer or their
        leases expire, because some members may still run.
        """
        worker.up = False
        self.cluster.refresh(worker)
        for job_id in list(worker.occupants):
            job = self.job_by_id[job_id]
            if job.state is jobs.State.RUNNING:
                self._count_failure(job, events.FailureKind.WORKER, None)
                self._lifecycle.begin_stop(
                    job,
                    self._now,
                    events.Reason.WORKER_LOST,
                    detail=f'worker {worker.worker_id} was lost',
                )
        self._vacate_unavailable(worker)

    def _vacate_unavailable(self, worker: clusters.Worker) -> None:
        """Withdraw claims and move guarantees off an unavailable worker."""
        for job_id in list(worker.claims):
            self._withdraw_claim(self.job_by_id[job_id])
        self.ledger.worker_lost(worker.worker_id)
        self._capacity_changed = True

    def _remove_worker(self, worker: clusters.Worker) -> bool:
        """Remove a worker unless work or a guarantee is bound to it.

        :return: whether it was removed.
        """
        if worker.occupants or worker.bound_by_team:
            return False
        self.cluster.remove_worker(worker.worker_id)
        return True

    def _worker_quarantined(self, event: events.WorkerQuarantined) -> None:
        self._set_quarantined(event.worker_id, True)

    def _worker_readmitted(self, event: events.WorkerReadmitted) -> None:
        self._set_quarantined(event.worker_id, False)

    def _set_quarantined(
        self,
        worker_id: ids.WorkerId,
        quarantined: bool,
    ) -> None:
        worker = self.cluster.worker_by_id.get(worker_id)
        if worker is None or worker.quarantined == quarantined:
            return
        worker.quarantined = quarantined
        self.cluster.refresh(worker)
        if quarantined:
            self._vacate_unavailable(worker)
        self._capacity_changed = True

    def _sync_quarantine(self, worker_id: ids.WorkerId) -> None:
        if self._quarantine.is_quarantined(worker_id):
            self._quarantined_by_policy.add(worker_id)
            self._set_quarantined(worker_id, True)

    def _end_quarantines(self) -> None:
        for worker_id in sorted(self._quarantined_by_policy):
            if not self._quarantine.is_quarantined(worker_id):
                self._quarantined_by_policy.remove(worker_id)
                self._set_quarantined(worker_id, False)

    # Configuration and time.

    def _configuration_changed(
        self,
        event: events.ConfigurationChanged,
    ) -> None:
        previous = self._configuration
        self._configuration = event.configuration
        changed = self.ledger.configure(
            event.configuration,
            self._guarantees_dropped,
        )
        if previous is None or _entitlements(previous) != _entitlements(
                event.configuration):
            self._refuse_unentitled()
        if changed:
            self._refuse_unplaceable()
        self._capacity_changed = True

    def _guarantees_dropped(self, worker_ids: set[ids.WorkerId]) -> None:
        """Charge jobs outside their team's guarantee as borrowed.

        Taking slots off the blocks of a non-reclaimable job may leave other
        jobs on these workers outside a guarantee, so they are checked too.

        :param worker_ids: workers on which slots were dropped.
        """
        pending = list(worker_ids)
        while pending:
            worker = self.cluster.worker_by_id[pending.pop()]
            for job_id in [*worker.occupants, *worker.claims]:
                job = self.job_by_id[job_id]
                if job.charge is not events.Charge.GUARANTEED:
                    continue
                if self._occupancy.is_within_guarantee(job):
                    continue
                self._occupancy.charge_as_borrowed(job)
                if not job.reclaimable:
                    self.ledger.displace(job.blocks)
                    pending += [block.worker_id for block in job.blocks]

    def _refuse_unentitled(self) -> None:
        assert self._configuration is not None
        for job in list(self.job_by_id.values()):
            refusal = admission.check_entitlement(
                self._configuration,
                job.spec,
            )
            if job.state in _OCCUPYING_STATES:
                # The masks of its accelerators follow the class it started in.
                continue
            if job.state is jobs.State.CLAIMING:
                self._withdraw_claim(job)
            if refusal is not None:
                # Withdrawing the claims may have refused the job already.
                if job.job_id in self.job_by_id:
                    self._refuse(job, *refusal)
            else:
                class_by_id = self._configuration.class_by_id
                job.work_class = class_by_id[job.spec.class_id]

    def _refuse_unplaceable(self) -> None:
        """Refuse waiting jobs that can no longer be placed, group by group."""
        if self._configuration is None:
            return
        for key in self.queue.keys():
            while (job := self.queue.first(key)) is not None:
                refusal = admission.check_job(
                    self._configuration,
                    self.cluster,
                    self.ledger,
                    job,
                )
                if refusal is None:
                    break
                self._refuse(job, *refusal)

    def _tick(self, event: events.Tick) -> None:
        self._run_timers()
        self._end_delays()
        self._reclaim_backfilled()
        self._serve_reserved()
        self._remove_lost_workers()
        self._end_quarantines()
        for returning in list(self._returning.values()):
            self._worker_up(returning)
        self.queue.refresh(MAX_GROUPS_REFRESHED, self._now)
        if self._resume_after_rank is None:
            self._capacity_changed = True
        elif not self._capacity_changed:
            following = self.queue.ranked_groups(
                MAX_GROUPS_TRIED, self._resume_after_rank
            )
            self._serve_groups(following)

    def _run_timers(self) -> None:
        for timer in self._lifecycle.timers.pop_due(self._now):
            job = self._current_job(timer.job_id, timer.attempt)
            if job is None or job.state is not jobs.State.STOPPING:
                continue
            if timer.checkpointing and job.checkpointing:
                self._lifecycle.send_stop(
                    job,
                    self._now,
                    'no checkpoint in time',
                )
            elif not timer.checkpointing:
                self._end_attempt(job, events.Reason.LEASE_EXPIRED)

    def _end_delays(self) -> None:
        due = [
            job_id for due_at, job_id in self._delayed if due_at <= self._now
        ]
        if not due:
            return
        self._delayed = [item for item in self._delayed if item[0] > self._now]
        for job_id in due:
            job = self.job_by_id.get(job_id)
            if job is not None and job.state is jobs.State.DELAYED:
                self._requeue(job)
                self._capacity_changed = True

    def _reclaim_backfilled(self) -> None:
        """Reclaim backfilled jobs that still run when a reservation is due."""
        for reservation in self._reservations.all():
            if self._now < reservation.ready_at:
                continue
            holder = self.job_by_id[reservation.job_id]
            for job_id in self._reservations.occupants(reservation.blocks):
                job = self.job_by_id[job_id]
                if job_id in reservation.backfilled_job_ids:
                    if job.state is jobs.State.CLAIMING:
                        self._withdraw_claim(job)
                    else:
                        self._reclaim(job, events.Reason.RECLAIMED, holder)

    def _serve_reserved(self) -> None:
        """Start jobs whose reserved blocks are free.

        Such a job need not be the first of its group: an older one may have
        returned to the queue after its worker was lost.
        """
        for reservation in self._reservations.all():
            if not self._reservations.is_valid(reservation):
                self._reservations.release(reservation)
                self._capacity_changed = True
            elif not self._reservations.occupants(reservation.blocks):
                job = self.job_by_id[reservation.job_id]
                plan = self._planner.plan(job, self._now)
                if plan is not None:
                    self._execute_plan(job, plan)

    def _remove_lost_workers(self) -> None:
        for worker_id, down_since in list(self._down_since.items()):
            if self._now - down_since < LOST_WORKER_RETENTION_SECONDS:
                # The entries are ordered by time.
                break
            worker = self.cluster.worker_by_id[worker_id]
            if self._remove_worker(worker):
                del self._down_since[worker_id]
                self._refuse_unplaceable()


def _entitlements(
    configuration: work.Configuration,
) -> tuple[typing.Any, ...]:
    return configuration.class_by_id, set(configuration.team_by_id)


__all__ = ('MAX_FAILURES_BY_KIND', 'Scheduler')
