from __future__ import annotations

import json
import pathlib

from standins import cluster as processes

PATH = '/v1/services/round-planner/requests'


def test_request_through_processes(tmp_path: pathlib.Path) -> None:
    """Guards the path of a request through all processes.

    It is refused before the first configuration, runs once, is replayed by a
    second daemon, and leaves spans.
    """
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        first = cluster.add_daemon('n1', ready=False)
        refused = processes.call('POST', first, PATH, b'x')
        assert (refused.status,
                refused.headers['nutmeg-verdict']) == (503, 'did-not-run')
        cluster.configure_default()
        second = cluster.add_daemon('n2', domain='amman-south')
        headers = {'Nutmeg-Class': 'plan', 'Idempotency-Key': ''}
        headers['Idempotency-Key'] = processes.make_idempotency_key('one')
        replies = [
            processes.call(
                'POST',
                address,
                PATH,
                b'vans',
                token=processes.TEAM_TOKEN,
                headers=headers,
            ) for address in (first, second)
        ]
        assert [item.status for item in replies] == [200, 200], replies
        assert {item.body for item in replies} == {b'u1:vans'}
        assert replies[1].headers['nutmeg-replayed'] == 'true'
        assert len(cluster.executions(upstream)) == 1
        processes.wait_until(
            lambda: (tmp_path / 'spans').exists(), what='spans written'
        )
        line = (tmp_path / 'spans').read_text().splitlines()[0]
        scope = json.loads(line)['resourceSpans'][0]['scopeSpans'][0]
        span_names = {span['name'] for span in scope['spans']}
        assert 'entry' in span_names
