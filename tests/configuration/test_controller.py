from __future__ import annotations

import curio

from nutmegworks.bench import cluster
from tests import helpers

IN_FORCE_SECONDS = 5.0


def test_change_is_in_force_despite_stopped_readers_and_a_store_cut() -> None:
    """Guards against a change that is not in force everywhere in time (P8).

    Half of the daemons are cut off from the store, watches get no answers and
    three readers are stopped.
    """

    async def main() -> None:
        async with cluster.running(24, seed=4) as running:
            assert await running.wait_until_adopted(1, limit=10.0)
            running.cut_from_store(running.nodes[::2])
            watching = [node.name for node in running.nodes[1::4]]
            running.network.unanswered_watches.update(watching)
            for node in running.readers[:3]:
                await node.stop()
            for _ in range(2):
                sequence = await running.accept()
                assert await running.wait_until_adopted(
                    sequence, limit=IN_FORCE_SECONDS
                )
            assert not any(node.reverted for node in running.nodes)

    helpers.run(main)


def test_change_is_in_force_with_all_readers_cut_from_the_store() -> None:
    """Guards against daemons that rely on readers that lost the store."""

    async def main() -> None:
        async with cluster.running(24, seed=5) as running:
            assert await running.wait_until_adopted(1, limit=10.0)
            running.cut_from_store(running.readers)
            sequence = await running.accept()
            assert await running.wait_until_adopted(
                sequence, limit=IN_FORCE_SECONDS
            )

    helpers.run(main)


def test_stale_reads_neither_revert_nor_stop_the_watch() -> None:
    """Guards against a stale read that reverts a daemon or stops its watch."""

    async def main() -> None:
        async with cluster.running(12, seed=6) as running:
            for _ in range(4):
                sequence = await running.accept()
            assert await running.wait_until_adopted(sequence, limit=10.0)
            running.store.faults.stale_reads = 3
            await curio.sleep(2.0)
            assert {node.sequence for node in running.nodes} == {sequence}
            running.store.faults.stale_reads = 0
            sequence = await running.accept()
            running.store.faults.stale_reads = 1
            await curio.sleep(1.0)
            running.store.faults.stale_reads = 0
            assert await running.wait_until_adopted(
                sequence, limit=IN_FORCE_SECONDS
            )
            # After a restart the reads are stale, but peers have the change.
            running.store.faults.stale_reads = 4
            await running.nodes[0].stop()
            await running.nodes[0].start()
            assert await running.wait_until_adopted(
                sequence, limit=IN_FORCE_SECONDS
            )
            assert not any(node.reverted for node in running.nodes)

    helpers.run(main)


def test_isolated_domain_retains_its_configuration_and_converges() -> None:
    """Guards against a domain without configuration during a partition.

    After the partition, the domain must adopt the latest change.
    """

    async def main() -> None:
        async with cluster.running(15, seed=9) as running:
            assert await running.wait_until_adopted(1, limit=10.0)
            inside = running.isolate('domain-0')
            outside = [node for node in running.nodes if node not in inside]
            sequence = await running.accept()
            assert await running.wait_until_adopted(
                sequence, limit=IN_FORCE_SECONDS, expected_nodes=outside
            )
            await curio.sleep(3.0)
            for node in inside:
                age = node.configuration.holder.age()
                assert node.sequence == 1 and age is not None and age > 3.0
            running.network.cuts.clear()
            assert await running.wait_until_adopted(
                sequence, limit=IN_FORCE_SECONDS
            )

    helpers.run(main)


def test_restart_after_more_changes_than_the_head_holds() -> None:
    """Guards against a daemon that can't catch up without a snapshot."""

    async def main() -> None:
        async with cluster.running(6, seed=7) as running:
            assert await running.wait_until_adopted(1, limit=10.0)
            running.store.faults.silent_watches = True
            lagging = running.nodes[0]
            await lagging.stop()
            for _ in range(300):
                sequence = await running.accept()
            running.store.faults.silent_watches = False
            await lagging.start()
            assert await running.wait_until_adopted(
                sequence, limit=IN_FORCE_SECONDS
            )
            expected = (await running.repository.load()).ok_value.document
            for node in running.nodes:
                current = node.configuration.current
                assert current is not None and current.document == expected

    helpers.run(main)
