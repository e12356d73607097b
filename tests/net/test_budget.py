"""The budget of bytes, and that every path takes from it and gives back."""
from __future__ import annotations

import pathlib
import re

import curio
import hypothesis
from hypothesis import strategies
import pytest

from nutmegworks.net import budget as budgets
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.policy import intake
from tests import helpers

SOURCES = pathlib.Path(budgets.__file__).parents[1]
# Memory of which a quarter is the budget: two bodies of the largest size.
MEMORY = 4 * 2 * 2 * 1_000_000
LIMITS = server.Limits(
    max_body=100_000, request_timeout=0.5, write_timeout=0.5, idle_timeout=1.0
)
GET = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
HEAD = b'POST / HTTP/1.1\r\nhost: a\r\n'


def test_only_the_channel_reads_sockets() -> None:
    """Guards against a path that receives bytes beside the budget.

    The other module reads bytes that the process sends itself for signals.
    """
    reading = {
        path.name
        for path in SOURCES.rglob('*.py')
        if re.search(r'\.recv|as_stream|makefile|sock_recv', path.read_text())
        and 'bench' not in path.parts
    }
    assert reading == {'channel.py', 'signals.py'}


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4),
            strategies.sampled_from(intake.Kind),
            strategies.integers(0, 300),
            strategies.sampled_from(['take', 'give', 'close']),
        )
    )
)
def test_what_is_held_is_the_sum_of_the_accounts(
    steps: list[tuple[int, intake.Kind, int, str]]
) -> None:
    """Guards against bytes that are lost from the count or counted twice."""
    budget = budgets.Budget(4000)
    accounts = [budgets.Account(budget) for _ in range(5)]
    for number, kind, size, step in steps:
        account = accounts[number]
        if step == 'take':
            before = budget.held
            assert account.take(size,
                                kind) == (before + size <= budget.limit(kind))
        elif step == 'give':
            account.give(size)
        else:
            account.close()
        assert budget.held == sum(each.held for each in accounts)
        assert 0 <= budget.held <= budget.total
    for account in accounts:
        account.close()
    assert budget.held == 0


async def _echo(request: message.Request) -> message.Response:
    if request.target == '/abort':
        raise server.AbortConnection()
    return message.Response(200, {}, request.body)


class _Service:
    """A server with a budget of its own."""

    def __init__(self, memory: int = MEMORY) -> None:
        self.budget = budgets.Budget(memory)
        self._server = server.Server(_echo, limits=LIMITS, budget=self.budget)

    async def start(self) -> client.Address:
        await self._server.start('127.0.0.1', 0)
        return self._server.address

    async def wait_until_idle(self) -> None:
        while self._server.open_connections:
            await curio.sleep(0.01)

    async def drain(self, limit: float) -> bool:
        return await self._server.drain(limit)

    async def stop(self) -> None:
        await self._server.drain(limit=0.0)


async def _open(
    address: client.Address,
    data: bytes,
) -> curio.io.Socket:
    sock = await curio.open_connection(*address)
    await sock.sendall(data)
    return sock


async def _status(sock: curio.io.Socket) -> int:
    answer = await curio.timeout_after(5.0, sock.recv, 65536)
    return int(answer.split()[1])


def _announce(size: int) -> bytes:
    return HEAD + b'content-length: %d\r\n\r\n' % size


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'GET ',
        HEAD,
        HEAD + b'x: ' + b'y' * 20_000,
        _announce(5) + b'12345',
        _announce(50_000) + b'x' * 50_000,
        _announce(50_000) + b'x' * 49_999,
        _announce(100_001),
        HEAD + b'transfer-encoding: chunked\r\n\r\n' + b'1\r\nx\r\n' * 5000,
        HEAD + b'transfer-encoding: chunked\r\n\r\n' + b'1\r\nx\r\n0\r\n\r\n',
        HEAD + b'transfer-encoding: chunked\r\n\r\nZZ\r\n',
        b'POST /abort HTTP/1.1\r\nhost: a\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost: a\r\n\r\n' * 300,
    ],
)
@pytest.mark.parametrize('leaves', [False, True])
def test_all_is_given_back_however_a_request_ends(
    data: bytes, leaves: bool
) -> None:
    """Guards against a budget that shrinks until nothing is served."""

    async def main() -> None:
        service = _Service()
        address = await service.start()
        sock = await _open(address, data)
        await curio.sleep(0.05)
        if leaves:
            await sock.close()
        await service.wait_until_idle()
        assert service.budget.held == 0
        assert service.budget.peak <= service.budget.total
        await sock.close()
        await service.stop()

    helpers.run(main)


def test_a_body_over_the_limit_is_refused_by_its_head() -> None:
    """Guards against bytes that are read although the head says enough."""

    async def main() -> None:
        service = _Service()
        sock = await _open(await service.start(), _announce(9_000_000_000))
        assert await _status(sock) == 413
        await service.stop()

    helpers.run(main)


