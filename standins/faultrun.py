"""Runs a cluster under seeded faults and checks the recorded history.

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
from standins import cluster as clusters
from standins import fault_schedule
from standins import jobcallers
from standins import operators

DOMAINS: typing.Final = ('amman-north', 'amman-south')
DAEMONS_PER_DOMAIN: typing.Final = 2
UPSTREAMS: typing.Final = 5
RELAYED_UPSTREAMS: typing.Final = 2
# Requests under the fault "silent" occupy their slots until the run ends.
UPSTREAM_SLOTS: typing.Final = 256
CALLERS: typing.Final = 8
OPERATORS: typing.Final = 3
JOB_CALLERS: typing.Final = 3
WORKERS_PER_DOMAIN: typing.Final = 4
# 1 s more than daemons may take to adopt a configuration.
SETTLE_SECONDS: typing.Final = rules.MAX_CONFIGURATION_DELAY_SECONDS + 1.0
# Per second of the run; low, as callers mostly wait while faults are active.
MIN_ANSWERED_PER_SECOND: typing.Final = 4.0


class Run:
    """One run: a cluster, its callers, operators and observers."""

    def __init__(self, cluster: clusters.Cluster, seed: int) -> None:
        self.history = recorder.Recorder()
        self._seed = seed
        self.targets = self._build(cluster)
        self.schedule = fault_schedule.FaultSchedule(
            self.targets, seed, self.history
        )
        balancer = self.targets.balancer
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
            operators.Operator(f'op-{number}', seed, balancer, self.history)
            for number in range(OPERATORS)
        ]
        self._observers = [
            operators.Observer(address, name, self.history)
            for address, name in balancer.name_by_address.items()
        ]

    def _build(self, cluster: clusters.Cluster) -> fault_schedule.FaultTargets:
        upstream_by_name: dict[str, str] = {}
        control_by_relay: dict[str, str] = {}
        for number in range(UPSTREAMS):
            name = f'u{number}'
            upstream_by_name[name] = cluster.add_upstream(
                name, slots=UPSTREAM_SLOTS
            )
            if number < RELAYED_UPSTREAMS:
                relay, control_by_relay[name] = cluster.start_relay(
                    upstream_by_name[name]
                )
                cluster.list_upstream(name, relay)
        address_by_worker = {
            f'{domain}-w{number}':
            cluster.add_worker(
                f'{domain}-w{number}', rack=f'{domain}-r', domain=domain
            )
            for domain in DOMAINS
            for number in range(WORKERS_PER_DOMAIN)
        }
        name_by_address: dict[str, str] = {}
        domain_by_daemon: dict[str, str] = {}
        domain_by_store_relay: dict[str, str] = {}
        for domain in DOMAINS:
            relay, control_by_relay[f'store-{domain}'] = cluster.start_relay(
                cluster.store
            )
            domain_by_store_relay[f'store-{domain}'] = domain
            for number in range(DAEMONS_PER_DOMAIN):
                name = f'{domain}-{number}'
                address = cluster.add_daemon(
                    name,
                    domain=domain,
                    ready=False,
                    store=relay,
                    grace='1 s',
                )
                name_by_address[address] = name
                domain_by_daemon[name] = domain
        cluster.configure_default()
        return fault_schedule.FaultTargets(
            cluster, callers.Balancer(name_by_address), upstream_by_name,
            control_by_relay, domain_by_store_relay, domain_by_daemon,
            address_by_worker
        )

    def run(self, seconds: float) -> None:
        """Inject faults for some seconds, then let the cluster settle."""
        for thread in (*self._observers, *self._callers, *self.job_callers,
                       *self.operators):
            thread.start()
        self.schedule.run(seconds)
        for group in (self._callers, self.operators, self.job_callers):
            for thread in group:
                thread.stop_requested.set()
            for thread in group:
                thread.join()
        time.sleep(SETTLE_SECONDS)
        for observer in self._observers:
            observer.stop_requested.set()
            observer.join()

    def collect(self) -> list[events.Event]:
        """Return the history merged with executions and stored changes."""
        tasks = jobcallers.list_executions(
            self.targets.cluster, self.targets.address_by_worker
        )
        return self.history.merged(
            self._executions(), self._stored_changes(), tasks
        )

    def _executions(self) -> typing.Iterator[events.Event]:
        for name, address in self.targets.upstream_by_name.items():
            for item in self.targets.cluster.executions(address):
                body = base64.b64decode(item['body']).decode()
                yield events.RequestExecuted(
                    at=item['started'],
                    key=callers.extract_key(body),
                    upstream=name,
                )

    def _stored_changes(self) -> typing.Iterator[events.Event]:
        address = next(iter(self.targets.balancer.name_by_address))
        reply = clusters.call(
            'GET',
            address,
            '/v1/config/history',
            token=clusters.OPERATOR_TOKEN,
        )
        assert reply.status == 200, reply.body
        for sequence, change in json.loads(reply.body):
            yield events.ConfigurationStored(
                at=time.time(), sequence=sequence, change=change[0]
            )


def count_outcomes(
    history: typing.Sequence[events.Event],
) -> collections.Counter[str]:
    """Count attempts by kind of class, verdict and reason."""
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


def find_violations(run: Run,
                    history: typing.Sequence[events.Event]) -> list[str]:
    """Return all violations of rules and failures of the schedule."""
    violations = [str(item) for item in rules.check(history)]
    violations.extend(f'schedule: {item}' for item in run.schedule.failures)
    return violations


def _print_counts(
    title: str,
    counts: typing.Mapping[str, int],
) -> None:
    print(title)
    for name in sorted(counts):
        print(f'  {counts[name]:6d}  {name}')


def count_successful(history: typing.Sequence[events.Event]) -> int:
    """Return how many attempts were answered with the verdict "ran"."""
    return sum(
        isinstance(event, events.RequestAnswered) and event.verdict == 'ran'
        for event in history
    )


def count_job_states(
    history: typing.Sequence[events.Event],
) -> collections.Counter[str]:
    """Count the accepted jobs, and the ended jobs by final state."""
    counts: collections.Counter[str] = collections.Counter()
    for event in history:
        if isinstance(event, events.JobEnded):
            counts[event.state] += 1
        elif isinstance(event, events.JobAccepted):
            counts['accepted'] += 1
    return counts


def execute(seed: int, seconds: float, out: pathlib.Path) -> list[str]:
    """Make one run, write its history and print a summary.

    :return: the violations; empty if the run succeeded.
    """
    out.mkdir(parents=True, exist_ok=True)
    with clusters.cluster(out) as cluster:
        run = Run(cluster, seed)
        run.run(seconds)
        history = run.collect()
    recorder.write(out / 'history.jsonl', history)
    violations = find_violations(run, history)
    minimum = int(MIN_ANSWERED_PER_SECOND * seconds)
    count = count_successful(history)
    for caller in run.job_callers:
        violations += [f'job {job} has not ended' for job in caller.unfinished]
    if count < minimum:
        violations.append(f'only {count} requests answered, {minimum} wanted')
    _print_counts('faults', run.schedule.counts)
    _print_counts('requests', count_outcomes(history))
    _print_counts('jobs', count_job_states(history))
    changes: collections.Counter[str] = collections.Counter()
    for operator in run.operators:
        changes.update(operator.outcomes)
    _print_counts('configuration changes', changes)
    print(f'seed {seed}: {count} answered, at least {minimum} wanted')
    for item in violations:
        print(f'VIOLATION {item}')
    return violations


def main(
    out: typing.Annotated[pathlib.Path, typer.Option()],
    seed: int = 1,
    seconds: float = 30.0,
) -> None:
    """Make one run; exit with 1 if there was a violation."""
    sys.exit(1 if execute(seed, seconds, out) else 0)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Run', 'count_successful', 'execute', 'main', 'count_outcomes')
