"""HTTP server that passes each request to a handler."""
from __future__ import annotations

import dataclasses
import enum
import time
import typing

import curio
import curio.socket
import h11
import logbook

from nutmegworks.model import verdict
from nutmegworks.net import budget as budgets
from nutmegworks.net import channel as channels
from nutmegworks.net import message
from nutmegworks.policy import intake

_LOG: typing.Final = logbook.Logger('server')

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

# Connections that were refused stay open for a time in which the client can
# read the refusal; of more than this number the further ones are closed.
MAX_LINGERING: typing.Final = 128
LINGER_SECONDS: typing.Final = 2.0
LINGER_BYTES: typing.Final = 2 * 1024 * 1024
# Connections that are accepted before other tasks run.
ACCEPTS_PER_TURN: typing.Final = 16
# Parts of a body that are decoded before other tasks run.
PARTS_PER_TURN: typing.Final = 128
# Pause after each turn of a body of more parts than one turn decodes.
FRAMING_PAUSE_SECONDS: typing.Final = 0.001
# Bytes on the wire for each byte of the body, and beside that: a chunk of one
# byte takes six.
MAX_FRAMING_RATIO: typing.Final = 8
FRAMING_ALLOWANCE_BYTES: typing.Final = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a server.

    :param max_connections: open connections; further ones are refused.
    :param max_in_flight: requests that are handled at a time; further ones
        are refused.
    :param max_body: bytes of a request body.
    :param max_header: bytes of a request's head.
    :param header_timeout: seconds for the head of a request to arrive.
    :param request_timeout: seconds for one whole request to arrive.
    :param idle_timeout: seconds for which an idle connection stays open.
    :param write_timeout: seconds to write one response.
    """

    max_connections: int = 1024
    max_in_flight: int = 1024
    max_body: int = message.MAX_BODY_BYTES
    max_header: int = message.MAX_HEADER_BYTES
    header_timeout: float = 10.0
    request_timeout: float = 10.0
    idle_timeout: float = 30.0
    write_timeout: float = 10.0


class _RefusedError(Exception):
    """A request that is refused before it is handled."""

    def __init__(
        self, reason: verdict.Reason, detail: str, loss: budgets.Loss
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.loss = loss


# Reasons for which the client may send the same request again.
_RETRY_AFTER_BY_REASON: typing.Final = {verdict.Reason.OVERLOADED: 1.0}


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

    :param limits: fixed ones, or a function that returns those in force.
    :param budget: of the process; by default that of the smallest machine.
    :param internal: its connections are not those of clients and never have
        to give way.
    :param adjust_refusal: applied to each refusal of the server itself.
    :ivar address: host and port, known after ``start``.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: Limits | typing.Callable[[], Limits] | None = None,
        budget: budgets.Budget | None = None,
        internal: bool = False,
        adjust_refusal: AdjustRefusal | None = None,
    ) -> None:
        self._handler = handler
        self._adjust_refusal = adjust_refusal
        if limits is None or isinstance(limits, Limits):
            fixed = limits or Limits()
            self._limits: typing.Callable[[], Limits] = lambda: fixed
        else:
            self._limits = limits
        self._budget = budget or budgets.Budget()
        self._internal = internal
        self._state = _State.SERVING
        # Connections, and those of them that were refused.
        self._open = 0
        self._lingering = 0
        self._in_flight = 0
        self._listener: curio.io.Socket | None = None
        self._acceptor: curio.Task | None = None
        self.address: tuple[str, int] = ('', 0)

    @property
    def open_connections(self) -> int:
        return self._open

    @property
    def in_flight(self) -> int:
        return self._in_flight

    async def start(self, host: str, port: int) -> None:
        """Bind, listen and accept connections in a background task."""
        sock = curio.socket.socket()
        sock.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
        if not self._internal:
            _limit_receive_buffer(sock)
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
            if not self._internal:
                # Requests that still arrive then would not be answered in
                # time.
                self._budget.close_for_stop(all_unhandled=waited > limit / 2)
            await curio.sleep(DRAIN_POLL_SECONDS)
            waited += DRAIN_POLL_SECONDS
        if self._open:
            _LOG.warning(
                'connections still open after the drain',
                count=self._open,
                in_flight=self._in_flight,
                phases=self._budget.count_by_phase(),
            )
        return self._open == 0

    async def _accept(self) -> None:
        assert self._listener is not None
        accepted = 0
        while True:
            try:
                sock, _ = await self._listener.accept()
            except OSError:
                # Out of file descriptors: wait for connections to close.
                await curio.sleep(0.1)
                continue
            await curio.spawn(self._serve, sock, daemon=True)
            accepted += 1
            if accepted % ACCEPTS_PER_TURN == 0:
                await curio.sleep(0)

    def _closes_after_answers(self) -> bool:
        """Return whether connections end with the answer they wait for.

        While all connections are in use, callers take turns.
        """
        if self._state is _State.DRAINING:
            return True
        used = self._open - self._lingering
        return not self._internal and used >= self._limits().max_connections

    def _admits_connection(self) -> bool:
        """Return whether there is room for the connection just opened."""
        if self._open - self._lingering <= self._limits().max_connections:
            return True
        return not self._internal and self._budget.make_connection_room()

    async def _serve(self, sock: curio.io.Socket) -> None:
        self._open += 1
        channel = channels.Channel(sock, self._budget, internal=self._internal)
        try:
            async with sock:
                sock.setsockopt(
                    curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1
                )
                if not self._internal:
                    self._budget.register(channel)
                await _ServerConnection(self, channel).run()
        except (OSError, curio.TaskTimeout):
            # The caller disconnected or does not read the response.
            pass
        finally:
            self._budget.unregister(channel)
            channel.close()
            self._open -= 1


class _ServerConnection:
    """Reads requests from one channel and writes their responses."""

    def __init__(self, server: Server, channel: channels.Channel) -> None:
        self._server = server
        self._limits = server._limits()
        self._channel = channel
        self._headers: message.Headers | None = None
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.max_header,
        )

    async def run(self) -> None:
        refusal = self._refuse_connection()
        if refusal is not None:
            await self._refuse(refusal)
            return
        while await self._handle_next_request():
            self._http.start_next_cycle()

    def _refuse_connection(self) -> _RefusedError | None:
        if not self._server._admits_connection():
            return _RefusedError(
                verdict.Reason.OVERLOADED,
                'too many connections',
                budgets.Loss.NO_CONNECTION,
            )
        if not self._channel.open():
            return _no_memory()
        return None

    async def _handle_next_request(self) -> bool:
        try:
            if not await self._wait_for_request():
                return False
            request = await self._read_request()
        except _RefusedError as refused:
            await self._refuse(refused)
            return False
        except h11.RemoteProtocolError as error:
            await self._refuse(
                _RefusedError(
                    verdict.Reason.BAD_REQUEST,
                    str(error),
                    budgets.Loss.FRAMING,
                )
            )
            return False
        except curio.TaskTimeout:
            await self._refuse(
                _RefusedError(
                    verdict.Reason.BAD_REQUEST,
                    'the request did not arrive in time',
                    budgets.Loss.LATE,
                )
            )
            return False
        if request is None:
            return False
        if request.method == 'CONNECT':
            # h11 takes a 2xx response as the start of a tunnel.
            await self._refuse(
                _RefusedError(
                    verdict.Reason.BAD_REQUEST,
                    'this is not a proxy',
                    budgets.Loss.FRAMING,
                )
            )
            return False
        return await self._answer(request)

    async def _wait_for_request(self) -> bool:
        """Wait for the next request.

        :return: False if the connection was closed or idle for too long.
        """
        channel = self._channel
        self._limits = self._server._limits()
        if self._http.trailing_data[0]:
            channel.enter(intake.Phase.RECEIVING)
            # Requests that arrive together must not keep others waiting.
            await curio.sleep(0)
            return True
        channel.enter(intake.Phase.IDLE)
        idle = self._limits.idle_timeout
        while True:
            if self._server._state is _State.DRAINING:
                idle = min(idle, 1.0)
            data = await curio.ignore_after(min(idle, 1.0), channel.receive)
            if data is not None:
                self._http.receive_data(data)
                if data:
                    channel.enter(intake.Phase.RECEIVING)
                return bool(data)
            idle -= 1.0
            if idle <= 0:
                return False

    async def _read_request(self) -> message.Request | None:
        """Read a request of which some bytes were received.

        :return: None if the connection was closed.
        """
        started = time.monotonic()
        channel = self._channel
        self._headers = None
        limits = self._limits
        if not channel.begin_request(limits.max_header):
            raise _no_memory()
        head_timeout = min(limits.header_timeout, limits.request_timeout)
        async with curio.timeout_after(head_timeout):
            head = await self._read_head()
        if head is None:
            return None
        self._check_announced(self._headers or {})
        remaining = started + limits.request_timeout - time.monotonic()
        async with curio.timeout_after(max(0.0, remaining)):
            if not await self._read_body():
                return None
        if channel.gave_way:
            # Its body is not whole any more.
            raise _no_memory()
        channel.end_reading(len(self._http.trailing_data[0]))
        return message.Request(
            head.method.decode('ascii'),
            head.target.decode('ascii'),
            self._headers or {},
            channel.take_body(),
        )

    async def _read_head(self) -> h11.Request | None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
            elif isinstance(event, h11.Request):
                self._headers = message.decode_headers(event)
                return event
            else:
                return None

    async def _receive(self) -> bytes:
        """Return further bytes of a request."""
        data = await self._channel.receive()
        if self._channel.gave_way:
            raise _no_memory()
        return data

    def _check_announced(self, headers: message.Headers) -> None:
        """Refuse a body that its head announces and that can't be served."""
        size = headers.get('content-length', '0')
        # h11 has checked that these are digits.
        announced = int(size)
        if announced > self._limits.max_body:
            raise self._too_large()
        if not self._channel.reserve_body(announced):
            raise _no_memory()

    async def _read_body(self) -> bool:
        """Read the body; return False if the connection was closed.

        A body of many parts is decoded in turns, one connection at a time.
        """
        for part in range(PARTS_PER_TURN):
            event = await self._next_body_event()
            if event is not None:
                return isinstance(event, h11.EndOfMessage)
        lane = self._server._budget.framing_lane
        while True:
            event = await self._next_body_event()
            if event is None and self._http.trailing_data[0]:
                async with lane:
                    event = self._decode_turn()
                    await curio.sleep(FRAMING_PAUSE_SECONDS)
            if event is not None:
                return isinstance(event, h11.EndOfMessage)

    def _decode_turn(self) -> h11.Event | None:
        """Decode parts of the body that were received.

        :return: the event that ends it, if that is among them.
        """
        for part in range(PARTS_PER_TURN):
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                return None
            if not isinstance(event, h11.Data):
                return event
            self._append(event)
        return None

    async def _next_body_event(self) -> h11.Event | None:
        """Receive bytes if needed, and decode one part of the body.

        :return: the event that ends it, None after another part.
        """
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            await self._send_continue()
            self._http.receive_data(await self._receive())
            self._check_framing()
            event = self._http.next_event()
        if not isinstance(event, h11.Data):
            return event
        self._append(event)
        return None

    def _append(self, event: h11.Data) -> None:
        channel = self._channel
        if channel.body_size + len(event.data) > self._limits.max_body:
            raise self._too_large()
        if not channel.append_body(event.data):
            raise _no_memory()

    def _check_framing(self) -> None:
        channel = self._channel
        allowed = MAX_FRAMING_RATIO * channel.body_size
        if channel.received > allowed + FRAMING_ALLOWANCE_BYTES:
            raise _RefusedError(
                verdict.Reason.BAD_REQUEST,
                'the framing of the body exceeds its content',
                budgets.Loss.FRAMING,
            )

    def _too_large(self) -> _RefusedError:
        return _RefusedError(
            verdict.Reason.TOO_LARGE,
            f'the body exceeds {self._limits.max_body} bytes',
            budgets.Loss.TOO_LARGE,
        )

    async def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._channel.send(self._http.send(interim) or b'')

    async def _answer(self, request: message.Request) -> bool:
        channel = self._channel
        if self._server._in_flight >= self._limits.max_in_flight:
            return await self._answer_overloaded()
        channel.enter(intake.Phase.HANDLING)
        self._server._in_flight += 1
        try:
            response = await self._server._handler(request)
            channel.enter(intake.Phase.ANSWERING)
            await self._write(response, send_body=request.method != 'HEAD')
        except AbortConnection as abort:
            await channel.send(abort.raw)
            await curio.sleep(abort.linger)
            return False
        finally:
            self._server._in_flight -= 1
            channel.end_request()
        return self._may_go_on()

    def _may_go_on(self) -> bool:
        states = (self._http.our_state, self._http.their_state)
        return states == (h11.DONE, h11.DONE)

    async def _answer_overloaded(self) -> bool:
        """Refuse a whole request; the connection stays open."""
        budget = self._server._budget
        budget.lose(budgets.Loss.IN_FLIGHT)
        refusal = verdict.did_not_run(
            verdict.Reason.OVERLOADED,
            'too many requests in progress',
            retry_after=_RETRY_AFTER_BY_REASON[verdict.Reason.OVERLOADED],
        )
        self._channel.end_request()
        await self._write(refusal_response(self._adjust(refusal)))
        return self._may_go_on()

    def _adjust(self, refusal: verdict.Refusal) -> verdict.Refusal:
        if self._server._adjust_refusal is None:
            return refusal
        return self._server._adjust_refusal(self._headers, refusal)

    async def _refuse(self, refused: _RefusedError) -> None:
        """Refuse a request and close so that the client can read why."""
        server = self._server
        channel = self._channel
        server._budget.lose(refused.loss)
        channel.enter(intake.Phase.REFUSED)
        channel.end_request()
        # After a protocol error h11 can't parse the request any further, but
        # can still send a response if none was started.
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        refusal = verdict.did_not_run(
            refused.reason,
            str(refused),
            retry_after=_RETRY_AFTER_BY_REASON.get(refused.reason),
        )
        server._lingering += 1
        try:
            await self._write(
                refusal_response(self._adjust(refusal)), close=True
            )
            if server._lingering <= MAX_LINGERING and not channel.gave_way:
                await curio.ignore_after(
                    LINGER_SECONDS, channel.discard, LINGER_BYTES
                )
        finally:
            server._lingering -= 1

    async def _write(
        self,
        response: message.Response,
        *,
        close: bool = False,
        send_body: bool = True,
    ) -> None:
        headers = dict(response.headers)
        if close or self._server._closes_after_answers():
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
            await self._channel.send(data)


def _limit_receive_buffer(listener: curio.io.Socket) -> None:
    """Limit what the kernel receives for each accepted connection."""
    try:
        listener.setsockopt(
            curio.socket.SOL_SOCKET,
            curio.socket.SO_RCVBUF,
            channels.KERNEL_BUFFER_BYTES,
        )
    except OSError as error:
        _LOG.warning('receive buffer not limited', error=str(error))


def _no_memory() -> _RefusedError:
    return _RefusedError(
        verdict.Reason.OVERLOADED,
        'no memory for the request',
        budgets.Loss.NO_MEMORY,
    )


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
