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
    made = table.RoutingTable(
        'north',
        chooser=policy or chooser.LeastOutstandingChooser(),
        source=random.Random(1),
    )
    made.listed([host(name, **options) for name in names], 0.0)
    return made


def error(fault, *, reused=False):
    return upstreams.CallError(
        fault, verdict.Verdict.MAY_HAVE_RUN, '', reused=reused
    )


def fail(routes, name, count, *, now=1.0, requests=10, **options):
    for number in range(count):
        routes._outstanding_by_id[name] += 1
        routes.finished(
            name,
            f'r{number % requests}',
            error(options.get('fault', CallFault.TIMEOUT), **_reused(options)),
            now,
        )


def _reused(options):
    return {'reused': options.get('reused', False)}


def chosen(routes, now, count=200):
    """Return the upstreams that each of many lone attempts may reach."""
    names = set()
    for _ in range(count):
        known = routes.select(SERVICE, now)
        if known is not None:
            names.add(known.upstream_id)
            routes.cancelled(known.upstream_id)
    return names


def test_leaving_by_either_source_gets_no_work() -> None:
    """P6: a leaving upstream must not receive work because a list lags."""
    routes = new_table('a', 'b', 'c', 'd')
    routes.reported('a', LEAVING, 1.0)
    routes.listed([host('a'), host('b', live=False), host('c')], 1.0)
    assert chosen(routes, 1.0) == {'c'}
    routes.select(SERVICE, 1.0)
    routes.finished('c', 'r', None, 1.0, leaving=True)
    assert chosen(routes, 1.0) == set()


def test_one_old_report_does_not_undo_leaving() -> None:
    """A poll that overtakes a response must not bring an upstream back."""
    routes = new_table('a')
    routes.directory.said_leaving('a')
    routes.reported('a', READY, 1.0)
    assert chosen(routes, 1.0) == set()
    routes.reported('a', READY, 2.0)
    assert chosen(routes, 2.0) == {'a'}


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
def test_weak_evidence_ejects_nobody(options) -> None:
    """Dead idle connections, one bad request, a full one: no evidence."""
    count = options.pop('count', 20)
    routes = new_table('a', 'b', 'c', 'd')
    fail(routes, 'a', count, **options)
    assert chosen(routes, 1.0 + table.FULL_SECONDS) == {'a', 'b', 'c', 'd'}


def test_failing_upstream_is_ejected_and_returns_on_probation() -> None:
    """A failing upstream must lose its work and later get it back slowly."""
    routes = new_table('a', 'b')
    fail(routes, 'a', health.MIN_FAILED_REQUESTS)
    assert chosen(routes, 1.0) == {'b'}
    back = 1.0 + health.EJECTION_SECONDS
    assert chosen(routes, back) == {'a', 'b'}
    taken = [routes.select(SERVICE, back) for _ in range(8)]
    names = [known.upstream_id for known in taken if known]
    assert names.count('a') == 1
    for name in names:
        routes.cancelled(name)
    fail(routes, 'a', 1, now=back)
    again = back + health.EJECTION_SECONDS
    assert chosen(routes, again) == {'b'}
    again += health.EJECTION_SECONDS
    assert chosen(routes, again) == {'a', 'b'}
    for _ in range(health.PROBATION_SUCCESSES):
        routes._outstanding_by_id['a'] += 1
        routes.finished('a', 'r', None, again)
    assert not routes._health.is_on_probation('a')


def test_never_more_than_half_of_the_pool_is_ejected() -> None:
    """A fault that all share must not leave the service without upstreams."""
    names = [f'u{number}' for number in range(9)]
    routes = new_table(*names)
    for order, name in enumerate(names):
        fail(routes, name, 20, now=1.0 + order / 100)
    assert len(routes._health.ejected(names, 2.0)) == 4
    assert chosen(routes, 2.0) == set(names[4:])


def test_own_domain_first_and_spill_when_full() -> None:
    """Work must stay near while it can, and not wait while it can't."""
    routes = new_table('near', 'full')
    routes.listed(
        [host('near'), host('far', domain='south')],
        0.0,
    )
    late = chooser.SLOW_START_SECONDS
    order = [routes.select(SERVICE, late).upstream_id for _ in range(16)]
    assert order == ['near'] * 8 + ['far'] * 8
    assert routes.select(SERVICE, late) is None


def test_refusal_means_full_for_a_moment() -> None:
    """A shared upstream that refuses must not be asked at once again."""
    routes = new_table('a', 'b')
    routes.select(SERVICE, 1.0)
    routes.finished('a', 'r', error(CallFault.REFUSED), 1.0)
    assert chosen(routes, 1.0) == {'b'}
    assert chosen(routes, 1.0 + table.FULL_SECONDS) == {'a', 'b'}


def test_load_of_other_daemons_counts_until_it_is_the_last_choice() -> None:
    """An old report must steer work away, but never refuse it."""
    routes = new_table('a', policy=chooser.RandomChooser())
    routes.listed([host('a'), host('b', domain='south')], -99.0)
    full = upstreams.UpstreamReport(leaving=False, slots=8, busy=8)
    routes.reported('a', full, 1.0)
    assert chosen(routes, 1.0) == {'b'}
    routes.reported('b', full, 1.0)
    assert chosen(routes, 1.0) == {'a', 'b'}


def test_less_busy_by_report_is_preferred() -> None:
    """An upstream that other daemons load must get less of this one."""
    routes = new_table('a', 'b')
    busy = upstreams.UpstreamReport(leaving=False, slots=8, busy=4)
    routes.reported('a', busy, 1.0)
    assert chosen(routes, 1.0) == {'b'}


def test_new_upstream_starts_slowly() -> None:
    """A cold upstream must not receive all work because it is idle."""
    routes = new_table('a')
    routes.listed([host('a'), host('new')], 10.0)
    taken = [routes.select(SERVICE, 11.0).upstream_id for _ in range(8)]
    assert taken.count('new') == 1
    late = 10.0 + chooser.SLOW_START_SECONDS
    taken = [routes.select(SERVICE, late) for _ in range(20)]
    names = [known.upstream_id for known in taken if known]
    assert names.count('new') == 7


def test_two_choices_spread_the_load() -> None:
    """Choices by chance alone leave some upstreams with twice the work."""
    names = [f'u{number}' for number in range(24)]
    worst = {}
    for policy in (
            chooser.LeastOutstandingChooser(),
            chooser.TwoChoicesChooser(),
            chooser.RandomChooser(),
    ):
        routes = new_table(*names, policy=policy)
        for _ in range(96):
            routes.select(SERVICE, 1.0)
        counts = routes._outstanding_by_id.values()
        worst[type(policy)] = max(counts)
    assert worst[chooser.LeastOutstandingChooser] == 4
    assert worst[chooser.TwoChoicesChooser] <= 6
    assert worst[chooser.RandomChooser] >= 8
