from __future__ import annotations

import json
import pathlib

from typer import testing

from nutmegworks.cli import client
from nutmegworks.cli import main
from standins import cluster as processes


def _run_nutmeg(
    address: str, *arguments: str, token: str = ''
) -> testing.Result:
    environment = {
        'NUTMEG_ADDRESS': address,
        'NUTMEG_TOKEN': token or processes.OPERATOR_TOKEN,
    }
    return testing.CliRunner().invoke(main.app, arguments, env=environment)


def test_operator_commands_against_a_daemon(tmp_path: pathlib.Path) -> None:
    """Commands run against a real daemon and exit with the right code."""
    with processes.cluster(tmp_path) as cluster:
        address = cluster.add_daemon('n1', ready=False)
        assert _run_nutmeg(address, 'team', 'add', 'north').exit_code == 0
        new_token = _run_nutmeg(address, 'team', 'token-add', 'north')
        assert new_token.exit_code == 0 and 'token ' in new_token.stdout
        put_class = (
            'class', 'put', 'plan', '--service', 's', '--team', 'north'
        )
        assert _run_nutmeg(
            address, *put_class, '--target', '30 s'
        ).exit_code == 0
        listed = _run_nutmeg(address, '--output', 'json', 'class', 'list')
        assert json.loads(listed.stdout)['plan']['target'] == 30.0
        without_unit = _run_nutmeg(address, *put_class, '--target', '30')
        assert without_unit.exit_code == client.ExitCode.USAGE
        unknown_team = _run_nutmeg(
            address, *put_class, '--target', '1 s', '--team', 'south'
        )
        assert unknown_team.exit_code == client.ExitCode.REFUSED
        assert "team 'south' does not exist" in unknown_team.stderr
        assert 'remedy:' in unknown_team.stderr
        unauthenticated = _run_nutmeg(address, 'class', 'list', token='wrong')
        assert unauthenticated.exit_code == client.ExitCode.UNAUTHENTICATED
        history = _run_nutmeg(address, 'config', 'history')
        assert 'class/plan' in history.stdout
        changed = _run_nutmeg(address, 'config', 'diff', '--after', '2')
        assert 'class/plan' in changed.stdout
        assert 'team/north' not in changed.stdout
    unreachable = _run_nutmeg(address, 'class', 'list')
    assert unreachable.exit_code == client.ExitCode.UNAVAILABLE


def test_repeated_change_id_is_accepted_once(tmp_path: pathlib.Path) -> None:
    """A change repeated after a lost response is not applied twice."""
    with processes.cluster(tmp_path) as cluster:
        address = cluster.add_daemon('n1', ready=False)
        for _ in range(2):
            repeated = _run_nutmeg(
                address, '--change-id', 'c1', '-o', 'json', 'team', 'add', 'a'
            )
            assert json.loads(repeated.stdout)['sequence'] == 1
