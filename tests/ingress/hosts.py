"""Builds hosts that take clients' calls and relay for each other."""
from __future__ import annotations

import contextlib
import functools

import curio

from nutmegworks.fleet import relay
from nutmegworks.fleet import transport
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.platform import metastore
from nutmegworks.policy import store_routes
from tests.fleet import builders as fleet_builders
from tests import helpers
from tests.ingress import builders


async def start(
    stack: contextlib.AsyncExitStack,
    store: client.Address,
    count: int,
) -> list[builders.Ingress]:
    """Start hosts, each in a failure domain of its own."""
    transports: list[transport.Transport] = []

    async def serve(
        number: int,
        request: message.Request,
    ) -> message.Response:
        return await relay.serve(transports[number], request)

    peers = [
        store_routes.Peer(
            await stack.enter_async_context(
                helpers.serving(functools.partial(serve, number))
            ),
            ids.DomainId(f'domain-{number}'),
        ) for number in range(count)
    ]
    for number in range(count):
        others = peers[:number] + peers[number + 1:]
        transports.append(fleet_builders.store_transport(store, *others))
        task = await curio.spawn(transports[-1].run, daemon=True)
        stack.push_async_callback(task.cancel)
    return [
        builders.Ingress(metastore.MetadataStore(host)) for host in transports
    ]


__all__ = ('start', )
