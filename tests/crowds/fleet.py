"""The platform's daemons and its store, for tests with crowds."""
from __future__ import annotations

import contextlib
import pathlib
import signal
import threading
import time
import typing

import curio
import msgspec

from nutmegworks.model import ids
from nutmegworks.tasks import records
from tests.crowds import clients
from tests.crowds import site
from tests import helpers
from tests.soak import platform
from tests.soak import run as soak

START_SECONDS: typing.Final = 40.0
HOST_NAMES: typing.Final = ('host-0', 'host-1', 'host-2')
MAX_BODY_BYTES: typing.Final = 262_144
TARGET: typing.Final = '/q/0/'
# The limits of the configuration that the platform's sites have.
LIMITS: typing.Final = {
    'maxBodyBytes': MAX_BODY_BYTES,
    'maxHeaderBytes': 16_384,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15_000,
}


class Fleet:
    """Three daemons and a store; the store runs in a thread of the test.

    :ivar usages: by host.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        max_descriptors: int,
        memory_mb: int,
    ) -> None:
        self._store = platform.StoreStandIn()
        self._daemons = {
            name: soak.Daemon(name, directory)
            for name in HOST_NAMES
        }
        for daemon in self._daemons.values():
            daemon.limits = {
                'memoryMb': memory_mb,
                'maxFds': max_descriptors,
            }
        self.usages: dict[str, site.Usage] = {}
        self._stop = threading.Event()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run_store, daemon=True)
        self._jobs = 0

    def _run_store(self) -> None:
        curio.run(self._serve_store)

    async def _serve_store(self) -> None:
        store = helpers.stand_in_server(self._store.handle)
        await store.start(soak.HOST, 0)
        self._store.store.put('op/config', _configuration())
        for daemon in self._daemons.values():
            await daemon.open_relay(store.address)
        self._started.set()
        await curio.spawn(self._store.expire_leases, daemon=True)
        while not self._stop.is_set():
            await curio.sleep(0.05)

    def start(self) -> None:
        """Start all processes and wait until there is a leader."""
        self._thread.start()
        assert self._started.wait(START_SECONDS)
        for name in HOST_NAMES:
            self.start_daemon(name)
        for name in HOST_NAMES:
            assert self.answers_ordinary_request(name)
        deadline = time.monotonic() + START_SECONDS
        while self.leader() is None and time.monotonic() < deadline:
            time.sleep(0.05)

    def start_daemon(self, name: str) -> None:
        daemon = self._daemons[name]
        daemon.start()
        process = daemon._process
        assert process is not None
        self.usages[name] = site.Usage(process.pid, daemon.front_address[1])

    def end_daemon(self, name: str, number: signal.Signals) -> int:
        """Send a signal to a process and return its exit code."""
        process = self._daemons[name]._process
        assert process is not None
        process.send_signal(number)
        return process.wait(site.CROWD_SECONDS)

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a process, None while it runs."""
        process = self._daemons[name]._process
        assert process is not None
        return process.poll()

    def leader(self) -> str | None:
        """Return the name of the leading host."""
        item = self._store.store.item_by_key.get(records.LEADER_KEY)
        if item is None:
            return None
        return msgspec.json.decode(item.value, type=records.Leader).member

    def follower(self) -> str:
        """Return the name of a host that does not lead."""
        leader = self.leader()
        return next(name for name in HOST_NAMES if name != leader)

    def set_store_down(self, down: bool) -> None:
        self._store.store.down = down

    def address(self, name: str) -> str:
        host, port = self._daemons[name].front_address
        return f'{host}:{port}'

    def crowd(
        self, shape: str, count: int, names: typing.Sequence[str]
    ) -> typing.ContextManager[typing.Callable[[], None]]:
        """Return clients of a shape that are spread over hosts."""
        return site.crowd(
            shape, count, TARGET, soak.QUEUE_HOST, soak.API_KEY,
            [self.address(name) for name in names]
        )

    def answers_ordinary_request(
        self, name: str, body: bytes = clients.JOB
    ) -> bool:
        """Return whether a host accepts a job of an ordinary client."""
        self._jobs += 1
        job_id = ids.JobId(f'{0xffff << 32 | self._jobs:016x}')
        return site.answered(
            self.address(name), 'POST', f'{TARGET}{job_id}', body, {
                'host': soak.QUEUE_HOST,
                'authorization': f'Bearer {soak.API_KEY}',
                'x-deadline-ms': '3000',
            }
        )

    def stop(self) -> None:
        for usage in self.usages.values():
            usage.stop()
        for daemon in self._daemons.values():
            daemon.send_signal(signal.SIGKILL)
            if daemon._process is not None:
                daemon._process.wait()
        self._stop.set()
        self._thread.join()


def _configuration() -> bytes:
    return msgspec.json.encode(
        {
            'version':
            1,
            'limits':
            LIMITS,
            'routes': [
                {
                    'name': 'q0',
                    'hostname': soak.QUEUE_HOST,
                    'prefix': TARGET,
                    'service': 'work',
                    'maxAttempts': 4,
                    'stretch': 3.0,
                    'targetLatencyMs': 1000,
                }
            ],
            'services': [{
                'name': 'work'
            }],
            'tenants': [{
                'name': 'north',
                'apiKeys': [soak.API_KEY]
            }],
        }
    )


@contextlib.contextmanager
def fleet(
    directory: pathlib.Path,
    *,
    max_descriptors: int,
    memory_mb: int,
) -> typing.Iterator[Fleet]:
    """Start a fleet; end its processes at the end of the block."""
    running = Fleet(directory, max_descriptors, memory_mb)
    try:
        running.start()
        yield running
    finally:
        running.stop()
