"""Builders of test data; every argument has a plausible default."""
from __future__ import annotations

from nutmegworks.jobs import record
from nutmegworks.model import ids
from nutmegworks.model import shape
from nutmegworks.model import work


def work_class(
    class_id: str = 'plan',
    *,
    service: str = 'round-planner',
    target: float = 30.0,
    share: float = 0.5,
    idempotent: bool = True,
    interruptible: bool = True,
    teams: tuple[str, ...] = ('north', ),
) -> work.WorkClass:
    return work.WorkClass(
        class_id=ids.ClassId(class_id),
        service_id=ids.ServiceId(service),
        target=target,
        guaranteed_share=share,
        idempotent=idempotent,
        interruptible=interruptible,
        team_ids=frozenset(ids.TeamId(team) for team in teams),
    )


def team(
    team_id: str = 'north',
    *,
    digests: tuple[str, ...] = (),
    guarantees: dict[str, tuple[str, ...]] | None = None,
) -> work.Team:
    """Build a team.

    :param guarantees: guaranteed shapes, as text, by failure domain.
    """
    return work.Team(
        team_id=ids.TeamId(team_id),
        token_digests=digests,
        guarantees=tuple(
            work.Guarantee(
                ids.DomainId(domain),
                tuple(shape.Shape.parse(text) for text in texts),
            ) for domain, texts in (guarantees or {}).items()
        ),
    )


def configuration(
    *classes: work.WorkClass,
    teams: tuple[work.Team, ...] = (),
    sequence: int = 1,
) -> work.Configuration:
    return work.Configuration(
        sequence=ids.ConfigSequence(sequence),
        class_by_id={item.class_id: item
                     for item in classes},
        team_by_id={item.team_id: item
                    for item in teams},
    )


def job_spec(
    shape_text: str = '1x8',
    *,
    team_id: str = 'north',
    class_id: str = 'plan',
    run_time: float = 600.0,
    payload: bytes = b'',
) -> work.JobSpec:
    return work.JobSpec(
        team_id=ids.TeamId(team_id),
        class_id=ids.ClassId(class_id),
        shape=shape.Shape.parse(shape_text),
        run_time=run_time,
        payload=payload,
    )


def job_record(
    key: str = '1-a',
    *,
    shard: str = 'amman-north',
    shape_text: str = '1x8',
    idempotent: bool = True,
    payload: bytes = b'',
) -> record.JobRecord:
    team_id = ids.TeamId('north')
    idempotency_key = ids.IdempotencyKey(key)
    return record.JobRecord(
        job_id=record.job_id(team_id, idempotency_key),
        shard_id=ids.ShardId(shard),
        team_id=team_id,
        class_id=ids.ClassId('plan'),
        idempotency_key=idempotency_key,
        body_digest='digest',
        shape=shape_text,
        run_time=600.0,
        payload=payload,
        idempotent=idempotent,
        accepted_at=1000.0,
    )


__all__ = ('configuration', 'job_record', 'job_spec', 'team', 'work_class')
