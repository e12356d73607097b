from __future__ import annotations

from nutmegworks.model import ids
from nutmegworks.policy import events
from nutmegworks.policy import quarantine
from nutmegworks.policy import run_time_estimate
from nutmegworks.policy import run_time_learning
from tests import builders

WORKERS = tuple(ids.WorkerId(f'w{number}') for number in range(8))


class _SingleWorkerScheduler:
    """Starts each job on the first worker and records the events."""

    def __init__(self) -> None:
        self.events: list[events.Event] = []
        self.worker_id = WORKERS[0]

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        self.events.append(event)
        if not isinstance(event, events.JobArrived):
            return []
        return [
            events.StartJob(
                job_id=event.job_id,
                attempt=1,
                decided_at=now,
                team_id=event.spec.team_id,
                class_id=event.spec.class_id,
                accelerators=1,
                reason=events.Reason.BORROWED,
                members=(events.Member(self.worker_id, (0, )), ),
                charge=events.Charge.BORROWED,
            )
        ]


def _learning_scheduler(
) -> tuple[_SingleWorkerScheduler, run_time_learning.LearningScheduler,
           run_time_estimate.RunTimeEstimator]:
    inner = _SingleWorkerScheduler()
    estimator = run_time_estimate.RunTimeEstimator()
    learning = run_time_learning.LearningScheduler(
        inner, estimator, quarantine.Quarantine(0)
    )
    for worker_id in WORKERS:
        up = events.WorkerUp(
            worker_id=worker_id, rack_id=ids.RackId('r'), accelerators=8
        )
        learning.handle(up, 0.0)
    return inner, learning, estimator


def _submit(
    learning: run_time_learning.LearningScheduler, name: str, team: str
) -> None:
    spec = builders.job_spec(team_id=team, run_time=60.0)
    arrived = events.JobArrived(
        job_id=ids.JobId(name), spec=spec, accepted_at=0.0
    )
    learning.handle(arrived, 0.0)


def test_estimate_follows_observed_run_times() -> None:
    """Runs ten times as long as declared must correct the estimate."""
    _, learning, estimator = _learning_scheduler()
    for number in range(4):
        job_id = ids.JobId(f'j{number}')
        _submit(learning, job_id, 'north')
        learning.handle(events.JobStarted(job_id=job_id, attempt=1), 0.0)
        learning.handle(events.JobFinished(job_id=job_id, attempt=1), 600.0)
    assert estimator.estimate('north', 'plan', 60.0) == 600.0


def test_worker_that_fails_every_job_is_quarantined() -> None:
    """A faulty worker must not continue to fail the jobs of all teams."""
    inner, learning, _ = _learning_scheduler()
    for number in range(3):
        job_id = ids.JobId(f'j{number}')
        _submit(learning, job_id, f'team{number}')
        learning.handle(
            events.JobFailed(
                job_id=job_id,
                attempt=1,
                kind=events.FailureKind.TASK,
                worker_id=WORKERS[0],
            ), 1.0
        )
    quarantined = [
        event.worker_id
        for event in inner.events
        if isinstance(event, events.WorkerQuarantined)
    ]
    assert quarantined == [WORKERS[0]]
