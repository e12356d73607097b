from __future__ import annotations

import curio
import curio.socket
import pytest

from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from tests import helpers

ID = 'nutmeg-request-id'


def _request(request_id: str) -> message.Request:
    return message.Request('POST', '/v1/run', {ID: request_id}, b'body')


def _raw(request_id: str, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    head = f'HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\n'
    return f'{head}content-length: {size}\r\n\r\n'.encode() + body


INVALID_RESPONSES = {
    'truncated': (_raw('1', b'ab', 9), 0.0, client.Fault.PROTOCOL),
    'no response': (b'', 0.0, client.Fault.CLOSED),
    'crossed': (_raw('0', b'ab'), 0.0, client.Fault.MISMATCH),
    'late': (b'', 9.0, client.Fault.TIMEOUT),
    'length not stated': (
        f'HTTP/1.1 200 OK\r\n{ID}: 1\r\n\r\nabc'.encode(),
        0.0,
        client.Fault.PROTOCOL,
    ),
    'not HTTP': (b'SSH-2.0\r\n\r\n', 0.0, client.Fault.PROTOCOL),
}


@pytest.mark.parametrize('name', INVALID_RESPONSES)
def test_invalid_response_is_an_error_and_closes_the_connection(
    name: str
) -> None:
    """A response that may belong to another request must not be used.

    The next request must get its own response over a new connection.
    """
    raw, linger, fault = INVALID_RESPONSES[name]
    seen: list[str] = []

    async def handler(request: message.Request) -> message.Response:
        seen.append(request.headers[ID])
        if len(seen) == 1:
            raise server.AbortConnection(raw, linger)
        return message.Response(200, {ID: request.headers[ID]}, b'whole')

    async def main() -> None:
        async with helpers.serving(handler) as address:
            connections = pool.Pool()
            first = await connections.exchange(
                address, _request('1'), timeout=0.3, echo_header=ID
            )
            assert first.err_value.fault is fault
            assert first.err_value.may_have_reached_peer
            second = await connections.exchange(
                address, _request('2'), timeout=1.0, echo_header=ID
            )
            assert second.ok_value.body == b'whole'
            await connections.close()

    helpers.run(main)


def test_time_out_says_how_much_of_the_response_arrived() -> None:
    """Guards against a slow transfer that looks like a silent peer."""

    async def handler(request: message.Request) -> message.Response:
        raise server.AbortConnection(_raw('1', b'ab', 9), 9.0)

    async def main() -> None:
        async with helpers.serving(handler) as address:
            answer = await pool.Pool().exchange(
                address, _request('1'), timeout=0.2
            )
            assert answer.err_value.fault is client.Fault.TIMEOUT
            sent = len(_raw('1', b'ab', 9))
            assert f'{sent} bytes received' in answer.err_value.detail

    helpers.run(main)


def test_duplicated_response_is_not_read_by_the_next_request() -> None:
    """The second copy of a response must not answer another request."""

    async def handler(request: message.Request) -> message.Response:
        if request.headers[ID] == '1':
            raise server.AbortConnection(2 * _raw('1', b'one'), 1.0)
        return message.Response(200, {ID: '2'}, b'two')

    async def main() -> None:
        async with helpers.serving(handler) as address:
            connections = pool.Pool()
            for request_id, body in (('1', b'one'), ('2', b'two')):
                answer = await connections.exchange(
                    address, _request(request_id), timeout=2.0
                )
                assert answer.ok_value.body == body

    helpers.run(main)


async def _send_after_response(
    sock: curio.io.Socket, late_bytes: bytes
) -> None:
    """Answer one request; then send bytes, or close if there are none."""
    await sock.recv(message.RECEIVE_BYTES)
    await sock.sendall(_raw('1', b'one'))
    await curio.sleep(0.05)
    if late_bytes:
        await sock.sendall(late_bytes)
        await curio.sleep(1.0)
    await sock.close()


@pytest.mark.parametrize(
    'late_bytes',
    [
        b'',
        b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n',
    ],
)
def test_idle_connection_with_anything_to_read_is_not_used(
    late_bytes: bytes
) -> None:
    """Guards against an answer that was not sent for the request.

    A server that stops may answer 503 on its idle connections, or close them.
    A request that is sent there might run, and would be taken for refused.
    """

    async def main() -> None:
        listener = curio.socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(5)
        address = listener.getsockname()

        async def serve() -> None:
            sock, _ = await listener.accept()
            await _send_after_response(sock, late_bytes)

        task = await curio.spawn(serve, daemon=True)
        connections = pool.Pool()
        first = await connections.exchange(address, _request('1'), timeout=2.0)
        assert first.ok_value.body == b'one'
        await curio.sleep(0.15)
        answer = await connections.exchange(
            address, _request('2'), timeout=0.3
        )
        # The new connection waits in the backlog of the listener.
        assert answer.err_value.fault is client.Fault.TIMEOUT
        assert answer.err_value.first_use
        await task.cancel()
        await listener.close()

    helpers.run(main)


def test_refused_connection_sent_no_byte() -> None:
    """Only a failure before the first byte allows DID_NOT_RUN."""

    async def main() -> None:
        answer = await pool.Pool().exchange(
            ('127.0.0.1', 1), _request('1'), timeout=1.0
        )
        assert answer.err_value.fault is client.Fault.CONNECT
        assert not answer.err_value.may_have_reached_peer

    helpers.run(main)


def test_cancelled_exchange_closes_the_connection() -> None:
    """The response to a cancelled request must not reach the next one."""

    async def slow(request: message.Request) -> message.Response:
        await curio.sleep(0.2)
        return message.Response(200, {}, request.headers[ID].encode())

    async def main() -> None:
        async with helpers.serving(slow) as address:
            connections = pool.Pool()
            task = await curio.spawn(
                lambda: connections.
                exchange(address, _request('1'), timeout=2.0)
            )
            await curio.sleep(0.05)
            await task.cancel()
            answer = await connections.exchange(
                address, _request('2'), timeout=2.0
            )
            assert answer.ok_value.body == b'2'

    helpers.run(main)


def test_expired_idle_connections_are_closed() -> None:
    """A network device may have dropped a connection that was idle long."""
    now = [0.0]
    opened: list[str] = []

    async def handler(request: message.Request) -> message.Response:
        opened.append(request.headers[ID])
        return message.Response(200, {}, b'')

    async def main() -> None:
        async with helpers.serving(handler) as address:
            connections = pool.Pool(idle_timeout=5.0, clock=lambda: now[0])
            for _ in range(2):
                await connections.exchange(address, _request('1'), timeout=1.0)
            now[0] = 5.1
            idle = connections._idle_by_address[address][0][1]
            await connections.close_expired()
            assert not idle.reusable
            assert not connections._idle_by_address

    helpers.run(main)


def test_unresponsive_idle_connections_cost_one_timeout() -> None:
    """Several unresponsive connections must not cost a timeout each."""
    unresponsive = False
    used: set[str] = set()

    async def handler(request: message.Request) -> message.Response:
        if unresponsive and request.headers[ID] in used:
            await curio.sleep(9.0)
        await curio.sleep(0.05)
        return message.Response(200, {}, b'')

    async def main() -> None:
        nonlocal unresponsive
        async with helpers.serving(handler) as address:
            connections = pool.Pool()

            async def call(request_id: str) -> bool:
                answer = await connections.exchange(
                    address, _request(request_id), timeout=0.3
                )
                return bool(answer.is_ok())

            async with curio.TaskGroup() as group:
                for number in range(4):
                    await group.spawn(call, str(number))
            assert len(connections._idle_by_address[address]) == 4
            used.add('late')
            unresponsive = True
            assert not await call('late')
            assert not connections._idle_by_address.get(address)

    helpers.run(main)


@pytest.mark.parametrize(
    'address',
    [
        ('127.0.0.1', 65536),
        ('127.0.0.1', -1),
        ('127.0.0.1', 10**30),
        ('127.0.0.1\x00', 80),
        ('\u00e9' * 70, 80),
    ],
)
def test_address_that_no_socket_accepts_is_an_error(
    address: client.Address
) -> None:
    """Guards against an exception that ends the caller's task."""

    async def main() -> None:
        answer = await pool.Pool().exchange(
            address, _request('1'), timeout=1.0
        )
        assert answer.err_value.fault is client.Fault.CONNECT
        assert not answer.err_value.may_have_reached_peer

    helpers.run(main)
