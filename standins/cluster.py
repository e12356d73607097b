"""Starts daemons and stand-ins as processes, for tests and for the demo."""
from __future__ import annotations

import base64
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

START_SECONDS: typing.Final = 15.0
PORTS: typing.Final = (20_000, 32_000)
OPERATOR_TOKEN: typing.Final = 'operator-token'
TEAM_TOKEN: typing.Final = 'team-token'
ROOT: typing.Final = pathlib.Path(__file__).parent.parent


@dataclasses.dataclass(frozen=True)
class Reply:
    """A response to a test."""

    status: int
    headers: dict[str, str]
    body: bytes


def call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    *,
    token: str = '',
    headers: dict[str, str] | None = None,
    timeout: float = 20.0,
) -> Reply:
    """Make one request on a connection of its own."""
    merged = {'Content-Type': 'application/json', **(headers or {})}
    if token:
        merged['Authorization'] = f'Bearer {token}'
    request = urllib.request.Request(
        f'http://{address}{path}', body, merged, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return _reply(response.status, response)
    except urllib.error.HTTPError as error:
        return _reply(error.code, error)


def _reply(status: int, response: typing.Any) -> Reply:
    headers = {name.lower(): value for name, value in response.headers.items()}
    return Reply(status, headers, response.read())


def json_of(reply: Reply) -> typing.Any:
    """Return the value of a JSON body."""
    return json.loads(reply.body)


def encoded(body: bytes) -> str:
    """Return a body as the stand-ins list it."""
    return base64.b64encode(body).decode()


def free_port() -> int:
    """Return a port below the range from which connections take theirs."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            return port


def wait_until(
    check: typing.Callable[[], bool],
    *,
    seconds: float = START_SECONDS,
    what: str = 'the condition',
) -> None:
    """Poll a condition.

    :raises AssertionError: if it does not come true in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if check():
                return
        time.sleep(0.02)
    raise AssertionError(f'{what} did not come true in {seconds} s')


class Cluster:
    """A store, a host list, upstreams and daemons of one test."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.daemon_by_address: dict[str, subprocess.Popen[bytes]] = {}
        self._settings_by_address: dict[str, pathlib.Path] = {}
        self._processes: list[subprocess.Popen[bytes]] = []
        self._hosts: list[dict[str, typing.Any]] = []
        self.store = self.start_stand_in('store')
        self.hosts = self.start_stand_in('hosts')

    def _start(
        self,
        *arguments: str,
        stdout: typing.Any = subprocess.DEVNULL,
    ) -> subprocess.Popen[bytes]:
        environment = {**os.environ, 'PYTHONPATH': f'{ROOT / "src"}:{ROOT}'}
        log = open(self.directory / 'log', 'ab')
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            env=environment,
            stdout=stdout,
            stderr=log,
        )
        log.close()
        self._processes.append(process)
        return process

    def start_stand_in(self, kind: str, *arguments: str) -> str:
        """Start a stand-in and return its address."""
        process = self._start(
            f'standins.{kind}', *arguments, stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        return process.stdout.readline().decode().strip()

    def start_relay(self, target: str) -> tuple[str, str]:
        """Start a relay; return its address and that of its control."""
        relayed, control = self.start_stand_in('relay', target).split()
        return relayed, control

    def add_upstream(
        self,
        name: str,
        *,
        service: str = 'round-planner',
        domain: str = 'amman-north',
        slots: int = 8,
        listed: str = '',
    ) -> str:
        """Start an upstream and return its address.

        :param listed: the address in the host list, if it is another.
        """
        address = self.start_stand_in(
            'upstream', '--name', name, '--slots', str(slots)
        )
        self.list_upstream(name, listed or address, service, domain)
        return address

    def list_upstream(
        self,
        name: str,
        address: str,
        service: str = 'round-planner',
        domain: str = 'amman-north',
    ) -> None:
        """Put an upstream into the host list in place of its old entry."""
        self._hosts = [item for item in self._hosts if item['host_id'] != name]
        self._hosts.append(
            {
                'host_id': name,
                'role': 'upstream',
                'address': address,
                'domain': domain,
                'state': 'live',
                'service': service,
            }
        )
        self.put_hosts()

    def add_worker(
        self,
        name: str,
        *,
        rack: str,
        domain: str = 'amman-north',
        accelerators: int = 8,
    ) -> str:
        """Start a worker and return its address."""
        address = self.start_stand_in(
            'worker', '--worker-id', name, '--rack', rack, '--accelerators',
            str(accelerators)
        )
        self._hosts.append(
            {
                'host_id': name,
                'role': 'worker',
                'address': address,
                'domain': domain,
                'state': 'live',
                'rack': rack,
                'accelerators': accelerators,
            }
        )
        self.put_hosts()
        return address

    def put_hosts(self) -> None:
        body = json.dumps({'hosts': self._hosts}).encode()
        call('PUT', self.hosts, '/v1/hosts', body)

    def fault(self, address: str, **faults: typing.Any) -> None:
        call('POST', address, '/fault', json.dumps(faults).encode())

    def settings_text(self, name: str, domain: str, **extra: str) -> str:
        callers = f'127.0.0.1:{free_port()}'
        peers = f'127.0.0.1:{free_port()}'
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        return '\n'.join(
            (
                '[daemon]', f'host_id = {name}', f'domain = {domain}',
                'region = amman', f'callers = {callers}', f'peers = {peers}',
                '[platform]', f'store = {extra.get("store", self.store)}',
                f'hosts = {self.hosts}', '[cluster]', f'key = {"00" * 16}',
                '[operators]', f'digests = {digest}', '[stop]',
                f'grace = {extra.get("grace", "500 ms")}', '[telemetry]',
                f'spans = {self.directory / "spans"}', ''
            )
        )

    def add_daemon(
        self,
        name: str,
        *,
        domain: str = 'amman-north',
        ready: bool = True,
        **extra: str,
    ) -> str:
        """Start a daemon and return its address for callers."""
        text = self.settings_text(name, domain, **extra)
        path = self.directory / f'{name}.ini'
        path.write_text(text)
        lines = dict(
            line.split(' = ') for line in text.splitlines() if ' = ' in line
        )
        address = lines['callers']
        self._hosts.append(
            {
                'host_id': name,
                'role': 'daemon',
                'address': lines['peers'],
                'domain': domain,
                'state': 'live',
            }
        )
        self.put_hosts()
        self._settings_by_address[address] = path
        self.start_daemon(address)
        wanted = '/v1/ready' if ready else '/v1/health'
        wait_until(
            lambda: call('GET', address, wanted).status == 200,
            what=f'{name} answering {wanted}',
        )
        return address

    def start_daemon(self, address: str) -> None:
        """Start a daemon that was added before."""
        path = self._settings_by_address[address]
        self.daemon_by_address[address] = self._start(
            'nutmegworks.daemon.serve', str(path)
        )

    def configure(self, *operations: list[typing.Any]) -> int:
        """Accept a change through a daemon's operators' interface."""
        address = next(iter(self.daemon_by_address))
        shown = call('GET', address, '/v1/config', token=OPERATOR_TOKEN)
        base = json.loads(shown.body)['sequence']
        change = [os.urandom(8).hex(), 'test', 0, list(operations)]
        reply = call(
            'POST',
            address,
            '/v1/config/changes',
            json.dumps({
                'base': base,
                'change': change
            }).encode(),
            token=OPERATOR_TOKEN,
        )
        assert reply.status == 200, reply.body
        sequence = int(json.loads(reply.body)['sequence'])
        for other in self.daemon_by_address:
            self.wait_for_sequence(other, sequence)
        return sequence

    def wait_for_sequence(self, address: str, sequence: int) -> None:
        """Wait until a daemon has adopted a configuration."""
        wait_until(
            lambda: json.loads(call('GET', address, '/v1/ready').body)[
                'config_sequence'] >= sequence,
            what=f'{address} adopting configuration {sequence}',
        )

    def configure_default(self) -> None:
        """Create a team, an idempotent and a non-idempotent class."""
        digest = hashlib.sha256(TEAM_TOKEN.encode()).hexdigest()
        common = {
            'service': 'round-planner',
            'target': 10.0,
            'teams': ['north']
        }
        self.configure(
            ['put-team', 'north', {
                'token_digests': [digest]
            }],
            ['put-class', 'forecast', {
                **common, 'idempotent': True
            }],
            ['put-class', 'plan', common],
        )

    def executions(self, address: str) -> list[dict[str, typing.Any]]:
        return list(json.loads(call('GET', address, '/executions').body))

    def stop(self) -> None:
        """End every process of this cluster."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait(10.0)
            if process.stdout is not None:
                process.stdout.close()


@contextlib.contextmanager
def cluster(directory: pathlib.Path) -> typing.Iterator[Cluster]:
    """Run a cluster and end its processes."""
    running = Cluster(directory)
    try:
        yield running
    finally:
        running.stop()


def key(name: str) -> str:
    """Return an idempotency key made now."""
    return f'{int(time.time()) // 10}-{name}'


__all__ = (
    'Cluster',
    'OPERATOR_TOKEN',
    'Reply',
    'TEAM_TOKEN',
    'call',
    'cluster',
    'encoded',
    'free_port',
    'json_of',
    'key',
    'wait_until',
)
