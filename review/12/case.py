"""Clients cancel many jobs at the same time."""
from __future__ import annotations

import asyncio
import secrets
import sys
import time
import typing

from review.lab3 import cluster as clusters
from review.lab3 import executors

EXECUTORS: typing.Final = 3
CPU_OF_AN_EXECUTOR: typing.Final = 128000
JOBS: typing.Final = 40
# A share of 0.4, the site's largest for `give_up`.
CANCELLED_JOBS: typing.Final = 16
TASKS_OF_A_JOB: typing.Final = 16
CPU_OF_A_TASK: typing.Final = 500
TASK_SECONDS: typing.Final = 60.0
SUBMIT_INTERVAL_SECONDS: typing.Final = 0.25
# From the sheet of the site.
CANCEL_SECONDS: typing.Final = 3.0
STOP_TIMEOUT_SECONDS: typing.Final = 0.2
# Between two cancels if there is no disruption.
CALM_INTERVAL_SECONDS: typing.Final = 0.5
JUDGED_SECONDS: typing.Final = 8.0
SAMPLE_SECONDS: typing.Final = 0.05


async def case(cluster: clusters.Cluster, with_trouble: bool) -> int:
    record = cluster.record
    workers = [
        executors.Executor(
            cluster.store, f'i-{number}00000aa', clusters.SERVICE,
            {'cpu': CPU_OF_AN_EXECUTOR, 'memMb': 524288, 'gpu': 8}, record,
            lambda task, run: (TASK_SECONDS, 'done'),
        ) for number in range(1, EXECUTORS + 1)
    ]
    if not await cluster.start():
        return 2
    for worker in workers:
        await worker.start()
    await asyncio.sleep(3)
    body = {
        'spec': 'text',
        'steps': [{'count': TASKS_OF_A_JOB, 'cpu': CPU_OF_A_TASK,
                   'memMb': 256, 'estimatedMs': int(1000 * TASK_SECONDS)}],
    }
    job_ids = [secrets.token_hex(8) for _ in range(JOBS)]
    for number, job_id in enumerate(job_ids):
        if await cluster.submit(job_id, body, number) != 200:
            return 2
        await asyncio.sleep(SUBMIT_INTERVAL_SECONDS)
    await asyncio.sleep(2)
    at_work = [len(worker.runs) for worker in workers]
    record(f'tasks at work: {at_work}')
    if sum(at_work) < JOBS * TASKS_OF_A_JOB:
        return 2
    cancelled_at: dict[str, float] = {}

    async def cancel(number: int, job_id: str) -> None:
        answer = await cluster.call('DELETE', job_id, turn=number)
        if answer is not None and answer[0] == 200:
            cancelled_at[job_id] = time.monotonic()

    calls = []
    for number, job_id in enumerate(job_ids[:CANCELLED_JOBS]):
        calls.append(asyncio.create_task(cancel(number, job_id)))
        if not with_trouble:
            await asyncio.sleep(CALM_INTERVAL_SECONDS)
    await asyncio.gather(*calls)
    record(f'{len(cancelled_at)} of {CANCELLED_JOBS} cancels are acknowledged')
    longest: dict[str, float] = {}
    until = time.monotonic() + JUDGED_SECONDS
    while time.monotonic() < until:
        now = time.monotonic()
        for worker in workers:
            for task, _ in worker.runs:
                acknowledged_at = cancelled_at.get(task.split('.')[0])
                if acknowledged_at is not None:
                    longest[task] = now - acknowledged_at
        await asyncio.sleep(SAMPLE_SECONDS)
    record(f'connections over the cap of {executors.CONNECTIONS}: '
           f'{[worker.server.over_cap for worker in workers]}')
    limit = CANCEL_SECONDS + STOP_TIMEOUT_SECONDS
    late = {task: seconds for task, seconds in longest.items()
            if seconds > limit}
    for task, seconds in late.items():
        record(f'UNASKED: {task} runs {seconds:.2f} s after the cancel was '
               'acknowledged')
    record(f'{len(late)} tasks of cancelled jobs ran for over {limit} s; '
           f'at work at the end: {[len(worker.runs) for worker in workers]}')
    if len(cancelled_at) < CANCELLED_JOBS:
        return 2
    return 1 if late else 0


if __name__ == '__main__':
    sys.exit(clusters.main(case))
