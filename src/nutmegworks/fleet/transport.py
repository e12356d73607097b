"""Sends calls to the store, directly or relayed by a peer daemon.

The store may refuse one host while it serves the others, so a call that
failed over the direct route is sent again through a peer.
"""
from __future__ import annotations

import dataclasses
import functools
import time
import typing

import logbook
import result

from nutmegworks.fleet import interfaces
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.telemetry import fleetmetrics

_LOG: typing.Final = logbook.Logger('transport')

# The store answers in about 4 ms, or in 60 times that when it is slow.
CALL_TIMEOUT_SECONDS: typing.Final = 0.8
# An answer to a read may be large: at 5 Mbit/s a value of the largest size
# takes 2.2 s. Once it arrives, only this time without a byte ends the call.
STALL_TIMEOUT_SECONDS: typing.Final = 0.8
# The platform's limit of a value, unless its settings say otherwise.
DEFAULT_MAX_VALUE_BYTES: typing.Final = 1024 * 1024
# A page of a listing ends after about this size, and may exceed it by a value.
PAGE_BYTES: typing.Final = 1_000_000
# Bytes of an answer for each byte of the values in it: 1.33 for base64, the
# rest for keys and revisions.
ENCODED_RATIO: typing.Final = 2
# Back-off of the direct route after a failure: doubled with each further
# failure up to the maximum, since each attempt delays a call by its time-out.
MIN_BACKOFF_SECONDS: typing.Final = 0.5
MAX_BACKOFF_SECONDS: typing.Final = 2.0
# A lease is renewed every 0.5 s, so an available store answers some call
# within this time even when it is slow.
DOWN_AFTER_SECONDS: typing.Final = 1.2

RELAY_PATH: typing.Final = '/relay'
TARGET_HEADER: typing.Final = 'nutmeg-relay-target'
METHOD_HEADER: typing.Final = 'nutmeg-relay-method'
# Set by the peer when the store did not answer it; the value tells whether the
# call may have taken effect.
FAILED_HEADER: typing.Final = 'nutmeg-relay-failed'
TIMEOUT_HEADER: typing.Final = 'nutmeg-relay-timeout'

_OVERLOADED: typing.Final = frozenset({429, 503})

