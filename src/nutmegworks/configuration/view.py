"""Interface through which the configuration queries the cluster."""
from __future__ import annotations

import abc

from nutmegworks.net import client


class ClusterView(abc.ABC):

    @abc.abstractmethod
    def is_reader(self) -> bool:
        """Return whether this daemon is designated to watch the store."""

    @abc.abstractmethod
    def member_count(self) -> int | None:
        """Return the number of live daemons; None until it is known."""

    @abc.abstractmethod
    def responsive_peers(self, count: int) -> tuple[client.Address, ...]:
        """Return up to ``count`` addresses of peers that answered recently."""


__all__ = ('ClusterView', )
