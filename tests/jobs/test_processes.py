from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import time
import typing

import curio
import msgspec
import pytest

from nutmegworks.adapters import hosts
from nutmegworks.adapters import httpstore
from nutmegworks.jobs import record
from nutmegworks.jobs import repository
from nutmegworks.jobs import service
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import pool
from standins import worker as worker_stand_in
from tests import builders
from tests import helpers
from tests.jobs import fakes
from tests.jobs import owner_process

STATE = record.JobState
BOUND_SECONDS = (
    owner_process.RUNNING_LEASE_SECONDS +
    owner_process.RENEW_INTERVAL_SECONDS + 1.5
)


class Processes:
    """A store, three workers and two owners, each in a separate process."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self._stack = stack
        self.store = self._serve('standins.store')
        self.workers = [
            self._serve('standins.worker', '--worker-id', f'w{index}')
            for index in range(3)
        ]
        addresses = [self.store[1], *(item[1] for item in self.workers)]
        self.owners = []
        for name in ('first', 'second'):
            owner = self._start('tests.jobs.owner_process', name, *addresses)
            self.owners.append(owner)
            if name == 'first':
                assert owner.stdout.readline() == 'owner 1\n'
        client = httpstore.HttpStore(hosts.parse_address(self.store[1]))
        self.service = service.JobService(
            repository.JobRepository(client),
            choose_shard=lambda spec: fakes.SHARD,
        )

    def _start(self, module: str, *arguments: str) -> typing.Any:
        process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self._stack.callback(process.wait, 10)
        self._stack.callback(process.kill)
        return process

    def _serve(self, module: str, *arguments: str) -> tuple[typing.Any, str]:
        process = self._start(module, *arguments)
        return process, process.stdout.readline().strip()

    async def accept(self, seconds: float) -> ids.JobId:
        payload = msgspec.json.encode({'run_seconds': seconds})
        answer = await self.service.accept(
            ids.TeamId('north'),
            builders.work_class('once', idempotent=False),
            builders.job_spec('2x8', payload=payload),
            ids.IdempotencyKey('1-a'),
            'digest',
        )
        return answer.ok_value

    async def executions(self) -> list[worker_stand_in.Execution]:
        runs = []
        connections = pool.Pool()
        for _, address in self.workers:
            answer = await connections.exchange(
                hosts.parse_address(address),
                message.Request('GET', '/executions'),
                timeout=1.0,
            )
            if answer.is_ok():
                runs += msgspec.json.decode(
                    answer.ok_value.body,
                    type=list[worker_stand_in.Execution],
                )
        return runs

    async def wait_until_started(self) -> None:
        async with curio.timeout_after(10.0):
            while len(await self.executions()) < 2:
                await curio.sleep(0.05)


@pytest.fixture
def processes() -> typing.Iterator[Processes]:
    with contextlib.ExitStack() as stack:
        yield Processes(stack)


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_owner_process_is_replaced(
    processes: Processes, signal_number: int
) -> None:
    """A gang must survive its owner, which must not affect it later on."""

    async def main() -> None:
        job_id = await processes.accept(seconds=5.0)
        await processes.wait_until_started()
        processes.owners[0].send_signal(signal_number)
        read = processes.owners[1].stdout.readline
        assert await curio.run_in_thread(read) == 'owner 2\n'
        await curio.sleep(0.5)
        processes.owners[0].send_signal(signal.SIGCONT)
        view = (await processes.service.wait(job_id, 20.0)).ok_value
        assert view.state is STATE.DONE
        runs = await processes.executions()
        assert [run.outcome for run in runs] == ['finished', 'finished']

    helpers.run(main)


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_worker_process_is_lost(
    processes: Processes, signal_number: int
) -> None:
    """The other member must stop within BOUND_SECONDS.

    The job is not idempotent, so nothing may run again.
    """

    async def main() -> None:
        job_id = await processes.accept(seconds=30.0)
        await processes.wait_until_started()
        processes.workers[0][0].send_signal(signal_number)
        lost_at = time.time()
        view = (await processes.service.wait(job_id, 25.0)).ok_value
        assert view.state is STATE.MAY_HAVE_RUN
        processes.workers[0][0].send_signal(signal.SIGCONT)
        await curio.sleep(0.2)
        runs = await processes.executions()
        assert len(runs) == (1 if signal_number is signal.SIGKILL else 2)
        for run in runs:
            assert run.outcome in ('stopped', 'expired')
            assert run.ended - lost_at <= BOUND_SECONDS

    helpers.run(main)
