"""Client of the platform's executors, which the project calls workers."""
from __future__ import annotations

import typing

import logbook
import msgspec
import result

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import worker_connections
from nutmegworks.model import documents
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('executors')

# A healthy worker answers a start or stop request in a few milliseconds.
REQUEST_TIMEOUT_SECONDS: typing.Final = 0.6
# Added to the wait of a renewal, for the answer to arrive.
RENEWAL_MARGIN_SECONDS: typing.Final = 0.8
# The longest wait that a worker accepts in a renewal.
MAX_RENEWAL_WAIT_SECONDS: typing.Final = 2.0

_OUTCOME_BY_REASON: typing.Final = {
    'fence': workers.StartOutcome.FENCED,
    'old': workers.StartOutcome.STALE_RUN,
    'late': workers.StartOutcome.LEASE_EXPIRED,
    'room': workers.StartOutcome.NO_RESOURCES,
    'ticket': workers.StartOutcome.INVALID,
}

_OUTCOME_BY_STATUS: typing.Final = {
    200: workers.StartOutcome.STARTED,
    400: workers.StartOutcome.INVALID,
    421: workers.StartOutcome.WRONG_WORKER,
    429: workers.StartOutcome.UNHEALTHY,
    503: workers.StartOutcome.UNHEALTHY,
}

_OUTCOME_BY_DELIVERY: typing.Final = {
    interfaces.Delivery.UNANSWERED: workers.StartOutcome.UNKNOWN,
    interfaces.Delivery.BROKEN: workers.StartOutcome.BROKEN,
    interfaces.Delivery.UNREACHED: workers.StartOutcome.UNREACHED,
    interfaces.Delivery.NO_CONNECTION: workers.StartOutcome.NO_CONNECTION,
}


class _Rejection(msgspec.Struct):
    reason: str = ''


# Ends are numbered from 1.
_EndNumber = typing.Annotated[
    int,
    msgspec.Meta(ge=1, le=documents.MAX_EXACT_INTEGER),
]


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: documents.Count
    checkpoint: str
    percent: float


class _EndedRow(msgspec.Struct, array_like=True):
    number: _EndNumber
    task: str
    run: documents.Count
    kind: workers.EndKind
    checkpoint: str


class _Report(msgspec.Struct, rename='camel'):
    clock_ms: documents.Count
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []
    # The incarnation of the worker.
    born: documents.UnixMilliseconds = 0


class ExecutorClient(interfaces.WorkerClient):
    """Sends requests over a bounded number of connections to each worker."""

    def __init__(
        self, connections: worker_connections.WorkerConnections
    ) -> None:
        self._connections = connections

    async def disconnect(self) -> None:
        await self._connections.close()

    async def _order(
        self,
        worker: workers.WorkerEntry,
        path: str,
        body: typing.Mapping[str, object],
        fresh: bool,
    ) -> result.Result[message.Response, interfaces.CallError]:
        answer = await self._connections.send_order(
            worker.address,
            _request(worker, path, body),
            timeout=REQUEST_TIMEOUT_SECONDS,
            fresh=fresh,
        )
        return answer.map_err(_call_error)

    async def start(
        self,
        worker: workers.WorkerEntry,
        request: workers.StartRequest,
        *,
        fresh: bool = False,
    ) -> workers.StartOutcome:
        body: dict[str, object] = {
            'task': request.task.name,
            'runId': request.run,
            'spec': request.payload,
            'deadlineMs': request.lease_until,
            'fencingToken': request.token,
        }
        if request.checkpoint:
            body['checkpoint'] = request.checkpoint
        answer = await self._order(worker, '/run-start', body, fresh)
        if answer.is_err():
            return _OUTCOME_BY_DELIVERY[answer.err_value.delivery]
        response = answer.ok_value
        if response.status == 409:
            return _OUTCOME_BY_REASON.get(
                _rejection_reason(response), workers.StartOutcome.UNKNOWN
            )
        return _OUTCOME_BY_STATUS.get(
            response.status, workers.StartOutcome.UNKNOWN
        )

    async def stop(
        self,
        worker: workers.WorkerEntry,
        task: spec.TaskKey,
        run: workers.RunNumber,
        token: ids.FencingToken,
        *,
        fresh: bool = False,
    ) -> result.Result[bool, interfaces.CallError]:
        body = {'task': task.name, 'runId': run, 'fencingToken': token}
        answer = await self._order(worker, '/run-stop', body, fresh)
        if answer.is_err():
            return answer
        status = answer.ok_value.status
        if status in (200, 409):
            return result.Ok(status == 200)
        return result.Err(interfaces.CallError(f'status {status}'))

    async def renew(
        self,
        worker: workers.WorkerEntry,
        token: ids.FencingToken,
        acknowledged: int,
        *,
        lease_until: int | None,
        wait: float,
    ) -> result.Result[workers.Report | None, interfaces.CallError]:
        body: dict[str, object] = {
            'fencingToken': token,
            'lastSeen': acknowledged,
        }
        if lease_until is not None:
            body['deadlineMs'] = lease_until
        if wait > 0:
            body['waitMs'] = int(min(wait, MAX_RENEWAL_WAIT_SECONDS) * 1000)
        answer = await self._connections.send_renewal(
            worker.address,
            _request(worker, '/hold', body),
            timeout=wait + RENEWAL_MARGIN_SECONDS,
        )
        if answer.is_err():
            return result.Err(_call_error(answer.err_value))
        response = answer.ok_value
        if response.status == 409:
            return result.Ok(None)
        if response.status != 200:
            return result.Err(
                interfaces.CallError(
                    f'status {response.status}',
                    # An executor answers so to requests for any other one.
                    replaced=response.status == 421,
                )
            )
        try:
            return result.Ok(decode_report(response.body))
        except ValueError as error:
            return result.Err(interfaces.CallError(str(error)))


def _request(
    worker: workers.WorkerEntry,
    path: str,
    body: typing.Mapping[str, object],
) -> message.Request:
    return message.Request(
        'POST',
        path,
        {
            'content-type': 'application/json',
            'x-expect-instance': worker.worker_id,
        },
        msgspec.json.encode(body),
    )


def _call_error(error: client.ExchangeError) -> interfaces.CallError:
    return interfaces.CallError(
        error.detail, delivery=worker_connections.delivery(error)
    )


def _rejection_reason(response: message.Response) -> str:
    try:
        return documents.decode(response.body, _Rejection).reason
    except ValueError as error:
        _LOG.warning('worker rejection could not be decoded', error=str(error))
        return ''


def decode_report(data: bytes) -> workers.Report:
    """Return a worker's report.

    :raise ValueError: unreadable, or not a report.
    """
    report = documents.decode(data, _Report)
    return workers.Report(
        clock=report.clock_ms,
        incarnation=workers.WorkerIncarnation(report.born),
        running=tuple(
            workers.RunStatus(
                spec.TaskKey.parse(row.task),
                workers.RunNumber(row.run),
                row.checkpoint,
                max(0, min(100, int(row.percent))),
            ) for row in report.running
        ),
        ended=tuple(
            workers.RunEnd(
                row.number,
                spec.TaskKey.parse(row.task),
                workers.RunNumber(row.run),
                row.kind,
                row.checkpoint,
            ) for row in report.ended
        ),
    )


__all__ = ('ExecutorClient', 'REQUEST_TIMEOUT_SECONDS', 'decode_report')
