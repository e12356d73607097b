"""One HTTP client connection that carries one request at a time."""
from __future__ import annotations

import dataclasses
import enum
import select
import socket
import time
import typing

import curio
import curio.socket
import h11
import result

from nutmegworks.net import budget as budgets
from nutmegworks.net import channel
from nutmegworks.net import message

Address = tuple[str, int]

CONNECT_TIMEOUT_SECONDS: typing.Final = 1.0
# Limit of a response that is bounded by its pauses; a peer that sends a byte
# now and then would hold the call for ever.
MAX_TRANSFER_SECONDS: typing.Final = 10.0
# The kernel fails a connection after about 2.5 s without an acknowledgement.
# That is below the shortest time limit for contact (3 s) in the platform's
# service level.
KEEPALIVE_IDLE_SECONDS: typing.Final = 1
KEEPALIVE_INTERVAL_SECONDS: typing.Final = 1
KEEPALIVE_PROBES: typing.Final = 2
UNACKNOWLEDGED_LIMIT_MS: typing.Final = 2500

# What a socket raises for a port out of range, and for a host that can not be
# encoded.
_ADDRESS_ERRORS: typing.Final = (OverflowError, TypeError, ValueError)

_STATUSES_WITHOUT_BODY: typing.Final = frozenset({204, 304})


class Fault(enum.Enum):
    """Why an exchange failed.

    :cvar NO_ROOM: this process may open no further connection at present.
    """

    CONNECT = 'connect'
    NO_ROOM = 'no-room'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'
    PROTOCOL = 'protocol'
    MISMATCH = 'mismatch'
    TOO_LARGE = 'too-large'


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeError:
    """A failed exchange.

    :param may_have_reached_peer: whether any byte may have reached the peer.
    :param first_use: whether the connection had completed no exchange before.
    """

    fault: Fault
    detail: str
    may_have_reached_peer: bool
    first_use: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _TransferLimit:
    """Time limits of a response that has begun.

    :param stall_timeout: seconds without a byte.
    :param ends_at: monotonic seconds at which it must have ended.
    """

    stall_timeout: float
    ends_at: float

    def seconds(self) -> float:
        """Return the seconds in which further bytes must arrive."""
        remaining = self.ends_at - time.monotonic()
        return max(0.0, min(self.stall_timeout, remaining))


