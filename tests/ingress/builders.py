"""Builds the way of a client's call, with a leader in memory."""
from __future__ import annotations

import time
import typing

import msgspec
import result

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import interfaces
from nutmegworks.fleet import leader_client
from nutmegworks.fleet import membership
from nutmegworks.ingress import call as calls
from nutmegworks.ingress import filters
from nutmegworks.ingress import jobs
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.platform import wire
from nutmegworks.tasks import records
from nutmegworks.telemetry import fleetmetrics
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers
from tests.platform import test_wire

BODY = msgspec.json.encode({'spec': 'text', 'steps': [builders.step()]})
JOB = ids.JobId('5c0e7a21d94b36f8')
PATH = f'/plans/{JOB}'
RETENTION_SECONDS = 120.0


class Leader(leader_client.LeaderClient):
    """Returns the states that a test sets; None stands for no leader.

    :ivar view_age: seconds by which the leader's counts are out of date.
    """

    def __init__(self) -> None:
        self.states: dict[ids.JobId, records.JobState] | None = {}
        self.count = 0
        self.view_age = 0.0

    async def state(
        self,
        job_id: ids.JobId,
    ) -> result.Result[records.JobState | None, leader_client.NoLeaderError]:
        if self.states is None:
            return result.Err(leader_client.NoLeaderError('none'))
        return result.Ok(self.states.get(job_id))

    async def pending(
        self,
        queue: str,
    ) -> result.Result[
            leader_client.PendingCount,
            leader_client.NoLeaderError,
    ]:
        if self.states is None:
            return result.Err(leader_client.NoLeaderError('none'))
        as_of = membership.steady_clock() - self.view_age
        return result.Ok(leader_client.PendingCount(self.count, as_of))


class Ingress:
    """The filter chain over a store and a leader in memory.

    :param front: how calls reach the store; by default without a network.
    :param leader: how calls reach the leader; by default ``Leader``.
    :ivar configuration_age: seconds since the configuration was last read.
    """

    def __init__(
        self,
        front: interfaces.Store | None = None,
        leader: leader_client.LeaderClient | None = None,
    ) -> None:
        self.store = memory.MemoryStore()
        self.leader = Leader()
        self.configuration_age = 0.0
        holder = configuration_holder.ConfigurationHolder(
            lambda: self.configuration_age
        )
        holder.value = wire.decode_configuration(
            msgspec.json.encode(test_wire.CONFIGURATION)
        )
        endpoint = jobs.JobHandler(
            front or self.store,
            wire.PlatformDecoder(),
            leader or self.leader,
            retention_seconds=RETENTION_SECONDS,
        )
        self._chain = calls.chain(
            (
                filters.LogFilter(fleetmetrics.FleetMetrics()),
                filters.RoutingFilter(holder),
                filters.AuthenticationFilter(holder),
                filters.JobNameFilter(),
            ),
            endpoint.handle,
        )

    async def call(
        self,
        method: str,
        path: str = PATH,
        *,
        key: str = 'k1',
        body: bytes = b'',
    ) -> message.Response:
        request = message.Request(
            method,
            path,
            {
                'host': 'a.example',
                'authorization': f'Bearer {key}'
            },
            body,
        )
        return await self._chain(calls.Call(request, time.monotonic(), 3.0))

    async def submit(self) -> message.Response:
        return await self.call('POST', body=BODY)


def run(case: typing.Callable[[Ingress], typing.Awaitable[None]]) -> None:

    async def main() -> None:
        await case(Ingress())

    helpers.run(main)
