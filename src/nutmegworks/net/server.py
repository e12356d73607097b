"""HTTP server that passes each request to a handler."""
from __future__ import annotations

import dataclasses
import enum
import typing

import curio
import curio.socket
import h11

from nutmegworks.model import verdict
from nutmegworks.net import message

Handler = typing.Callable[
    [message.Request],
    typing.Awaitable[message.Response],
]

# Adjusts a refusal to the headers of its request; these are None if they were
# not read.
AdjustRefusal = typing.Callable[
    [message.Headers | None, verdict.Refusal],
    verdict.Refusal,
]

LISTEN_BACKLOG: typing.Final = 1024
# A draining server stops after this time even if connections are still open.
DRAIN_LIMIT_SECONDS: typing.Final = 60.0
DRAIN_POLL_SECONDS: typing.Final = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a server.

    :param max_connections: open connections; further ones are refused.
    :param max_body: bytes of a request body.
    :param request_timeout: seconds for one whole request to arrive.
    :param idle_timeout: seconds for which an idle connection stays open.
    :param write_timeout: seconds to write one response.
    """

    max_connections: int = 1024
    max_body: int = message.MAX_BODY_BYTES
    request_timeout: float = 10.0
    idle_timeout: float = 30.0
    write_timeout: float = 10.0


class AbortConnection(Exception):
    """Raised by a handler to close the connection without a response.

    :param raw: bytes to write unchanged before closing.
    :param linger: seconds to keep the connection open after writing.
    """

    def __init__(self, raw: bytes = b'', linger: float = 0.0) -> None:
        super().__init__('connection aborted by the handler')
        self.raw = raw
        self.linger = linger


class _State(enum.Enum):
    SERVING = 'serving'
    DRAINING = 'draining'


class Server:
    """Serves one listening socket until it is drained.

    :param adjust_refusal: applied to each refusal of the server itself.
    :ivar address: host and port, known after ``start``.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: Limits | None = None,
        adjust_refusal: AdjustRefusal | None = None,
    ) -> None:
        self._handler = handler
        self._adjust_refusal = adjust_refusal
        self._limits = limits or Limits()
        self._state = _State.SERVING
        self._open = 0
        self._in_flight = 0
        self._listener: curio.io.Socket | None = None
        self._acceptor: curio.Task | None = None
        self.address: tuple[str, int] = ('', 0)

    @property
    def in_flight(self) -> int:
        return self._in_flight

    async def start(self, host: str, port: int) -> None:
        """Bind, listen and accept connections in a background task."""
        sock = curio.socket.socket()
        sock.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
        self.address = sock.getsockname()
        self._listener = sock
        self._acceptor = await curio.spawn(self._accept, daemon=True)

    def announce_stop(self) -> None:
        """Send ``Connection: close`` with each response from now on."""
        self._state = _State.DRAINING

    async def drain(self, limit: float = DRAIN_LIMIT_SECONDS) -> bool:
        """Stop accepting connections and wait until all open ones are closed.

        :param limit: seconds.
        :return: whether every connection was closed in time.
        """
        self.announce_stop()
        # Closing the listener would reset connections in the backlog, so
        # they are accepted first.
        await curio.sleep(DRAIN_POLL_SECONDS)
        if self._acceptor is not None:
            await self._acceptor.cancel()
        if self._listener is not None:
            await self._listener.close()
        waited = 0.0
        while self._open and waited < limit:
            await curio.sleep(DRAIN_POLL_SECONDS)
            waited += DRAIN_POLL_SECONDS
        return self._open == 0

    async def _accept(self) -> None:
        assert self._listener is not None
        while True:
            try:
                sock, _ = await self._listener.accept()
            except OSError:
                # Out of file descriptors: wait for connections to close.
                await curio.sleep(0.1)
                continue
            await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        self._open += 1
        try:
            async with sock:
                sock.setsockopt(
                    curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1
                )
                await _ServerConnection(self, sock).run()
        except (OSError, curio.TaskTimeout):
            # The caller disconnected or does not read the response.
            pass
        finally:
            self._open -= 1


