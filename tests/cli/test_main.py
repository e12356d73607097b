from __future__ import annotations

import json
import pathlib

from typer import testing

from nutmegworks.cli import client
from nutmegworks.cli import main
from standins import cluster as processes


def _run(address: str, *arguments: str, token: str = '') -> testing.Result:
    environment = {
        'NUTMEG_ADDRESS': address,
        'NUTMEG_TOKEN': token or processes.OPERATOR_TOKEN,
    }
    return testing.CliRunner().invoke(main.app, arguments, env=environment)


def test_operators_commands_against_a_daemon(tmp_path: pathlib.Path) -> None:
    """Each command must work on a real daemon and fail with its code."""
    with processes.cluster(tmp_path) as cluster:
        address = cluster.add_daemon('n1', ready=False)
        assert _run(address, 'team', 'add', 'north').exit_code == 0
        added = _run(address, 'team', 'token-add', 'north')
        assert added.exit_code == 0 and 'token ' in added.stdout
        put = ('class', 'put', 'plan', '--service', 's', '--team', 'north')
        assert _run(address, *put, '--target', '30 s').exit_code == 0
        listed = _run(address, '--output', 'json', 'class', 'list')
        assert json.loads(listed.stdout)['plan']['target'] == 30.0
        bad = _run(address, *put, '--target', '30')
        assert bad.exit_code == client.ExitCode.USAGE
        absent = _run(address, *put, '--target', '1 s', '--team', 'south')
        assert absent.exit_code == client.ExitCode.REFUSED
        assert "team 'south' does not exist" in absent.stderr
        assert 'remedy:' in absent.stderr
        refused = _run(address, 'class', 'list', token='wrong')
        assert refused.exit_code == client.ExitCode.UNAUTHENTICATED
        history = _run(address, 'config', 'history')
        assert 'class/plan' in history.stdout
        changed = _run(address, 'config', 'diff', '--after', '2')
        assert 'class/plan' in changed.stdout
        assert 'team/north' not in changed.stdout
    down = _run(address, 'class', 'list')
    assert down.exit_code == client.ExitCode.UNAVAILABLE


def test_repeated_change_id_is_accepted_once(tmp_path: pathlib.Path) -> None:
    """A change whose answer was lost must not be applied twice."""
    with processes.cluster(tmp_path) as cluster:
        address = cluster.add_daemon('n1', ready=False)
        for _ in range(2):
            done = _run(
                address, '--change-id', 'c1', '-o', 'json', 'team', 'add', 'a'
            )
            assert json.loads(done.stdout)['sequence'] == 1
