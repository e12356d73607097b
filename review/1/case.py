"""The leader ends while an executor can't be told to stop a cancelled job."""
from __future__ import annotations

import asyncio
import signal
import typing

from lab import harness

# node_cut (servers) on zahra-rounds: share 0.17, 5.5 s at most. One of
# 12 is 8.3%.
CUT_SECONDS: typing.Final = 5.2
# "restarted after a short delay"
RESTART_SECONDS: typing.Final = 0.5
LASTING: typing.Final = {
    'count': 1, 'cpu': 11000, 'gpu': 1, 'estimatedMs': 2000,
    'longRunning': True,
}


async def case(lab: harness.Lab) -> bool:
    await lab.start({f'i-{number}': 'a' for number in range(1, 13)})
    job, statuses = await lab.submit('lasts', 1, LASTING)
    if statuses[-1] != 200 or not await lab.wait_for_start(job, 5.0):
        raise harness.CannotRun('the lasting task did not start')
    await asyncio.sleep(3.0)
    run = lab.truth.runs_of(job)[0]
    executor = lab.executors[run.executor]
    executor.cut = lab.trouble
    lab.log(f'{executor.name} is cut off: {executor.cut}')
    await asyncio.sleep(1.0)
    if not await lab.cancel(job, 1):
        raise harness.CannotRun('the cancelling was not acknowledged')
    await asyncio.sleep(1.0)
    if lab.trouble:
        leader = await lab.last_conditional_writer()
        lab.log(f'{leader.name} is killed')
        leader.signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_SECONDS)
        leader.start(lab.store.server.address)
        await asyncio.sleep(CUT_SECONDS - 2.0 - RESTART_SECONDS)
    executor.cut = False
    lab.log(f'{executor.name} is reached by all')
    await asyncio.sleep(harness.FINISH_SECONDS)
    state = await lab.state(job, 1)
    running = [
        item for item in lab.truth.runs_of(job) if item.ended_at is None
    ]
    lab.log(
        f'state {state}; still running: '
        f'{[(item.executor, item.number) for item in running]}'
    )
    return not running


harness.run(case)
