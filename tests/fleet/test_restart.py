"""What a daemon uses after its restart comes from the store alone."""
from __future__ import annotations

import copy
import time

import msgspec

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import prefix_watcher
from nutmegworks.ingress import call as calls
from nutmegworks.ingress import filters
from nutmegworks.net import message
from nutmegworks.platform import wire
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers
from tests.platform import test_wire


def _put_configuration(
    store: memory.MemoryStore,
    version: int,
    *keys: str,
) -> None:
    """Store a configuration with these keys of the first team."""
    document = copy.deepcopy(test_wire.CONFIGURATION)
    document['version'] = version
    document['tenants'][0]['apiKeys'] = list(keys)
    store.put(wire.CONFIGURATION_KEY, msgspec.json.encode(document))


async def _started_daemon(store: memory.MemoryStore) -> calls.Proceed:
    """Return the filters of a daemon that has read the store once."""
    holder = configuration_holder.ConfigurationHolder()
    watcher = prefix_watcher.PrefixWatcher(
        store,
        wire.OPERATORS_PREFIX,
        configuration_holder.ConfigurationSink(holder, wire.PlatformDecoder()),
        pause=0.05,
    )
    await watcher.load()

    async def accept(call: calls.Call) -> message.Response:
        return message.Response(200)

    return calls.chain(
        (
            filters.RoutingFilter(holder),
            filters.AuthenticationFilter(holder),
        ), accept
    )


async def _status(daemon: calls.Proceed, key: str) -> int:
    request = message.Request(
        'GET', '/plans/', {
            'host': 'a.example',
            'authorization': f'Bearer {key}'
        }
    )
    response = await daemon(calls.Call(request, time.monotonic(), 3.0))
    return response.status


def test_withdrawn_key_is_refused_after_a_restart() -> None:
    """Guards against a key that is valid again in a restarted daemon."""

    async def main() -> None:
        store = memory.MemoryStore()
        _put_configuration(store, 7, 'kept', 'withdrawn')
        daemon = await _started_daemon(store)
        assert await _status(daemon, 'withdrawn') == 200
        _put_configuration(store, 9, 'kept')

        restarted = await _started_daemon(store)

        assert await _status(restarted, 'kept') == 200
        assert await _status(restarted, 'withdrawn') == 401

    helpers.run(main)


def test_daemon_that_can_not_read_the_store_refuses_calls() -> None:
    """Guards against a daemon that serves calls without a configuration."""

    async def main() -> None:
        store = memory.MemoryStore()
        _put_configuration(store, 7, 'kept')
        store.down = True

        restarted = await _started_daemon(store)

        assert await _status(restarted, 'kept') == 503

    helpers.run(main)


def test_worker_that_left_gets_no_work_from_the_next_leader() -> None:
    """Guards against a worker of an earlier term that is used again."""

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        for worker_id in ('w1', 'w2'):
            builders.put_worker(store, worker_id)
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(
                lambda: len(term.state.workers_by_id) == 2
            )
        store.remove('servers/w1')
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            builders.put_job(
                store, 'a' * 16, builders.accepted(builders.step(8))
            )
            await builders.wait_until(lambda: len(fleet.starts) == 8)
            assert {worker_id for worker_id, _ in fleet.starts} == {'w2'}

    helpers.run(main)
