"""Refuses a request early if it would be answered too late."""
from __future__ import annotations

import typing

from nutmegworks.model import verdict

# Weight of the newest run time: about the last 20 requests count.
NEWEST_WEIGHT: typing.Final = 0.05
# Part of the time that waiting and running may take by estimate. The rest
# covers the error of the estimate.
TARGET_PART: typing.Final = 0.8
MIN_RETRY_SECONDS: typing.Final = 0.1
MAX_RETRY_SECONDS: typing.Final = 30.0


class RunTime:
    """A moving average of the run times of one class.

    :param initial: seconds, until the first observation.
    """

    def __init__(self, initial: float = 0.0) -> None:
        self.seconds = initial
        self._observed = False

    def observe(self, seconds: float) -> None:
        """Take a finished request into account."""
        if not self._observed:
            self.seconds = seconds
            self._observed = True
        self.seconds += NEWEST_WEIGHT * (seconds - self.seconds)


def estimated_wait(
    *,
    waiting: int,
    run_seconds: float,
    slots: int,
    share: float,
) -> float:
    """Return the seconds until a new request of a team starts.

    :param waiting: requests of the team in the queue.
    :param slots: upstream slots that this daemon can use.
    :param share: part of the slots that the team gets now.
    """
    if not waiting:
        return 0.0
    return waiting * run_seconds / max(1e-9, slots * share)


def check(
    *,
    wait: float,
    run_seconds: float,
    target: float,
    time_left: float,
) -> verdict.Refusal | None:
    """Return a refusal if the answer would come too late, else None.

    A request that meets no queue is never refused: only by running it can a
    wrong estimate of the run time be corrected.

    :param target: completion target of the class in seconds.
    :param time_left: seconds until the caller's deadline.
    """
    if wait <= 0.0:
        return None
    allowed = TARGET_PART * min(target, time_left)
    late = wait + run_seconds - allowed
    if late <= 0.0:
        return None
    return verdict.did_not_run(
        verdict.Reason.OVERLOADED,
        f'the expected wait of {wait:.1f} s misses the target',
        retry_after=min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, late)),
    )


__all__ = (
    'MAX_RETRY_SECONDS',
    'MIN_RETRY_SECONDS',
    'RunTime',
    'TARGET_PART',
    'check',
    'estimated_wait',
)
