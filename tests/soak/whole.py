"""Plays all that keeps work off workers at once, on real processes.

    PYTHONPATH=src:. python -m tests.soak.whole --kills 2

Tasks that last and long plain tasks hold a part of each worker, so that gangs
have no room on the workers with one label. The only worker with the other one
is faulty while jobs that always fail and a sound one need it. Small jobs come
all the while. With ``--kills`` the leader is killed meanwhile.
"""
from __future__ import annotations

import pathlib
import signal
import tempfile
import typing

import curio
import msgspec
import typer

from nutmegworks.model import ids
from tests.soak import run

WORKERS: typing.Final = 6
# The fourth has the label b, the others a.
LABELLED: typing.Final = 3
FAULTY_SECONDS: typing.Final = 6.5
SMALL_JOBS: typing.Final = 6
WHOLE_GANG: typing.Final = ids.JobId('00000000000000f0')
WIDE_GANG: typing.Final = ids.JobId('00000000000000f2')
LABELLED_JOB: typing.Final = ids.JobId('00000000000000f1')


def _step(count: int = 1, **fields: object) -> dict[str, object]:
    return {
        'count': count,
        'cpu': 500,
        'memMb': 100,
        'gpu': 1,
        'estimatedMs': 2000,
        **fields
    }


def _spread(**fields: object) -> dict[str, object]:
    return _step(WORKERS, antiAffinity=1, **fields)


def jobs() -> typing.Iterator[tuple[float, run.JobPlan]]:
    """Yield the jobs with the seconds after which each is submitted."""
    lasting = _spread(longRunning=True)
    long = _spread(gpu=0, cpu=4000, estimatedMs=40_000)
    labelled = _step(requirements='b')
    # Its room is held by the tasks that last.
    whole_gang = _step(WORKERS - 1, gpu=4, gang=True, requirements='a')
    # Its room is held by the long tasks.
    wide_gang = _step(
        WORKERS - 1, gpu=3, cpu=5000, gang=True, requirements='a'
    )
    plans = [
        (0.0, ids.JobId('00000000000000a0'), lasting, 1, False),
        (0.2, ids.JobId('00000000000000a1'), long, 1, False),
        (1.5, ids.JobId('00000000000000b0'), labelled, 1, True),
        (1.6, ids.JobId('00000000000000b1'), labelled, 1, True),
        (1.8, WHOLE_GANG, whole_gang, 1, False),
        (2.0, WIDE_GANG, wide_gang, 1, False),
        (2.5, LABELLED_JOB, labelled, 1, False),
    ]
    # A class below the gangs, which would come later in their own.
    plans += [
        (
            3.0 + number,
            ids.JobId(f'00000000000000c{number}'),
            _step(
                estimatedMs=40_000 if number % 2 else 1000,
                requirements='a',
            ),
            2,
            False,
        ) for number in range(SMALL_JOBS)
    ]
    for at, job_id, step, priority, fails in plans:
        body = msgspec.json.encode({'spec': job_id, 'steps': [step]})
        yield at, run.JobPlan(job_id, body, priority, always_fails=fails)


class WholePlay(run.Soak):
    """Submits the jobs and makes the labelled worker faulty.

    :param kills: how often the leader is killed.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        kills: int = 0,
    ) -> None:
        super().__init__(run.Plan(1, seconds=10.0, workers=WORKERS), directory)
        self._kills = kills

    async def _submit_jobs(self) -> None:
        elapsed = 0.0
        for at, job_plan in jobs():
            await curio.sleep(at - elapsed)
            elapsed = at
            self._job_tasks.append(await curio.spawn(self._follow, job_plan))

    async def _inject_faults(self) -> None:
        worker = self._workers[LABELLED]
        await curio.sleep(1.0)
        worker.faulty = True
        for _ in range(self._kills):
            await curio.sleep(FAULTY_SECONDS / (self._kills + 1))
            leader = self._leader()
            if leader is not None:
                leader.send_signal(signal.SIGKILL)
        await curio.sleep(FAULTY_SECONDS / (self._kills + 1))
        worker.faulty = False


def main(kills: int = 0, out: str = '') -> None:
    """Run the play; exit with 1 if there was a violation."""
    with tempfile.TemporaryDirectory() as temporary:
        directory = pathlib.Path(out or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        play = WholePlay(directory, kills)
        curio.run(play.run)
        for job_id, view in play.checker.jobs_by_id.items():
            print(job_id, view.states)
        for line in play.checker.violations:
            print(line)
        raise SystemExit(1 if play.checker.violations else 0)


if __name__ == '__main__':
    typer.run(main)

__all__ = (
    'LABELLED_JOB',
    'WHOLE_GANG',
    'WIDE_GANG',
    'WholePlay',
    'jobs',
    'main',
)
