"""What the filters of one request share."""
from __future__ import annotations

import dataclasses

from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.net import message
from nutmegworks.telemetry import spans


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request on its way through the chain.

    Each filter fills the fields it is named for.

    :param received: seconds on the daemon's monotonic clock.
    :param deadline: seconds on the daemon's monotonic clock.
    :param attempt_number: the caller's count of its attempts with this key,
        from 1; 0 if it does not count.
    :param claim_settled: whether the verdict of a refusal takes the claim of
        the key into account.
    """

    request: message.Request
    request_id: ids.RequestId
    received: float
    span: spans.Span | None = None
    service_id: ids.ServiceId = ids.ServiceId('')
    team: work.Team | None = None
    work_class: work.WorkClass | None = None
    deadline: float = 0.0
    key: ids.IdempotencyKey | None = None
    attempt_number: int = 0
    claim_settled: bool = False
    attempts: int = 0

    @property
    def team_id(self) -> ids.TeamId:
        assert self.team is not None
        return self.team.team_id

    @property
    def entitled_class(self) -> work.WorkClass:
        """The class, once the classify filter has accepted it."""
        assert self.work_class is not None
        return self.work_class


__all__ = ('RequestContext', )
