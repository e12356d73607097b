from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from nutmegworks.bench import simulation
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.policy import events
from nutmegworks.policy import gang_reclaim
from nutmegworks.policy import gang_scheduler
from nutmegworks.policy import interfaces
from nutmegworks.policy import reserve
from tests import builders

DOMAIN = 'd'
TEAMS = ('north', 'south', 'west')

CLASSES = (
    builders.work_class('urgent', target=30.0, teams=TEAMS),
    builders.work_class('batch', target=3600.0, teams=TEAMS),
    builders.work_class(
        'firm',
        target=3600.0,
        interruptible=False,
        teams=TEAMS,
    ),
    builders.work_class('bill', target=600.0, idempotent=False, teams=TEAMS),
    builders.work_class('private', teams=('west', )),
)


class InvariantChecker(simulation.Observer):
    """Checks the guarantee ledger, starts and releases after each event."""

    def __init__(self) -> None:
        self.unreleased_starts: dict[str, events.StartJob] = {}
        self.holder_by_accelerator: dict[tuple[str, int], str] = {}
        self.start_counts: collections.Counter[str] = collections.Counter()
        self.actions: list[events.Action] = []

    def after_event(self, sim, event, actions) -> None:
        self.actions += actions
        for action in actions:
            if isinstance(action, events.StartJob):
                self._record_start(action)
            elif isinstance(action, events.ReleaseJob):
                start = self.unreleased_starts.pop(action.job_id)
                assert start.members == action.members
                assert start.attempt == action.attempt
                for key in self._accelerators(action):
                    del self.holder_by_accelerator[key]
        sim.scheduler.ledger.verify()

    def _record_start(self, action: events.StartJob) -> None:
        assert action.job_id not in self.unreleased_starts, 'two runs of a job'
        self.unreleased_starts[action.job_id] = action
        self.start_counts[action.job_id] += 1
        keys = self._accelerators(action)
        assert len(keys) == action.accelerators, 'not the whole gang'
        for key in keys:
            assert key not in self.holder_by_accelerator, f'{key} is in use'
            self.holder_by_accelerator[key] = action.job_id

    @staticmethod
    def _accelerators(action) -> list[tuple[str, int]]:
        return [
            (m.worker_id, i) for m in action.members for i in m.accelerators
        ]

    def actions_of(self, kind: type, job_id: str) -> list:
        return [
            action for action in self.actions
            if isinstance(action, kind) and action.job_id == job_id
        ]


def _simulation(
    guarantees: dict[str, tuple[str, ...]] | None = None,
    *,
    workers: int = 4,
    racks: int = 1,
) -> tuple[simulation.Simulation, InvariantChecker]:
    observer = InvariantChecker()
    scheduler = gang_scheduler.Scheduler(
        ids.DomainId(DOMAIN),
        random_source=random.Random(1),
    )
    sim = simulation.Simulation(scheduler, observer=observer)
    for i in range(workers):
        sim.send(_worker_up(f'w{i}', rack=f'r{i % racks}'))
    sim.send(_configuration_changed(guarantees or {}))
    return sim, observer


def _worker_up(worker_id: str, *, rack: str = 'r0') -> events.WorkerUp:
    return events.WorkerUp(
        worker_id=ids.WorkerId(worker_id),
        rack_id=ids.RackId(rack),
        accelerators=8,
    )


def _configuration_changed(
    guarantees: dict[str, tuple[str, ...]],
) -> events.ConfigurationChanged:
    teams = tuple(
        builders.team(name, guarantees={DOMAIN: guarantees.get(name, ())})
        for name in TEAMS
    )
    return events.ConfigurationChanged(
        configuration=builders.configuration(*CLASSES, teams=teams)
    )


def _job(
    job_id: str,
    shape: str = '1x8',
    *,
    team: str = 'north',
    work_class: str = 'batch',
    at: float = 1.0,
    run_time: float = 1000.0,
    declared: float | None = None,
    **behaviour,
) -> simulation.SimulatedJob:
    return simulation.SimulatedJob(
        job_id=ids.JobId(job_id),
        spec=builders.job_spec(
            shape,
            team_id=team,
            class_id=work_class,
            run_time=run_time if declared is None else declared,
        ),
        arrive_at=at,
        run_time=run_time,
        **behaviour,
    )


