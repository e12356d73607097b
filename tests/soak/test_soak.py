"""Short seeded runs of the soak, and its checks against broken histories."""
from __future__ import annotations

import pathlib

import msgspec
import pytest

from nutmegworks.model import ids
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from tests.soak import run
from tests.soak import witness as witnesses

SECONDS = 8.0
JOB = ids.JobId('a1')
ROOM = spec.Resources(4000, 1000, 4)


@pytest.mark.parametrize('seed', [1, 2])
def test_the_promises_hold_under_faults(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Kills, pauses, cuts and outages that come together."""
    soak = run.play(run.Plan(seed, SECONDS), tmp_path)
    assert soak.witness.broken == []
    assert soak.witness.starts > 10


def test_ports_are_never_given_twice() -> None:
    """Seed 80: a readiness check answered a client's call with 200."""
    ports = [run.free_port() for _ in range(500)]
    assert len(set(ports)) == 500
    assert set(ports) <= set(run.PORTS)


def _witness(**step: object) -> witnesses.Witness:
    made = witnesses.Witness()
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
    view = made.submit(JOB, msgspec.json.encode(body))
    view.accepted = True
    return made


def _start(made: witnesses.Witness, task: str, run_id: int = 1) -> None:
    made.started('w1', f'{JOB}.0.{task}', run_id, 'text', ROOM)


def test_a_second_run_at_the_same_time_is_found() -> None:
    """The soak would pass over a task that runs twice."""
    made = _witness()
    _start(made, '0.0', 1)
    _start(made, '0.0', 2)
    assert made.broken[0].startswith('twice')


def test_a_run_after_a_noted_end_is_found() -> None:
    """The soak would pass over finished work that is done again."""
    made = _witness()
    name = f'{JOB}.0.0.0'
    _start(made, '0.0')
    made.ended('w1', name, 1, workers.EndKind.DONE)
    made.acknowledged([(name, 1, workers.EndKind.DONE)])
    _start(made, '0.0', 2)
    assert made.broken[0].startswith('twice')


def test_an_overfull_worker_is_found() -> None:
    """The soak would pass over a worker beyond its capacity."""
    made = _witness(cpu=5000)
    _start(made, '0.0')
    assert made.broken[0].startswith('limit')


def test_an_early_step_is_found() -> None:
    """The soak would pass over a step before its predecessor's end."""
    made = _witness()
    _start(made, '1.0')
    assert made.broken[0].startswith('order')


def test_a_forgotten_job_is_found() -> None:
    """The soak would pass over an accepted job that never ends."""
    made = _witness()
    made.finish()
    assert made.broken[0].startswith('lost')


def test_success_before_the_end_is_found() -> None:
    """The soak would pass over a job that is shown as done too early."""
    made = _witness()
    made.shown(JOB, 'succeeded')
    assert made.broken[0].startswith('mixed')


def test_work_of_a_refused_job_is_found() -> None:
    """The soak would pass over a refusal that is not true."""
    made = _witness()
    made.jobs_by_id[JOB].accepted = False
    _start(made, '0.0')
    made.finish()
    assert made.broken[0].startswith('refused')
