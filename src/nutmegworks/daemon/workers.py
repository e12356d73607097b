"""Knows the workers of every failure domain from the host list."""
from __future__ import annotations

import collections
import random
import typing

import curio
import result

from nutmegworks.adapters import hosts
from nutmegworks.jobs import interfaces
from nutmegworks.model import ids
from nutmegworks.model import shape as shapes
from nutmegworks.model import work

REFRESH_SECONDS: typing.Final = 2.0


class WorkerDirectory:
    """Racks and workers by failure domain; refreshed from the host list."""

    def __init__(self, host_list: hosts.HostList) -> None:
        self._host_list = host_list
        self._hosts_by_domain: dict[ids.DomainId, list[hosts.Host]] | None
        self._hosts_by_domain = None

    async def run(self) -> None:
        """Refresh until cancelled."""
        while True:
            fetched = await self._host_list.fetch()
            if isinstance(fetched, result.Ok):
                self._adopt(fetched.ok_value)
            await curio.sleep(REFRESH_SECONDS)

    def _adopt(self, listed: typing.Iterable[hosts.Host]) -> None:
        by_domain = collections.defaultdict(list)
        for host in listed:
            if host.role is hosts.HostRole.WORKER:
                by_domain[host.domain_id].append(host)
        self._hosts_by_domain = dict(by_domain)

    def workers(
        self,
        domain_id: ids.DomainId,
    ) -> tuple[interfaces.WorkerHost, ...] | None:
        """Return the workers of a domain; None before the first list."""
        if self._hosts_by_domain is None:
            return None
        return tuple(
            interfaces.WorkerHost(ids.WorkerId(host.host_id), host.address)
            for host in self._hosts_by_domain.get(domain_id, ())
            if host.state is hosts.HostState.LIVE
        )

    def racks(self, ) -> dict[ids.DomainId, dict[ids.RackId, list[int]]]:
        """Return the accelerators of each worker by domain and rack."""
        racks: dict[ids.DomainId, dict[ids.RackId, list[int]]] = {}
        for domain_id, listed in (self._hosts_by_domain or {}).items():
            by_rack = racks.setdefault(domain_id, {})
            for host in listed:
                sizes = by_rack.setdefault(host.rack_id, [])
                sizes.append(host.accelerators)
        return racks

    def choose_domain(
        self,
        spec: work.JobSpec,
        configuration: work.Configuration,
        own_domain_id: ids.DomainId,
    ) -> ids.DomainId | None:
        """Return where a job goes; None if its shape fits nowhere.

        Domains in which the team has a guarantee come first, then this
        daemon's own, then any.
        """
        fitting = [
            domain_id for domain_id, racks in self.racks().items()
            if _fits(spec.shape, racks)
        ]
        if not fitting:
            return None
        team = configuration.team_by_id[spec.team_id]
        guaranteed = {item.domain_id for item in team.guarantees}
        preferred = [item for item in fitting if item in guaranteed]
        if preferred:
            return random.choice(preferred)
        if own_domain_id in fitting:
            return own_domain_id
        return random.choice(fitting)


def _fits(
    shape: shapes.Shape,
    sizes_by_rack: typing.Mapping[ids.RackId, typing.Sequence[int]],
) -> bool:
    blocks_by_rack = [
        sum(size // shape.block_size
            for size in sizes)
        for sizes in sizes_by_rack.values()
    ]
    if shape.spread is shapes.Spread.DOMAIN:
        return sum(blocks_by_rack) >= shape.blocks
    return max(blocks_by_rack, default=0) >= shape.blocks


__all__ = ('WorkerDirectory', )
