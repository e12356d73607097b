"""Runs a cluster under seeded faults and checks what was promised.

``python -m standins.faultrun --seed N --seconds S --out DIR``
"""
from __future__ import annotations

import base64
import collections
import json
import pathlib
import sys
import time
import typing

import typer

from nutmegworks.history import events
from nutmegworks.history import recorder
from nutmegworks.history import rules
from standins import callers
from standins import cluster as processes
from standins import disturbances
from standins import jobcallers
from standins import operating

DOMAINS: typing.Final = ('amman-north', 'amman-south')
DAEMONS_PER_DOMAIN: typing.Final = 2
UPSTREAMS: typing.Final = 5
RELAYED_UPSTREAMS: typing.Final = 2
# Silent requests hold their slots until the end.
UPSTREAM_SLOTS: typing.Final = 256
CALLERS: typing.Final = 8
OPERATORS: typing.Final = 3
JOB_CALLERS: typing.Final = 3
WORKERS_PER_DOMAIN: typing.Final = 4
# Beyond the time in which configurations are in force everywhere.
QUIET_SECONDS: typing.Final = rules.MAX_CONFIGURATION_DELAY_SECONDS + 1.0
# Per second of the run; callers wait longer than they work under faults.
MIN_ANSWERED_PER_SECOND: typing.Final = 4.0


class Run:
    """One run: a site, its callers, operators and observers."""

    def __init__(self, cluster: processes.Cluster, seed: int) -> None:
        self.history = recorder.Recorder()
        self._seed = seed
        self.site = self._build(cluster)
        self.schedule = disturbances.Schedule(self.site, seed, self.history)
        balancer = self.site.balancer
        self._callers = [
            callers.Caller(f'caller-{number}', seed, balancer, self.history)
            for number in range(CALLERS)
        ]
        self.job_callers = [
            jobcallers.JobCaller(
                f'jobs-{number}', seed, balancer, self.history
            ) for number in range(JOB_CALLERS)
        ]
        self.operators = [
            operating.Operator(f'op-{number}', seed, balancer, self.history)
            for number in range(OPERATORS)
        ]
        self._observers = [
            operating.Observer(address, name, self.history)
            for address, name in balancer.name_by_address.items()
        ]

    def _build(self, cluster: processes.Cluster) -> disturbances.Site:
        upstreams: dict[str, str] = {}
        controls: dict[str, str] = {}
        for number in range(UPSTREAMS):
            name = f'u{number}'
            upstreams[name] = cluster.add_upstream(name, slots=UPSTREAM_SLOTS)
            if number < RELAYED_UPSTREAMS:
                relay, controls[name] = cluster.start_relay(upstreams[name])
                cluster.list_upstream(name, relay)
        workers = {
            f'{domain}-w{number}':
            cluster.add_worker(
                f'{domain}-w{number}', rack=f'{domain}-r', domain=domain
            )
            for domain in DOMAINS
            for number in range(WORKERS_PER_DOMAIN)
        }
        names: dict[str, str] = {}
        domains: dict[str, str] = {}
        store_relays: dict[str, str] = {}
        for domain in DOMAINS:
            relay, controls[f'store-{domain}'] = cluster.start_relay(
                cluster.store
            )
            store_relays[f'store-{domain}'] = domain
            for number in range(DAEMONS_PER_DOMAIN):
                name = f'{domain}-{number}'
                address = cluster.add_daemon(
                    name,
                    domain=domain,
                    ready=False,
                    store=relay,
                    grace='1 s',
                )
                names[address] = name
                domains[name] = domain
        cluster.configure_default()
        return disturbances.Site(
            cluster, callers.Balancer(names), upstreams, controls,
            store_relays, domains, workers
        )

    def run(self, seconds: float) -> None:
        """Disturb for a time, lift everything and wait until it is quiet."""
        for thread in (*self._observers, *self._callers, *self.job_callers,
                       *self.operators):
            thread.start()
        self.schedule.run(seconds)
        for group in (self._callers, self.operators, self.job_callers):
            for thread in group:
                thread.halted.set()
            for thread in group:
                thread.join()
        time.sleep(QUIET_SECONDS)
        for observer in self._observers:
            observer.halted.set()
            observer.join()

    def collect(self) -> list[events.Event]:
        """Return the merged history with executions and kept changes."""
        tasks = jobcallers.executions(
            self.site.cluster, self.site.address_by_worker
        )
        return self.history.merged(self._executions(), self._kept(), tasks)

    def _executions(self) -> typing.Iterator[events.Event]:
        for name, address in self.site.upstream_by_name.items():
            for item in self.site.cluster.executions(address):
                body = base64.b64decode(item['body']).decode()
                yield events.RequestExecuted(
                    at=item['started'],
                    key=callers.key_of(body),
                    upstream=name,
                )

    def _kept(self) -> typing.Iterator[events.Event]:
        address = next(iter(self.site.balancer.name_by_address))
        reply = processes.call(
            'GET',
            address,
            '/v1/config/history',
            token=processes.OPERATOR_TOKEN,
        )
        assert reply.status == 200, reply.body
        for sequence, change in json.loads(reply.body):
            yield events.ConfigurationKept(
                at=time.time(), sequence=sequence, change=change[0]
            )