def test_a_refusal_can_be_read_by_a_client_that_still_sends() -> None:
    """Guards against a reset that hides the refusal."""

    async def main() -> None:
        service = _Service()
        sock = await _open(await service.start(), _announce(1_000_000))
        for _ in range(100):
            await sock.sendall(b'x' * 10_000)
        assert await _status(sock) == 413
        await service.stop()

    helpers.run(main)


def test_small_requests_pass_large_ones_that_make_no_progress() -> None:
    """Guards against ordinary callers that wait behind a crowd."""

    async def main() -> None:
        service = _Service()
        address = await service.start()
        crowd = [
            await _open(address,
                        _announce(100_000) + b'x' * 1000) for _ in range(8)
        ]
        await curio.sleep(0.05)
        small = await _open(address, _announce(5) + b'12345')
        assert await _status(small) == 200
        refused = await _open(address, _announce(100_000))
        assert await _status(refused) == 429
        for sock in crowd:
            await sock.close()
        await service.stop()

    helpers.run(main)


def test_a_stalled_body_gives_way_to_one_that_is_sent() -> None:
    """Guards against holders that stopped sending and keep the memory."""

    async def main() -> None:
        service = _Service()
        address = await service.start()
        stalled = [
            await _open(address,
                        _announce(100_000) + b'x' * 1000) for _ in range(2)
        ]
        for holder in service.budget._holder_by_id.values():
            holder.progress_at -= intake.STALL_SECONDS
        later = await _open(address, _announce(100_000) + b'x' * 100_000)
        assert await _status(later) == 200
        assert service.budget.losses[budgets.Loss.GAVE_WAY] == 1
        statuses = [await _status(sock) for sock in stalled]
        assert 429 in statuses
        await service.stop()

    helpers.run(main)


def test_callers_take_turns_when_all_connections_are_in_use() -> None:
    """Guards against connections that go on asking and lock others out."""

    async def main() -> None:
        limits = server.Limits(max_connections=2)
        async with helpers.serving(_echo, limits=limits) as address:
            first = await _open(address, GET)
            answer = await first.recv(65536)
            assert b'connection: close' not in answer
            second = await _open(address, GET * 50)
            answer = b''
            while data := await second.recv(65536):
                answer += data
            assert b'connection: close' in answer
            assert answer.count(b'HTTP/1.1 200') == 1
            await first.close()
            await second.close()

    helpers.run(main)


@pytest.mark.parametrize('piece', [7, 1000, 40_000])
def test_a_body_of_many_chunks_is_read_however_it_is_split(piece: int) -> None:
    """Guards against waiting for a part whose head was received in part."""

    async def main() -> None:
        service = _Service()
        chunks = b'3\r\nabc\r\n' * 2000 + b'0\r\n\r\n'
        head = HEAD + b'transfer-encoding: chunked\r\n\r\n'
        sock = await _open(await service.start(), head)
        for start in range(0, len(chunks), piece):
            await sock.sendall(chunks[start:start + piece])
            await curio.sleep(0)
        assert await _status(sock) == 200
        await service.stop()

    helpers.run(main)


def test_a_body_that_goes_on_for_long_does_not_hold_a_drain() -> None:
    """Guards against a stopping daemon that is killed after its grace."""

    async def main() -> None:
        service = _Service()
        sock = await _open(await service.start(), _announce(100_000))

        async def go_on() -> None:
            while True:
                await sock.sendall(b'x' * 2000)
                await curio.sleep(0.1)

        sender = await curio.spawn(go_on, daemon=True)
        await curio.sleep(0.05)
        assert await service.drain(limit=0.4)
        assert await _status(sock) == 429
        await sender.cancel()

    helpers.run(main)


@pytest.mark.parametrize('size', [100, 100_000])
def test_answers_give_back_what_they_took(size: int) -> None:
    """Guards against answers of upstreams and of the store beside it."""

    async def main() -> None:
        service = _Service()
        address = await service.start()
        budget = budgets.Budget(MEMORY)
        connections = pool.Pool(budget=budget)
        request = message.Request('POST', '/', {}, b'x' * size)
        answer = await connections.exchange(address, request, timeout=5.0)
        assert len(answer.ok_value.body) == size
        assert budget.held == 0
        assert (budget.peak > 0) == (size > 16 * 1024)
        await connections.close()
        await service.stop()

    helpers.run(main)


def test_answers_wait_for_memory_in_turn() -> None:
    """Guards against answers that are read without room for them."""

    async def main() -> None:
        budget = budgets.Budget(4000)
        accounts = [budgets.Account(budget) for _ in range(3)]
        await accounts[0].wait(900)
        order: list[int] = []

        async def take(number: int) -> None:
            await accounts[number].wait(800)
            order.append(number)
            accounts[number].close()

        tasks = [await curio.spawn(take, number) for number in (1, 2)]
        await curio.sleep(0.05)
        assert order == [] and budget.held == 900
        accounts[0].close()
        for task in tasks:
            await task.join()
        assert order == [1, 2] and budget.held == 0

    helpers.run(main)
