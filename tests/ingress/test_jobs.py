"""Client calls, also during failures of the store and the leader."""
from __future__ import annotations

import time
import typing

import msgspec
import result

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import leader_client
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


class _Leader(leader_client.LeaderClient):
    """Returns the states that a test sets; None stands for no leader."""

    def __init__(self) -> None:
        self.states: dict[ids.JobId, records.JobState] | None = {}
        self.count = 0

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
    ) -> result.Result[int, leader_client.NoLeaderError]:
        if self.states is None:
            return result.Err(leader_client.NoLeaderError('none'))
        return result.Ok(self.count)


class _Ingress:
    """The filter chain over a store and a leader in memory."""

    def __init__(self) -> None:
        self.store = memory.MemoryStore()
        self.leader = _Leader()
        holder = configuration_holder.ConfigurationHolder()
        holder.value = wire.decode_configuration(
            msgspec.json.encode(test_wire.CONFIGURATION)
        )
        endpoint = jobs.JobHandler(
            self.store, wire.PlatformDecoder(), self.leader
        )
        self._chain = calls.chain(
            (
                filters.LogFilter(fleetmetrics.FleetMetrics()),
                filters.RoutingFilter(holder),
                filters.AuthenticationFilter(holder),
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


def _run(case: typing.Callable[[_Ingress], typing.Awaitable[None]]) -> None:

    async def main() -> None:
        await case(_Ingress())

    helpers.run(main)


def test_an_accepted_job_is_stored() -> None:
    """A job kept only in a host's memory would be lost with the host."""

    async def case(ingress: _Ingress) -> None:
        assert (await ingress.submit()).status == 200
        assert records.job_key(JOB) in ingress.store.item_by_key

    _run(case)


def test_a_repeated_submission_creates_one_job() -> None:
    """A client that lost the response submits the job again."""

    async def case(ingress: _Ingress) -> None:
        await ingress.submit()
        first = ingress.store.item_by_key[records.job_key(JOB)]
        assert (await ingress.submit()).status == 200
        assert ingress.store.item_by_key[records.job_key(JOB)] == first

    _run(case)


def test_a_write_is_repeated_after_a_lost_answer_of_the_store() -> None:
    """The job is stored, so the call must not be refused."""

    async def case(ingress: _Ingress) -> None:
        ingress.store.lose_answers = 1
        assert (await ingress.submit()).status == 200

    _run(case)


def test_no_refusal_while_a_write_may_still_take_effect() -> None:
    """A job that was refused with 503 must never run."""

    async def case(ingress: _Ingress) -> None:
        ingress.store.hold_commits = True
        assert (await ingress.submit()).status == 504

    _run(case)


def test_a_submission_is_refused_at_once_while_the_store_is_down() -> None:
    """Waiting would take time that the client needs to retry elsewhere."""

    async def case(ingress: _Ingress) -> None:
        ingress.store.down = True
        started = time.monotonic()
        response = await ingress.submit()
        assert response.status == 503
        assert response.headers['retry-after'] == '1'
        assert time.monotonic() - started < 0.1

    _run(case)


def test_unknown_keys_and_queues_are_refused() -> None:
    """A revoked key must not submit jobs."""

    async def case(ingress: _Ingress) -> None:
        unknown = await ingress.call('POST', key='k9', body=BODY)
        assert unknown.status == 401
        assert (await ingress.call('GET', '/other/')).status == 404
        assert not ingress.store.commits

    _run(case)


def test_a_job_that_the_leader_does_not_know_yet_is_queued() -> None:
    """410 for an accepted job would tell its client that it was lost."""

    async def case(ingress: _Ingress) -> None:
        await ingress.submit()
        shown = await ingress.call('GET')
        assert msgspec.json.decode(shown.body) == {'state': 'queued'}

    _run(case)


def test_the_state_without_a_leader_comes_from_the_store() -> None:
    """A change of leader must not look like a lost job."""

    async def case(ingress: _Ingress) -> None:
        ingress.leader.states = None
        await ingress.submit()
        done = records.Progress(state=records.JobState.SUCCEEDED)
        ingress.store.put(records.progress_key(JOB), records.encode(done))
        shown = await ingress.call('GET')
        assert msgspec.json.decode(shown.body) == {'state': 'succeeded'}

    _run(case)


def test_an_unknown_job_gives_410_and_an_unreadable_one_503() -> None:
    """While the store is down, a job can't be reported as missing."""

    async def case(ingress: _Ingress) -> None:
        assert (await ingress.call('GET')).status == 410
        ingress.store.down = True
        assert (await ingress.call('GET')).status == 503

    _run(case)


def test_a_final_state_is_cached() -> None:
    """Clients ask after the end of a job, when the store may be down."""

    async def case(ingress: _Ingress) -> None:
        assert ingress.leader.states is not None
        ingress.leader.states[JOB] = records.JobState.FAILED
        await ingress.call('GET')
        ingress.leader.states = None
        ingress.store.down = True
        shown = await ingress.call('GET')
        assert msgspec.json.decode(shown.body) == {'state': 'failed'}

    _run(case)


def test_a_cancel_is_stored_before_it_is_acknowledged() -> None:
    """The leader may fail before it reads the cancellation."""

    async def case(ingress: _Ingress) -> None:
        assert (await ingress.call('DELETE')).status == 410
        await ingress.submit()
        assert (await ingress.call('DELETE')).status == 200
        assert records.cancel_key(JOB) in ingress.store.item_by_key

    _run(case)


def test_the_last_count_is_shown_without_a_leader() -> None:
    """Without a leader the call must not fail; a count may be 2 s old."""

    async def case(ingress: _Ingress) -> None:
        ingress.leader.count = 4
        await ingress.call('GET', '/plans/')
        ingress.leader.states = None
        shown = await ingress.call('GET', '/plans/')
        assert msgspec.json.decode(shown.body) == {'pending': 4}

    _run(case)
