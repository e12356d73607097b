"""Writes of clients' calls over connections that break."""
from __future__ import annotations

import contextlib
import typing

import pytest

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import relay
from nutmegworks.ingress import jobs
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.platform import metastore
from nutmegworks.policy import call_effect
from nutmegworks.policy import store_routes
from nutmegworks.tasks import records
from tests.fleet import builders as fleet_builders
from tests import helpers
from tests.ingress import builders
from tests.soak import platform


class _BreakingStore:
    """A store over HTTP whose connection breaks after a write took effect.

    :ivar breaks: whether the next transaction is carried out and its
        connection closed without an answer.
    :ivar status_after: status of all later answers; None if the store refuses
        connections from then on.
    :ivar call_count: calls received.
    """

    def __init__(self, status_after: int | None) -> None:
        self.stand_in = platform.StoreStandIn()
        self.breaks = False
        self.status_after = status_after
        self.call_count = 0
        self._broken = False
        self._server = server.Server(self._handle)

    async def _handle(self, request: message.Request) -> message.Response:
        self.call_count += 1
        if self._broken:
            return message.Response(self.status_after or 503)
        response = await self.stand_in.handle(request)
        if self.breaks and request.method == 'POST':
            self._broken = True
            if self.status_after is None:
                await self._server.drain(limit=0.0)
            raise server.AbortConnection()
        return response

    @contextlib.asynccontextmanager
    async def serving(self) -> typing.AsyncIterator[tuple[str, int]]:
        await self._server.start('127.0.0.1', 0)
        try:
            yield self._server.address
        finally:
            await self._server.drain(limit=0.0)


@contextlib.asynccontextmanager
async def _ingress(
    store: _BreakingStore,
    *,
    relayed: bool,
) -> typing.AsyncIterator[builders.Ingress]:
    """Run the way of a call to a store, directly or relayed by a peer."""
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(store.serving())
        host = fleet_builders.store_transport(address)
        if relayed:
            direct = host

            async def serve(request: message.Request) -> message.Response:
                return await relay.serve(direct, request)

            peer = await stack.enter_async_context(helpers.serving(serve))
            refuse = await stack.enter_async_context(
                helpers.serving(_refuse_host)
            )
            host = fleet_builders.store_transport(
                refuse, store_routes.Peer(peer, ids.DomainId('south'))
            )
        yield builders.Ingress(metastore.MetadataStore(host))


async def _refuse_host(_: message.Request) -> message.Response:
    return message.Response(503)


async def _use_connections(ingress: builders.Ingress) -> None:
    """Make a call, so that the next one reuses its connections."""
    assert (await ingress.call('DELETE')).status == 410


@pytest.mark.parametrize('relayed', [False, True])
@pytest.mark.parametrize('status_after', [503, 429, None])
def test_stored_submission_is_not_refused(
    relayed: bool, status_after: int | None
) -> None:
    """Guards against a job that runs although its client was refused.

    The write takes effect, its connection breaks, and the call is sent again
    over a new connection, over which it certainly has no effect.
    """

    async def main() -> None:
        store = _BreakingStore(status_after)
        async with _ingress(store, relayed=relayed) as ingress:
            await _use_connections(ingress)
            store.breaks = True
            response = await ingress.submit()
        stored = store.stand_in.store.item_by_key
        assert records.job_key(builders.JOB) in stored
        assert response.status == 504

    helpers.run(main)


@pytest.mark.parametrize('relayed', [False, True])
@pytest.mark.parametrize('status_after', [503, 429, None])
def test_stored_cancel_is_not_reported_as_failed(
    relayed: bool, status_after: int | None
) -> None:
    """Guards against a client that believes its cancelled job runs on."""

    async def main() -> None:
        store = _BreakingStore(status_after)
        async with _ingress(store, relayed=relayed) as ingress:
            assert (await ingress.submit()).status == 200
            store.breaks = True
            response = await ingress.call('DELETE')
        stored = store.stand_in.store.item_by_key
        assert records.cancel_key(builders.JOB) in stored
        assert response.status == 504

    helpers.run(main)


def test_write_in_doubt_is_repeated_at_a_bounded_rate() -> None:
    """Guards against calls that keep a store from recovering.

    Each attempt is refused at once, while the first one is still in doubt.
    """

    async def main() -> None:
        store = _BreakingStore(503)
        async with _ingress(store, relayed=False) as ingress:
            await _use_connections(ingress)
            store.breaks = True
            store.call_count = 0
            assert (await ingress.submit()).status == 504
        limit = jobs.WRITE_TIMEOUT_SECONDS / jobs.ATTEMPT_INTERVAL_SECONDS
        # The first attempt sends the call twice.
        assert store.call_count <= limit + 2

    helpers.run(main)


def test_repeatable_write_over_a_broken_connection_may_have_effect() -> None:
    """Guards against a journal that takes a stored batch for unwritten."""

    async def main() -> None:
        store = _BreakingStore(503)
        async with store.serving() as address:
            writer = metastore.MetadataStore(
                fleet_builders.store_transport(address)
            )
            await writer.get('a')
            store.breaks = True
            committed = await writer.commit(
                interfaces.Transaction(
                    {'a': interfaces.ABSENT},
                    (interfaces.Write('a', b'1'), ),
                ),
                repeatable=True,
            )
        assert 'a' in store.stand_in.store.item_by_key
        assert committed.err_value.effect is call_effect.Effect.UNKNOWN

    helpers.run(main)
