from __future__ import annotations

import curio
import hypothesis
from hypothesis import strategies
import pytest

from nutmegworks.net import message
from nutmegworks.net import server
from tests import helpers

LIMITS = server.Limits(
    max_body=1000, request_timeout=0.3, idle_timeout=1.0, max_connections=4
)


async def _echo(request: message.Request) -> message.Response:
    return message.Response(200, {}, request.body)


async def _send_raw(address: tuple[str, int], data: bytes) -> bytes:
    sock = await curio.open_connection(*address)
    async with sock:
        received = b''
        try:
            await sock.sendall(data)
            while True:
                part = await curio.timeout_after(3.0, sock.recv, 65536)
                if not part:
                    return received
                received += part
        except ConnectionResetError:
            return received


GET = b'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'NONSENSE\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 40000, b'400'),
        (
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n' +
            b'z' * 2000, b'413'
        ),
        (b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nz', b'400'),
        (b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n', b'400'),
        (
            b'POST / HTTP/1.1\r\nhost: a\r\n'
            b'transfer-encoding: chunked\r\n\r\nZZ\r\n', b'400'
        ),
    ],
    ids=['garbage', 'huge header', 'huge body', 'slow', 'negative', 'chunk'],
)
def test_bad_input_gets_an_error_and_the_server_keeps_serving(
    data: bytes,
    status: bytes,
) -> None:
    """Malformed, oversized and slow requests must not stop the server."""

    async def main() -> None:
        async with helpers.serving(_echo, limits=LIMITS) as address:
            answer = await _send_raw(address, data)
            assert answer.split(b' ')[1] == status
            assert b'nutmeg-verdict: did-not-run' in answer
            assert (await _send_raw(address, GET)).startswith(b'HTTP/1.1 200')

    helpers.run(main)


@hypothesis.settings(
    derandomize=True, max_examples=40, database=None, deadline=None
)
@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.binary(max_size=40),
            strategies.sampled_from(
                [
                    b'GET / HTTP/1.1\r\n', b'host: a\r\n', b'\r\n',
                    b'content-length: 5\r\n', b'POST /v1 HTTP/1.1\r\n',
                    b'transfer-encoding: chunked\r\n', b'5\r\nabcde\r\n'
                ]
            ),
        ),
        max_size=10,
    )
)
def test_server_keeps_serving_after_any_bytes(parts: list[bytes]) -> None:
    """No sequence of bytes may end the accept loop."""

    async def main() -> None:
        limits = server.Limits(request_timeout=0.02, idle_timeout=0.02)
        async with helpers.serving(_echo, limits=limits) as address:
            await _send_raw(address, b''.join(parts))
            assert (await _send_raw(address, GET)).startswith(b'HTTP/1.1 200')

    helpers.run(main)


def test_drain_answers_requests_in_flight() -> None:
    """A planned stop must not cut off a request that is being served."""

    async def slow(request: message.Request) -> message.Response:
        await curio.sleep(0.3)
        return message.Response(200, {}, b'done')

    async def main() -> None:
        service = server.Server(slow)
        await service.start('127.0.0.1', 0)
        caller = await curio.spawn(_send_raw, service.address, GET)
        await curio.sleep(0.1)
        assert await service.drain(limit=5.0)
        assert (await caller.join()).endswith(b'done')
        with pytest.raises(ConnectionRefusedError):
            await curio.open_connection(*service.address)

    helpers.run(main)


@pytest.mark.parametrize(
    ('line', 'status'),
    [
        (b'HEAD / HTTP/1.1', b'HTTP/1.1 200'),
        (b'CONNECT a:80 HTTP/1.1', b'HTTP/1.1 400'),
    ],
)
def test_a_method_whose_response_has_no_body_is_answered(
    line: bytes, status: bytes
) -> None:
    """Guards against a connection that breaks without a response."""

    async def answer(request: message.Request) -> message.Response:
        return message.Response(200, {}, b'body')

    async def main() -> None:
        async with helpers.serving(answer, limits=LIMITS) as address:
            received = await _send_raw(
                address, line + b'\r\nhost: a\r\nconnection: close\r\n\r\n'
            )
            assert received.startswith(status)
            assert not received.endswith(b'\r\n\r\nbody')

    helpers.run(main)
