"""Sends calls to the store, directly or relayed by a peer daemon.

The store may refuse one host while it serves the others, so a call that gets
no answer over the direct route is sent again through a peer. While the direct
route is down, a probe beside the calls finds out when it is back.
"""
from __future__ import annotations

import random
import time
import typing

import curio
import logbook
import result

from nutmegworks.fleet import attempts
from nutmegworks.fleet import interfaces
from nutmegworks.fleet import relay
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.policy import call_effect
from nutmegworks.policy import store_routes
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
# Hosts of a deployment are milliseconds apart.
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.3
# Routes that a call tries.
MAX_ROUTES: typing.Final = 3
# Interval of the probes of a direct route that is down, varied by up to a
# quarter, because all hosts lose the store at the same time.
PROBE_INTERVAL_SECONDS: typing.Final = 0.4
PROBE_JITTER: typing.Final = 0.25
# Calls that wait are told of the failure if a probe gets no answer in this
# time.
CONFIRMATION_SECONDS: typing.Final = 0.2
# A lease is renewed every 0.5 s, so an available store answers some call
# within this time even when it is slow.
DOWN_AFTER_SECONDS: typing.Final = 1.2

_OVERLOADED: typing.Final = frozenset({429, 503})

Outcome = result.Result[message.Response, interfaces.StoreError]
_Answer = result.Result[message.Response, client.ExchangeError]


