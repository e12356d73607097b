"""Answers of executors, also malformed ones."""
from __future__ import annotations

import pytest
import result

from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.platform import executors
from nutmegworks.platform import wire
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers
from tests import odd_documents

SEED = 32
VARIANTS = 3000


class _Connections:
    """Answers each request with one response."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = message.Response(status, body=body)

    async def send_renewal(self, address, request, *, timeout):
        return result.Ok(self._response)

    async def send_order(self, address, request, *, timeout, fresh):
        return result.Ok(self._response)


def _entry() -> workers.WorkerEntry:
    store = memory.MemoryStore()
    builders.put_worker(store, 'w1')
    item = store.item_by_key['servers/w1']
    return wire.PlatformDecoder().worker(item.key, item.value)


def _renew(body: bytes, status: int = 200):
    entry = _entry()
    answers = []

    async def main() -> None:
        client = executors.ExecutorClient(_Connections(status, body))
        answers.append(
            await client.renew(
                entry, ids.FencingToken(1), 0, lease_until=None, wait=0.0
            )
        )

    helpers.run(main)
    return answers[0]


def test_report() -> None:
    """Guards against fields of a report that change places."""
    answer = _renew(
        b'{"clockMs":482113,"born":7,'
        b'"running":[["5c0e.0.1.17",2,"0b",41,3]],'
        b'"ended":[[58,"5c0e.0.1.9",1,"done",""]]}'
    )

    report = answer.ok_value
    assert (report.clock, report.incarnation) == (482113, 7)
    [status] = report.running
    assert (status.task.index, status.run) == (17, 2)
    assert (status.checkpoint, status.percent) == ('0b', 41)
    [end] = report.ended
    assert (end.number, end.task.index, end.run) == (58, 9, 1)
    assert (end.kind, end.checkpoint) == (workers.EndKind.DONE, '')


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{}',
        b'{"clockMs":1,"running":[["5c0e.0.1.17"]]}',
        b'{"clockMs":1,"running":[["5c0e.0.1.17",2,"",null]]}',
        b'{"clockMs":1,"running":[["17",2,"",4]]}',
        b'{"clockMs":1,"running":[5]}',
        b'{"clockMs":1,"ended":[[1,"5c0e.0.1.9",1,"vanished",""]]}',
        b'{"clockMs":1,"ended":[["1","5c0e.0.1.9",1,"done",""]]}',
        b'{"clockMs":1,"ended":[[1,"5c0e.0.1.9"]]}',
    ],
)
def test_malformed_report_is_an_error_of_the_call(body: bytes) -> None:
    """Guards against a report that ends the renewals of its worker."""
    assert _renew(body).is_err()


@pytest.mark.parametrize('status', [421, 503])
def test_only_another_executor_proves_that_the_worker_has_ended(
    status: int
) -> None:
    """Guards against runs that are given up because of an overload."""
    answer = _renew(b'{"clockMs":1}', status)

    assert answer.err_value.replaced is (status == 421)


ODD_REPORTS = {
    'nested':
    odd_documents.nested({'clockMs': 1}),
    'clock above a float':
    b'{"clockMs":' + odd_documents.LONG_NUMBER + b'}',
    'clock of 64 bits':
    b'{"clockMs":18446744073709551615}',
    'negative clock':
    b'{"clockMs":-1}',
    'clock out of range':
    b'{"clockMs":1e400}',
    'born above a float':
    b'{"clockMs":1,"born":' + odd_documents.LONG_NUMBER + b'}',
    'born long after today':
    b'{"clockMs":1,"born":9223372036854775807}',
    'percent out of range':
    b'{"clockMs":1,"running":[["5c0e.0.1.17",2,"",1e400]]}',
    'negative run':
    b'{"clockMs":1,"running":[["5c0e.0.1.17",-2,"",4]]}',
    'negative step':
    b'{"clockMs":1,"running":[["5c0e.0.-1.17",2,"",4]]}',
    'signed index':
    b'{"clockMs":1,"running":[["5c0e.0.1.+7",2,"",4]]}',
    'digits of another script':
    '{"clockMs":1,"running":[["5c0e.0.1.\u0661",2,"",4]]}'.encode(),
    'long index':
    b'{"clockMs":1,"running":[["5c0e.0.1.' + b'9' * 5000 + b'",2,"",4]]}',
    'no job':
    b'{"clockMs":1,"running":[[".0.1.7",2,"",4]]}',
    'end number above a float':
    b'{"clockMs":1,"ended":[[' + odd_documents.LONG_NUMBER +
    b',"5c0e.0.1.9",1,"done",""]]}',
    'negative end number':
    b'{"clockMs":1,"ended":[[-1,"5c0e.0.1.9",1,"done",""]]}',
}


@pytest.mark.parametrize('name', ODD_REPORTS)
def test_an_odd_report_is_an_error_of_the_call(name: str) -> None:
    """Guards against numbers that fail only in the next request.

    Then the session would neither renew the lease nor notice its end.
    """
    answer = _renew(ODD_REPORTS[name])
    assert len(answer.err_value.detail) < 300


@pytest.mark.parametrize(
    ('percent', 'expected'),
    [('1e300', 100), ('100.5', 100), ('-3', 0), ('41.9', 41)],
)
def test_progress_is_between_0_and_100(percent: str, expected: int) -> None:
    """Guards against a remaining time that is negative or no number."""
    body = f'{{"clockMs":1,"running":[["5c0e.0.1.17",2,"",{percent}]]}}'
    [status] = _renew(body.encode()).ok_value.running
    assert status.percent == expected


@pytest.mark.parametrize(
    'body', [b'', b'[]', odd_documents.nested({'reason': 'old'})]
)
def test_an_odd_rejection_is_an_unknown_outcome(body: bytes) -> None:
    """Guards against an exception that leaves the run without an outcome."""
    outcomes = []

    async def main() -> None:
        client = executors.ExecutorClient(_Connections(409, body))
        request = workers.StartRequest(
            spec.TaskKey.parse('5c0e.0.1.17'),
            workers.RunNumber(1),
            'text',
            1,
            ids.FencingToken(1),
        )
        outcomes.append(await client.start(_entry(), request))

    helpers.run(main)
    assert outcomes == [workers.StartOutcome.UNKNOWN]


def test_random_odd_reports_are_decoded_or_rejected() -> None:
    """Whatever is decoded can be used for the next request."""
    accepted = 0
    document = {
        'clockMs': 482113,
        'born': 7,
        'running': [['5c0e.0.1.17', 2, '0b', 41, 3]],
        'ended': [[58, '5c0e.0.1.9', 1, 'done', '']],
    }
    for data in odd_documents.mutations(document, SEED, VARIANTS):
        try:
            report = executors.decode_report(data)
        except ValueError as error:
            assert len(str(error)) < 300
            continue
        accepted += 1
        assert 0 <= report.clock <= 2**53
        assert 0 <= report.incarnation < 10**14
        assert all(0 <= status.percent <= 100 for status in report.running)
        assert all(1 <= end.number <= 2**53 for end in report.ended)
    assert 0 < accepted < VARIANTS / 2
