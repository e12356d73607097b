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
    """One write per response would exceed the store's budget."""

    async def scenario(backing, one, two) -> None:
        kept = [
            answers.Answer('t',
                           bytes([number]) * 100_000) for number in range(16)
        ]
        async with curio.TaskGroup() as group:
            for answer in kept:
                await group.spawn(lambda it=answer: one.keep(it, timeout=1.0))
        assert backing.puts <= 3
        found = [(await two.read(ref)).ok_value for ref in group.results]
        assert sorted(found, key=lambda it: it.body) == kept

    run(scenario)


def test_lost_answers_and_used_numbers() -> None:
    """A reference must lead to the response that it was given for."""

    async def scenario(backing, one, two) -> None:
        for daemon, body in ((one, b'1'), (two, b'2'), (one, b'3')):
            backing.faults.extend([Fault.DROP, Fault.LOSE])
            reference = await daemon.keep(answers.Answer('', body), timeout=1)
            backing.faults.clear()
            assert reference is not None
            assert (await one.read(reference)).ok_value.body == body

    run(scenario)


def test_store_out_keeps_nothing_and_says_so() -> None:
    """A reference to a segment that was not written would be false."""

    async def scenario(backing, one, two) -> None:
        backing.down = True
        assert await one.keep(answers.Answer('', b'1'), timeout=1.0) is None

    run(scenario)
