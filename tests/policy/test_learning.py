from __future__ import annotations

from nutmegworks.model import ids
from nutmegworks.policy import estimate
from nutmegworks.policy import events
from nutmegworks.policy import learning
from nutmegworks.policy import quarantine
from tests import builders

WORKERS = tuple(ids.WorkerId(f'w{number}') for number in range(8))


class _Inner:
    """Starts each job on the worker that the test names."""

    def __init__(self) -> None:
        self.seen: list[events.Event] = []
        self.next_worker = WORKERS[0]

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        self.seen.append(event)
        if not isinstance(event, events.JobArrived):
            return []
        return [
            events.StartJob(
                job_id=event.job_id,
                attempt=1,
                at=now,
                team_id=event.spec.team_id,
                class_id=event.spec.class_id,
                accelerators=1,
                reason=events.Reason.BORROWED,
                members=(events.Member(self.next_worker, (0, )), ),
                charge=events.Charge.BORROWED,
            )
        ]


def _learning(
) -> tuple[_Inner, learning.LearningScheduler, estimate.RunTimeEstimator]:
    inner = _Inner()
    estimator = estimate.RunTimeEstimator()
    outer = learning.LearningScheduler(
        inner, estimator, quarantine.Quarantine(0)
    )
    for worker_id in WORKERS:
        up = events.WorkerUp(
            worker_id=worker_id, rack_id=ids.RackId('r'), accelerators=8
        )
        outer.handle(up, 0.0)
    return inner, outer, estimator


def _arrive(outer: learning.LearningScheduler, name: str, team: str) -> None:
    spec = builders.job_spec(team_id=team, run_time=60.0)
    arrived = events.JobArrived(
        job_id=ids.JobId(name), spec=spec, accepted_at=0.0
    )
    outer.handle(arrived, 0.0)


def test_wrong_declarations_are_corrected_by_runs() -> None:
    """A team that declares a tenth must not be believed for ever."""
    _, outer, estimator = _learning()
    for number in range(4):
        job_id = ids.JobId(f'j{number}')
        _arrive(outer, job_id, 'north')
        outer.handle(events.JobStarted(job_id=job_id, attempt=1), 0.0)
        outer.handle(events.JobFinished(job_id=job_id, attempt=1), 600.0)
    assert estimator.estimate('north', 'plan', 60.0) == 600.0


def test_worker_that_fails_every_job_is_quarantined() -> None:
    """One bad worker must not go on failing the jobs of all teams."""
    inner, outer, _ = _learning()
    for number in range(3):
        job_id = ids.JobId(f'j{number}')
        _arrive(outer, job_id, f'team{number}')
        outer.handle(
            events.JobFailed(
                job_id=job_id,
                attempt=1,
                kind=events.FailureKind.TASK,
                worker_id=WORKERS[0],
            ), 1.0
        )
    quarantined = [
        event.worker_id
        for event in inner.seen
        if isinstance(event, events.WorkerQuarantined)
    ]
    assert quarantined == [WORKERS[0]]
