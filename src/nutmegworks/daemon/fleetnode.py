"""The composition root of a daemon on the users' platform."""
from __future__ import annotations

import functools
import os
import pathlib
import signal
import time
import typing
import urllib.parse

import curio
import logbook

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import leader
from nutmegworks.fleet import leader_client
from nutmegworks.fleet import membership
from nutmegworks.fleet import prefix_watcher
from nutmegworks.fleet import supervision
from nutmegworks.fleet import transport
from nutmegworks.ingress import call as calls
from nutmegworks.ingress import filters
from nutmegworks.ingress import jobs
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.net import signals
from nutmegworks.platform import executors
from nutmegworks.platform import metastore
from nutmegworks.platform import settings as platform_settings
from nutmegworks.platform import wire
from nutmegworks.tasks import records
from nutmegworks.telemetry import fleetmetrics

_LOG: typing.Final = logbook.Logger('node')

# Orders and watches keep their connections; a worker's are used all the time.
IDLE_SECONDS: typing.Final = 20.0
RETIRE_SECONDS: typing.Final = 2.0
# A host that neither the store nor a peer answers for this time asks the
# balancer for no more clients: other failure domains can serve them.
ISOLATED_SECONDS: typing.Final = 1.0
# The balancer stops sending after two missed checks, one a second.
STOP_ACCEPTING_SECONDS: typing.Final = 3.2
# Kept back from the platform's grace period.
EXIT_MARGIN_SECONDS: typing.Final = 0.8
# A call without a deadline may take this long, in seconds.
DEFAULT_DEADLINE_SECONDS: typing.Final = 3.0
METRICS_PATH: typing.Final = '/metrics'
# Changes of the configuration and of the leader are rare; each watch costs a
# call when it returns.
CONTROL_PAUSE_SECONDS: typing.Final = 0.02
CONTROL_RELIST_SECONDS: typing.Final = 6.0


