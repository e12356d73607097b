"""A worker as the leader sees it: its lease, its runs and its answers."""
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
MAX_LEASE_SECONDS: typing.Final = 10.0
# Lowest rate of a worker's clock relative to this host's clock, as specified
# by the platform.
MIN_CLOCK_RATE: typing.Final = 0.98
# Covers the time between a worker's clock reading and its arrival here.
CLOCK_MARGIN_SECONDS: typing.Final = 0.3
# An earlier leader may grant leases for as long as it may send start requests
# without a renewal (6 s), less the time that its own lease took to expire
# (2 s).
PRIOR_LEADER_LEASE_SECONDS: typing.Final = 4.0
# A renewal is given up after 1.8 s without an answer, a start request sooner.
# Until then it may reach the worker.
REQUEST_TRANSIT_SECONDS: typing.Final = 1.8
# A worker gets no new work if its last answer is older.
MAX_ANSWER_AGE_SECONDS: typing.Final = 2.5


def prior_leases_expire_at(started_at: float) -> float:
    """Return when all leases granted by earlier leaders have expired.

    :param started_at: start of the present term, in seconds of
        ``membership.steady_clock``.
    """
    longest = MAX_LEASE_SECONDS / MIN_CLOCK_RATE
    return started_at + PRIOR_LEADER_LEASE_SECONDS + longest


