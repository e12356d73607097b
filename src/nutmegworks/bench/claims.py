"""Measures the load on the store that nutmegd's claims cause.

Run ``python -m nutmegworks.bench.claims`` from the source tree, since it uses
the stand-in of the store. The stand-in runs in a separate process and delays
each call.
"""
from __future__ import annotations

import abc
import contextlib
import random
import secrets
import subprocess
import sys
import time
import typing

import curio
from hdrh import histogram
import msgspec
import result
import typer

from nutmegworks.adapters import hosts
from nutmegworks.adapters import httpstore
from nutmegworks.adapters import store
from nutmegworks.claims import forwarder
from nutmegworks.claims import key as claim_key
from nutmegworks.claims import record
from nutmegworks.claims import service
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool

TEAM_ID: typing.Final = ids.TeamId('north')
DIGEST: typing.Final = bytes(record.BODY_DIGEST_BYTES)
# The histogram records microseconds, up to a minute with three digits.
MAX_LATENCY_MICROSECONDS: typing.Final = 60_000_000
# Run time of a claimed request.
RUN_SECONDS: typing.Final = 0.25
# Arrivals beyond this number of unfinished requests are skipped.
MAX_RUNNING_REQUESTS: typing.Final = 2000


class CountingStore(httpstore.HttpStore):
    """A store client that counts writes and their bytes."""

    writes = 0
    written_bytes = 0

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected: ids.StoreRevision,
        lease_id: store.LeaseId | None = None,
    ) -> result.Result[ids.StoreRevision, store.StoreError]:
        self.writes += 1
        self.written_bytes += len(value)
        return await super().put(
            key, value, expected=expected, lease_id=lease_id
        )


class Design(abc.ABC):
    """A way to claim an idempotency key and to record its outcome."""

    @abc.abstractmethod
    async def claim(self, key: str) -> typing.Any:
        """Return a token for ``finish``, or None if the claim was refused."""

    @abc.abstractmethod
    async def finish(self, key: str, token: typing.Any) -> None:
        """Record that the request ran."""

    async def run(self) -> None:
        """Run background tasks until cancelled."""
        # No background tasks; sleeps for longer than any experiment.
        await curio.sleep(MAX_LATENCY_MICROSECONDS)


class PerKeyDesign(Design):
    """Uses one store key per request, which is written twice."""

    def __init__(self, claim_store: store.Store) -> None:
        self._store = claim_store

    async def claim(self, key: str) -> ids.StoreRevision | None:
        put = await self._store.put(
            f'claims/{key}', self._value('claimed'), expected=store.ABSENT
        )
        return put.ok()

    async def finish(self, key: str, token: ids.StoreRevision) -> None:
        await self._store.put(
            f'claims/{key}', self._value('ran'), expected=token
        )

    def _value(self, state: str) -> bytes:
        return msgspec.msgpack.encode([state, secrets.token_hex(16), DIGEST])


class LocalForwarder(forwarder.ClaimForwarder):
    """Forwards operations to the other daemons of this process."""

    def __init__(self) -> None:
        self.service_by_id: dict[ids.MemberId, service.ClaimService] = {}

    async def forward(
        self,
        member_id: ids.MemberId,
        operation: record.Operation,
        *,
        timeout: float,
    ) -> result.Result[record.Reply, forwarder.ForwardError]:
        target = self.service_by_id[member_id]
        return result.Ok(await target.serve(operation, timeout=timeout))


class BatchedDesign(Design):
    """Claims batched by shard and written by one or more daemons.

    :param forwarding: whether daemons forward operations to each other.
    """

    def __init__(
        self,
        claim_store: store.Store,
        daemons: int,
        forwarding: bool,
    ) -> None:
        local_forwarder = LocalForwarder()
        member_ids = [ids.MemberId(f'd{number}') for number in range(daemons)]
        for member_id in member_ids:
            local_forwarder.service_by_id[member_id] = service.ClaimService(
                claim_store,
                member_id=member_id,
                incarnation=ids.Incarnation(secrets.token_hex(8)),
                members=lambda: member_ids,
                forwarder=local_forwarder if forwarding else None,
            )
        self._services = list(local_forwarder.service_by_id.values())
        self._claim_count = 0

    async def claim(self, key: str) -> typing.Any:
        self._claim_count += 1
        daemon = self._services[self._claim_count % len(self._services)]
        claimed = await daemon.claim(key, TEAM_ID, DIGEST, attempt_number=1)
        if isinstance(claimed, result.Err):
            return None
        return daemon, claimed.ok_value.attempt_id

    async def finish(self, key: str, token: typing.Any) -> None:
        daemon, attempt_id = token
        await daemon.finish(key, TEAM_ID, attempt_id, record.State.RAN)

    async def run(self) -> None:
        async with curio.TaskGroup(wait=any) as group:
            for daemon in self._services:
                await group.spawn(daemon.run)


