"""Calls to the workers that run tasks on accelerators under leases."""
from __future__ import annotations

import abc
import dataclasses
import enum
import typing

import msgspec
import result

from nutmegworks.model import decoding
from nutmegworks.model import ids
from nutmegworks.model import shape
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool

CALL_TIMEOUT_SECONDS: typing.Final = 1.0
# A report may contain the results of all tasks of a worker, in base64.
MAX_REPORT_BYTES: typing.Final = 8 * 1024 * 1024


class Step(enum.Enum):
    """Kind of an order to a worker; the value is its path."""

    RESERVE = 'reserve'
    STAGE = 'stage'
    GO = 'go'
    RENEW = 'renew'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


class TaskPhase(enum.Enum):
    """State of a task on a worker."""

    RESERVED = 'reserved'
    STAGED = 'staged'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    EXPIRED = 'expired'


class WorkerFault(enum.Enum):
    """Why an order was rejected or has no response.

    NOT_SENT means that no byte reached the worker; NO_ANSWER means that the
    order may have taken effect.
    """

    FENCED = 'fenced'
    BUSY = 'busy'
    WRONG_PHASE = 'wrong-phase'
    UNKNOWN_RUN = 'unknown-run'
    NOT_SENT = 'not-sent'
    NO_ANSWER = 'no-answer'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerError:
    fault: WorkerFault
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A request to a worker about one run.

    :param accelerators: indices of the accelerators that the task uses.
    :param lease_seconds: the lease is extended to at least this many seconds
        from now and is never shortened; 0 only queries the task's state.
    :param checkpoint: reference of the checkpoint to resume from; empty to
        start from the beginning.
    """

    step: Step
    run_id: ids.RunId
    fencing_token: ids.FencingToken
    accelerators: tuple[int, ...] = ()
    lease_seconds: float = 0.0
    payload: bytes = b''
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskReport:
    """State of a task that a worker reports.

    :param lease_remaining: seconds until the worker stops the task.
    :param checkpoint: reference of the last checkpoint; empty if none.
    :param result: None unless the task has finished.
    """

    run_id: ids.RunId
    phase: TaskPhase
    accelerators: tuple[int, ...] = ()
    lease_remaining: float = 0.0
    checkpoint: str = ''
    result: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """A worker's report on all its tasks; it may be out of date.

    :param accelerators: number of accelerators of the worker.
    :param fencing_token: latest token that the worker has accepted.
    """

    worker_id: ids.WorkerId
    rack_id: ids.RackId
    accelerators: int
    fencing_token: ids.FencingToken
    tasks: tuple[TaskReport, ...]


class WorkerClient(abc.ABC):
    """Sends orders to workers and fetches their reports."""

    @abc.abstractmethod
    async def send(
        self,
        address: client.Address,
        order: Order,
    ) -> result.Result[TaskReport, WorkerError]:
        """Send an order about a run.

        :return: the task's current state, which unlike a report is up to date.
        """

    @abc.abstractmethod
    async def report(
        self,
        address: client.Address,
    ) -> result.Result[WorkerReport, WorkerError]:
        """Return the worker's latest report."""


class _Task(msgspec.Struct):
    run_id: str
    phase: TaskPhase
    accelerators: tuple[int, ...] = ()
    lease_left: float = 0.0
    checkpoint: str = ''
    result: bytes | None = None


class _State(msgspec.Struct):
    worker_id: str
    rack: str
    accelerators: shape.WorkerAccelerators
    fencing_token: int
    tasks: list[_Task]


class _Refused(msgspec.Struct):
    reason: WorkerFault = WorkerFault.FENCED
    detail: str = ''


