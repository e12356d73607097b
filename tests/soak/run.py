"""Runs daemons as processes under random faults and checks invariants.

    PYTHONPATH=src:. python -m tests.soak.run --seed 1 --seconds 30

The seed determines the faults and the load, but not the timing of processes.
"""
from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import curio
import curio.socket
import msgspec
import typer

from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.tasks import records
from nutmegworks.tasks import spec
from standins import relay as relays
from tests import capped_server
from tests.soak import checker as checkers
from tests.soak import platform
from tests.soak import waiting

HOST: typing.Final = '127.0.0.1'
QUEUE_HOST: typing.Final = 'soak.example'
PREFIX: typing.Final = '/q/'
API_KEY: typing.Final = 'soak-key'
START_TIMEOUT_SECONDS: typing.Final = 20.0
# After the faults, leases expire, a leader is elected and the remaining tasks
# run within this time.
SETTLE_TIMEOUT_SECONDS: typing.Final = 45.0
CALL_TIMEOUT_SECONDS: typing.Final = 3.0
SUBMIT_TIMEOUT_SECONDS: typing.Final = 15.0
# Clients that don't persist give up after this time; all of their attempts may
# have been refused.
IMPATIENT_SECONDS: typing.Final = 1.0
# After the faults and the load, waiting jobs get room within this time.
FINISH_SECONDS: typing.Final = 14.0
# For which the waiting of jobs is judged after that, with the tasks that last.
JUDGED_SECONDS: typing.Final = 10.0
CHECK_INTERVAL_SECONDS: typing.Final = 0.2
# For which the store waits for the write in which it ends.
WRITE_TIMEOUT_SECONDS: typing.Final = 2.0
POLL_INTERVAL_SECONDS: typing.Final = 0.3
# A job that was accepted this long before must be in a count of pending jobs:
# the platform's visible_ms and 2 s.
COUNT_SECONDS: typing.Final = 5.0
# Long enough for a daemon's last count of a queue to be out of date.
COUNT_INTERVAL_SECONDS: typing.Final = 1.0
HEARTBEAT_INTERVAL_SECONDS: typing.Final = 1.0
# Faults of the leader reveal more than those of other daemons.
LEADER_SHARE: typing.Final = 0.6
WORKER_RESOURCES: typing.Final = spec.Resources(8000, 8000, 4)
ATTEMPTS: typing.Final = 4
# Classes of work; jobs that are drawn use the first two.
PRIORITIES: typing.Final = (0, 1, 2)
# Of the workers, every fourth has the label that some steps require.
KINDS: typing.Final = ('a', 'a', 'a', 'b')
# Tasks of a job that is larger than an executor's connections.
LARGE_COUNTS: typing.Final = (150, 250, 400)
# Share of the jobs that require the label, that last and that always fail.
LABELLED_SHARE: typing.Final = 0.2
LASTING_SHARE: typing.Final = 0.08
FAILING_SHARE: typing.Final = 0.05

# Below the ephemeral ports of the kernel: an outgoing connection could take
# the port of a daemon that is down.
PORT_RANGE: typing.Final = range(20_000, 32_000)
_ALLOCATED_PORTS: typing.Final[set[int]] = set()


