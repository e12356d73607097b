"""Follower: watches that hear nothing while the store drops its history."""
from __future__ import annotations

import typing

import curio

from nutmegworks.fleet import follow
from nutmegworks.fleet import interfaces
from nutmegworks.model import ids
from tests.fleet import memory
from tests import helpers


class Recorder(follow.Sink):

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        self.value_by_key = {item.key: item.value for item in items}

    async def change(self, changes: interfaces.Changes) -> None:
        for item in changes.items:
            self.value_by_key[item.key] = item.value
        for key, _ in changes.removed:
            self.value_by_key.pop(key, None)


def _following(
    deaf: bool,
) -> tuple[memory.MemoryStore, Recorder, follow.Follower]:
    store = memory.MemoryStore()
    store.deaf = deaf
    recorder = Recorder()
    follower = follow.Follower(
        store, 'op/', recorder, pause=0.0, relist=30.0, wait=0.05
    )
    return store, recorder, follower


def test_a_key_that_was_written_and_then_removed_is_gone() -> None:
    """A worker that has left would be taken for one that is ready."""
    revision = ids.StoreRevision
    written = interfaces.Item('servers/w1', b'1', revision(5))
    back = interfaces.Item('servers/w2', b'1', revision(8))
    changes = interfaces.Changes(
        (written, back),
        (('servers/w1', revision(6)), ('servers/w2', revision(7))),
        revision(8),
    )

    settled = changes.settled()

    assert settled.items == (back, )
    assert settled.removed == (('servers/w1', revision(6)), )


def test_changes_arrive() -> None:
    """A follower that only lists would be late."""

    async def main() -> None:
        store, recorder, follower = _following(deaf=False)
        task = await curio.spawn(follower.run)
        await curio.sleep(0.02)
        store.put('op/config', b'2')
        await curio.sleep(0.05)
        assert recorder.value_by_key == {'op/config': b'2'}
        await task.cancel()

    helpers.run(main)


def test_a_change_that_a_deaf_watch_missed_is_found() -> None:
    """Continuing from the revision of an empty answer skips the change."""

    async def main() -> None:
        store, recorder, follower = _following(deaf=True)
        task = await curio.spawn(follower.run)
        await curio.sleep(0.02)
        store.put('op/config', b'2')
        await curio.sleep(0.1)
        store.drop_history()
        await curio.sleep(0.5)
        assert recorder.value_by_key == {'op/config': b'2'}
        await task.cancel()

    helpers.run(main)
