"""Combines the lagging host list with what upstreams say themselves."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.adapters import hosts
from nutmegworks.adapters import upstreams
from nutmegworks.model import ids

DEFAULT_SLOTS: typing.Final = 8
# One report of "ready" may be older than the response that said "leaving".
READY_REPORTS_TO_RETURN: typing.Final = 2


@dataclasses.dataclass(slots=True)
class Known:
    """An upstream of the host list.

    :param since: when it was first ready.
    :param leaving: whether it said that it is leaving.
    :param busy: slots in use as last reported, by all daemons.
    """

    host: hosts.Host
    since: float
    leaving: bool = False
    slots: int = DEFAULT_SLOTS
    busy: int = 0
    ready_reports: int = 0

    @property
    def upstream_id(self) -> ids.UpstreamId:
        return ids.UpstreamId(self.host.host_id)

    @property
    def is_ready(self) -> bool:
        return not self.leaving and self.host.state is hosts.HostState.LIVE


class Directory:
    """Upstreams by id; leaving by either source means leaving."""

    def __init__(self) -> None:
        self._known_by_id: dict[ids.UpstreamId, Known] = {}
        self._has_list = False

    def listed(
        self,
        listed: typing.Iterable[hosts.Host],
        now: float,
    ) -> None:
        """Adopt a host list; what it has dropped gets no more work.

        Upstreams of the first list are not new, only this daemon is, so they
        have no slow start.
        """
        since = now if self._has_list else float('-inf')
        known_by_id = {}
        for host in listed:
            if host.role is hosts.HostRole.UPSTREAM:
                upstream_id = ids.UpstreamId(host.host_id)
                known_by_id[upstream_id] = self._adopt(host, since)
        self._known_by_id = known_by_id
        self._has_list = True

    def _adopt(self, host: hosts.Host, since: float) -> Known:
        known = self._known_by_id.get(ids.UpstreamId(host.host_id))
        if known is None or known.host.address != host.address:
            return Known(host, since)
        known.host = host
        return known

    def reported(
        self,
        upstream_id: ids.UpstreamId,
        report: upstreams.UpstreamReport,
        now: float,
    ) -> None:
        """Adopt what an upstream says of itself."""
        known = self._known_by_id.get(upstream_id)
        if known is None:
            return
        known.slots = max(1, report.slots)
        known.busy = max(0, report.busy)
        if report.leaving:
            self.said_leaving(upstream_id)
            return
        known.ready_reports += 1
        returned = known.ready_reports >= READY_REPORTS_TO_RETURN
        if known.leaving and returned:
            known.leaving = False
            known.since = now

    def said_leaving(self, upstream_id: ids.UpstreamId) -> None:
        """Adopt the state that came with a response."""
        known = self._known_by_id.get(upstream_id)
        if known is not None:
            known.leaving = True
            known.ready_reports = 0

    def all(self) -> tuple[Known, ...]:
        """Return every listed upstream, to be polled."""
        return tuple(self._known_by_id.values())

    def ready(self, service_id: ids.ServiceId) -> tuple[Known, ...]:
        """Return the upstreams of a service that may receive work.

        One that has not reported yet counts as ready.
        """
        return tuple(
            known for known in self._known_by_id.values()
            if known.is_ready and known.host.service_id == service_id
        )


__all__ = ('DEFAULT_SLOTS', 'Directory', 'Known', 'READY_REPORTS_TO_RETURN')
