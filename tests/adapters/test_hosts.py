from __future__ import annotations

import pytest
import result

from nutmegworks.adapters import hosts
from nutmegworks.net import message
from tests import helpers

SOUND = (
    '{"host_id": "n1", "role": "worker", "address": "127.0.0.1:80",'
    ' "domain": "d", "state": "live"}'
)


def fetch(body: bytes) -> result.Result[tuple[hosts.Host, ...], str]:
    fetched = []

    async def answer(request: message.Request) -> message.Response:
        return message.Response(200, {}, body)

    async def main() -> None:
        async with helpers.serving(answer) as address:
            fetched.append(await hosts.HttpHostList(address).fetch())

    helpers.run(main)
    return fetched[0]


@pytest.mark.parametrize(
    'odd',
    [
        SOUND.replace(':80', ':80000'),
        SOUND.replace(':80', ':-1'),
        SOUND.replace(':80', ':'),
        SOUND.replace('127.0.0.1', 'a..b'),
        SOUND.replace('127.0.0.1', '127.0.0.1\\u0000'),
        SOUND.replace('worker', 'witness'),
        SOUND.replace('live', 'resting'),
        SOUND.replace('"d"', '7'),
        SOUND.replace('"d"', '"d", "accelerators": -1'),
        SOUND.replace('"d"', '"d", "accelerators": 9000000000000'),
        'null',
    ],
)
def test_odd_entry_is_skipped(odd: str) -> None:
    """An entry that can't be used must not hide the other hosts."""
    sound = fetch(f'{{"hosts": [{SOUND}]}}'.encode()).ok_value
    assert len(sound) == 1
    assert fetch(f'{{"hosts": [{odd}, {SOUND}]}}'.encode()).ok_value == sound


@pytest.mark.parametrize(
    'body',
    [b'', b'{}', b'{"hosts": 7}', b'{"hosts": [], "x":' + b'[' * 100_000],
)
def test_damaged_list_is_an_error(body: bytes) -> None:
    """A list that can't be read must not end its reader."""
    assert fetch(body).is_err()
