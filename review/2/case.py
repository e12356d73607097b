"""The store ends after it has stored a job and before it has answered."""
from __future__ import annotations

import asyncio
import typing

from lab import harness

# platform_down on zahra-rounds: 4.5 s at most.
DOWN_SECONDS: typing.Final = 4.2
STEP: typing.Final = {'count': 1, 'cpu': 15000, 'gpu': 1, 'estimatedMs': 1000}


async def case(lab: harness.Lab) -> bool:
    await lab.start({f'i-{number}': 'a' for number in range(1, 13)})
    _, statuses = await lab.submit('before', 1, STEP)
    if statuses[-1] != 200:
        raise harness.CannotRun('no job is accepted on a quiet day')
    crash = asyncio.Event()

    def end_store(keys: list[str]) -> None:
        """End the store with the first record that names a new job."""
        if not crash.is_set() and any(
                job in key for key in keys for job in new_jobs()):
            lab.log(f'store: has stored {keys[0]}, ends without an answer')
            lab.store.down = True
            lab.store.server.close()
            crash.set()

    known = set(lab.truth.steps)

    def new_jobs() -> set[str]:
        return set(lab.truth.steps) - known

    async def outage() -> None:
        await crash.wait()
        await lab.store.restart(DOWN_SECONDS)
        lab.log('store: serves again')

    if lab.trouble:
        lab.store.on_commit = end_store
        asyncio.create_task(outage())
    job, statuses = await lab.submit('in question', 1, STEP)
    if lab.trouble and not crash.is_set():
        raise harness.CannotRun('the store was not ended')
    started = await lab.wait_for_start(
        job, DOWN_SECONDS + harness.FINISH_SECONDS
    )
    lab.log(f'answers to all attempts: {statuses}; started: {started}')
    rejected = all(status in (429, 503) for status in statuses)
    if not lab.trouble and statuses[-1] != 200:
        raise harness.CannotRun('the job was not accepted')
    return not (started and rejected)


harness.run(case)
