"""What one daemon knows of its upstreams, and its choice among them."""
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

# How long an upstream that refused an attempt counts as full. Several daemons
# share its slots, so only the upstream knows how many are free.
FULL_SECONDS: typing.Final = 0.05


class RoutingTable:
    """Joins directory, health and outstanding attempts.

    Times are seconds of one monotonic clock, passed in by the caller.
    """

    def __init__(
        self,
        own_domain_id: ids.DomainId,
        *,
        chooser: routing_chooser.Chooser | None = None,
        source: random.Random | None = None,
    ) -> None:
        self.directory = directory.Directory()
        self._own_domain_id = own_domain_id
        self._chooser = chooser or routing_chooser.LeastOutstandingChooser()
        self._source = source or random.Random()
        self._health = health.Health()
        self._outstanding_by_id: collections.Counter[ids.UpstreamId
                                                     ] = collections.Counter()
        self._others_by_id: dict[ids.UpstreamId, int] = {}
        self._full_until_by_id: dict[ids.UpstreamId, float] = {}

    def listed(
        self,
        listed: typing.Iterable[hosts.Host],
        now: float,
    ) -> None:
        """Adopt a host list."""
        self.directory.listed(listed, now)
        known = {item.upstream_id for item in self.directory.all()}
        self._health.keep(known)
        for by_id in (self._others_by_id, self._full_until_by_id):
            for upstream_id in by_id.keys() - known:
                del by_id[upstream_id]

    def reported(
        self,
        upstream_id: ids.UpstreamId,
        report: upstreams.UpstreamReport,
        now: float,
    ) -> None:
        """Adopt what an upstream says of itself."""
        self.directory.reported(upstream_id, report, now)
        own = self._outstanding_by_id[upstream_id]
        self._others_by_id[upstream_id] = max(0, report.busy - own)

    def select(
        self,
        service_id: ids.ServiceId,
        now: float,
        *,
        excluded: typing.AbstractSet[ids.UpstreamId] = frozenset(),
    ) -> directory.Known | None:
        """Choose an upstream and count the attempt as outstanding.

        :return: None if no upstream of the service has a free slot.
        """
        ready = {
            known.upstream_id: known
            for known in self.directory.ready(service_id)
        }
        ejected = self._health.ejected(ready, now)
        candidates = [
            self._candidate(known, now)
            for upstream_id, known in ready.items()
            if upstream_id not in ejected and upstream_id not in excluded
        ]
        chosen = self._chooser.choose(
            candidates, self._own_domain_id, self._source
        )
        if chosen is None:
            return None
        self._outstanding_by_id[chosen.upstream_id] += 1
        return ready[chosen.upstream_id]

    def usable_slots(self, service_id: ids.ServiceId, now: float) -> int:
        """Return the slots that this daemon can use, at least one.

        Slots that other daemons use by the last reports do not count.
        """
        ready = [item.upstream_id for item in self.directory.ready(service_id)]
        ejected = self._health.ejected(ready, now)
        slots = sum(
            max(0, item.open_slots - item.others) for item in (
                self._candidate(known, now)
                for known in self.directory.ready(service_id)
                if known.upstream_id not in ejected
            )
        )
        return max(1, slots)

    def _candidate(
        self,
        known: directory.Known,
        now: float,
    ) -> routing_chooser.Candidate:
        upstream_id = known.upstream_id
        outstanding = self._outstanding_by_id[upstream_id]
        full = now < self._full_until_by_id.get(upstream_id, now)
        trial = self._health.is_on_probation(upstream_id) and outstanding > 0
        return routing_chooser.Candidate(
            upstream_id,
            known.host.domain_id,
            outstanding,
            self._others_by_id.get(upstream_id, 0),
            known.slots,
            now - known.since,
            full or trial,
        )

    def finished(
        self,
        upstream_id: ids.UpstreamId,
        request_id: ids.RequestId,
        error: upstreams.CallError | None,
        now: float,
        *,
        leaving: bool = False,
    ) -> None:
        """Record the end of an attempt.

        :param request_id: the caller's request, the same for its retries.
        :param leaving: whether the response said that the upstream leaves.
        """
        self._count_end(upstream_id)
        if leaving or (error is not None and error.leaving):
            self.directory.said_leaving(upstream_id)
        if error is None:
            self._health.observe(
                upstream_id, health.Evidence(now, request_id, False, True)
            )
            return
        evidence = health.failed_evidence(error, request_id, now)
        if evidence is None:
            self._full_until_by_id[upstream_id] = now + FULL_SECONDS
        else:
            self._health.observe(upstream_id, evidence)

    def cancelled(self, upstream_id: ids.UpstreamId) -> None:
        """Record an attempt that was given up and says nothing."""
        self._count_end(upstream_id)

    def _count_end(self, upstream_id: ids.UpstreamId) -> None:
        self._outstanding_by_id[upstream_id] -= 1
        if self._outstanding_by_id[upstream_id] <= 0:
            del self._outstanding_by_id[upstream_id]


__all__ = ('FULL_SECONDS', 'RoutingTable')
