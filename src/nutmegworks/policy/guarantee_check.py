"""Checks whether the guarantees of a configuration fit their domains.

nutmegd runs this check before it accepts a configuration. While jobs run,
``policy.ledger`` keeps each guarantee bound to accelerators.
"""
from __future__ import annotations

import typing

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import embedding
from nutmegworks.policy import ledger as ledgers

# The number of accelerators of each worker, by rack.
RackSizes: typing.TypeAlias = typing.Mapping[ids.RackId, typing.Sequence[int]]


def check_guarantees(
    configuration: work.Configuration,
    racks: typing.Mapping[ids.DomainId, RackSizes],
) -> list[str]:
    """Return why the guarantees cannot all be met at once; [] if they can.

    :param racks: number of accelerators of each worker, by failure domain and
        rack.
    """
    domain_ids = {
        guarantee.domain_id: None
        for team in configuration.team_by_id.values()
        for guarantee in team.guarantees
    }
    problems: list[str] = []
    for domain_id in domain_ids:
        if domain_id in racks:
            problems += _check_domain(
                configuration,
                domain_id,
                racks[domain_id],
            )
        else:
            problems.append(f'domain {domain_id} is not known')
    return problems


def _check_domain(
    configuration: work.Configuration,
    domain_id: ids.DomainId,
    sizes_by_rack: RackSizes,
) -> list[str]:
    cluster = clusters.Cluster()
    for rack_id, sizes in sizes_by_rack.items():
        for i, size in enumerate(sizes):
            worker_id = ids.WorkerId(f'{rack_id}/{i}')
            cluster.add_worker(worker_id, rack_id, size)
    too_large = [
        f'team {team_id}: {shape} alone does not fit domain {domain_id}'
        for team_id, shape in
        ledgers.guaranteed_shape_counts(configuration, domain_id)
        if not cluster.total.fits(shape)
    ]
    if too_large:
        return too_large
    ledger = ledgers.GuaranteeLedger(cluster, domain_id)
    ledger.configure(configuration)
    if not ledger.unplaced:
        return []
    return _explain_unplaced(ledger, cluster, domain_id)


def _explain_unplaced(
    ledger: ledgers.GuaranteeLedger,
    cluster: clusters.Cluster,
    domain_id: ids.DomainId,
) -> list[str]:
    slots = list(ledger.slot_by_id.values())
    needed = sum(slot.shape.accelerators for slot in slots)
    existing = cluster.total.accelerators
    if needed > existing:
        return [
            f'domain {domain_id}: guarantees need {needed} accelerators, '
            f'{existing} exist'
        ]
    outcome = embedding.embed(
        [embedding.Item(slot.shape) for slot in slots],
        cluster.total.masks_by_rack(),
    )
    if outcome.blocks_by_item is not None:
        return []
    reason = (
        'cannot all be placed at once'
        if outcome.is_conclusive else 'were not placed within the search limit'
    )
    unplaced = (ledger.slot_by_id[slot_id] for slot_id in ledger.unplaced)
    names = ', '.join(f'{slot.team_id} {slot.shape}' for slot in unplaced)
    return [f'domain {domain_id}: guarantees {reason}; left over: {names}']


__all__ = ('RackSizes', 'check_guarantees')