@pytest.mark.parametrize('unreachable', [False, True])
def test_guarantee_is_reclaimed_within_the_bound(unreachable: bool) -> None:
    """An unreachable borrower must not keep a team from its guarantee."""
    sim, observer = _simulation({'south': ('4x8', )})
    for i in range(4):
        sim.add_job(_job(f'b{i}'))
    sim.add_job(_job('mine', '4x8', team='south', at=100.0))
    if unreachable:
        sim.unreachable.add(ids.WorkerId('w2'))

    sim.run_until(200.0)

    start, = observer.actions_of(events.StartJob, 'mine')
    waited = start.decided_at - 100.0
    assert start.charge is events.Charge.GUARANTEED
    if unreachable:
        assert 7.2 < waited <= gang_reclaim.RECLAIM_BOUND_SECONDS
    else:
        assert waited <= 7.2
    lent = observer.actions_of(events.StartJob, 'b0')[0].loans
    assert lent == (events.Loan(ids.TeamId('south'), 8), )
    order = [type(a) for a in observer.actions if a.job_id == 'b2'][:4]
    assert order == [
        events.StartJob,
        events.CheckpointJob,
        events.StopJob,
        events.ReleaseJob,
    ]


def test_staged_victim_is_released_after_its_staged_lease() -> None:
    """The lease of a staged member is longer than that of a running one."""
    sim, observer = _simulation({'south': ('4x8', )})
    sim.unreachable.add(ids.WorkerId('w0'))
    sim.add_job(_job('b', '4x8', at=1.0))
    sim.add_job(_job('mine', '4x8', team='south', at=1.1))

    sim.run_until(100.0)

    start, = observer.actions_of(events.StartJob, 'mine')
    waited = start.decided_at - 1.1
    assert (
        gang_reclaim.RUNNING_RECLAIM_BOUND_SECONDS < waited <=
        gang_reclaim.RECLAIM_BOUND_SECONDS
    )


def test_victim_with_least_lost_work_is_chosen() -> None:
    """Reclaim must not stop a job that would lose more work than another."""
    sim, observer = _simulation({'south': ('1x8', )}, workers=3)
    sim.add_job(_job('firm', work_class='firm', at=1.0, run_time=5000.0))
    sim.add_job(_job('old', at=2.0, run_time=5000.0))
    sim.add_job(_job('new', at=1000.0, run_time=5000.0))
    sim.add_job(_job('u', '1x8', team='west', work_class='urgent', at=1100.0))

    sim.run_until(1200.0)

    assert (
        observer.actions_of(events.StopJob, 'new')
        and observer.actions_of(events.StartJob, 'u')
    )
    assert not observer.actions_of(events.StopJob, 'old')


def test_team_does_not_reclaim_from_itself() -> None:
    """Two jobs of one team must not preempt each other forever."""
    sim, observer = _simulation({'north': ('2x8', )})
    sim.add_job(_job('large', '4x8', run_time=300.0))
    sim.add_job(_job('small', '2x8', at=20.0, run_time=300.0))
    sim.add_job(_job('other', '2x8', team='west', at=10.0, run_time=300.0))

    sim.run_until(2000.0, until_idle=True)

    assert set(observer.start_counts.values()) == {1}


@pytest.mark.parametrize('work_class', ['firm', 'bill'])
def test_non_reclaimable_work_never_takes_a_guarantee(work_class: str) -> None:
    """Neither uninterruptible nor non-idempotent work may block a reclaim."""
    sim, observer = _simulation({'south': ('3x8', )})
    for i in range(4):
        sim.add_job(_job(f'b{i}', work_class=work_class))
    sim.add_job(_job('mine', '3x8', team='south', at=50.0))

    sim.run_until(60.0)

    assert sum(observer.start_counts[f'b{i}'] for i in range(4)) == 1
    assert observer.start_counts['mine'] == 1
    assert not any(isinstance(a, events.StopJob) for a in observer.actions)


@pytest.mark.parametrize('checkpointed', [False, True])
def test_non_idempotent_work_is_not_started_again(checkpointed: bool) -> None:
    """A second start without a checkpoint could bill a caller twice."""
    sim, observer = _simulation()
    sim.add_job(_job('b', '2x8', work_class='bill', run_time=100.0))
    if checkpointed:
        sim.send(events.JobCheckpointed(job_id=ids.JobId('b'), attempt=1), 5.0)
    sim.run_until(10.0)
    lost = observer.unreleased_starts['b'].members[0].worker_id

    sim.send(events.WorkerDown(worker_id=lost))
    sim.run_until(100.0)

    if checkpointed:
        again = observer.actions_of(events.StartJob, 'b')[1]
        assert again.resume
        assert again.decided_at - 10.0 >= gang_reclaim.RUNNING_LEASE_SECONDS
    else:
        refusal, = observer.actions_of(events.RefuseJob, 'b')
        assert refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert observer.start_counts['b'] == 1


