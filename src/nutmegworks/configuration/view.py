"""What the configuration needs to know of the other daemons."""
from __future__ import annotations

import abc

from nutmegworks.net import client


class View(abc.ABC):

    @abc.abstractmethod
    def is_reader(self) -> bool:
        """Return whether this daemon watches the store."""

    @abc.abstractmethod
    def member_count(self) -> int | None:
        """Return the number of live daemons; None before it is known."""

    @abc.abstractmethod
    def partners(self, count: int) -> tuple[client.Address, ...]:
        """Return addresses of other daemons that answered lately."""


__all__ = ('View', )
