"""Routes to the store: refusals, time-outs and relays by a peer."""
from __future__ import annotations

import typing

import curio

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import relay
from nutmegworks.fleet import transport
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.platform import metastore
from nutmegworks.policy import call_effect
from nutmegworks.policy import store_routes
from tests.fleet import builders
from tests import helpers
from tests.soak import platform


class _Endpoints:
    """A store and a peer on loopback that record the calls they get."""

    def __init__(self) -> None:
        self.store_status = 200
        self.store_unresponsive = False
        self.relayed: list[str] = []
        self.direct: list[str] = []

    async def store(self, request: message.Request) -> message.Response:
        self.direct.append(request.target)
        if self.store_unresponsive:
            raise server.AbortConnection(b'', 5.0)
        return message.Response(self.store_status, {}, b'direct')

    async def peer(self, request: message.Request) -> message.Response:
        self.relayed.append(request.headers[relay.TARGET_HEADER])
        return message.Response(200, {}, b'relayed')


def _run(
    scenario: typing.Callable[
        [_Endpoints, transport.Transport],
        typing.Awaitable[None],
    ],
    *,
    with_peer: bool = True,
) -> None:

    async def main() -> None:
        endpoints = _Endpoints()
        async with (
                helpers.serving(endpoints.store) as store,
                helpers.serving(endpoints.peer) as peer,
        ):
            peers = [store_routes.Peer(peer, ids.DomainId('south'))
                     ] if with_peer else []
            store_transport = builders.store_transport(store, *peers)
            await scenario(endpoints, store_transport)

    helpers.run(main)


def test_calls_go_through_a_peer_while_the_store_refuses_this_host() -> None:
    """Guards against an outage of a host that the store refuses for long."""

    async def scenario(
        endpoints: _Endpoints, store_transport: transport.Transport
    ) -> None:
        endpoints.store_status = 503
        answer = await store_transport.call('GET', '/kv-key?key=a')
        assert answer.ok_value.body == b'relayed'
        await store_transport.call('GET', '/kv-key?key=b')
        assert endpoints.direct == ['/kv-key?key=a']
        assert endpoints.relayed == ['/kv-key?key=a', '/kv-key?key=b']

    _run(scenario)


def test_write_without_an_answer_is_not_repeated_over_a_peer() -> None:
    """Guards against a write that takes effect twice.

    The write may have taken effect, so the caller decides on a retry.
    """

    async def scenario(
        endpoints: _Endpoints, store_transport: transport.Transport
    ) -> None:
        endpoints.store_unresponsive = True
        answer = await store_transport.call(
            'POST', '/kv-txn', b'{}', timeout=0.2, idempotent=False
        )
        assert answer.err_value.effect is call_effect.Effect.UNKNOWN
        assert endpoints.relayed == []

    _run(scenario)


def test_store_without_answers_counts_as_down() -> None:
    """Guards against clients that wait for calls that must fail."""

    async def scenario(
        endpoints: _Endpoints, store_transport: transport.Transport
    ) -> None:
        endpoints.store_unresponsive = True
        await store_transport.call('GET', '/kv-key?key=a', timeout=0.2)
        assert not store_transport.is_down()
        await curio.sleep(transport.DOWN_AFTER_SECONDS)
        assert store_transport.is_down()
        assert store_transport.isolated_seconds() > 0

    _run(scenario, with_peer=False)


def test_refused_call_is_reported_without_effect() -> None:
    """Guards against an unclear result of a submission that did not run."""

    async def scenario(
        endpoints: _Endpoints, store_transport: transport.Transport
    ) -> None:
        endpoints.store_status = 429
        answer = await store_transport.call(
            'POST', '/kv-txn', idempotent=False
        )
        assert answer.err_value.effect is call_effect.Effect.NONE
        assert not answer.err_value.isolated

    _run(scenario, with_peer=False)


def test_missing_lease_is_no_outcome_of_a_write_without_one() -> None:
    """Guards against an accepted job that is not stored.

    Another process at the address of a peer answers each call with 404.
    """

    async def main() -> None:

        async def unknown(_: message.Request) -> message.Response:
            return message.Response(404)

        async with helpers.serving(unknown) as address:
            store = metastore.MetadataStore(builders.store_transport(address))
            committed = await store.commit(
                interfaces.Transaction(
                    {'a': interfaces.ABSENT}, (interfaces.Write('a', b'1'), )
                )
            )
        assert committed.err_value.effect is call_effect.Effect.UNKNOWN

    helpers.run(main)


def test_election_continues_over_a_peer_after_a_broken_connection() -> None:
    """Guards against a fleet that has no leader for another interval.

    The store breaks this host's connection, then refuses this host alone.
    """

    async def main() -> None:
        stand_in = platform.StoreStandIn()
        refuses = False

        async def store(request: message.Request) -> message.Response:
            if refuses and b'leader' in request.body:
                raise server.AbortConnection()
            if refuses:
                return message.Response(503)
            return await stand_in.handle(request)

        async def peer(request: message.Request) -> message.Response:
            request = message.Request(
                request.headers[relay.METHOD_HEADER],
                request.headers[relay.TARGET_HEADER],
                {},
                request.body,
            )
            return await stand_in.handle(request)

        async with (
                helpers.serving(store) as address,
                helpers.serving(peer) as peer_address,
        ):
            candidate = builders.member(
                metastore.MetadataStore(
                    builders.store_transport(
                        address,
                        store_routes.Peer(peer_address, ids.DomainId('south')),
                    )
                )
            )
            await candidate._renew()
            await candidate.read_leader()
            refuses = True
            await candidate.campaign()
            assert candidate.leads

    helpers.run(main)
