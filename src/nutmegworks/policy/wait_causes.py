"""Names what a waiting job waits for, and sums the seconds by cause."""
from __future__ import annotations

import enum
import typing


class WaitCause(enum.Enum):
    """Why the tasks of a demand do not start in a round.

    The values are names in logs and metrics.

    RELEASE: workers that others release in time without preemption.
    PREEMPTION: workers of victims that are being stopped.
    COST: preemption would cost more than the demand is worth.
    ROOM: no preemption of lower classes makes enough room.
    LOWER_CLASS: room; the class of the demand preempts nothing.
    """

    RELEASE = 'release'
    PREEMPTION = 'preemption'
    COST = 'cost'
    ROOM = 'room'
    LOWER_CLASS = 'lower-class'


# The leader did not decide, or there was none.
NO_DECISION: typing.Final = 'no-decision'
# Longest time between two rounds that counts as waiting for the first one's
# cause; decisions are made every 0.3 s at least.
MAX_ROUND_SECONDS: typing.Final = 0.5


class WaitTimes:
    """Seconds that a job has waited, by cause.

    :param since: when it began to wait, in seconds of a steady clock.
    """

    def __init__(self, since: float) -> None:
        self._cause: str = NO_DECISION
        self._since = since
        self.seconds_by_cause: dict[str, float] = {}

    def wait_for(self, cause: WaitCause, now: float) -> None:
        """Record that the job waits for a cause from now on."""
        self._close(now)
        self._cause = cause.value

    def stop(self, now: float) -> None:
        """Record that the job has no tasks that wait any more."""
        self._close(now)
        self._cause = ''

    def _close(self, now: float) -> None:
        seconds = max(0.0, now - self._since)
        self._since = now
        if not self._cause:
            return
        if self._cause != NO_DECISION:
            decided = min(seconds, MAX_ROUND_SECONDS)
            self._add(self._cause, decided)
            seconds -= decided
        self._add(NO_DECISION, seconds)

    def _add(self, cause: str, seconds: float) -> None:
        if seconds > 0:
            self.seconds_by_cause[cause] = (
                self.seconds_by_cause.get(cause, 0.0) + seconds
            )


__all__ = ('MAX_ROUND_SECONDS', 'NO_DECISION', 'WaitCause', 'WaitTimes')
