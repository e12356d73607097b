"""Keeps the knowledge of upstreams current and selects among them."""
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

POLL_SECONDS: typing.Final = 1.0
# A leaving upstream must receive no work after 3 s. A report that is older
# than this may hide that it leaves: the daemon may have been paused or the
# upstream unreachable. One lost report leaves it usable.
REPORT_VALID_SECONDS: typing.Final = 2.5


class UpstreamController(dispatch.UpstreamSelector):
    """Owns what this daemon knows of upstreams."""

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
        # Monotonic seconds at which the last report of each expires.
        self._usable_until_by_id: dict[ids.UpstreamId, float] = {}

    async def run(self) -> None:
        """Refresh until cancelled.

        A host list that does not answer must not delay the reports.
        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._repeat, self._refresh_list)
            await group.spawn(self._repeat, self._poll)

    async def _repeat(
        self,
        action: typing.Callable[[], typing.Awaitable[None]],
    ) -> None:
        while True:
            started = self._clock()
            await action()
            used = self._clock() - started
            await curio.sleep(max(0.0, POLL_SECONDS - used))

    async def _refresh_list(self) -> None:
        fetched = await self._host_list.fetch()
        if isinstance(fetched, result.Err):
            _LOG.warning('host list unavailable', detail=fetched.err_value)
            return
        self._routes.update_hosts(fetched.ok_value, self._clock())
        known = self._routes.directory.all()
        until = self._usable_until_by_id
        added = [item for item in known if item.upstream_id not in until]
        self._usable_until_by_id = {
            item.upstream_id: until.get(item.upstream_id, -math.inf)
            for item in known
        }
        await self._poll_all(added)

    async def _poll(self) -> None:
        await self._poll_all(self._routes.directory.all())

    async def _poll_all(
        self,
        known: typing.Iterable[directory.UpstreamEntry],
    ) -> None:
        async with curio.TaskGroup() as group:
            for item in known:
                await group.spawn(self._poll_one, item)

    async def _poll_one(self, known: directory.UpstreamEntry) -> None:
        asked = self._clock()
        report = await self._client.report(known.host.address)
        if isinstance(report, result.Err):
            return
        upstream_id = known.upstream_id
        self._routes.update_report(upstream_id, report.ok_value, self._clock())
        self._usable_until_by_id[upstream_id] = asked + REPORT_VALID_SECONDS

    def select(
        self,
        service_id: ids.ServiceId,
        *,
        excluded: typing.AbstractSet[ids.UpstreamId],
    ) -> dispatch.SelectedUpstream | None:
        now = self._clock()
        until = self._usable_until_by_id
        expired = {item for item, moment in until.items() if moment <= now}
        chosen = self._routes.select(
            service_id, now, excluded=expired | excluded
        )
        if chosen is None:
            return None
        return dispatch.SelectedUpstream(
            chosen.upstream_id, chosen.host.address, until[chosen.upstream_id]
        )

    def usable_slots(self, service_id: ids.ServiceId) -> int:
        """Return the slots that this daemon can use, at least one."""
        return self._routes.usable_slots(service_id, self._clock())

    def states(self) -> list[dict[str, typing.Any]]:
        """Return what an operator wants to know of each upstream."""
        now = self._clock()
        return [
            {
                'upstream':
                known.upstream_id,
                'domain':
                known.host.domain_id,
                'leaving':
                not known.is_ready,
                'reports':
                now < self._usable_until_by_id.get(known.upstream_id, now),
                'busy':
                known.busy,
                'slots':
                known.slots,
            } for known in self._routes.directory.all()
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


__all__ = ('POLL_SECONDS', 'REPORT_VALID_SECONDS', 'UpstreamController')
