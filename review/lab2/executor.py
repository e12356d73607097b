"""A stand-in of an executor, by PROTOCOL.md."""
from __future__ import annotations

import asyncio
import dataclasses
import json
import time
import typing

from review.lab2 import store as stores
from review.lab2 import web

STOP_SECONDS: typing.Final = 0.1
TICK_SECONDS: typing.Final = 0.01
ENDS_AT_A_TIME: typing.Final = 500
# Of the sheets.
MAX_CONNECTIONS: typing.Final = 64
HEARTBEAT_SECONDS: typing.Final = 1.5
# An entry is removed after this many heartbeats of silence.
SILENT_HEARTBEATS: typing.Final = 3


@dataclasses.dataclass
class Run:
    """A run that has not ended; times are monotonic seconds."""

    began: float
    seconds: float | None
    stops_at: float | None = None

    def percent(self, now: float) -> int:
        if self.seconds is None:
            return 100
        return max(0, min(99, int(100 * (now - self.began) / self.seconds)))


class Executor:
    """One machine; ``crash`` ends a life, ``boot`` begins one.

    :param seconds_of: returns how long a task runs, None for a lasting one.
    :param note: records an event: name, then fields.
    :ivar cut: it works, but no call reaches it and it reaches nobody.
    """

    def __init__(
        self,
        name: str,
        store: stores.Store,
        seconds_of: typing.Callable[[str], float | None],
        note: typing.Callable[..., None],
        *,
        service: str = 'planner',
        cpu: int = 128000,
        gpu: int = 8,
        mem: int = 524288,
        labels: typing.Sequence[str] = ('a', 'r1-1'),
        max_hold_ms: int = 10000,
    ) -> None:
        self.name = name
        self.labels = list(labels)
        self.up = False
        self.cut = False
        self.runs: dict[tuple[str, int], Run] = {}
        self._store = store
        self._seconds_of = seconds_of
        self._note = note
        self._service = service
        self._max_hold_ms = max_hold_ms
        self._capacity = {'cpu': cpu, 'memMb': mem, 'gpu': gpu}
        self._server = web.Server(self._handle, MAX_CONNECTIONS)
        self._port = 0
        self._beat_at = 0.0

    async def boot(self) -> None:
        """Start a new life, which knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self._booted_at = time.monotonic()
        self.runs = {}
        self._ended: list[list[typing.Any]] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}
        self._token = 0
        self._lease = 0
        self._sequence = 0
        self.up = True
        await self._server.start(self._port)
        self._port = self._server.port
        self._note('boot', self.name, born=self.born)
        life = self.born
        loop = asyncio.get_running_loop()
        loop.create_task(self._work(life))
        loop.create_task(self._beat(life))

    async def crash(self) -> None:
        """Lose all runs and all state at once."""
        self.up = False
        self._note('crash', self.name, runs=len(self.runs))
        for task, run in self.runs:
            self._note('end', self.name, task=task, run=run, how='crash')
        self.runs = {}
        await self._server.close()

    def _clock(self) -> int:
        return int((time.monotonic() - self._booted_at) * 1000) + 1000

    async def _beat(self, life: int) -> None:
        key = f'servers/{self.name}'
        while self.up and self.born == life:
            if not self.cut and not self._store.down:
                self._sequence += 1
                self._beat_at = time.monotonic()
                self._store.put(key, self._entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)
        while self.born == life and key in self._store.item_by_key:
            silent = time.monotonic() - self._beat_at
            if silent > SILENT_HEARTBEATS * HEARTBEAT_SECONDS:
                self._note('entry removed', self.name)
                self._store.delete(key)
            await asyncio.sleep(TICK_SECONDS)

    def _entry(self) -> dict[str, object]:
        return {
            'service': self._service,
            'address': f'{web.HOST}:{self._port}',
            'zone': 'north',
            'version': '1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self._sequence,
            'born': self.born,
            'capacity': self._capacity,
            'labels': self.labels,
        }

    async def _work(self, life: int) -> None:
        while self.up and self.born == life:
            now = time.monotonic()
            lapsed = self._clock() > self._lease
            for key, run in list(self.runs.items()):
                if lapsed:
                    self._end(key, 'lapsed')
                elif run.stops_at is not None and now > run.stops_at:
                    self._end(key, 'stopped')
                elif (run.stops_at is None and run.seconds is not None
                      and now > run.began + run.seconds):
                    self._end(key, 'done')
            await asyncio.sleep(TICK_SECONDS)

    def _end(self, key: tuple[str, int], how: str) -> None:
        task, run = key
        del self.runs[key]
        self._end_count += 1
        self._ended.append([self._end_count, task, run, how, ''])
        self._highest[task] = max(self._highest.get(task, 0), run)
        self._note(
            'end', self.name, task=task, run=run, how=how,
            number=self._end_count
        )

    async def _handle(
        self,
        method: str,
        target: str,
        headers: typing.Mapping[str, str],
        body: bytes,
    ) -> tuple[int, object] | None:
        if self.cut:
            while self.cut:
                await asyncio.sleep(TICK_SECONDS)
            return None
        if headers.get('x-expect-instance') != self.name:
            return 421, {'clockMs': self._clock()}
        fields = json.loads(body)
        token = fields.get('fencingToken', 0)
        if token < self._token:
            return self._reject('fence')
        self._token = token
        if target == '/run-start':
            return self._start(fields)
        if target == '/run-stop':
            return self._stop(fields)
        if target == '/hold':
            answer = await self._hold(fields)
            return None if self.cut else answer
        return 404, {}

    def _reject(self, reason: str) -> tuple[int, object]:
        return 409, {'clockMs': self._clock(), 'reason': reason}

    def _extend(self, until: int) -> None:
        latest = self._clock() + self._max_hold_ms
        self._lease = max(self._lease, min(until, latest))

    def _start(self, fields: dict[str, typing.Any]) -> tuple[int, object]:
        task, run = fields['task'], fields['runId']
        if (task, run) in self.runs:
            return 200, {'clockMs': self._clock()}
        if fields['deadlineMs'] <= self._clock():
            return self._reject('late')
        self._extend(fields['deadlineMs'])
        if run <= self._highest.get(task, 0):
            return self._reject('old')
        self.runs[task, run] = Run(time.monotonic(), self._seconds_of(task))
        self._note('start', self.name, task=task, run=run)
        return 200, {'clockMs': self._clock()}

    def _stop(self, fields: dict[str, typing.Any]) -> tuple[int, object]:
        task, number = fields['task'], fields['runId']
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_SECONDS
        self._note('stop', self.name, task=task, run=number)
        return 200, {'clockMs': self._clock()}

    async def _hold(self, fields: dict[str, typing.Any]) -> tuple[int, object]:
        seen = fields['lastSeen']
        for end in self._ended:
            if end[0] <= seen:
                self._note(
                    'noted', self.name, task=end[1], run=end[2], how=end[3]
                )
        self._ended = [end for end in self._ended if end[0] > seen]
        if 'deadlineMs' in fields:
            self._extend(fields['deadlineMs'])
        until = time.monotonic() + fields.get('waitMs', 0) / 1000
        while (not self._ended and time.monotonic() < until and self.up):
            await asyncio.sleep(TICK_SECONDS)
        now = time.monotonic()
        return 200, {
            'clockMs': self._clock(),
            'born': self.born,
            'running': [
                [task, number, '', run.percent(now), 0]
                for (task, number), run in self.runs.items()
            ],
            'ended': self._ended[:ENDS_AT_A_TIME],
        }
