"""The configuration in force on this daemon."""
from __future__ import annotations

import typing

import logbook

from nutmegworks.fleet import follow
from nutmegworks.fleet import interfaces
from nutmegworks.tasks import configuration

_LOG: typing.Final = logbook.Logger('configured')


class Current:
    """:param value: None until a configuration has been read."""

    def __init__(self) -> None:
        self.value: configuration.Configuration | None = None


class ConfigurationSink(follow.Sink):
    """Adopts newer versions; an older one never replaces a newer one."""

    def __init__(
        self,
        current: Current,
        decoder: interfaces.Decoder,
    ) -> None:
        self._current = current
        self._decoder = decoder

    async def replace(self, items: typing.Sequence[interfaces.Item]) -> None:
        for item in items:
            if item.key == self._decoder.configuration_key:
                self._adopt(item)

    async def change(self, changes: interfaces.Changes) -> None:
        await self.replace(changes.items)

    def _adopt(self, item: interfaces.Item) -> None:
        try:
            new = self._decoder.configuration(item.value)
        except ValueError as error:
            _LOG.error('unreadable configuration', error=str(error))
            return
        old = self._current.value
        if old is not None and new.version <= old.version:
            return
        self._current.value = new
        _LOG.info(
            'configuration adopted',
            version=new.version,
            previous=None if old is None else old.version,
            queues=len(new.queues_by_id),
            teams=len(new.teams_by_id),
        )


__all__ = ('ConfigurationSink', 'Current')