RunKey = tuple[spec.TaskKey, workers.RunNumber]


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker's entry, lease, runs and last answer.

    Times are seconds of ``membership.steady_clock``. ``clock`` and
    ``lease_sent`` are milliseconds on the worker's own clock.

    :param prior_leases_expire_at: when all leases have expired that were
        granted before the worker's clock was known.
    :param registered: its entry is in the store.
    :param registered_at: when its entry was first seen or changed its state.
    :param incarnation: the one that answered last; None before an answer.
    :param answered_at: when it last answered this leader; None if it has not
        since its lease last expired.
    :param clock: the worker's clock in its last answer, received at
        ``clock_at``.
    :param lease_sent: latest lease end that a start request or a renewal
        carried, whether or not it was answered.
    :param lease_sent_at: when the last request with a lease was sent.
    :param processed: number of the last end that was processed.
    :param acknowledged: number of the last end that is stored.
    :param confirmed: number of the last end whose acknowledgement the worker
        has answered.
    :param acknowledging: a renewal that acknowledges ends awaits its answer.
    :param acknowledgement_expires_at: until then a renewal that acknowledged
        ends and was not answered may reach the worker.
    :param paused_until: until then it gets no work, because it rejected a
        start request.
    :param unanswered_at: when it last did not answer a start request or a
        renewal.
    :param unreached_at: when a connection to it for a start request or a stop
        request last could not be opened.
    """

    entry: workers.WorkerEntry
    prior_leases_expire_at: float
    registered: bool = True
    registered_at: float = 0.0
    incarnation: workers.WorkerIncarnation | None = None
    answered_at: float | None = None
    clock: int = 0
    clock_at: float = 0.0
    lease_sent: int = 0
    lease_sent_at: float = -math.inf
    processed: int = 0
    acknowledged: int = 0
    confirmed: int = 0
    acknowledging: bool = False
    acknowledgement_expires_at: float = -math.inf
    paused_until: float = 0.0
    unanswered_at: float = -math.inf
    unreached_at: float = -math.inf
    runs_by_key: dict[RunKey,
                      table.Run] = dataclasses.field(default_factory=dict)

    @property
    def worker_id(self) -> ids.WorkerId:
        return self.entry.worker_id

    @property
    def silent(self) -> bool:
        """Whether its last answer is older than an unanswered request."""
        return (
            self.answered_at is None or self.unanswered_at > self.answered_at
        )

    @property
    def reachable(self) -> bool:
        """Whether its last answer is newer than any failure to reach it."""
        return (
            self.answered_at is not None and not self.silent
            and self.unreached_at <= self.answered_at
        )

    def renewal_lease(self, now: float) -> int | None:
        """Return the lease end for a renewal that is sent now.

        While the worker is silent its renewals carry no lease: they may still
        reach it, and its runs count as lost once the last lease has ended.

        :return: milliseconds on the worker's clock; None for no lease.
        """
        return None if self.silent else self.start_lease(now)

    def start_lease(self, now: float) -> int | None:
        """Return the lease end for a start request that is sent now.

        While the worker is silent, the last one is repeated.

        :return: milliseconds on the worker's clock; None if this leader does
            not know the clock.
        """
        if self.answered_at is None:
            return None
        if not self.silent:
            elapsed_ms = int((now - self.clock_at) * 1000)
            lease_until = self.clock + elapsed_ms + int(LEASE_SECONDS * 1000)
            self.lease_sent = max(self.lease_sent, lease_until)
        self.lease_sent_at = now
        return self.lease_sent

    @property
    def awaits_acknowledgement(self) -> bool:
        """Whether the worker still lists ends that are stored."""
        return self.acknowledged > self.confirmed

    def begin_acknowledgement(self, now: float) -> int:
        """Return the end that a renewal sent now acknowledges.

        The numbers of ends start anew with each incarnation, so an
        acknowledgement must not reach an incarnation that has ends of its own.
        A run that no report has listed may be in a later incarnation than the
        known one; until a report lists it nothing is acknowledged.

        :return: number of the last acknowledged end, 0 for none.
        """
        if not self.awaits_acknowledgement or any(
                run.sent and not run.reported
                for run in self.runs_by_key.values()):
            return 0
        self.acknowledging = True
        self.acknowledgement_expires_at = now + REQUEST_TRANSIT_SECONDS
        return self.acknowledged

    def end_acknowledgement(self, number: int, answered: bool) -> None:
        """Record whether a renewal that acknowledged ends was answered."""
        self.acknowledging = False
        if answered:
            self.confirmed = max(self.confirmed, number)
            self.acknowledgement_expires_at = -math.inf

    def may_start(self, now: float) -> bool:
        """Return whether no acknowledgement can meet a run that starts now.

        See ``begin_acknowledgement``.
        """
        return (
            not self.acknowledging and now >= self.acknowledgement_expires_at
        )

    def all_leases_expired(self, now: float) -> bool:
        """Return whether no incarnation can have a lease any more.

        A later incarnation, whose clock starts anew, shortens a lease on the
        clock of the known one to the longest lease.
        """
        longest = MAX_LEASE_SECONDS / MIN_CLOCK_RATE
        return now > self.lease_sent_at + REQUEST_TRANSIT_SECONDS + longest

    def lease_expired(self, now: float) -> bool:
        """Return whether every run on the worker must have ended by now."""
        if self.answered_at is None:
            return now > self.prior_leases_expire_at
        elapsed_ms = (now - self.clock_at) * 1000 * MIN_CLOCK_RATE
        margin_ms = CLOCK_MARGIN_SECONDS * 1000
        return self.clock + elapsed_ms > self.lease_sent + margin_ms

    def record_answer(self, report: workers.Report, now: float) -> None:
        """Record the time of an answer and the worker's clock in it."""
        if self.answered_at is None:
            # An earlier leader, or a request to an earlier incarnation, may
            # have granted a lease of any length.
            longest_ms = int(MAX_LEASE_SECONDS * 1000)
            self.lease_sent = max(self.lease_sent, report.clock + longest_ms)
        self.answered_at = now
        self.clock = report.clock
        self.clock_at = now

    def reset_for_incarnation(
        self, incarnation: workers.WorkerIncarnation
    ) -> None:
        """Discard the state of the worker's previous incarnation."""
        self.incarnation = incarnation
        self.processed = 0
        self.acknowledged = 0
        self.confirmed = 0
        self.lease_sent = 0
        self.paused_until = 0.0
        # Requests to the previous incarnation may have given it a lease.
        self.answered_at = None

    def forget_clock(self, leases_expire_at: float) -> None:
        """Discard the clock and the lease of the known incarnation.

        The worker gets no work until it answers again.

        :param leases_expire_at: when all leases on the worker have expired,
            in seconds of ``membership.steady_clock``.
        """
        self.answered_at = None
        self.lease_sent = 0
        self.prior_leases_expire_at = leases_expire_at

    def free_resources(self) -> spec.Resources:
        """Return the resources that no run uses."""
        free = self.entry.resources
        for run in self.runs_by_key.values():
            free = free.minus(run.step.resources)
        return free

    def usable(self, now: float) -> bool:
        """Return whether the worker may get work now or after its pause."""
        return (
            self.registered and self.entry.state is workers.WorkerState.READY
            and self.answered_at is not None and self.reachable
            and now - self.answered_at < MAX_ANSWER_AGE_SECONDS
        )

    def available(self, now: float) -> bool:
        """Return whether the worker may get work."""
        return self.usable(now) and now >= self.paused_until


__all__ = (
    'LEASE_SECONDS',
    'MAX_LEASE_SECONDS',
    'PRIOR_LEADER_LEASE_SECONDS',
    'RunKey',
    'Worker',
    'prior_leases_expire_at',
)
