"""The only executor with a required label fails one run of a task."""
from __future__ import annotations

import asyncio
import typing

from lab import harness

# One of 12 is 8.3%; srv_grey on zahra-rounds: share 0.085, 6.5 s at
# most.
GREY_SECONDS: typing.Final = 6.5
STEP: typing.Final = {
    'count': 1, 'cpu': 15000, 'gpu': 1, 'estimatedMs': 2000,
    'requirements': 'b',
}


async def case(lab: harness.Lab) -> bool:
    kinds = {f'i-{number}': 'a' for number in range(1, 12)}
    await lab.start({**kinds, 'i-12': 'b'})
    special = lab.executors['i-12']
    special.faulty = lab.trouble
    job, statuses = await lab.submit('in question', 1, STEP, seconds=2.0)
    if statuses[-1] != 200:
        raise harness.CannotRun('the job was not accepted')
    if lab.trouble:
        failed = await lab.wait_until(
            lambda: any(
                run.how == 'failed' and run.ended_at
                for run in lab.truth.runs_of(job)
            ), GREY_SECONDS
        )
        special.faulty = False
        lab.log('i-12 is sound again')
        if not failed:
            raise harness.CannotRun('no run failed')
    await asyncio.sleep(1.0)
    other, statuses = await lab.submit('a later one', 1, STEP, seconds=2.0)
    if not await lab.wait_for_start(other, 5.0):
        raise harness.CannotRun('i-12 is given no work at all')
    await asyncio.sleep(harness.FINISH_SECONDS)
    return await lab.is_served(job, 1, special)


harness.run(case)
