"""Random work on a few workers, with the daemon's decisions over time."""
from __future__ import annotations

import dataclasses
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from tests.fleet import lost_rule
from tests.fleet import simulation
from tests import helpers

SECONDS: typing.Final = 45.0
LABEL: typing.Final = 'b'


@dataclasses.dataclass(frozen=True)
class Case:
    """Workers, jobs in the order of their arrival, and changes of leader."""

    hosts: tuple[simulation.HostSpec, ...]
    jobs: tuple[simulation.JobSpec, ...]
    changes: tuple[float, ...] = ()


def run_case(case: Case) -> lost_rule.Checks:
    """Run a case; stop at its first violation."""
    checks: list[lost_rule.Checks] = []

    async def main() -> None:
        run = simulation.Simulation(case.hosts)
        checks.append(lost_rule.Checks(run))
        arriving = list(case.jobs)
        changes = sorted(case.changes)
        while run.now < SECONDS and not checks[0].violations:
            while arriving and arriving[0].arrives_at <= run.now:
                run.submit(arriving.pop(0))
            if changes and changes[0] <= run.now:
                changes.pop(0)
                run.change_leader()
            await run.advance()
            checks[0].check()

    helpers.run(main)
    return checks[0]


@st.composite
def _hosts(draw: st.DrawFn) -> tuple[simulation.HostSpec, ...]:
    count = draw(st.integers(4, 12))
    labelled = draw(st.integers(1, 2))
    # Often one of those with the label.
    faulty = draw(
        st.sampled_from([(), (0, ), (0, 1), (0, count - 1), (count - 1, )])
    )
    faulty_from = float(draw(st.integers(0, 8)))
    return tuple(
        simulation.HostSpec(
            f'w{number}',
            rack=f'r1-{1 + number // 4}',
            labels=frozenset({LABEL} if number < labelled else ()),
            faulty_from=faulty_from if number in faulty else 0.0,
            faulty_until=faulty_from + 6.5 if number in faulty else 0.0,
        ) for number in range(count)
    )


# What a job's tasks declare and what they take, in seconds.
_DURATIONS: typing.Final = st.sampled_from(
    [
        (2.0, 2.0),
        (9.0, 6.0),
        (30.0, 30.0),
        # Declared too short, not at all, or too long.
        (2.0, 20.0),
        (0.0, 12.0),
        (7200.0, 1.0),
    ]
)
_Fields = dict[str, typing.Any]


@st.composite
def _small(draw: st.DrawFn, hosts: int) -> _Fields:
    fields: _Fields = {
        'count': draw(st.integers(1, 3)),
        'gpu': draw(st.sampled_from([1, 2, 8])),
    }
    if draw(st.booleans()):
        fields['requirements'] = LABEL
    return fields


@st.composite
def _lasting(draw: st.DrawFn, hosts: int) -> _Fields:
    fields = draw(st.one_of(_small(hosts), _spread(hosts)))
    return {**fields, 'longRunning': True}


def _spread(hosts: int) -> st.SearchStrategy[_Fields]:
    return st.builds(
        dict,
        count=st.just(hosts),
        gpu=st.just(1),
        antiAffinity=st.just(1),
    )


@st.composite
def _gang(draw: st.DrawFn, hosts: int) -> _Fields:
    return {
        'count': draw(st.sampled_from([2, 3, hosts])),
        'gpu': draw(st.sampled_from([4, 8])),
        'gang': True,
    }


_KINDS: typing.Final = [_small, _lasting, _spread, _gang]
# A gang that has no room as something runs on each worker.
_BLOCKED: typing.Final = [_spread, _gang, _small]


@st.composite
def _jobs(draw: st.DrawFn, hosts: int) -> tuple[simulation.JobSpec, ...]:
    kinds = draw(st.lists(st.sampled_from(_KINDS), min_size=1, max_size=7))
    if draw(st.booleans()):
        kinds = [*_BLOCKED, *kinds]
    jobs = []
    for number, kind in enumerate(kinds):
        declared, seconds = draw(_DURATIONS)
        fields = draw(kind(hosts))
        fields['estimatedMs'] = int(1000 * declared)
        jobs.append(
            simulation.JobSpec(
                f'a{number}',
                float(number * draw(st.integers(0, 2))),
                draw(st.integers(0, 2)),
                seconds,
                fields,
                fails=kind is _small and draw(st.integers(0, 4)) == 0,
            )
        )
    return tuple(sorted(jobs, key=lambda job: job.arrives_at))


