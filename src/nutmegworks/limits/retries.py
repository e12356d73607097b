"""Bounds how much load retries add when upstreams fail."""
from __future__ import annotations

import random
import typing

from nutmegworks.model import ids

# Attempts stay below 1.19 times the requests plus 3, so within 1.2 times from
# 300 requests on.
RETRIES_PER_REQUEST: typing.Final = 0.19
# Lets a class with few requests retry at all.
INITIAL_RETRIES: typing.Final = 3.0
# A quiet hour must not save up retries for the next outage.
MAX_SAVED_RETRIES: typing.Final = 20.0
BACKOFF_SECONDS: typing.Final = 0.02
MAX_BACKOFF_SECONDS: typing.Final = 1.0


class RetryBudget:
    """A budget of retries for each class, earned by its requests."""

    def __init__(
        self,
        *,
        retries_per_request: float = RETRIES_PER_REQUEST,
        initial: float = INITIAL_RETRIES,
    ) -> None:
        self._retries_per_request = retries_per_request
        self._initial = initial
        self._saved_by_id: dict[ids.ClassId, float] = {}

    def request_started(self, class_id: ids.ClassId) -> None:
        """Count the first attempt of a request."""
        saved = self._saved(class_id) + self._retries_per_request
        self._saved_by_id[class_id] = min(MAX_SAVED_RETRIES, saved)

    def allow_retry(self, class_id: ids.ClassId) -> bool:
        """Take one retry from the budget, if there is one."""
        saved = self._saved(class_id)
        if saved < 1.0:
            return False
        self._saved_by_id[class_id] = saved - 1.0
        return True

    def _saved(self, class_id: ids.ClassId) -> float:
        return self._saved_by_id.get(class_id, self._initial)


def backoff(retry: int, source: random.Random) -> float:
    """Return the seconds to wait before a retry.

    :param retry: 1 for the first retry.

    >>> 0.0 <= backoff(1, random.Random(1)) <= BACKOFF_SECONDS
    True
    """
    longest = BACKOFF_SECONDS * 2**min(retry - 1, 16)
    return source.uniform(0.0, min(MAX_BACKOFF_SECONDS, longest))


__all__ = (
    'BACKOFF_SECONDS',
    'INITIAL_RETRIES',
    'MAX_BACKOFF_SECONDS',
    'MAX_SAVED_RETRIES',
    'RETRIES_PER_REQUEST',
    'RetryBudget',
    'backoff',
)
