"""Combines the host list, which lags, with the reports of upstreams."""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.adapters import hosts
from nutmegworks.adapters import upstreams
from nutmegworks.model import ids

DEFAULT_SLOTS: typing.Final = 8
# A leaving upstream counts as ready again after this many ready reports, since
# one report may be older than the response that announced the leaving.
READY_REPORTS_TO_RETURN: typing.Final = 2


@dataclasses.dataclass(slots=True)
class UpstreamEntry:
    """An upstream of the host list.

    :param ready_since: monotonic seconds at which it was first ready, or
        returned after leaving.
    :param leaving: whether it announced that it is leaving.
    :param busy: slots in use by all daemons, as last reported.
    :param ready_reports: ready reports since it last announced that it is
        leaving.
    """

    host: hosts.Host
    ready_since: float
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
    """Upstreams by id.

    An upstream is leaving if the host list or the upstream itself says so.
    """

    def __init__(self) -> None:
        self._entry_by_id: dict[ids.UpstreamId, UpstreamEntry] = {}
        self._has_list = False

    def update_hosts(
        self,
        listed_hosts: typing.Iterable[hosts.Host],
        now: float,
    ) -> None:
        """Replace the host list; removed upstreams get no more work.

        Upstreams of the first list get no slow start: this daemon is new,
        the upstreams are not.

        :param now: monotonic seconds.
        """
        ready_since = now if self._has_list else float('-inf')
        entry_by_id = {}
        for host in listed_hosts:
            if host.role is hosts.HostRole.UPSTREAM:
                upstream_id = ids.UpstreamId(host.host_id)
                entry_by_id[upstream_id] = self._entry(host, ready_since)
        self._entry_by_id = entry_by_id
        self._has_list = True

    def _entry(self, host: hosts.Host, ready_since: float) -> UpstreamEntry:
        entry = self._entry_by_id.get(ids.UpstreamId(host.host_id))
        if entry is None or entry.host.address != host.address:
            return UpstreamEntry(host, ready_since)
        entry.host = host
        return entry

    def update_report(
        self,
        upstream_id: ids.UpstreamId,
        report: upstreams.UpstreamReport,
        now: float,
    ) -> None:
        """Apply the report of an upstream about itself."""
        entry = self._entry_by_id.get(upstream_id)
        if entry is None:
            return
        entry.slots = max(1, report.slots)
        entry.busy = max(0, report.busy)
        if report.leaving:
            self.mark_leaving(upstream_id)
            return
        entry.ready_reports += 1
        has_returned = entry.ready_reports >= READY_REPORTS_TO_RETURN
        if entry.leaving and has_returned:
            entry.leaving = False
            entry.ready_since = now

    def mark_leaving(self, upstream_id: ids.UpstreamId) -> None:
        """Mark an upstream as leaving, as announced in its response."""
        entry = self._entry_by_id.get(upstream_id)
        if entry is not None:
            entry.leaving = True
            entry.ready_reports = 0

    def all(self) -> tuple[UpstreamEntry, ...]:
        """Return all listed upstreams, also those that are leaving."""
        return tuple(self._entry_by_id.values())

    def ready(self, service_id: ids.ServiceId) -> tuple[UpstreamEntry, ...]:
        """Return the upstreams of a service that may receive work.

        An upstream without a report counts as ready.
        """
        return tuple(
            entry for entry in self._entry_by_id.values()
            if entry.is_ready and entry.host.service_id == service_id
        )


__all__ = (
    'DEFAULT_SLOTS', 'Directory', 'READY_REPORTS_TO_RETURN', 'UpstreamEntry'
)
