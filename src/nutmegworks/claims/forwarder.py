"""Interface for forwarding claim operations to the preferred daemon."""
from __future__ import annotations

import abc
import dataclasses

import result

from nutmegworks.claims import record
from nutmegworks.model import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardError:
    """A forwarded operation that got no reply.

    :param sent: whether the other daemon may have received the operation.
    """

    detail: str
    sent: bool


class ClaimForwarder(abc.ABC):
    """Sends an operation to another daemon's ``ClaimService.serve``."""

    @abc.abstractmethod
    async def forward(
        self,
        member_id: ids.MemberId,
        operation: record.Operation,
        *,
        timeout: float,
    ) -> result.Result[record.Reply, ForwardError]:
        """Return the reply of the other daemon.

        :param timeout: seconds, including the time to connect.
        """


__all__ = ('ClaimForwarder', 'ForwardError')