def free_port() -> int:
    """Return an unused port that no earlier call returned.

    With seed 80 two servers were assigned the same port.
    """
    while True:
        port = secrets.choice(PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in _ALLOCATED_PORTS:
            _ALLOCATED_PORTS.add(port)
            return port


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a run.

    :param seconds: how long faults are injected and jobs submitted.
    :param large_jobs: jobs of hundreds of tasks, at equal intervals; half of
        them are cancelled.
    """

    seed: int
    seconds: float
    daemons: int = 3
    workers: int = 6
    jobs_per_second: float = 2.0
    fault_interval_seconds: float = 1.2
    large_jobs: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class JobPlan:
    """A job that a client submits and follows to its end.

    :param cancels: whether the client cancels it soon after.
    :param always_fails: all of its runs fail through their own fault.
    :param patient: whether the client persists until the job is accepted.
    """

    job_id: ids.JobId
    body: bytes
    priority: int
    cancels: bool = False
    always_fails: bool = False
    patient: bool = True


class Daemon:
    """One daemon process and its relay to the store.

    :ivar limits: of its machine, as in its settings.
    """

    def __init__(self, name: str, directory: pathlib.Path) -> None:
        self.name = name
        self.front_address = (HOST, free_port())
        self.exit_codes: list[int] = []
        self.stopping = False
        self.limits: dict[str, int] = {}
        self._ready = (HOST, free_port())
        self._peers = free_port()
        self._directory = directory
        self._process: subprocess.Popen[bytes] | None = None
        self.relay: relays.Relay | None = None
        self.log_path = directory / f'{name}.log'

    async def open_relay(self, store: tuple[str, int]) -> None:
        self.relay = relays.Relay(store)
        listener = curio.socket.socket()
        listener.bind((HOST, 0))
        listener.listen(256)
        self._store = listener.getsockname()
        await curio.spawn(relays.accept, self.relay, listener, daemon=True)

    def start(self) -> None:
        settings = {
            'nodeName': self.name,
            'ip': HOST,
            'zone': self.name,
            'bindAddrs': {
                'front': f'{HOST}:{self.front_address[1]}',
                'ready': f'{HOST}:{self._ready[1]}',
            },
            'internalPorts': [self._peers, self._peers],
            'limits': self.limits,
            'platform': {
                'address': f'{HOST}:{self._store[1]}',
                'minTtlMs': 1000,
            },
        }
        path = self._directory / f'{self.name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': os.pathsep.join(sys.path),
            'NUTMEGWORKS_BOOT': str(path),
        }
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'nutmegworks.daemon.fleet'],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def reap(self) -> bool:
        """Return whether the process has ended; record its exit code."""
        if self._process is None or self._process.poll() is None:
            return False
        self.exit_codes.append(self._process.returncode)
        self._process = None
        return True

    async def keep_running(self) -> None:
        """Restart the process whenever it ends, as the platform does."""
        while not self.stopping:
            if self.reap():
                await curio.sleep(0.3)
                self.start()
            await curio.sleep(0.1)


class Soak:
    """One run of the soak.

    :ivar injected: the keys of the injected faults, in order.
    """

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self.checker = checkers.HistoryChecker()
        self._store = platform.StoreStandIn()
        self._gang_runs = platform.GangRuns()
        self._workers: list[platform.WorkerStandIn] = []
        self._daemons = [
            Daemon(f'host-{number}', directory)
            for number in range(plan.daemons)
        ]
        self._pool = pool.Pool()
        self._address_by_worker: dict[str, str] = {}
        self._job_tasks: list[curio.Task] = []
        # Targets of accepted jobs that last.
        self._lasting: dict[ids.JobId, str] = {}
        self._faults = {
            'kill': self._kill,
            'term': self._terminate,
            'pause': self._pause,
            'cancel-then-kill': self._cancel_at_cut_worker_then_kill,
            'cut': self._disturb_link,
            'store-down': self._stop_store,
            'store-ends': self._end_store_at_write,
            'store-slow': self._slow_store,
            'store-loses': self._lose_store_answers,
            'history': self._drop_history,
            'worker-silent': self._silence_worker,
            'worker-crash': self._crash_worker,
            'worker-faulty': self._fail_runs_of_worker,
            'worker-unheard': self._lose_worker_answers,
            'worker-lost': self._lose_worker,
            'worker-moves': self._move_worker,
        }
        self.injected: list[str] = []

    async def run(self) -> list[str]:
        """Run to the end and return the violations."""
        for task in (self._store.expire_leases, self._heartbeats):
            await curio.spawn(task, daemon=True)
        store = server.Server(self._store.handle)
        await store.start(HOST, 0)
        for _ in range(self._plan.workers):
            await self._add_worker()
        self._configure()
        for daemon in self._daemons:
            await daemon.open_relay(store.address)
            daemon.start()
            await curio.spawn(daemon.keep_running, daemon=True)
        try:
            await self._wait_for_daemons()
            load = await curio.spawn(self._submit_jobs)
            large = await curio.spawn(self._submit_large_jobs)
            faults = await curio.spawn(self._inject_faults)
            await curio.spawn(self._count_pending, daemon=True)
            await faults.join()
            await load.join()
            await large.join()
            await self._judge_waiting()
            await self._cancel_lasting()
            await self._settle()
            self.checker.finish()
        finally:
            for daemon in self._daemons:
                # The end that follows is the soak's own.
                daemon.stopping = True
                daemon.send_signal(signal.SIGCONT)
                daemon.send_signal(signal.SIGKILL)
        return self.checker.violations

    async def _add_worker(self, kind: str | None = None) -> None:
        if kind is None:
            kind = KINDS[len(self._workers) % len(KINDS)]
        worker = platform.WorkerStandIn(
            f'w{len(self._workers)}', WORKER_RESOURCES, self.checker,
            self._gang_runs, kind
        )
        self._workers.append(worker)
        await self._serve_worker(worker)
        await curio.spawn(worker.run, daemon=True)

    async def _serve_worker(self, worker: platform.WorkerStandIn) -> None:
        """Serve a worker at a new address."""
        service = capped_server.CappedServer(worker.handle)
        await service.start(HOST, 0)
        self._address_by_worker[worker.worker_id
                                ] = f'{HOST}:{service.address[1]}'

    def _configure(self) -> None:
        document = {
            'version':
            1,
            'routes': [
                {
                    'name': f'q{priority}',
                    'hostname': QUEUE_HOST,
                    'prefix': f'{PREFIX}{priority}/',
                    'service': checkers.SERVICE,
                    'priority': priority,
                    'maxAttempts': ATTEMPTS,
                    'stretch': 3.0,
                    'targetLatencyMs': 1000,
                } for priority in PRIORITIES
            ],
            'services': [{
                'name': checkers.SERVICE
            }],
            'tenants': [{
                'name': 'north',
                'apiKeys': [API_KEY]
            }],
        }
        self._store.store.put('op/config', msgspec.json.encode(document))

    async def _heartbeats(self) -> None:
        while True:
            for worker in self._workers:
                key = f'servers/{worker.worker_id}'
                address = self._address_by_worker.get(worker.worker_id, '')
                entry = worker.entry(address)
                stored = self._store.store.item_by_key.get(key)
                changed = stored is None or stored.value != entry
                if address and changed and not worker.silent:
                    self._store.store.put(key, entry)
            await curio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def _wait_for_daemons(self) -> None:
        until = time.monotonic() + START_TIMEOUT_SECONDS
        for daemon in self._daemons:
            while True:
                answer = await self._call(daemon, 'GET', f'{PREFIX}1/', b'')
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise TimeoutError(f'{daemon.name} does not start')
                await curio.sleep(0.2)

    async def _call(
        self,
        daemon: Daemon,
        method: str,
        target: str,
        body: bytes,
    ) -> message.Response | None:
        """Return the answer or None; a refused connection counts as 503."""
        request = message.Request(
            method,
            target,
            {
                'host': QUEUE_HOST,
                'authorization': f'Bearer {API_KEY}',
                'x-deadline-ms': str(int(CALL_TIMEOUT_SECONDS * 1000)),
            },
            body,
        )
        answer = await self._pool.exchange(
            daemon.front_address, request, timeout=CALL_TIMEOUT_SECONDS
        )
        if answer.is_err():
            if answer.err_value.fault is client.Fault.CONNECT:
                return message.Response(503)
            return None
        return answer.ok_value

    async def _submit_jobs(self) -> None:
        until = time.monotonic() + self._plan.seconds
        while time.monotonic() < until:
            pause = self._rng.expovariate(self._plan.jobs_per_second)
            await curio.sleep(min(2.0, pause))
            self._job_tasks.append(await curio.spawn(self._follow_job))

    async def _submit_large_jobs(self) -> None:
        # Not the seeded generator, which determines the faults and the load,
        # nor one of the same seed, which draws the same ids.
        rng = random.Random(f'large {self._plan.seed}')
        for number in range(self._plan.large_jobs):
            step = {
                'count': rng.choice(LARGE_COUNTS),
                'cpu': 10,
                'memMb': 1,
                'estimatedMs': rng.choice((300, 1500)),
            }
            body = msgspec.json.encode(
                {
                    'spec': f'{rng.getrandbits(64):016x}',
                    'steps': [step]
                }
            )
            job_id = ids.JobId(f'{rng.getrandbits(64):016x}')
            cancels = number % 2 == 1
            self._job_tasks.append(
                await
                curio.spawn(self._follow, JobPlan(job_id, body, 1, cancels))
            )
            await curio.sleep(self._plan.seconds / self._plan.large_jobs)

    def _make_job(self) -> bytes:
        rng = self._rng
        steps: list[dict[str, object]] = [
            {
                'count': rng.choice((1, 1, 2, 3, 5)),
                'cpu': rng.choice((500, 1000, 2000)),
                'memMb': 100,
                'gpu': rng.choice((0, 1, 1, 2)),
                'estimatedMs': rng.choice((300, 1500, 5000)),
                'gang': rng.random() < 0.4,
            }
        ]
        if rng.random() < LABELLED_SHARE:
            # A single worker may have to take them all.
            steps[0].update(requirements='b', count=rng.choice((1, 2)))
        if rng.random() < LASTING_SHARE:
            steps[0].update(longRunning=True, gang=False, gpu=1, count=1)
        elif rng.random() < 0.3:
            steps.append(
                {
                    'count': 2,
                    'cpu': 500,
                    'gpu': 1,
                    'after': [0],
                    'estimatedMs': 300
                }
            )
        payload = f'{rng.getrandbits(64):016x}'
        return msgspec.json.encode({'spec': payload, 'steps': steps})

    def _plan_job(self) -> JobPlan:
        rng = self._rng
        job_id = ids.JobId(f'{rng.getrandbits(64):016x}')
        body = self._make_job()
        priority = rng.choice((0, 1, 1))
        cancels = rng.random() < 0.15
        lasts = b'longRunning' in body
        always_fails = not lasts and rng.random() < FAILING_SHARE
        patient = lasts or rng.random() < 0.5
        return JobPlan(job_id, body, priority, cancels, always_fails, patient)

    async def _follow_job(self) -> None:
        await self._follow(self._plan_job())

    async def _follow(self, job_plan: JobPlan) -> None:
        """Submit a job and ask for it until it has ended."""
        rng = self._rng
        job_id, body = job_plan.job_id, job_plan.body
        target = f'{PREFIX}{job_plan.priority}/{job_id}'
        lasts = b'longRunning' in body
        view = self.checker.record_submission(
            job_id,
            body,
            attempts=ATTEMPTS,
            always_fails=job_plan.always_fails,
            queue=job_plan.priority,
        )
        until = time.monotonic() + (
            SUBMIT_TIMEOUT_SECONDS if job_plan.patient else IMPATIENT_SECONDS
        )
        while time.monotonic() < until and not view.accepted:
            daemon = rng.choice(self._daemons)
            answer = await self._call(daemon, 'POST', target, body)
            if answer is None or answer.status in (502, 504):
                view.uncertain = True
            elif answer.status == 200:
                view.accepted = True
                view.accepted_at = time.monotonic()
            else:
                await curio.sleep(POLL_INTERVAL_SECONDS)
        cancelled = False
        if job_plan.cancels and view.accepted:
            await curio.sleep(rng.uniform(0, 1.5))
            cancelled = await self._cancel(view, target)
        if lasts and view.accepted and not cancelled:
            self._lasting[job_id] = target
        while view.accepted and not self._has_ended(view):
            answer = await self._call(
                rng.choice(self._daemons), 'GET', target, b''
            )
            if answer is not None and answer.status == 200:
                state = msgspec.json.decode(answer.body)['state']
                self.checker.record_state(job_id, state)
            elif answer is not None and answer.status == 410:
                self.checker.violations.append(f'lost: {job_id} is not known')
            await curio.sleep(POLL_INTERVAL_SECONDS)

    async def _count_pending(self) -> None:
        """Ask daemons for the numbers of pending jobs, until cancelled."""
        # Not the seeded generator, which determines the faults and the load.
        rng = random.Random(self._plan.seed)
        while True:
            await curio.sleep(COUNT_INTERVAL_SECONDS)
            queue = rng.choice(PRIORITIES)
            asked_at = time.monotonic()
            answer = await self._call(
                rng.choice(self._daemons), 'GET', f'{PREFIX}{queue}/', b''
            )
            if answer is not None and answer.status == 200:
                self.checker.record_count(
                    queue,
                    msgspec.json.decode(answer.body)['pending'],
                    asked_at - COUNT_SECONDS,
                )

    @staticmethod
    def _has_ended(view: checkers.JobView) -> bool:
        return bool({'succeeded', 'cancelled', 'failed'} & set(view.states))

    async def _cancel(self, view: checkers.JobView, target: str) -> bool:
        """Cancel a job; return whether that was acknowledged."""
        for daemon in self._daemons:
            # The cancellation may take effect even if no answer arrives.
            view.cancelled_at = time.monotonic()
            answer = await self._call(daemon, 'DELETE', target, b'')
            if answer is not None and answer.status == 200:
                view.cancelled_at = time.monotonic()
                return True
        return False

    async def _inject_faults(self) -> None:
        until = time.monotonic() + self._plan.seconds
        names = sorted(self._faults)
        running = []
        while time.monotonic() < until:
            await curio.sleep(
                self._rng.uniform(0.3, 2 * self._plan.fault_interval_seconds)
            )
            name = self._rng.choice(names)
            self.injected.append(name)
            running.append(await curio.spawn(self._faults[name]))
        for task in running:
            await task.join()

    async def _judge_waiting(self) -> None:
        """Check that no job waits beside room; tasks that last still run."""
        await curio.sleep(FINISH_SECONDS)
        check = waiting.WaitingCheck(self.checker)
        until = time.monotonic() + JUDGED_SECONDS
        while time.monotonic() < until:
            check.check(
                {
                    worker.worker_id:
                    waiting.WorkerView(WORKER_RESOURCES, {worker.kind})
                    for worker in self._workers
                    if not worker.silent
                },
                time.monotonic(),
            )
            await curio.sleep(CHECK_INTERVAL_SECONDS)

    async def _cancel_lasting(self) -> None:
        """Cancel the jobs that last, each until that is acknowledged."""
        until = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        for job_id, target in self._lasting.items():
            view = self.checker.jobs_by_id[job_id]
            while not await self._cancel(view, target):
                if time.monotonic() > until:
                    self.checker.report('lost', f'{job_id} is not cancelled')
                    break
                await curio.sleep(POLL_INTERVAL_SECONDS)

    async def _settle(self) -> None:
        until = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        for task in self._job_tasks:
            remaining = max(0.1, until - time.monotonic())
            await curio.ignore_after(remaining, task.wait)
            if not task.terminated:
                # The checker reports the job.
                await task.cancel()
                continue
            if task.exception is not None:
                raise task.exception
            await task.join()

    def _choose_daemon(self) -> Daemon:
        """Return the leader with probability LEADER_SHARE, else any daemon."""
        chosen = self._rng.choice(self._daemons)
        if self._rng.random() < LEADER_SHARE:
            return self._leader() or chosen
        return chosen

    def _leader(self) -> Daemon | None:
        item = self._store.store.item_by_key.get(records.LEADER_KEY)
        if item is None:
            return None
        leader = msgspec.json.decode(item.value, type=records.Leader)
        by_name = {daemon.name: daemon for daemon in self._daemons}
        return by_name[leader.member]

    async def _kill(self) -> None:
        self._choose_daemon().send_signal(signal.SIGKILL)

    async def _terminate(self) -> None:
        self._choose_daemon().send_signal(signal.SIGTERM)

    async def _pause(self) -> None:
        daemon = self._choose_daemon()
        daemon.send_signal(signal.SIGSTOP)
        await curio.sleep(self._rng.uniform(0.5, 4.0))
        daemon.send_signal(signal.SIGCONT)

    async def _cancel_at_cut_worker_then_kill(self) -> None:
        """Change the leader while a worker can't be told to stop a run."""
        if not self._lasting:
            return
        job_id = self._rng.choice(sorted(self._lasting))
        worker_ids = self.checker.worker_ids(job_id)
        cut = [
            worker for worker in self._workers
            if worker.worker_id in worker_ids and not worker.silent
        ]
        for worker in cut:
            worker.silent = True
        target = self._lasting[job_id]
        if await self._cancel(self.checker.jobs_by_id[job_id], target):
            del self._lasting[job_id]
        await curio.sleep(0.5)
        self._choose_daemon().send_signal(signal.SIGKILL)
        await curio.sleep(self._rng.uniform(1.0, 4.0))
        for worker in cut:
            worker.silent = False

    async def _disturb_link(self) -> None:
        relay = self._choose_daemon().relay
        assert relay is not None
        modes = [mode for mode in relays.Mode if mode is not relays.Mode.PASS]
        relay.set_mode(self._rng.choice(modes))
        await curio.sleep(self._rng.uniform(0.5, 4.0))
        relay.set_mode(relays.Mode.PASS)

    async def _stop_store(self) -> None:
        self._store.store.down = True
        await curio.sleep(self._rng.uniform(0.3, 3.0))
        self._store.store.down = False

    async def _end_store_at_write(self) -> None:
        """End the store in the middle of a write, after it took effect."""
        self._store.ends_at_write = self._rng.choice(('', records.JOBS_PREFIX))
        until = time.monotonic() + WRITE_TIMEOUT_SECONDS
        while (self._store.ends_at_write is not None
               and time.monotonic() < until):
            await curio.sleep(0.05)
        self._store.ends_at_write = None
        await curio.sleep(self._rng.uniform(0.3, 3.0))
        self._store.store.down = False

    async def _slow_store(self) -> None:
        self._store.delay_seconds = 0.2
        await curio.sleep(self._rng.uniform(0.5, 3.0))
        self._store.delay_seconds = 0.0

    async def _lose_store_answers(self) -> None:
        self._store.lose_every = 3
        await curio.sleep(self._rng.uniform(0.5, 3.0))
        self._store.lose_every = 0

    async def _drop_history(self) -> None:
        self._store.store.silent_watches = True
        await curio.sleep(1.0)
        self._store.store.drop_history()
        self._store.store.silent_watches = False

    async def _silence_worker(self) -> None:
        worker = self._rng.choice(self._workers)
        worker.silent = True
        await curio.sleep(self._rng.uniform(0.5, 6.0))
        worker.silent = False

    async def _crash_worker(self) -> None:
        self._rng.choice(self._workers).restart()

    async def _fail_runs_of_worker(self) -> None:
        worker = self._rng.choice(self._workers)
        worker.faulty = True
        await curio.sleep(self._rng.uniform(0.5, 6.5))
        worker.faulty = False

    async def _lose_worker_answers(self) -> None:
        worker = self._rng.choice(self._workers)
        worker.unheard = True
        await curio.sleep(self._rng.uniform(0.5, 12.0))
        worker.unheard = False

    async def _lose_worker(self) -> None:
        """End a worker for good; another one comes under another name."""
        worker = self._rng.choice(self._workers)
        worker.silent = True
        worker.restart()
        if self._rng.random() < 0.5:
            self._store.store.remove(f'servers/{worker.worker_id}')
        await curio.sleep(self._rng.uniform(0.0, 2.0))
        await self._add_worker(worker.kind)

    async def _move_worker(self) -> None:
        """Restart a worker at another address."""
        worker = self._rng.choice(self._workers)
        worker.restart()
        await self._serve_worker(worker)


def run_soak(plan: Plan, directory: pathlib.Path) -> Soak:
    """Run one soak; the daemons write their logs into the directory."""
    soak = Soak(plan, directory)
    curio.run(soak.run)
    return soak


def main(seed: int = 1, seconds: float = 30.0, out: str = '') -> None:
    """Run the soak of one seed; exit with 1 if there was a violation."""
    with contextlib.ExitStack() as stack:
        temporary = stack.enter_context(tempfile.TemporaryDirectory())
        directory = pathlib.Path(out or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        soak = run_soak(Plan(seed, seconds), directory)
        jobs = soak.checker.jobs_by_id.values()
        accepted = sum(view.accepted for view in jobs)
        print(
            f'seed {seed}: {len(jobs)} jobs, {accepted} accepted, '
            f'{soak.checker.start_count} starts, faults {soak.injected}'
        )
        for line in soak.checker.violations:
            print(line)
        raise SystemExit(1 if soak.checker.violations else 0)


if __name__ == '__main__':
    typer.run(main)

__all__ = (
    'ATTEMPTS', 'JobPlan', 'PORT_RANGE', 'Plan', 'Soak', 'free_port', 'main',
    'run_soak'
)
