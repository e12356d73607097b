"""Load pattern: the store is back while a domain of the hosts is cut off."""
from __future__ import annotations

import contextlib
import time
import typing

import curio
import pytest

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import prefix_watcher
from nutmegworks.fleet import relay
from nutmegworks.fleet import transport
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.platform import metastore
from nutmegworks.policy import store_routes
from tests.fleet import builders
from tests import helpers
from tests import slow_link

# The shortest bound of the platform's settings for a change of the
# configuration to be in force.
APPLY_SECONDS: typing.Final = 2.0
# A call is given up and another one is sent in this time.
RECOVERY_SECONDS: typing.Final = 1.0
SILENCE_SECONDS: typing.Final = 10.0


class _Endpoints:
    """A store and hosts of another domain, each of which may be silent."""

    def __init__(self) -> None:
        self.silent = True
        self.value = b'old'
        self.direct_calls = 0
        self.relayed_calls = 0

    async def store(self, request: message.Request) -> message.Response:
        self.direct_calls += 1
        if self.silent:
            raise server.AbortConnection(b'', SILENCE_SECONDS)
        if 'kv-watch' in request.target:
            await curio.sleep(0.3)
        return message.Response(
            200, {}, slow_link.listing('op/config', self.value)
        )

    async def silent_peer(self, _: message.Request) -> message.Response:
        self.relayed_calls += 1
        raise server.AbortConnection(b'', SILENCE_SECONDS)

    async def peer(self, _: message.Request) -> message.Response:
        self.relayed_calls += 1
        return message.Response(
            200, {}, slow_link.listing('op/config', self.value)
        )


class _Sink(prefix_watcher.Sink):

    def __init__(self) -> None:
        self.values: list[bytes] = []

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        self.values += [item.value for item in items]

    async def apply(self, changes: interfaces.Changes) -> None:
        await self.replace(changes.items)


@contextlib.asynccontextmanager
async def _host(
    endpoints: _Endpoints,
    *,
    peers_answer: bool = False,
) -> typing.AsyncIterator[transport.Transport]:
    """Run the transport of a host with two peers in another domain."""
    answer = endpoints.peer if peers_answer else endpoints.silent_peer
    async with (
            helpers.serving(endpoints.store) as store,
            helpers.serving(answer) as peer_1,
            helpers.serving(answer) as peer_2,
    ):
        host = builders.store_transport(
            store,
            *(
                store_routes.Peer(address, ids.DomainId('south'))
                for address in (peer_1, peer_2)
            ),
        )
        task = await curio.spawn(host.run, daemon=True)
        try:
            yield host
        finally:
            await task.cancel()


def test_change_is_adopted_in_time_after_an_outage_and_a_cut() -> None:
    """Guards against a configuration that one host adopts too late.

    The host's direct route failed during the outage, and its peers were cut
    off when the store came back. See docs/incidents/config.md.
    """

    async def main() -> None:
        endpoints = _Endpoints()
        async with _host(endpoints) as host:
            sink = _Sink()
            watcher = prefix_watcher.PrefixWatcher(
                metastore.MetadataStore(host), 'op/', sink, pause=0.02
            )
            task = await curio.spawn(watcher.run, daemon=True)
            # Until the direct route has failed several times.
            await builders.wait_until(
                lambda: endpoints.direct_calls >= 4, seconds=20.0
            )
            await curio.sleep(transport.CALL_TIMEOUT_SECONDS + 0.05)
            endpoints.value, endpoints.silent = b'new', False
            back_at = time.monotonic()
            await builders.wait_until(
                lambda: b'new' in sink.values, seconds=4 * APPLY_SECONDS
            )
            assert time.monotonic() - back_at < APPLY_SECONDS
            await task.cancel()

    helpers.run(main)


