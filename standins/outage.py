"""Checks which requests and jobs continue while the store is down.

``python -m standins.outage --seconds 600``
"""
from __future__ import annotations

import collections
import json
import pathlib
import sys
import tempfile
import time
import typing

import typer

from standins import cluster

PATH: typing.Final = '/v1/services/round-planner/requests'
IDEMPOTENT_PER_ROUND: typing.Final = 10
ROUND_SECONDS: typing.Final = 1.0
RECOVERY_SECONDS: typing.Final = 10.0


class Outage:
    """A gang and requests of both classes during a store outage."""

    def __init__(self, running: cluster.Cluster) -> None:
        self._cluster = running
        self._workers = [
            running.add_worker(f'w{number}', rack='r') for number in range(2)
        ]
        for number in range(2):
            running.add_upstream(f'u{number}')
        first = running.add_daemon('n1', ready=False)
        running.configure_default()
        self._daemons = [first, running.add_daemon('n2')]
        self._count = 0

    def _send_request(self, class_id: str) -> str:
        self._count += 1
        headers = {'Nutmeg-Class': class_id, 'Nutmeg-Deadline-Ms': '3000'}
        if class_id == 'plan':
            headers['Idempotency-Key'] = cluster.make_idempotency_key(
                f'k{self._count}'
            )
            headers['Nutmeg-Attempt'] = '1'
        reply = cluster.call(
            'POST',
            self._daemons[self._count % 2],
            PATH,
            b'x',
            token=cluster.TEAM_TOKEN,
            headers=headers,
        )
        return f'{class_id} {reply.status} {reply.headers["nutmeg-verdict"]}'

    def start_gang(self, seconds: float) -> None:
        """Submit a gang job and wait until it runs.

        :param seconds: run time of the job, longer than the outage.
        """
        body = {
            'class': 'forecast',
            'shape': '2x8',
            'run_time': seconds,
            'payload': {
                'run_seconds': seconds
            },
        }
        cluster.wait_until(
            lambda: cluster.call(
                'POST',
                self._daemons[0],
                '/v1/jobs',
                json.dumps(body).encode(),
                token=cluster.TEAM_TOKEN,
                headers={
                    'Idempotency-Key': '1-gang'
                },
            ).status == 202,
            what='the gang being accepted',
        )
        cluster.wait_until(
            lambda: self.gang_is_running(), what='the gang running'
        )

    def gang_is_running(self) -> bool:
        """Return whether each worker still runs the only task it started."""
        executions = [self._cluster.executions(item) for item in self._workers]
        return all(
            len(items) == 1 and not items[0]['ended'] for items in executions
        )

    def send_requests(self, seconds: float) -> collections.Counter[str]:
        """Send requests of both classes; count them by class and outcome."""
        outcomes: collections.Counter[str] = collections.Counter()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            started = time.monotonic()
            for _ in range(IDEMPOTENT_PER_ROUND):
                outcomes[self._send_request('forecast')] += 1
            outcomes[self._send_request('plan')] += 1
            used = time.monotonic() - started
            time.sleep(max(0.0, ROUND_SECONDS - used))
        return outcomes


def main(seconds: float = 600.0) -> None:
    """Exit with 0 only if the outage had just the expected effects."""
    with tempfile.TemporaryDirectory() as directory:
        with cluster.cluster(pathlib.Path(directory)) as running:
            outage = Outage(running)
            outage.start_gang(seconds + 300.0)
            running.set_faults(running.store, down=True)
            during = outage.send_requests(seconds)
            print(f'store down for {seconds:.0f} s: {dict(during)}')
            still_running = outage.gang_is_running()
            print(f'gang still running, started once: {still_running}')
            running.set_faults(running.store, down=False)
            time.sleep(RECOVERY_SECONDS)
            after = outage.send_requests(5.0)
            print(f'{RECOVERY_SECONDS:.0f} s after: {dict(after)}')
    allowed = {'forecast 200 ran', 'plan 503 did-not-run'}
    passed = set(during) == allowed and still_running
    passed = passed and set(after) == {'forecast 200 ran', 'plan 200 ran'}
    sys.exit(0 if passed else 1)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Outage', 'main')
