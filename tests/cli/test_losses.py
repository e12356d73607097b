"""The command that reads daemons' logs."""
from __future__ import annotations

import json
import pathlib

from typer import testing

from nutmegworks.cli import client
from nutmegworks.cli import main


def _ended(job: str, age: float, **waited: float) -> str:
    return json.dumps(
        {
            'message': 'job ended',
            'job': job,
            'queue': 'routes',
            'state': 'succeeded',
            'age': age,
            'objective': 2.0,
            'starts': 1,
            'waited': waited,
        }
    )


def _started(job: str) -> str:
    return json.dumps(
        {
            'time': '2026-12-04T21:00:00',
            'message': 'starting tasks',
            'job': job,
            'run': 1,
            'workers': ['w1', 'w1', 'w2'],
            'waited': 1.5,
            'prospect': 'LATE',
        }
    )


def _run(*arguments: str, stdin: str = '') -> testing.Result:
    return testing.CliRunner().invoke(main.app, arguments, input=stdin)


def test_late_jobs_are_put_down_to_their_main_cause() -> None:
    """Guards against a report that does not say what late jobs waited for."""
    lines = [
        _ended('aa', 1.0, release=0.1),
        _started('bb'),
        _ended('bb', 4.0, release=1.5, preemption=0.3),
        _ended('cc', 9.0, release=0.5),
    ]
    shown = _run('-o', 'json', 'losses', '-', stdin='\n'.join(lines))
    found = json.loads(shown.stdout)
    queue = found['by_queue']['routes']
    assert (queue['jobs'], queue['late']) == (3, 2)
    assert queue['late_by_cause'] == {'release': 1, 'running': 1}
    assert [job['job'] for job in found['worst']] == ['cc', 'bb']
    assert 'run 1 on 2 workers' in found['worst'][1]['history'][0]


def test_job_that_two_leaders_ended_counts_once() -> None:
    """Guards against losses that are counted twice after a hand-over."""
    shown = _run('losses', '-', stdin='\n'.join([_ended('aa', 4.0)] * 2))
    assert 'routes  1     1' in shown.stdout


def test_lines_that_are_cut_or_foreign_are_named(
    tmp_path: pathlib.Path
) -> None:
    """Guards against a report on half of a log that looks whole."""
    log = tmp_path / 'daemon.log'
    log.write_text(
        f'  12.5 host-1 {_ended("aa", 4.0)}\n'
        f'{_ended("bb", 4.0)[:40]}\nnot a log\n[1]\n'
        '{"message": 5}\n'
    )
    shown = _run('losses', str(log))
    assert shown.exit_code == 0
    assert '1 lines are cut, 3 are of another origin' in shown.output


def test_logs_without_an_ended_job_are_an_error() -> None:
    """Guards against an empty report of the wrong file."""
    shown = _run('losses', '-', stdin='{"message": "daemon starting"}\n')
    assert shown.exit_code == client.ExitCode.USAGE
    assert 'no ended job' in shown.output


def test_logs_of_an_earlier_version_have_no_causes() -> None:
    """Guards against an error on logs whose lines carry no causes."""
    line = json.loads(_ended('aa', 4.0))
    del line['waited'], line['starts']
    shown = _run('losses', '-', stdin=json.dumps(line))
    assert shown.exit_code == 0
    assert 'running 1' in shown.stdout
