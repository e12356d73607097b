from __future__ import annotations

import random

import pytest

from nutmegworks.adapters import hosts
from nutmegworks.adapters import upstreams
from nutmegworks.model import verdict
from nutmegworks.routing import chooser
from nutmegworks.routing import health
from nutmegworks.routing import table

CallFault = upstreams.CallFault
SERVICE = 'round-planner'
LEAVING = upstreams.UpstreamReport(leaving=True, slots=8, busy=0)
READY = upstreams.UpstreamReport(leaving=False, slots=8, busy=0)


def host(name, *, domain='north', live=True, port=1):
    return hosts.Host(
        name,
        hosts.HostRole.UPSTREAM,
        ('127.0.0.1', port),
        domain,
        hosts.HostState.LIVE if live else hosts.HostState.LEAVING,
        SERVICE,
    )


def new_table(*names, policy=None, **options):
    routes = table.RoutingTable(
        'north',
        chooser=policy or chooser.LeastOutstandingChooser(),
        rng=random.Random(1),
    )
    routes.update_hosts([host(name, **options) for name in names], 0.0)
    return routes


def error(fault, *, reused=False):
    return upstreams.CallError(
        fault, verdict.Verdict.MAY_HAVE_RUN, '', reused=reused
    )


def fail(routes, name, count, *, now=1.0, requests=10, **options):
    for number in range(count):
        routes._outstanding_by_id[name] += 1
        routes.record_result(
            name,
            f'r{number % requests}',
            error(options.get('fault', CallFault.TIMEOUT), **_reused(options)),
            now,
        )


def _reused(options):
    return {'reused': options.get('reused', False)}


def reachable(routes, now, count=200):
    """Return the upstreams that single attempts reach, one at a time."""
    names = set()
    for _ in range(count):
        entry = routes.select(SERVICE, now)
        if entry is not None:
            names.add(entry.upstream_id)
            routes.record_cancellation(entry.upstream_id)
    return names


def test_leaving_by_either_source_gets_no_work() -> None:
    """Guards against work for a leaving upstream while the list lags."""
    routes = new_table('a', 'b', 'c', 'd')
    routes.update_report('a', LEAVING, 1.0)
    routes.update_hosts([host('a'), host('b', live=False), host('c')], 1.0)
    assert reachable(routes, 1.0) == {'c'}
    routes.select(SERVICE, 1.0)
    routes.record_result('c', 'r', None, 1.0, leaving=True)
    assert reachable(routes, 1.0) == set()


def test_one_stale_report_does_not_undo_leaving() -> None:
    """Guards against a ready report from before the upstream was leaving.

    A poll and a response can arrive in the wrong order.
    """
    routes = new_table('a')
    routes.directory.mark_leaving('a')
    routes.update_report('a', READY, 1.0)
    assert reachable(routes, 1.0) == set()
    routes.update_report('a', READY, 2.0)
    assert reachable(routes, 2.0) == {'a'}


@pytest.mark.parametrize(
    'options', (
        {
            'reused': True
        },
        {
            'requests': 1,
            'fault': CallFault.FAILED
        },
        {
            'fault': CallFault.REFUSED
        },
        {
            'count': health.MIN_FAILED_REQUESTS - 1
        },
    )
)
def test_insufficient_failures_eject_no_upstream(options) -> None:
    """Guards against ejection of upstreams that work.

    The failures stem from closed idle connections, from one bad request, from
    a full upstream, or are too few.
    """
    count = options.pop('count', 20)
    routes = new_table('a', 'b', 'c', 'd')
    fail(routes, 'a', count, **options)
    assert reachable(
        routes,
        1.0 + table.REFUSAL_BACKOFF_SECONDS,
    ) == {'a', 'b', 'c', 'd'}


def test_failing_upstream_is_ejected_and_returns_on_probation() -> None:
    """Guards against work for a failing upstream.

    After the ejection it must not get its full load back at once.
    """
    routes = new_table('a', 'b')
    fail(routes, 'a', health.MIN_FAILED_REQUESTS)
    assert reachable(routes, 1.0) == {'b'}
    returned_at = 1.0 + health.EJECTION_SECONDS
    assert reachable(routes, returned_at) == {'a', 'b'}
    selected = [routes.select(SERVICE, returned_at) for _ in range(8)]
    names = [entry.upstream_id for entry in selected if entry]
    assert names.count('a') == 1
    for name in names:
        routes.record_cancellation(name)
    fail(routes, 'a', 1, now=returned_at)
    later = returned_at + health.EJECTION_SECONDS
    assert reachable(routes, later) == {'b'}
    later += health.EJECTION_SECONDS
    assert reachable(routes, later) == {'a', 'b'}
    for _ in range(health.PROBATION_SUCCESSES):
        routes._outstanding_by_id['a'] += 1
        routes.record_result('a', 'r', None, later)
    assert not routes._health_tracker.is_on_probation('a')


