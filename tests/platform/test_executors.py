"""Answers of executors, also malformed ones."""
from __future__ import annotations

import pytest
import result

from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.platform import executors
from nutmegworks.platform import wire
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers


class _Pool:
    """Answers each request with one response."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = message.Response(status, body=body)

    async def exchange(self, address, request, *, timeout, fresh=False):
        return result.Ok(self._response)


def _renew(body: bytes, status: int = 200):
    store = memory.MemoryStore()
    builders.put_worker(store, 'w1')
    item = store.item_by_key['servers/w1']
    entry = wire.PlatformDecoder().worker(item.key, item.value)
    answers = []

    async def main() -> None:
        client = executors.ExecutorClient(_Pool(status, body))
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
