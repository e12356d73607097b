"""Calls to the upstreams that run synchronous requests."""
from __future__ import annotations

import abc
import dataclasses
import enum
import math
import typing

import msgspec
import result

from nutmegworks.limits import deadline
from nutmegworks.model import decoding
from nutmegworks.model import ids
from nutmegworks.model import verdict
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool

STATE_TIMEOUT_SECONDS: typing.Final = 0.5

REQUEST_ID_HEADER: typing.Final = 'nutmeg-request-id'
STATE_HEADER: typing.Final = 'nutmeg-upstream-state'
VERDICT_HEADER: typing.Final = 'nutmeg-verdict'


class CallFault(enum.Enum):
    """Why a call has no usable response."""

    CONNECT = 'connect'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'
    PROTOCOL = 'protocol'
    MISMATCH = 'mismatch'
    REFUSED = 'refused'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One attempt of a request.

    :param timeout: seconds remaining for the attempt.
    :param send_before: monotonic seconds after which the request must not be
        sent.
    """

    request_id: ids.RequestId
    service_id: ids.ServiceId
    class_id: ids.ClassId
    timeout: float
    body: bytes
    traceparent: str = ''
    send_before: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """A failed attempt.

    :param verdict: whether the attempt may have run.
    :param reused: whether the connection had carried earlier requests; an
        error on it does not show that the upstream is unreachable.
    :param leaving: whether the upstream reported that it is leaving.
    """

    fault: CallFault
    verdict: verdict.Verdict
    detail: str
    reused: bool = False
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallResponse:
    """The complete response of an upstream to one attempt."""

    body: bytes
    content_type: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """State that an upstream reports.

    :param slots: requests that it can run at the same time.
    :param busy: requests that it is running.
    """

    leaving: bool
    slots: int
    busy: int


class UpstreamClient(abc.ABC):

    @abc.abstractmethod
    async def run(
        self,
        address: client.Address,
        call: Call,
        *,
        fresh: bool = False,
    ) -> result.Result[CallResponse, CallError]:
        """Run a request on one upstream.

        :param fresh: use a new connection.
        """

    @abc.abstractmethod
    async def report(
        self,
        address: client.Address,
    ) -> result.Result[UpstreamReport, str]:
        """Return the state of the upstream, or an error message."""


class _State(msgspec.Struct):
    state: str
    slots: int = 8
    busy: int = 0


_FAULT_BY_NET: typing.Final = {
    client.Fault.CONNECT: CallFault.CONNECT,
    client.Fault.NO_ROOM: CallFault.CONNECT,
    client.Fault.TIMEOUT: CallFault.TIMEOUT,
    client.Fault.CLOSED: CallFault.CLOSED,
    client.Fault.PROTOCOL: CallFault.PROTOCOL,
    client.Fault.MISMATCH: CallFault.MISMATCH,
    client.Fault.TOO_LARGE: CallFault.PROTOCOL,
}


class HttpUpstreamClient(UpstreamClient):
    """Calls upstreams over HTTP."""

    def __init__(self, connections: pool.Pool) -> None:
        self._pool = connections

    async def run(
        self,
        address: client.Address,
        call: Call,
        *,
        fresh: bool = False,
    ) -> result.Result[CallResponse, CallError]:
        headers = {
            REQUEST_ID_HEADER: call.request_id,
            'nutmeg-service': call.service_id,
            'nutmeg-class': call.class_id,
            'nutmeg-deadline-ms': deadline.header_value(call.timeout),
            'traceparent': call.traceparent,
        }
        answer = await self._pool.exchange(
            address,
            message.Request('POST', '/v1/run', headers, call.body),
            timeout=call.timeout,
            echo_header=REQUEST_ID_HEADER,
            fresh=fresh,
            send_before=call.send_before,
        )
        if isinstance(answer, result.Err):
            return result.Err(_call_error(answer.err_value))
        return _check_response(answer.ok_value)

    async def report(
        self,
        address: client.Address,
    ) -> result.Result[UpstreamReport, str]:
        # A new connection shows whether the upstream is reachable now; an
        # idle one may have stopped working unnoticed.
        answer = await self._pool.exchange(
            address,
            message.Request('GET', '/v1/state', {'connection': 'close'}),
            timeout=STATE_TIMEOUT_SECONDS,
            fresh=True,
        )
        if isinstance(answer, result.Err):
            return result.Err(answer.err_value.detail)
        try:
            with decoding.nesting_limit():
                state = msgspec.json.decode(answer.ok_value.body, type=_State)
        except msgspec.DecodeError as error:
            return result.Err(str(error))
        return result.Ok(
            UpstreamReport(state.state == 'leaving', state.slots, state.busy)
        )


def _call_error(error: client.ExchangeError) -> CallError:
    outcome = verdict.Verdict.DID_NOT_RUN
    if error.may_have_reached_peer:
        outcome = verdict.Verdict.MAY_HAVE_RUN
    return CallError(
        _FAULT_BY_NET[error.fault],
        outcome,
        error.detail,
        reused=not error.first_use,
    )


def _check_response(
    response: message.Response,
) -> result.Result[CallResponse, CallError]:
    headers = response.headers
    leaving = headers.get(STATE_HEADER) == 'leaving'
    if response.status == 200:
        content_type = headers.get('content-type', 'application/octet-stream')
        return result.Ok(CallResponse(response.body, content_type, leaving))
    if headers.get(VERDICT_HEADER) == verdict.Verdict.DID_NOT_RUN.value:
        return result.Err(
            CallError(
                CallFault.REFUSED,
                verdict.Verdict.DID_NOT_RUN,
                f'status {response.status}',
                leaving=leaving,
            )
        )
    return result.Err(
        CallError(
            CallFault.FAILED,
            verdict.Verdict.MAY_HAVE_RUN,
            f'status {response.status}',
            leaving=leaving,
        )
    )


__all__ = (
    'Call',
    'CallError',
    'CallFault',
    'CallResponse',
    'HttpUpstreamClient',
    'REQUEST_ID_HEADER',
    'STATE_HEADER',
    'UpstreamClient',
    'UpstreamReport',
    'VERDICT_HEADER',
)
