"""Executors as the users' pages describe them."""
from __future__ import annotations

import asyncio
import dataclasses
import json
import time
import typing

from review.lab3 import httpio
from review.lab3 import store as stores

ENDS_PER_ANSWER: typing.Final = 500
TICK_SECONDS: typing.Final = 0.01
STOP_SECONDS: typing.Final = 0.1
# The sheet of the deployment gives each executor 64 connections.
CONNECTIONS: typing.Final = 64
RACK: typing.Final = 'r1-1'

Record = typing.Callable[[str], None]


@dataclasses.dataclass
class Run:
    """A run at work; times are monotonic seconds."""

    started_at: float
    ends_at: float
    how: str = 'done'


class Executor:
    """One executor, through all of its lives.

    :param seconds: returns for how long a task works, and how it ends.
    """

    def __init__(
        self,
        store: stores.Store,
        worker_id: str,
        service: str,
        capacity: dict[str, int],
        record: Record,
        seconds: typing.Callable[[str, int], tuple[float, str]],
        *,
        max_hold: float = 10.0,
        heartbeat: float = 1.5,
        labels: tuple[str, ...] = ('a', RACK),
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.is_up = False
        # Of all lives: what was started, and how it ended.
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.noted: list[tuple[float, str, int, str]] = []
        self._store = store
        self._record = record
        self._seconds = seconds
        self._max_hold = max_hold
        self._heartbeat = heartbeat
        self._port = httpio.free_port()
        self.server = httpio.Server(self.handle, self._port, CONNECTIONS)
        self._tasks: list[asyncio.Task] = []
        self.runs: dict[tuple[str, int], Run] = {}

    @property
    def key(self) -> str:
        return f'servers/{self.worker_id}'

    async def start(self) -> None:
        """Begin a life, which knows nothing of an earlier one."""
        self.born = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self.runs = {}
        self._listed: list[list] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}
        self._token = 0
        self._lease_until = 0.0
        self._sequence = 0
        self._ended = asyncio.Event()
        self.is_up = True
        self._record(f'{self.worker_id} starts born={self.born}')
        # It is in the store before it answers anybody.
        self._say()
        await self.server.start()
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._beat()),
        ]

    async def crash(self) -> None:
        self._record(f'{self.worker_id} crashes with {sorted(self.runs)}')
        self.is_up = False
        self.runs = {}
        for task in self._tasks:
            task.cancel()
        await self.server.stop()

    def clock(self) -> int:
        return int((time.monotonic() - self._clock_start) * 1000)

    def _say(self) -> None:
        self._sequence += 1
        if self._sequence == 1:
            self._record(f'{self.worker_id} writes its entry born={self.born} '
                         f'labels={list(self.labels)}')
        self._store.put(
            self.key, {
                'service': self.service,
                'address': f'{httpio.HOST}:{self._port}',
                'zone': 'north',
                'version': '1',
                'slots': 8,
                'state': 'ready',
                'coldRemainingMs': 0,
                'sequence': self._sequence,
                'capacity': self.capacity,
                'labels': list(self.labels),
                'born': self.born,
            }
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self._heartbeat)
            if not (self.server.is_cut or self._store.is_down):
                self._say()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            lapsed = self.clock() > self._lease_until
            for key, run in list(self.runs.items()):
                if lapsed:
                    self._end(key, 'lapsed')
                elif now >= run.ends_at:
                    self._end(key, run.how)

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self.runs[key]
        self._end_count += 1
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        self._listed.append([self._end_count, key[0], key[1], how, ''])
        self.ends.append((time.monotonic(), *key, how))
        self._record(f'{self.worker_id} ends {key[0]} run={key[1]} {how}')
        self._ended.set()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        if headers.get('x-expect-instance', self.worker_id) != self.worker_id:
            return 421, {'clockMs': self.clock()}
        fields = json.loads(body or b'{}')
        token = fields.get('fencingToken', 0)
        if token < self._token:
            return self._reject('fence')
        self._token = token
        if target == '/run-start':
            return self._start_run(fields)
        if target == '/run-stop':
            return self._stop_run(fields)
        if target == '/hold':
            return await self._hold(fields)
        return 404, {}

    def _reject(self, reason: str) -> tuple[int, object]:
        return 409, {'clockMs': self.clock(), 'reason': reason}

    def _extend(self, deadline: int) -> None:
        longest = self.clock() + int(self._max_hold * 1000)
        self._lease_until = max(self._lease_until, min(deadline, longest))

    def _start_run(self, fields: dict) -> tuple[int, object]:
        key = fields['task'], fields['runId']
        if key in self.runs:
            return 200, {'clockMs': self.clock()}
        if fields['deadlineMs'] < self.clock():
            return self._reject('late')
        self._extend(fields['deadlineMs'])
        if key[1] <= self._highest.get(key[0], 0):
            return self._reject('old')
        seconds, how = self._seconds(*key)
        now = time.monotonic()
        self.runs[key] = Run(now, now + seconds, how)
        self.starts.append((now, *key))
        self._record(f'{self.worker_id} starts {key[0]} run={key[1]}')
        return 200, {'clockMs': self.clock()}

    def _stop_run(self, fields: dict) -> tuple[int, object]:
        key = fields['task'], fields['runId']
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        run = self.runs.get(key)
        if run is not None and run.how != 'stopped':
            run.ends_at = min(run.ends_at, time.monotonic() + STOP_SECONDS)
            run.how = 'stopped'
            self._record(f'{self.worker_id} stops {key[0]} run={key[1]}')
        return 200, {'clockMs': self.clock()}

    async def _hold(self, fields: dict) -> tuple[int, object]:
        if 'deadlineMs' in fields:
            self._extend(fields['deadlineMs'])
        seen = fields['lastSeen']
        now = time.monotonic()
        for row in self._listed:
            if row[0] <= seen:
                self.noted.append((now, *row[1:4]))
        self._listed = [row for row in self._listed if row[0] > seen]
        until = now + fields.get('waitMs', 0) / 1000
        while not self._listed and time.monotonic() < until:
            self._ended.clear()
            try:
                await asyncio.wait_for(
                    self._ended.wait(), until - time.monotonic()
                )
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for (task, number), run in self.runs.items():
            share = (now - run.started_at) / max(
                0.001, run.ends_at - run.started_at
            )
            running.append([task, number, '', min(99, int(100 * share)), 200])
        answer = {'clockMs': self.clock(), 'born': self.born,
                  'running': running, 'ended': self._listed[:ENDS_PER_ANSWER]}
        if len(self._listed) > ENDS_PER_ANSWER:
            self._record(f'{self.worker_id} lists {ENDS_PER_ANSWER} of '
                         f'{len(self._listed)} ends, {len(running)} running')
        return 200, answer
