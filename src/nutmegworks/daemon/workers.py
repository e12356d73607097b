"""Directory of the workers in each failure domain, for gang jobs."""
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

REFRESH_INTERVAL_SECONDS: typing.Final = 2.0


class WorkerDirectory:
    """Workers and racks by failure domain, refreshed from the host list."""

    def __init__(self, host_list: hosts.HostList) -> None:
        self._host_list = host_list
        self._hosts_by_domain: dict[ids.DomainId, list[hosts.Host]] | None
        self._hosts_by_domain = None

    async def run(self) -> None:
        """Refresh the workers until cancelled."""
        while True:
            fetched = await self._host_list.fetch()
            if isinstance(fetched, result.Ok):
                self._replace_hosts(fetched.ok_value)
            await curio.sleep(REFRESH_INTERVAL_SECONDS)

    def _replace_hosts(self, host_list: typing.Iterable[hosts.Host]) -> None:
        hosts_by_domain = collections.defaultdict(list)
        for host in host_list:
            if host.role is hosts.HostRole.WORKER:
                hosts_by_domain[host.domain_id].append(host)
        self._hosts_by_domain = dict(hosts_by_domain)

    def workers(
        self,
        domain_id: ids.DomainId,
    ) -> tuple[interfaces.WorkerHost, ...] | None:
        """Return the live workers of a domain; None before the first list."""
        if self._hosts_by_domain is None:
            return None
        return tuple(
            interfaces.WorkerHost(ids.WorkerId(host.host_id), host.address)
            for host in self._hosts_by_domain.get(domain_id, ())
            if host.state is hosts.HostState.LIVE
        )

    def racks(self) -> dict[ids.DomainId, dict[ids.RackId, list[int]]]:
        """Return each worker's number of accelerators, by domain and rack."""
        racks: dict[ids.DomainId, dict[ids.RackId, list[int]]] = {}
        for domain_id, domain_hosts in (self._hosts_by_domain or {}).items():
            counts_by_rack = racks.setdefault(domain_id, {})
            for host in domain_hosts:
                counts = counts_by_rack.setdefault(host.rack_id, [])
                counts.append(host.accelerators)
        return racks

    def choose_domain(
        self,
        spec: work.JobSpec,
        configuration: work.Configuration,
        own_domain_id: ids.DomainId,
    ) -> ids.DomainId | None:
        """Return the domain for a job; None if its shape fits in no domain.

        Prefers domains in which the team has a guarantee, then this daemon's
        own domain, then any other.
        """
        fitting_ids = [
            domain_id for domain_id, racks in self.racks().items()
            if _fits(spec.shape, racks)
        ]
        if not fitting_ids:
            return None
        team = configuration.team_by_id[spec.team_id]
        guaranteed_ids = {guarantee.domain_id for guarantee in team.guarantees}
        preferred_ids = [
            domain_id for domain_id in fitting_ids
            if domain_id in guaranteed_ids
        ]
        if preferred_ids:
            return random.choice(preferred_ids)
        if own_domain_id in fitting_ids:
            return own_domain_id
        return random.choice(fitting_ids)


def _fits(
    shape: shapes.Shape,
    counts_by_rack: typing.Mapping[ids.RackId, typing.Sequence[int]],
) -> bool:
    blocks_by_rack = [
        sum(count // shape.block_size
            for count in counts)
        for counts in counts_by_rack.values()
    ]
    if shape.spread is shapes.Spread.DOMAIN:
        return sum(blocks_by_rack) >= shape.blocks
    return max(blocks_by_rack, default=0) >= shape.blocks


__all__ = ('WorkerDirectory', )
