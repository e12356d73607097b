"""Runs an owner of a shard in a separate process, with short leases."""
from __future__ import annotations

import sys

import curio

from nutmegworks.adapters import hosts
from nutmegworks.adapters import httpstore
from nutmegworks.adapters import workers
from nutmegworks.jobs import controller
from nutmegworks.jobs import gang
from nutmegworks.jobs import interfaces
from nutmegworks.jobs import repository
from nutmegworks.membership import ownership
from nutmegworks.model import ids
from tests.jobs import fakes

OWNER_LEASE_SECONDS = 1.0
RUNNING_LEASE_SECONDS = 4.0
RENEW_INTERVAL_SECONDS = 0.5
POLL_SECONDS = 0.05


def shorten_leases() -> None:
    ownership.LEASE_SECONDS = OWNER_LEASE_SECONDS
    gang.RUNNING_LEASE_SECONDS = RUNNING_LEASE_SECONDS
    gang.RENEW_INTERVAL_SECONDS = RENEW_INTERVAL_SECONDS
    gang.LEASE_MARGIN_SECONDS = 0.5


async def main(name: str, store: str, *worker_addresses: str) -> None:
    client = httpstore.HttpStore(hosts.parse_address(store))
    worker_hosts = [
        interfaces.WorkerHost(
            ids.WorkerId(f'w{index}'), hosts.parse_address(address)
        ) for index, address in enumerate(worker_addresses)
    ]

    async def list_workers():
        return worker_hosts

    def make_controller(token: ids.FencingToken) -> controller.Controller:
        print(f'owner {token}', flush=True)
        return controller.Controller(
            shard_id=fakes.SHARD,
            fencing_token=token,
            scheduler=fakes.FirstFit(),
            configuration=fakes.CONFIGURATION,
            jobs=repository.JobRepository(client),
            worker_client=workers.HttpWorkerClient(),
            list_workers=list_workers,
        )

    claim = ownership.ShardClaim(client, fakes.SHARD, ids.MemberId(name))
    await curio.spawn(claim_repeatedly, claim, daemon=True)
    while True:
        token = claim.token
        if token is not None:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(make_controller(token).run)
                await group.spawn(wait_until_lost, claim, token)
            # Reading the result raises the exception of the controller.
            assert group.result is None
        await curio.sleep(POLL_SECONDS)


async def claim_repeatedly(claim: ownership.ShardClaim) -> None:
    while True:
        await claim.step()
        await curio.sleep(OWNER_LEASE_SECONDS / 5)


async def wait_until_lost(
    claim: ownership.ShardClaim,
    token: ids.FencingToken,
) -> None:
    while claim.token == token:
        await curio.sleep(POLL_SECONDS)


if __name__ == '__main__':
    shorten_leases()
    curio.run(main, *sys.argv[1:])
