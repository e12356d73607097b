"""Measures how fast configurations spread and what that costs.

Run ``python -m nutmegworks.bench.propagation`` from the source tree, since it
uses the stand-ins. All hosts share one process and one core.
"""
from __future__ import annotations

import dataclasses
import logging
import random
import statistics
import time
import typing

import curio
import hdrh.histogram
import typer

from nutmegworks.bench import cluster as clusters
from nutmegworks.bench import nodes
from nutmegworks.membership import jitter

CHANGES_PER_DAY: typing.Final = 49_000
DAY_SECONDS: typing.Final = 86_400
IN_FORCE_SECONDS: typing.Final = 5.0
DOMAINS: typing.Final = 3
# Fills the head, whose size is most of what a reader fetches.
WARM_UP_CHANGES: typing.Final = 90
SETTLE_SECONDS: typing.Final = 6.0
KILL_SECONDS: typing.Final = 1.5
DOWN_SECONDS: typing.Final = 1.0
EXTRAPOLATED_HOSTS: typing.Final = (100, 300, 500)
_MAX_MILLISECONDS: typing.Final = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Faults that last for a whole run.

    :param kills: hosts crash one after the other and restart.
    :param silent: the watches of half of the hosts are never answered.
    :param cut: half of the hosts get no answer from the store.
    """

    name: str
    kills: bool = False
    silent: bool = False
    cut: bool = False


SCENARIOS: typing.Final = (
    Scenario('no fault'),
    Scenario('kills', kills=True),
    Scenario('silent watches', silent=True),
    Scenario('half cut from store', cut=True),
    Scenario('all of these', kills=True, silent=True, cut=True),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The result of one run.

    :param p50: milliseconds from acceptance to adoption, like the others.
    :param samples: adoptions that were measured.
    :param late: adoptions after more than 5 s, or none within 5 s of the end.
    :param reverted: adoptions of a sequence not above the last.
    :param start_calls: store calls until all hosts had a configuration.
    :param store_calls: per second, of all hosts.
    :param bytes_per_host: per second, sent and received, with headers.
    :param reader_bytes: the same of the busiest reader.
    :param cpu: of one core, per host.
    """

    scenario: str
    hosts: int
    samples: int
    p50: float
    p99: float
    max: float
    late: int
    reverted: int
    start_calls: int
    store_calls: float
    bytes_per_host: float
    reader_bytes: float
    cpu: float


class Run:
    """One scenario with one number of hosts."""

    def __init__(
        self,
        cluster: clusters.Cluster,
        scenario: Scenario,
        seed: int,
    ) -> None:
        self._cluster = cluster
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._latencies: list[float] = []

    async def measure(self, seconds: float, rate: float) -> Row:
        """Accept changes for some time and collect the results.

        :param rate: changes per second.
        """
        cluster = self._cluster
        await cluster.in_force(1, limit=30.0)
        start_calls = sum(cluster.store.calls.values())
        for _ in range(WARM_UP_CHANGES):
            await cluster.accept()
        await curio.sleep(SETTLE_SECONDS)
        self._apply_faults()
        cluster.accepted_at.clear()
        cluster.store.calls.clear()
        before = {node: node.platform_bytes for node in cluster.nodes}
        cpu = time.process_time()
        started = time.monotonic()
        with cluster.counted() as traffic:
            await self._drive(started + seconds, rate)
            elapsed = time.monotonic() - started
        cpu = time.process_time() - cpu
        calls = sum(cluster.store.calls.values()) / elapsed
        count = len(cluster.nodes)
        between = 2 * traffic.between / count / elapsed
        reader = max(
            (
                node.platform_bytes - before[node]
                for node in cluster.readers
                if node.started_at < started
            ),
            default=0,
        )
        missing = await self._missing()
        return self._row(
            missing,
            start_calls=start_calls,
            store_calls=calls,
            bytes_per_host=traffic.per_host(count, elapsed),
            reader_bytes=between + reader / elapsed,
            cpu=cpu / elapsed / count,
        )

    def _apply_faults(self) -> None:
        cluster = self._cluster
        order = list(cluster.nodes)
        self._rng.shuffle(order)
        half = len(order) // 2
        if self._scenario.cut:
            cluster.cut_from_store(order[:half])
        if self._scenario.silent:
            silent = self._rng.sample(order, half)
            cluster.network.silent_watches.update(node.name for node in silent)

    async def _drive(self, end: float, rate: float) -> None:
        task = None
        if self._scenario.kills:
            task = await curio.spawn(self._kill, daemon=True)
        while time.monotonic() < end:
            await self._cluster.accept()
            # Near-equal intervals, so that runs have equally many changes.
            interval = jitter.spread(self._rng, 1 / rate, fraction=0.5)
            await curio.sleep(interval)
        if task is not None:
            await task.cancel()

    async def _kill(self) -> None:
        while True:
            node = self._rng.choice(self._cluster.running)
            self._collect(node)
            await node.stop()
            try:
                await curio.sleep(DOWN_SECONDS)
            finally:
                await node.start()
            await curio.sleep(KILL_SECONDS - DOWN_SECONDS)

    def _collect(self, node: nodes.Node) -> None:
        self._latencies.extend(self._cluster.latencies(node))

    async def _missing(self) -> int:
        """Return how many hosts lack the last change after 5 s."""
        cluster = self._cluster
        last = max(cluster.accepted_at)
        await cluster.in_force(last, limit=IN_FORCE_SECONDS)
        for node in cluster.running:
            self._collect(node)
        return sum(node.sequence < last for node in cluster.running)

    def _row(self, missing: int, **figures: typing.Any) -> Row:
        histogram = hdrh.histogram.HdrHistogram(1, _MAX_MILLISECONDS, 3)
        for latency in self._latencies:
            histogram.record_value(max(1, round(latency * 1000)))
        late = sum(item > IN_FORCE_SECONDS for item in self._latencies)
        return Row(
            scenario=self._scenario.name,
            hosts=len(self._cluster.nodes),
            samples=len(self._latencies),
            p50=histogram.get_value_at_percentile(50),
            p99=histogram.get_value_at_percentile(99),
            max=histogram.get_max_value(),
            late=late + missing,
            reverted=sum(node.reverted for node in self._cluster.nodes),
            **figures,
        )