Outcome = result.Result[message.Response, interfaces.StoreError]


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A call over one route without a usable answer from the store.

    :param effect: whether the call may have taken effect nevertheless.
    :param detail: cause of the failure, for logs.
    :param reached: the other end of the route, store or peer, answered.
    """

    effect: interfaces.Effect
    detail: str
    reached: bool


Route = typing.Callable[
    [message.Request, float],
    typing.Awaitable[message.Response | Failure],
]


class Transport:
    """Sends calls to the store over the best available route.

    :param address: of the store.
    :param peers: returns the addresses of other daemons, best first.
    :param max_value: bytes of the largest value that the store keeps.
    """

    def __init__(
        self,
        address: client.Address,
        connections: pool.Pool,
        peers: typing.Callable[[], typing.Sequence[client.Address]],
        metrics: fleetmetrics.FleetMetrics,
        *,
        max_value: int = DEFAULT_MAX_VALUE_BYTES,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics
        self._address = address
        self._pool = connections
        self._peers = peers
        self._max_answer = ENCODED_RATIO * (PAGE_BYTES + max_value)
        self._clock = clock
        self._direct_retry_at = 0.0
        self._backoff = MIN_BACKOFF_SECONDS
        self._direct_is_up = True
        self._last_answer = clock()
        self._isolated_since: float | None = None

    def seconds_since_answer(self) -> float:
        """Return seconds since the store last answered over any route."""
        return self._clock() - self._last_answer

    def is_down(self) -> bool:
        """Return whether the store is currently known not to answer."""
        return self.seconds_since_answer() > DOWN_AFTER_SECONDS

    def isolated_seconds(self) -> float:
        """Return seconds for which neither the store nor a peer answered."""
        since = self._isolated_since
        return 0.0 if since is None else self._clock() - since

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        timeout: float = CALL_TIMEOUT_SECONDS,
        idempotent: bool = True,
        allow_relay: bool = True,
    ) -> Outcome:
        """Send one call.

        :param timeout: seconds for each route; for a GET, until the answer
            begins to arrive.
        :param idempotent: the call may take effect twice; otherwise the next
            route is tried only if the call certainly had no effect.
        :param allow_relay: use a peer after the direct route has failed.
        """
        request = message.Request(
            method, target, {'content-type': 'application/json'}, body
        )
        failures = []
        routes = self._routes()
        for route in routes if allow_relay else routes[:1]:
            outcome = await route(request, timeout)
            self._count_outcome(route, outcome)
            if isinstance(outcome, message.Response):
                self._last_answer = self._clock()
                self._isolated_since = None
                return result.Ok(outcome)
            failures.append(outcome)
            may_have_effect = outcome.effect is interfaces.Effect.UNKNOWN
            if may_have_effect and not idempotent:
                break
        return result.Err(self._summarize(failures))

    def _count_outcome(
        self,
        route: Route,
        outcome: message.Response | Failure,
    ) -> None:
        answered = isinstance(outcome, message.Response)
        self._metrics.store_calls.inc(
            {
                'route': 'direct' if route == self._direct else 'relay',
                'outcome': 'answered' if answered else 'failed',
            }
        )

    def _routes(self) -> list[Route]:
        """Return the routes to try, the best one first."""
        peers = list(self._peers())
        now = self._clock()
        relays = [
            functools.partial(self._relay, address) for address in peers[:1]
        ]
        if self._direct_is_up:
            return [self._direct, *relays]
        if now >= self._direct_retry_at or not relays:
            # Only one call probes the route; the others use a relay at once.
            self._direct_retry_at = now + self._backoff
            return [self._direct, *relays]
        return [
            functools.partial(self._relay, address) for address in peers[:2]
        ]

    def _summarize(
        self,
        failures: typing.Sequence[Failure],
    ) -> interfaces.StoreError:
        unknown = interfaces.Effect.UNKNOWN
        effect = interfaces.Effect.NONE
        if any(failure.effect is unknown for failure in failures):
            effect = unknown
        isolated = not any(failure.reached for failure in failures)
        if isolated and self._isolated_since is None:
            self._isolated_since = self._clock()
        if not isolated:
            self._isolated_since = None
        detail = '; '.join(failure.detail for failure in failures)
        return interfaces.StoreError(effect, detail, isolated)

    async def direct(
        self,
        request: message.Request,
        timeout: float,
    ) -> message.Response | Failure:
        """Send a call on behalf of a peer over the direct route only."""
        return await self._direct(request, timeout)

    async def _direct(
        self,
        request: message.Request,
        timeout: float,
    ) -> message.Response | Failure:
        answer = await self._exchange(self._address, request, timeout)
        if isinstance(answer, result.Err):
            error = answer.err_value
            # The store may have closed an idle connection; only a failure of
            # a new connection indicates that the store is not available.
            if not error.first_use and error.fault is client.Fault.CLOSED:
                answer = await self._exchange(
                    self._address, request, timeout, fresh=True
                )
        if isinstance(answer, result.Err):
            self._record_direct_result(False, answer.err_value.detail)
            return _failure(answer.err_value)
        response = answer.ok_value
        if response.status in _OVERLOADED:
            self._record_direct_result(False, f'status {response.status}')
            return Failure(
                interfaces.Effect.NONE, f'status {response.status}', True
            )
        self._record_direct_result(True, '')
        return response

    async def _exchange(
        self,
        address: client.Address,
        request: message.Request,
        timeout: float,
        *,
        reads: bool | None = None,
        fresh: bool = False,
    ) -> result.Result[message.Response, client.ExchangeError]:
        """Send a request over the pool with the limits of the store's answers.

        :param reads: whether the answer may be large; by default that of a
            GET is.
        """
        if reads is None:
            reads = request.method == 'GET'
        return await self._pool.exchange(
            address,
            request,
            timeout=timeout,
            stall_timeout=STALL_TIMEOUT_SECONDS if reads else None,
            max_body=self._max_answer,
            fresh=fresh,
        )

    def _record_direct_result(self, up: bool, detail: str) -> None:
        if up:
            self._backoff = MIN_BACKOFF_SECONDS
        else:
            self._direct_retry_at = self._clock() + self._backoff
            self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
        if up != self._direct_is_up:
            self._direct_is_up = up
            event = (
                'direct route to store restored'
                if up else 'direct route to store failed'
            )
            _LOG.info(
                event,
                detail=detail,
                silence=round(self.seconds_since_answer(), 3)
            )

    async def _relay(
        self,
        address: client.Address,
        request: message.Request,
        timeout: float,
    ) -> message.Response | Failure:
        headers = {
            METHOD_HEADER: request.method,
            TARGET_HEADER: request.target,
            TIMEOUT_HEADER: f'{timeout:.3f}',
        }
        relay_request = message.Request(
            'POST', RELAY_PATH, headers, request.body
        )
        answer = await self._exchange(
            address, relay_request, timeout, reads=request.method == 'GET'
        )
        if isinstance(answer, result.Err):
            return _failure(answer.err_value)
        response = answer.ok_value
        failed = response.headers.get(FAILED_HEADER)
        if failed is not None:
            return Failure(
                interfaces.Effect(failed),
                f'store did not answer peer {address[0]}', True
            )
        return response


def _failure(error: client.ExchangeError) -> Failure:
    effect = interfaces.Effect.NONE
    if error.may_have_reached_peer:
        effect = interfaces.Effect.UNKNOWN
    return Failure(effect, f'{error.fault.value}: {error.detail}', False)


__all__ = (
    'CALL_TIMEOUT_SECONDS',
    'FAILED_HEADER',
    'Failure',
    'METHOD_HEADER',
    'RELAY_PATH',
    'TARGET_HEADER',
    'TIMEOUT_HEADER',
    'Transport',
)
