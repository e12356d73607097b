"""Forwards claim operations to other daemons."""
from __future__ import annotations

import typing

import msgspec
import result

from nutmegworks.claims import forwarder as forwarding
from nutmegworks.claims import record
from nutmegworks.claims import service as claim_service
from nutmegworks.membership import members
from nutmegworks.model import ids
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import service as peer_service
from nutmegworks.policy import call_effect

CLAIM_PATH: typing.Final = '/peer/claims'


class ForwardedOperation(msgspec.Struct, frozen=True, array_like=True):
    """The message that carries a claim operation to the preferred daemon."""

    operation: record.Operation


class PeerForwarder(forwarding.ClaimForwarder):
    """Sends claim operations to the internal listeners of other daemons."""

    def __init__(
        self,
        client: peer_client.PeerClient,
        table: members.Members,
    ) -> None:
        self._client = client
        self._table = table

    async def forward(
        self,
        member_id: ids.MemberId,
        operation: record.Operation,
        *,
        timeout: float,
    ) -> result.Result[record.Reply, forwarding.ForwardError]:
        member = self._table.get(member_id)
        if member is None:
            return result.Err(
                forwarding.ForwardError(f'{member_id} is unknown', False)
            )
        answer = await self._client.call(
            member.address,
            CLAIM_PATH,
            ForwardedOperation(operation),
            record.Reply,
            timeout=timeout,
            # The reply to a second send does not tell whether a write of the
            # first one is still open.
            may_resend=False,
        )
        if isinstance(answer, result.Ok):
            return answer
        error = answer.err_value
        sent = error.effect is call_effect.Effect.UNKNOWN
        return result.Err(forwarding.ForwardError(error.detail, sent))


def register(
    peers: peer_service.PeerService,
    claims: claim_service.ClaimService,
) -> None:
    """Register the handler of claim operations that other daemons forward."""

    async def serve(forwarded: ForwardedOperation) -> record.Reply:
        return await claims.serve(forwarded.operation)

    peers.register(CLAIM_PATH, ForwardedOperation, serve)


__all__ = ('CLAIM_PATH', 'ForwardedOperation', 'PeerForwarder', 'register')
