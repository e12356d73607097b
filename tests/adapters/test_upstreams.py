from __future__ import annotations

import time

import curio
import curio.socket
import pytest

from nutmegworks.adapters import upstreams
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.net import pool
from tests import helpers

BODY = b'x' * 200_000
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nnutmeg-request-id: r\r\n'
    b'content-length: 4\r\n\r\ndone'
)

# Bytes that the upstream reads and writes before it closes the connection, and
# the expected verdict. None bytes to read means that it does not listen.
CUTS = {
    'before the connection': (None, b'', verdict.Verdict.DID_NOT_RUN),
    'after the connection': (0, b'', verdict.Verdict.MAY_HAVE_RUN),
    'in the request': (1000, b'', verdict.Verdict.MAY_HAVE_RUN),
    'after the request': (len(BODY), b'', verdict.Verdict.MAY_HAVE_RUN),
    'in the response head':
    (len(BODY), RESPONSE[:30], verdict.Verdict.MAY_HAVE_RUN),
    'in the response body':
    (len(BODY), RESPONSE[:-2], verdict.Verdict.MAY_HAVE_RUN),
    'after the response': (len(BODY), RESPONSE, None),
}


def _call(send_before: float = float('inf')) -> upstreams.Call:
    return upstreams.Call(
        ids.RequestId('r'),
        ids.ServiceId('s'),
        ids.ClassId('c'),
        1.0,
        BODY,
        send_before=send_before,
    )


async def _serve_once(
    listener: curio.io.Socket,
    to_read: int,
    to_write: bytes,
) -> None:
    sock, _ = await listener.accept()
    async with sock:
        read = 0
        while read < to_read:
            read += len(await sock.recv(65536))
        await sock.sendall(to_write)


@pytest.mark.parametrize('name', CUTS)
def test_connection_cut_at_each_step_of_a_call(name: str) -> None:
    """DID_NOT_RUN is correct only if no byte can have reached the upstream."""
    to_read, to_write, expected = CUTS[name]

    async def main() -> None:
        listener = curio.socket.socket()
        listener.bind(('127.0.0.1', 0))
        address = listener.getsockname()
        if to_read is not None:
            listener.listen(1)
            await curio.spawn(
                _serve_once, listener, to_read, to_write, daemon=True
            )
        client = upstreams.HttpUpstreamClient(pool.Pool())
        answer = await client.run(address, _call())
        await listener.close()
        if expected is None:
            assert answer.ok_value.body == b'done'
        else:
            assert answer.err_value.verdict is expected

    helpers.run(main)


def test_nothing_is_sent_after_the_send_deadline() -> None:
    """A connection established after the deadline must carry no byte."""

    async def main() -> None:
        listener = curio.socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        client = upstreams.HttpUpstreamClient(pool.Pool())
        answer = await client.run(
            listener.getsockname(), _call(time.monotonic() - 1.0)
        )
        assert answer.err_value.verdict is verdict.Verdict.DID_NOT_RUN
        sock, _ = await listener.accept()
        assert await sock.recv(1) == b''
        await sock.close()
        await listener.close()

    helpers.run(main)
