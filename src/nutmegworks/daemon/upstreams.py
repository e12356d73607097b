"""Keeps the list of upstreams current and selects among them."""
from __future__ import annotations

import dataclasses
import math
import time
import typing

import curio
import logbook
import result

from nutmegworks.entry import dispatch
from nutmegworks.model import ids
from nutmegworks.platform import hosts
from nutmegworks.platform import upstreams

_LOG: typing.Final = logbook.Logger('upstreams')

POLL_SECONDS: typing.Final = 1.0
# A leaving upstream must receive no work after 3 s. A report that is older
# than this may hide that it leaves: the daemon may have been paused or the
# upstream unreachable. One lost report leaves it usable.
REPORT_VALID_SECONDS: typing.Final = 2.5


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known of one upstream.

    :param usable_until: monotonic seconds at which its last report expires.
    """

    host: hosts.Host
    usable_until: float = -math.inf
    leaving: bool = False
    outstanding: int = 0


class UpstreamController(dispatch.UpstreamSelector):
    """Owns what this daemon knows of upstreams."""

    def __init__(
        self,
        host_list: hosts.HostList,
        client: upstreams.UpstreamClient,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._host_list = host_list
        self._client = client
        self._clock = clock
        self._known_by_id: dict[ids.UpstreamId, _Known] = {}

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
        known_by_id = {}
        for host in fetched.ok_value:
            if host.role is not hosts.HostRole.UPSTREAM:
                continue
            upstream_id = ids.UpstreamId(host.host_id)
            known = self._known_by_id.get(upstream_id) or _Known(host)
            known.host = host
            known_by_id[upstream_id] = known
        added = [
            known for upstream_id, known in known_by_id.items()
            if upstream_id not in self._known_by_id
        ]
        self._known_by_id = known_by_id
        await self._poll_all(added)

    async def _poll(self) -> None:
        await self._poll_all(list(self._known_by_id.values()))

    async def _poll_all(self, known: typing.Iterable[_Known]) -> None:
        async with curio.TaskGroup() as group:
            for item in known:
                await group.spawn(self._poll_one, item)

    async def _poll_one(self, known: _Known) -> None:
        asked = self._clock()
        report = await self._client.report(known.host.address)
        if isinstance(report, result.Ok):
            known.leaving = report.ok_value.leaving
            known.usable_until = asked + REPORT_VALID_SECONDS

    def select(
        self,
        service_id: ids.ServiceId,
        *,
        excluded: typing.AbstractSet[ids.UpstreamId],
    ) -> dispatch.Selected | None:
        now = self._clock()
        choices = [
            (known.outstanding, upstream_id)
            for upstream_id, known in self._known_by_id.items()
            if known.host.service_id == service_id and not known.leaving
            and known.host.state is hosts.HostState.LIVE
            and now < known.usable_until and upstream_id not in excluded
        ]
        if not choices:
            return None
        upstream_id = min(choices)[1]
        known = self._known_by_id[upstream_id]
        known.outstanding += 1
        return dispatch.Selected(
            upstream_id, known.host.address, known.usable_until
        )

    def finished(
        self,
        upstream_id: ids.UpstreamId,
        error: upstreams.CallError | None,
    ) -> None:
        known = self._known_by_id.get(upstream_id)
        if known is None:
            return
        known.outstanding -= 1
        if error is not None and error.leaving:
            known.leaving = True


__all__ = ('POLL_SECONDS', 'REPORT_VALID_SECONDS', 'UpstreamController')