class HttpWorkerClient(WorkerClient):
    """Sends orders and fetches reports over HTTP."""

    def __init__(
        self,
        *,
        connections: pool.Pool | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._pool = connections or pool.Pool()
        self._timeout = timeout

    async def send(
        self,
        address: client.Address,
        order: Order,
    ) -> result.Result[TaskReport, WorkerError]:
        body = {
            'run_id': order.run_id,
            'fencing_token': order.fencing_token,
            'accelerators': order.accelerators,
            'lease_seconds': order.lease_seconds,
            'payload': order.payload,
            'checkpoint': order.checkpoint,
        }
        request = message.Request(
            'POST',
            f'/v1/{order.step.value}',
            {'content-type': 'application/json'},
            msgspec.json.encode(body),
        )
        answer = await self._exchange(address, request)
        return answer.and_then(_decode_task).and_then(
            lambda report: _check_run(report, order.run_id)
        )

    async def report(
        self,
        address: client.Address,
    ) -> result.Result[WorkerReport, WorkerError]:
        request = message.Request('GET', '/v1/state')
        answer = await self._exchange(address, request)
        return answer.and_then(_decode_state)

    async def _exchange(
        self,
        address: client.Address,
        request: message.Request,
    ) -> result.Result[bytes, WorkerError]:
        answer = await self._pool.exchange(
            address,
            request,
            timeout=self._timeout,
            max_body=MAX_REPORT_BYTES,
        )
        if isinstance(answer, result.Err):
            return result.Err(_worker_error(answer.err_value))
        return _check_status(answer.ok_value)


def _worker_error(error: client.ExchangeError) -> WorkerError:
    fault = WorkerFault.NOT_SENT
    if error.may_have_reached_peer:
        fault = WorkerFault.NO_ANSWER
    return WorkerError(fault, f'{error.fault.value}: {error.detail}')


def _check_status(
    response: message.Response,
) -> result.Result[bytes, WorkerError]:
    if response.status == 200:
        return result.Ok(response.body)
    if response.status == 404:
        return result.Err(WorkerError(WorkerFault.UNKNOWN_RUN))
    if response.status != 409:
        detail = f'status {response.status}'
        return result.Err(WorkerError(WorkerFault.NO_ANSWER, detail))
    try:
        with decoding.nesting_limit():
            refusal = msgspec.json.decode(response.body, type=_Refused)
    except msgspec.DecodeError as error:
        return result.Err(WorkerError(WorkerFault.NO_ANSWER, str(error)))
    return result.Err(WorkerError(refusal.reason, refusal.detail))


def _decode_task(body: bytes) -> result.Result[TaskReport, WorkerError]:
    try:
        with decoding.nesting_limit():
            task = msgspec.json.decode(body, type=_Task)
    except msgspec.DecodeError as error:
        return result.Err(WorkerError(WorkerFault.NO_ANSWER, str(error)))
    return result.Ok(_task_report(task))


def _check_run(
    report: TaskReport,
    run_id: ids.RunId,
) -> result.Result[TaskReport, WorkerError]:
    if report.run_id != run_id:
        detail = f'the answer is about run {report.run_id}'
        return result.Err(WorkerError(WorkerFault.NO_ANSWER, detail))
    return result.Ok(report)


def _decode_state(body: bytes) -> result.Result[WorkerReport, WorkerError]:
    try:
        with decoding.nesting_limit():
            state = msgspec.json.decode(body, type=_State)
    except msgspec.DecodeError as error:
        return result.Err(WorkerError(WorkerFault.NO_ANSWER, str(error)))
    return result.Ok(
        WorkerReport(
            worker_id=ids.WorkerId(state.worker_id),
            rack_id=ids.RackId(state.rack),
            accelerators=state.accelerators,
            fencing_token=ids.FencingToken(state.fencing_token),
            tasks=tuple(_task_report(task) for task in state.tasks),
        )
    )


def _task_report(task: _Task) -> TaskReport:
    return TaskReport(
        run_id=ids.RunId(task.run_id),
        phase=task.phase,
        accelerators=task.accelerators,
        lease_remaining=task.lease_left,
        checkpoint=task.checkpoint,
        result=task.result,
    )


__all__ = (
    'CALL_TIMEOUT_SECONDS',
    'HttpWorkerClient',
    'MAX_REPORT_BYTES',
    'Order',
    'Step',
    'TaskPhase',
    'TaskReport',
    'WorkerClient',
    'WorkerError',
    'WorkerFault',
    'WorkerReport',
)