class _ServerConnection:
    """Reads requests from one socket and writes their responses."""

    def __init__(self, server: Server, sock: curio.io.Socket) -> None:
        self._server = server
        self._limits = server._limits
        self._sock = sock
        self._headers: message.Headers | None = None
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=message.MAX_HEADER_BYTES,
        )

    async def run(self) -> None:
        if self._server._open > self._limits.max_connections:
            await self._refuse(
                verdict.did_not_run(
                    verdict.Reason.OVERLOADED,
                    'too many connections',
                    retry_after=1.0,
                )
            )
            return
        while await self._handle_next_request():
            self._http.start_next_cycle()

    async def _handle_next_request(self) -> bool:
        try:
            if not await self._wait_for_request():
                return False
            async with curio.timeout_after(self._limits.request_timeout):
                request = await self._read_request()
        except h11.RemoteProtocolError as error:
            await self._refuse(
                verdict.did_not_run(verdict.Reason.BAD_REQUEST, str(error))
            )
            return False
        except message.BodyTooLargeError as error:
            await self._refuse(
                verdict.did_not_run(verdict.Reason.TOO_LARGE, str(error))
            )
            return False
        except curio.TaskTimeout:
            await self._refuse(
                verdict.did_not_run(
                    verdict.Reason.BAD_REQUEST,
                    'the request did not arrive in time',
                )
            )
            return False
        if request is None:
            return False
        if request.method == 'CONNECT':
            # h11 takes a 2xx response as the start of a tunnel.
            await self._refuse(
                verdict.did_not_run(
                    verdict.Reason.BAD_REQUEST, 'this is not a proxy'
                )
            )
            return False
        return await self._answer(request)

    async def _wait_for_request(self) -> bool:
        """Wait for the next request.

        :return: False if the connection was closed or idle for too long.
        """
        if self._http.trailing_data[0]:
            return True
        idle = self._limits.idle_timeout
        while True:
            if self._server._state is _State.DRAINING:
                idle = min(idle, 1.0)
            data = await curio.ignore_after(
                min(idle, 1.0), self._sock.recv, message.RECEIVE_BYTES
            )
            if data is not None:
                self._http.receive_data(data)
                return bool(data)
            idle -= 1.0
            if idle <= 0:
                return False

    async def _read_request(self) -> message.Request | None:
        head: h11.Request | None = None
        self._headers = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._send_continue()
                data = await self._sock.recv(message.RECEIVE_BYTES)
                self._http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                self._headers = message.decode_headers(event)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.max_body:
                    raise message.BodyTooLargeError(
                        f'the body exceeds {self._limits.max_body} bytes'
                    )
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return message.Request(
                    head.method.decode('ascii'),
                    head.target.decode('ascii'),
                    self._headers or {},
                    bytes(body),
                )
            else:
                return None

    async def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._sock.sendall(self._http.send(interim) or b'')

    async def _answer(self, request: message.Request) -> bool:
        self._server._in_flight += 1
        try:
            response = await self._server._handler(request)
            await self._write(response, send_body=request.method != 'HEAD')
        except AbortConnection as abort:
            await self._sock.sendall(abort.raw)
            await curio.sleep(abort.linger)
            return False
        finally:
            self._server._in_flight -= 1
        states = (self._http.our_state, self._http.their_state)
        return states == (h11.DONE, h11.DONE)

    async def _refuse(self, refusal: verdict.Refusal) -> None:
        # After a protocol error h11 can't parse the request any further, but
        # can still send a response if none was started.
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        if self._server._adjust_refusal is not None:
            refusal = self._server._adjust_refusal(self._headers, refusal)
        await self._write(refusal_response(refusal), close=True)

    async def _write(
        self,
        response: message.Response,
        *,
        close: bool = False,
        send_body: bool = True,
    ) -> None:
        headers = dict(response.headers)
        if close or self._server._state is _State.DRAINING:
            headers['connection'] = 'close'
        http = self._http
        data = http.send(
            h11.Response(
                status_code=response.status,
                headers=message.encode_headers(headers, response.body),
            )
        ) or b''
        if response.body and send_body:
            data += http.send(h11.Data(data=response.body)) or b''
        data += http.send(h11.EndOfMessage()) or b''
        async with curio.timeout_after(self._limits.write_timeout):
            await self._sock.sendall(data)


def refusal_response(refusal: verdict.Refusal) -> message.Response:
    """Return the HTTP response for a refusal."""
    headers = {'nutmeg-verdict': refusal.verdict.value}
    if refusal.retry_after is not None:
        headers['retry-after'] = str(max(1, round(refusal.retry_after)))
    value = {
        'verdict': refusal.verdict.value,
        'reason': refusal.reason.value,
        'detail': refusal.detail,
        'retry_after': refusal.retry_after,
    }
    return message.json_response(refusal.http_status, value, headers)


__all__ = (
    'AbortConnection',
    'AdjustRefusal',
    'DRAIN_LIMIT_SECONDS',
    'Handler',
    'Limits',
    'Server',
    'refusal_response',
)
