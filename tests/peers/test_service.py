from __future__ import annotations

import curio
import result

from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.peers import client
from nutmegworks.peers import messages
from nutmegworks.peers import service
from tests import helpers

KEY = b'sixteen bytes or more'


async def answer(pull: messages.Pull) -> messages.Known | None:
    return messages.Known(pull.after) if pull.after else None


def make_service(key: bytes = KEY) -> service.PeerService:
    made = service.PeerService(key)
    made.register(messages.PULL_PATH, messages.Pull, answer)
    return made


def test_only_holders_of_the_key_are_served_and_believed() -> None:
    """Whoever reaches the port must not change the configuration."""

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
                    address, messages.PULL_PATH, pull, messages.Known
                )
                if isinstance(reply, result.Err):
                    return reply.err_value
                return reply.ok_value.sequence

            assert await call(messages.Pull(7)) == 7
            # The reply to another request is authentic but not this one's.
            error = await call(messages.Pull(8))
            assert isinstance(error, client.PeerError)
            assert error.fault is client.PeerFault.NOT_AUTHENTIC
            stranger = client.PeerClient(KEY + b'?')
            refused = await stranger.call(
                address, messages.PULL_PATH, messages.Pull(7), messages.Known
            )
            assert isinstance(refused.err_value, client.PeerError)
            assert replies[-1].status == 401

    helpers.run(main)


def test_moved_or_damaged_messages_are_refused() -> None:
    """A message must not be taken for one of another kind."""

    async def main() -> None:
        genuine = make_service()
        seen: list[message.Request] = []

        async def tap(request: message.Request) -> message.Response:
            seen.append(request)
            return await genuine.handle(request)

        async with helpers.serving(tap) as address:
            caller = client.PeerClient(KEY)
            busy = await caller.call(
                address, messages.PULL_PATH, messages.Pull(0), messages.Known
            )
            assert busy.err_value.detail == 'status 503'
            bad = await caller.call(
                address, messages.PULL_PATH, messages.Offer(()), messages.Known
            )
            assert bad.err_value.detail == 'status 400'
        moved = message.Request(
            'POST', messages.OFFER_PATH, seen[0].headers, seen[0].body
        )
        assert (await genuine.handle(moved)).status == 401
        bare = message.Request('POST', messages.PULL_PATH)
        assert (await genuine.handle(bare)).status == 401

    helpers.run(main)


def test_silent_idle_connection_does_not_accuse_the_peer() -> None:
    """A connection that went silent must cost one timeout, not a member."""

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
                    messages.Known
                )
                assert reply.is_ok()
            assert count == 3

    helpers.run(main)
