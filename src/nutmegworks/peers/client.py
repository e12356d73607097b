"""Sends messages to other daemons."""
from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec
import result

from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.peers import authentication

CALL_TIMEOUT_SECONDS: typing.Final = 1.0

_Reply = typing.TypeVar('_Reply')


class PeerFault(enum.Enum):
    """Why a message has no valid reply.

    REFUSED means that the peer is reachable but did not process the message.
    """

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    NOT_AUTHENTIC = 'not-authentic'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerError:
    """A message without a valid reply."""

    fault: PeerFault
    detail: str


class PeerClient:
    """Sends messages to other daemons.

    A message may be sent twice, so every message must be safe to repeat.

    :ivar calls: messages sent.
    :ivar bytes_sent: bytes of request bodies sent.
    :ivar bytes_received: bytes of response bodies received.
    """

    def __init__(
        self,
        key: bytes,
        *,
        connections: pool.Pool | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._key = authentication.check_key(key)
        self._pool = connections or pool.Pool()
        self._timeout = timeout
        self.calls = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def call(
        self,
        address: client.Address,
        path: str,
        value: msgspec.Struct,
        reply_type: type[_Reply],
        *,
        timeout: float | None = None,
    ) -> result.Result[_Reply, PeerError]:
        """Send a message and return its reply.

        :param timeout: seconds; the client's default if None.
        """
        body = msgspec.msgpack.encode(value)
        mac = authentication.compute_mac(self._key, path, body)
        headers = {authentication.MAC_HEADER: mac}
        request = message.Request('POST', path, headers, body)
        answer = await self._exchange(
            address, request, timeout or self._timeout
        )
        if isinstance(answer, result.Err):
            error = answer.err_value
            return _error(
                PeerFault.UNREACHABLE, f'{error.fault.value}: {error.detail}'
            )
        return self._decode(answer.ok_value, mac, reply_type)

    async def _exchange(
        self,
        address: client.Address,
        request: message.Request,
        timeout: float,
    ) -> result.Result[message.Response, client.ExchangeError]:
        answer = await self._send(address, request, timeout, fresh=False)
        if isinstance(answer, result.Ok) or answer.err_value.first_use:
            return answer
        # An idle connection may have stopped working unnoticed, so a failure
        # on it does not show that the peer is unreachable.
        return await self._send(address, request, timeout, fresh=True)

    async def _send(
        self,
        address: client.Address,
        request: message.Request,
        timeout: float,
        *,
        fresh: bool,
    ) -> result.Result[message.Response, client.ExchangeError]:
        self.calls += 1
        self.bytes_sent += len(request.body)
        return await self._pool.exchange(
            address, request, timeout=timeout, fresh=fresh
        )

    def _decode(
        self,
        response: message.Response,
        mac: str,
        reply_type: type[_Reply],
    ) -> result.Result[_Reply, PeerError]:
        self.bytes_received += len(response.body)
        if response.status != 200:
            return _error(PeerFault.REFUSED, f'status {response.status}')
        received = response.headers.get(authentication.MAC_HEADER, '')
        if not authentication.is_valid_mac(self._key, mac, response.body,
                                           received):
            return _error(PeerFault.NOT_AUTHENTIC, 'wrong code in the reply')
        try:
            return result.Ok(
                msgspec.msgpack.decode(response.body, type=reply_type)
            )
        except msgspec.MsgspecError as error:
            return _error(PeerFault.REFUSED, str(error))


def _error(fault: PeerFault, detail: str) -> result.Err[PeerError]:
    return result.Err(PeerError(fault, detail))


__all__ = ('CALL_TIMEOUT_SECONDS', 'PeerClient', 'PeerError', 'PeerFault')
