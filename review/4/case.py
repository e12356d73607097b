"""An executor on which a task lasts fails all that it starts for a while."""
from __future__ import annotations

import asyncio
import typing

from lab import harness

# One of 12 is 8.3%; srv_grey on zahra-rounds: share 0.085, 6.5 s at
# most.
GREY_SECONDS: typing.Final = 6.2
# Longer than any time for which the system suspends an executor (12 s).
CALM_SECONDS: typing.Final = 15.0
PLAIN: typing.Final = {'count': 1, 'cpu': 11000, 'gpu': 1, 'estimatedMs': 2000}
SPECIAL: typing.Final = {**PLAIN, 'requirements': 'b'}
LASTING: typing.Final = {**SPECIAL, 'longRunning': True}


async def case(lab: harness.Lab) -> bool:
    kinds = {f'i-{number}': 'a' for number in range(1, 12)}
    await lab.start({**kinds, 'i-12': 'b'})
    special = lab.executors['i-12']
    lasting, _ = await lab.submit('lasts', 1, LASTING)
    if not await lab.wait_for_start(lasting, 5.0):
        raise harness.CannotRun('the lasting task did not start')
    await asyncio.sleep(2.0)
    special.faulty = lab.trouble
    lab.log(f'i-12 fails all that it starts: {lab.trouble}')
    for number in range(4):
        await lab.submit(f'plain {number}', 1, PLAIN, seconds=2.0)
        await asyncio.sleep(GREY_SECONDS / 4)
    special.faulty = False
    lab.log('i-12 is sound')
    if lab.trouble and not any(
            run.how == 'failed' for run in lab.truth.runs):
        raise harness.CannotRun('nothing failed')
    await asyncio.sleep(CALM_SECONDS)
    job, statuses = await lab.submit('in question', 1, SPECIAL, seconds=2.0)
    if statuses[-1] != 200:
        raise harness.CannotRun('the job was not accepted')
    await asyncio.sleep(harness.FINISH_SECONDS)
    return await lab.is_served(job, 1, special)


harness.run(case)
