"""Keeps the list of upstreams current and selects among them."""
from __future__ import annotations

import dataclasses
import typing

import curio
import logbook
import result

from nutmegworks.entry import dispatch
from nutmegworks.model import ids
from nutmegworks.platform import hosts
from nutmegworks.platform import upstreams

_LOG: typing.Final = logbook.Logger('upstreams')

# Two polls and their timeouts stay below the 3 s within which a leaving
# upstream must receive no more work.
POLL_SECONDS: typing.Final = 1.0


@dataclasses.dataclass(slots=True)
class _Known:
    host: hosts.Host
    leaving: bool = False
    outstanding: int = 0


class UpstreamController(dispatch.UpstreamSelector):
    """Owns what this daemon knows of upstreams."""

    def __init__(
        self,
        host_list: hosts.HostList,
        client: upstreams.UpstreamClient,
    ) -> None:
        self._host_list = host_list
        self._client = client
        self._known_by_id: dict[ids.UpstreamId, _Known] = {}

    async def run(self) -> None:
        """Refresh until cancelled."""
        while True:
            await self._refresh_list()
            await self._poll()
            await curio.sleep(POLL_SECONDS)

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
        self._known_by_id = known_by_id

    async def _poll(self) -> None:
        async with curio.TaskGroup() as group:
            for known in list(self._known_by_id.values()):
                await group.spawn(self._poll_one, known)

    async def _poll_one(self, known: _Known) -> None:
        report = await self._client.report(known.host.address)
        if isinstance(report, result.Ok):
            known.leaving = report.ok_value.leaving

    def select(
        self,
        service_id: ids.ServiceId,
        *,
        excluded: typing.AbstractSet[ids.UpstreamId],
    ) -> dispatch.Selected | None:
        choices = [
            (known.outstanding, upstream_id)
            for upstream_id, known in self._known_by_id.items()
            if known.host.service_id == service_id and not known.leaving
            and known.host.state is hosts.HostState.LIVE
            and upstream_id not in excluded
        ]
        if not choices:
            return None
        upstream_id = min(choices)[1]
        known = self._known_by_id[upstream_id]
        known.outstanding += 1
        return dispatch.Selected(upstream_id, known.host.address)

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


__all__ = ('POLL_SECONDS', 'UpstreamController')
