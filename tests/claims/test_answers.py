from __future__ import annotations

import curio

from nutmegworks.claims import answers
from tests import helpers
from tests import memory_store

Fault = memory_store.Fault


def run(scenario):
    """Run a scenario with a store and two running answer stores."""
    backing = memory_store.MemoryStore()

    async def main() -> None:
        items = [answers.AnswerStore(backing, name) for name in ('i', 'i')]
        tasks = [await curio.spawn(item.run) for item in items]
        await scenario(backing, *items)
        for task in tasks:
            await task.cancel()

    helpers.run(main)


def test_responses_share_segments_below_the_value_limit() -> None:
    """One write per response would exceed the store's write limit."""

    async def scenario(backing, one, two) -> None:
        saved = [
            answers.Answer(
                't',
                bytes([number]) * 100_000,
            ) for number in range(16)
        ]
        async with curio.TaskGroup() as group:
            for answer in saved:
                await group.spawn(lambda it=answer: one.save(it, timeout=1.0))
        assert backing.puts <= 3
        read = [(await two.read(ref)).ok_value for ref in group.results]
        assert sorted(read, key=lambda it: it.body) == saved

    run(scenario)


def test_lost_store_responses_and_used_segment_numbers() -> None:
    """A reference must lead to the response for which it was returned."""

    async def scenario(backing, one, two) -> None:
        for daemon, body in ((one, b'1'), (two, b'2'), (one, b'3')):
            backing.faults.extend([Fault.DROP, Fault.LOSE])
            reference = await daemon.save(answers.Answer('', body), timeout=1)
            backing.faults.clear()
            assert reference is not None
            assert (await one.read(reference)).ok_value.body == body

    run(scenario)


def test_store_outage_returns_no_reference() -> None:
    """No reference may be returned to a segment that was not written."""

    async def scenario(backing, one, two) -> None:
        backing.down = True
        assert await one.save(answers.Answer('', b'1'), timeout=1.0) is None

    run(scenario)
