"""Runs both sample deployments on loopback and checks what they promise."""
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
REQUESTS: typing.Final = 48
CALLERS: typing.Final = 6
UPSTREAMS: typing.Final = 4
TRIES: typing.Final = 6
READY_SECONDS: typing.Final = 15.0
STOP_SECONDS: typing.Final = 15.0
JOB_SECONDS: typing.Final = 20.0


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One sample deployment.

    :param racks: rack and its failure domain.
    :param rack_size: workers in a rack.
    :param base_port: as in its settings files.
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
    """What one caller got for one request."""

    key: str
    text: str
    verdict: str
    tries: int
    by: str


class Demo:
    """One deployment from start to stop."""

    def __init__(self, deployment: Deployment, directory: str) -> None:
        self._deployment = deployment
        self._directory = directory
        self._processes: list[subprocess.Popen[bytes]] = []
        self._daemon_by_address: dict[str, subprocess.Popen[bytes]] = {}
        self._hosts: list[dict[str, typing.Any]] = []
        self._upstreams: list[str] = []
        self._workers: list[str] = []
        self._token = ''
        self._killed = ''
        self.faults: list[str] = []

    def run(self) -> None:
        """Run all steps; faults are collected."""
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

    def _stand_in(self, kind: str, *arguments: str) -> str:
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
        self._stand_in('store', '--port', str(base + 1))
        host_list = self._stand_in('hosts', '--port', str(base + 2))
        self._start_upstreams()
        self._start_workers()
        for path in self._deployment.settings:
            self._add_daemon(path)
        body = json.dumps({'hosts': self._hosts}).encode()
        cluster.call('PUT', host_list, '/v1/hosts', body)

    def _start_upstreams(self) -> None:
        names = [f'u{number}' for number in range(UPSTREAMS)]
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
        places = [
            (f'{rack}-w{number}', rack, domain)
            for rack, domain in self._deployment.racks
            for number in range(self._deployment.rack_size)
        ]
        processes = [
            self._spawn(
                'standins.worker', '--worker-id', name, '--rack', rack
            ) for name, rack, _ in places
        ]
        for (name, rack, domain), process in zip(places, processes):
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
        fields = dict(
            line.split(' = ')
            for line in path.read_text().splitlines()
            if ' = ' in line
        )
        self._add_host(
            fields['host_id'],
            'daemon',
            address=fields['peers'],
            domain=fields['domain'],
        )
        # "nutmegd run" is what an operator types.
        process = self._spawn('nutmegworks.daemon', 'run', str(path))
        self._daemon_by_address[fields['callers']] = process

    def _live(self) -> list[str]:
        return [
            address for address in self._daemon_by_address
            if address != self._killed
        ]

    def _nutmeg(self, *arguments: str, token: str = '') -> str:
        environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT}/src',
            'NUTMEG_ADDRESS': self._live()[0],
            'NUTMEG_TOKEN': token or self._deployment.operator_token,
        }
        done = subprocess.run(
            [sys.executable, '-m', 'nutmegworks.cli', *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if done.returncode:
            self.faults.append(f'nutmeg {arguments}: {done.stderr.strip()}')
        return done.stdout.strip()

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
        entitled = [
            part for team in deployment.teams for part in ('--team', team)
        ]
        service = ('--service', deployment.service, *entitled)
        self._nutmeg(
            'class', 'put', deployment.request_class, '--target', '30 s',
            '--share', '0.4', *service
        )
        self._nutmeg(
            'class', 'put', deployment.job_class, '--target', '60 s',
            '--share', '0.6', '--interruptible', *service
        )
        added = self._nutmeg('team', 'token-add', deployment.teams[0])
        self._token = added.rpartition('token ')[2].strip()
        print(self._nutmeg('class', 'list'))
        print(self._nutmeg('guarantee', 'list'))
        self._wait_until_in_force()

    def _wait_until_in_force(self) -> None:
        view = json.loads(self._nutmeg('-o', 'json', 'config', 'show'))
        for address in self._live():
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
            f'{int(time.time()) // 10}-{number}' for number in range(REQUESTS)
        ]
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
            futures = [
                callers.submit(self._send, number, key)
                for number, key in enumerate(keys)
            ]
            futures[REQUESTS // 3].result()
            self._kill_one()
            return [future.result() for future in futures]

    def _kill_one(self) -> None:
        address = list(self._daemon_by_address)[1]
        self._daemon_by_address[address].kill()
        self._killed = address
        print(f'killed the daemon at {address}')

    def _send(self, number: int, key: str) -> Answer:
        """Send one request, and again elsewhere if there is no answer."""
        addresses = list(self._daemon_by_address)
        verdict = ''
        for tries in range(1, TRIES + 1):
            address = addresses[(number + tries) % len(addresses)]
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
                        'Nutmeg-Attempt': str(tries),
                    },
                    timeout=40.0,
                )
            except (OSError, urllib.error.URLError):
                continue
            verdict = reply.headers.get('nutmeg-verdict', '')
            if reply.status == 200:
                return Answer(
                    key, reply.body.decode(), verdict, tries, address
                )
            time.sleep(0.2)
        return Answer(key, '', verdict, TRIES, '')

    def _check_answers(self, answers: list[Answer]) -> None:
        ran: dict[str, int] = {}
        for upstream in self._upstreams:
            body = cluster.call('GET', upstream, '/executions').body
            for execution in json.loads(body):
                key = base64.b64decode(execution['body']).decode()
                ran[key] = ran.get(key, 0) + 1
        whole = 0
        for answer in answers:
            print(
                f'{answer.key}: {answer.text or "no answer"} '
                f'[{answer.verdict}] tries {answer.tries} by {answer.by}'
            )
            if answer.text.partition(':')[2] == answer.key:
                whole += 1
            elif answer.text or answer.verdict != 'may-have-run':
                self.faults.append(f'{answer.key}: not a whole answer')
            if ran.get(answer.key, 0) > 1:
                self.faults.append(f'{answer.key}: ran twice')
        print(f'{whole} whole answers of {len(answers)} requests')
        if whole < 40:
            self.faults.append(f'only {whole} whole answers')

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
        members: dict[str, int] = {}
        for worker in self._workers:
            body = cluster.call('GET', worker, '/executions').body
            for execution in json.loads(body):
                run_id = execution['run_id']
                members[run_id] = members.get(run_id, 0) + 1
        if sorted(members.values()) != [4]:
            self.faults.append(f'gang executions: {members}')

    def _stop(self) -> None:
        for address in self._live():
            self._daemon_by_address[address].send_signal(signal.SIGTERM)
        for address in self._live():
            code = self._daemon_by_address[address].wait(STOP_SECONDS)
            if code:
                self.faults.append(f'{address} stopped with exit code {code}')
        print(f'{len(self._live())} daemons stopped gracefully')


def _address(process: subprocess.Popen[bytes]) -> str:
    """Return the address that a stand-in prints when it is ready."""
    assert process.stdout is not None
    return process.stdout.readline().decode().strip()


def _interrupt(number: int, frame: types.FrameType | None) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Run both deployments; 0 if every promise held."""
    # Ended early, the demo must still end its processes.
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
