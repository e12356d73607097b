from __future__ import annotations

import pytest

from nutmegworks.entry import jobs
from nutmegworks.entry import operators
from nutmegworks.model import published
from nutmegworks.model import verdict
from nutmegworks.net import message
from nutmegworks.peers import authentication
from nutmegworks.peers import client
from nutmegworks.peers import messages
from nutmegworks.peers import service
from tests import builders
from tests import helpers

KEY = b'sixteen bytes or more'
NESTED = b'[' * 100_000
NESTED_MESSAGE = b'\x91' * 100_000


class AnyTeam:
    """Accepts each token."""

    def find_team(self, token: str):
        return builders.team()


def make_job_endpoint() -> jobs.JobEndpoint:
    configuration = published.Published()
    configuration.publish(builders.configuration())
    return jobs.JobEndpoint(None, configuration, AnyTeam(), None)


def submit(body: bytes, key: str = '1-a') -> message.Response:
    headers = {'idempotency-key': key, 'nutmeg-attempt': '1'}
    request = message.Request('POST', '/v1/jobs', headers, body)
    answers = []

    async def main() -> None:
        answers.append(await make_job_endpoint().submit(request, {}))

    helpers.run(main)
    return answers[0]


@pytest.mark.parametrize(
    'body',
    [
        b'{"payload": ' + NESTED,
        NESTED,
        b'',
        b'{"class": "plan", "shape": "1x8", "run_time": ' + b'9' * 5000 + b'}',
        b'{"class": "plan", "shape": "9999999x8", "run_time": 1}',
    ],
)
def test_odd_job_is_refused_with_a_verdict(body: bytes) -> None:
    """A caller whose connection only closes can't tell if the job runs."""
    response = submit(body)
    assert response.status == 400
    expected = verdict.Verdict.DID_NOT_RUN.value
    assert response.headers['nutmeg-verdict'] == expected


def test_odd_change_is_refused() -> None:
    """An odd change must not close the operator's connection."""
    request = message.Request('POST', '/v1/config/changes', {}, NESTED)
    deep = message.Request(
        'POST', '/v1/config/changes', {},
        b'{"base": 0, "change": ["c", "me", 0, [], ' + NESTED
    )
    endpoint = operators.ConfigurationEndpoint(None, None)

    async def main() -> None:
        for item in (request, deep):
            assert (await endpoint.change(item, {})).status == 400

    helpers.run(main)


def test_nested_peer_message_is_refused() -> None:
    """Neither side may end on a message from a daemon of another version."""
    peers = service.PeerService(KEY)

    async def answer(pull: messages.Pull) -> None:
        return None

    peers.register(messages.PULL_PATH, messages.Pull, answer)
    body = b'\x92\x00' + NESTED_MESSAGE
    mac = authentication.compute_mac(KEY, messages.PULL_PATH, body)
    request = message.Request(
        'POST', messages.PULL_PATH, {authentication.MAC_HEADER: mac}, body
    )

    async def reply_nested(request: message.Request) -> message.Response:
        received = request.headers[authentication.MAC_HEADER]
        code = authentication.compute_mac(KEY, received, body)
        return message.Response(200, {authentication.MAC_HEADER: code}, body)

    async def main() -> None:
        assert (await peers.handle(request)).status == 400
        async with helpers.serving(reply_nested) as address:
            replied = await client.PeerClient(KEY).call(
                address, messages.PULL_PATH, messages.Pull(0),
                messages.OfferReply
            )
            assert replied.err_value.fault is client.PeerFault.REFUSED

    helpers.run(main)
