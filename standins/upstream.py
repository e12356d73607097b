"""A stand-in for an upstream that injects faults."""
from __future__ import annotations

import time
import typing

import curio
import msgspec
import typer

from nutmegworks.net import message
from nutmegworks.net import server
from standins import service

# Longer than any caller waits, so that a silent call is never answered.
SILENT_SECONDS: typing.Final = 3600.0
# The connection stays open this long after a duplicate response, so that a
# client that reuses the connection receives the second one.
LINGER_SECONDS: typing.Final = 2.0
REQUEST_ID: typing.Final = 'nutmeg-request-id'


class Faults(msgspec.Struct):
    """The active faults.

    An int is the number of requests still affected, -1 for all.

    :param service_seconds: run time of one request in seconds.
    :param leaving: report the state leaving.
    :param fail: answer 500 after running.
    :param refuse: answer 503 and did-not-run, without running.
    :param silent: run the request, never answer.
    :param cross: answer with the id and body of the previous request.
    :param truncate: close after half of the response body.
    :param duplicate: send the response twice.
    :param reset_before: close without running.
    :param reset_after: run, then close without a response.
    """

    service_seconds: float = 0.01
    leaving: bool = False
    fail: int = 0
    refuse: int = 0
    silent: int = 0
    cross: int = 0
    truncate: int = 0
    duplicate: int = 0
    reset_before: int = 0
    reset_after: int = 0


class Execution(msgspec.Struct):
    """The execution of one request.

    :param started: seconds since 1970.
    """

    request_id: str
    body: bytes
    started: float
    leaving: bool


class UpstreamStandIn:
    """Runs requests in slots and records each execution."""

    def __init__(self, *, name: str = 'upstream', slots: int = 8) -> None:
        self.faults = Faults()
        self.executions: list[Execution] = []
        self._name = name
        self._slots = slots
        self._busy = 0
        self._last_answer: tuple[str, bytes] = ('none', b'none')

    async def handle(self, request: message.Request) -> message.Response:
        """Serve one request."""
        if request.target == '/fault':
            self.faults = msgspec.json.decode(request.body, type=Faults)
            return message.json_response(200, {})
        if request.target == '/executions':
            return message.json_response(200, self.executions)
        if request.target == '/v1/state':
            return self._state()
        if request.target == '/v1/run':
            return await self._run(request)
        return message.json_response(404, {})

    def _state(self) -> message.Response:
        state = 'leaving' if self.faults.leaving else 'ready'
        return message.json_response(
            200, {
                'state': state,
                'slots': self._slots,
                'busy': self._busy
            }
        )

    def _consume_fault(self, fault: str) -> bool:
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return remaining != 0

    async def _run(self, request: message.Request) -> message.Response:
        request_id = request.headers.get(REQUEST_ID, '')
        if self._consume_fault('reset_before'):
            raise server.AbortConnection()
        if self._consume_fault('refuse') or self._busy >= self._slots:
            return self._respond(
                503, request_id, b'{}', {'nutmeg-verdict': 'did-not-run'}
            )
        self._busy += 1
        try:
            return await self._execute(request, request_id)
        finally:
            self._busy -= 1

    async def _execute(
        self,
        request: message.Request,
        request_id: str,
    ) -> message.Response:
        self.executions.append(
            Execution(
                request_id, request.body, time.time(), self.faults.leaving
            )
        )
        await curio.sleep(self.faults.service_seconds)
        previous = self._last_answer
        body = self._name.encode() + b':' + request.body
        self._last_answer = (request_id, body)
        if self._consume_fault('silent'):
            await curio.sleep(SILENT_SECONDS)
        if self._consume_fault('reset_after'):
            raise server.AbortConnection()
        if self._consume_fault('fail'):
            return self._respond(500, request_id, b'{}')
        if self._consume_fault('cross'):
            return self._respond(200, previous[0], previous[1])
        if self._consume_fault('truncate'):
            raw = self._encode_response(request_id, body)
            raise server.AbortConnection(raw[:-len(body) // 2])
        if self._consume_fault('duplicate'):
            raise server.AbortConnection(
                2 * self._encode_response(request_id, body),
                linger=LINGER_SECONDS
            )
        return self._respond(200, request_id, body)

    def _encode_response(self, request_id: str, body: bytes) -> bytes:
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'{REQUEST_ID}: {request_id}\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        return head.encode('ascii') + body

    def _respond(
        self,
        status: int,
        request_id: str,
        body: bytes,
        extra: dict[str, str] | None = None,
    ) -> message.Response:
        headers = {REQUEST_ID: request_id, **(extra or {})}
        if self.faults.leaving:
            headers['nutmeg-upstream-state'] = 'leaving'
        return message.Response(status, headers, body)


def main(
    host: str = '127.0.0.1',
    port: int = 0,
    name: str = 'upstream',
    slots: int = 8,
) -> None:
    """Print the address and serve until SIGTERM or SIGINT."""
    stand_in = UpstreamStandIn(name=name, slots=slots)
    curio.run(service.serve_until_signal, stand_in.handle, host, port)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Execution', 'Faults', 'UpstreamStandIn', 'main')
