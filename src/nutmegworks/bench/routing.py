"""Compares ways in which daemons of nutmegd choose upstreams.

Upstreams and daemons are simulated. Each daemon chooses with a
``RoutingTable`` of its own, from its own attempts and from reports of the
upstreams that are up to a second old.
"""
from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from hdrh import histogram
import typer

from nutmegworks.adapters import hosts
from nutmegworks.adapters import upstreams
from nutmegworks.limits import retries
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.routing import chooser
from nutmegworks.routing import table

SERVICE_ID: typing.Final = ids.ServiceId('round-planner')
CLASS_ID: typing.Final = ids.ClassId('plan')
DOMAIN_ID: typing.Final = ids.DomainId('amman-north')
UPSTREAM_COUNT: typing.Final = 24
SLOTS_PER_UPSTREAM: typing.Final = 8
DAEMON_COUNT: typing.Final = 8
REPORT_INTERVAL_SECONDS: typing.Final = 1.0
# Time until a daemon receives a refusal or a failure: the round trip between
# two failure domains.
FAILURE_RESPONSE_SECONDS: typing.Final = 0.002
# A request without an eligible upstream is routed again after this time.
FULL_POOL_RETRY_SECONDS: typing.Final = 0.01
MAX_LATENCY_MICROSECONDS: typing.Final = 600_000_000


class LoadUnawareChooser(chooser.RandomChooser):
    """Draws from all upstreams, regardless of their load."""

    def choose(
        self,
        candidates: typing.Sequence[chooser.Candidate],
        own_domain_id: ids.DomainId,
        rng: random.Random,
    ) -> chooser.Candidate | None:
        return rng.choice(candidates) if candidates else None


CHOOSER_BY_NAME: typing.Final[dict[str, type[chooser.Chooser]]] = {
    'random, blind': LoadUnawareChooser,
    'random, free slot': chooser.RandomChooser,
    'two choices': chooser.TwoChoicesChooser,
    'least outstanding': chooser.LeastOutstandingChooser,
}


@dataclasses.dataclass(slots=True)
class Request:
    """A request that has not ended.

    :param arrived_at: simulated seconds.
    :param run_seconds: run time on the upstream.
    :param daemon: index of the daemon that routes the request.
    :param excluded: upstreams on which an attempt has failed or been refused.
    """

    request_id: ids.RequestId
    arrived_at: float
    run_seconds: float
    daemon: int
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)


