"""Short seeded soak runs, and tests that the checker reports violations."""
from __future__ import annotations

import pathlib

import msgspec
import pytest

from nutmegworks.model import ids
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from tests.soak import checker as checkers
from tests.soak import run

RUN_SECONDS = 8.0
JOB_ID = ids.JobId('a1')
WORKER_RESOURCES = spec.Resources(4000, 1000, 4)


@pytest.mark.parametrize('seed', [1, 2])
def test_invariants_hold_under_faults(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against failures that only a combination of faults causes."""
    soak = run.run_soak(run.Plan(seed, RUN_SECONDS), tmp_path)
    assert soak.checker.violations == []
    assert soak.checker.start_count > 10


def test_ports_are_unique() -> None:
    """Guards against two servers on one port.

    With seed 80 a server of readiness checks answered a client's request
    with 200.
    """
    ports = [run.free_port() for _ in range(500)]
    assert len(set(ports)) == 500
    assert set(ports) <= set(run.PORT_RANGE)


def _make_checker(**step: object) -> checkers.HistoryChecker:
    checker = checkers.HistoryChecker()
    body = {
        'spec':
        'text',
        'steps': [
            {
                'count': 1,
                'cpu': 1000,
                'gpu': 1,
                **step
            }, {
                'count': 1,
                'cpu': 1000,
                'after': [0]
            }
        ],
    }
    view = checker.record_submission(JOB_ID, msgspec.json.encode(body))
    view.accepted = True
    return checker


def _start(
    checker: checkers.HistoryChecker, task: str, run_id: int = 1
) -> None:
    checker.record_start(
        'w1', f'{JOB_ID}.0.{task}', run_id, 'text', WORKER_RESOURCES
    )


def test_concurrent_second_run_is_reported() -> None:
    """Guards against missing a task that runs twice at the same time."""
    checker = _make_checker()
    _start(checker, '0.0', 1)
    _start(checker, '0.0', 2)
    assert checker.violations[0].startswith('twice')


def test_run_after_acknowledged_end_is_reported() -> None:
    """Guards against missing a finished task that runs again."""
    checker = _make_checker()
    name = f'{JOB_ID}.0.0.0'
    _start(checker, '0.0')
    checker.record_end('w1', name, 1, workers.EndKind.DONE)
    checker.record_acknowledged([(name, 1, workers.EndKind.DONE)])
    _start(checker, '0.0', 2)
    assert checker.violations[0].startswith('twice')


def test_overcommitted_worker_is_reported() -> None:
    """Guards against missing a worker with runs beyond its capacity."""
    checker = _make_checker(cpu=5000)
    _start(checker, '0.0')
    assert checker.violations[0].startswith('limit')


def test_step_before_its_dependency_is_reported() -> None:
    """Guards against missing a start before the end of a dependency."""
    checker = _make_checker()
    _start(checker, '1.0')
    assert checker.violations[0].startswith('order')


def test_lost_job_is_reported() -> None:
    """Guards against missing an accepted job that never ends."""
    checker = _make_checker()
    checker.finish()
    assert checker.violations[0].startswith('lost')


def test_early_success_is_reported() -> None:
    """Guards against missing a job shown as succeeded too early."""
    checker = _make_checker()
    checker.record_state(JOB_ID, 'succeeded')
    assert checker.violations[0].startswith('mixed')


def test_low_count_of_pending_jobs_is_reported() -> None:
    """Guards against missing a count that is out of date."""
    checker = _make_checker()
    checker.jobs_by_id[JOB_ID].accepted_at = 10.0
    checker.record_count(1, 0, until=9.0)
    checker.record_count(1, 1, until=11.0)
    assert checker.violations == []
    checker.record_count(1, 0, until=11.0)
    _start(checker, '0.0')
    checker.record_count(1, 0, until=11.0)
    assert len(checker.violations) == 1
    assert checker.violations[0].startswith('mixed')


def test_run_of_refused_job_is_reported() -> None:
    """Guards against missing a job that runs although it was refused."""
    checker = _make_checker()
    checker.jobs_by_id[JOB_ID].accepted = False
    _start(checker, '0.0')
    checker.finish()
    assert checker.violations[0].startswith('refused')
