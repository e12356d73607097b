"""Limits how long demands hold room for releases that don't come.

Used by the platform daemon (nutmegworks.daemon.fleet). The ends of runs are
estimates. A demand that waits for them keeps other work off its workers, so
each such wait has a term. When a term is over, the wait is given up: for a
while the demand may not hold room, and its workers are open to lesser work.
"""
from __future__ import annotations

import dataclasses
import typing

from nutmegworks.model import ids
from nutmegworks.policy import task_demand

# How long room may be held for a gang, as a multiple of the time in which it
# was expected to start: declared durations are wrong by up to half.
OVERDUE_FACTOR: typing.Final = 2.0
# Added to the time for a gang's first term, and doubled for each further one,
# so that a gang whose releases are always late gets its turn by ageing.
FIRST_GRACE_SECONDS: typing.Final = 2.0
MAX_GRACE_SECONDS: typing.Final = 16.0
# Several rounds, so that lesser work finds the room open even if a round is
# late.
PAUSE_SECONDS: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Room that a demand holds for releases.

    :param due_in: seconds in which the demand starts at the latest if the
        releases come as expected.
    :param worker_ids: workers that no demand before it holds.
    """

    due_in: float
    worker_ids: frozenset[ids.WorkerId]


@dataclasses.dataclass(frozen=True, slots=True)
class Pauses:
    """What may not be held now.

    :param keys: demands whose wait was given up a short time ago.
    :param worker_ids: workers that were held for them.
    :param failures_by_key: how many waits of a demand were given up.
    """

    keys: frozenset[task_demand.DemandKey] = frozenset()
    worker_ids: frozenset[ids.WorkerId] = frozenset()
    failures_by_key: typing.Mapping[
        task_demand.DemandKey,
        int,
    ] = dataclasses.field(default_factory=dict)


def gang_due_in(start_after: float, failures: int) -> float:
    """Return for how many seconds room may be held for a gang.

    :param start_after: seconds until it is expected to start.
    :param failures: how many of its waits were given up.
    """
    # The exponent is bounded as well, as failures are not.
    grace = FIRST_GRACE_SECONDS * 2.0**min(failures, 10)
    return OVERDUE_FACTOR * start_after + min(MAX_GRACE_SECONDS, grace)


@dataclasses.dataclass(slots=True)
class _Term:
    """The term of one wait; ``due_at`` is in seconds of the caller's clock.

    :param held: the last round held room for the demand.
    """

    due_at: float
    worker_ids: frozenset[ids.WorkerId]
    held: bool = True


class ReservationTerms:
    """Remembers since when demands wait, over the rounds of a scheduler.

    Times are seconds of the caller's clock.
    """

    def __init__(self) -> None:
        self._term_by_key: dict[task_demand.DemandKey, _Term] = {}
        # Ends of pauses.
        self._paused_until: dict[task_demand.DemandKey, float] = {}
        self._open_until: dict[ids.WorkerId, float] = {}
        self._failures: dict[task_demand.DemandKey, int] = {}

    def pauses(
        self,
        waiting: typing.Collection[task_demand.DemandKey],
        now: float,
    ) -> Pauses:
        """Give up overdue waits; return what may not be held in this round.

        :param waiting: all waiting demands; others are forgotten.
        """
        for by_key in (self._term_by_key, self._paused_until, self._failures):
            for key in by_key.keys() - waiting:
                del by_key[key]
        for key, term in list(self._term_by_key.items()):
            if now < term.due_at:
                continue
            del self._term_by_key[key]
            if term.held:
                self._failures[key] = self._failures.get(key, 0) + 1
                self._paused_until[key] = now + PAUSE_SECONDS
                for worker_id in term.worker_ids:
                    self._open_until[worker_id] = now + PAUSE_SECONDS
        self._open_until = {
            worker_id: until
            for worker_id, until in self._open_until.items()
            if until > now
        }
        return Pauses(
            frozenset(
                key for key, until in self._paused_until.items() if until > now
            ),
            frozenset(self._open_until),
            dict(self._failures),
        )

    def record(
        self,
        waits: typing.Mapping[task_demand.DemandKey, Wait],
        preempting: typing.Iterable[task_demand.DemandKey],
        now: float,
    ) -> None:
        """Take note of the waits of a round.

        A wait that goes on keeps its end, whatever is expected now.

        :param preempting: demands that get the room of victims; their next
            wait, for victims that stop late, is a new one.
        """
        for term in self._term_by_key.values():
            term.held = False
        for key, wait in waits.items():
            known = self._term_by_key.get(key)
            due_at = now + wait.due_in if known is None else known.due_at
            self._term_by_key[key] = _Term(due_at, wait.worker_ids)
        for key in preempting:
            self._term_by_key.pop(key, None)
            self._paused_until.pop(key, None)


__all__ = (
    'Pauses',
    'ReservationTerms',
    'Wait',
    'gang_due_in',
)
