from __future__ import annotations

import base64
import json
import pathlib

from standins import cluster as processes

JOB = {
    'class': 'plan',
    'shape': '2x8',
    'run_time': 60.0,
    'payload': {
        'run_seconds': 0.5
    },
}


def _submit(
    address: str,
    key: str,
    **changes: object,
) -> processes.Reply:
    return processes.call(
        'POST',
        address,
        '/v1/jobs',
        json.dumps({
            **JOB,
            **changes
        }).encode(),
        token=processes.TEAM_TOKEN,
        headers={
            'Idempotency-Key': key,
            'Nutmeg-Attempt': '1'
        },
    )


def test_gang_job_through_processes(tmp_path: pathlib.Path) -> None:
    """Guards the path of a gang job through all processes.

    One daemon accepts the job, another answers for it, and invalid requests
    are refused.
    """
    with processes.cluster(tmp_path) as cluster:
        workers = [
            cluster.add_worker(f'w{number}', rack='r') for number in range(3)
        ]
        first = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        second = cluster.add_daemon('n2')
        key = processes.make_idempotency_key('job')
        processes.wait_until(
            lambda: _submit(first, key).status == 202, what='acceptance'
        )
        job_id = json.loads(_submit(second, key).body)['job_id']
        assert _submit(first, key, shape='1x8').status == 422
        assert _submit(
            first, processes.make_idempotency_key('big'), shape='4x8'
        ).status == 422
        assert _submit(
            first, processes.make_idempotency_key('odd'), shape='x'
        ).status == 400
        unknown_class = _submit(
            first, processes.make_idempotency_key('no'), **{'class': 'none'}
        )
        assert unknown_class.status == 404
        path = f'/v1/jobs/{job_id}'
        unauthenticated = processes.call('GET', second, path, token='wrong')
        assert unauthenticated.status == 401
        reply = processes.call(
            'GET',
            second,
            f'{path}?wait=30',
            token=processes.TEAM_TOKEN,
            timeout=40.0,
        )
        job = json.loads(reply.body)
        assert (reply.status, job['state'],
                job['attempts']) == (200, 'done', 1)
        assert json.loads(base64.b64decode(job['result'])) == JOB['payload']
        execution_counts = [
            len(cluster.executions(worker)) for worker in workers
        ]
        assert sorted(execution_counts) == [0, 1, 1]
        explained = processes.call(
            'GET',
            second,
            f'{path}/explain',
            token=processes.OPERATOR_TOKEN,
        )
        assert b'state done' in explained.body