class Connection:
    """A connection that carries exchanges in turn.

    A failed exchange closes it.

    :ivar exchange_count: completed exchanges.
    :ivar received_bytes: of the latest response, its head included.
    """

    def __init__(
        self,
        sock: curio.io.Socket,
        address: Address,
        budget: budgets.Budget,
    ) -> None:
        self.address = address
        self._budget = budget
        self.exchange_count = 0
        self.received_bytes = 0
        self._sock = sock
        self._http = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=message.MAX_HEADER_BYTES,
        )
        self._open = True
        self._may_have_sent = False
        self._on_first_byte: typing.Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        return self._open

    @property
    def reusable(self) -> bool:
        return self._open and self._http.our_state is h11.IDLE

    def is_idle(self) -> bool:
        """Return whether the peer has neither closed it nor sent anything.

        Bytes that arrive between two exchanges are no response to the next
        request.
        """
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    async def exchange(
        self,
        request: message.Request,
        *,
        timeout: float,
        stall_timeout: float | None = None,
        max_body: int = message.MAX_BODY_BYTES,
        echo_header: str = '',
        on_first_byte: typing.Callable[[], None] | None = None,
    ) -> result.Result[message.Response, ExchangeError]:
        """Send a request and read its whole response.

        :param timeout: seconds for the whole exchange, or until the response
            begins if ``stall_timeout`` is given.
        :param stall_timeout: seconds without a byte after which a response
            that has begun is given up; ``MAX_TRANSFER_SECONDS`` bounds it.
        :param max_body: bytes of response body that are accepted.
        :param echo_header: name of a request header that the response must
            repeat.
        :param on_first_byte: called when the response begins.
        """
        self._may_have_sent = False
        self.received_bytes = 0
        self._on_first_byte = on_first_byte
        succeeded = False
        try:
            if stall_timeout is None:
                async with curio.timeout_after(timeout):
                    await self._send(request)
                    response = await self._read_response(max_body)
            else:
                async with curio.timeout_after(timeout):
                    await self._send(request)
                    await self._receive()
                response = await self._read_response(max_body, stall_timeout)
            if echo_header and response.headers.get(
                    echo_header) != request.headers[echo_header]:
                return self._error(
                    Fault.MISMATCH, f'the response repeats no {echo_header}'
                )
            succeeded = True
        except curio.TaskTimeout:
            return self._timeout_error(timeout, stall_timeout)
        except message.BodyTooLargeError as error:
            return self._error(Fault.TOO_LARGE, str(error))
        except (h11.ProtocolError, ValueError) as error:
            return self._error(Fault.PROTOCOL, str(error))
        except (OSError, EOFError) as error:
            return self._error(Fault.CLOSED, str(error))
        finally:
            # Also runs when the task is cancelled: a late response must not
            # be read as the response to the next request.
            if not succeeded:
                await self.close()
        self.exchange_count += 1
        await self._prepare_reuse()
        return result.Ok(response)

    def _error(self, fault: Fault, detail: str) -> result.Err[ExchangeError]:
        return result.Err(
            ExchangeError(
                fault, detail, self._may_have_sent, self.exchange_count == 0
            )
        )

    def _timeout_error(
        self,
        timeout: float,
        stall_timeout: float | None,
    ) -> result.Err[ExchangeError]:
        limit = f'no whole answer in {timeout:.3f} s'
        if stall_timeout is not None and self.received_bytes:
            limit = (
                f'no further byte in {stall_timeout:.3f} s, or no end in '
                f'{MAX_TRANSFER_SECONDS:.0f} s'
            )
        return self._error(
            Fault.TIMEOUT, f'{limit}, {self.received_bytes} bytes received'
        )

    async def _send(self, request: message.Request) -> None:
        headers = {
            'host': f'{self.address[0]}:{self.address[1]}',
            **request.headers,
        }
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=message.encode_headers(headers, request.body),
        )
        data = self._http.send(head) or b''
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b''
        data += self._http.send(h11.EndOfMessage()) or b''
        self._may_have_sent = True
        await self._sock.sendall(data)

    async def _read_response(
        self,
        max_body: int,
        stall_timeout: float | None = None,
    ) -> message.Response:
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        account = channel.AnswerAccount(self._budget)
        limit = None
        if stall_timeout is not None:
            limit = _TransferLimit(
                stall_timeout,
                time.monotonic() + MAX_TRANSFER_SECONDS
            )
        try:
            while True:
                event = await self._next_event(limit)
                if isinstance(event, h11.Response):
                    status = event.status_code
                    headers = message.decode_headers(event)
                    _check_framing(status, headers)
                elif isinstance(event, h11.Data):
                    size = len(body) + len(event.data)
                    if size > max_body:
                        raise message.BodyTooLargeError(
                            f'response body exceeds {max_body} bytes'
                        )
                    await _within(limit, account.reserve, size)
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return message.Response(status, headers, bytes(body))
        finally:
            account.close()

    async def _next_event(self, limit: _TransferLimit | None) -> h11.Event:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            await _within(limit, self._receive)

    async def _receive(self) -> None:
        data = await channel.receive_answer(self._sock, message.RECEIVE_BYTES)
        if not self.received_bytes and self._on_first_byte is not None:
            self._on_first_byte()
        self.received_bytes += len(data)
        if not data and self._http.their_state is h11.SEND_RESPONSE:
            raise EOFError('closed before the response')
        self._http.receive_data(data)

    async def _prepare_reuse(self) -> None:
        done = h11.DONE
        http = self._http
        # Unrequested bytes after the response must not be read as the next
        # response.
        if http.trailing_data[0] or (http.our_state,
                                     http.their_state) != (done, done):
            await self.close()
            return
        http.start_next_cycle()

    async def close(self) -> None:
        """Close the socket; safe to call twice."""
        if self._open:
            self._open = False
            await self._sock.close()


async def _within(
    limit: _TransferLimit | None,
    step: typing.Callable[..., typing.Awaitable[None]],
    *arguments: typing.Any,
) -> None:
    """Make one step of a transfer, within its limit if it has one."""
    if limit is None:
        await step(*arguments)
    else:
        await curio.timeout_after(limit.seconds(), step, *arguments)


def _check_framing(status: int, headers: message.Headers) -> None:
    """Reject a response whose body is delimited by the end of the connection.

    Such a body would look complete if the connection broke in the middle.

    :raises ValueError: if the response has neither a content length nor a
        transfer encoding.
    """
    has_framing = 'content-length' in headers or 'transfer-encoding' in headers
    if not has_framing and status not in _STATUSES_WITHOUT_BODY:
        raise ValueError('the response states no body length')


def _set_socket_options(sock: curio.io.Socket) -> None:
    tcp = curio.socket.IPPROTO_TCP
    sock.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
    ):
        sock.setsockopt(tcp, option, value)


async def connect(
    address: Address,
    *,
    timeout: float = CONNECT_TIMEOUT_SECONDS,
    budget: budgets.Budget | None = None,
) -> result.Result[Connection, ExchangeError]:
    """Open a connection with keep-alive probes.

    :param timeout: seconds.
    :param budget: of the process; by default one of the connection's own.
    :return: an error of the fault ``CONNECT`` also for an address that no
        socket accepts.
    """
    sock = curio.socket.socket()
    _set_socket_options(sock)
    try:
        async with curio.timeout_after(timeout):
            await sock.connect(address)
    except (OSError, curio.TaskTimeout, *_ADDRESS_ERRORS) as error:
        await sock.close()
        return result.Err(ExchangeError(Fault.CONNECT, repr(error), False))
    except BaseException:
        await sock.close()
        raise
    return result.Ok(Connection(sock, address, budget or budgets.Budget()))


__all__ = (
    'Address',
    'CONNECT_TIMEOUT_SECONDS',
    'Connection',
    'ExchangeError',
    'Fault',
    'MAX_TRANSFER_SECONDS',
    'connect',
)
