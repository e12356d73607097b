"""Polls upstreams for reports and selects an upstream for each request."""
from __future__ import annotations

import math
import time
import typing

import curio
import logbook
import result

from nutmegworks.adapters import hosts
from nutmegworks.adapters import upstreams
from nutmegworks.entry import dispatch
from nutmegworks.model import ids
from nutmegworks.routing import directory
from nutmegworks.routing import table

_LOG: typing.Final = logbook.Logger('upstreams')

POLL_INTERVAL_SECONDS: typing.Final = 1.0
# A leaving upstream must receive no work after 3 s. An upstream whose report
# is older than this may be leaving: the daemon may have been paused or the
# upstream unreachable. After one lost report the upstream is still usable.
REPORT_VALID_SECONDS: typing.Final = 2.5


class UpstreamController(dispatch.UpstreamSelector):
    """Maintains this daemon's routing table of upstreams."""

    def __init__(
        self,
        host_list: hosts.HostList,
        client: upstreams.UpstreamClient,
        routes: table.RoutingTable,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._host_list = host_list
        self._client = client
        self._routes = routes
        self._clock = clock
        # Time on the clock, in seconds, at which the last report expires.
        self._expiry_by_id: dict[ids.UpstreamId, float] = {}

    async def run(self) -> None:
        """Refresh the host list and the reports until cancelled.

        Two tasks, so that a host list that does not respond does not delay the
        reports.
        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._run_periodically, self._refresh_host_list)
            await group.spawn(self._run_periodically, self._poll)

    async def _run_periodically(
        self,
        action: typing.Callable[[], typing.Awaitable[None]],
    ) -> None:
        while True:
            started_at = self._clock()
            await action()
            elapsed = self._clock() - started_at
            await curio.sleep(max(0.0, POLL_INTERVAL_SECONDS - elapsed))

    async def _refresh_host_list(self) -> None:
        fetched = await self._host_list.fetch()
        if isinstance(fetched, result.Err):
            _LOG.warning('host list unavailable', detail=fetched.err_value)
            return
        self._routes.update_hosts(fetched.ok_value, self._clock())
        entries = self._routes.directory.all()
        expiry_by_id = self._expiry_by_id
        added = [
            item for item in entries if item.upstream_id not in expiry_by_id
        ]
        self._expiry_by_id = {
            item.upstream_id: expiry_by_id.get(item.upstream_id, -math.inf)
            for item in entries
        }
        await self._poll_all(added)

    async def _poll(self) -> None:
        await self._poll_all(self._routes.directory.all())

    async def _poll_all(
        self,
        entries: typing.Iterable[directory.UpstreamEntry],
    ) -> None:
        async with curio.TaskGroup() as group:
            for entry in entries:
                await group.spawn(self._poll_one, entry)

    async def _poll_one(self, entry: directory.UpstreamEntry) -> None:
        requested_at = self._clock()
        report = await self._client.report(entry.host.address)
        if isinstance(report, result.Err):
            return
        upstream_id = entry.upstream_id
        self._routes.update_report(upstream_id, report.ok_value, self._clock())
        self._expiry_by_id[upstream_id] = requested_at + REPORT_VALID_SECONDS

    def select(
        self,
        service_id: ids.ServiceId,
        *,
        excluded: typing.AbstractSet[ids.UpstreamId],
    ) -> dispatch.SelectedUpstream | None:
        now = self._clock()
        expiry_by_id = self._expiry_by_id
        expired = {
            upstream_id
            for upstream_id, expiry in expiry_by_id.items()
            if expiry <= now
        }
        chosen = self._routes.select(
            service_id, now, excluded=expired | excluded
        )
        if chosen is None:
            return None
        return dispatch.SelectedUpstream(
            chosen.upstream_id, chosen.host.address,
            expiry_by_id[chosen.upstream_id]
        )

    def usable_slots(self, service_id: ids.ServiceId) -> int:
        """Return the number of slots this daemon may use, at least one."""
        return self._routes.usable_slots(service_id, self._clock())

    def states(self) -> list[dict[str, typing.Any]]:
        """Return the state of each upstream, for the status endpoint."""
        now = self._clock()
        return [
            {
                'upstream': entry.upstream_id,
                'domain': entry.host.domain_id,
                'leaving': not entry.is_ready,
                'reports': now
                < self._expiry_by_id.get(entry.upstream_id, now),
                'busy': entry.busy,
                'slots': entry.slots,
            } for entry in self._routes.directory.all()
        ]

    def record_result(
        self,
        upstream_id: ids.UpstreamId,
        request_id: ids.RequestId,
        error: upstreams.CallError | None,
        *,
        leaving: bool = False,
    ) -> None:
        self._routes.record_result(
            upstream_id, request_id, error, self._clock(), leaving=leaving
        )

    def record_cancellation(self, upstream_id: ids.UpstreamId) -> None:
        self._routes.record_cancellation(upstream_id)


__all__ = (
    'POLL_INTERVAL_SECONDS', 'REPORT_VALID_SECONDS', 'UpstreamController'
)
