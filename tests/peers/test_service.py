from __future__ import annotations

import curio
import result

from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.peers import client
from nutmegworks.peers import messages
from nutmegworks.peers import service
from nutmegworks.policy import call_effect
from tests import helpers

KEY = b'sixteen bytes or more'


async def answer(pull: messages.Pull) -> messages.OfferReply | None:
    return messages.OfferReply(pull.after) if pull.after else None


def make_service(key: bytes = KEY) -> service.PeerService:
    peer_service = service.PeerService(key)
    peer_service.register(messages.PULL_PATH, messages.Pull, answer)
    return peer_service


def test_messages_without_the_cluster_key_are_rejected() -> None:
    """Access to the port must not suffice to change the configuration."""

    async def main() -> None:
        replies: list[message.Response] = []
        genuine = make_service()

        async def replaying(request: message.Request) -> message.Response:
            replies.append(await genuine.handle(request))
            return replies[0]

        async with helpers.serving(replaying) as address:
            caller = client.PeerClient(KEY)

            async def call(pull: messages.Pull) -> client.PeerError | int:
                reply = await caller.call(
                    address, messages.PULL_PATH, pull, messages.OfferReply
                )
                if isinstance(reply, result.Err):
                    return reply.err_value
                return reply.ok_value.sequence

            assert await call(messages.Pull(7)) == 7
            # An authentic reply to another request must be rejected.
            error = await call(messages.Pull(8))
            assert isinstance(error, client.PeerError)
            assert error.fault is client.PeerFault.NOT_AUTHENTIC
            stranger = client.PeerClient(KEY + b'?')
            refused = await stranger.call(
                address, messages.PULL_PATH, messages.Pull(7),
                messages.OfferReply
            )
            assert isinstance(refused.err_value, client.PeerError)
            assert replies[-1].status == 401

    helpers.run(main)


def test_redirected_or_malformed_messages_are_refused() -> None:
    """A message must not be accepted as one of another type."""

    async def main() -> None:
        genuine = make_service()
        seen: list[message.Request] = []

        async def recording(request: message.Request) -> message.Response:
            seen.append(request)
            return await genuine.handle(request)

        async with helpers.serving(recording) as address:
            caller = client.PeerClient(KEY)
            busy = await caller.call(
                address, messages.PULL_PATH, messages.Pull(0),
                messages.OfferReply
            )
            assert busy.err_value.detail == 'status 503'
            bad = await caller.call(
                address, messages.PULL_PATH, messages.Offer(()),
                messages.OfferReply
            )
            assert bad.err_value.detail == 'status 400'
        redirected = message.Request(
            'POST', messages.OFFER_PATH, seen[0].headers, seen[0].body
        )
        assert (await genuine.handle(redirected)).status == 401
        unauthenticated = message.Request('POST', messages.PULL_PATH)
        assert (await genuine.handle(unauthenticated)).status == 401

    helpers.run(main)


def test_unresponsive_idle_connection_does_not_fail_the_call() -> None:
    """An unresponsive connection must cost one timeout, not the call."""

    async def main() -> None:
        genuine = make_service()
        count = 0

        async def flaky(request: message.Request) -> message.Response:
            nonlocal count
            count += 1
            if count == 2:
                await curio.sleep(30.0)
            return await genuine.handle(request)

        limits = server.Limits()
        async with helpers.serving(flaky, limits=limits) as address:
            caller = client.PeerClient(KEY, timeout=0.2)
            for _ in range(2):
                reply = await caller.call(
                    address, messages.PULL_PATH, messages.Pull(3),
                    messages.OfferReply
                )
                assert reply.is_ok()
            assert count == 3

    helpers.run(main)


def test_effect_of_a_message_covers_each_send() -> None:
    """A refused connection must not hide that the first send arrived."""

    async def main() -> None:
        genuine = make_service()
        received = 0

        async def breaking(request: message.Request) -> message.Response:
            nonlocal received
            received += 1
            if received == 2:
                await listener.drain(limit=0.0)
                raise server.AbortConnection()
            return await genuine.handle(request)

        listener = server.Server(breaking)
        await listener.start('127.0.0.1', 0)
        caller = client.PeerClient(KEY)

        async def call() -> result.Result:
            return await caller.call(
                listener.address, messages.PULL_PATH, messages.Pull(3),
                messages.OfferReply
            )

        assert (await call()).is_ok()
        lost = (await call()).err_value
        assert lost.fault is client.PeerFault.UNREACHABLE
        assert lost.effect is call_effect.Effect.UNKNOWN
        assert received == 2 and caller.calls == 3
        assert (await call()).err_value.effect is call_effect.Effect.NONE

    helpers.run(main)