@pytest.mark.parametrize(
    ('shape', 'team', 'work_class', 'reason'),
    [
        ('1x9', 'north', 'batch', events.Reason.LARGER_THAN_WORKER),
        ('5x8', 'north', 'batch', events.Reason.LARGER_THAN_RACK),
        ('5x8@domain', 'north', 'batch', events.Reason.LARGER_THAN_DOMAIN),
        ('1x8', 'east', 'batch', events.Reason.UNKNOWN_TEAM),
        ('1x8', 'north', 'other', events.Reason.UNKNOWN_CLASS),
        ('1x8', 'north', 'private', events.Reason.NOT_ENTITLED),
        ('2x8', 'north', 'firm', events.Reason.NOT_PLACEABLE),
        ('4x8', 'south', 'firm', events.Reason.NOT_PLACEABLE),
    ],
)
def test_job_that_can_never_run_is_refused_at_once(
    shape: str,
    team: str,
    work_class: str,
    reason: events.Reason,
) -> None:
    """A job that can never be placed must not wait forever."""
    sim, observer = _simulation({'south': ('3x8', )})
    sim.add_job(_job('j', shape, team=team, work_class=work_class))

    sim.run_until(1.0)

    refusal, = observer.actions_of(events.RefuseJob, 'j')
    assert refusal.reason is reason and refusal.detail
    assert refusal.verdict is verdict.Verdict.DID_NOT_RUN


def test_job_that_always_fails_is_refused() -> None:
    """A job that fails on every worker must not be retried forever."""
    sim, observer = _simulation()
    sim.add_job(_job('j', run_time=10.0, fails=True))

    sim.run_until(500.0)

    refusal, = observer.actions_of(events.RefuseJob, 'j')
    assert refusal.reason is events.Reason.ATTEMPTS_EXHAUSTED
    used = {
        start.members[0].worker_id
        for start in observer.actions_of(events.StartJob, 'j')
    }
    assert (
        len(used) == observer.start_counts['j'] == 3
    ), 'tried one worker twice'


@pytest.mark.parametrize('declared', [100.0, 1.0])
def test_large_job_does_not_starve(declared: float) -> None:
    """Small jobs that keep arriving must not delay a large job forever.

    A declared run time of 1 s for a job of 100 s defeats plain EASY
    backfilling, because the job outlasts the gap in which it is started.
    """
    sim, observer = _simulation()
    for i in range(400):
        sim.add_job(
            _job(
                f's{i}',
                at=1.0 + i * 10.0,
                run_time=100.0,
                declared=declared,
            )
        )
    sim.add_job(_job('large', '4x8', at=60.0, work_class='batch'))

    sim.run_until(4000.0)

    start, = observer.actions_of(events.StartJob, 'large')
    # The queue is in the order of arrival: when blocks are reserved for the
    # large job, four of the five earlier small jobs run and the fifth is
    # still to be started.
    assert (
        start.decided_at
        <= 60.0 + 2 * 100.0 + reserve.RESERVATION_SLACK_SECONDS
    )


def test_backfilled_job_that_overruns_is_reclaimed() -> None:
    """A wrong declared run time must not delay the reserved job."""
    sim, observer = _simulation()
    sim.add_job(_job('held', '3x8', at=1.0, run_time=200.0))
    sim.add_job(_job('large', '4x8', at=10.0))
    sim.add_job(_job('late', at=20.0, run_time=9000.0, declared=60.0))

    sim.run_until(300.0)

    backfilled, = observer.actions_of(events.StartJob, 'late')
    assert backfilled.reason is events.Reason.BACKFILLED
    start, = observer.actions_of(events.StartJob, 'large')
    assert start.decided_at <= 201.0 + reserve.RESERVATION_SLACK_SECONDS


