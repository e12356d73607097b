from __future__ import annotations

import time

import curio
import pytest

from nutmegworks.claims import batcher
from nutmegworks.claims import key
from nutmegworks.claims import record
from tests.claims import operations
from tests import helpers
from tests import memory_store

RECORD_KEY = key.record_key(0, operations.EPOCH % key.EPOCH_SLOTS)
Fault = memory_store.Fault


def run(scenario, *, batchers=1, write_interval=0.005):
    """Run a scenario with a store and running batchers of one shard."""
    backing = memory_store.MemoryStore(delay=0.001)

    async def main() -> None:
        items = [
            batcher.Batcher(
                backing, 0, write_interval=write_interval, finish_delay=0.01
            ) for _ in range(batchers)
        ]
        tasks = [await curio.spawn(item.run) for item in items]
        await scenario(backing, *items)
        for task in tasks:
            await task.cancel()

    helpers.run(main)


def stored(backing):
    return record.decode(backing.peek(RECORD_KEY).value)


def test_many_claims_take_few_writes() -> None:
    """One write per key would exceed the store's write limit."""

    async def scenario(backing, shard) -> None:
        async with curio.TaskGroup() as group:
            for number in range(200):
                operation = operations.claim_operation('a', number=number)
                await group.spawn(claim, shard, operation)
        assert all(
            reply.status is record.Status.GRANTED for reply in group.results
        )
        assert len(stored(backing).claim_by_id) == 200
        assert backing.puts <= 3

    run(scenario)


def test_write_rate_is_bounded() -> None:
    """A fast caller must not use up the store's write limit."""

    async def scenario(backing, shard) -> None:
        started = time.monotonic()
        async with curio.TaskGroup() as group:
            for number in range(100):
                operation = operations.claim_operation('a', number=number)
                await group.spawn(claim, shard, operation)
                await curio.sleep(0.002)
        allowed = (time.monotonic() - started) / 0.02
        assert backing.puts <= allowed + batcher.WRITE_BURST + 1

    run(scenario, write_interval=0.02)


async def claim(shard, operation, timeout=1.0):
    return await shard.submit(operation, timeout=timeout)


def test_racing_daemons_grant_one_attempt() -> None:
    """An outdated cached record must not grant a key that is held."""

    async def scenario(backing, one, two) -> None:
        for number in range(20):
            async with curio.TaskGroup() as group:
                for shard, attempt in ((one, 'a'), (two, 'b')):
                    operation = operations.claim_operation(
                        attempt, number=number
                    )
                    await group.spawn(claim, shard, operation)
            statuses = [reply.status for reply in group.results]
            assert statuses.count(record.Status.GRANTED) == 1, statuses
            assert statuses.count(record.Status.IN_PROGRESS) == 1, statuses

    run(scenario, batchers=2)


@pytest.mark.parametrize('fault', (Fault.LOSE, Fault.DROP, Fault.DELAY))
def test_lost_store_response_is_resolved_by_attempt_id(fault) -> None:
    """A write with an unknown result must grant the key exactly once."""

    async def scenario(backing, one, two) -> None:
        backing.faults.append(fault)
        first = await claim(one, operations.claim_operation('a'))
        backing.deliver()
        second = await claim(two, operations.claim_operation('b'))
        assert first.status is record.Status.GRANTED
        assert second.status is record.Status.IN_PROGRESS
        assert stored(backing).claim_by_id[bytes(16)].attempt_id == 'a'

    run(scenario, batchers=2)


def test_stale_read_does_not_resolve_a_lost_store_response() -> None:
    """A read from a lagging replica may lack a claim that was stored."""

    async def scenario(backing, one, two) -> None:
        await claim(one, operations.claim_operation('x', number=1))
        outdated = backing.peek(RECORD_KEY)
        await claim(two, operations.claim_operation('b'))
        backing.stale_by_key[RECORD_KEY] = outdated
        reply = await claim(one, operations.claim_operation('a'))
        assert reply.status is record.Status.IN_PROGRESS

    run(scenario, batchers=2)


