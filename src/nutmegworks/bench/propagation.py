"""Measures latency and cost of propagating configurations in nutmegd.

Run ``python -m nutmegworks.bench.propagation`` from the source tree, since it
uses the stand-ins. All hosts run in one process and share one core.
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
# An adoption that takes longer counts as late.
MAX_ADOPTION_SECONDS: typing.Final = 5.0
DOMAINS: typing.Final = 3
# Changes before the measurement. They fill the head record, which is most of
# what a reader fetches from the store.
WARM_UP_CHANGES: typing.Final = 90
SETTLE_SECONDS: typing.Final = 6.0
KILL_INTERVAL_SECONDS: typing.Final = 1.5
DOWNTIME_SECONDS: typing.Final = 1.0
EXTRAPOLATION_SIZES: typing.Final = (100, 300, 500)
_MAX_MILLISECONDS: typing.Final = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Faults that are injected during a whole run.

    :param kills: random hosts crash one after the other and restart.
    :param has_unanswered_watches: the watches of half of the hosts are never
        answered.
    :param cuts_store: half of the hosts can't reach the store.
    """

    name: str
    kills: bool = False
    has_unanswered_watches: bool = False
    cuts_store: bool = False


SCENARIOS: typing.Final = (
    Scenario('no fault'),
    Scenario('kills', kills=True),
    Scenario('silent watches', has_unanswered_watches=True),
    Scenario('half cut from store', cuts_store=True),
    Scenario(
        'all of these',
        kills=True,
        has_unanswered_watches=True,
        cuts_store=True
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The result of one run.

    :param p50: milliseconds from acceptance to adoption, as are ``p99`` and
        ``max``.
    :param samples: number of measured adoptions.
    :param late: adoptions that took more than 5 s, plus hosts that had not
        adopted the last change 5 s after the end.
    :param reverted: adoptions of a sequence that was not higher than all
        earlier ones of the host.
    :param start_calls: store calls until all hosts had a configuration.
    :param store_calls: store calls per second of all hosts.
    :param bytes_per_host: bytes per second, sent and received, with headers.
    :param reader_bytes: the same for the reader with the most traffic.
    :param cpu: share of one core used per host.
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
    """A run of one scenario on one cluster."""

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
        await cluster.wait_until_adopted(1, limit=30.0)
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
        with cluster.count_traffic() as traffic:
            await self._accept_changes(started + seconds, rate)
            elapsed = time.monotonic() - started
        cpu = time.process_time() - cpu
        calls_per_second = sum(cluster.store.calls.values()) / elapsed
        count = len(cluster.nodes)
        peer_bytes = 2 * traffic.between_nodes / count / elapsed
        reader_platform_bytes = max(
            (
                node.platform_bytes - before[node]
                for node in cluster.readers
                if node.started_at < started
            ),
            default=0,
        )
        missing = await self._count_missing()
        return self._row(
            missing,
            start_calls=start_calls,
            store_calls=calls_per_second,
            bytes_per_host=traffic.per_host(count, elapsed),
            reader_bytes=peer_bytes + reader_platform_bytes / elapsed,
            cpu=cpu / elapsed / count,
        )

    def _apply_faults(self) -> None:
        cluster = self._cluster
        order = list(cluster.nodes)
        self._rng.shuffle(order)
        half = len(order) // 2
        if self._scenario.cuts_store:
            cluster.cut_from_store(order[:half])
        if self._scenario.has_unanswered_watches:
            affected = self._rng.sample(order, half)
            cluster.network.unanswered_watches.update(
                node.name for node in affected
            )

    async def _accept_changes(self, end: float, rate: float) -> None:
        task = None
        if self._scenario.kills:
            task = await curio.spawn(self._crash_hosts, daemon=True)
        while time.monotonic() < end:
            await self._cluster.accept()
            # Intervals vary little, so that the number of changes is nearly
            # the same in all runs.
            interval = jitter.spread(self._rng, 1 / rate, fraction=0.5)
            await curio.sleep(interval)
        if task is not None:
            await task.cancel()

    async def _crash_hosts(self) -> None:
        while True:
            node = self._rng.choice(self._cluster.running)
            self._collect_latencies(node)
            await node.stop()
            try:
                await curio.sleep(DOWNTIME_SECONDS)
            finally:
                await node.start()
            await curio.sleep(KILL_INTERVAL_SECONDS - DOWNTIME_SECONDS)

    def _collect_latencies(self, node: nodes.Node) -> None:
        self._latencies.extend(self._cluster.latencies(node))

    async def _count_missing(self) -> int:
        """Return how many hosts have not adopted the last change after 5 s."""
        cluster = self._cluster
        last = max(cluster.accepted_at)
        await cluster.wait_until_adopted(last, limit=MAX_ADOPTION_SECONDS)
        for node in cluster.running:
            self._collect_latencies(node)
        return sum(node.sequence < last for node in cluster.running)

    def _row(self, missing: int, **figures: typing.Any) -> Row:
        histogram = hdrh.histogram.HdrHistogram(1, _MAX_MILLISECONDS, 3)
        for latency in self._latencies:
            histogram.record_value(max(1, round(latency * 1000)))
        late = sum(item > MAX_ADOPTION_SECONDS for item in self._latencies)
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
    """Fit a column of the results linearly to the number of hosts.

    :param field: name of the column.
    :return: the slope per host and the extrapolated values by number of
        hosts.
    """
    line = statistics.linear_regression(
        [row.hosts for row in rows],
        [getattr(row, field) for row in rows],
    )
    values = {
        hosts: line.intercept + line.slope * hosts
        for hosts in EXTRAPOLATION_SIZES
    }
    return line.slope, values


def _print_row(row: Row) -> None:
    values = [
        f'{value:.4f}' if name == 'cpu' else
        f'{value:.0f}' if isinstance(value, float) else str(value)
        for name, value in dataclasses.asdict(row).items()
    ]
    typer.echo('| ' + ' | '.join(values) + ' |')


def _print_extrapolations(rows: list[Row]) -> None:
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
    # Curio warns of time-outs of operations that have completed all the same;
    # these warnings are harmless.
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
        _print_extrapolations(steady)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('SCENARIOS', 'Row', 'Scenario', 'extrapolate', 'main', 'run_one')
