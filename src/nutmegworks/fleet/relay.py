"""Messages by which a host sends a call to the store for another host."""
from __future__ import annotations

import abc
import dataclasses
import math
import typing

import result

from nutmegworks.net import message
from nutmegworks.policy import call_effect

PATH: typing.Final = '/relay'
TARGET_HEADER: typing.Final = 'nutmeg-relay-target'
METHOD_HEADER: typing.Final = 'nutmeg-relay-method'
# Set by the peer when the store did not answer it; the value tells whether the
# call may have taken effect.
FAILED_HEADER: typing.Final = 'nutmeg-relay-failed'
TIMEOUT_HEADER: typing.Final = 'nutmeg-relay-timeout'
# Share of the sender's time limit within which the peer needs an answer, so
# that its own answer arrives in time.
PEER_TIMEOUT_SHARE: typing.Final = 0.9

_EFFECT_BY_NAME: typing.Final = {
    effect.value: effect
    for effect in call_effect.Effect
}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A call over one route without a usable answer from the store.

    :param effect: whether the call may have taken effect nevertheless.
    :param detail: cause of the failure, for logs.
    :param reached: the other end of the route, store or peer, answered.
    :param contact: an answer came from outside of this host's failure domain.
    """

    effect: call_effect.Effect
    detail: str
    reached: bool
    contact: bool = False

    def after(self, earlier: Failure) -> Failure:
        """Return this failure of a call that was sent once before."""
        return dataclasses.replace(
            self,
            effect=call_effect.combine((earlier.effect, self.effect)),
            detail=f'{earlier.detail}; sent again: {self.detail}',
        )


class DirectRoute(abc.ABC):
    """This host's own route to the store."""

    @abc.abstractmethod
    async def direct(
        self,
        request: message.Request,
        timeout: float,
    ) -> message.Response | Failure:
        """Send a call on behalf of a peer over the direct route only.

        :param timeout: seconds.
        """


def encode(request: message.Request, timeout: float) -> message.Request:
    """Return the request to a peer that asks it to relay a call.

    :param timeout: seconds that this host waits for the peer.
    """
    headers = {
        METHOD_HEADER: request.method,
        TARGET_HEADER: request.target,
        TIMEOUT_HEADER: f'{timeout:.3f}',
    }
    return message.Request('POST', PATH, headers, request.body)


def decode_failure(
    response: message.Response,
) -> result.Result[None, call_effect.Effect]:
    """Return the effect of a call that the store did not answer to the peer.

    :return: Ok if the response is the store's own; ``UNKNOWN`` for an effect
        that has no name here.
    """
    failed = response.headers.get(FAILED_HEADER)
    if failed is None:
        return result.Ok(None)
    effect = _EFFECT_BY_NAME.get(failed, call_effect.Effect.UNKNOWN)
    return result.Err(effect)


def _decode_timeout(text: str) -> float | None:
    """Return seconds, None if the text is no time limit."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 < seconds < math.inf else None


async def serve(
    route: DirectRoute,
    request: message.Request,
) -> message.Response:
    """Send a peer's call to the store and return the answer for the peer.

    :return: 400, without effect, if the call can not be read.
    """
    method = request.headers.get(METHOD_HEADER)
    target = request.headers.get(TARGET_HEADER)
    timeout = _decode_timeout(request.headers.get(TIMEOUT_HEADER, ''))
    if not method or not target or timeout is None:
        effect = call_effect.Effect.NONE
        return message.Response(400, {FAILED_HEADER: effect.value})
    relayed_request = message.Request(
        method,
        target,
        {'content-type': 'application/json'},
        request.body,
    )
    outcome = await route.direct(relayed_request, PEER_TIMEOUT_SHARE * timeout)
    if isinstance(outcome, Failure):
        return message.Response(503, {FAILED_HEADER: outcome.effect.value})
    return message.Response(
        outcome.status,
        {'content-type': 'application/json'},
        outcome.body,
    )


__all__ = (
    'DirectRoute',
    'FAILED_HEADER',
    'Failure',
    'METHOD_HEADER',
    'PATH',
    'TARGET_HEADER',
    'TIMEOUT_HEADER',
    'decode_failure',
    'encode',
    'serve',
)
