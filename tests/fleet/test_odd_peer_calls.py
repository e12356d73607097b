"""Calls between hosts as no host of this version sends them."""
from __future__ import annotations

import typing

import pytest

from nutmegworks.fleet import leader
from nutmegworks.fleet import leader_client
from nutmegworks.fleet import membership
from nutmegworks.fleet import relay
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.policy import call_effect
from nutmegworks.tasks import records
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers
from tests import odd_documents

HEADERS = {
    relay.METHOD_HEADER: 'GET',
    relay.TARGET_HEADER: '/kv-key?key=a',
    relay.TIMEOUT_HEADER: '1.000',
}

ODD_HEADERS = {
    'no header': {},
    'no method': {
        relay.TARGET_HEADER: '/a',
        relay.TIMEOUT_HEADER: '1'
    },
    'no target': {
        relay.METHOD_HEADER: 'GET',
        relay.TIMEOUT_HEADER: '1'
    },
    **{
        f'timeout {text!r}': {
            **HEADERS, relay.TIMEOUT_HEADER: text
        }
        for text in ('', 'x', 'nan', 'inf', '-1', '0', '1e999', '9' * 5000)
    },
}


class _Route(relay.DirectRoute):
    """Answers each call and records the time limits."""

    def __init__(self) -> None:
        self.timeouts: list[float] = []

    async def direct(
        self,
        request: message.Request,
        timeout: float,
    ) -> message.Response | relay.Failure:
        self.timeouts.append(timeout)
        return message.Response(200, {}, b'stored')


@pytest.mark.parametrize('name', ODD_HEADERS)
def test_an_odd_relayed_call_is_refused_without_effect(name: str) -> None:
    """Guards against a broken connection, which counts as an unknown effect.

    The sender must learn that the store has not seen the call.
    """

    async def main() -> None:
        route = _Route()
        request = message.Request('POST', relay.PATH, ODD_HEADERS[name])
        response = await relay.serve(route, request)
        assert response.status == 400
        assert relay.decode_failure(
            response
        ).err_value is call_effect.Effect.NONE
        assert route.timeouts == []

    helpers.run(main)


def test_a_relayed_call_is_sent_within_the_time_of_its_sender() -> None:

    async def main() -> None:
        route = _Route()
        request = message.Request('POST', relay.PATH, HEADERS)
        response = await relay.serve(route, request)
        assert (response.status, response.body) == (200, b'stored')
        assert route.timeouts == [0.9]

    helpers.run(main)


@pytest.mark.parametrize('text', ['', 'perhaps', '\u00e9'])
def test_an_effect_without_a_known_name_is_unknown(text: str) -> None:
    """Guards against an exception in the call, and a wrong certainty."""
    response = message.Response(503, {relay.FAILED_HEADER: text})
    failed = relay.decode_failure(response)
    assert failed.err_value is call_effect.Effect.UNKNOWN


@pytest.mark.parametrize(
    'target',
    [
        '/state',
        '/state?',
        '/state?queue=q1',
        '/state?job=',
        '/pending',
        '/pending?job=a1',
        '/pending?%ff%fe=%00&&&=',
    ],
)
def test_a_query_without_its_parameter_is_answered_400(target: str) -> None:
    """Guards against a broken connection."""

    async def main() -> None:
        store, fleet = memory.MemoryStore(), memory.MemoryWorkers()
        async with builders.running_term(store, fleet) as term:
            await builders.wait_until(lambda: term.loaded)
            request = message.Request('GET', target)
            response = await leader_client.serve(term, request)
            assert response.status == 400

    helpers.run(main)


async def _query(address: tuple[str, int]) -> list[typing.Any]:
    """Ask the leader at an address for a state and a count."""
    member = builders.member(memory.MemoryStore())
    await member.observe_leader(
        membership.Leadership(
            ids.StoreRevision(1), records.Leader('other', 'i', *address)
        )
    )
    candidate = leader.Candidate(member, lambda leadership: None)
    client = leader_client.HttpLeaderClient(member, candidate, pool.Pool())
    return [await client.state(ids.JobId('a1')), await client.pending('q1')]


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'\xff',
        b'{"state":"melted","pending":"x"}',
        b'{"state":5,"pending":' + odd_documents.LONG_NUMBER + b'}',
        odd_documents.nested({
            'state': None,
            'pending': 1
        }),
    ],
    ids=range(6),
)
def test_an_odd_answer_of_the_leader_is_no_answer(body: bytes) -> None:
    """Guards against a client's call that ends without a response."""

    async def answer(request: message.Request) -> message.Response:
        return message.Response(200, {}, body)

    async def main() -> None:
        async with helpers.serving(answer) as address:
            for outcome in await _query(address):
                assert outcome.is_err()

    helpers.run(main)