def outcomes(
    history: typing.Sequence[events.Event],
) -> collections.Counter[str]:
    """Count answers by class, verdict and reason."""
    idempotent = {
        event.key: event.idempotent
        for event in history
        if isinstance(event, events.RequestSent)
    }
    counts: collections.Counter[str] = collections.Counter()
    for event in history:
        if isinstance(event, events.RequestAnswered):
            kind = 'idempotent' if idempotent[event.key] else 'once'
            verdict = event.verdict or 'no answer'
            reason = event.reason.partition('(')[0]
            counts[f'{kind} {verdict} {reason}'.strip()] += 1
    return counts


def faults_of(run: Run, history: typing.Sequence[events.Event]) -> list[str]:
    """Return everything that makes a run fail."""
    found = [str(item) for item in rules.check(history)]
    found.extend(f'schedule: {item}' for item in run.schedule.failures)
    return found


def _print_counts(
    title: str,
    counts: typing.Mapping[str, int],
) -> None:
    print(title)
    for name in sorted(counts):
        print(f'  {counts[name]:6d}  {name}')


def answered(history: typing.Sequence[events.Event]) -> int:
    """Return how many requests were answered with a response."""
    return sum(
        isinstance(event, events.RequestAnswered) and event.verdict == 'ran'
        for event in history
    )


def job_states(
    history: typing.Sequence[events.Event],
) -> collections.Counter[str]:
    """Return the number of jobs by final state, and the accepted ones."""
    counts: collections.Counter[str] = collections.Counter()
    for event in history:
        if isinstance(event, events.JobEnded):
            counts[event.state] += 1
        elif isinstance(event, events.JobAccepted):
            counts['accepted'] += 1
    return counts


def execute(seed: int, seconds: float, out: pathlib.Path) -> list[str]:
    """Make one run, write its history and print a summary.

    :return: what is wrong; empty after a good run.
    """
    out.mkdir(parents=True, exist_ok=True)
    with processes.cluster(out) as cluster:
        run = Run(cluster, seed)
        run.run(seconds)
        history = run.collect()
    recorder.write(out / 'history.jsonl', history)
    found = faults_of(run, history)
    minimum = int(MIN_ANSWERED_PER_SECOND * seconds)
    count = answered(history)
    for caller in run.job_callers:
        found += [f'job {job} has not ended' for job in caller.unfinished]
    if count < minimum:
        found.append(f'only {count} requests answered, {minimum} wanted')
    _print_counts('faults', run.schedule.counts)
    _print_counts('requests', outcomes(history))
    _print_counts('jobs', job_states(history))
    changes: collections.Counter[str] = collections.Counter()
    for operator in run.operators:
        changes.update(operator.outcomes)
    _print_counts('configuration changes', changes)
    print(f'seed {seed}: {count} answered, at least {minimum} wanted')
    for item in found:
        print(f'VIOLATION {item}')
    return found


def main(
    out: typing.Annotated[pathlib.Path, typer.Option()],
    seed: int = 1,
    seconds: float = 30.0,
) -> None:
    """Exit with 0 only if nothing that was promised is broken."""
    sys.exit(1 if execute(seed, seconds, out) else 0)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Run', 'answered', 'execute', 'main', 'outcomes')
