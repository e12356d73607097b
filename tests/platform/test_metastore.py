"""Answers of the store that can not be read, or only in part."""
from __future__ import annotations

import base64
import typing

import msgspec
import pytest
import result

from nutmegworks.fleet import interfaces
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.platform import metastore
from nutmegworks.policy import call_effect
from tests import helpers
from tests import odd_documents

GOOD = base64.b64encode(b'good').decode()
ODD_VALUES = ('A', '%%%', '====', '\u00e9', 'QUJD=A')
UNREADABLE = (
    b'',
    b'[]',
    b'{}',
    b'\xff',
    odd_documents.nested({
        'asOf': 5,
        'revision': 5,
        'lease': 1,
        'key': 'a'
    }),
    b'{"asOf":5,"items":[{"key":5}],"events":[{"key":5}],"lease":"x"}',
    b'{"asOf":' + odd_documents.LONG_NUMBER + b',"lease":1e400}',
)
Call = typing.Callable[[metastore.MetadataStore], typing.Awaitable]

CALLS: dict[str, Call] = {
    'get': lambda store: store.get('a'),
    'list': lambda store: store.list('a'),
    'watch': lambda store: store.watch('a', ids.StoreRevision(1), 0.0),
    'commit': lambda store: store.commit(interfaces.Transaction({})),
    'grant': lambda store: store.grant_lease(1.0),
}


class _Transport:
    """Answers each call with one response."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = message.Response(status, body=body)

    async def call(self, *args, **options):
        return result.Ok(self._response)


def _answer(call: Call, body: bytes, status: int = 200) -> typing.Any:
    answers = []

    async def main() -> None:
        store = metastore.MetadataStore(_Transport(status, body))
        answers.append(await call(store))

    helpers.run(main)
    return answers[0]


@pytest.mark.parametrize('body', UNREADABLE, ids=range(len(UNREADABLE)))
@pytest.mark.parametrize('name', CALLS)
def test_an_unreadable_answer_is_an_error(name: str, body: bytes) -> None:
    """Guards against an exception that ends the reader of the store."""
    answer = _answer(CALLS[name], body)
    assert answer.err_value.effect is call_effect.Effect.UNKNOWN
    assert len(answer.err_value.detail) < 300


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'\xff',
        b'{"items":[{"key":5}]}',
        odd_documents.nested({'items': []}),
    ],
    ids=range(5),
)
def test_an_unreadable_conflict_is_an_error(body: bytes) -> None:
    """Guards against an exception that ends the journal."""
    answer = _answer(CALLS['commit'], body, 412)
    assert answer.err_value.effect is call_effect.Effect.UNKNOWN


@pytest.mark.parametrize('value', ODD_VALUES)
@pytest.mark.parametrize('name', ['list', 'watch'])
def test_a_value_that_is_not_base64_spoils_no_other_item(
    name: str, value: str
) -> None:
    """The item stays in place, so that its key is known to be odd."""
    items = [
        {
            'key': 'a1',
            'value': value,
            'revision': 3
        },
        {
            'key': 'a2',
            'value': GOOD,
            'revision': 4
        },
    ]
    body = msgspec.json.encode({'asOf': 5, 'items': items, 'events': items})
    changes = _answer(CALLS[name], body).ok_value
    assert [(item.key, item.value)
            for item in changes.items] == [('a1', b''), ('a2', b'good')]
    assert changes.revision == 5


@pytest.mark.parametrize('value', ODD_VALUES)
def test_one_value_that_is_not_base64_is_an_empty_value(value: str) -> None:
    """No reader accepts it as a document."""
    body = msgspec.json.encode({'key': 'a', 'value': value, 'revision': 3})
    item = _answer(CALLS['get'], body).ok_value
    assert (item.value, item.revision) == (b'', 3)
