"""Follows a prefix of the store by a listing and watches."""
from __future__ import annotations

import abc
import time
import typing

import curio
import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.model import ids

_LOG: typing.Final = logbook.Logger('follow')

# While the store drops its history, a waiting watch hears nothing; the next
# one learns that the history is lost. Configurations must be in force after
# 2 s. Each watch costs one call.
WATCH_SECONDS: typing.Final = 1.0
RETRY_SECONDS: typing.Final = 0.3
# A watch may hear nothing while the store drops its history.
RELIST_SECONDS: typing.Final = 15.0


class Sink(abc.ABC):
    """Takes what a prefix holds."""

    @abc.abstractmethod
    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        """Take all items of the prefix."""

    @abc.abstractmethod
    async def change(self, changes: interfaces.Changes) -> None:
        """Take changes since the last call."""


class Follower:
    """Keeps a sink up to date with a prefix.

    :param pause: seconds between two watches, to bound the calls.
    :param relist: seconds after which the prefix is listed again.
    """

    def __init__(
        self,
        store: interfaces.Store,
        prefix: str,
        sink: Sink,
        *,
        pause: float,
        relist: float = RELIST_SECONDS,
        wait: float = WATCH_SECONDS,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._sink = sink
        self._pause = pause
        self._relist = relist
        self._wait = wait
        self._revision: ids.StoreRevision | None = None
        self._listed_at = 0.0

    async def load(self) -> bool:
        """List the prefix once; return whether the store answered."""
        listed = await self._store.list(self._prefix)
        if listed.is_err():
            _LOG.info(
                'listing failed',
                prefix=self._prefix,
                detail=listed.err_value.detail
            )
            return False
        self._listed_at = time.monotonic()
        self._revision = listed.ok_value.revision
        await self._sink.replace(listed.ok_value.items)
        return True

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            if not await self._step():
                self._revision = None
                await curio.sleep(RETRY_SECONDS)

    async def _step(self) -> bool:
        """Return whether the next watch may continue from here."""
        age = time.monotonic() - self._listed_at
        if self._revision is None or age > self._relist:
            if not await self.load():
                return False
        try:
            watched = await self._store.watch(
                self._prefix, self._revision, min(self._wait, self._relist)
            )
        except interfaces.HistoryLostError:
            _LOG.info('history lost', prefix=self._prefix)
            return False
        if watched.is_err():
            _LOG.info(
                'watch failed',
                prefix=self._prefix,
                detail=watched.err_value.detail,
            )
            return False
        changes = watched.ok_value
        if changes.items or changes.removed:
            # Not after an empty answer: a watch that heard nothing may have
            # missed changes before that revision.
            self._revision = max(self._revision, changes.revision)
            await self._sink.change(changes.settled())
            await curio.sleep(self._pause)
        return True


__all__ = ('Follower', 'Sink')
