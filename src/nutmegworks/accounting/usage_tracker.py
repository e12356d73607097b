"""Updates the ledger of a shard from the events of its scheduler."""
from __future__ import annotations

import collections
import dataclasses
import typing

from nutmegworks.accounting import attribution
from nutmegworks.accounting import ledger
from nutmegworks.accounting import report
from nutmegworks.accounting import use
from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import events

_KIND_BY_ACTION: typing.Final = {
    events.StartJob: report.DecisionKind.PLACED,
    events.RefuseJob: report.DecisionKind.REFUSED,
}


@dataclasses.dataclass(slots=True)
class _Allocation:
    """The accelerators that are allocated to one job.

    :param lender_id: the team that reclaims the accelerators; empty unless
        the job is being stopped for that.
    """

    team_class: attribution.TeamClass
    members: tuple[events.Member, ...]
    lender_id: ids.TeamId = ids.TeamId('')

    @property
    def accelerators(self) -> int:
        return sum(len(member.accelerators) for member in self.members)


class UsageTracker:
    """Derives the use of every accelerator from scheduler events and actions.

    :param domain_id: the failure domain of the shard.
    """

    def __init__(self, account: ledger.Ledger, domain_id: ids.DomainId):
        self.account = account
        self._domain_id = domain_id
        self._allocation_by_job: dict[ids.JobId, _Allocation] = {}
        self._spec_by_job: dict[ids.JobId, work.JobSpec] = {}
        self._accelerators_by_worker: dict[ids.WorkerId, int] = {}
        self._lost_workers: set[ids.WorkerId] = set()
        self._quarantined_workers: set[ids.WorkerId] = set()
        self._guaranteed_by_team: dict[ids.TeamId, int] = {}
        self._largest_block = 1

    def observe(
        self,
        event: events.Event,
        actions: typing.Sequence[events.Action],
        now: float,
    ) -> None:
        """Record an event and the actions that the scheduler took on it.

        :param now: seconds since 1970.
        """
        now_ms = int(now * 1000)
        changed = self._observe_event(event)
        for action in actions:
            changed = self._observe_action(action, now_ms) or changed
        if changed:
            self.account.reconcile(self._count_by_use(), now_ms)

    def _observe_event(self, event: events.Event) -> bool:
        if isinstance(event, (events.JobArrived, events.JobRestored)):
            self._spec_by_job[event.job_id] = event.spec
        if isinstance(event, events.JobRestored):
            self._allocate(event.job_id, event.members)
        elif isinstance(event, events.WorkerUp):
            self._accelerators_by_worker[event.worker_id] = event.accelerators
            self._lost_workers.discard(event.worker_id)
        elif isinstance(event, events.WorkerDown):
            self._lost_workers.add(event.worker_id)
        elif isinstance(event, events.WorkerQuarantined):
            self._quarantined_workers.add(event.worker_id)
        elif isinstance(event, events.WorkerReadmitted):
            self._quarantined_workers.discard(event.worker_id)
        elif isinstance(event, events.ConfigurationChanged):
            self._configure(event.configuration)
        else:
            return False
        return True

    def _configure(self, configuration: work.Configuration) -> None:
        self._guaranteed_by_team = {}
        self._largest_block = 1
        for team in configuration.team_by_id.values():
            for guarantee in team.guarantees:
                if guarantee.domain_id != self._domain_id:
                    continue
                count = sum(item.accelerators for item in guarantee.shapes)
                self._guaranteed_by_team[team.team_id] = count
                sizes = [item.block_size for item in guarantee.shapes]
                self._largest_block = max(self._largest_block, *sizes)

    def _observe_action(self, action: events.Action, now_ms: int) -> bool:
        kind = _KIND_BY_ACTION.get(type(action))
        if kind is not None:
            self._record_decision(action, kind, now_ms)
        if isinstance(action, events.StartJob):
            self._allocate(action.job_id, action.members)
        elif isinstance(action, events.ReleaseJob):
            self._allocation_by_job.pop(action.job_id, None)
        elif isinstance(action, (events.CheckpointJob, events.StopJob)):
            return self._set_lender(action.job_id, action.for_job_id)
        elif isinstance(action, events.RefuseJob):
            self._spec_by_job.pop(action.job_id, None)
            return False
        return True

    def _allocate(
        self,
        job_id: ids.JobId,
        members: tuple[events.Member, ...],
    ) -> None:
        spec = self._spec_by_job[job_id]
        team_class = (spec.team_id, spec.class_id)
        self._allocation_by_job[job_id] = _Allocation(team_class, members)

    def _set_lender(
        self,
        job_id: ids.JobId,
        for_job_id: ids.JobId | None,
    ) -> bool:
        allocation = self._allocation_by_job.get(job_id)
        owner = self._spec_by_job.get(for_job_id) if for_job_id else None
        if allocation is None or owner is None:
            return False
        if owner.team_id != allocation.team_class[0]:
            allocation.lender_id = owner.team_id
        return True

    def _record_decision(
        self,
        action: events.Action,
        kind: report.DecisionKind,
        now_ms: int,
    ) -> None:
        spec = self._spec_by_job.get(action.job_id)
        if spec is None:
            return
        self.account.record(
            report.Decision(
                now_ms,
                kind,
                action.job_id,
                spec.team_id,
                spec.class_id,
                action.reason.value,
                action.detail,
            )
        )

    def _count_by_use(self) -> dict[use.Use, int]:
        """Return the number of accelerators by use; each is counted once."""
        counts: collections.Counter[use.Use] = collections.Counter()
        running: collections.Counter[attribution.TeamClass
                                     ] = (collections.Counter())
        used_by_id: collections.Counter[ids.WorkerId] = collections.Counter()
        for allocation in self._allocation_by_job.values():
            for member in allocation.members:
                used_by_id[member.worker_id] += len(member.accelerators)
            if allocation.lender_id:
                team_id, class_id = allocation.team_class
                counts[use.Use(
                    use.Category.RECLAIMED, team_id, class_id,
                    allocation.lender_id
                )] += allocation.accelerators
            else:
                running[allocation.team_class] += allocation.accelerators
        total = sum(self._accelerators_by_worker.values())
        unguaranteed = total - sum(self._guaranteed_by_team.values())
        counts.update(
            attribution.attribute(
                running, self._guaranteed_by_team, unguaranteed
            )
        )
        for worker_id, accelerators in self._accelerators_by_worker.items():
            free = accelerators - used_by_id[worker_id]
            if free > 0:
                counts[self._use_of_free_accelerators(worker_id, free)] += free
        return dict(counts)

    def _use_of_free_accelerators(
        self, worker_id: ids.WorkerId, free: int
    ) -> use.Use:
        if worker_id in self._lost_workers:
            return use.Use(use.Category.LOST)
        if worker_id in self._quarantined_workers:
            return use.Use(use.Category.QUARANTINED)
        if free < self._largest_block:
            return use.Use(use.Category.IDLE_SCATTERED)
        return use.Use(use.Category.IDLE)


__all__ = ('UsageTracker', )
