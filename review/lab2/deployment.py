"""A small deployment: daemons as the deploy file starts them, stand-ins."""
from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

from review.lab2 import executor as executors
from review.lab2 import store as stores
from review.lab2 import web

ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]
QUEUE_HOST: typing.Final = 'queue.example'
KEY: typing.Final = 'lab-key'
TENANT: typing.Final = 'north'
START_TIMEOUT_SECONDS: typing.Final = 30.0
# Below the 120 s that a case may take.
PLAY_TIMEOUT_SECONDS: typing.Final = 110.0
# Of the site zahra-rounds.
BOUNDS: typing.Final = {
    'contactMs': 3000,
    'ackMs': 4000,
    'drainMs': 2000,
    'graceS': 6,
    'configApplyMs': 2000,
    'maxHoldMs': 10000,
    'stopTimeoutMs': 200,
    'gangTimeoutMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'reclaimMs': 2700,
}
# What the site plygu-seddi has otherwise.
PLYGU_BOUNDS: typing.Final = {
    **BOUNDS,
    'maxHoldMs': 6000,
    'stopTimeoutMs': 900,
    'reclaimMs': 3400,
}
PLYGU_WORKER: typing.Final = {
    'cpu': 32000,
    'mem': 131072,
    'gpu': 8,
    'max_hold_ms': 6000,
}


class CannotRunError(Exception):
    """The case can't be run here."""


