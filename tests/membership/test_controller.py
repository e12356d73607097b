from __future__ import annotations

import curio

from nutmegworks.bench import cluster
from tests import helpers

HOSTS = 36
BUDGET_BYTES_PER_SECOND = 8 * 1024


def test_simultaneous_start_bounds_store_calls() -> None:
    """Daemons that all start at once must not overload the store."""

    async def main() -> None:
        async with cluster.running(HOSTS, seed=1) as running:
            running.store.calls.clear()
            assert await running.wait_until_adopted(1, limit=8.0)
            await curio.sleep(1.0)
            # Each of the 6 readers reads once and then watches; the fallback
            # adds 4 reads a second.
            assert sum(running.store.calls.values()) < 2 * HOSTS
            assert len(running.readers) == 6

    helpers.run(main)


def test_start_without_host_list_bounds_store_calls() -> None:
    """A daemon that knows no other member must not become a reader."""

    async def main() -> None:
        async with cluster.running(HOSTS, seed=2) as running:
            running.host_list.down = True
            running.store.calls.clear()
            await curio.sleep(3.0)
            assert sum(running.store.calls.values()) < HOSTS / 2
            running.host_list.down = False
            assert await running.wait_until_adopted(1, limit=15.0)

    helpers.run(main)


def test_control_traffic_stays_within_the_budget() -> None:
    """Traffic per host must stay below 8 KB/s at the two-year change rate."""

    async def main() -> None:
        async with cluster.running(HOSTS, seed=3) as running:
            assert await running.wait_until_adopted(1, limit=8.0)
            with running.count_traffic() as counted:
                for _ in range(3):
                    await running.accept()
                    await curio.sleep(1.5)
            rate = counted.per_host(HOSTS, 4.5)
            assert 500 < rate < BUDGET_BYTES_PER_SECOND

    helpers.run(main)


def test_leaving_daemon_is_propagated_to_all() -> None:
    """Work must not be forwarded to a daemon that is stopping."""

    async def main() -> None:
        async with cluster.running(12, seed=8) as running:
            assert await running.wait_until_adopted(1, limit=8.0)
            leaving = running.nodes[3]
            await leaving.membership.leave()
            await curio.sleep(4.0)
            for node in running.nodes:
                assert not node.table.is_alive(leaving.table.own.member_id)

    helpers.run(main)
