"""A large gang has no room, because tasks last on the executors."""
from __future__ import annotations

import asyncio
import typing

from lab import harness

COUNT: typing.Final = 6
LASTING: typing.Final = {
    'count': COUNT, 'cpu': 11000, 'gpu': 1, 'estimatedMs': 2000,
    'antiAffinity': 1, 'longRunning': True,
}
GANG: typing.Final = {
    'count': COUNT, 'cpu': 52000, 'gpu': 8, 'estimatedMs': 6800,
    'gang': True,
}
SMALL: typing.Final = {'count': 1, 'cpu': 11000, 'gpu': 1, 'estimatedMs': 7600}


async def case(lab: harness.Lab) -> bool:
    await lab.start({f'i-{number}': 'a' for number in range(1, COUNT + 1)})
    lasting, _ = await lab.submit('lasts', 1, LASTING)
    if not await lab.wait_until(
            lambda: len(lab.truth.runs_of(lasting)) == COUNT, 5.0):
        raise harness.CannotRun('the lasting tasks did not start')
    await asyncio.sleep(2.0)
    if lab.trouble:
        await lab.submit('large gang', 1, GANG, seconds=6.8)
        await asyncio.sleep(1.0)
    job, statuses = await lab.submit('small', 2, SMALL, seconds=7.6)
    if statuses[-1] != 200:
        raise harness.CannotRun('the job was not accepted')
    await asyncio.sleep(harness.FINISH_SECONDS)
    return await lab.is_served(job, 2, *lab.executors.values())


harness.run(case)