class Daemon:
    """One daemon process."""

    def __init__(
        self,
        name: str,
        zone: str,
        store_port: int,
        bounds: typing.Mapping[str, object],
    ) -> None:
        self.name = name
        self.front, ready, peers = web.free_ports(3)
        self._settings = {
            'nodeName': name,
            'role': 'node',
            'machineClass': 'edge',
            'serves': ['edge'],
            'ip': web.HOST,
            'zone': zone,
            'bindAddrs': {
                'front': f'{web.HOST}:{self.front}',
                'ready': f'{web.HOST}:{ready}',
            },
            'internalPorts': [peers, peers],
            'limits': {'cpuShare': 0.537, 'cores': 2, 'linkMbps': 1000.0},
            'bounds': bounds,
            'orders': 'call',
            'heartbeatMs': 1500,
            'platform': {
                'address': f'{web.HOST}:{store_port}',
                'form': 'kv',
                'valueBytes': 1048576,
                'minTtlMs': 1000,
            },
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, directory: pathlib.Path) -> None:
        path = directory / f'{self.name}.json'
        path.write_text(json.dumps(self._settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['node']['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['NUTMEGWORKS_BOOT'] = str(path)
        with (directory / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """Starts everything, and records what is sent, answered and run.

    :ivar started_at: monotonic seconds, from which the record counts.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seconds_of: typing.Callable[[str], float | None],
        *,
        daemons: int = 3,
        config: typing.Mapping[str, object] | None = None,
        bounds: typing.Mapping[str, object] = BOUNDS,
    ) -> None:
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self._lines = (folder / 'record.txt').open('w')
        self._temporary = tempfile.TemporaryDirectory()
        # LAB_LOGS=DIR keeps the daemons' logs.
        self.directory = pathlib.Path(
            os.environ.get('LAB_LOGS') or self._temporary.name
        )
        self.started_at = time.monotonic()
        self.seconds_of = seconds_of
        self.events: list[tuple[float, str, str, dict[str, typing.Any]]] = []
        self.store = stores.Store()
        self.executors: list[executors.Executor] = []
        self.daemons: list[Daemon] = []
        self._daemon_count = daemons
        self._bounds = bounds
        self._config = config or configuration()

    def note(self, event: str, who: str = '', **fields: typing.Any) -> None:
        now = time.monotonic() - self.started_at
        self.events.append((now, event, who, fields))
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._lines.write(f'{now:9.3f} {event} {who} {text}\n')
        self._lines.flush()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    async def start(self, names: typing.Sequence[str], **kind: object) -> None:
        if not (ROOT / 'target/deps/nutmegworks').is_dir():
            raise CannotRunError('target/deps is not built')
        await self.store.start()
        self.store.put('op/config', self._config)
        for name in names:
            await self.add_executor(name, **kind)
        for number in range(self._daemon_count):
            daemon = Daemon(
                f'edge-{number}',
                f'zone-{number % 3}',
                self.store.server.port,
                self._bounds,
            )
            daemon.start(self.directory)
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await self._wait_for(daemon)
        self.note('daemons serve')

    async def add_executor(
        self,
        name: str,
        **kind: typing.Any,
    ) -> executors.Executor:
        executor = executors.Executor(
            name, self.store, self.seconds_of, self.note, **kind
        )
        self.executors.append(executor)
        await executor.boot()
        return executor

    async def _wait_for(self, daemon: Daemon) -> None:
        until = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < until:
            answer = await self.call('GET', '', daemon, quiet=True)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRunError(f'{daemon.name} does not serve')

    async def call(
        self,
        method: str,
        job: str,
        daemon: Daemon | None = None,
        value: object = None,
        *,
        queue: str = '/q/',
        quiet: bool = False,
    ) -> tuple[int, typing.Any] | None:
        """Send a client's call; None if no whole answer came."""
        daemon = daemon or self.daemons[0]
        headers = {
            'host': QUEUE_HOST,
            'authorization': f'Bearer {KEY}',
            'x-deadline-ms': '3000',
        }
        answer = await web.call(
            daemon.front, method, f'{queue}{job}', headers, value
        )
        if not quiet:
            self.note(
                'call', daemon.name, method=method, target=queue + job,
                answer=answer
            )
        return answer

    async def submit(
        self,
        job: str,
        steps: typing.Sequence[typing.Mapping[str, object]],
        **fields: object,
    ) -> None:
        """Hand a job in as a client does, again until it is accepted."""
        value = {'spec': f'spec-{job}', 'steps': list(steps), **fields}
        for attempt in range(20):
            daemon = self.daemons[attempt % len(self.daemons)]
            answer = await self.call('POST', job, daemon, value)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(1.0)
        raise CannotRunError(f'job {job} is not accepted')

    async def state(self, job: str) -> str | None:
        """Return the state that a daemon shows, None for no such answer."""
        for daemon in self.daemons:
            if daemon.process is None or daemon.process.poll() is not None:
                continue
            answer = await self.call('GET', job, daemon)
            if answer is not None and answer[0] == 200:
                return answer[1]['state']
            if answer is not None and answer[0] == 410:
                return 'gone'
        return None

    def leader(self) -> Daemon | None:
        """Return the daemon that wrote under a condition and leads."""
        item = self.store.item_by_key.get('nutmeg/control/leader')
        if item is None:
            return None
        text = base64.b64decode(item['value']).decode()
        name = json.loads(text)['member']
        return next(d for d in self.daemons if d.name == name)

    async def until(
        self,
        condition: typing.Callable[[], bool],
        seconds: float,
    ) -> bool:
        """Wait for a condition; return whether it held in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return condition()

    async def stop(self) -> None:
        for daemon in self.daemons:
            daemon.kill()
        self._lines.close()
        self._temporary.cleanup()


def configuration(**route: object) -> dict[str, object]:
    """Return a configuration with one queue."""
    return {
        'version': 1,
        'routes': [
            {
                'name': 'q',
                'hostname': QUEUE_HOST,
                'prefix': '/q/',
                'service': 'planner',
                'priority': 1,
                'maxAttempts': 4,
                'stretch': 3.0,
                'targetLatencyMs': 1000,
                **route
            }
        ],
        'services': [{'name': 'planner'}],
        'tenants': [
            {'name': TENANT, 'apiKeys': [KEY], 'guaranteed': {'gpu': 8}}
        ],
        'limits': {},
    }


def main(
    deployment: Deployment,
    play: typing.Callable[[Deployment], typing.Awaitable[list[str]]],
) -> typing.NoReturn:
    """Play a case and exit: 1 rule broken, 0 held, 2 could not run."""

    async def run() -> int:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(
                play(deployment), PLAY_TIMEOUT_SECONDS
            )
        except (CannotRunError, asyncio.TimeoutError,
                asyncio.CancelledError) as error:
            deployment.note('cannot run', detail=repr(error))
            print(f'cannot run: {error!r}')
            return 2
        finally:
            for daemon in deployment.daemons:
                daemon.kill()
        for line in broken:
            deployment.note('BROKEN', detail=line)
            print(line)
        deployment.note('result', broken=len(broken))
        await deployment.stop()
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