class Simulation:
    """Upstreams, daemons and an event queue.

    :param failing: share of the upstreams that fail every attempt.
    :param budget: whether a retry budget limits retries.
    :param ejection: whether failing upstreams are ejected.
    :ivar wait: microseconds from arrival until a slot is found.
    """

    def __init__(
        self,
        policy: type[chooser.Chooser],
        *,
        seed: int,
        failing: float = 0.0,
        budget: bool = True,
        ejection: bool = True,
    ) -> None:
        self._rng = random.Random(seed)
        self._policy = policy
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._hosts = [_host(number) for number in range(UPSTREAM_COUNT)]
        self._busy: collections.Counter[str] = collections.Counter()
        self._failing = {
            host.host_id
            for host in self._hosts[:round(UPSTREAM_COUNT * failing)]
        }
        self._tables = [self._new_routing_table() for _ in range(DAEMON_COUNT)]
        self._budgets = [retries.RetryBudget() for _ in range(DAEMON_COUNT)]
        self._has_budget = budget
        self._has_ejection = ejection
        self.wait = histogram.HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)
        self.requests = 0
        self.attempts = 0
        self.refusals = 0
        self.failures = 0

    def _new_routing_table(self) -> table.RoutingTable:
        routes = table.RoutingTable(
            DOMAIN_ID,
            chooser=self._policy(),
            rng=random.Random(self._rng.random()),
        )
        routes.update_hosts(self._hosts, 0.0)
        return routes

    def run(
        self,
        *,
        load: float,
        run_seconds: float,
        seconds: float,
    ) -> None:
        """Simulate Poisson arrivals until all requests have ended.

        :param load: mean share of all slots that the requests use.
        :param run_seconds: mean run time of a request.
        :param seconds: simulated time in which requests arrive.
        """
        rate = load * UPSTREAM_COUNT * SLOTS_PER_UPSTREAM / run_seconds
        arrives_at = 0.0
        number = 0
        while (arrives_at :=
               arrives_at + self._rng.expovariate(rate)) < seconds:
            number += 1
            request = Request(
                ids.RequestId(str(number)),
                arrives_at,
                self._rng.expovariate(1 / run_seconds),
                self._rng.randrange(DAEMON_COUNT),
            )
            self._schedule(arrives_at, self._start, request)
        for number, routes in enumerate(self._tables):
            # Daemons poll the upstreams at different times.
            self._schedule(
                number / DAEMON_COUNT, self._report, routes, seconds
            )
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(
        self,
        when: float,
        action: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        entry = (when, next(self._sequence), lambda: action(*arguments))
        heapq.heappush(self._events, entry)

    def _report(self, routes: table.RoutingTable, until: float) -> None:
        for host in self._hosts:
            report = upstreams.UpstreamReport(
                False, SLOTS_PER_UPSTREAM, self._busy[host.host_id]
            )
            upstream_id = ids.UpstreamId(host.host_id)
            routes.update_report(upstream_id, report, self._now)
        if self._now < until:
            self._schedule(
                self._now + REPORT_INTERVAL_SECONDS, self._report, routes,
                until
            )

    def _start(self, request: Request) -> None:
        self.requests += 1
        self._budgets[request.daemon].request_started(CLASS_ID)
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        routes = self._tables[request.daemon]
        upstream = routes.select(
            SERVICE_ID, self._now, excluded=request.excluded
        )
        if upstream is None:
            request.excluded.clear()
            later = self._now + FULL_POOL_RETRY_SECONDS
            self._schedule(later, self._attempt, request)
            return
        upstream_id = upstream.upstream_id
        if self._busy[upstream_id] >= SLOTS_PER_UPSTREAM:
            self.refusals += 1
            self._schedule_failure(
                request, upstream_id, upstreams.CallFault.REFUSED
            )
            return
        self.attempts += 1
        if upstream_id in self._failing:
            self._schedule_failure(
                request, upstream_id, upstreams.CallFault.CLOSED
            )
            return
        self.wait.record_value(
            max(1, int((self._now - request.arrived_at) * 1e6))
        )
        self._busy[upstream_id] += 1
        end = self._now + request.run_seconds
        self._schedule(end, self._succeed, request, upstream_id)

    def _succeed(
        self,
        request: Request,
        upstream_id: ids.UpstreamId,
    ) -> None:
        self._busy[upstream_id] -= 1
        self._tables[request.daemon].record_result(
            upstream_id, request.request_id, None, self._now
        )

    def _schedule_failure(
        self,
        request: Request,
        upstream_id: ids.UpstreamId,
        fault: upstreams.CallFault,
    ) -> None:
        end = self._now + FAILURE_RESPONSE_SECONDS
        self._schedule(end, self._fail, request, upstream_id, fault)

    def _fail(
        self,
        request: Request,
        upstream_id: ids.UpstreamId,
        fault: upstreams.CallFault,
    ) -> None:
        refused = fault is upstreams.CallFault.REFUSED
        routes = self._tables[request.daemon]
        if refused or self._has_ejection:
            error = upstreams.CallError(
                fault, verdict.Verdict.DID_NOT_RUN, fault.value
            )
            routes.record_result(
                upstream_id, request.request_id, error, self._now
            )
        else:
            routes.record_cancellation(upstream_id)
        request.excluded.add(upstream_id)
        budget = self._budgets[request.daemon]
        # A refusal costs the upstream nothing, so a retry needs no budget.
        if refused or not self._has_budget or budget.allow_retry(CLASS_ID):
            self._attempt(request)
        else:
            self.failures += 1


def _host(number: int) -> hosts.Host:
    return hosts.Host(
        f'upstream-{number}',
        hosts.HostRole.UPSTREAM,
        ('127.0.0.1', number),
        DOMAIN_ID,
        hosts.HostState.LIVE,
        SERVICE_ID,
    )


def _print_waiting_times(load: float, seconds: float, seeds: int) -> None:
    print(
        '| choice | seed | requests | refused attempts/request | p50 ms '
        '| p99 ms |'
    )
    print('| --- | --- | --- | --- | --- | --- |')
    for name, policy in CHOOSER_BY_NAME.items():
        for seed in range(1, seeds + 1):
            simulation = Simulation(policy, seed=seed)
            simulation.run(load=load, run_seconds=1.0, seconds=seconds)
            wait = simulation.wait
            print(
                f'| {name} | {seed} | {simulation.requests} '
                f'| {simulation.refusals / simulation.requests:.3f} '
                f'| {wait.get_value_at_percentile(50) / 1000:.1f} '
                f'| {wait.get_value_at_percentile(99) / 1000:.1f} |',
                flush=True,
            )


def _print_failing_upstreams(seconds: float, seeds: int) -> None:
    print(
        '| ejection | budget | seed | requests | attempts/request | failed |'
    )
    print('| --- |' + ' --- |' * 5)
    for ejection, budget in itertools.product((True, False), repeat=2):
        for seed in range(1, seeds + 1):
            simulation = Simulation(
                chooser.LeastOutstandingChooser,
                seed=seed,
                failing=0.3,
                budget=budget,
                ejection=ejection,
            )
            simulation.run(load=0.4, run_seconds=1.0, seconds=seconds)
            requests = simulation.requests
            print(
                f'| {_yes_or_no(ejection)} | {_yes_or_no(budget)} '
                f'| {seed} | {requests} '
                f'| {simulation.attempts / requests:.3f} '
                f'| {simulation.failures / requests:.2%} |',
                flush=True,
            )


def _yes_or_no(value: bool) -> str:
    return 'yes' if value else 'no'


def main(load: float = 0.8, seconds: float = 60.0, seeds: int = 3) -> None:
    """Print a table of waits and one with 30% of the upstreams failing."""
    _print_waiting_times(load, seconds, seeds)
    print()
    _print_failing_upstreams(seconds, seeds)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('CHOOSER_BY_NAME', 'LoadUnawareChooser', 'Simulation', 'main')
