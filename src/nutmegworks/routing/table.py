"""Routing table: tracks the upstreams and selects one for each attempt."""
from __future__ import annotations

import collections
import random
import typing

from nutmegworks.adapters import hosts
from nutmegworks.adapters import upstreams
from nutmegworks.model import ids
from nutmegworks.routing import chooser as routing_chooser
from nutmegworks.routing import directory
from nutmegworks.routing import health

# Time for which an upstream that refused an attempt counts as full. Several
# daemons share its slots, so only the upstream knows how many are free.
REFUSAL_BACKOFF_SECONDS: typing.Final = 0.05


class RoutingTable:
    """Combines the directory, health and outstanding attempts.

    Times are seconds of one monotonic clock, passed in by the caller.
    """

    def __init__(
        self,
        own_domain_id: ids.DomainId,
        *,
        chooser: routing_chooser.Chooser | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.directory = directory.Directory()
        self._own_domain_id = own_domain_id
        self._chooser = chooser or routing_chooser.LeastOutstandingChooser()
        self._rng = rng or random.Random()
        self._health_tracker = health.HealthTracker()
        self._outstanding_by_id: collections.Counter[
            ids.UpstreamId] = (collections.Counter())
        self._other_outstanding_by_id: dict[ids.UpstreamId, int] = {}
        self._full_until_by_id: dict[ids.UpstreamId, float] = {}

    def update_hosts(
        self,
        listed_hosts: typing.Iterable[hosts.Host],
        now: float,
    ) -> None:
        """Replace the host list."""
        self.directory.update_hosts(listed_hosts, now)
        listed_ids = {item.upstream_id for item in self.directory.all()}
        self._health_tracker.retain(listed_ids)
        for by_id in (self._other_outstanding_by_id, self._full_until_by_id):
            for upstream_id in by_id.keys() - listed_ids:
                del by_id[upstream_id]

    def update_report(
        self,
        upstream_id: ids.UpstreamId,
        report: upstreams.UpstreamReport,
        now: float,
    ) -> None:
        """Apply the report of an upstream about itself."""
        self.directory.update_report(upstream_id, report, now)
        own_outstanding = self._outstanding_by_id[upstream_id]
        self._other_outstanding_by_id[upstream_id] = max(
            0, report.busy - own_outstanding
        )

    def select(
        self,
        service_id: ids.ServiceId,
        now: float,
        *,
        excluded: typing.AbstractSet[ids.UpstreamId] = frozenset(),
    ) -> directory.UpstreamEntry | None:
        """Choose an upstream and count the attempt as outstanding.

        :return: None if no upstream of the service has a free slot.
        """
        ready = {
            entry.upstream_id: entry
            for entry in self.directory.ready(service_id)
        }
        ejected = self._health_tracker.ejected(ready, now)
        candidates = [
            self._candidate(entry, now)
            for upstream_id, entry in ready.items()
            if upstream_id not in ejected and upstream_id not in excluded
        ]
        chosen = self._chooser.choose(
            candidates, self._own_domain_id, self._rng
        )
        if chosen is None:
            return None
        self._outstanding_by_id[chosen.upstream_id] += 1
        return ready[chosen.upstream_id]

    def usable_slots(self, service_id: ids.ServiceId, now: float) -> int:
        """Return the number of slots that this daemon can use, at least one.

        Excludes slots that other daemons used at the last reports.
        """
        ready = [item.upstream_id for item in self.directory.ready(service_id)]
        ejected = self._health_tracker.ejected(ready, now)
        slots = sum(
            max(0, item.usable_slots - item.other_outstanding) for item in (
                self._candidate(entry, now)
                for entry in self.directory.ready(service_id)
                if entry.upstream_id not in ejected
            )
        )
        return max(1, slots)

    def _candidate(
        self,
        entry: directory.UpstreamEntry,
        now: float,
    ) -> routing_chooser.Candidate:
        upstream_id = entry.upstream_id
        outstanding = self._outstanding_by_id[upstream_id]
        is_full = now < self._full_until_by_id.get(upstream_id, now)
        is_probing = (
            self._health_tracker.is_on_probation(upstream_id)
            and outstanding > 0
        )
        return routing_chooser.Candidate(
            upstream_id,
            entry.host.domain_id,
            outstanding,
            self._other_outstanding_by_id.get(upstream_id, 0),
            entry.slots,
            now - entry.ready_since,
            is_full or is_probing,
        )

    def record_result(
        self,
        upstream_id: ids.UpstreamId,
        request_id: ids.RequestId,
        error: upstreams.CallError | None,
        now: float,
        *,
        leaving: bool = False,
    ) -> None:
        """Record the result of an attempt.

        :param request_id: the caller's request, the same for its retries.
        :param error: None if the attempt succeeded.
        :param leaving: whether the response announced that the upstream is
            leaving.
        """
        self._remove_outstanding(upstream_id)
        if leaving or (error is not None and error.leaving):
            self.directory.mark_leaving(upstream_id)
        if error is None:
            self._health_tracker.observe(
                upstream_id,
                health.AttemptResult(now, request_id, False, True)
            )
            return
        attempt_result = health.failed_result(error, request_id, now)
        if attempt_result is None:
            self._full_until_by_id[upstream_id] = now + REFUSAL_BACKOFF_SECONDS
        else:
            self._health_tracker.observe(upstream_id, attempt_result)

    def record_cancellation(self, upstream_id: ids.UpstreamId) -> None:
        """Record an attempt that was cancelled; it does not affect health."""
        self._remove_outstanding(upstream_id)

    def _remove_outstanding(self, upstream_id: ids.UpstreamId) -> None:
        self._outstanding_by_id[upstream_id] -= 1
        if self._outstanding_by_id[upstream_id] <= 0:
            del self._outstanding_by_id[upstream_id]


__all__ = ('REFUSAL_BACKOFF_SECONDS', 'RoutingTable')
