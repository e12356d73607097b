"""Runs both sample deployments on loopback and checks their results.

In each deployment, callers send requests while one daemon is killed, a gang
job runs, and the remaining daemons are stopped. No request may run twice.
"""
from __future__ import annotations

import base64
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import types
import typing
import urllib.error

from standins import cluster

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
REQUEST_COUNT: typing.Final = 48
CALLER_COUNT: typing.Final = 6
UPSTREAM_COUNT: typing.Final = 4
MAX_ATTEMPTS: typing.Final = 3
# A retry of a request that the killed daemon has claimed waits this long.
DEADLINE_MS: typing.Final = 3000
READY_SECONDS: typing.Final = 15.0
STOP_SECONDS: typing.Final = 15.0
JOB_SECONDS: typing.Final = 20.0


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One sample deployment.

    :param base_port: its store listens on the next port, its host list on the
        one after.
    :param racks: names of each rack and its failure domain.
    :param rack_size: workers in a rack.
    """

    name: str
    service: str
    operator_token: str
    base_port: int
    racks: tuple[tuple[str, str], ...]
    rack_size: int
    request_class: str
    job_class: str
    teams: tuple[str, ...]

    @property
    def settings(self) -> list[pathlib.Path]:
        return sorted((ROOT / 'examples' / self.name).glob('*.ini'))


BALQA: typing.Final = Deployment(
    'balqa',
    'round-planner',
    'balqa-demo-operator',
    17000,
    (('amman-north-r1', 'amman-north'), ('amman-south-r1', 'amman-south')),
    8,
    'round-plan',
    'stem-forecast',
    ('north-growers', 'south-growers', 'dispatch', 'florists'),
)
DONG_HO: typing.Final = Deployment(
    'dongho',
    'dial-desk',
    'dongho-demo-operator',
    18000,
    (('saigon-r1', 'saigon-central'), ('bien-hoa-r1', 'bien-hoa')),
    6,
    'hand-alignment',
    'movement-diagnosis',
    ('north-floor', 'south-floor', 'field', 'chimes'),
)


@dataclasses.dataclass
class Answer:
    """The response that a caller received for one request.

    :param key: the idempotency key, which is also the body of the request.
    :param served_by: address of the daemon that answered; empty if none did.
    """

    key: str
    text: str
    verdict: str
    attempts: int
    served_by: str


class Demo:
    """Starts one deployment, runs the steps of the demo and stops it."""

    def __init__(self, deployment: Deployment, directory: str) -> None:
        self._deployment = deployment
        self._directory = directory
        self._processes: list[subprocess.Popen[bytes]] = []
        self._daemon_by_address: dict[str, subprocess.Popen[bytes]] = {}
        self._hosts: list[dict[str, typing.Any]] = []
        self._upstreams: list[str] = []
        self._workers: list[str] = []
        self._token = ''
        self._killed_address = ''
        self.faults: list[str] = []

    def run(self) -> None:
        """Run all steps; failed checks are collected in ``faults``."""
        try:
            self._start()
            self._configure()
            job_id = self._submit_job()
            answers = self._send_requests()
            self._check_answers(answers)
            self._check_job(job_id)
            print(self._nutmeg('account'))
            self._stop()
        finally:
            for process in self._processes:
                if process.poll() is None:
                    process.kill()
                process.wait()

    def _spawn(self, *arguments: str) -> subprocess.Popen[bytes]:
        environment = {**os.environ, 'PYTHONPATH': f'{ROOT}/src:{ROOT}'}
        log = open(pathlib.Path(self._directory) / 'log', 'ab')
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=log,
        )
        log.close()
        self._processes.append(process)
        return process

    def _start_stand_in(self, kind: str, *arguments: str) -> str:
        return _address(self._spawn(f'standins.{kind}', *arguments))

    def _add_host(
        self,
        host_id: str,
        role: str,
        **fields: typing.Any,
    ) -> None:
        self._hosts.append(
            {
                'host_id': host_id,
                'role': role,
                'state': 'live',
                **fields
            }
        )

    def _start(self) -> None:
        base = self._deployment.base_port
        self._start_stand_in('store', '--port', str(base + 1))
        host_list = self._start_stand_in('hosts', '--port', str(base + 2))
        self._start_upstreams()
        self._start_workers()
        for path in self._deployment.settings:
            self._add_daemon(path)
        body = json.dumps({'hosts': self._hosts}).encode()
        cluster.call('PUT', host_list, '/v1/hosts', body)

    def _start_upstreams(self) -> None:
        names = [f'u{number}' for number in range(UPSTREAM_COUNT)]
        processes = [
            self._spawn('standins.upstream', '--name', name) for name in names
        ]
        for number, process in enumerate(processes):
            address = _address(process)
            self._upstreams.append(address)
            self._add_host(
                names[number],
                'upstream',
                address=address,
                domain=self._deployment.racks[number % 2][1],
                service=self._deployment.service,
            )

    def _start_workers(self) -> None:
        workers = [
            (f'{rack}-w{number}', rack, domain)
            for rack, domain in self._deployment.racks
            for number in range(self._deployment.rack_size)
        ]
        processes = [
            self._spawn(
                'standins.worker', '--worker-id', name, '--rack', rack
            ) for name, rack, _ in workers
        ]
        for (name, rack, domain), process in zip(workers, processes):
            address = _address(process)
            self._workers.append(address)
            self._add_host(
                name,
                'worker',
                address=address,
                domain=domain,
                rack=rack,
                accelerators=8,
            )

    def _add_daemon(self, path: pathlib.Path) -> None:
        settings = dict(
            line.split(' = ')
            for line in path.read_text().splitlines()
            if ' = ' in line
        )
        self._add_host(
            settings['host_id'],
            'daemon',
            address=settings['peers'],
            domain=settings['domain'],
        )
        # Same as "nutmegd run FILE".
        process = self._spawn('nutmegworks.daemon', 'run', str(path))
        self._daemon_by_address[settings['callers']] = process

    def _live_addresses(self) -> list[str]:
        return [
            address for address in self._daemon_by_address
            if address != self._killed_address
        ]

    def _nutmeg(self, *arguments: str, token: str = '') -> str:
        environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT}/src',
            'NUTMEG_ADDRESS': self._live_addresses()[0],
            'NUTMEG_TOKEN': token or self._deployment.operator_token,
        }
        finished = subprocess.run(
            [sys.executable, '-m', 'nutmegworks.cli', *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if finished.returncode:
            self.faults.append(
                f'nutmeg {arguments}: {finished.stderr.strip()}'
            )
        return finished.stdout.strip()

    def _configure(self) -> None:
        for address in self._daemon_by_address:
            cluster.wait_until(
                lambda: cluster.call('GET', address, '/v1/health').status ==
                200,
                what=f'{address} answering',
            )
        deployment = self._deployment
        for team in deployment.teams:
            self._nutmeg('team', 'add', team)
        for (_, domain), team in zip(deployment.racks, deployment.teams):
            self._nutmeg('guarantee', 'set', team, domain, '2x8')
        team_options = [
            argument for team in deployment.teams
            for argument in ('--team', team)
        ]
        service = ('--service', deployment.service, *team_options)
        self._nutmeg(
            'class', 'put', deployment.request_class, '--target', '30 s',
            '--share', '0.4', *service
        )
        self._nutmeg(
            'class', 'put', deployment.job_class, '--target', '60 s',
            '--share', '0.6', '--interruptible', *service
        )
        output = self._nutmeg('team', 'token-add', deployment.teams[0])
        self._token = output.rpartition('token ')[2].strip()
        print(self._nutmeg('class', 'list'))
        print(self._nutmeg('guarantee', 'list'))
        self._wait_until_adopted()

    def _wait_until_adopted(self) -> None:
        view = json.loads(self._nutmeg('-o', 'json', 'config', 'show'))
        for address in self._live_addresses():
            cluster.wait_until(
                lambda: json.loads(
                    cluster.call('GET', address, '/v1/ready').body
                ).get('config_sequence', 0) >= view['sequence'],
                what=f'{address} adopting the configuration',
            )

    def _submit_job(self) -> str:
        submitted = self._nutmeg(
            '-o',
            'json',
            'job',
            'submit',
            '--class',
            self._deployment.job_class,
            '--shape',
            '4x8',
            '--run-time',
            '10 s',
            '--payload',
            '{"run_seconds": 2.0}',
            token=self._token,
        )
        return str(json.loads(submitted or '{}').get('job_id', ''))

    def _send_requests(self) -> list[Answer]:
        keys = [
            f'{int(time.time()) // 10}-{number}'
            for number in range(REQUEST_COUNT)
        ]
        with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as callers:
            futures = [
                callers.submit(self._send, number, key)
                for number, key in enumerate(keys)
            ]
            futures[REQUEST_COUNT // 3].result()
            self._kill_daemon()
            return [future.result() for future in futures]

    def _kill_daemon(self) -> None:
        address = list(self._daemon_by_address)[1]
        self._daemon_by_address[address].kill()
        self._killed_address = address
        print(f'killed the daemon at {address}')

    def _send(self, number: int, key: str) -> Answer:
        """Send one request, and retry at another daemon if it fails."""
        addresses = list(self._daemon_by_address)
        verdict = ''
        for attempt in range(1, MAX_ATTEMPTS + 1):
            address = addresses[(number + attempt) % len(addresses)]
            try:
                reply = cluster.call(
                    'POST',
                    address,
                    f'/v1/services/{self._deployment.service}/requests',
                    key.encode(),
                    token=self._token,
                    headers={
                        'Nutmeg-Class': self._deployment.request_class,
                        'Idempotency-Key': key,
                        'Nutmeg-Attempt': str(attempt),
                        'Nutmeg-Deadline-Ms': str(DEADLINE_MS),
                    },
                    timeout=40.0,
                )
            except (OSError, urllib.error.URLError):
                continue
            verdict = reply.headers.get('nutmeg-verdict', '')
            if reply.status == 200:
                return Answer(
                    key, reply.body.decode(), verdict, attempt, address
                )
            time.sleep(0.2)
        return Answer(key, '', verdict, MAX_ATTEMPTS, '')

    def _check_answers(self, answers: list[Answer]) -> None:
        count_by_key: dict[str, int] = {}
        for upstream in self._upstreams:
            body = cluster.call('GET', upstream, '/executions').body
            for execution in json.loads(body):
                key = base64.b64decode(execution['body']).decode()
                count_by_key[key] = count_by_key.get(key, 0) + 1
        complete_count = 0
        for answer in answers:
            print(
                f'{answer.key}: {answer.text or "no answer"} '
                f'[{answer.verdict}] attempts {answer.attempts} '
                f'by {answer.served_by}'
            )
            if answer.text.partition(':')[2] == answer.key:
                complete_count += 1
            elif answer.text or answer.verdict != 'may-have-run':
                self.faults.append(f'{answer.key}: not a complete answer')
            if count_by_key.get(answer.key, 0) > 1:
                self.faults.append(f'{answer.key}: ran twice')
        print(f'{complete_count} complete answers of {len(answers)} requests')
        if complete_count < 40:
            self.faults.append(f'only {complete_count} complete answers')

    def _check_job(self, job_id: str) -> None:
        shown = self._nutmeg(
            '-o',
            'json',
            'job',
            'wait',
            job_id,
            '--seconds',
            str(JOB_SECONDS),
            token=self._token,
        )
        print(f'gang job {job_id}: {shown}')
        if json.loads(shown or '{}').get('state') != 'done':
            self.faults.append(f'job {job_id} is not done')
        count_by_run: dict[str, int] = {}
        for worker in self._workers:
            body = cluster.call('GET', worker, '/executions').body
            for execution in json.loads(body):
                run_id = execution['run_id']
                count_by_run[run_id] = count_by_run.get(run_id, 0) + 1
        if sorted(count_by_run.values()) != [4]:
            self.faults.append(f'gang executions: {count_by_run}')

    def _stop(self) -> None:
        for address in self._live_addresses():
            self._daemon_by_address[address].send_signal(signal.SIGTERM)
        for address in self._live_addresses():
            code = self._daemon_by_address[address].wait(STOP_SECONDS)
            if code:
                self.faults.append(f'{address} stopped with exit code {code}')
        print(f'{len(self._live_addresses())} daemons stopped gracefully')


def _address(process: subprocess.Popen[bytes]) -> str:
    """Read the address that a stand-in prints when it is ready."""
    assert process.stdout is not None
    return process.stdout.readline().decode().strip()


def _interrupt(signal_number: int, frame: types.FrameType | None) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Run both deployments; return 0 if every check passed, else 1."""
    # SIGTERM must also end the processes that the demo has started.
    signal.signal(signal.SIGTERM, _interrupt)
    failed = False
    for deployment in (BALQA, DONG_HO):
        started = time.monotonic()
        print(f'== {deployment.name}')
        with tempfile.TemporaryDirectory() as directory:
            demo = Demo(deployment, directory)
            demo.run()
            for fault in demo.faults:
                failed = True
                print(f'FAULT {fault}')
            if demo.faults:
                log = pathlib.Path(directory) / 'log'
                print(log.read_text()[-4000:])
        print(f'{deployment.name}: {time.monotonic() - started:.1f} s')
    print('demo failed' if failed else 'demo passed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('BALQA', 'DONG_HO', 'Demo', 'main')
