"""The memory of a process that connections may use, with one owner.

Whatever is received from a socket is taken from the budget, by all servers and
clients of the process. ``channel`` reads sockets for them and is the only
module that does.
"""
from __future__ import annotations

import abc
import collections
import enum
import itertools
import time
import typing

import curio
import logbook

from nutmegworks.policy import intake

_LOG: typing.Final = logbook.Logger('intake')

MEBIBYTE: typing.Final = 1024 * 1024
# Memory of the smallest machine of the platform's sites.
DEFAULT_MEMORY_BYTES: typing.Final = 200 * MEBIBYTE
# The rest is for the program, its state and what the allocator retains.
MEMORY_SHARE: typing.Final = 0.25
LOG_INTERVAL_SECONDS: typing.Final = 1.0
WAIT_POLL_SECONDS: typing.Final = 0.01


class Loss(enum.Enum):
    """Why a request was refused or a connection closed."""

    TOO_LARGE = 'too-large'
    NO_MEMORY = 'no-memory'
    NO_CONNECTION = 'no-connection'
    IN_FLIGHT = 'in-flight'
    FRAMING = 'framing'
    LATE = 'late'
    GAVE_WAY = 'gave-way'


class Account:
    """What one connection or exchange has taken.

    :ivar held: bytes.
    """

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self.held = 0

    def take(self, size: int, kind: intake.Kind) -> bool:
        """Take bytes, and close connections without progress for them.

        :return: False if there are not enough; nothing is taken then.
        """
        if not self._budget.make_room(size, kind):
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Count bytes that are in use already."""
        self.held += size
        self._budget.change(size)

    async def wait(self, size: int) -> None:
        """Take bytes for the daemon's own traffic, in the order of calls."""
        # A single answer above the budget must not wait for ever.
        size = min(size, self._budget.total)
        await self._budget.wait_for_room(size)
        self.add(size)

    def give(self, size: int) -> None:
        """Give bytes back."""
        size = min(size, self.held)
        self.held -= size
        self._budget.change(-size)

    def close(self) -> None:
        """Give all back; safe to call twice."""
        self.give(self.held)


class Holder(Account, abc.ABC):
    """The account of a connection that may have to give way.

    :ivar holder_id: None until it is registered.
    :ivar phase: what the connection is doing.
    """

    def __init__(self, budget: Budget) -> None:
        super().__init__(budget)
        self.holder_id: intake.HolderId | None = None
        self.phase = intake.Phase.IDLE
        self.progress_at = budget.clock()

    def enter(self, phase: intake.Phase) -> None:
        """Begin another phase, which is progress."""
        self.phase = phase
        self.progress_at = self._budget.clock()

    @abc.abstractmethod
    def give_way(self) -> None:
        """Release the memory now and end the connection soon."""


