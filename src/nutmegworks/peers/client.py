"""Sends messages to other daemons."""
from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec
import result

from nutmegworks.model import decoding
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.peers import authentication
from nutmegworks.policy import call_effect

CALL_TIMEOUT_SECONDS: typing.Final = 1.0

_Reply = typing.TypeVar('_Reply')


class PeerFault(enum.Enum):
    """Why a message has no valid reply.

    REFUSED means that the peer is reachable but sent no usable reply.
    """

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    NOT_AUTHENTIC = 'not-authentic'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerError:
    """A message without a valid reply.

    :param effect: whether the peer may have processed any send of the message.
    """

    fault: PeerFault
    detail: str
    effect: call_effect.Effect = call_effect.Effect.UNKNOWN


class PeerClient:
    """Sends messages to other daemons.

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
        may_resend: bool = True,
    ) -> result.Result[_Reply, PeerError]:
        """Send a message and return its reply.

        :param timeout: seconds for each send; the client's default if None.
        :param may_resend: whether a message that fails on an idle connection
            is sent again. The reply is then only about the second send.
        """
        body = msgspec.msgpack.encode(value)
        mac = authentication.compute_mac(self._key, path, body)
        headers = {authentication.MAC_HEADER: mac}
        request = message.Request('POST', path, headers, body)
        effective_timeout = timeout or self._timeout
        answer = await self._send(
            address, request, effective_timeout, fresh=False
        )
        errors = _errors(answer)
        if may_resend and errors and not errors[0].first_use:
            # An idle connection may have stopped working unnoticed, so a
            # failure on it does not show that the peer is unreachable.
            answer = await self._send(
                address, request, effective_timeout, fresh=True
            )
            errors += _errors(answer)
        if isinstance(answer, result.Err):
            return result.Err(_unreachable(errors))
        return self._decode(answer.ok_value, mac, reply_type)

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
            with decoding.nesting_limit():
                return result.Ok(
                    msgspec.msgpack.decode(response.body, type=reply_type)
                )
        except msgspec.MsgspecError as error:
            return _error(PeerFault.REFUSED, str(error))


def _errors(
    answer: result.Result[message.Response, client.ExchangeError],
) -> list[client.ExchangeError]:
    return [answer.err_value] if isinstance(answer, result.Err) else []


def _unreachable(errors: typing.Sequence[client.ExchangeError]) -> PeerError:
    """Return the error of a message each of whose sends failed."""
    detail = '; sent again: '.join(
        f'{error.fault.value}: {error.detail}' for error in errors
    )
    effect = call_effect.combine(_effect(error) for error in errors)
    return PeerError(PeerFault.UNREACHABLE, detail, effect)


def _effect(error: client.ExchangeError) -> call_effect.Effect:
    if error.may_have_reached_peer:
        return call_effect.Effect.UNKNOWN
    return call_effect.Effect.NONE


def _error(fault: PeerFault, detail: str) -> result.Err[PeerError]:
    return result.Err(PeerError(fault, detail))


__all__ = ('CALL_TIMEOUT_SECONDS', 'PeerClient', 'PeerError', 'PeerFault')
