"""Filters that log a call, find its queue and authenticate its team."""
from __future__ import annotations

import re
import time
import typing

import logbook

from nutmegworks.fleet import configuration_holder
from nutmegworks.ingress import call as calls
from nutmegworks.net import message
from nutmegworks.telemetry import fleetmetrics

_LOG: typing.Final = logbook.Logger('ingress')

_BEARER: typing.Final = 'bearer '
_JOB_ID: typing.Final = re.compile('[0-9a-fA-F]{16}')


class LogFilter(calls.Filter):
    """Updates the call metrics and logs each call."""

    def __init__(self, metrics: fleetmetrics.FleetMetrics) -> None:
        self._metrics = metrics

    async def handle(
        self,
        call: calls.Call,
        proceed: calls.Proceed,
    ) -> message.Response:
        response = await proceed(call)
        seconds = time.monotonic() - call.received_at
        labels = {'method': call.request.method}
        self._metrics.calls.inc({**labels, 'status': str(response.status)})
        self._metrics.call_seconds.observe(labels, seconds)
        _LOG.info(
            f'{call.request.method.lower()} call answered',
            target=call.request.target,
            status=response.status,
            team=call.team_id,
            body=response.body[:80].decode('utf-8', 'replace'),
            seconds=round(seconds, 4),
        )
        return response


class RoutingFilter(calls.Filter):
    """Finds the queue of a call by its host and path.

    While the configuration may be outdated, an unknown queue is refused with
    503 in place of 404.
    """

    def __init__(
        self, holder: configuration_holder.ConfigurationHolder
    ) -> None:
        self._configuration_holder = holder

    async def handle(
        self,
        call: calls.Call,
        proceed: calls.Proceed,
    ) -> message.Response:
        configuration = self._configuration_holder.value
        if configuration is None:
            return calls.refuse(503, 'no configuration yet')
        host = call.request.headers.get('host', '').rsplit(':', 1)[0]
        path = call.request.target.split('?', 1)[0]
        queue = configuration.route(host, path)
        if queue is None:
            return _refuse_unknown(
                self._configuration_holder, 404, 'no such queue'
            )
        call.queue = queue
        call.job_name = path.removeprefix(queue.prefix)
        return await proceed(call)


class JobNameFilter(calls.Filter):
    """Refuses calls whose path names neither a job nor a queue.

    Other names could be those of keys beside the jobs' own.
    """

    async def handle(
        self,
        call: calls.Call,
        proceed: calls.Proceed,
    ) -> message.Response:
        if not call.job_name or _JOB_ID.fullmatch(call.job_name):
            return await proceed(call)
        if call.request.method == 'POST':
            return calls.refuse(400, 'the name is not the ID of a job')
        return calls.refuse(410, 'no such job')


class AuthenticationFilter(calls.Filter):
    """Finds the team of a call by its API key.

    Calls without a valid key pass only if their queue allows anonymous ones.
    While the configuration may be outdated, others are refused with 503 in
    place of 401.
    """

    def __init__(
        self, holder: configuration_holder.ConfigurationHolder
    ) -> None:
        self._configuration_holder = holder

    async def handle(
        self,
        call: calls.Call,
        proceed: calls.Proceed,
    ) -> message.Response:
        configuration = self._configuration_holder.value
        assert configuration is not None and call.queue is not None
        header = call.request.headers.get('authorization', '')
        key = header[len(_BEARER):].strip()
        team = None
        if header[:len(_BEARER)].lower() == _BEARER:
            team = configuration.team_for_key(key)
        if team is None and not call.queue.allows_anonymous:
            return _refuse_unknown(
                self._configuration_holder, 401, 'unknown key'
            )
        call.team_id = team.team_id if team is not None else ''
        return await proceed(call)


def _refuse_unknown(
    holder: configuration_holder.ConfigurationHolder,
    status: int,
    reason: str,
) -> message.Response:
    """Refuse a call that names what the configuration does not contain.

    A newer one may contain it, so the client is told to retry if this one may
    be outdated.
    """
    if holder.may_be_outdated():
        return calls.refuse(503, f'{reason}; configuration may be outdated')
    return calls.refuse(status, reason)


__all__ = (
    'AuthenticationFilter',
    'JobNameFilter',
    'LogFilter',
    'RoutingFilter',
)
