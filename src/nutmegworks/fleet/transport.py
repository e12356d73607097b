"""Reaches the store directly or through another daemon.

The store may turn one host away while it serves the others, so a call that
the direct route did not answer is passed on by a peer.
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

# The store answers in about 4 ms, 60 times that on a slow day.
CALL_SECONDS: typing.Final = 0.8
# How long the direct route is left alone after a failure; doubled with each
# further one up to the maximum, since each try costs a call its time.
FIRST_PAUSE_SECONDS: typing.Final = 0.5
LONGEST_PAUSE_SECONDS: typing.Final = 2.0
# A lease is renewed every 0.5 s, so an available store is never silent for
# longer than this, slow days included.
SILENT_SECONDS: typing.Final = 1.2

RELAY_PATH: typing.Final = '/relay'
TARGET_HEADER: typing.Final = 'nutmeg-relay-target'
METHOD_HEADER: typing.Final = 'nutmeg-relay-method'
# Marks an answer of the peer itself: the store did not answer the peer.
FAILED_HEADER: typing.Final = 'nutmeg-relay-failed'
TIMEOUT_HEADER: typing.Final = 'nutmeg-relay-timeout'

_BUSY: typing.Final = frozenset({429, 503})

Outcome = result.Result[message.Response, interfaces.StoreError]


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A route that gave no answer.

    :param reached: the other end of the route is alive.
    """

    effect: interfaces.Effect
    detail: str
    reached: bool


Route = typing.Callable[
    [message.Request, float],
    typing.Awaitable[message.Response | Failure],
]


class Transport:
    """Carries calls to the store over the best route."""

    def __init__(
        self,
        address: client.Address,
        connections: pool.Pool,
        peers: typing.Callable[[], typing.Sequence[client.Address]],
        metrics: fleetmetrics.FleetMetrics,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics
        self._address = address
        self._pool = connections
        self._peers = peers
        self._clock = clock
        self._direct_again = 0.0
        self._pause = FIRST_PAUSE_SECONDS
        self._direct_is_up = True
        self._last_answer = clock()
        self._isolated_since: float | None = None

    def silence(self) -> float:
        """Return seconds since any route to the store answered."""
        return self._clock() - self._last_answer

    def is_down(self) -> bool:
        """Return whether a call now is known to be in vain."""
        return self.silence() > SILENT_SECONDS

    def isolated_for(self) -> float:
        """Return seconds for which neither store nor peer answered."""
        since = self._isolated_since
        return 0.0 if since is None else self._clock() - since

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        timeout: float = CALL_SECONDS,
        repeatable: bool = True,
        relayed: bool = True,
    ) -> Outcome:
        """Send one call.

        :param timeout: seconds for each route.
        :param repeatable: the call may be carried out twice; otherwise the
            next route is used only after one that did nothing.
        :param relayed: use a peer after the direct route has failed.
        """
        request = message.Request(
            method, target, {'content-type': 'application/json'}, body
        )
        failures = []
        routes = self._routes()
        for route in routes if relayed else routes[:1]:
            outcome = await route(request, timeout)
            self._count(route, outcome)
            if isinstance(outcome, message.Response):
                self._last_answer = self._clock()
                self._isolated_since = None
                return result.Ok(outcome)
            failures.append(outcome)
            sent = outcome.effect is interfaces.Effect.UNKNOWN
            if sent and not repeatable:
                break
        return result.Err(self._summarize(failures))

    def _count(
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
        if now >= self._direct_again or not relays:
            # One call tries the route; the others need not wait for it.
            self._direct_again = now + self._pause
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
        """Send a peer's call over the direct route only."""
        return await self._direct(request, timeout)

    async def _direct(
        self,
        request: message.Request,
        timeout: float,
    ) -> message.Response | Failure:
        answer = await self._pool.exchange(
            self._address, request, timeout=timeout
        )
        if isinstance(answer, result.Err):
            fault = answer.err_value
            # An idle connection that was closed meanwhile says nothing
            # about the store; a new one does.
            if not fault.first_use and fault.fault is client.Fault.CLOSED:
                answer = await self._pool.exchange(
                    self._address, request, timeout=timeout, fresh=True
                )
        if isinstance(answer, result.Err):
            self._note_direct(False, answer.err_value.detail)
            return _failure(answer.err_value)
        response = answer.ok_value
        if response.status in _BUSY:
            self._note_direct(False, f'status {response.status}')
            return Failure(
                interfaces.Effect.NONE, f'status {response.status}', True
            )
        self._note_direct(True, '')
        return response

    def _note_direct(self, up: bool, detail: str) -> None:
        if up:
            self._pause = FIRST_PAUSE_SECONDS
        else:
            self._direct_again = self._clock() + self._pause
            self._pause = min(LONGEST_PAUSE_SECONDS, 2 * self._pause)
        if up != self._direct_is_up:
            self._direct_is_up = up
            event = 'store reached again' if up else 'store does not answer'
            _LOG.info(event, detail=detail, silence=round(self.silence(), 3))

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
        passed_on = message.Request('POST', RELAY_PATH, headers, request.body)
        answer = await self._pool.exchange(address, passed_on, timeout=timeout)
        if isinstance(answer, result.Err):
            return _failure(answer.err_value)
        response = answer.ok_value
        failed = response.headers.get(FAILED_HEADER)
        if failed is not None:
            return Failure(
                interfaces.Effect(failed), f'{address[0]}: no answer', True
            )
        return response


def _failure(error: client.ExchangeError) -> Failure:
    effect = interfaces.Effect.NONE
    if error.bytes_written:
        effect = interfaces.Effect.UNKNOWN
    return Failure(effect, f'{error.fault.value}: {error.detail}', False)


__all__ = (
    'CALL_SECONDS',
    'FAILED_HEADER',
    'Failure',
    'METHOD_HEADER',
    'RELAY_PATH',
    'TARGET_HEADER',
    'TIMEOUT_HEADER',
    'Transport',
)
