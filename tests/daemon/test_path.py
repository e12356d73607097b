from __future__ import annotations

import json
import pathlib

from standins import cluster as processes

PATH = '/v1/services/round-planner/requests'


def test_request_through_processes(tmp_path: pathlib.Path) -> None:
    """The whole path: caller, daemon, upstream, answer and spans."""
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        first = cluster.add_daemon('n1', ready=False)
        refused = processes.call('POST', first, PATH, b'x')
        assert (refused.status,
                refused.headers['nutmeg-verdict']) == (503, 'did-not-run')
        cluster.configure_default()
        second = cluster.add_daemon('n2', domain='amman-south')
        headers = {'Nutmeg-Class': 'plan', 'Idempotency-Key': ''}
        headers['Idempotency-Key'] = processes.key('one')
        answers = [
            processes.call(
                'POST',
                address,
                PATH,
                b'vans',
                token=processes.TEAM_TOKEN,
                headers=headers,
            ) for address in (first, second)
        ]
        assert [item.status for item in answers] == [200, 200], answers
        assert {item.body for item in answers} == {b'u1:vans'}
        assert answers[1].headers['nutmeg-replayed'] == 'true'
        assert len(cluster.executions(upstream)) == 1
        processes.wait_until(
            lambda: (tmp_path / 'spans').exists(), what='spans written'
        )
        text = (tmp_path / 'spans').read_text().splitlines()[0]
        scope = json.loads(text)['resourceSpans'][0]['scopeSpans'][0]
        names = {span['name'] for span in scope['spans']}
        assert 'entry' in names
