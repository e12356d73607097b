"""Admission checks of nutmegd's gang scheduler.

They refuse jobs that can never run. Each check returns the reason and a detail
text, or None if the job passes.
"""
from __future__ import annotations

import typing

from nutmegworks.model import shape as shapes
from nutmegworks.model import work
from nutmegworks.policy import capacity
from nutmegworks.policy import cluster as clusters
from nutmegworks.policy import embedding
from nutmegworks.policy import events
from nutmegworks.policy import job as jobs
from nutmegworks.policy import ledger as ledgers

Refusal: typing.TypeAlias = tuple[events.Reason, str]


def check_entitlement(
    configuration: work.Configuration,
    spec: work.JobSpec,
) -> Refusal | None:
    """Return the refusal if the team may not run the class."""
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
) -> Refusal | None:
    """Return the refusal if the known workers are too small for a shape.

    Workers that are down count, because they may come back.
    """
    total = cluster.total
    if not total.accelerators or total.fits(shape):
        # Before the first worker is known, no shape can be ruled out.
        return None
    if not total.fits(shapes.Shape(1, shape.block_size)):
        detail = f'no worker has {shape.block_size} adjacent accelerators'
        return events.Reason.LARGER_THAN_WORKER, detail
    if shape.spread is shapes.Spread.RACK:
        detail = f'no rack has {shape.blocks} blocks of {shape.block_size}'
        return events.Reason.LARGER_THAN_RACK, detail
    detail = f'the domain has fewer than {shape.blocks} such blocks'
    return events.Reason.LARGER_THAN_DOMAIN, detail


def check_non_reclaimable(
    cluster: clusters.Cluster,
    ledger: ledgers.GuaranteeLedger,
    job: jobs.Job,
) -> Refusal | None:
    """Return the refusal if a non-reclaimable job can never be placed.

    Such a job runs either within its team's guarantee or outside all
    guarantees; a job partly in each is not supported. The search is run only
    in domains of up to MAX_WORKERS_REEMBEDDED workers; in larger ones such a
    job waits.
    """
    if job.reclaimable:
        return None
    if len(cluster.worker_by_id) > ledgers.MAX_WORKERS_REEMBEDDED:
        return None
    if _fits_own_guarantee(cluster, ledger, job):
        return None
    slots = ledger.slot_by_id.values()
    outcome = embedding.embed(
        [
            embedding.Item(job.spec.shape),
            *(embedding.Item(slot.shape) for slot in slots),
        ],
        cluster.total.masks_by_rack(),
        max_steps=ledgers.MAX_REEMBED_STEPS,
    )
    if outcome.blocks_by_item is not None or not outcome.is_conclusive:
        return None
    detail = f'{job.spec.shape} does not fit beside the guarantees'
    return events.Reason.NOT_PLACEABLE, detail


def _fits_own_guarantee(
    cluster: clusters.Cluster,
    ledger: ledgers.GuaranteeLedger,
    job: jobs.Job,
) -> bool:
    """Return whether the shape fits within its team's guarantee.

    Either one slot covers it, wherever the slot is bound, or the accelerators
    to which the team's slots are bound now can hold it.
    """
    guaranteed = capacity.CapacityIndex()
    for slot_id in ledger.slot_ids_by_team.get(job.spec.team_id, ()):
        slot = ledger.slot_by_id[slot_id]
        if slot.covers(job.spec.shape):
            return True
        for worker_id, block in slot.blocks:
            rack_id = cluster.worker_by_id[worker_id].rack_id
            mask = guaranteed.mask(worker_id, rack_id) | block
            guaranteed.set_mask(worker_id, rack_id, mask)
    return guaranteed.fits(job.spec.shape)


def check_job(
    configuration: work.Configuration,
    cluster: clusters.Cluster,
    ledger: ledgers.GuaranteeLedger,
    job: jobs.Job,
) -> Refusal | None:
    """Return the refusal if an accepted job can never run."""
    return (
        check_entitlement(configuration, job.spec)
        or check_size(cluster, job.spec.shape)
        or check_non_reclaimable(cluster, ledger, job)
    )


__all__ = (
    'Refusal',
    'check_entitlement',
    'check_job',
    'check_non_reclaimable',
    'check_size',
)
