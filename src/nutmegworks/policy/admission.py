"""Refuses jobs that can never run."""
from __future__ import annotations

import typing

from nutmegworks.model import shape as shapes
from nutmegworks.model import work
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import embedding
from nutmegworks.policy import events
from nutmegworks.policy import job as jobs
from nutmegworks.policy import ledger as ledgers

Refused: typing.TypeAlias = tuple[events.Reason, str]


def check_entitlement(
    configuration: work.Configuration,
    spec: work.JobSpec,
) -> Refused | None:
    """Return why a team may not run a class, if so."""
    if spec.team_id not in configuration.team_by_id:
        return events.Reason.UNKNOWN_TEAM, f'no team {spec.team_id}'
    work_class = configuration.class_by_id.get(spec.class_id)
    if work_class is None:
        return events.Reason.UNKNOWN_CLASS, f'no class {spec.class_id}'
    if spec.team_id not in work_class.team_ids:
        detail = f'team {spec.team_id} may not use class {spec.class_id}'
        return events.Reason.NOT_ENTITLED, detail
    return None


def check_size(
    cluster: clusters.Cluster,
    shape: shapes.Shape,
) -> Refused | None:
    """Return why a shape fits no known worker, rack or domain, if so.

    Workers that are down count, because they may come back.
    """
    total = cluster.total
    if not total.accelerators or total.fits(shape):
        # Before the first worker is known, nothing can be said.
        return None
    if not total.fits(shapes.Shape(1, shape.block_size)):
        detail = f'no worker has {shape.block_size} adjacent accelerators'
        return events.Reason.LARGER_THAN_WORKER, detail
    if shape.spread is shapes.Spread.RACK:
        detail = f'no rack has {shape.blocks} blocks of {shape.block_size}'
        return events.Reason.LARGER_THAN_RACK, detail
    detail = f'the domain has fewer than {shape.blocks} such blocks'
    return events.Reason.LARGER_THAN_DOMAIN, detail


def check_beside_guarantees(
    cluster: clusters.Cluster,
    ledger: ledgers.GuaranteeLedger,
    job: jobs.Job,
) -> Refused | None:
    """Return why an unstoppable job never fits beside others' ledgers.

    Decided in small domains only; elsewhere such a job waits.
    """
    if job.reclaimable:
        return None
    if len(cluster.worker_by_id) > ledgers.MAX_WORKERS_REEMBEDDED:
        return None
    others = [
        embedding.Item(slot.shape)
        for slot in ledger.slot_by_id.values()
        if slot.team_id != job.spec.team_id
    ]
    outcome = embedding.embed(
        [embedding.Item(job.spec.shape), *others],
        cluster.total.masks_by_rack(),
        max_steps=ledgers.MAX_REEMBED_STEPS,
    )
    if outcome.blocks_by_item is not None or not outcome.complete:
        return None
    detail = f'{job.spec.shape} does not fit beside the guarantees of others'
    return events.Reason.NOT_PLACEABLE, detail


def check_job(
    configuration: work.Configuration,
    cluster: clusters.Cluster,
    ledger: ledgers.GuaranteeLedger,
    job: jobs.Job,
) -> Refused | None:
    """Return why a known job can never run, if so."""
    return (
        check_entitlement(configuration, job.spec)
        or check_size(cluster, job.spec.shape)
        or check_beside_guarantees(cluster, ledger, job)
    )


__all__ = (
    'Refused',
    'check_beside_guarantees',
    'check_entitlement',
    'check_job',
    'check_size',
)
