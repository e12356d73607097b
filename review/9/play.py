"""The leader is killed; the other machines are asked for the count."""
from __future__ import annotations

import asyncio
import pathlib
import typing

from review.lab2 import deployment as deployments

FILLER: typing.Final = '9a00000000000001'
JOBS: typing.Final = 12
EXECUTORS: typing.Final = 4
# visible_ms + 2 s, and a second more.
AGE_SECONDS: typing.Final = 6.0
ASK_SECONDS: typing.Final = 5.0
ASK_INTERVAL_SECONDS: typing.Final = 0.2
# A process that was killed starts again after a short delay.
RESTART_SECONDS: typing.Final = 0.5
START_TIMEOUT_SECONDS: typing.Final = 10.0


def seconds_of(task: str) -> float | None:
    return None if task.startswith(FILLER) else 2.0


def step(count: int, gpu: int, **fields: object) -> dict[str, object]:
    return {
        'count': count,
        'cpu': 15000,
        'memMb': 61000,
        'gpu': gpu,
        'estimatedMs': 2000,
        **fields
    }


async def play(deployment: deployments.Deployment) -> list[str]:
    await deployment.start([f'ex-{number}' for number in range(EXECUTORS)])
    # It takes all accelerators, so that the later jobs can't begin.
    await deployment.submit(
        FILLER, [step(EXECUTORS, 8, longRunning=True)]
    )
    if not await deployment.until(
            lambda: all(ex.runs for ex in deployment.executors),
            START_TIMEOUT_SECONDS):
        raise deployments.CannotRunError('the room is not filled')
    await asyncio.sleep(1.0)
    for daemon in deployment.daemons:
        await deployment.call('GET', '', daemon)
    for number in range(JOBS):
        await deployment.submit(f'9b{number:014x}', [step(1, 1)])
    await asyncio.sleep(AGE_SECONDS)
    leader = deployment.leader()
    if leader is None:
        raise deployments.CannotRunError('nobody leads')
    if deployment.trouble:
        deployment.note('leader is killed', leader.name)
        leader.kill()
        asyncio.get_running_loop().call_later(
            RESTART_SECONDS, leader.start, deployment.directory
        )
    others = [d for d in deployment.daemons if d is not leader]
    broken = []
    for _ in range(int(ASK_SECONDS / ASK_INTERVAL_SECONDS)):
        for daemon in others:
            answer = await deployment.call('GET', '', daemon)
            if answer is None or answer[0] != 200:
                continue
            pending = answer[1]['pending']
            begun = sum(bool(ex.runs) for ex in deployment.executors)
            assert begun == EXECUTORS
            if 2 * pending < JOBS:
                broken.append(f'{daemon.name}: {pending}')
        await asyncio.sleep(ASK_INTERVAL_SECONDS)
    if not broken:
        return []
    return [f'MIXED: {len(broken)} answers give under half of {JOBS} pending '
            f'jobs, first {broken[0]}']


def main(folder: pathlib.Path) -> typing.NoReturn:
    deployments.main(deployments.Deployment(folder, seconds_of), play)
