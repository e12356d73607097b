"""What clients are told agrees with what a faulty store holds."""
from __future__ import annotations

import contextlib
import random
import typing

import curio
import pytest

from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import server
from nutmegworks.tasks import records
from tests import helpers
from tests.ingress import builders
from tests.ingress import hosts
from tests.soak import platform

HOSTS: typing.Final = 3
CLIENTS: typing.Final = 12
JOBS_PER_CLIENT: typing.Final = 8
# The longest time after which the store carries out a call.
LATE_SECONDS: typing.Final = 2.0


def _job(client: int, number: int) -> ids.JobId:
    return ids.JobId(f'{client:08x}{number:08x}')


async def _submit(host: builders.Ingress, job_id: ids.JobId) -> int:
    """Submit a job once and return the status of the answer."""
    response = await host.call('POST', f'/plans/{job_id}', body=builders.BODY)
    return response.status


class _FaultyStore:
    """A store that treats each call in a way drawn at random."""

    def __init__(self, seed: int) -> None:
        self.stand_in = platform.StoreStandIn()
        self._random = random.Random(seed)
        # Ways of treating a call with their weights in percent.
        self._weight_by_way = {
            self._refuse: 15,
            self._limit: 10,
            self._apply_and_break: 15,
            self._break: 10,
            self._apply_and_hang: 8,
            self._apply_late: 6,
            self._apply_slowly: 11,
            self.stand_in.handle: 25,
        }

    def holds(self, job_id: ids.JobId) -> bool:
        return records.job_key(job_id) in self.stand_in.store.item_by_key

    async def handle(self, request: message.Request) -> message.Response:
        ways = list(self._weight_by_way)
        weights = list(self._weight_by_way.values())
        way = self._random.choices(ways, weights)[0]
        return await way(request)

    async def _refuse(self, _: message.Request) -> message.Response:
        return message.Response(503)

    async def _limit(self, _: message.Request) -> message.Response:
        return message.Response(429)

    async def _break(self, _: message.Request) -> message.Response:
        raise server.AbortConnection()

    async def _apply_and_break(
        self, request: message.Request
    ) -> message.Response:
        await self.stand_in.handle(request)
        raise server.AbortConnection()

    async def _apply_and_hang(
        self, request: message.Request
    ) -> message.Response:
        await self.stand_in.handle(request)
        raise server.AbortConnection(b'', 1.0)

    async def _apply_late(self, request: message.Request) -> message.Response:
        await curio.sleep(self._random.uniform(0.3, LATE_SECONDS))
        return await self.stand_in.handle(request)

    async def _apply_slowly(
        self, request: message.Request
    ) -> message.Response:
        await curio.sleep(0.2)
        return await self.stand_in.handle(request)


@pytest.mark.parametrize('seed', [4, 5])
def test_refused_job_is_not_stored_and_accepted_job_is(seed: int) -> None:
    """Guards against a refused job that runs and an accepted one that is lost.

    Each job is submitted once, so that every answer speaks of one attempt.
    """

    async def main() -> None:
        store = _FaultyStore(seed)
        status_by_job: dict[ids.JobId, int] = {}
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(
                helpers.serving(store.handle)
            )
            fleet = await hosts.start(stack, address, HOSTS)
            choice = random.Random(seed)

            async def submit_in_turn(client: int) -> None:
                for number in range(JOBS_PER_CLIENT):
                    host = choice.choice(fleet)
                    # A call that leaves an idle connection to the store.
                    await host.call('GET')
                    job_id = _job(client, number)
                    status_by_job[job_id] = await _submit(host, job_id)

            async with curio.TaskGroup() as group:
                for client in range(CLIENTS):
                    await group.spawn(submit_in_turn, client)
            await curio.sleep(LATE_SECONDS)
        for job_id, status in status_by_job.items():
            assert status in (200, 503, 504)
            if status != 504:
                assert store.holds(job_id) == (status == 200), (job_id, status)

    helpers.run(main)


def test_submissions_in_hand_as_an_outage_begins_are_not_refused() -> None:
    """Guards against several jobs of one outage that run though refused.

    The store carries writes out without answering, breaks their connections
    and then answers 503 to every host.
    """

    async def main() -> None:
        stand_in = platform.StoreStandIn()
        outage = curio.Event()
        holding = False

        async def handle(request: message.Request) -> message.Response:
            if outage.is_set():
                return message.Response(503)
            await curio.sleep(0.02)
            response = await stand_in.handle(request)
            if holding and request.method == 'POST':
                await outage.wait()
                raise server.AbortConnection()
            return response

        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(helpers.serving(handle))
            pair = await hosts.start(stack, address, 2)
            for host in pair:
                async with curio.TaskGroup() as group:
                    for number in range(4):
                        await group.spawn(
                            host.call, 'DELETE', f'/plans/{_job(9, number)}'
                        )
            holding = True
            tasks = []
            for number in range(5):
                tasks.append(
                    await
                    curio.spawn(_submit, pair[number % 2], _job(0, number))
                )
                await curio.sleep(0.08)
            await outage.set()
            statuses = [await task.join() for task in tasks]
        for number in range(5):
            key = records.job_key(_job(0, number))
            assert key in stand_in.store.item_by_key
        assert statuses == [504] * 5

    helpers.run(main)
