"""Load shedding: refuses requests that would be answered too late."""
from __future__ import annotations

import typing

from nutmegworks.model import verdict

# Weight of a new run time in the moving average; about the last 20 requests
# count.
SMOOTHING_FACTOR: typing.Final = 0.05
# Fraction of the target or remaining time that the estimated wait and run time
# may take. The remainder covers the error of the estimate.
MAX_TARGET_FRACTION: typing.Final = 0.8
MIN_RETRY_SECONDS: typing.Final = 0.1
MAX_RETRY_SECONDS: typing.Final = 30.0


class RunTimeAverage:
    """Exponential moving average of the run times of one class.

    :param initial: value in seconds until the first observation.
    """

    def __init__(self, initial: float = 0.0) -> None:
        self.seconds = initial
        self._observed = False

    def observe(self, seconds: float) -> None:
        """Add the run time of a finished request."""
        if not self._observed:
            self.seconds = seconds
            self._observed = True
        self.seconds += SMOOTHING_FACTOR * (seconds - self.seconds)


def estimated_wait(
    *,
    waiting_count: int,
    run_seconds: float,
    slots: int,
    share: float,
) -> float:
    """Return the estimated seconds until a new request of a team starts.

    :param waiting_count: requests of the team in the queue.
    :param run_seconds: average run time of a request.
    :param slots: upstream slots that this daemon can use.
    :param share: fraction of the slots that the team gets now.
    """
    if not waiting_count:
        return 0.0
    return waiting_count * run_seconds / max(1e-9, slots * share)


def refuse_if_late(
    *,
    wait: float,
    run_seconds: float,
    target: float,
    remaining_seconds: float,
) -> verdict.Refusal | None:
    """Return a refusal if the answer would come too late, else None.

    A request that does not have to wait is never refused, because only a new
    observation corrects a wrong estimate of the run time.

    :param wait: estimated seconds until the request starts.
    :param run_seconds: estimated run time.
    :param target: completion target of the class in seconds.
    :param remaining_seconds: seconds until the caller's deadline.
    """
    if wait <= 0.0:
        return None
    allowed_seconds = MAX_TARGET_FRACTION * min(target, remaining_seconds)
    excess_seconds = wait + run_seconds - allowed_seconds
    if excess_seconds <= 0.0:
        return None
    return verdict.did_not_run(
        verdict.Reason.OVERLOADED,
        f'the expected wait of {wait:.1f} s misses the target',
        retry_after=min(
            MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, excess_seconds)
        ),
    )


__all__ = (
    'MAX_RETRY_SECONDS',
    'MIN_RETRY_SECONDS',
    'MAX_TARGET_FRACTION',
    'RunTimeAverage',
    'estimated_wait',
    'refuse_if_late',
)