class FleetNode:
    """One daemon: serves clients and, if it leads, decides."""

    def __init__(self, settings: platform_settings.NodeSettings) -> None:
        self._settings = settings
        self._stopping = False
        self._pool = pool.Pool(idle_seconds=IDLE_SECONDS)
        self._members = membership.MemberSink(
            settings.member_id, settings.domain_id
        )
        self._metrics = fleetmetrics.FleetMetrics()
        self._route = transport.Transport(
            settings.store_address,
            self._pool,
            self._members.peer_addresses,
            self._metrics,
        )
        self._store = metastore.MetadataStore(self._route)
        self._decoder = wire.PlatformDecoder()
        self._current = configuration_holder.ConfigurationHolder()
        self._member = membership.Membership(
            self._store,
            settings.member_id,
            records.Member(
                *settings.peer_address, settings.domain_id, settings.cores
            ),
            self._members,
            min_lease=settings.min_lease,
        )
        self._workers = executors.ExecutorClient(self._pool)
        self._candidate = leader.Candidate(self._member, self._make_term)
        self._inquiry = leader_client.HttpLeaderClient(
            self._member, self._candidate, self._pool
        )
        self._chain = self._make_chain()
        self._callers = server.Server(self._handle_client)
        self._readiness = server.Server(self._handle_readiness)
        self._peers = server.Server(self._handle_peer)

    def _make_term(self, leadership: membership.Leadership) -> leader.Term:
        return leader.Term(
            self._store,
            self._workers,
            self._decoder,
            self._member,
            leadership,
            self._metrics,
            self._current,
            retention_seconds=self._settings.bounds.status,
        )

    def _make_chain(self) -> calls.Proceed:
        endpoint = jobs.JobHandler(self._store, self._decoder, self._inquiry)
        return calls.chain(
            (
                filters.LogFilter(self._metrics),
                filters.RoutingFilter(self._current),
                filters.AuthenticationFilter(self._current),
            ),
            endpoint.handle,
        )

    async def _handle_client(
        self,
        request: message.Request,
    ) -> message.Response:
        header = request.headers.get(wire.DEADLINE_HEADER, '')
        deadline = DEFAULT_DEADLINE_SECONDS
        if header.isdigit():
            deadline = int(header) / 1000
        call = calls.Call(request, time.monotonic(), deadline)
        return await self._chain(call)

    async def _handle_readiness(
        self,
        request: message.Request,
    ) -> message.Response:
        ready = (
            self._current.value is not None and not self._stopping
            and self._route.isolated_seconds() < ISOLATED_SECONDS
        )
        return message.Response(200 if ready else 503)

    async def _handle_peer(
        self,
        request: message.Request,
    ) -> message.Response:
        path, _, query = request.target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        if path == transport.RELAY_PATH:
            return await self._relay(request)
        if path == METRICS_PATH:
            return self._render_metrics()
        term = leader_client.serving_term(self._candidate)
        if term is None or not self._member.may_act_as_leader():
            return message.Response(503)
        if path == leader_client.STATE_PATH:
            state = await term.public_job_state(ids.JobId(fields['job']))
            return _answer(leader_client.StateAnswer(state))
        if path == leader_client.PENDING_PATH:
            pending = term.state.pending(fields['queue'])
            return _answer(leader_client.PendingAnswer(pending))
        return message.Response(404)

    def _render_metrics(self) -> message.Response:
        metrics = self._metrics
        term = leader_client.serving_term(self._candidate)
        metrics.leading.set({}, int(term is not None))
        metrics.renewal_age.set({}, self._member.renewal_age())
        if self._current.value is not None:
            metrics.config_version.set({}, self._current.value.version)
        if term is not None:
            state = term.state
            now = membership.steady_clock()
            jobs_left = sum(not job.final for job in state.jobs_by_id.values())
            metrics.jobs.set({}, jobs_left)
            workers_left = sum(
                worker.available(now)
                for worker in state.workers_by_id.values()
            )
            metrics.workers.set({}, workers_left)
        return metrics.render()

    async def _relay(self, request: message.Request) -> message.Response:
        passed_on = message.Request(
            request.headers[transport.METHOD_HEADER],
            request.headers[transport.TARGET_HEADER],
            {'content-type': 'application/json'},
            request.body,
        )
        timeout = float(request.headers[transport.TIMEOUT_HEADER])
        outcome = await self._route.direct(passed_on, 0.9 * timeout)
        if isinstance(outcome, transport.Failure):
            headers = {transport.FAILED_HEADER: outcome.effect.value}
            return message.Response(503, headers)
        return message.Response(
            outcome.status,
            {'content-type': 'application/json'},
            outcome.body,
        )

    async def run(self) -> bool:
        """Serve until SIGTERM.

        :return: whether every request was finished.
        """
        finished = False

        async def stop_on_signal() -> None:
            nonlocal finished
            finished = await self._stop_on_signal(queue)

        async with signals.SignalReceiver(signal.SIGTERM, signal.SIGINT,
                                          signal.SIGHUP) as queue:
            await self._peers.start(*self._settings.peer_address)
            await self._readiness.start(*self._settings.readiness_address)
            await self._callers.start(*self._settings.client_address)
            _LOG.info('node serves', address=self._callers.address)
            await supervision.run_until_first(
                self._follower(
                    wire.OPERATORS_PREFIX,
                    configuration_holder.ConfigurationSink(
                        self._current, self._decoder
                    ),
                ).run,
                self._follower(
                    records.CONTROL_PREFIX,
                    membership.ControlSink(self._members, self._member),
                ).run,
                self._member.run,
                self._candidate.run,
                self._retire_connections,
                stop_on_signal,
            )
        return finished

    def _follower(
        self, prefix: str, sink: prefix_watcher.Sink
    ) -> prefix_watcher.PrefixWatcher:
        return prefix_watcher.PrefixWatcher(
            self._store,
            prefix,
            sink,
            pause=CONTROL_PAUSE_SECONDS,
            relist=CONTROL_RELIST_SECONDS,
        )

    async def _stop_on_signal(self, queue: signals.SignalReceiver) -> bool:
        while await queue.get() is signal.SIGHUP:
            _LOG.info('settings changed', path=settings_path())
        _LOG.info('node stops', leads=self._member.leads)
        self._stopping = True
        self._callers.announce_stop()
        await self._member.leave()
        grace = self._settings.bounds.grace
        await curio.sleep(min(STOP_ACCEPTING_SECONDS, grace / 2))
        return await self._callers.drain(
            grace - STOP_ACCEPTING_SECONDS - EXIT_MARGIN_SECONDS
        )

    async def _retire_connections(self) -> None:
        while True:
            await curio.sleep(RETIRE_SECONDS)
            await self._pool.retire()


def _answer(value: object) -> message.Response:
    return message.json_response(200, value)


def settings_path() -> str:
    return os.environ[platform_settings.PATH_VARIABLE]


@functools.cache
def read_settings() -> platform_settings.NodeSettings:
    """Return the settings of this process.

    :raise ValueError: the file is not valid.
    """
    data = pathlib.Path(settings_path()).read_bytes()
    return platform_settings.decode(data)


__all__ = ('FleetNode', 'read_settings', 'settings_path')