def test_read_does_not_wait_for_a_silent_route() -> None:
    """Guards against reads that run into the whole limit of one route."""

    async def main() -> None:
        endpoints = _Endpoints()
        async with _host(endpoints, peers_answer=True) as host:
            started_at = time.monotonic()
            answer = await host.call('GET', '/kv-range?prefix=op/')
            assert answer.is_ok()
            assert (
                time.monotonic() - started_at < transport.CALL_TIMEOUT_SECONDS
            )
            # The route is known to be silent now.
            started_at = time.monotonic()
            await host.call('GET', '/kv-range?prefix=op/')
            assert time.monotonic() - started_at < 0.3

    helpers.run(main)


def test_waiting_watch_ends_when_its_route_fails() -> None:
    """Guards against watches that wait on a route known to have failed."""

    async def main() -> None:
        endpoints = _Endpoints()
        async with _host(endpoints) as host:
            store = metastore.MetadataStore(host)
            watch = await curio.spawn(
                store.watch, 'op/', ids.StoreRevision(1), 5.0
            )
            await curio.sleep(0.05)
            started_at = time.monotonic()
            await host.call(
                'POST', '/kv-txn', b'{}', timeout=0.2, idempotent=False
            )
            watched = await watch.join()
            assert watched.is_err()
            assert time.monotonic() - started_at < RECOVERY_SECONDS

    helpers.run(main)


def test_one_lost_answer_ends_no_watch() -> None:
    """Guards against listings by every watch after each lost answer."""

    async def main() -> None:
        endpoints = _Endpoints()
        endpoints.silent = False
        async with _host(endpoints) as host:
            store = metastore.MetadataStore(host)
            watch = await curio.spawn(
                store.watch, 'op/', ids.StoreRevision(1), 1.0
            )
            await curio.sleep(0.05)
            endpoints.silent = True
            lost = await curio.spawn(host.call, 'GET', '/kv-key?key=a')
            await curio.sleep(0.05)
            endpoints.silent = False
            await lost.join()
            watched = await watch.join()
            assert watched.is_ok()

    helpers.run(main)


@pytest.mark.parametrize(
    'domain, others, isolated',
    [
        # The peer's own route is down, too: the domain is cut off.
        ('north', 1, True),
        # There is only one domain, so the store is down.
        ('north', 0, False),
        # The domain is not cut off, the store is down.
        ('south', 0, False),
    ]
)
def test_host_of_a_cut_off_domain_counts_as_isolated(
    domain: str,
    others: int,
    isolated: bool,
) -> None:
    """Guards against clients that stay with hosts which can store nothing.

    The load balancer sends them to other domains once these hosts are not
    ready. Peers of the same domain answer each other during the cut.
    """

    async def fail(_: message.Request) -> message.Response:
        return message.Response(503, {relay.FAILED_HEADER: 'none'})

    async def main() -> None:
        endpoints = _Endpoints()
        async with (
                helpers.serving(endpoints.store) as store,
                helpers.serving(fail) as near,
                helpers.serving(endpoints.silent_peer) as far,
        ):
            far_peers = [
                store_routes.Peer(far, ids.DomainId('south'))
            ] * others
            host = builders.store_transport(
                store, *far_peers,
                store_routes.Peer(near, ids.DomainId(domain))
            )
            for _ in range(2):
                await host.call('GET', '/kv-key?key=a', timeout=0.2)
            assert (host.isolated_seconds() > 0) is isolated

    helpers.run(main)


def test_silent_store_is_probed_at_a_bounded_rate() -> None:
    """Guards against a herd of calls when the store comes back."""

    async def main() -> None:
        endpoints = _Endpoints()
        async with _host(endpoints) as host:
            await host.call('GET', '/kv-key?key=a')
            before = endpoints.direct_calls
            await curio.sleep(2.0)
            shortest = transport.PROBE_INTERVAL_SECONDS * (
                1 - transport.PROBE_JITTER
            )
            assert endpoints.direct_calls - before <= 2.0 / shortest + 1

    helpers.run(main)
