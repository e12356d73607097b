"""The order in which a host tries its routes to the store."""
from __future__ import annotations

import pytest

from nutmegworks.model import ids
from nutmegworks.policy import store_routes

DIRECT = store_routes.DIRECT
NORTH = ids.DomainId('north')
SOUTH_1 = store_routes.Peer(('10.0.0.1', 7000), ids.DomainId('south'))
SOUTH_2 = store_routes.Peer(('10.0.0.2', 7000), ids.DomainId('south'))
EAST = store_routes.Peer(('10.0.0.3', 7000), ids.DomainId('east'))
NEAR = store_routes.Peer(('10.0.0.4', 7000), NORTH)


def _table(
    *, direct_failed_at: float | None = None
) -> store_routes.RouteTable:
    table = store_routes.RouteTable(NORTH)
    if direct_failed_at is not None:
        _fail(table, DIRECT, direct_failed_at)
    return table


def _fail(
    table: store_routes.RouteTable,
    route: store_routes.Route,
    now: float,
    *,
    unreachable: bool = True,
) -> None:
    table.record_failure(
        route, now, started_at=now - 0.8, unreachable=unreachable
    )


def test_direct_route_comes_first_while_it_answers() -> None:
    """Guards against relayed calls on hosts that need none."""
    assert _table().choose([EAST, SOUTH_1], 1.0, 3) == [DIRECT, EAST, SOUTH_1]


def test_wide_links_of_other_domains_come_first() -> None:
    """Guards against a configuration that no relay delivers in time.

    A relaying host reads the whole answer first. That takes seconds on a slow
    link, and delays the calls of its own clients.
    """
    links_by_host = {'a': 5.0, 'b': 100.0, 'c': 100.0, 'd': 5.0}
    peers = [
        store_routes.Peer((host, 7000), ids.DomainId('south'), link)
        for host, link in links_by_host.items()
    ]
    near = store_routes.Peer(('e', 7000), NORTH, 100.0)
    chosen = _table().choose([near, *peers], 1.0, 6)
    assert [peer.address[0]
            for peer in chosen[1:]] == ['b', 'c', 'a', 'd', 'e']


def test_peer_that_failed_is_not_taken_next() -> None:
    """Guards against calls that run into the same time limit one by one."""
    table = _table(direct_failed_at=1.0)
    _fail(table, EAST, 2.0, unreachable=False)
    later = 2.0 + store_routes.PEER_AVOIDANCE_SECONDS
    assert table.choose([EAST, SOUTH_1], 2.1, 3) == [SOUTH_1, DIRECT, EAST]
    assert table.choose([EAST, SOUTH_1], later, 3) == [EAST, SOUTH_1, DIRECT]


def test_domain_of_an_unreachable_peer_is_avoided() -> None:
    """Guards against reads that try host after host of a cut-off domain."""
    table = _table(direct_failed_at=1.0)
    _fail(table, SOUTH_1, 2.0)
    chosen = table.choose([SOUTH_1, SOUTH_2, NEAR], 2.1, 4)
    assert chosen == [NEAR, SOUTH_2, DIRECT, SOUTH_1]


@pytest.mark.parametrize('limit', [1, 2, 3])
def test_direct_route_is_always_tried(limit: int) -> None:
    """Guards against a host that does not notice that the store is back."""
    table = _table(direct_failed_at=1.0)
    assert DIRECT in table.choose([EAST, SOUTH_1, SOUTH_2], 2.0, limit)


def test_late_failure_does_not_hide_a_newer_answer() -> None:
    """Guards against a restored route that an old call marks as failed.

    Calls that were sent during an outage run into their limits after it.
    """
    table = _table(direct_failed_at=1.0)
    table.record_answer(DIRECT, 2.0)
    table.record_failure(DIRECT, 2.3, started_at=1.5, unreachable=True)
    assert table.direct_is_up
    assert not table.failed_since(DIRECT, 1.5)
