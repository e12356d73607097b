"""Measures the cost of a shard's owner by its number of workers and jobs."""
from __future__ import annotations

import json
import os
import pathlib
import tempfile
import time
import typing

import typer

from standins import cluster

TICKS_PER_SECOND: typing.Final = os.sysconf('SC_CLK_TCK')
SETTLE_SECONDS: typing.Final = 12.0


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_SECOND


def _resident_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(line for line in text.splitlines() if 'VmRSS' in line)
    return int(line.split()[1]) / 1024


def _measure(workers: int, jobs: int, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as directory:
        with cluster.cluster(pathlib.Path(directory)) as running:
            for number in range(workers):
                running.add_worker(f'w{number}', rack=f'r{number // 8}')
            address = running.add_daemon('n1', ready=False)
            running.configure_default()
            time.sleep(SETTLE_SECONDS)
            for number in range(jobs):
                _submit_job(address, number)
            time.sleep(SETTLE_SECONDS / 2)
            pid = running.daemon_by_address[address].pid
            before = _cpu_seconds(pid)
            time.sleep(seconds)
            used = (_cpu_seconds(pid) - before) / seconds
            print(
                f'{workers} workers, {jobs} jobs of 2 workers: '
                f'{100 * used:.2f}% of a core, {_resident_mb(pid):.1f} MB',
                flush=True,
            )


def _submit_job(address: str, number: int) -> None:
    body = {
        'class': 'forecast',
        'shape': '2x8',
        'run_time': 600.0,
        'payload': {
            'run_seconds': 600.0
        },
    }
    reply = cluster.call(
        'POST',
        address,
        '/v1/jobs',
        json.dumps(body).encode(),
        token=cluster.TEAM_TOKEN,
        headers={
            'Idempotency-Key': cluster.make_idempotency_key(f'cost-{number}')
        },
    )
    assert reply.status == 202, reply.body


def main(seconds: float = 15.0) -> None:
    """Print CPU use and resident memory for several cluster sizes."""
    for workers, jobs in ((0, 0), (16, 0), (32, 0), (32, 8), (32, 16)):
        _measure(workers, jobs, seconds)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('main', )
