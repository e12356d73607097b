"""Limits the load that retries add when upstreams fail."""
from __future__ import annotations

import random
import typing

from nutmegworks.model import ids

# Attempts stay below 1.19 times the number of requests plus 3, which is within
# 1.2 times from 300 requests on.
RETRIES_PER_REQUEST: typing.Final = 0.19
# Allows a class with few requests to retry at all.
INITIAL_RETRIES: typing.Final = 3.0
# Caps the budget, so that a long time without failures does not accumulate
# retries for the next outage.
MAX_AVAILABLE_RETRIES: typing.Final = 20.0
BACKOFF_SECONDS: typing.Final = 0.02
MAX_BACKOFF_SECONDS: typing.Final = 1.0


class RetryBudget:
    """A retry budget per class, refilled by the requests of the class."""

    def __init__(
        self,
        *,
        retries_per_request: float = RETRIES_PER_REQUEST,
        initial: float = INITIAL_RETRIES,
    ) -> None:
        self._retries_per_request = retries_per_request
        self._initial = initial
        self._available_by_id: dict[ids.ClassId, float] = {}

    def request_started(self, class_id: ids.ClassId) -> None:
        """Add the share of a new request to the budget of its class."""
        available = self._available(class_id) + self._retries_per_request
        self._available_by_id[class_id] = min(MAX_AVAILABLE_RETRIES, available)

    def allow_retry(self, class_id: ids.ClassId) -> bool:
        """Consume one retry of the budget.

        :return: False if the budget is exhausted.
        """
        available = self._available(class_id)
        if available < 1.0:
            return False
        self._available_by_id[class_id] = available - 1.0
        return True

    def _available(self, class_id: ids.ClassId) -> float:
        return self._available_by_id.get(class_id, self._initial)


def backoff(retry_number: int, rng: random.Random) -> float:
    """Return a random delay before a retry, in seconds.

    The upper bound doubles with each retry.

    :param retry_number: 1 for the first retry.

    >>> 0.0 <= backoff(1, random.Random(1)) <= BACKOFF_SECONDS
    True
    """
    max_delay = BACKOFF_SECONDS * 2**min(retry_number - 1, 16)
    return rng.uniform(0.0, min(MAX_BACKOFF_SECONDS, max_delay))


__all__ = (
    'BACKOFF_SECONDS',
    'INITIAL_RETRIES',
    'MAX_BACKOFF_SECONDS',
    'MAX_AVAILABLE_RETRIES',
    'RETRIES_PER_REQUEST',
    'RetryBudget',
    'backoff',
)
