"""Decides which of a worker's waiting orders is sent next, and which never.

Used by the platform daemon (nutmegworks.daemon.fleet).
"""
from __future__ import annotations

import collections
import dataclasses
import enum
import typing

# A start request that a worker may have received is withdrawn if it has no
# answer in this time. A gang's members wait 3 s for each other.
START_WINDOW_SECONDS: typing.Final = 1.0
# A start that was never sent is planned anew after this time if its worker
# does not answer, and in any case when the lease that its worker had when it
# was planned has ended.
UNREACHED_WAIT_SECONDS: typing.Final = 1.2
MAX_START_WAIT_SECONDS: typing.Final = 8.0

Key = typing.TypeVar('Key')


class Kind(enum.Enum):
    """What an order asks for; those of the first kind are sent first."""

    STOP = 'stop'
    START = 'start'


class StartVerdict(enum.Enum):
    """What becomes of a start that waits.

    :cvar WITHDRAW: the worker may have received it; the run is stopped.
    :cvar PLAN_ANEW: the worker has not received it.
    """

    KEEP = 'keep'
    WITHDRAW = 'withdraw'
    PLAN_ANEW = 'plan-anew'


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingStart:
    """A start request that has no answer yet; all times are seconds.

    :param waited: since it was planned.
    :param since_sent: since it was first sent, None if it was not.
    :param worker_answers: the last that is known of its worker.
    :param lease_ended: all leases that the worker was given have ended.
    """

    waited: float
    since_sent: float | None
    worker_answers: bool
    lease_ended: bool


def judge_start(start: WaitingStart) -> StartVerdict:
    """Return whether a start request is still to be sent."""
    if start.since_sent is not None:
        late = start.since_sent >= START_WINDOW_SECONDS
        return StartVerdict.WITHDRAW if late else StartVerdict.KEEP
    out_of_date = (
        start.lease_ended or start.waited >= MAX_START_WAIT_SECONDS or
        (not start.worker_answers and start.waited >= UNREACHED_WAIT_SECONDS)
    )
    return StartVerdict.PLAN_ANEW if out_of_date else StartVerdict.KEEP


class WaitingOrders(typing.Generic[Key]):
    """The orders that wait for one worker, at most one of each run.

    Stops come first; orders of one kind are sent in the order in which they
    came. Of those that were sent in vain, a start comes before the others, as
    its time is limited, and a stop after them.
    """

    def __init__(self) -> None:
        self._keys_by_kind: dict[Kind, collections.OrderedDict[Key, None]] = {
            kind: collections.OrderedDict()
            for kind in Kind
        }

    def __len__(self) -> int:
        return sum(len(keys) for keys in self._keys_by_kind.values())

    def add(self, key: Key, kind: Kind, *, repeated: bool = False) -> bool:
        """Add an order; a stop takes the place of a start that waits.

        :param repeated: it was sent in vain.
        :return: False for a start if a stop waits: the run is over.
        """
        if kind is Kind.START and key in self._keys_by_kind[Kind.STOP]:
            return False
        if kind is Kind.STOP:
            self._keys_by_kind[Kind.START].pop(key, None)
        keys = self._keys_by_kind[kind]
        keys.setdefault(key)
        if repeated:
            keys.move_to_end(key, last=kind is Kind.STOP)
        return True

    def discard(self, key: Key, kind: Kind) -> None:
        self._keys_by_kind[kind].pop(key, None)

    def keys(self) -> list[tuple[Key, Kind]]:
        """Return all that waits."""
        return [
            (key, kind)
            for kind, keys in self._keys_by_kind.items()
            for key in keys
        ]

    def sendable(self, may_start: bool) -> int:
        """Return how many orders ``take`` would return one after the other."""
        stops = len(self._keys_by_kind[Kind.STOP])
        return len(self) if may_start else stops

    def take(self, may_start: bool) -> tuple[Key, Kind] | None:
        """Remove and return the next order.

        :param may_start: whether a start may be sent now.
        :return: None if nothing waits that may be sent.
        """
        for kind, keys in self._keys_by_kind.items():
            if keys and (may_start or kind is not Kind.START):
                key, _ = keys.popitem(last=False)
                return key, kind
        return None


__all__ = (
    'Kind',
    'MAX_START_WAIT_SECONDS',
    'START_WINDOW_SECONDS',
    'StartVerdict',
    'UNREACHED_WAIT_SECONDS',
    'WaitingOrders',
    'WaitingStart',
    'judge_start',
)
