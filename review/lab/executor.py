"""Executors, and what is true of the jobs that clients submitted."""
from __future__ import annotations

import asyncio
import dataclasses
import json
import time
import typing

from lab import http
from lab import store as stores

TICK_SECONDS: typing.Final = 0.02
HEARTBEAT_SECONDS: typing.Final = 1.5
# An entry goes after three heartbeat intervals of silence.
ENTRY_SECONDS: typing.Final = 4.5
MAX_HOLD_SECONDS: typing.Final = 10.0
STOP_SECONDS: typing.Final = 0.1
GANG_SECONDS: typing.Final = 3.0
# A task that lasts is at work after this time.
STARTUP_SECONDS: typing.Final = 0.3
SERVICE: typing.Final = 'planner'

Log = typing.Callable[[str], None]


@dataclasses.dataclass
class Run:
    """A run on an executor; times are seconds of time.monotonic()."""

    task: str
    number: int
    executor: str
    started_at: float
    ends_at: float | None
    how: str = 'done'
    ended_at: float | None = None


class Truth:
    """Steps of all submitted jobs, and all runs that executors began.

    :ivar seconds: how long a task of a job takes.
    :ivar fails: ids of jobs all of whose runs fail through their own fault.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.steps: dict[str, list[dict[str, typing.Any]]] = {}
        self.seconds: dict[str, float] = {}
        self.fails: set[str] = set()
        self.runs: list[Run] = []

    def step(self, task: str) -> dict[str, typing.Any]:
        job, _, number, _ = task.rsplit('.', 3)
        return self.steps[job][int(number)]

    def runs_of(self, job: str) -> list[Run]:
        return [run for run in self.runs if run.task.startswith(job + '.')]


class Executor:
    """Follows "Running tasks" and "Service discovery" of PROTOCOL.md.

    :ivar faulty: it fails all that it starts, at once; its own reports and
        its health are good.
    :ivar busy: it answers starts with 503 and has then done nothing.
    :ivar cut: a partition holds up what comes in; it is lost at its end. What
        the executor runs goes on.
    """

    def __init__(
        self,
        name: str,
        kind: str,
        rack: str,
        store: stores.Store,
        truth: Truth,
        *,
        cpu: int = 128_000,
        memory: int = 524_288,
        gpu: int = 8,
    ) -> None:
        self.name = name
        self.capacity = {'cpu': cpu, 'memMb': memory, 'gpu': gpu}
        self.faulty = False
        self.busy = False
        self.cut = False
        self.server = http.Server(self._handle)
        self._labels = [kind, rack]
        self._store = store
        self._truth = truth
        self._sequence = 0
        self._up = False
        self._reset()

    def _reset(self) -> None:
        self._born = int(time.time() * 1000)
        self._clock_zero = time.monotonic() - 5.0
        self._running: dict[tuple[str, int], Run] = {}
        self._ended: list[list[typing.Any]] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}
        self._token = 0
        self._lease_until = 0.0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        await self.server.open()
        self._up = True
        asyncio.create_task(self._live())
        asyncio.create_task(self._beat())

    async def crash(self, down_seconds: float) -> None:
        """End without a word; start again under the same id and address."""
        self._truth.log(f'{self.name} crashes')
        self._up = False
        self.server.close()
        for run in self._running.values():
            run.how, run.ended_at = 'crashed', time.monotonic()
        self._running = {}
        await asyncio.sleep(down_seconds)
        self._reset()
        await self.server.open()
        self._up = True
        self._write_entry()
        self._truth.log(f'{self.name} runs again')

    def used(self) -> int:
        """Return the accelerators in use."""
        return sum(
            self._truth.step(run.task).get('gpu', 0)
            for run in self._running.values()
        )

    async def _beat(self) -> None:
        silent = 0.0
        while True:
            if self._up and not self.cut:
                silent = 0.0
                self._write_entry()
            else:
                silent += HEARTBEAT_SECONDS
                if silent >= ENTRY_SECONDS:
                    self._store.remove(f'servers/{self.name}')
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _write_entry(self) -> None:
        if self._store.down:
            return
        self._sequence += 1
        entry = {
            'service': SERVICE, 'address': self.server.address,
            'zone': 'north', 'version': 'v1', 'slots': 8, 'state': 'ready',
            'coldRemainingMs': 0, 'capacity': self.capacity,
            'labels': self._labels, 'clockMs': self._clock(),
            'sequence': self._sequence, 'born': self._born,
        }
        self._store.put(f'servers/{self.name}', json.dumps(entry).encode())

    def _clock(self) -> int:
        return int((time.monotonic() - self._clock_zero) * 1000)

    async def _live(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for run in list(self._running.values()):
                if now > self._lease_until:
                    self._end(run, 'lapsed')
                elif run.ends_at is not None and now > run.ends_at:
                    self._end(run, run.how)
                elif (self._truth.step(run.task).get('gang')
                      and now - run.started_at > GANG_SECONDS):
                    self._end(run, 'alone')

    def _end(self, run: Run, how: str) -> None:
        self._running.pop((run.task, run.number), None)
        run.how, run.ended_at = how, time.monotonic()
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.number, how, ''])
        self._truth.log(
            f'{self.name} lists the end of {run.task} run {run.number}: {how}'
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: http.Request) -> http.Response:
        await self._hold_up()
        if request.method == 'GET':
            return http.Response(200, {})
        if request.headers.get('x-expect-instance', self.name) != self.name:
            return http.Response(421, {'clockMs': self._clock()})
        body = request.json()
        token = body.get('fencingToken', 0)
        if token < self._token:
            return self._reject('fence')
        self._token = token
        if request.path == '/run-start':
            answer = self._start_run(body)
            self._truth.log(
                f'{self.name} is told to start {body["task"]} run '
                f'{body["runId"]}: {answer.status}'
            )
            return answer
        if request.path == '/run-stop':
            return self._stop_run(body)
        return await self._hold(body)

    async def _hold_up(self) -> None:
        """Hold a call up while a partition lasts; it is lost then."""
        if self.cut:
            while self.cut:
                await asyncio.sleep(TICK_SECONDS)
            raise http.Reset

    def _reject(self, reason: str) -> http.Response:
        return http.Response(
            409, {'clockMs': self._clock(), 'reason': reason}
        )

    def _extend(self, deadline_ms: int) -> None:
        until = self._clock_zero + deadline_ms / 1000
        self._lease_until = max(
            self._lease_until,
            min(until, time.monotonic() + MAX_HOLD_SECONDS),
        )

    def _start_run(self, body: dict[str, typing.Any]) -> http.Response:
        if self.busy:
            return http.Response(503, {'clockMs': self._clock()})
        task, number = body['task'], body['runId']
        if (task, number) in self._running:
            return http.Response(200, {'clockMs': self._clock()})
        if body['deadlineMs'] <= self._clock():
            return self._reject('late')
        self._extend(body['deadlineMs'])
        if number <= self._highest.get(task, 0):
            return self._reject('old')
        self._highest[task] = number
        now = time.monotonic()
        job = task.rsplit('.', 3)[0]
        step = self._truth.step(task)
        run = Run(task, number, self.name, now, None)
        if not step.get('longRunning') and not step.get('gang'):
            run.ends_at = now + self._truth.seconds[job]
        if self.faulty or job in self._truth.fails:
            run.ends_at, run.how = now + 0.1, 'failed'
        self._running[task, number] = run
        self._truth.runs.append(run)
        return http.Response(200, {'clockMs': self._clock()})

    def _stop_run(self, body: dict[str, typing.Any]) -> http.Response:
        task, number = body['task'], body['runId']
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get((task, number))
        if run is not None:
            run.ends_at, run.how = time.monotonic() + STOP_SECONDS, 'stopped'
        return http.Response(200, {'clockMs': self._clock()})

    async def _hold(self, body: dict[str, typing.Any]) -> http.Response:
        if 'deadlineMs' in body:
            self._extend(body['deadlineMs'])
        self._ended = [
            row for row in self._ended if row[0] > body.get('lastSeen', 0)
        ]
        until = time.monotonic() + min(2000, body.get('waitMs', 0)) / 1000
        while not self._ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self._changed.wait(), until - time.monotonic()
                )
            except (asyncio.TimeoutError, TimeoutError):
                break
        await self._hold_up()
        return http.Response(
            200, {
                'clockMs': self._clock(), 'born': self._born,
                'running': [
                    [run.task, run.number, '', self._percent(run),
                     self._truth.step(run.task).get('cpu', 0)]
                    for run in self._running.values()
                ],
                'ended': self._ended[:500],
            }
        )

    def _percent(self, run: Run) -> int:
        age = time.monotonic() - run.started_at
        step = self._truth.step(run.task)
        if step.get('longRunning'):
            return 100 if age > STARTUP_SECONDS else 0
        if run.ends_at is None:
            return 0
        total = max(0.01, run.ends_at - run.started_at)
        return min(99, int(100 * age / total))
