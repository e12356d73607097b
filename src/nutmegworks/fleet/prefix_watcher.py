"""Mirrors a prefix of the store by a listing followed by watches."""
from __future__ import annotations

import abc
import time
import typing

import curio
import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.model import ids

_LOG: typing.Final = logbook.Logger('follow')

# While the store compacts its history, a pending watch receives no changes;
# only the next watch reports that the history is lost. Configurations must be
# in force within 2 s, which bounds the time-out; each watch costs one call.
WATCH_TIMEOUT_SECONDS: typing.Final = 1.0
RETRY_SECONDS: typing.Final = 0.3
# Listing again finds changes that a watch missed while the store compacted its
# history.
RELIST_INTERVAL_SECONDS: typing.Final = 15.0


class Sink(abc.ABC):
    """Receives the content of a prefix and its changes."""

    @abc.abstractmethod
    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        """Replace the content by all items of the prefix."""

    @abc.abstractmethod
    async def apply(self, changes: interfaces.Changes) -> None:
        """Apply the changes since the last call."""


class PrefixWatcher:
    """Keeps a sink up to date with a prefix.

    :param pause: seconds between two watches, to limit the rate of calls.
    :param relist: seconds after which the prefix is listed again.
    :param wait: seconds after which a watch without changes returns.
    :param clock: seconds; one that runs during suspension shows how old the
        sink is afterwards.
    """

    def __init__(
        self,
        store: interfaces.Store,
        prefix: str,
        sink: Sink,
        *,
        pause: float,
        relist: float = RELIST_INTERVAL_SECONDS,
        wait: float = WATCH_TIMEOUT_SECONDS,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._sink = sink
        self._pause = pause
        self._relist = relist
        self._wait = wait
        self._clock = clock
        self._revision: ids.StoreRevision | None = None
        self._listed_at = 0.0
        self._read_at = clock()

    def age(self) -> float:
        """Return the seconds since the last answered read was sent.

        The sink has every change that is older, unless the store compacted
        its history meanwhile.
        """
        return self._clock() - self._read_at

    async def load(self) -> bool:
        """List the prefix once; return whether the store answered."""
        sent_at = self._clock()
        listed = await self._store.list(self._prefix)
        if listed.is_err():
            _LOG.info(
                'listing a store prefix failed',
                prefix=self._prefix,
                detail=listed.err_value.detail,
                age=round(self.age(), 3),
            )
            return False
        self._listed_at = self._clock()
        self._read_at = sent_at
        self._revision = listed.ok_value.revision
        await self._sink.replace(listed.ok_value.items)
        return True

    async def run(self) -> None:
        """Update the sink until cancelled."""
        while True:
            if not await self._step():
                self._revision = None
                await curio.sleep(RETRY_SECONDS)

    async def _step(self) -> bool:
        """Watch once; return False if the prefix has to be listed again."""
        age = self._clock() - self._listed_at
        if self._revision is None or age > self._relist:
            if not await self.load():
                return False
        sent_at = self._clock()
        try:
            watched = await self._store.watch(
                self._prefix, self._revision, min(self._wait, self._relist)
            )
        except interfaces.HistoryLostError:
            _LOG.info(
                'store compacted its history during a watch',
                prefix=self._prefix
            )
            return False
        if watched.is_err():
            _LOG.info(
                'watching a store prefix failed',
                prefix=self._prefix,
                detail=watched.err_value.detail,
                age=round(self.age(), 3),
            )
            return False
        self._read_at = sent_at
        changes = watched.ok_value
        if changes.items or changes.removed:
            # An empty answer must not advance the revision: the watch may
            # have missed changes before the revision that it reports.
            self._revision = max(self._revision, changes.revision)
            await self._sink.apply(changes.coalesced())
            await curio.sleep(self._pause)
        return True


__all__ = ('PrefixWatcher', 'Sink')