async def run_one(
    scenario: Scenario,
    hosts: int,
    *,
    seconds: float,
    rate: float,
    seed: int,
) -> Row:
    """Run one scenario in a new cluster."""
    async with clusters.running(hosts, domains=DOMAINS, seed=seed) as cluster:
        return await Run(cluster, scenario, seed).measure(seconds, rate)


def extrapolate(
    rows: list[Row],
    field: str,
) -> tuple[float, dict[int, float]]:
    """Fit a line over the number of hosts.

    :return: the slope per host and the values at larger sizes.
    """
    line = statistics.linear_regression(
        [row.hosts for row in rows],
        [getattr(row, field) for row in rows],
    )
    values = {
        hosts: line.intercept + line.slope * hosts
        for hosts in EXTRAPOLATED_HOSTS
    }
    return line.slope, values


def _print_row(row: Row) -> None:
    values = [
        f'{value:.4f}' if name == 'cpu' else
        f'{value:.0f}' if isinstance(value, float) else str(value)
        for name, value in dataclasses.asdict(row).items()
    ]
    typer.echo('| ' + ' | '.join(values) + ' |')


def _print_lines(rows: list[Row]) -> None:
    for field in ('p99', 'max', 'start_calls', 'store_calls', 'bytes_per_host',
                  'reader_bytes'):
        slope, values = extrapolate(rows, field)
        text = ', '.join(
            f'{value:.0f} at {hosts} hosts' for hosts, value in values.items()
        )
        typer.echo(f'{field}: {slope:.3f} per host; {text}')


def main(
    sizes: str = '12,24,36,48,60',
    fault_hosts: int = 24,
    faults: bool = True,
    seconds: float = 20.0,
    rate: float = CHANGES_PER_DAY / DAY_SECONDS,
    seed: int = 1,
) -> None:
    """Print a table of all runs and the slopes over the number of hosts."""
    # Curio reports time-outs that met a completed operation; none matters.
    logging.disable(logging.WARNING)
    names = [field.name for field in dataclasses.fields(Row)]
    typer.echo('| ' + ' | '.join(names) + ' |')
    typer.echo('| ' + ' | '.join('---' for _ in names) + ' |')

    def measure(scenario: Scenario, hosts: int) -> Row:

        async def run() -> Row:
            return await run_one(
                scenario, hosts, seconds=seconds, rate=rate, seed=seed
            )

        row = curio.run(run)
        _print_row(row)
        return row

    steady = [measure(SCENARIOS[0], int(size)) for size in sizes.split(',')]
    for scenario in SCENARIOS[1:] if faults else ():
        measure(scenario, fault_hosts)
    if len(steady) > 1:
        _print_lines(steady)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('SCENARIOS', 'Row', 'Scenario', 'extrapolate', 'main', 'run_one')
