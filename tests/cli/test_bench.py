from __future__ import annotations

import json
import pathlib

from typer import testing

from nutmegworks.cli import main
from standins import cluster as processes


def test_bench_of_a_running_daemon(tmp_path: pathlib.Path) -> None:
    """Imports inside the command fail only when the command runs."""
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1', slots=64)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        out = tmp_path / 'bench'
        finished = testing.CliRunner().invoke(
            main.app, (
                '--address', address, '--token', processes.TEAM_TOKEN, 'bench',
                '--service', 'round-planner', '--class', 'forecast',
                '--once-class', 'plan', '--job-class', 'plan', '--upstream',
                upstream, '--seconds', '2', '--waves', '2', '--out', str(out)
            )
        )
        assert finished.exit_code == 0, finished.output
        kinds = json.loads((out / 'load.json').read_bytes())['kinds']
        execution_count = len(cluster.executions(upstream))
    assert set(kinds) == {'request', 'once', 'direct', 'job', 'cancel'}
    answer_counts = [
        kinds[kind]['outcomes']['200'] for kind in ('request', 'once')
    ]
    assert min(answer_counts) > 10
    assert sum(answer_counts
               ) + kinds['direct']['outcomes']['200'] == execution_count
    assert (out / 'load.svg').exists()
