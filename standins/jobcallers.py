"""Callers of gang jobs who wait at any daemon and record the outcome."""
from __future__ import annotations

import base64
import dataclasses
import http.client
import json
import random
import threading
import time
import typing

from nutmegworks.history import events
from nutmegworks.history import recorder
from standins import callers
from standins import cluster as processes

MEMBERS: typing.Final = 2
SHAPE: typing.Final = f'{MEMBERS}x8'
RUN_SECONDS: typing.Final = (0.2, 3.0)
PAUSE_SECONDS: typing.Final = 1.0
CANCEL_PART: typing.Final = 0.1
IDEMPOTENT_PART: typing.Final = 0.5
POLL_SECONDS: typing.Final = 2.0
MAX_ATTEMPTS: typing.Final = 6
# Leases, retries and the queue are over by then if nothing fails any more.
SETTLE_SECONDS: typing.Final = 90.0


@dataclasses.dataclass
class _Job:
    """A job that a caller was told of."""

    job_id: str
    result: str
    cancelled: bool = False


class JobCaller(threading.Thread):
    """Submits jobs until it is halted, then waits until all have ended."""

    def __init__(
        self,
        label: str,
        seed: int,
        balancer: callers.Balancer,
        history: recorder.Recorder,
    ) -> None:
        super().__init__(name=label, daemon=True)
        self.halted = threading.Event()
        self.unfinished: list[str] = []
        self._rng = random.Random(f'{seed}-{label}')
        self._balancer = balancer
        self._history = history
        self._jobs: list[_Job] = []

    def run(self) -> None:
        count = 0
        while not self.halted.is_set():
            count += 1
            self._submit(f'{self.name}-{count}')
            self.halted.wait(self._rng.expovariate(1.0 / PAUSE_SECONDS))
        deadline = time.monotonic() + SETTLE_SECONDS
        left = self._jobs
        while left and time.monotonic() < deadline:
            left = [job for job in left if not self._follow(job)]
        self.unfinished = [job.job_id for job in left]

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> processes.Reply | None:
        address = self._balancer.choose(self._rng, '')
        if address is None:
            return None
        try:
            return processes.call(
                method,
                address,
                path,
                body,
                token=processes.TEAM_TOKEN,
                headers=headers,
                timeout=10.0,
            )
        except (OSError, http.client.HTTPException):
            return None

    def _submit(self, label: str) -> None:
        idempotent = self._rng.random() < IDEMPOTENT_PART
        payload = {
            'run_seconds': round(self._rng.uniform(*RUN_SECONDS), 2),
            'label': label,
        }
        name = callers.IDEMPOTENT_CLASS if idempotent else callers.OTHER_CLASS
        body = json.dumps(
            {
                'class': name,
                'shape': SHAPE,
                'run_time': 10.0,
                'payload': payload,
            }
        ).encode()
        key = processes.key(label)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            headers = {
                'Idempotency-Key': key,
                'Nutmeg-Attempt': str(attempt),
            }
            reply = self._call('POST', '/v1/jobs', body, headers)
            if reply is not None and reply.status == 202:
                job_id = json.loads(reply.body)['job_id']
                self._accepted(job_id, json.dumps(payload), idempotent)
                return
            time.sleep(PAUSE_SECONDS / 2)

    def _accepted(self, job_id: str, result: str, idempotent: bool) -> None:
        self._history.record(
            events.JobAccepted(
                at=time.time(),
                job=job_id,
                members=MEMBERS,
                idempotent=idempotent,
                result=result,
            )
        )
        job = _Job(job_id, result)
        self._jobs.append(job)
        if self._rng.random() < CANCEL_PART:
            job.cancelled = True
            self._call('DELETE', f'/v1/jobs/{job_id}')

    def _follow(self, job: _Job) -> bool:
        """Return whether the job ended; what is told is recorded."""
        path = f'/v1/jobs/{job.job_id}?wait={POLL_SECONDS}'
        reply = self._call('GET', path)
        if reply is None or reply.status not in (200, 202):
            time.sleep(PAUSE_SECONDS / 2)
            return False
        found = json.loads(reply.body)
        if found['final']:
            self._record_end(job, found)
        return bool(found['final'])

    def _record_end(self, job: _Job, found: dict[str, typing.Any]) -> None:
        self._history.record(
            events.JobEnded(
                at=time.time(),
                job=job.job_id,
                state=found['state'],
                result=base64.b64decode(found['result']).decode(),
            )
        )


def executions(
    cluster: processes.Cluster,
    address_by_worker: dict[str, str],
) -> typing.Iterator[events.TaskExecuted]:
    """Return what the workers executed; call it when all is quiet."""
    for worker, address in address_by_worker.items():
        reply = processes.call('GET', address, '/executions')
        for item in json.loads(reply.body):
            yield events.TaskExecuted(
                at=item['started'],
                job=item['run_id'].rpartition('.')[0],
                run=item['run_id'],
                worker=worker,
                ended=item['ended'] or time.time(),
                completed=item['outcome'] == 'finished',
                resumed=bool(item['checkpoint']),
            )


__all__ = ('JobCaller', 'SETTLE_SECONDS', 'executions')
