"""A worker as the leader sees it: its lease, its runs, its lists."""
from __future__ import annotations

import dataclasses
import math
import typing

from nutmegworks.fleet import table
from nutmegworks.model import ids
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

# Workers keep runs for this time without a renewal. It outlasts a change of
# leader (about 3 s) and most outages; the platform allows 10 s.
LEASE_SECONDS: typing.Final = 8.0
# The platform shortens longer leases.
LONGEST_LEASE_SECONDS: typing.Final = 10.0
# A worker's clock may be slow by this share, says the platform.
SLOWEST_CLOCK: typing.Final = 0.98
# For the time between a worker's clock reading and its arrival here.
CLOCK_MARGIN_SECONDS: typing.Final = 0.3
# An earlier leader may give leases for as long as it may give orders without
# a renewal (6 s), less the time that its own lease took to end (2 s).
EARLIER_LEADER_SECONDS: typing.Final = 4.0
# A worker that did not answer for this time gets no new work.
STALE_SECONDS: typing.Final = 2.5


def adopted_until(started_at: float) -> float:
    """Return when the leases of earlier leaders have surely ended.

    :param started_at: steady seconds of the start of the present term.
    """
    longest = LONGEST_LEASE_SECONDS / SLOWEST_CLOCK
    return started_at + EARLIER_LEADER_SECONDS + longest


RunKey = tuple[spec.TaskKey, workers.RunNumber]


@dataclasses.dataclass(slots=True)
class Worker:
    """Times are steady seconds; clocks are the worker's milliseconds.

    :param registered: its entry is in the store.
    :param answered_at: when it last answered this leader; None if it never
        did in its present life.
    :param lease_sent: highest lease end that an order or a renewal carried.
    :param adopted_until: when leases of an earlier leader have ended surely.
    :param processed: number of the last end that was taken in.
    :param acknowledged: number of the last end that is stored.
    :param silent_since: when an order last got no answer.
    """

    entry: workers.WorkerEntry
    adopted_until: float
    registered: bool = True
    registered_at: float = 0.0
    born: workers.Born | None = None
    answered_at: float | None = None
    clock: int = 0
    clock_at: float = 0.0
    lease_sent: int = 0
    processed: int = 0
    acknowledged: int = 0
    full_until: float = 0.0
    silent_since: float = -math.inf
    runs_by_key: dict[RunKey,
                      table.Run] = dataclasses.field(default_factory=dict)

    @property
    def worker_id(self) -> ids.WorkerId:
        return self.entry.worker_id

    def next_lease(self, now: float) -> int | None:
        """Return the lease end for an order that is sent now."""
        if self.answered_at is None:
            return None
        passed = int((now - self.clock_at) * 1000)
        until = self.clock + passed + int(LEASE_SECONDS * 1000)
        self.lease_sent = max(self.lease_sent, until)
        return until

    def lapsed(self, now: float) -> bool:
        """Return whether everything on the worker has surely ended."""
        if self.answered_at is None:
            return now > self.adopted_until
        passed = (now - self.clock_at) * 1000 * SLOWEST_CLOCK
        margin = CLOCK_MARGIN_SECONDS * 1000
        return self.clock + passed > self.lease_sent + margin

    def note_answer(self, report: workers.Report, now: float) -> None:
        """Take the clock of a report."""
        if self.answered_at is None:
            # An earlier leader may have given a lease of any length.
            longest = int(LONGEST_LEASE_SECONDS * 1000)
            self.lease_sent = max(self.lease_sent, report.clock + longest)
        self.answered_at = now
        self.clock = report.clock
        self.clock_at = now

    def start_anew(self, born: workers.Born) -> None:
        """Forget what belonged to the worker's previous life."""
        self.born = born
        self.processed = 0
        self.acknowledged = 0
        self.lease_sent = 0
        self.full_until = 0.0

    def free(self) -> spec.Room:
        """Return the room that no run holds."""
        room = self.entry.room
        for run in self.runs_by_key.values():
            room = room.minus(run.step.room)
        return room

    def available(self, now: float) -> bool:
        """Return whether the worker may get work."""
        return (
            self.registered and self.entry.state is workers.WorkerState.READY
            and self.answered_at is not None
            and now - self.answered_at < STALE_SECONDS
            and self.answered_at > self.silent_since and now >= self.full_until
        )


__all__ = (
    'EARLIER_LEADER_SECONDS',
    'LEASE_SECONDS',
    'LONGEST_LEASE_SECONDS',
    'RunKey',
    'Worker',
    'adopted_until',
)
