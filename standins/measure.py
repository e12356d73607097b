"""Measures latency and cost of requests through one daemon; prints JSON.

``python -m standins.measure --rate 50 --seconds 10``
"""
from __future__ import annotations

import json
import os
import pathlib
import tempfile
import time
import typing

import curio
import typer

from nutmegworks.bench import arrivals
from nutmegworks.bench import load
from nutmegworks.settings import values
from standins import cluster as clusters

UPSTREAMS: typing.Final = 4
SLOTS: typing.Final = 64
SERVICE_SECONDS: typing.Final = 0.005
IDLE_SECONDS: typing.Final = 5.0
TICKS_PER_SECOND: typing.Final = os.sysconf('SC_CLK_TCK')


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    user, system = text.rpartition(')')[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process.

    :raises ValueError: if the kernel reports none, as for a zombie.
    """
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    raise ValueError(f'process {pid} has no resident memory')


def _measure_load(
    target: load.Target,
    pid: int,
    rates: dict[arrivals.Kind, float],
    seconds: float,
    seed: int,
) -> dict[str, typing.Any]:
    """Apply one load; return latencies, CPU use and memory of the daemon."""
    planned = arrivals.plan(arrivals.Plan(rates), seconds=seconds, seed=seed)
    run = load.LoadGenerator(target, planned, seed=seed)
    used_before = cpu_seconds(pid)
    started = time.monotonic()
    curio.run(run.run)
    elapsed = time.monotonic() - started
    used = cpu_seconds(pid) - used_before
    answered = sum(
        series.outcomes['200']
        for kind, series in run.series_by_kind.items()
        if kind is not arrivals.Kind.DIRECT
    )
    value: dict[str, typing.Any] = {}
    for kind, series in run.series_by_kind.items():
        summary = series.summary()
        value[kind.value] = {
            'outcomes': summary.outcomes,
            'ms': summary.latency,
            'late_ms': summary.late,
        }
    value['answered_per_second'] = round(answered / elapsed, 1)
    value['core_part'] = round(used / elapsed, 3)
    value['cpu_ms_per_request'] = round(1000 * used / max(1, answered), 3)
    value['resident_mb'] = round(resident_megabytes(pid), 1)
    return value


def measure(
    rate: float,
    full_rate: float,
    seconds: float,
    seed: int,
) -> dict[str, typing.Any]:
    """Measure an idle daemon, then each kind of request at both rates."""
    kinds = arrivals.Kind
    with tempfile.TemporaryDirectory() as name:
        with clusters.cluster(pathlib.Path(name)) as cluster:
            addresses = [
                cluster.add_upstream(f'u{number}', slots=SLOTS)
                for number in range(UPSTREAMS)
            ]
            for address in addresses:
                cluster.set_faults(address, service_seconds=SERVICE_SECONDS)
            daemon = cluster.add_daemon('n1', ready=False)
            cluster.configure_default()
            pid = cluster.daemon_by_address[daemon].pid
            target = load.Target(
                values.parse_address(daemon),
                clusters.TEAM_TOKEN,
                'round-planner',
                'forecast',
                'plan',
                upstream=values.parse_address(addresses[0]),
            )
            used_before = cpu_seconds(pid)
            time.sleep(IDLE_SECONDS)
            used = (cpu_seconds(pid) - used_before) / IDLE_SECONDS
            result: dict[str, typing.Any] = {
                'idle': {
                    'resident_mb': round(resident_megabytes(pid), 1),
                    'core_part': used,
                }
            }
            for kind in (kinds.REQUEST, kinds.NON_IDEMPOTENT):
                result[f'{kind.value} at {rate:g}/s'] = _measure_load(
                    target, pid, {
                        kind: rate,
                        kinds.DIRECT: rate
                    }, seconds, seed
                )
                result[f'{kind.value} at {full_rate:g}/s'] = _measure_load(
                    target, pid, {kind: full_rate}, seconds, seed
                )
    return result


def main(
    rate: float = 50.0,
    full_rate: float = 300.0,
    seconds: float = 10.0,
    seed: int = 1,
) -> None:
    """Print the measurements."""
    print(json.dumps(measure(rate, full_rate, seconds, seed), indent=2))


if __name__ == '__main__':
    typer.run(main)

__all__ = ('cpu_seconds', 'main', 'measure', 'resident_megabytes')