class Budget:
    """The bytes and the counters of one process.

    :param memory: bytes of memory of the process.
    :ivar total: bytes that may be held.
    :ivar held: bytes that are held.
    :ivar peak: most bytes that were held.
    :ivar losses: refused requests and closed connections by reason.
    :ivar framing_lane: held by the one connection that decodes a body of many
        parts; without it such bodies would take turns with all other work.
    """

    def __init__(
        self,
        memory: int = DEFAULT_MEMORY_BYTES,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock = clock
        self.total = int(memory * MEMORY_SHARE)
        self.held = 0
        self.peak = 0
        self.losses: collections.Counter[Loss] = collections.Counter()
        self.framing_lane = curio.Lock()
        self._holder_ids = itertools.count()
        self._holder_by_id: dict[intake.HolderId, Holder] = {}
        self._waiting: collections.deque[object] = collections.deque()
        self._next_choice_at = 0.0
        self._logged_at_by_loss: dict[Loss, float] = {}
        self._logged_by_loss: collections.Counter[Loss] = (
            collections.Counter()
        )

    def limit(self, kind: intake.Kind) -> int:
        """Return the bytes up to which a kind may take."""
        return int(self.total * intake.SHARE_BY_KIND[kind])

    def register(self, holder: Holder) -> None:
        """Add a connection to those that may have to give way."""
        holder.holder_id = intake.HolderId(next(self._holder_ids))
        self._holder_by_id[holder.holder_id] = holder

    def unregister(self, holder: Holder) -> None:
        """Remove a connection; safe if it is not registered."""
        if holder.holder_id is not None:
            self._holder_by_id.pop(holder.holder_id, None)

    def make_room(self, size: int, kind: intake.Kind) -> bool:
        """Return whether a kind may take bytes, after others gave way."""
        excess = self.held + size - self.limit(kind)
        if excess <= 0:
            return True
        if size > self.limit(kind) or self.clock() < self._next_choice_at:
            return False
        chosen = intake.choose_for_bytes(self._view(), excess)
        if not chosen:
            self._defer_next_choice()
            return False
        for holder_id in chosen:
            self._close(holder_id)
        return True

    def make_connection_room(self) -> bool:
        """Close the connection that made no progress for longest.

        :return: False if all make progress.
        """
        if self.clock() < self._next_choice_at:
            return False
        chosen = intake.choose_for_connection(self._view())
        if chosen is None:
            self._defer_next_choice()
            return False
        self._close(chosen)
        return True

    def close_for_stop(self, *, all_unhandled: bool) -> None:
        """Close connections without progress before the process ends.

        :param all_unhandled: also those with progress, unless their request
            is being handled or answered.
        """
        for holder in self._view():
            if intake.may_give_way(holder) or (
                    all_unhandled and intake.IS_UNHANDLED[holder.phase]):
                self._close(holder.holder_id)

    def count_by_phase(self) -> dict[str, int]:
        """Return how many connections are in each phase, for logs."""
        return dict(
            collections.Counter(
                holder.phase.value for holder in self._holder_by_id.values()
            )
        )

    def _view(self) -> list[intake.Holder]:
        now = self.clock()
        return [
            intake.Holder(
                holder_id, holder.phase, holder.held, now - holder.progress_at
            ) for holder_id, holder in self._holder_by_id.items()
        ]

    def _defer_next_choice(self) -> None:
        """Don't look at all connections again for each further one."""
        self._next_choice_at = self.clock() + intake.STALL_SECONDS / 10

    def _close(self, holder_id: intake.HolderId) -> None:
        holder = self._holder_by_id.pop(holder_id)
        self.lose(Loss.GAVE_WAY, phase=holder.phase.value, held=holder.held)
        holder.give_way()
        holder.close()

    def change(self, size: int) -> None:
        """Count bytes that were taken, or given back if negative."""
        self.held += size
        self.peak = max(self.peak, self.held)

    async def wait_for_room(self, size: int) -> None:
        """Wait until the daemon's own traffic may take bytes."""
        if not self._waiting and self.make_room(size, intake.Kind.INTERNAL):
            return
        entry = object()
        self._waiting.append(entry)
        try:
            while not (self._waiting[0] is entry
                       and self.make_room(size, intake.Kind.INTERNAL)):
                await curio.sleep(WAIT_POLL_SECONDS)
        finally:
            self._waiting.remove(entry)

    def lose(self, loss: Loss, **fields: object) -> None:
        """Count a refusal or a closed connection.

        One line a second for each reason is logged.
        """
        self.losses[loss] += 1
        now = self.clock()
        if now - self._logged_at_by_loss.get(
                loss, -LOG_INTERVAL_SECONDS) < LOG_INTERVAL_SECONDS:
            return
        self._logged_at_by_loss[loss] = now
        count = self.losses[loss] - self._logged_by_loss[loss]
        self._logged_by_loss[loss] = self.losses[loss]
        _LOG.warning(
            'clients refused or closed',
            reason=loss.value,
            count=count,
            held_bytes=self.held,
            budget_bytes=self.total,
            **fields,
        )


__all__ = (
    'Account',
    'Budget',
    'DEFAULT_MEMORY_BYTES',
    'Holder',
    'Loss',
    'MEBIBYTE',
)
