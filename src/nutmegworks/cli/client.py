"""Calls a daemon's interface from the command line."""
from __future__ import annotations

import enum
import typing

import curio
import msgspec
import result
import typer

from nutmegworks.model import verdict
from nutmegworks.net import client as net_client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.settings import values

CALL_TIMEOUT_SECONDS: typing.Final = 30.0
MAX_RESPONSE_BYTES: typing.Final = 16 * 1024 * 1024


class ExitCode(enum.IntEnum):
    """Exit codes of ``nutmeg``."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    UNAUTHENTICATED = 7


_EXIT_BY_STATUS: typing.Final = {
    401: ExitCode.UNAUTHENTICATED,
    403: ExitCode.UNAUTHENTICATED,
    409: ExitCode.CONFLICT,
    429: ExitCode.UNAVAILABLE,
    502: ExitCode.UNKNOWN,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNKNOWN,
}

# Exit codes that say that the call changed nothing.
_UNCHANGED: typing.Final = frozenset({ExitCode.REFUSED, ExitCode.UNAVAILABLE})

# Refusals whose verdict is about a job that this call can't have changed.
_REASONS_WITHOUT_EFFECT: typing.Final = frozenset(
    {verdict.Reason.KEY_REUSED.value, verdict.Reason.NOT_FOUND.value}
)

_REMEDY_BY_EXIT: typing.Final = {
    ExitCode.UNAUTHENTICATED:
    'set NUTMEG_TOKEN to a token with the right to do this',
    ExitCode.CONFLICT:
    'read what changed with "nutmeg config history" and decide again',
    ExitCode.UNAVAILABLE: 'this call changed nothing; try again later',
    ExitCode.UNKNOWN:
    'it may have taken effect; repeat it with the same --change-id or key',
    ExitCode.REFUSED: 'this call changed nothing; correct what is named above',
}


class Client:
    """Calls one daemon, or the load balancer in front of several.

    :param address: ``ip:port``; any other text ends the command.
    """

    def __init__(self, address: str, token: str) -> None:
        try:
            self.address = values.parse_address(address)
        except ValueError as error:
            fail(ExitCode.USAGE, f'address {address!r} {error}')
        self.token = token

    def call(
        self,
        method: str,
        target: str,
        body: object = None,
        *,
        headers: message.Headers | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> message.Response:
        """Make one call and return its response of a status below 300.

        Any other status, or no response, ends the command with an exit code.

        :param body: any value that msgspec can encode as JSON.
        :param timeout: seconds.
        """
        response = self.exchange(
            method, target, body, headers=headers, timeout=timeout
        )
        if response.status >= 300:
            fail_response(response, changes=method != 'GET')
        return response

    def exchange(
        self,
        method: str,
        target: str,
        body: object = None,
        *,
        headers: message.Headers | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> message.Response:
        """Make one call and return its response, whatever its status.

        Without a response the command ends with an exit code.
        """
        data = b'' if body is None else msgspec.json.encode(body)
        merged = {
            'authorization': f'Bearer {self.token}',
            'content-type': 'application/json',
            **(headers or {}),
        }
        request = message.Request(method, target, merged, data)
        outcome = curio.run(self._exchange, request, timeout)
        if isinstance(outcome, result.Err):
            error = outcome.err_value
            code = ExitCode.UNAVAILABLE
            if error.may_have_reached_peer and method != 'GET':
                code = ExitCode.UNKNOWN
            fail(code, f'{error.fault.value}: {error.detail}')
        return outcome.ok_value

    async def _exchange(
        self,
        request: message.Request,
        timeout: float,
    ) -> result.Result[message.Response, net_client.ExchangeError]:
        connections = pool.Pool()
        try:
            return await connections.exchange(
                self.address,
                request,
                timeout=timeout,
                max_body=MAX_RESPONSE_BYTES,
            )
        finally:
            await connections.close()


class _ErrorBody(msgspec.Struct):
    detail: str = ''
    reason: str = ''
    verdict: str = ''
    kind: str = ''
    faults: list[str] = msgspec.field(default_factory=list)


def fail_response(
    response: message.Response,
    *,
    changes: bool,
) -> typing.NoReturn:
    """Print the error of a response and end the command.

    :param changes: whether the call may change something.
    """
    code = _EXIT_BY_STATUS.get(response.status, ExitCode.REFUSED)
    if changes and response.status == 500:
        code = ExitCode.UNKNOWN
    try:
        body = msgspec.json.decode(response.body, type=_ErrorBody)
    except msgspec.DecodeError:
        fail(code, f'status {response.status}')
    if changes and code in _UNCHANGED and _may_have_taken_effect(body):
        code = ExitCode.UNKNOWN
    lines = body.faults or [body.detail or f'status {response.status}']
    parts = (body.kind, body.reason, body.verdict)
    prefix = ', '.join(part for part in parts if part)
    fail(code, *(f'{prefix}: {line}' for line in lines))


def _may_have_taken_effect(body: _ErrorBody) -> bool:
    if body.reason in _REASONS_WITHOUT_EFFECT:
        return False
    return body.verdict == verdict.Verdict.MAY_HAVE_RUN.value


def fail(code: ExitCode, *lines: str) -> typing.NoReturn:
    """Print an error and its remedy, then exit with the code."""
    for line in lines:
        typer.echo(f'error: {line}', err=True)
    remedy = _REMEDY_BY_EXIT.get(code)
    if remedy:
        typer.echo(f'remedy: {remedy}', err=True)
    raise typer.Exit(int(code))


__all__ = ('Client', 'ExitCode', 'fail', 'fail_response')