def test_backoff_after_conflicts_outlasts_a_lagging_read() -> None:
    """A replica that lags by some milliseconds must not fail the claim."""

    async def scenario(backing, one, two) -> None:
        await claim(one, operations.claim_operation('x', number=1))
        outdated = backing.peek(RECORD_KEY)
        await claim(two, operations.claim_operation('y', number=2))
        until = time.monotonic() + 0.04
        get = backing.get

        async def lagging(name):
            if time.monotonic() < until:
                backing.stale_by_key[name] = outdated
            return await get(name)

        backing.get = lagging
        reply = await claim(one, operations.claim_operation('a'))
        assert reply.status is record.Status.GRANTED

    run(scenario, batchers=2)


def test_store_outage_reports_whether_a_write_is_unresolved() -> None:
    """DID_NOT_RUN is correct only if no write can take effect later."""

    async def scenario(backing, shard) -> None:
        await claim(shard, operations.claim_operation('x', number=1))
        backing.faults.append(Fault.DOWN)
        refused = await claim(shard, operations.claim_operation('a'))
        assert refused.status is record.Status.STORE_UNAVAILABLE
        assert not refused.write_sent
        await claim(shard, operations.claim_operation('x', number=2))
        backing.faults.extend([Fault.DELAY, Fault.DOWN])
        unknown = await claim(shard, operations.claim_operation('a'))
        assert unknown.status is record.Status.STORE_UNAVAILABLE
        assert unknown.write_sent

    run(scenario)


def test_operation_given_up_during_a_read_is_not_written() -> None:
    """A claim reported as not sent must not block its key afterwards."""

    async def scenario(backing, shard) -> None:
        backing.delay = 0.1
        given_up = await claim(shard, operations.claim_operation('a'), 0.05)
        assert given_up.status is record.Status.STORE_UNAVAILABLE
        assert not given_up.write_sent
        await curio.sleep(0.4)
        assert backing.peek(RECORD_KEY) is None
        other = operations.claim_operation('b', attempt_number=2)
        assert (await claim(shard, other)).status is record.Status.GRANTED

    run(scenario)


def test_outcome_survives_an_outage(monkeypatch) -> None:
    """An outcome must be stored once the store is available again."""
    monkeypatch.setattr(batcher, 'STORE_RETRY_SECONDS', 0.02)

    async def scenario(backing, shard) -> None:
        await claim(shard, operations.claim_operation('a'))
        backing.down = True
        await shard.enqueue(operations.finish_operation(record.State.RAN))
        await curio.sleep(0.05)
        backing.down = False
        await curio.sleep(0.05)
        existing = stored(backing).claim_by_id[bytes(16)]
        assert existing.state is record.State.RAN

    run(scenario)


def test_outcome_by_a_daemon_with_an_outdated_copy() -> None:
    """A cached record without the claim must be read again."""

    async def scenario(backing, one, two) -> None:
        await claim(two, operations.claim_operation('x', number=1))
        await claim(one, operations.claim_operation('a'))
        reply = await claim(two, operations.finish_operation(record.State.RAN))
        assert reply.status is record.Status.DONE

    run(scenario, batchers=2)


def test_pending_operations_are_bounded(monkeypatch) -> None:
    """Claims that wait for a slow store must not fill the memory."""
    monkeypatch.setattr(batcher, 'MAX_PENDING_OPERATIONS', 2)

    async def scenario(backing, shard) -> None:
        backing.delay = 0.05
        async with curio.TaskGroup() as group:
            for number in range(8):
                operation = operations.claim_operation('a', number=number)
                await group.spawn(claim, shard, operation)
        statuses = [reply.status for reply in group.results]
        assert record.Status.OVERLOADED in statuses
        assert record.Status.GRANTED in statuses

    run(scenario)
