"""Builds hosts that may lead and answer clients and each other."""
from __future__ import annotations

import contextlib
import time
import typing

import curio
import msgspec
import pytest
import result

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import leader as leaders
from nutmegworks.fleet import leader_client
from nutmegworks.fleet import membership
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.platform import wire
from nutmegworks.policy import call_effect
from nutmegworks.policy import task_planning
from nutmegworks.telemetry import fleetmetrics
from tests.fleet import builders as fleet_builders
from tests.fleet import memory
from tests.ingress import builders

QUEUE_PATH: typing.Final = '/plans/'
SILENCE_SECONDS: typing.Final = 10.0
POLL_SECONDS: typing.Final = 0.02

_DOWN: typing.Final = result.Err(
    interfaces.StoreError(call_effect.Effect.NONE, 'cut off')
)


def job_id(number: int) -> ids.JobId:
    return ids.JobId(f'{number:016x}')


class Clock:
    """The clock that runs during suspension; a test moves it on.

    :ivar skipped: seconds.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.skipped = 0.0
        self._read = time.clock_gettime
        monkeypatch.setattr(time, 'clock_gettime', self._skip)

    def _skip(self, clock: int) -> float:
        boottime = clock == time.CLOCK_BOOTTIME
        return self._read(clock) + (self.skipped if boottime else 0.0)


class Link(interfaces.Store):
    """One host's link to a store.

    :ivar cut: calls fail without effect.
    :ivar slow_lists: listings are not answered until it is unset.
    :ivar reads_cut: listings and watches fail; all other calls are answered.
    :ivar renewals_cut: renewals of leases fail; all other calls are answered.
    :ivar delay: seconds that each answer takes.
    """

    def __init__(self, store: interfaces.Store) -> None:
        self._store = store
        self.cut = False
        self.slow_lists = False
        self.reads_cut = False
        self.renewals_cut = False
        self.delay = 0.0

    async def _pass(self, answer: typing.Awaitable[typing.Any]) -> typing.Any:
        value = await answer
        await curio.sleep(self.delay)
        return _DOWN if self.cut else value

    def is_down(self) -> bool:
        return self.cut or self._store.is_down()

    async def get(self, key: str) -> typing.Any:
        return await self._pass(self._store.get(key))

    async def list(self, prefix: str) -> typing.Any:
        while self.slow_lists:
            await curio.sleep(POLL_SECONDS)
        listed = await self._pass(self._store.list(prefix))
        return _DOWN if self.reads_cut else listed

    async def watch(
        self,
        prefix: str,
        after: ids.StoreRevision,
        wait: float,
    ) -> typing.Any:
        watched = await self._pass(self._store.watch(prefix, after, wait))
        return _DOWN if self.reads_cut else watched

    async def commit(
        self,
        transaction: interfaces.Transaction,
        *,
        timeout: float | None = None,
        repeatable: bool = False,
    ) -> typing.Any:
        if self.cut:
            return _DOWN
        return await self._pass(self._store.commit(transaction))

    async def grant_lease(self, seconds: float) -> typing.Any:
        return await self._pass(self._store.grant_lease(seconds))

    async def renew_lease(self, lease_id: interfaces.LeaseId) -> typing.Any:
        renewed = await self._pass(self._store.renew_lease(lease_id))
        return _DOWN if self.renewals_cut else renewed

    async def end_lease(self, lease_id: interfaces.LeaseId) -> typing.Any:
        return await self._pass(self._store.end_lease(lease_id))


class Host:
    """A host that answers clients and, as the leader, other hosts.

    :ivar silent: calls of other hosts are not answered.
    """

    def __init__(self, store: memory.MemoryStore, name: str) -> None:
        self.link = Link(store)
        self.silent = False
        self.member: membership.Membership
        self.candidate: leaders.Candidate
        self.ingress: builders.Ingress
        self._name = name
        self._server = server.Server(self._handle_peer)
        self._tasks: list[curio.Task] = []

    async def start(self) -> None:
        await self._server.start('127.0.0.1', 0)
        self.member = fleet_builders.member(
            self.link, self._name, address=self._server.address
        )
        self.candidate = leaders.Candidate(self.member, self._make_term)
        self.ingress = builders.Ingress(
            self.link,
            leader_client.HttpLeaderClient(
                self.member, self.candidate, pool.Pool()
            ),
        )
        await self._spawn(self.candidate.run)

    async def lead(self) -> None:
        """Become the leader; its state is loaded later."""
        await self.member._renew()
        await self.member.read_leader()
        await self.member.campaign()
        assert self.member.leads
        await self._spawn(self.member.run)

    async def _spawn(
        self,
        run: typing.Callable[[], typing.Awaitable[None]],
    ) -> None:
        self._tasks.append(await curio.spawn(run, daemon=True))

    def _make_term(self, leadership: membership.Leadership) -> leaders.Term:
        return leaders.Term(
            self.link,
            memory.MemoryWorkers(),
            wire.PlatformDecoder(),
            self.member,
            leadership,
            fleetmetrics.FleetMetrics(),
            fleet_builders.held_configuration(),
            retention_seconds=120.0,
            bounds=task_planning.Bounds(),
        )

    async def _handle_peer(
        self,
        request: message.Request,
    ) -> message.Response:
        if self.silent:
            raise server.AbortConnection(b'', SILENCE_SECONDS)
        term = leader_client.serving_term(self.candidate)
        if term is None or not self.member.may_act_as_leader():
            return message.Response(503)
        return await leader_client.serve(term, request)

    async def submit(self, count: int) -> None:
        """Accept jobs, none of which can begin."""
        for number in range(count):
            response = await self.ingress.call(
                'POST', f'{QUEUE_PATH}{job_id(number)}', body=builders.BODY
            )
            assert response.status == 200

    async def pending(self) -> int | None:
        """Return the number of pending jobs, None if the call is refused."""
        response = await self.ingress.call('GET', QUEUE_PATH)
        if response.status == 503:
            assert response.headers['retry-after'] == '1'
            return None
        assert response.status == 200
        return msgspec.json.decode(response.body)['pending']

    async def state(self, number: int) -> str | None:
        """Return a job's state, None if the call is refused."""
        response = await self.ingress.call(
            'GET', f'{QUEUE_PATH}{job_id(number)}'
        )
        if response.status == 503:
            assert response.headers['retry-after'] == '1'
            return None
        assert response.status == 200
        return msgspec.json.decode(response.body)['state']

    async def stop_process(self) -> None:
        """End as by a kill: the lease stays, connections are refused."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()
        self.candidate.term = None
        await self._server.drain(limit=0.0)


@contextlib.asynccontextmanager
async def running(
    store: memory.MemoryStore,
    count: int = 2,
) -> typing.AsyncIterator[list[Host]]:
    """Start hosts, of which the first leads, with its state loaded."""
    hosts = [Host(store, f'host-{number}') for number in range(count)]
    for host in hosts:
        await host.start()
    try:
        await hosts[0].lead()
        await fleet_builders.wait_until(
            lambda: leader_client.serving_term(hosts[0].candidate)
        )
        for host in hosts:
            await host.member.read_leader()
        yield hosts
    finally:
        for host in hosts:
            await host.stop_process()


__all__ = ('Clock', 'Host', 'Link', 'QUEUE_PATH', 'job_id', 'running')
