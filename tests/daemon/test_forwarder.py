from __future__ import annotations

import types

import result

from nutmegworks.claims import record
from nutmegworks.daemon import forwarder
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.peers import client
from nutmegworks.peers import service
from tests.claims import operations
from tests import helpers

KEY = b'sixteen bytes or more'
PEER = ids.MemberId('d1')


class PreferredDaemon:
    """Answers claims; a claim that it loses may be stored later.

    :ivar lost: number of the message whose connection breaks, from 1.
    """

    def __init__(self) -> None:
        self.lost = 0
        self.received = 0
        self._service = service.PeerService(KEY)
        self._service.register(
            forwarder.CLAIM_PATH, forwarder.ForwardedOperation, self._answer
        )

    async def _answer(self, forwarded) -> record.Reply:
        return record.Reply(record.Status.STORE_UNAVAILABLE)

    async def handle(self, request: message.Request) -> message.Response:
        self.received += 1
        if self.received == self.lost:
            raise server.AbortConnection()
        return await self._service.handle(request)


def make_forwarder(address) -> forwarder.PeerForwarder:
    member = types.SimpleNamespace(address=address)
    table = types.SimpleNamespace(get={PEER: member}.get)
    return forwarder.PeerForwarder(client.PeerClient(KEY), table)


async def forward(forwarding: forwarder.PeerForwarder):
    return await forwarding.forward(
        PEER, operations.claim_operation(), timeout=0.5
    )


def test_claim_whose_connection_broke_may_be_stored() -> None:
    """The reply to a second send must not hide that the first may be stored.

    The claim would not be released and would block its key for an hour.
    """

    async def main() -> None:
        peer = PreferredDaemon()
        async with helpers.serving(peer.handle) as address:
            forwarding = make_forwarder(address)
            confirmed = (await forward(forwarding)).ok_value
            assert not confirmed.write_sent
            peer.lost = 2
            lost = await forward(forwarding)
            assert isinstance(lost, result.Err) and lost.err_value.sent
            assert peer.received == 2

    helpers.run(main)


def test_claim_to_an_unreachable_daemon_was_not_sent() -> None:
    """A dead preferred daemon must not make each refusal uncertain."""

    async def main() -> None:
        async with helpers.serving(PreferredDaemon().handle) as address:
            pass
        refused = await forward(make_forwarder(address))
        assert not refused.err_value.sent

    helpers.run(main)
