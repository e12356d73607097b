"""Builders for stored jobs, workers and terms of leadership."""
from __future__ import annotations

import contextlib
import time
import typing

import curio
import msgspec
import pytest

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import interfaces
from nutmegworks.fleet import leader
from nutmegworks.fleet import membership
from nutmegworks.fleet import transport
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.fleet import worker_connections
from nutmegworks.fleet import worker_session
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.net import pool
from nutmegworks.platform import executors
from nutmegworks.platform import wire
from nutmegworks.policy import store_routes
from nutmegworks.policy import task_planning
from nutmegworks.tasks import configuration
from nutmegworks.tasks import records
from nutmegworks.tasks import workers
from nutmegworks.telemetry import fleetmetrics
from tests.fleet import memory

SERVICE = 'planner'
SHORT_LEASE_SECONDS: typing.Final = 0.6


def shorten_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the leases of lost workers expire within a second."""
    for name, seconds in (
        ('LEASE_SECONDS', SHORT_LEASE_SECONDS),
        ('MAX_LEASE_SECONDS', SHORT_LEASE_SECONDS),
        ('CLOCK_MARGIN_SECONDS', 0.05),
        ('REQUEST_TRANSIT_SECONDS', 0.05),
    ):
        monkeypatch.setattr(fleet_worker, name, seconds)
    monkeypatch.setattr(worker_session, 'RETRY_SECONDS', 0.02)


def accepted(
    *steps: dict[str, object],
    priority: int = 1,
    attempts: int = 2,
    **body: object,
) -> records.AcceptedJob:
    document = {'spec': 'text', 'steps': list(steps or [step()]), **body}
    return records.AcceptedJob(
        queue='q1',
        service=SERVICE,
        team='north',
        priority=priority,
        attempts=attempts,
        stretch=3.0,
        target=1.0,
        accepted_at=time.time(),
        body=msgspec.json.encode(document),
    )


def step(count: int = 1, **fields: object) -> dict[str, object]:
    """Return a step in the platform's form."""
    return {
        'count': count,
        'cpu': 1000,
        'memMb': 100,
        'gpu': 1,
        'estimatedMs': 5000,
        **fields
    }


def worker_document(
    *,
    state: str = 'ready',
    born: int = 1,
    **fields: object,
) -> dict[str, object]:
    return {
        'service': SERVICE,
        'address': '10.0.0.1:80',
        'zone': 'north',
        'version': 'v1',
        'slots': 8,
        'state': state,
        'coldRemainingMs': 0,
        'capacity': {
            'cpu': 128000,
            'memMb': 512000,
            'gpu': 8
        },
        'labels': ['a', 'r1-1'],
        'born': born,
        'sequence': 1,
        **fields,
    }


def held_configuration(
    guaranteed: int = 64
) -> configuration_holder.ConfigurationHolder:
    """Return a configuration in which the team has a guarantee."""
    team_id = ids.TeamId('north')
    holder = configuration_holder.ConfigurationHolder()
    holder.value = configuration.Configuration(
        1,
        {},
        {team_id: configuration.Team(team_id, guaranteed=guaranteed)},
        frozenset({ids.ServiceId(SERVICE)}),
    )
    return holder


def put_job(
    store: memory.MemoryStore,
    job_id: str,
    record: records.AcceptedJob,
) -> None:
    store.put(records.job_key(ids.JobId(job_id)), records.encode(record))


def put_worker(
    store: memory.MemoryStore,
    worker_id: str,
    **fields: typing.Any,
) -> None:
    document = worker_document(**fields)
    store.put(f'servers/{worker_id}', msgspec.json.encode(document))


def progress(
    store: memory.MemoryStore,
    job_id: str,
) -> records.Progress | None:
    item = store.item_by_key.get(records.progress_key(ids.JobId(job_id)))
    if item is None:
        return None
    return msgspec.json.decode(item.value, type=records.Progress)


def store_transport(
    address: client.Address,
    *peers: store_routes.Peer,
) -> transport.Transport:
    """Return the transport of a host in the domain north."""
    return transport.Transport(
        address,
        pool.Pool(),
        lambda: peers,
        ids.DomainId('north'),
        fleetmetrics.FleetMetrics(),
        probe_target='/kv-key?key=probe',
    )


def executor_client(
    max_sockets: int = 3900,
) -> tuple[executors.ExecutorClient, worker_connections.WorkerConnections]:
    """Return the client of a leader and its connections."""
    connections = worker_connections.WorkerConnections(max_sockets)
    return executors.ExecutorClient(connections), connections


def member(
    store: interfaces.Store,
    name: str = 'host-1',
    cores: float = 1.0,
    peers: membership.MemberSink | None = None,
    clock: typing.Callable[[], float] = membership.steady_clock,
    address: client.Address = ('10.0.0.9', 7000),
) -> membership.Membership:
    member_id = ids.MemberId(name)
    return membership.Membership(
        store,
        member_id,
        records.Member(*address, 'north', cores),
        peers or membership.MemberSink(member_id),
        min_lease=1.0,
        clock=clock,
    )


async def elect(
    store: interfaces.Store,
    name: str = 'host-1',
) -> membership.Membership:
    """Return a member that has become the leader."""
    elected = member(store, name)
    await elected._renew()
    await elected.read_leader()
    await elected.campaign()
    assert elected.leads
    return elected


@contextlib.asynccontextmanager
async def running_term(
    store: memory.MemoryStore,
    fleet: memory.MemoryWorkers,
    name: str = 'host-1',
) -> typing.AsyncIterator[leader.Term]:
    """Elect a leader and run its term until the context ends."""
    elected = await elect(store, name)
    assert elected.leader is not None
    term = leader.Term(
        store,
        fleet,
        wire.PlatformDecoder(),
        elected,
        elected.leader,
        fleetmetrics.FleetMetrics(),
        held_configuration(),
        retention_seconds=120.0,
        bounds=task_planning.Bounds(),
    )
    membership_task = await curio.spawn(elected.run, daemon=True)
    term_task = await curio.spawn(term.run, daemon=True)
    try:
        yield term
    finally:
        await term_task.cancel()
        await membership_task.cancel()


async def wait_until(
    condition: typing.Callable[[], object],
    seconds: float = 3.0,
) -> None:
    """Wait for a condition; fail if it is not true in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, 'the condition did not come true'
        await curio.sleep(0.005)


def end_all_runs(
    fleet: memory.MemoryWorkers,
    kind: workers.EndKind,
) -> int:
    """End every run; return their number."""
    count = 0
    for worker_id, running in list(fleet.running_by_id.items()):
        for task, run in list(running):
            fleet.end(worker_id, task, run, kind)
            count += 1
    return count


async def finish(
    fleet: memory.MemoryWorkers,
    term: leader.Term,
    job_id: ids.JobId,
) -> None:
    """End all runs as done until a job has succeeded."""

    def succeeded() -> bool:
        end_all_runs(fleet, workers.EndKind.DONE)
        return term.state.public_state(job_id) is records.JobState.SUCCEEDED

    await wait_until(succeeded)
