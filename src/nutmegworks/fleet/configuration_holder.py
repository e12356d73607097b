"""Holds the configuration that this daemon currently uses."""
from __future__ import annotations

import typing

import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import prefix_watcher
from nutmegworks.tasks import configuration

_LOG: typing.Final = logbook.Logger('configured')

# Two watches without a change take 2 s, and 2.5 s with a slow store.
MAX_AGE_SECONDS: typing.Final = 3.0


class ConfigurationHolder:
    """The current configuration.

    :param age: returns the seconds since the last answered read was sent.
    :ivar value: None until a configuration has been read.
    """

    def __init__(self, age: typing.Callable[[], float] = lambda: 0.0) -> None:
        self._age = age
        self.value: configuration.Configuration | None = None

    def may_be_outdated(self) -> bool:
        """Return whether a newer configuration may have been in force.

        What this one does not contain may then exist all the same.
        """
        return self._age() > MAX_AGE_SECONDS


class ConfigurationSink(prefix_watcher.Sink):
    """Adopts configuration versions from the store, in rising order only."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        decoder: interfaces.Decoder,
    ) -> None:
        self._holder = holder
        self._decoder = decoder

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        for item in items:
            if item.key == self._decoder.configuration_key:
                self._adopt(item)

    async def apply(self, changes: interfaces.Changes) -> None:
        await self.replace(changes.items)

    def _adopt(self, item: interfaces.Item) -> None:
        try:
            new = self._decoder.configuration(item.value)
        except ValueError as error:
            _LOG.error('configuration could not be decoded', error=str(error))
            return
        old = self._holder.value
        if old is not None and new.version <= old.version:
            return
        self._holder.value = new
        _LOG.info(
            'configuration adopted',
            version=new.version,
            previous=None if old is None else old.version,
            bytes=len(item.value),
            queues=len(new.queues_by_id),
            teams=len(new.teams_by_id),
        )


__all__ = ('ConfigurationHolder', 'ConfigurationSink', 'MAX_AGE_SECONDS')
