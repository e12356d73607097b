"""Runs the tasks that keep this daemon's configuration up to date."""
from __future__ import annotations

import random
import time
import typing

import curio

from nutmegworks.adapters import store
from nutmegworks.configuration import adoption
from nutmegworks.configuration import fanout
from nutmegworks.configuration import holder
from nutmegworks.configuration import view as views
from nutmegworks.configuration import watcher
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import service


class Controller:
    """Runs the watcher of the store and the exchange with peers.

    :ivar holder: holds the configuration in force.
    :ivar fanout: exchanges configurations with peers.
    :param clock: seconds, monotonic.
    """

    def __init__(
        self,
        backend: store.Store,
        client: peer_client.PeerClient,
        view: views.ClusterView,
        *,
        rng: random.Random,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.holder = holder.Holder(clock=clock)
        self.fanout = fanout.Fanout(self.holder, client, view, clock=clock)
        self._watcher = watcher.Watcher(
            self.holder, backend, view, rng=rng, clock=clock
        )

    @property
    def current(self) -> adoption.AdoptedConfiguration | None:
        """Return the configuration in force; None before the first."""
        return self.holder.current

    def register(self, target: service.PeerService) -> None:
        """Register the handlers of configuration messages."""
        self.fanout.register(target)

    async def step(self) -> bool:
        """Call the store once if this daemon is to read it now.

        :return: whether it called the store.
        """
        return await self._watcher.step()

    async def run(self) -> None:
        """Follow the store and offer changes to peers until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._watcher.run)
            await group.spawn(self.fanout.run)


__all__ = ('Controller', )
