"""Simulates upstreams and daemons to compare ways of choosing.

Events run in simulated time; the choice is that of ``RoutingTable``, which
each of several daemons makes alone from its own attempts and from reports
that are up to a second old.
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
EXECUTORS: typing.Final = 24
SLOTS: typing.Final = 8
DAEMONS: typing.Final = 8
REPORT_SECONDS: typing.Final = 1.0
# There and back between two domains.
REFUSAL_SECONDS: typing.Final = 0.002
FULL_POOL_WAIT_SECONDS: typing.Final = 0.01
LONGEST_MICROSECONDS: typing.Final = 600_000_000


class BlindChooser(chooser.RandomChooser):
    """Draws from all upstreams, whatever their load."""

    def choose(
        self,
        candidates: typing.Sequence[chooser.Candidate],
        own_domain_id: ids.DomainId,
        rng: random.Random,
    ) -> chooser.Candidate | None:
        return rng.choice(candidates) if candidates else None


CHOOSER_BY_NAME: typing.Final[dict[str, type[chooser.Chooser]]] = {
    'random, blind': BlindChooser,
    'random, free slot': chooser.RandomChooser,
    'two choices': chooser.TwoChoicesChooser,
    'least outstanding': chooser.LeastOutstandingChooser,
}


@dataclasses.dataclass(slots=True)
class Request:
    """A request on its way.

    :param run_seconds: how long it runs once it has a slot.
    """

    request_id: ids.RequestId
    arrived: float
    run_seconds: float
    daemon: int
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)


class Simulation:
    """Upstreams, daemons and an event queue.

    :param failing: part of the upstreams that fail every attempt.
    :param budget: whether retries need a budget.
    :param ejection: whether failing upstreams are ejected.
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
        self._source = random.Random(seed)
        self._policy = policy
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._hosts = [_host(number) for number in range(EXECUTORS)]
        self._busy: collections.Counter[str] = collections.Counter()
        self._failing = {
            host.host_id
            for host in self._hosts[:round(EXECUTORS * failing)]
        }
        self._tables = [self._new_table() for _ in range(DAEMONS)]
        self._budgets = [retries.RetryBudget() for _ in range(DAEMONS)]
        self._has_budget = budget
        self._ejects = ejection
        self.wait = histogram.HdrHistogram(1, LONGEST_MICROSECONDS, 3)
        self.requests = 0
        self.attempts = 0
        self.refusals = 0
        self.failures = 0

    def _new_table(self) -> table.RoutingTable:
        made = table.RoutingTable(
            DOMAIN_ID,
            chooser=self._policy(),
            rng=random.Random(self._source.random()),
        )
        made.update_hosts(self._hosts, 0.0)
        return made

    def run(
        self,
        *,
        load: float,
        run_seconds: float,
        seconds: float,
    ) -> None:
        """Simulate arrivals at a part of the capacity of all slots."""
        rate = load * EXECUTORS * SLOTS / run_seconds
        at = 0.0
        number = 0
        while (at := at + self._source.expovariate(rate)) < seconds:
            number += 1
            request = Request(
                ids.RequestId(str(number)),
                at,
                self._source.expovariate(1 / run_seconds),
                self._source.randrange(DAEMONS),
            )
            self._at(at, self._start, request)
        for number, routes in enumerate(self._tables):
            # Daemons do not poll at the same moment.
            self._at(number / DAEMONS, self._report, routes, seconds)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def _at(
        self,
        at: float,
        action: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        entry = (at, next(self._order), lambda: action(*arguments))
        heapq.heappush(self._events, entry)

    def _report(self, routes: table.RoutingTable, until: float) -> None:
        for host in self._hosts:
            report = upstreams.UpstreamReport(
                False, SLOTS, self._busy[host.host_id]
            )
            upstream_id = ids.UpstreamId(host.host_id)
            routes.update_report(upstream_id, report, self._now)
        if self._now < until:
            self._at(self._now + REPORT_SECONDS, self._report, routes, until)

    def _start(self, request: Request) -> None:
        self.requests += 1
        self._budgets[request.daemon].request_started(CLASS_ID)
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        routes = self._tables[request.daemon]
        known = routes.select(SERVICE_ID, self._now, excluded=request.excluded)
        if known is None:
            request.excluded.clear()
            later = self._now + FULL_POOL_WAIT_SECONDS
            self._at(later, self._attempt, request)
            return
        upstream_id = known.upstream_id
        if self._busy[upstream_id] >= SLOTS:
            self.refusals += 1
            self._end_soon(request, upstream_id, upstreams.CallFault.REFUSED)
            return
        self.attempts += 1
        if upstream_id in self._failing:
            self._end_soon(request, upstream_id, upstreams.CallFault.CLOSED)
            return
        self.wait.record_value(
            max(1, int((self._now - request.arrived) * 1e6))
        )
        self._busy[upstream_id] += 1
        end = self._now + request.run_seconds
        self._at(end, self._succeed, request, upstream_id)

    def _succeed(
        self,
        request: Request,
        upstream_id: ids.UpstreamId,
    ) -> None:
        self._busy[upstream_id] -= 1
        self._tables[request.daemon].record_result(
            upstream_id, request.request_id, None, self._now
        )

    def _end_soon(
        self,
        request: Request,
        upstream_id: ids.UpstreamId,
        fault: upstreams.CallFault,
    ) -> None:
        end = self._now + REFUSAL_SECONDS
        self._at(end, self._fail, request, upstream_id, fault)

    def _fail(
        self,
        request: Request,
        upstream_id: ids.UpstreamId,
        fault: upstreams.CallFault,
    ) -> None:
        refused = fault is upstreams.CallFault.REFUSED
        routes = self._tables[request.daemon]
        if refused or self._ejects:
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
        # A refusal costs the upstream nothing, so it needs no budget here.
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


def _waiting(load: float, seconds: float, seeds: int) -> None:
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


def _failing(seconds: float, seeds: int) -> None:
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
                f'| {_yes(ejection)} | {_yes(budget)} | {seed} | {requests} '
                f'| {simulation.attempts / requests:.3f} '
                f'| {simulation.failures / requests:.2%} |',
                flush=True,
            )


def _yes(value: bool) -> str:
    return 'yes' if value else 'no'


def main(load: float = 0.8, seconds: float = 60.0, seeds: int = 3) -> None:
    """Print tables of waiting and of attempts at 30% failing upstreams."""
    _waiting(load, seconds, seeds)
    print()
    _failing(seconds, seeds)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('BlindChooser', 'CHOOSER_BY_NAME', 'Simulation', 'main')