def test_never_more_than_half_of_the_pool_is_ejected() -> None:
    """Guards against ejecting all upstreams because of a shared fault."""
    names = [f'u{number}' for number in range(9)]
    routes = new_table(*names)
    for order, name in enumerate(names):
        fail(routes, name, 20, now=1.0 + order / 100)
    assert len(routes._health_tracker.ejected(names, 2.0)) == 4
    assert reachable(routes, 2.0) == set(names[4:])


def test_own_domain_is_preferred_until_it_is_full() -> None:
    """Guards against work in a remote domain while the own one has slots.

    Work must not wait either while only the own domain is full.
    """
    routes = new_table('near', 'full')
    routes.update_hosts(
        [host('near'), host('far', domain='south')],
        0.0,
    )
    ready_time = chooser.SLOW_START_SECONDS
    order = [routes.select(SERVICE, ready_time).upstream_id for _ in range(16)]
    assert order == ['near'] * 8 + ['far'] * 8
    assert routes.select(SERVICE, ready_time) is None


def test_upstream_that_refused_counts_as_full_for_a_while() -> None:
    """Guards against an immediate retry on an upstream that refused."""
    routes = new_table('a', 'b')
    routes.select(SERVICE, 1.0)
    routes.record_result('a', 'r', error(CallFault.REFUSED), 1.0)
    assert reachable(routes, 1.0) == {'b'}
    assert reachable(routes, 1.0 + table.REFUSAL_BACKOFF_SECONDS) == {'a', 'b'}


def test_upstream_full_by_report_is_the_last_choice() -> None:
    """Guards against refusing work because of a stale report."""
    routes = new_table('a', policy=chooser.RandomChooser())
    routes.update_hosts([host('a'), host('b', domain='south')], -99.0)
    full = upstreams.UpstreamReport(leaving=False, slots=8, busy=8)
    routes.update_report('a', full, 1.0)
    assert reachable(routes, 1.0) == {'b'}
    routes.update_report('b', full, 1.0)
    assert reachable(routes, 1.0) == {'a', 'b'}


def test_less_busy_upstream_by_report_is_preferred() -> None:
    """Guards against ignoring the load from other daemons."""
    routes = new_table('a', 'b')
    busy = upstreams.UpstreamReport(leaving=False, slots=8, busy=4)
    routes.update_report('a', busy, 1.0)
    assert reachable(routes, 1.0) == {'b'}


def test_new_upstream_starts_slowly() -> None:
    """Guards against sending all work to a new upstream that is idle."""
    routes = new_table('a')
    routes.update_hosts([host('a'), host('new')], 10.0)
    selected = [routes.select(SERVICE, 11.0).upstream_id for _ in range(8)]
    assert selected.count('new') == 1
    ready_time = 10.0 + chooser.SLOW_START_SECONDS
    selected = [routes.select(SERVICE, ready_time) for _ in range(20)]
    names = [entry.upstream_id for entry in selected if entry]
    assert names.count('new') == 7


def test_two_choices_spread_the_load() -> None:
    """Guards against uneven load, as with purely random choices.

    These leave some upstreams with twice the work.
    """
    names = [f'u{number}' for number in range(24)]
    highest_count = {}
    for policy in (
            chooser.LeastOutstandingChooser(),
            chooser.TwoChoicesChooser(),
            chooser.RandomChooser(),
    ):
        routes = new_table(*names, policy=policy)
        for _ in range(96):
            routes.select(SERVICE, 1.0)
        counts = routes._outstanding_by_id.values()
        highest_count[type(policy)] = max(counts)
    assert highest_count[chooser.LeastOutstandingChooser] == 4
    assert highest_count[chooser.TwoChoicesChooser] <= 6
    assert highest_count[chooser.RandomChooser] >= 8
