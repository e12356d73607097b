"""Holds the configuration in force and says how old that knowledge is."""
from __future__ import annotations

import time
import typing

from nutmegworks.configuration import adoption
from nutmegworks.configuration import change
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import records
from nutmegworks.model import ids
from nutmegworks.peers import messages

Listener = typing.Callable[[adoption.Adopted], typing.Awaitable[None]]


class Holder:
    """Replaces the snapshot that others read, never by an older one.

    :param clock: seconds, monotonic.
    """

    def __init__(
        self,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._current: adoption.Adopted | None = None
        self._listeners: list[Listener] = []
        self._confirmed: float | None = None
        self._encoded: tuple[ids.ConfigSequence, bytes] | None = None

    @property
    def current(self) -> adoption.Adopted | None:
        """Return the configuration in force; None before the first."""
        return self._current

    @property
    def sequence(self) -> ids.ConfigSequence:
        return adoption.sequence_of(self._current)

    def subscribe(self, listener: Listener) -> None:
        """Call a function after every adoption; it must not wait."""
        self._listeners.append(listener)

    async def take_changes(
        self,
        offered: tuple[change.Accepted, ...],
    ) -> adoption.Step:
        """Adopt consecutive changes if they are newer."""
        step, adopted = adoption.adopt_changes(self._current, offered)
        return await self._publish(step, adopted)

    async def take_snapshot(self, snapshot: records.Snapshot) -> adoption.Step:
        """Adopt a whole document if it is newer."""
        step, adopted = adoption.adopt_snapshot(self._current, snapshot)
        return await self._publish(step, adopted)

    async def _publish(
        self,
        step: adoption.Step,
        adopted: adoption.Adopted | None,
    ) -> adoption.Step:
        if step is adoption.Step.ADOPT and adopted is not None:
            self._current = adopted
            for listener in self._listeners:
                await listener(adopted)
        return step

    def confirm(self, sequence: int, at: float) -> None:
        """Record that a sequence was the latest at a time of the clock."""
        if sequence <= self.sequence:
            self._confirmed = max(at, self._confirmed or at)

    def age(self) -> float | None:
        """Return seconds since the configuration was known to be current."""
        if self._confirmed is None or self._current is None:
            return None
        return max(0.0, self._clock() - self._confirmed)

    def missing(self, after: int) -> messages.Missing:
        """Return what a peer lacks.

        :param after: the sequence that it has; negative for a whole document.
        """
        current = self._current
        if current is None:
            return messages.Missing()
        newer = current.after(after)
        if newer is not None:
            return messages.Missing(newer)
        sequence, encoded = self._snapshot(current, fresh=after < 0)
        return messages.Missing(current.after(sequence) or (), encoded)

    def _snapshot(
        self,
        current: adoption.Adopted,
        *,
        fresh: bool,
    ) -> tuple[ids.ConfigSequence, bytes]:
        kept = self._encoded
        if kept is None or fresh or current.after(kept[0]) is None:
            snapshot = records.Snapshot(current.sequence, current.document)
            kept = (current.sequence, documents.encode(snapshot))
            self._encoded = kept
        return kept


__all__ = ('Holder', 'Listener')
