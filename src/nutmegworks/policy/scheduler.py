"""Decides what runs where in one failure domain."""
from __future__ import annotations

import random

from nutmegworks.model import ids
from nutmegworks.policy import events
from nutmegworks.policy import interfaces


class Scheduler:
    """State and decisions of one failure domain.

    It does no I/O and reads no clock. The caller feeds it events in order
    and carries out the returned actions.

    :param domain_id: selects the guarantees that apply.
    :param random_source: used only by the random placement policy.
    """

    def __init__(
        self,
        domain_id: ids.DomainId,
        *,
        random_source: random.Random,
        estimator: interfaces.RunTimeEstimator | None = None,
        queue_order: interfaces.QueueOrder | None = None,
        quarantine: interfaces.Quarantine | None = None,
    ) -> None:
        self._domain_id = domain_id

    def handle(
        self,
        event: events.Event,
        now: float,
    ) -> list[events.Action]:
        """Apply one event and return the actions that follow from it.

        :param now: seconds; never decreases between calls.
        """
        raise NotImplementedError


__all__ = ('Scheduler', )
