"""Prefix watcher: changes that watches deliver or miss."""
from __future__ import annotations

import typing

import curio

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import prefix_watcher
from nutmegworks.model import ids
from tests.fleet import memory
from tests import helpers


class RecordingSink(prefix_watcher.Sink):

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        self.value_by_key = {item.key: item.value for item in items}

    async def apply(self, changes: interfaces.Changes) -> None:
        for item in changes.items:
            self.value_by_key[item.key] = item.value
        for key, _ in changes.removed:
            self.value_by_key.pop(key, None)


def _watching(
    silent_watches: bool,
) -> tuple[memory.MemoryStore, RecordingSink, prefix_watcher.PrefixWatcher]:
    store = memory.MemoryStore()
    store.silent_watches = silent_watches
    sink = RecordingSink()
    watcher = prefix_watcher.PrefixWatcher(
        store, 'op/', sink, pause=0.0, relist=30.0, wait=0.05
    )
    return store, sink, watcher


def test_coalescing_keeps_the_last_change_of_a_key() -> None:
    """Guards against a removed worker that still counts as ready.

    One watch can deliver both the write and the removal of its entry.
    """
    revision = ids.StoreRevision
    removed = interfaces.Item('servers/w1', b'1', revision(5))
    rewritten = interfaces.Item('servers/w2', b'1', revision(8))
    changes = interfaces.Changes(
        (removed, rewritten),
        (('servers/w1', revision(6)), ('servers/w2', revision(7))),
        revision(8),
    )

    coalesced = changes.coalesced()

    assert coalesced.items == (rewritten, )
    assert coalesced.removed == (('servers/w1', revision(6)), )


def test_watch_delivers_changes() -> None:
    """Guards against changes that arrive only with the next listing."""

    async def main() -> None:
        store, sink, watcher = _watching(silent_watches=False)
        task = await curio.spawn(watcher.run)
        await curio.sleep(0.02)
        store.put('op/config', b'2')
        await curio.sleep(0.05)
        assert sink.value_by_key == {'op/config': b'2'}
        await task.cancel()

    helpers.run(main)


def test_change_missed_by_a_watch_is_delivered_later() -> None:
    """Guards against a skipped change while the store drops its history.

    A watch that continues from the revision of an empty answer skips changes
    that this answer left out.
    """

    async def main() -> None:
        store, sink, watcher = _watching(silent_watches=True)
        task = await curio.spawn(watcher.run)
        await curio.sleep(0.02)
        store.put('op/config', b'2')
        await curio.sleep(0.1)
        store.drop_history()
        await curio.sleep(0.5)
        assert sink.value_by_key == {'op/config': b'2'}
        await task.cancel()

    helpers.run(main)


def test_age_grows_while_no_read_is_answered() -> None:
    """Guards against an outdated prefix that looks current in the metrics."""

    async def main() -> None:
        store, _, watcher = _watching(silent_watches=False)
        assert await watcher.load()
        assert watcher.age() < 0.05
        store.down = True
        await curio.sleep(0.1)
        assert not await watcher.load()
        assert watcher.age() >= 0.1

    helpers.run(main)
