from __future__ import annotations

import json
import pathlib

from typer import testing

from nutmegworks.cli import main
from standins import cluster as processes


def test_bench_of_a_running_daemon(tmp_path: pathlib.Path) -> None:
    """The command imports its parts late, so only a call shows a fault."""
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1', slots=64)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        out = tmp_path / 'bench'
        done = testing.CliRunner().invoke(
            main.app, (
                '--address', address, '--token', processes.TEAM_TOKEN, 'bench',
                '--service', 'round-planner', '--class', 'forecast',
                '--once-class', 'plan', '--job-class', 'plan', '--upstream',
                upstream, '--seconds', '2', '--waves', '2', '--out', str(out)
            )
        )
        assert done.exit_code == 0, done.output
        kinds = json.loads((out / 'load.json').read_bytes())['kinds']
        ran = len(cluster.executions(upstream))
    assert set(kinds) == {'request', 'once', 'direct', 'job', 'cancel'}
    answered = [kinds[kind]['outcomes']['200'] for kind in ('request', 'once')]
    assert min(answered) > 10
    assert sum(answered) + kinds['direct']['outcomes']['200'] == ran
    assert (out / 'load.svg').exists()