class Transport(relay.DirectRoute):
    """Sends calls to the store over the best available route.

    :param address: of the store.
    :param peers: returns the other hosts; equal ones are tried in this order.
    :param own_domain: failure domain of this host.
    :param probe_target: target of a GET with a short answer.
    :param max_value: bytes of the largest value that the store keeps.
    """

    def __init__(
        self,
        address: client.Address,
        connections: pool.Pool,
        peers: typing.Callable[[], typing.Sequence[store_routes.Peer]],
        own_domain: ids.DomainId,
        metrics: fleetmetrics.FleetMetrics,
        *,
        probe_target: str,
        max_value: int = DEFAULT_MAX_VALUE_BYTES,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics
        self._address = address
        self._pool = connections
        self._peers = peers
        self._probe_target = probe_target
        self._max_answer = ENCODED_RATIO * (PAGE_BYTES + max_value)
        self._clock = clock
        self._routes = store_routes.RouteTable(own_domain)
        self._changes = attempts.RouteChanges()
        self._direct_failed = curio.Event()
        self._last_answer = clock()
        self._isolated_since: float | None = None

    def seconds_since_answer(self) -> float:
        """Return seconds since the store last answered over any route."""
        return self._clock() - self._last_answer

    def is_down(self) -> bool:
        """Return whether the store is currently known not to answer."""
        return self.seconds_since_answer() > DOWN_AFTER_SECONDS

    def isolated_seconds(self) -> float:
        """Return seconds without any answer from outside of the domain.

        Neither the store nor a peer of another failure domain answered.
        """
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
        :param allow_relay: use a peer after the direct route has failed;
            otherwise one route is tried, for as long as it is not known to
            have failed.
        """
        request = message.Request(
            method, target, {'content-type': 'application/json'}, body
        )
        routes = self._routes.choose(self._peers(), self._clock(),
                                     MAX_ROUTES)[:None if allow_relay else 1]
        if idempotent:
            response, failures = await self._try_side_by_side(
                routes, request, timeout
            )
        else:
            response, failures = await self._try_in_turn(
                routes, request, timeout
            )
        if response is None:
            return result.Err(self._summarize(failures))
        self._last_answer = self._clock()
        self._isolated_since = None
        return result.Ok(response)

    async def _try_side_by_side(
        self,
        routes: typing.Sequence[store_routes.Route],
        request: message.Request,
        timeout: float,
    ) -> tuple[message.Response | None, list[relay.Failure]]:

        async def send(attempt: attempts.Attempt) -> Outcome:

            def begin() -> None:
                attempt.begun = True

            return await self._send(attempt.route, request, timeout, begin)

        response, tried = await attempts.Attempts(
            self._routes, self._changes, send, clock=self._clock
        ).run(routes)
        await self._record_given_up(tried, response is not None)
        return response, [
            attempt.outcome or relay.Failure(
                call_effect.Effect.UNKNOWN, 'given up: the route has failed',
                False
            )
            for attempt in tried
            if not isinstance(attempt.outcome, message.Response)
        ]

    async def _record_given_up(
        self,
        tried: typing.Sequence[attempts.Attempt],
        answered: bool,
    ) -> None:
        """Record routes that another one outran as failed."""
        for attempt in tried:
            waited = self._clock() - attempt.started_at
            if (answered and attempt.outcome is None and not attempt.begun
                    and waited > attempts.NEXT_ROUTE_SECONDS):
                await self._record(
                    attempt.route,
                    relay.Failure(
                        call_effect.Effect.UNKNOWN,
                        f'no answer in {waited:.3f} s, another route answered',
                        False,
                    ),
                    attempt.started_at,
                )

    async def _try_in_turn(
        self,
        routes: typing.Sequence[store_routes.Route],
        request: message.Request,
        timeout: float,
    ) -> tuple[message.Response | None, list[relay.Failure]]:
        failures: list[relay.Failure] = []
        for route in routes:
            outcome = await self._send(route, request, timeout)
            if isinstance(outcome, message.Response):
                return outcome, failures
            failures.append(outcome)
            if outcome.effect is call_effect.Effect.UNKNOWN:
                break
        return None, failures

    async def _send(
        self,
        route: store_routes.Route,
        request: message.Request,
        timeout: float,
        on_first_byte: typing.Callable[[], None] | None = None,
    ) -> message.Response | relay.Failure:
        if route is store_routes.DIRECT:
            return await self._direct(request, timeout, on_first_byte)
        started_at = self._clock()
        outcome = await self._relay(route, request, timeout, on_first_byte)
        await self._record(route, outcome, started_at)
        return outcome

    async def _record(
        self,
        route: store_routes.Route,
        outcome: message.Response | relay.Failure,
        started_at: float,
    ) -> None:
        """Record the result of a route and tell it to waiting calls."""
        was_up = self._routes.direct_is_up
        answered = isinstance(outcome, message.Response)
        direct = route is store_routes.DIRECT
        self._metrics.store_calls.inc(
            {
                'route': 'direct' if direct else 'relay',
                'outcome': 'answered' if answered else 'failed',
            }
        )
        if answered:
            self._routes.record_answer(route, self._clock())
        else:
            self._routes.record_failure(
                route,
                self._clock(),
                started_at=started_at,
                unreachable=not outcome.reached,
            )
        is_up = self._routes.direct_is_up
        if was_up != is_up:
            _LOG.info(
                'direct route to store restored'
                if is_up else 'direct route to store failed',
                detail='' if answered else outcome.detail,
                silence=round(self.seconds_since_answer(), 3)
            )
            if not is_up:
                await self._direct_failed.set()
        failed_peer = not answered and not direct
        if (is_up and not was_up) or failed_peer:
            await self._changes.notify()

    async def run(self) -> None:
        """Probe the direct route while it is down, until cancelled."""
        while True:
            await self._direct_failed.wait()
            self._direct_failed.clear()
            # One lost answer must not end the watches that wait.
            await curio.spawn(self._probe, daemon=True)
            await curio.sleep(CONFIRMATION_SECONDS)
            while not self._routes.direct_is_up:
                await self._changes.notify()
                spread = random.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
                await curio.sleep(PROBE_INTERVAL_SECONDS * spread)
                await curio.spawn(self._probe, daemon=True)

    async def _probe(self) -> None:
        outcome = await self._direct(
            message.Request('GET', self._probe_target, {}),
            CALL_TIMEOUT_SECONDS,
        )
        if isinstance(outcome, message.Response):
            self._last_answer = self._clock()
            self._isolated_since = None

    def _summarize(
        self,
        failures: typing.Sequence[relay.Failure],
    ) -> interfaces.StoreError:
        effect = call_effect.combine(failure.effect for failure in failures)
        # Peers in a domain that is cut off answer each other.
        isolated = not any(failure.contact for failure in failures)
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
    ) -> message.Response | relay.Failure:
        """Send a call on behalf of a peer over the direct route only.

        While that is down the call fails at once, so that the peer can take
        another route.
        """
        if not self._routes.direct_is_up:
            return relay.Failure(
                call_effect.Effect.NONE, 'direct route to store is down', False
            )
        return await self._direct(request, timeout)

    async def _direct(
        self,
        request: message.Request,
        timeout: float,
        on_first_byte: typing.Callable[[], None] | None = None,
    ) -> message.Response | relay.Failure:
        started_at = self._clock()
        outcome = await self._exchange_with_store(
            request, timeout, on_first_byte
        )
        await self._record(store_routes.DIRECT, outcome, started_at)
        return outcome

    async def _exchange_with_store(
        self,
        request: message.Request,
        timeout: float,
        on_first_byte: typing.Callable[[], None] | None,
    ) -> message.Response | relay.Failure:
        answer = await self._exchange(
            self._address, request, timeout, on_first_byte=on_first_byte
        )
        if not _may_have_been_idle_too_long(answer):
            return _outcome(answer)
        repeated = await self._exchange(
            self._address,
            request,
            timeout,
            fresh=True,
            on_first_byte=on_first_byte,
        )
        outcome = _outcome(repeated)
        if isinstance(outcome, message.Response):
            return outcome
        return outcome.after(_failure(answer.err_value))

    async def _exchange(
        self,
        address: client.Address,
        request: message.Request,
        timeout: float,
        *,
        reads: bool | None = None,
        fresh: bool = False,
        on_first_byte: typing.Callable[[], None] | None = None,
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
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            stall_timeout=STALL_TIMEOUT_SECONDS if reads else None,
            max_body=self._max_answer,
            fresh=fresh,
            on_first_byte=on_first_byte,
        )

    async def _relay(
        self,
        peer: store_routes.Peer,
        request: message.Request,
        timeout: float,
        on_first_byte: typing.Callable[[], None] | None,
    ) -> message.Response | relay.Failure:
        answer = await self._exchange(
            peer.address,
            relay.encode(request, timeout),
            timeout,
            reads=request.method == 'GET',
            on_first_byte=on_first_byte,
        )
        if isinstance(answer, result.Err):
            return _failure(answer.err_value)
        response = answer.ok_value
        answered = relay.decode_failure(response)
        if isinstance(answered, result.Err):
            return relay.Failure(
                answered.err_value,
                f'store did not answer peer {peer.address[0]}',
                reached=True,
                contact=self._routes.is_outside(peer, self._peers()),
            )
        return response


def _may_have_been_idle_too_long(answer: _Answer) -> bool:
    """Return whether a connection broke that the store may have closed.

    Only a failure of a new connection shows that the store is not available.
    """
    if answer.is_ok():
        return False
    error = answer.err_value
    return not error.first_use and error.fault is client.Fault.CLOSED


def _outcome(answer: _Answer) -> message.Response | relay.Failure:
    """Return the outcome of a call that was sent to the store once."""
    if answer.is_err():
        return _failure(answer.err_value)
    response = answer.ok_value
    if response.status in _OVERLOADED:
        return relay.Failure(
            call_effect.Effect.NONE,
            f'status {response.status}',
            reached=True,
            contact=True,
        )
    return response


def _failure(error: client.ExchangeError) -> relay.Failure:
    effect = call_effect.Effect.NONE
    if error.may_have_reached_peer:
        effect = call_effect.Effect.UNKNOWN
    return relay.Failure(effect, f'{error.fault.value}: {error.detail}', False)


__all__ = ('CALL_TIMEOUT_SECONDS', 'Transport')
