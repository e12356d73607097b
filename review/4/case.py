"""An executor goes down and up by turns under a task that lasts."""
from __future__ import annotations

import asyncio
import typing

from lab import harness

# srv_flap on zahra-rounds-grown: share 0.1, each 1.4 s, for 6.5 s, so that an
# executor goes down three times. One of 12 is 8.3%.
STEP_SECONDS: typing.Final = 1.4
TURNS: typing.Final = 3
FLAPS: typing.Final = 2
CALM_SECONDS: typing.Final = 8.0
LASTING: typing.Final = {
    'count': 1, 'cpu': 11000, 'gpu': 1, 'estimatedMs': 2000,
    'requirements': 'b', 'longRunning': True,
}


async def case(lab: harness.Lab) -> bool:
    kinds = {f'i-{number}': 'a' for number in range(1, 12)}
    await lab.start({**kinds, 'i-12': 'b'})
    special = lab.executors['i-12']
    job, statuses = await lab.submit('lasts', 1, LASTING)
    if statuses != [200] or not await lab.wait_for_start(job, 5.0):
        raise harness.CannotRun('the lasting task did not start')
    for _ in range(FLAPS):
        await asyncio.sleep(CALM_SECONDS)
        for _ in range(TURNS):
            if lab.trouble:
                await special.crash(STEP_SECONDS)
            await asyncio.sleep(STEP_SECONDS)
    await asyncio.sleep(harness.FINISH_SECONDS)
    served = await lab.is_served(job, 1, special)
    state = await lab.state(job, 1)
    failures = sum(run.how == 'failed' for run in lab.truth.runs_of(job))
    lab.log(f'state {state}; runs that ended failed: {failures}')
    return served and state != 'failed'


harness.run(case)
