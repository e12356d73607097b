"""State of one request that its filters share."""
from __future__ import annotations

import dataclasses

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.net import message
from nutmegworks.telemetry import spans


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request on its way through the filter chain.

    Each filter sets the fields for which it is responsible.

    :param received_at: seconds on the daemon's monotonic clock.
    :param deadline: seconds on the daemon's monotonic clock; a later answer is
        of no use.
    :param attempt_number: number of this attempt with the key as sent by the
        caller, from 1; 0 if the caller sends none.
    :param claim_checked: whether the claim of the key has been checked, so
        that the verdict of a refusal covers earlier attempts too.
    :param attempts: attempts on upstreams so far.
    """

    request: message.Request
    request_id: ids.RequestId
    received_at: float
    span: spans.Span | None = None
    service_id: ids.ServiceId = ids.ServiceId('')
    team: work.Team | None = None
    work_class: work.WorkClass | None = None
    deadline: float = 0.0
    key: ids.IdempotencyKey | None = None
    attempt_number: int = 0
    claim_checked: bool = False
    attempts: int = 0

    @property
    def team_id(self) -> ids.TeamId:
        assert self.team is not None
        return self.team.team_id

    @property
    def entitled_class(self) -> work.WorkClass:
        """The class of the request, after the classify filter has set it."""
        assert self.work_class is not None
        return self.work_class


__all__ = ('RequestContext', )
