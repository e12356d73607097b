"""Routes to the store: turned away, silent, through a peer."""
from __future__ import annotations

import typing

import curio

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import transport
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.telemetry import fleetmetrics
from tests import helpers


class _Route:
    """A store and a peer on loopback."""

    def __init__(self) -> None:
        self.store_status = 200
        self.store_silent = False
        self.relayed: list[str] = []
        self.direct: list[str] = []

    async def store(self, request: message.Request) -> message.Response:
        self.direct.append(request.target)
        if self.store_silent:
            raise server.AbortConnection(b'', 5.0)
        return message.Response(self.store_status, {}, b'direct')

    async def peer(self, request: message.Request) -> message.Response:
        self.relayed.append(request.headers[transport.TARGET_HEADER])
        return message.Response(200, {}, b'relayed')


def _run(
    case: typing.Callable[
        [_Route, transport.Transport],
        typing.Awaitable[None],
    ],
    *,
    with_peer: bool = True,
) -> None:

    async def main() -> None:
        route = _Route()
        async with (
                helpers.serving(route.store) as store,
                helpers.serving(route.peer) as peer,
        ):
            carrier = transport.Transport(
                store,
                pool.Pool(),
                lambda: [peer] if with_peer else [],
                fleetmetrics.FleetMetrics(),
            )
            await case(route, carrier)

    helpers.run(main)


def test_a_host_that_is_turned_away_uses_a_peer() -> None:
    """The store may refuse one host for a long time."""

    async def case(route: _Route, carrier: transport.Transport) -> None:
        route.store_status = 503
        answer = await carrier.call('GET', '/kv-key?key=a')
        assert answer.ok_value.body == b'relayed'
        await carrier.call('GET', '/kv-key?key=b')
        assert route.direct == ['/kv-key?key=a']
        assert route.relayed == ['/kv-key?key=a', '/kv-key?key=b']

    _run(case)


def test_a_write_without_an_answer_is_not_repeated_elsewhere() -> None:
    """The caller decides, because the write may have taken effect."""

    async def case(route: _Route, carrier: transport.Transport) -> None:
        route.store_silent = True
        answer = await carrier.call(
            'POST', '/kv-txn', b'{}', timeout=0.2, repeatable=False
        )
        assert answer.err_value.effect is interfaces.Effect.UNKNOWN
        assert route.relayed == []

    _run(case)


def test_a_store_that_is_silent_for_long_is_down() -> None:
    """Further calls would hold their clients in vain."""

    async def case(route: _Route, carrier: transport.Transport) -> None:
        route.store_silent = True
        await carrier.call('GET', '/kv-key?key=a', timeout=0.2)
        assert not carrier.is_down()
        await curio.sleep(transport.SILENT_SECONDS)
        assert carrier.is_down()
        assert carrier.isolated_for() > 0

    _run(case, with_peer=False)


def test_a_refused_call_has_no_effect() -> None:
    """Only then may a submission be refused as not run."""

    async def case(route: _Route, carrier: transport.Transport) -> None:
        route.store_status = 429
        answer = await carrier.call('POST', '/kv-txn', repeatable=False)
        assert answer.err_value.effect is interfaces.Effect.NONE
        assert not answer.err_value.isolated

    _run(case, with_peer=False)
