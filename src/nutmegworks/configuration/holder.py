"""Holds the configuration in force and when it was last confirmed."""
from __future__ import annotations

import time
import typing

from nutmegworks.configuration import adoption
from nutmegworks.configuration import change
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import records
from nutmegworks.model import ids
from nutmegworks.peers import messages

Listener = typing.Callable[[adoption.AdoptedConfiguration],
                           typing.Awaitable[None]]


class Holder:
    """Holds the configuration in force; never replaces it by an older one.

    :param clock: seconds, monotonic.
    """

    def __init__(
        self,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._current: adoption.AdoptedConfiguration | None = None
        self._listeners: list[Listener] = []
        self._confirmed_at: float | None = None
        self._encoded_snapshot: tuple[ids.ConfigSequence, bytes] | None = None

    @property
    def current(self) -> adoption.AdoptedConfiguration | None:
        """Return the configuration in force; None before the first."""
        return self._current

    @property
    def sequence(self) -> ids.ConfigSequence:
        return adoption.sequence_of(self._current)

    def subscribe(self, listener: Listener) -> None:
        """Call a function after every adoption; it must not block."""
        self._listeners.append(listener)

    async def adopt_changes(
        self,
        offered: tuple[change.AcceptedChange, ...],
    ) -> adoption.Action:
        """Adopt consecutive changes if they are newer."""
        action, adopted = adoption.adopt_changes(self._current, offered)
        return await self._publish(action, adopted)

    async def adopt_snapshot(
        self, snapshot: records.Snapshot
    ) -> adoption.Action:
        """Adopt a whole document if it is newer."""
        action, adopted = adoption.adopt_snapshot(self._current, snapshot)
        return await self._publish(action, adopted)

    async def _publish(
        self,
        action: adoption.Action,
        adopted: adoption.AdoptedConfiguration | None,
    ) -> adoption.Action:
        if action is adoption.Action.ADOPT and adopted is not None:
            self._current = adopted
            for listener in self._listeners:
                await listener(adopted)
        return action

    def confirm(self, sequence: int, confirmed_at: float) -> None:
        """Record that a sequence was the latest at a time.

        :param confirmed_at: seconds of the clock.
        """
        if sequence <= self.sequence:
            self._confirmed_at = max(
                confirmed_at, self._confirmed_at or confirmed_at
            )

    def age(self) -> float | None:
        """Return seconds since the configuration was last confirmed.

        None if it never was.
        """
        if self._confirmed_at is None or self._current is None:
            return None
        return max(0.0, self._clock() - self._confirmed_at)

    def reply_to_pull(self, after: int) -> messages.PullReply:
        """Return the changes or the snapshot that a peer lacks.

        :param after: the sequence that the peer has; negative to get a whole
            document.
        """
        current = self._current
        if current is None:
            return messages.PullReply()
        newer = current.changes_after(after)
        if newer is not None:
            return messages.PullReply(newer)
        sequence, encoded = self._snapshot(current, fresh=after < 0)
        return messages.PullReply(
            current.changes_after(sequence) or (), encoded
        )

    def _snapshot(
        self,
        current: adoption.AdoptedConfiguration,
        *,
        fresh: bool,
    ) -> tuple[ids.ConfigSequence, bytes]:
        cached = self._encoded_snapshot
        if cached is None or fresh or current.changes_after(cached[0]) is None:
            snapshot = records.Snapshot(current.sequence, current.document)
            cached = (current.sequence, documents.encode(snapshot))
            self._encoded_snapshot = cached
        return cached


__all__ = ('Holder', 'Listener')
