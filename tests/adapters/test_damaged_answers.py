from __future__ import annotations

import pytest
import result

from nutmegworks.adapters import httpstore
from nutmegworks.adapters import store
from nutmegworks.adapters import upstreams
from nutmegworks.adapters import workers
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import pool
from tests import helpers

DEEP = b'{"x":' + b'[' * 100_000
ORDER = workers.Order(
    step=workers.Step.GO,
    run_id=ids.RunId('r'),
    fencing_token=ids.FencingToken(1),
)
STATE = (
    b'{"worker_id": "w", "rack": "r", "accelerators": 8,'
    b' "fencing_token": 1, "tasks": []}'
)


def call(make_call, response: message.Response) -> result.Result:
    """Make a call that gets the response."""
    answers = []

    async def answer(request: message.Request) -> message.Response:
        return response

    async def main() -> None:
        async with helpers.serving(answer) as address:
            answers.append(await make_call(address))

    helpers.run(main)
    return answers[0]


STORE_CALLS = {
    'get': lambda client: client.get('a'),
    'put': lambda client: client.put('a', b'', expected=store.ABSENT),
    'delete': lambda client: client.delete('a', expected=store.ABSENT),
    'range': lambda client: client.range('a'),
    'watch': lambda client: client.watch('a', after=store.ABSENT, wait=0.0),
    'grant_lease': lambda client: client.grant_lease(1.0),
    'renew_lease': lambda client: client.renew_lease(store.LeaseId('l')),
}


@pytest.mark.parametrize(
    ('name', 'response'),
    [
        ('get', message.Response(200, {'store-revision': 'x'})),
        ('get', message.Response(200, {})),
        ('put', message.Response(200, {'store-revision': '-1'})),
        ('put', message.Response(200, {})),
        ('put', message.Response(404, {})),
        ('put', message.Response(409, {'store-revision': 'x'})),
        ('delete', message.Response(404, {})),
        ('renew_lease', message.Response(404, {})),
        ('range', message.Response(404, {}, b'{}')),
        ('range', message.Response(200, {}, b'{}')),
        ('range', message.Response(200, {}, DEEP)),
        ('watch', message.Response(200, {}, b'')),
        ('watch', message.Response(200, {}, DEEP)),
        ('grant_lease', message.Response(200, {}, b'[]')),
        ('grant_lease', message.Response(200, {}, DEEP)),
    ],
)
def test_unusable_answer_of_the_store_is_of_unknown_effect(
    name: str,
    response: message.Response,
) -> None:
    """It must not end its reader, nor pass for a write that was stored."""
    answered = call(
        lambda address: STORE_CALLS[name](httpstore.HttpStore(address)),
        response,
    )
    expected = store.StoreFault.UNKNOWN
    if response.status == 409:
        expected = store.StoreFault.CONFLICT
    assert answered.err_value.fault is expected


@pytest.mark.parametrize(
    'body',
    [
        DEEP,
        b'',
        STATE.replace(b'8', b'-8'),
        STATE.replace(b'8', b'8000000000000'),
        STATE.replace(b'8', b'9' * 400),
    ],
)
def test_unusable_report_of_a_worker_is_no_answer(body: bytes) -> None:
    """One odd worker must not end the polls of all."""
    sound = call(_report, message.Response(200, {}, STATE))
    assert sound.ok_value.accelerators == 8
    answered = call(_report, message.Response(200, {}, body))
    assert answered.err_value.fault is workers.WorkerFault.NO_ANSWER


async def _report(address):
    return await workers.HttpWorkerClient().report(address)


@pytest.mark.parametrize(
    'response',
    [
        message.Response(200, {}, DEEP),
        message.Response(200, {}, b'{"run_id": "x", "phase": "finished"}'),
        message.Response(409, {}, DEEP),
        message.Response(409, {}, b'{"reason": "asleep"}'),
    ],
)
def test_unusable_answer_of_a_worker_is_no_answer(
    response: message.Response,
) -> None:
    """It must neither end a task that runs nor the owner of the shard."""
    answered = call(
        lambda address: workers.HttpWorkerClient().send(address, ORDER),
        response,
    )
    assert answered.err_value.fault is workers.WorkerFault.NO_ANSWER


def test_unusable_report_of_an_upstream_is_an_error() -> None:
    """One odd upstream must not end the polls of all."""
    answered = call(
        lambda address: upstreams.HttpUpstreamClient(pool.Pool()).
        report(address),
        message.Response(200, {}, DEEP),
    )
    assert answered.is_err()