@st.composite
def cases(draw: st.DrawFn) -> Case:
    hosts = draw(_hosts())
    changes = draw(
        st.sampled_from([(), (), (7.0, ), (4.0, 12.0), (10.0, 12.5)])
    )
    return Case(hosts, draw(_jobs(len(hosts))), changes)


def _job(
    job_id: str,
    arrives_at: float,
    seconds: float,
    *,
    priority: int = 1,
    fails: bool = False,
    **fields: typing.Any,
) -> simulation.JobSpec:
    """Return a job that declares the time that its tasks take."""
    fields.setdefault('estimatedMs', int(1000 * seconds))
    return simulation.JobSpec(
        job_id, arrives_at, priority, seconds, fields, fails
    )


def _few_hosts(
    count: int,
    *,
    faulty_from: float = 0.0,
    faulty_until: float = 0.0,
) -> tuple[simulation.HostSpec, ...]:
    """Return workers of which the first has the label and may be faulty."""
    return (
        simulation.HostSpec(
            'w0',
            labels=frozenset({LABEL}),
            faulty_from=faulty_from,
            faulty_until=faulty_until,
        ),
        *(simulation.HostSpec(f'w{number}') for number in range(1, count)),
    )


_SPREAD: typing.Final = {'count': 6, 'antiAffinity': 1}
_WHOLE: typing.Final = {'count': 6, 'gpu': 8, 'gang': True}
# Cases that broke the rule, by what was at fault.
_FOUND: typing.Final = {
    'room held for a gang that waits rightly':
    Case(
        _few_hosts(6),
        (
            _job('a0', 0.0, 40.0, **_SPREAD),
            _job('a1', 2.0, 6.8, **_WHOLE),
            _job('a2', 3.0, 60.0, priority=2),
        ),
    ),
    'tasks that last count as ending soon':
    Case(
        _few_hosts(6),
        (
            _job('a0', 0.0, 2.0, longRunning=True, **_SPREAD),
            _job('a1', 2.0, 6.8, **_WHOLE),
            _job('a2', 3.0, 7.6, priority=2),
        ),
    ),
    'workers excluded for good after a failure':
    Case(
        _few_hosts(6, faulty_until=1.0),
        (_job('a0', 0.0, 5.0, requirements=LABEL), ),
    ),
    'a worker with a task that lasts on probation for good':
    Case(
        _few_hosts(4, faulty_from=1.0, faulty_until=7.5),
        (
            _job('a0', 0.0, 2.0, count=4, antiAffinity=1, longRunning=True),
            *(
                _job(f'a{number}', 1.0 + number, 3.0, count=28)
                for number in range(1, 12)
            ),
        ),
    ),
    'failures of a task that lasts reset the time of its siblings':
    Case(
        _few_hosts(6, faulty_until=7.5),
        (
            _job('a0', 0.0, 2.0, count=3, fails=True),
            _job('a1', 2.0, 30.0),
            _job(
                'a2', 4.0, 2.0, count=3, requirements=LABEL, longRunning=True
            ),
        ),
    ),
    'a new leader takes a job for one that has just begun to wait':
    Case(
        _few_hosts(4),
        (
            _job('a0', 0.0, 6.0, count=4, antiAffinity=1, estimatedMs=9000),
            _job('a1', 2.0, 1.0, count=4, gpu=8, gang=True, estimatedMs=9000),
            _job('a2', 2.0, 6.0, requirements=LABEL, estimatedMs=90_000),
        ),
        changes=(4.0, ),
    ),
}


@pytest.mark.parametrize('fault', _FOUND)
def test_found_case(fault: str) -> None:
    """Guards against each fault that broke the rule before."""
    assert not run_case(_FOUND[fault]).violations


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    # A case is small as it is; to shrink it takes longer than a test may.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(cases())
def test_free_room_is_used_in_time(case: Case) -> None:
    """Guards against any reason to leave a worker unused for too long."""
    assert not run_case(case).violations