def test_new_owner_keeps_guarantees_of_restored_jobs() -> None:
    """Restored non-reclaimable jobs must not leave a guarantee unplaced."""
    guarantees = {'north': ('2x8', ), 'south': ('1x4', '1x8')}
    sim, observer = _simulation(guarantees)
    sim.add_job(_job('a', '2x4', work_class='firm'))
    sim.add_job(_job('b', '1x4', team='south', work_class='bill'))
    sim.add_job(_job('c', '1x8', team='west'))
    sim.run_until(10.0)
    new, new_observer = _simulation(guarantees)
    workers = ('w3', 'w0', 'w2', 'w1')

    for job_id, start in observer.unreleased_starts.items():
        job = sim.run_by_id[ids.JobId(job_id)].job
        members = tuple(
            # Workers other than those that the new owner would choose.
            events.Member(
                ids.WorkerId(workers[int(member.worker_id[1])]),
                member.accelerators,
            ) for member in start.members
        )
        new.send(
            events.JobRestored(
                job_id=job.job_id,
                spec=job.spec,
                accepted_at=job.arrive_at,
                attempt=start.attempt,
                members=members,
                started_at=start.decided_at,
            )
        )

    scheduler = new.scheduler
    assert not scheduler.ledger.unplaced
    for job_id, start in observer.unreleased_starts.items():
        assert scheduler.job_by_id[ids.JobId(job_id)].charge is start.charge


def _random_job(source: random.Random, i: int) -> simulation.SimulatedJob:
    at = source.uniform(1.0, 300.0)
    run_time = source.choice((5.0, 40.0, 200.0))
    return _job(
        f'j{i}',
        source.choice(('1x1', '1x2', '1x3', '1x4', '1x8', '2x8', '3x4')),
        team=source.choice(TEAMS),
        work_class=source.choice(('urgent', 'batch', 'firm', 'bill')),
        at=at,
        run_time=run_time,
        declared=run_time * source.choice((0.1, 1.0, 5.0)),
        cancel_at=at + 50.0 if source.random() < 0.1 else None,
        fails=source.random() < 0.1,
    )


@hypothesis.given(seed=strategies.integers(0, 10**6))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=25)
def test_invariants_hold_under_faults(seed: int) -> None:
    """Faults must not break guarantees, split gangs or leak accelerators."""
    source = random.Random(seed)
    sim, observer = _simulation({'north': ('1x8', '2x2'), 'south': ('2x4', )})
    for i in range(60):
        sim.add_job(_random_job(source, i))
    for _ in range(6):
        worker = f'w{source.randrange(4)}'
        at = source.uniform(1.0, 400.0)
        worker_id = ids.WorkerId(worker)
        sim.send(events.WorkerDown(worker_id=worker_id), at)
        sim.send(_worker_up(worker), at + source.choice((2.0, 30.0)))
        sim.send(events.WorkerQuarantined(worker_id=worker_id), at + 40.0)
        sim.send(events.WorkerReadmitted(worker_id=worker_id), at + 80.0)
    sim.send(
        _configuration_changed({
            'north': ('2x4', ),
            'west': ('1x8', )
        }),
        150.0,
    )

    sim.run_until(20_000.0, until_idle=True)

    assert len(sim.ended) == 60, 'a job never ended'
    sim.run_until(sim.now + gang_reclaim.RECLAIM_BOUND_SECONDS + 2.0)
    assert not observer.unreleased_starts, 'a start without a release'
    for job_id, count in observer.start_counts.items():
        first = observer.actions_of(events.StartJob, job_id)[0]
        if first.class_id == 'bill':
            resumed = [
                s.resume for s in observer.actions_of(events.StartJob, job_id)
            ]
            assert all(resumed[1:]), 'billed work was restarted'


def test_job_that_overran_is_backfilled_only_once() -> None:
    """An exceeded estimate must not count as no remaining run time."""
    sim, observer = _simulation()
    sim.add_job(_job('held', '3x8', run_time=500.0, declared=100.0))
    sim.add_job(_job('large', '4x8', at=10.0, run_time=100.0))
    sim.add_job(_job('late', at=20.0, run_time=9000.0, declared=20.0))

    sim.run_until(480.0)

    assert observer.start_counts['late'] == 1


@pytest.mark.parametrize('ran_before', [False, True])
def test_failed_starts_are_bounded_and_do_not_count_as_runs(
    ran_before: bool,
) -> None:
    """Failed starts end in DID_NOT_RUN only if no earlier attempt ran."""
    sim, observer = _simulation()
    sim.add_job(_job('j', run_time=9000.0))
    sim.run_until(2.0)
    job_id = ids.JobId('j')
    kind = events.FailureKind.TASK if ran_before else events.FailureKind.START

    while 'j' not in sim.ended:
        attempt = observer.unreleased_starts['j'].attempt
        sim.send(
            events.JobFailed(
                job_id=job_id,
                attempt=attempt,
                kind=kind,
                members_stopped=True,
            )
        )
        kind = events.FailureKind.START
        before = sim.now
        sim.run_until(before + 32.0)

    refusal, = observer.actions_of(events.RefuseJob, 'j')
    assert refusal.reason is events.Reason.ATTEMPTS_EXHAUSTED
    expected = verdict.Verdict.DID_NOT_RUN
    if ran_before:
        expected = verdict.Verdict.MAY_HAVE_RUN
    assert refusal.verdict is expected
    assert observer.start_counts['j'] == 20 + ran_before


