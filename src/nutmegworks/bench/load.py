"""Sends planned arrivals to a running nutmegd and measures the responses."""
from __future__ import annotations

import collections
import dataclasses
import random
import secrets
import time
import typing

import curio
from hdrh import histogram
import msgspec
import result

from nutmegworks.bench import arrivals
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool

# Histograms record microseconds, up to two minutes with three digits.
MAX_LATENCY_MICROSECONDS: typing.Final = 120_000_000
SIGNIFICANT_DIGITS: typing.Final = 3
CALL_TIMEOUT_SECONDS: typing.Final = 65.0
DEADLINE_SECONDS: typing.Final = 10.0
# Share of the submitted, not yet cancelled jobs that one CANCEL arrival
# cancels.
CANCELLED_FRACTION: typing.Final = 0.5
# Idempotency keys start with the number of an epoch of this length.
EPOCH_SECONDS: typing.Final = 10
PERCENTILES: typing.Final = (50.0, 90.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Address, credentials and classes for the load.

    :param upstream: address for DIRECT arrivals.
    """

    daemon: client.Address
    token: str
    service: str
    class_id: str
    non_idempotent_class_id: str
    job_class_id: str = ''
    upstream: client.Address | None = None


class Summary(msgspec.Struct):
    """Results of one kind of arrivals.

    :param outcomes: number of responses and errors by their label.
    :param latency: milliseconds from the planned arrival to the response, by
        percentile.
    :param mean: mean latency in milliseconds.
    :param late: 99th percentile of the milliseconds from the planned arrival
        until it was sent; high values mean that this process did not keep up.
    """

    outcomes: dict[str, int]
    latency: dict[str, float]
    mean: float
    late: float


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
    )


class _Series:
    """Latencies and outcomes of one kind of arrivals."""

    def __init__(self) -> None:
        self.latency = _new_histogram()
        self.late = _new_histogram()
        self.outcomes: collections.Counter[str] = collections.Counter()

    def summary(self) -> Summary:
        latency = {
            f'p{item:g}': self.latency.get_value_at_percentile(item) / 1000
            for item in PERCENTILES
        }
        latency['max'] = self.latency.get_max_value() / 1000
        return Summary(
            dict(self.outcomes),
            latency,
            self.latency.get_mean_value() / 1000,
            self.late.get_value_at_percentile(99.0) / 1000,
        )


class LoadGenerator:
    """Sends one plan to one daemon, as an open loop.

    Arrivals are sent at their planned times, whether or not earlier ones have
    been answered.
    """

    def __init__(
        self,
        target: Target,
        planned: typing.Sequence[arrivals.Arrival],
        *,
        seed: int,
        clock: typing.Callable[[], float] = time.perf_counter,
    ) -> None:
        self.series_by_kind: dict[arrivals.Kind, _Series] = {}
        self._target = target
        self._planned = planned
        self._rng = random.Random(f'{seed}-cancel')
        self._run_id = secrets.token_hex(4)
        self._clock = clock
        self._pool = pool.Pool()
        self._open_jobs: list[str] = []
        self._sent = 0
        self._senders: typing.Mapping[
            arrivals.Kind,
            typing.Callable[[arrivals.Arrival], typing.Awaitable[str]],
        ] = {
            arrivals.Kind.REQUEST: self._send_request,
            arrivals.Kind.NON_IDEMPOTENT: self._send_request,
            arrivals.Kind.DIRECT: self._send_direct,
            arrivals.Kind.JOB: self._submit_job,
            arrivals.Kind.CANCEL: self._cancel_jobs,
        }

    async def run(self) -> None:
        """Send all arrivals and wait for the responses."""
        started = self._clock()
        async with curio.TaskGroup(wait=all) as group:
            for item in self._planned:
                due = started + item.arrives_at
                wait = due - self._clock()
                if wait > 0:
                    await curio.sleep(wait)
                await group.spawn(self._measure, item, due)
        await self._pool.close()

    async def _measure(self, item: arrivals.Arrival, due: float) -> None:
        series = self.series_by_kind.setdefault(item.kind, _Series())
        series.late.record_value(_microseconds(self._clock() - due))
        outcome = await self._senders[item.kind](item)
        series.outcomes[outcome] += 1
        if outcome in ('200', '202'):
            series.latency.record_value(_microseconds(self._clock() - due))

    def _new_key(self) -> str:
        self._sent += 1
        epoch = int(time.time()) // EPOCH_SECONDS
        return f'{epoch}-{self._run_id}-{self._sent}'

    async def _call(
        self,
        address: client.Address,
        request: message.Request,
    ) -> result.Result[message.Response, str]:
        answer = await self._pool.exchange(
            address, request, timeout=CALL_TIMEOUT_SECONDS
        )
        return answer.map_err(lambda error: error.fault.value)

    async def _send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> result.Result[message.Response, str]:
        fields = {'authorization': f'Bearer {self._target.token}', **headers}
        request = message.Request(method, path, fields, body)
        return await self._call(self._target.daemon, request)

    async def _send_request(self, item: arrivals.Arrival) -> str:
        headers = {
            'nutmeg-class': self._target.class_id,
            'nutmeg-deadline-ms': str(int(DEADLINE_SECONDS * 1000)),
            'nutmeg-attempt': '1',
        }
        if item.kind is arrivals.Kind.NON_IDEMPOTENT:
            headers['nutmeg-class'] = self._target.non_idempotent_class_id
            headers['idempotency-key'] = self._new_key()
        path = f'/v1/services/{self._target.service}/requests'
        answer = await self._send('POST', path, headers, bytes(item.size))
        return _outcome(answer)

    async def _send_direct(self, item: arrivals.Arrival) -> str:
        assert self._target.upstream is not None
        headers = {
            'nutmeg-request-id': self._new_key(),
            'nutmeg-class': self._target.class_id,
            'nutmeg-service': self._target.service,
            'nutmeg-deadline-ms': str(int(DEADLINE_SECONDS * 1000)),
        }
        request = message.Request('POST', '/v1/run', headers, bytes(item.size))
        return _outcome(await self._call(self._target.upstream, request))

    async def _submit_job(self, item: arrivals.Arrival) -> str:
        body = {
            'class': self._target.job_class_id,
            'shape': f'1x{item.size}',
            'run_time': item.declared,
            'payload': {
                'seconds': item.actual
            },
        }
        headers = {'idempotency-key': self._new_key(), 'nutmeg-attempt': '1'}
        answer = await self._send(
            'POST', '/v1/jobs', headers, msgspec.json.encode(body)
        )
        if isinstance(answer, result.Ok) and answer.ok_value.status == 202:
            value = msgspec.json.decode(answer.ok_value.body)
            self._open_jobs.append(value['job_id'])
        return _outcome(answer)

    async def _cancel_jobs(self, item: arrivals.Arrival) -> str:
        """Cancel a part of the jobs and return the most frequent outcome."""
        count = int(len(self._open_jobs) * CANCELLED_FRACTION)
        self._rng.shuffle(self._open_jobs)
        jobs = self._open_jobs[:count]
        del self._open_jobs[:count]
        outcomes: collections.Counter[str] = collections.Counter({'none': 0})
        for job_id in jobs:
            answer = await self._send('DELETE', f'/v1/jobs/{job_id}', {}, b'')
            outcomes[_outcome(answer)] += 1
        return outcomes.most_common(1)[0][0]


def _microseconds(seconds: float) -> int:
    return min(MAX_LATENCY_MICROSECONDS, max(1, round(seconds * 1e6)))


def _outcome(answer: result.Result[message.Response, str]) -> str:
    if isinstance(answer, result.Err):
        return answer.err_value
    response = answer.ok_value
    if response.status < 300:
        return str(response.status)
    verdict = response.headers.get('nutmeg-verdict', '')
    return f'{response.status} {verdict}'.strip()


__all__ = ('LoadGenerator', 'Summary', 'Target')
