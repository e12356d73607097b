"""Keeps the ledger of a shard in step with its scheduler."""
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
class _Attempt:
    """A job that holds accelerators.

    :param lender_id: for whom it is being stopped; empty if it is not.
    """

    team_class: attribution.TeamClass
    members: tuple[events.Member, ...]
    lender_id: ids.TeamId = ids.TeamId('')

    @property
    def accelerators(self) -> int:
        return sum(len(member.accelerators) for member in self.members)


class Accountant:
    """Derives the use of every accelerator from events and actions.

    :param domain_id: the failure domain of the shard.
    """

    def __init__(self, account: ledger.Ledger, domain_id: ids.DomainId):
        self.account = account
        self._domain_id = domain_id
        self._attempt_by_job: dict[ids.JobId, _Attempt] = {}
        self._spec_by_job: dict[ids.JobId, work.JobSpec] = {}
        self._size_by_worker: dict[ids.WorkerId, int] = {}
        self._lost: set[ids.WorkerId] = set()
        self._quarantined: set[ids.WorkerId] = set()
        self._guaranteed: dict[ids.TeamId, int] = {}
        self._largest_block = 1

    def observe(
        self,
        event: events.Event,
        actions: typing.Sequence[events.Action],
        now: float,
    ) -> None:
        """Record an event and the actions that followed from it.

        :param now: seconds since 1970.
        """
        now_ms = int(now * 1000)
        changed = self._observe_event(event)
        for action in actions:
            changed = self._observe_action(action, now_ms) or changed
        if changed:
            self.account.reconcile(self._counts(), now_ms)

    def _observe_event(self, event: events.Event) -> bool:
        if isinstance(event, (events.JobArrived, events.JobRestored)):
            self._spec_by_job[event.job_id] = event.spec
        if isinstance(event, events.JobRestored):
            self._begin(event.job_id, event.members)
        elif isinstance(event, events.WorkerUp):
            self._size_by_worker[event.worker_id] = event.accelerators
            self._lost.discard(event.worker_id)
        elif isinstance(event, events.WorkerDown):
            self._lost.add(event.worker_id)
        elif isinstance(event, events.WorkerQuarantined):
            self._quarantined.add(event.worker_id)
        elif isinstance(event, events.WorkerReadmitted):
            self._quarantined.discard(event.worker_id)
        elif isinstance(event, events.ConfigurationChanged):
            self._configure(event.configuration)
        else:
            return False
        return True

    def _configure(self, configuration: work.Configuration) -> None:
        self._guaranteed = {}
        self._largest_block = 1
        for team in configuration.team_by_id.values():
            for guarantee in team.guarantees:
                if guarantee.domain_id != self._domain_id:
                    continue
                count = sum(item.accelerators for item in guarantee.shapes)
                self._guaranteed[team.team_id] = count
                sizes = [item.block_size for item in guarantee.shapes]
                self._largest_block = max(self._largest_block, *sizes)

    def _observe_action(self, action: events.Action, now_ms: int) -> bool:
        kind = _KIND_BY_ACTION.get(type(action))
        if kind is not None:
            self._record(action, kind, now_ms)
        if isinstance(action, events.StartJob):
            self._begin(action.job_id, action.members)
        elif isinstance(action, events.ReleaseJob):
            self._attempt_by_job.pop(action.job_id, None)
        elif isinstance(action, (events.CheckpointJob, events.StopJob)):
            return self._reclaim(action.job_id, action.for_job_id)
        elif isinstance(action, events.RefuseJob):
            self._spec_by_job.pop(action.job_id, None)
            return False
        return True

    def _begin(
        self,
        job_id: ids.JobId,
        members: tuple[events.Member, ...],
    ) -> None:
        spec = self._spec_by_job[job_id]
        team_class = (spec.team_id, spec.class_id)
        self._attempt_by_job[job_id] = _Attempt(team_class, members)

    def _reclaim(
        self,
        job_id: ids.JobId,
        for_job_id: ids.JobId | None,
    ) -> bool:
        attempt = self._attempt_by_job.get(job_id)
        owner = self._spec_by_job.get(for_job_id) if for_job_id else None
        if attempt is None or owner is None:
            return False
        if owner.team_id != attempt.team_class[0]:
            attempt.lender_id = owner.team_id
        return True

    def _record(
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

    def _counts(self) -> dict[use.Use, int]:
        """Return accelerators by use; each counts once."""
        counts: collections.Counter[use.Use] = collections.Counter()
        running: collections.Counter[attribution.TeamClass
                                     ] = (collections.Counter())
        used: collections.Counter[ids.WorkerId] = collections.Counter()
        for attempt in self._attempt_by_job.values():
            for member in attempt.members:
                used[member.worker_id] += len(member.accelerators)
            if attempt.lender_id:
                team_id, class_id = attempt.team_class
                counts[use.Use(
                    use.Category.RECLAIMED, team_id, class_id,
                    attempt.lender_id
                )] += attempt.accelerators
            else:
                running[attempt.team_class] += attempt.accelerators
        total = sum(self._size_by_worker.values())
        unguaranteed = total - sum(self._guaranteed.values())
        counts.update(
            attribution.attribute(running, self._guaranteed, unguaranteed)
        )
        for worker_id, size in self._size_by_worker.items():
            free = size - used[worker_id]
            if free > 0:
                counts[self._free_use(worker_id, free)] += free
        return dict(counts)

    def _free_use(self, worker_id: ids.WorkerId, free: int) -> use.Use:
        if worker_id in self._lost:
            return use.Use(use.Category.LOST)
        if worker_id in self._quarantined:
            return use.Use(use.Category.QUARANTINED)
        if free < self._largest_block:
            return use.Use(use.Category.IDLE_SCATTERED)
        return use.Use(use.Category.IDLE)


__all__ = ('Accountant', )