class RequestGenerator:
    """Claims keys as a Poisson process and finishes each claim.

    :ivar latency: microseconds from the planned arrival to the granted claim.
    """

    def __init__(self, design: Design) -> None:
        self._design = design
        self.latency = histogram.HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)
        self.granted = 0
        self.refused = 0
        self._running = 0

    async def send(self, rate: float, seconds: float, seed: int) -> None:
        rng = random.Random(seed)
        started = time.monotonic()
        due = 0.0
        async with curio.TaskGroup() as group:
            while True:
                due += rng.expovariate(rate)
                if due >= seconds:
                    return
                await curio.sleep(max(0.0, started + due - time.monotonic()))
                if self._running < MAX_RUNNING_REQUESTS:
                    self._running += 1
                    await group.spawn(self._request, started + due)

    async def _request(self, due: float) -> None:
        try:
            await self._claim_and_finish(due)
        finally:
            self._running -= 1

    async def _claim_and_finish(self, due: float) -> None:
        epoch = claim_key.epoch_at(time.time())
        key = f'{epoch}-{secrets.token_hex(8)}'
        token = await self._design.claim(key)
        if token is None:
            self.refused += 1
            return
        self.granted += 1
        self.latency.record_value(int((time.monotonic() - due) * 1e6))
        await curio.sleep(RUN_SECONDS)
        await self._design.finish(key, token)


@contextlib.contextmanager
def store_process() -> typing.Iterator[client.Address]:
    """Run the stand-in of the store in a separate process."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.store'],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        yield hosts.parse_address(process.stdout.readline().strip())
    finally:
        process.terminate()
        process.wait()


async def _set_delay(address: client.Address, seconds: float) -> None:
    body = msgspec.json.encode({'delay': seconds})
    connections = pool.Pool()
    request = message.Request('POST', '/fault', {}, body)
    (await connections.exchange(address, request, timeout=1.0)).unwrap()
    await connections.close()


async def _measure(
    address: client.Address,
    name: str,
    rate: float,
    seconds: float,
    seed: int,
    delay: float,
) -> str:
    await _set_delay(address, delay)
    claim_store = CountingStore(address)
    design = _design(name, claim_store)
    generator = RequestGenerator(design)
    task = await curio.spawn(design.run, daemon=True)
    cpu_seconds = time.process_time()
    await generator.send(rate, seconds, seed)
    cpu_seconds = time.process_time() - cpu_seconds
    await task.cancel()
    latency = generator.latency
    return (
        f'| {name} | {rate:.0f} | {generator.granted / seconds:.0f} '
        f'| {generator.refused} | {claim_store.writes / seconds:.0f} '
        f'| {(claim_store.calls - claim_store.writes) / seconds:.0f} '
        f'| {claim_store.written_bytes / seconds / 1000:.0f} '
        f'| {latency.get_value_at_percentile(50) / 1000:.1f} '
        f'| {latency.get_value_at_percentile(99) / 1000:.1f} '
        f'| {cpu_seconds / seconds:.0%} |'
    )


def _design(name: str, claim_store: store.Store) -> Design:
    if name == 'per key':
        return PerKeyDesign(claim_store)
    kind, daemons = name.rsplit(' ', 1)
    return BatchedDesign(
        claim_store, int(daemons), kind == 'batched, forwarded'
    )


def main(
    rates: str = '20,100,200,400,768',
    designs: str = 'per key;batched 1;batched, forwarded 4;batched 4',
    seconds: float = 8.0,
    seed: int = 1,
    delay: float = 0.003,
) -> None:
    """Print a table of store load and claim latency."""
    print(
        '| design and daemons | requests/s | granted/s | refused | writes/s '
        '| other calls/s | KB/s written | p50 ms | p99 ms | CPU |'
    )
    print('| --- |' + ' --- |' * 9)
    for name in designs.split(';'):
        for rate in rates.split(','):
            with store_process() as address:
                print(
                    curio.run(
                        _measure,
                        address,
                        name,
                        float(rate),
                        seconds,
                        seed,
                        delay,
                    ),
                    flush=True,
                )


if __name__ == '__main__':
    typer.run(main)

__all__ = (
    'BatchedDesign',
    'CountingStore',
    'Design',
    'PerKeyDesign',
    'RequestGenerator',
    'main',
)
