"""Starts daemons and stand-ins as processes, for tests and the demo."""
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

START_TIMEOUT_SECONDS: typing.Final = 15.0
PORT_RANGE: typing.Final = (20_000, 32_000)
OPERATOR_TOKEN: typing.Final = 'operator-token'
TEAM_TOKEN: typing.Final = 'team-token'
ROOT: typing.Final = pathlib.Path(__file__).parent.parent


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete HTTP response; names of headers are in lower case."""

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
    """Make one request on a new connection."""
    all_headers = {'Content-Type': 'application/json', **(headers or {})}
    if token:
        all_headers['Authorization'] = f'Bearer {token}'
    request = urllib.request.Request(
        f'http://{address}{path}', body, all_headers, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return _read_reply(response.status, response)
    except urllib.error.HTTPError as error:
        return _read_reply(error.code, error)


def _read_reply(status: int, response: typing.Any) -> Reply:
    headers = {name.lower(): value for name, value in response.headers.items()}
    return Reply(status, headers, response.read())


def decode_json(reply: Reply) -> typing.Any:
    """Decode the JSON body of a reply."""
    return json.loads(reply.body)


def encode_body(body: bytes) -> str:
    """Return a body in base64, as the stand-ins list it."""
    return base64.b64encode(body).decode()


def free_port() -> int:
    """Return an unused port below the range of ephemeral ports."""
    while True:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port


def wait_until(
    check: typing.Callable[[], bool],
    *,
    seconds: float = START_TIMEOUT_SECONDS,
    what: str = 'the condition',
) -> None:
    """Poll a condition until it holds.

    :param what: what is waited for, for the error message.
    :raises AssertionError: if the condition does not hold in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if check():
                return
        time.sleep(0.02)
    raise AssertionError(f'timed out after {seconds} s waiting for {what}')


class Cluster:
    """The stand-ins and daemon processes of one test."""

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
        """Start a relay; return its address and its control address."""
        relayed, control = self.start_stand_in('relay', target).split()
        return relayed, control

    def add_upstream(
        self,
        name: str,
        *,
        service: str = 'round-planner',
        domain: str = 'amman-north',
        slots: int = 8,
        listed_address: str = '',
    ) -> str:
        """Start an upstream and return its address.

        :param listed_address: the address in the host list, if it differs.
        """
        address = self.start_stand_in(
            'upstream', '--name', name, '--slots', str(slots)
        )
        self.list_upstream(name, listed_address or address, service, domain)
        return address

    def list_upstream(
        self,
        name: str,
        address: str,
        service: str = 'round-planner',
        domain: str = 'amman-north',
    ) -> None:
        """Add an upstream to the host list or replace its entry."""
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
        self.publish_hosts()

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
        self.publish_hosts()
        return address

    def publish_hosts(self) -> None:
        body = json.dumps({'hosts': self._hosts}).encode()
        call('PUT', self.hosts, '/v1/hosts', body)

    def set_faults(self, address: str, **faults: typing.Any) -> None:
        call('POST', address, '/fault', json.dumps(faults).encode())

    def make_settings(self, name: str, domain: str, **extra: str) -> str:
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
                f'grace = {extra.get("grace", "500 ms")}',
                f'limit = {extra.get("limit", "70 s")}', '[limits]',
                f'connections = {extra.get("connections", "1024")}',
                '[telemetry]', f'spans = {self.directory / "spans"}', ''
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
        text = self.make_settings(name, domain, **extra)
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
        self.publish_hosts()
        self._settings_by_address[address] = path
        self.start_daemon(address)
        probe_path = '/v1/ready' if ready else '/v1/health'
        wait_until(
            lambda: call('GET', address, probe_path).status == 200,
            what=f'{name} answering {probe_path}',
        )
        return address

    def start_daemon(self, address: str) -> None:
        """Start the process of a daemon that add_daemon configured."""
        path = self._settings_by_address[address]
        self.daemon_by_address[address] = self._start(
            'nutmegworks.daemon.serve', str(path)
        )

    def configure(self, *operations: list[typing.Any]) -> int:
        """Submit a change to a daemon and wait until every daemon adopted it.

        :return: the sequence number of the change.
        """
        address = next(iter(self.daemon_by_address))
        current = call('GET', address, '/v1/config', token=OPERATOR_TOKEN)
        base = json.loads(current.body)['sequence']
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
        """Wait until a daemon has adopted a configuration or a later one."""
        wait_until(
            lambda: json.loads(call('GET', address, '/v1/ready').body)[
                'config_sequence'] >= sequence,
            what=f'{address} adopting configuration {sequence}',
        )

    def configure_default(self) -> None:
        """Create a team, an idempotent class and a non-idempotent class."""
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
        """Kill every process of this cluster and wait for its end."""
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
    """Start a cluster; end its processes at the end of the block."""
    running = Cluster(directory)
    try:
        yield running
    finally:
        running.stop()


def make_idempotency_key(name: str) -> str:
    """Return an idempotency key that starts with the time in units of 10 s."""
    return f'{int(time.time()) // 10}-{name}'


__all__ = (
    'Cluster',
    'OPERATOR_TOKEN',
    'Reply',
    'TEAM_TOKEN',
    'call',
    'cluster',
    'encode_body',
    'free_port',
    'decode_json',
    'make_idempotency_key',
    'wait_until',
)