def test_large_job_does_not_starve_within_its_own_guarantee() -> None:
    """A team's small jobs must not starve its large job in its guarantee."""
    sim, observer = _simulation({'north': ('4x8', )})
    for i in range(200):
        sim.add_job(_job(f's{i}', at=1.0 + i * 10.0, run_time=100.0))
    sim.add_job(_job('large', '4x8', at=60.0))

    sim.run_until(2000.0)

    start, = observer.actions_of(events.StartJob, 'large')
    assert start.charge is events.Charge.GUARANTEED
    assert (
        start.decided_at
        <= 60.0 + 2 * 100.0 + reserve.RESERVATION_SLACK_SECONDS
    )


def test_worker_that_returns_with_another_size_is_used() -> None:
    """A replaced worker must be added once its old task is released.

    It was ignored if it returned while the old task still held a lease.
    """
    sim, observer = _simulation({'south': ('1x8', )}, workers=2)
    sim.add_job(_job('j', '2x8', run_time=500.0))
    sim.run_until(5.0)

    smaller = events.WorkerUp(
        worker_id=ids.WorkerId('w0'),
        rack_id=ids.RackId('r0'),
        accelerators=4,
    )
    sim.send(smaller)
    sim.run_until(60.0)

    worker = sim.scheduler.cluster.worker_by_id[ids.WorkerId('w0')]
    assert worker.up and worker.accelerators == 4


class _SwitchableQuarantine(interfaces.Quarantine):
    """Quarantines worker w0 while active."""

    def __init__(self) -> None:
        self.active = True

    def is_quarantined(self, worker_id: ids.WorkerId) -> bool:
        return self.active and worker_id == 'w0'


def test_quarantine_by_the_policy_takes_effect_and_ends() -> None:
    """A worker must get no work while in quarantine, and some afterwards."""
    quarantine = _SwitchableQuarantine()
    scheduler = gang_scheduler.Scheduler(
        ids.DomainId(DOMAIN),
        random_source=random.Random(1),
        quarantine=quarantine,
    )
    sim = simulation.Simulation(scheduler)
    sim.send(_worker_up('w0'))
    sim.send(_configuration_changed({}))
    sim.add_job(_job('j', run_time=10.0))

    sim.run_until(100.0)
    assert not sim.first_started_at
    quarantine.active = False
    sim.run_until(150.0)

    assert sim.ended == {'j': 'finished'}


def test_waiting_job_that_becomes_unplaceable_is_refused() -> None:
    """A job that new guarantees leave no space for must not wait forever."""
    sim, observer = _simulation()
    sim.add_job(_job('a', '4x8', run_time=9000.0))
    sim.add_job(_job('b', '2x8', work_class='firm', at=2.0))
    sim.run_until(3.0)

    sim.send(_configuration_changed({'south': ('3x8', )}))

    refusal, = observer.actions_of(events.RefuseJob, 'b')
    assert refusal.reason is events.Reason.NOT_PLACEABLE


def test_job_too_large_for_the_remaining_workers_is_refused() -> None:
    """A worker that never returns must not keep a job waiting forever."""
    sim, observer = _simulation()
    sim.run_until(0.5)
    sim.send(events.WorkerDown(worker_id=ids.WorkerId('w0')))
    sim.add_job(_job('a', '4x8'))

    sim.run_until(gang_scheduler.LOST_WORKER_RETENTION_SECONDS + 10.0)

    refusal, = observer.actions_of(events.RefuseJob, 'a')
    assert refusal.reason is events.Reason.LARGER_THAN_RACK


def test_reserved_job_starts_after_an_older_job_rejoined_its_group() -> None:
    """A reserved job that is not the first of its group must still start.

    An older job of its group returns to the queue if its worker is lost.
    """
    sim, observer = _simulation()
    sim.add_job(_job('x', '2x8', work_class='firm', at=1.0, run_time=100.0))
    sim.add_job(_job('a', '2x8', at=2.0, run_time=900.0))
    sim.add_job(_job('b', '2x8', at=3.0, run_time=900.0))
    sim.run_until(50.0)
    lost = observer.unreleased_starts['a'].members[0].worker_id

    sim.send(events.WorkerDown(worker_id=lost))
    sim.run_until(200.0)

    assert observer.start_counts['b'] == 1
