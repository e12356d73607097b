"""Client threads that submit gang jobs and record how each one ended."""
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
from standins import cluster as clusters

MEMBERS_PER_JOB: typing.Final = 2
SHAPE: typing.Final = f'{MEMBERS_PER_JOB}x8'
RUN_SECONDS_RANGE: typing.Final = (0.2, 3.0)
MEAN_PAUSE_SECONDS: typing.Final = 1.0
CANCEL_SHARE: typing.Final = 0.1
IDEMPOTENT_SHARE: typing.Final = 0.5
LONG_POLL_SECONDS: typing.Final = 2.0
MAX_ATTEMPTS: typing.Final = 6
# Without further faults, leases have expired, retries have ended and the queue
# is empty within this time.
COMPLETION_TIMEOUT_SECONDS: typing.Final = 90.0


@dataclasses.dataclass
class _Job:
    """A job whose acceptance the caller has seen."""

    job_id: str
    result: str
    cancelled: bool = False


class JobCaller(threading.Thread):
    """Submits jobs until it is asked to stop, then waits for their ends.

    :ivar unfinished: ids of the jobs that did not end in time.
    """

    def __init__(
        self,
        label: str,
        seed: int,
        balancer: callers.Balancer,
        history: recorder.Recorder,
    ) -> None:
        super().__init__(name=label, daemon=True)
        self.stop_requested = threading.Event()
        self.unfinished: list[str] = []
        self._rng = random.Random(f'{seed}-{label}')
        self._balancer = balancer
        self._history = history
        self._jobs: list[_Job] = []

    def run(self) -> None:
        count = 0
        while not self.stop_requested.is_set():
            count += 1
            self._submit(f'{self.name}-{count}')
            self.stop_requested.wait(
                self._rng.expovariate(1.0 / MEAN_PAUSE_SECONDS)
            )
        deadline = time.monotonic() + COMPLETION_TIMEOUT_SECONDS
        remaining = self._jobs
        while remaining and time.monotonic() < deadline:
            remaining = [job for job in remaining if not self._poll(job)]
        self.unfinished = [job.job_id for job in remaining]

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> clusters.Reply | None:
        address = self._balancer.choose(self._rng, '')
        if address is None:
            return None
        try:
            return clusters.call(
                method,
                address,
                path,
                body,
                token=clusters.TEAM_TOKEN,
                headers=headers,
                timeout=10.0,
            )
        except (OSError, http.client.HTTPException):
            return None

    def _submit(self, label: str) -> None:
        idempotent = self._rng.random() < IDEMPOTENT_SHARE
        payload = {
            'run_seconds': round(self._rng.uniform(*RUN_SECONDS_RANGE), 2),
            'label': label,
        }
        name = (
            callers.IDEMPOTENT_CLASS
            if idempotent else callers.NON_IDEMPOTENT_CLASS
        )
        body = json.dumps(
            {
                'class': name,
                'shape': SHAPE,
                'run_time': 10.0,
                'payload': payload,
            }
        ).encode()
        key = clusters.make_idempotency_key(label)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            headers = {
                'Idempotency-Key': key,
                'Nutmeg-Attempt': str(attempt),
            }
            reply = self._call('POST', '/v1/jobs', body, headers)
            if reply is not None and reply.status == 202:
                job_id = json.loads(reply.body)['job_id']
                self._record_accepted(job_id, json.dumps(payload), idempotent)
                return
            time.sleep(MEAN_PAUSE_SECONDS / 2)

    def _record_accepted(
        self, job_id: str, result: str, idempotent: bool
    ) -> None:
        self._history.record(
            events.JobAccepted(
                at=time.time(),
                job=job_id,
                members=MEMBERS_PER_JOB,
                idempotent=idempotent,
                result=result,
            )
        )
        job = _Job(job_id, result)
        self._jobs.append(job)
        if self._rng.random() < CANCEL_SHARE:
            job.cancelled = True
            self._call('DELETE', f'/v1/jobs/{job_id}')

    def _poll(self, job: _Job) -> bool:
        """Return whether the job has ended; record its end."""
        path = f'/v1/jobs/{job.job_id}?wait={LONG_POLL_SECONDS}'
        reply = self._call('GET', path)
        if reply is None or reply.status not in (200, 202):
            time.sleep(MEAN_PAUSE_SECONDS / 2)
            return False
        answer = json.loads(reply.body)
        if answer['final']:
            self._record_end(job, answer)
        return bool(answer['final'])

    def _record_end(self, job: _Job, answer: dict[str, typing.Any]) -> None:
        self._history.record(
            events.JobEnded(
                at=time.time(),
                job=job.job_id,
                state=answer['state'],
                result=base64.b64decode(answer['result']).decode(),
            )
        )


def list_executions(
    cluster: clusters.Cluster,
    address_by_worker: dict[str, str],
) -> typing.Iterator[events.TaskExecuted]:
    """Return all executions of the workers.

    Executions that have not ended get the current time as their end, so call
    it after all jobs have ended.
    """
    for worker, address in address_by_worker.items():
        reply = clusters.call('GET', address, '/executions')
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


__all__ = ('COMPLETION_TIMEOUT_SECONDS', 'JobCaller', 'list_executions')
