"""The composition root of the daemon on the users' platform."""
from __future__ import annotations

import dataclasses
import functools
import os
import pathlib
import signal
import time
import typing

import curio
import logbook

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import leader
from nutmegworks.fleet import leader_client
from nutmegworks.fleet import membership
from nutmegworks.fleet import prefix_watcher
from nutmegworks.fleet import relay
from nutmegworks.fleet import supervision
from nutmegworks.fleet import transport
from nutmegworks.fleet import worker_connections
from nutmegworks.ingress import call as calls
from nutmegworks.ingress import filters
from nutmegworks.ingress import jobs
from nutmegworks.limits import deadline
from nutmegworks.net import budget as budgets
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.net import signals
from nutmegworks.platform import executors
from nutmegworks.platform import metastore
from nutmegworks.platform import settings as platform_settings
from nutmegworks.platform import wire
from nutmegworks.policy import task_planning
from nutmegworks.tasks import configuration as configurations
from nutmegworks.tasks import records
from nutmegworks.telemetry import fleetmetrics

_LOG: typing.Final = logbook.Logger('node')

# Idle connections are closed after this time; watches reuse theirs.
CONNECTION_IDLE_SECONDS: typing.Final = 20.0
RETIRE_INTERVAL_SECONDS: typing.Final = 2.0
# A host that gets no response from the store or any peer for this time reports
# that it is not ready, so that the balancer sends clients to other failure
# domains.
ISOLATED_AFTER_SECONDS: typing.Final = 1.0
# The balancer checks readiness once a second and stops sending requests after
# two failed checks.
STOP_ACCEPTING_SECONDS: typing.Final = 3.2
# Part of the platform's grace period that is reserved for the exit.
EXIT_MARGIN_SECONDS: typing.Final = 0.8
# For calls without a readable deadline header.
DEFAULT_TIMEOUT_SECONDS: typing.Final = 3.0
METRICS_PATH: typing.Final = '/metrics'
MAX_CONNECTIONS: typing.Final = 1024
# Shares of the sockets for clients' connections and for their calls in
# progress, each of which may use three routes to the store at a time.
CLIENT_SOCKET_SHARE: typing.Final = 1 / 3
IN_FLIGHT_SHARE: typing.Final = 1 / 8
# The configuration and the leader change rarely, and each watch that returns
# costs a call.
CONTROL_PAUSE_SECONDS: typing.Final = 0.02
CONTROL_RELIST_SECONDS: typing.Final = 6.0


class FleetNode:
    """One daemon: serves clients and, as the leader, schedules tasks."""

    def __init__(self, settings: platform_settings.NodeSettings) -> None:
        self._settings = settings
        self._stopping = False
        self._budget = budgets.Budget(settings.memory)
        self._pool = pool.Pool(
            idle_timeout=CONNECTION_IDLE_SECONDS, budget=self._budget
        )
        self._member_sink = membership.MemberSink(settings.member_id)
        self._metrics = fleetmetrics.FleetMetrics()
        self._store_transport = transport.Transport(
            settings.store_address,
            self._pool,
            self._member_sink.relay_peers,
            settings.domain_id,
            self._metrics,
            probe_target=metastore.item_target(records.LEADER_KEY),
            max_value=settings.max_value,
        )
        self._store = metastore.MetadataStore(self._store_transport)
        self._decoder = wire.PlatformDecoder()
        self._configuration_holder = configuration_holder.ConfigurationHolder(
            self._configuration_age
        )
        self._configuration_watcher = self._make_watcher(
            wire.OPERATORS_PREFIX,
            configuration_holder.ConfigurationSink(
                self._configuration_holder, self._decoder
            ),
        )
        self._membership = membership.Membership(
            self._store,
            settings.member_id,
            records.Member(
                *settings.peer_address,
                settings.domain_id,
                settings.cores,
                settings.link,
            ),
            self._member_sink,
            min_lease=settings.min_lease,
        )
        self._worker_connections = worker_connections.WorkerConnections(
            settings.max_sockets, budget=self._budget
        )
        self._executor_client = executors.ExecutorClient(
            self._worker_connections
        )
        self._candidate = leader.Candidate(self._membership, self._make_term)
        self._leader_client = leader_client.HttpLeaderClient(
            self._membership, self._candidate, self._pool
        )
        self._limits = _machine_limits(settings.max_sockets)
        self._limits_source: configurations.Configuration | None = None
        self._filter_chain = self._make_filter_chain()
        self._client_server = server.Server(
            self._handle_client,
            limits=self._client_limits,
            budget=self._budget,
        )
        self._readiness_server = server.Server(
            self._handle_readiness, budget=self._budget, internal=True
        )
        self._peer_server = server.Server(
            self._handle_peer, budget=self._budget, internal=True
        )

    def _make_term(self, leadership: membership.Leadership) -> leader.Term:
        return leader.Term(
            self._store,
            self._executor_client,
            self._decoder,
            self._membership,
            leadership,
            self._metrics,
            self._configuration_holder,
            retention_seconds=self._settings.bounds.status_retention,
            bounds=task_planning.Bounds(
                stop=self._settings.bounds.stop_timeout,
                reclaim=self._settings.bounds.reclaim,
            ),
        )

    def _client_limits(self) -> server.Limits:
        """Return the limits in force, those of the configuration included."""
        configuration = self._configuration_holder.value
        if configuration is not self._limits_source:
            self._limits_source = configuration
            self._limits = _with_configuration(self._limits, configuration)
        return self._limits

    def _configuration_age(self) -> float:
        return self._configuration_watcher.age()

    def _make_filter_chain(self) -> calls.Proceed:
        job_handler = jobs.JobHandler(
            self._store,
            self._decoder,
            self._leader_client,
            retention_seconds=self._settings.bounds.status_retention,
        )
        return calls.chain(
            (
                filters.LogFilter(self._metrics),
                filters.RoutingFilter(self._configuration_holder),
                filters.AuthenticationFilter(self._configuration_holder),
                filters.JobNameFilter(),
            ),
            job_handler.handle,
        )

    async def _handle_client(
        self,
        request: message.Request,
    ) -> message.Response:
        header = request.headers.get(wire.DEADLINE_HEADER, '')
        timeout = deadline.parse_milliseconds(header)
        call = calls.Call(
            request,
            time.monotonic(),
            timeout.unwrap_or(DEFAULT_TIMEOUT_SECONDS),
        )
        return await self._filter_chain(call)

    async def _handle_readiness(
        self,
        request: message.Request,
    ) -> message.Response:
        ready = (
            self._configuration_holder.value is not None and not self._stopping
            and self._store_transport.isolated_seconds()
            < ISOLATED_AFTER_SECONDS
        )
        return message.Response(200 if ready else 503)

    async def _handle_peer(
        self,
        request: message.Request,
    ) -> message.Response:
        path = request.target.split('?', 1)[0]
        if path == relay.PATH:
            return await relay.serve(self._store_transport, request)
        if path == METRICS_PATH:
            return self._render_metrics()
        term = leader_client.serving_term(self._candidate)
        if term is None or not self._membership.may_act_as_leader():
            return message.Response(503)
        return await leader_client.serve(term, request)

    def _render_metrics(self) -> message.Response:
        metrics = self._metrics
        term = leader_client.serving_term(self._candidate)
        metrics.leading.set({}, int(term is not None))
        metrics.renewal_age.set({}, self._membership.renewal_age())
        metrics.config_age.set({}, self._configuration_age())
        if self._configuration_holder.value is not None:
            metrics.config_version.set(
                {}, self._configuration_holder.value.version
            )
        metrics.orders.show(
            {} if term is None else term.orders_waiting(),
            self._worker_connections,
        )
        metrics.show_budget(self._budget, self._client_server.open_connections)
        if term is not None:
            state = term.state
            now = membership.steady_clock()
            unfinished_jobs = sum(
                not job.final for job in state.jobs_by_id.values()
            )
            metrics.jobs.set({}, unfinished_jobs)
            available_workers = sum(
                worker.available(now)
                for worker in state.workers_by_id.values()
            )
            metrics.workers.set({}, available_workers)
        return metrics.render()

    async def run(self) -> bool:
        """Serve until SIGTERM or SIGINT.

        :return: whether every request was finished within the grace period.
        """
        finished = False

        async def stop_on_signal() -> None:
            nonlocal finished
            finished = await self._stop_on_signal(queue)

        async with signals.SignalReceiver(signal.SIGTERM, signal.SIGINT,
                                          signal.SIGHUP) as queue:
            await self._peer_server.start(*self._settings.peer_address)
            await self._readiness_server.start(
                *self._settings.readiness_address
            )
            await self._client_server.start(*self._settings.client_address)
            _LOG.info('serving clients', address=self._client_server.address)
            await supervision.run_until_first(
                self._store_transport.run,
                self._configuration_watcher.run,
                self._make_watcher(
                    records.CONTROL_PREFIX,
                    membership.ControlSink(
                        self._member_sink, self._membership
                    ),
                ).run,
                self._membership.run,
                self._candidate.run,
                self._retire_connections,
                stop_on_signal,
            )
        return finished

    def _make_watcher(
        self, prefix: str, sink: prefix_watcher.Sink
    ) -> prefix_watcher.PrefixWatcher:
        return prefix_watcher.PrefixWatcher(
            self._store,
            prefix,
            sink,
            pause=CONTROL_PAUSE_SECONDS,
            relist=CONTROL_RELIST_SECONDS,
            clock=membership.steady_clock,
        )

    async def _stop_on_signal(self, queue: signals.SignalReceiver) -> bool:
        while await queue.get() is signal.SIGHUP:
            _LOG.info('settings change needs a restart', path=settings_path())
        _LOG.info('stop signal received', leads=self._membership.leads)
        self._stopping = True
        self._client_server.announce_stop()
        await self._membership.leave()
        grace = self._settings.bounds.grace
        await curio.sleep(min(STOP_ACCEPTING_SECONDS, grace / 2))
        return await self._client_server.drain(
            grace - STOP_ACCEPTING_SECONDS - EXIT_MARGIN_SECONDS
        )

    async def _retire_connections(self) -> None:
        while True:
            await curio.sleep(RETIRE_INTERVAL_SECONDS)
            await self._pool.close_expired()
            await self._worker_connections.close_expired()


def _machine_limits(max_sockets: int) -> server.Limits:
    """Return the limits of clients that the machine sets."""
    return server.Limits(
        max_connections=min(
            MAX_CONNECTIONS, int(max_sockets * CLIENT_SOCKET_SHARE)
        ),
        max_in_flight=int(max_sockets * IN_FLIGHT_SHARE),
    )


def _with_configuration(
    limits: server.Limits,
    configuration: configurations.Configuration | None,
) -> server.Limits:
    """Return limits with those of a configuration in place of earlier ones."""
    if configuration is None:
        return limits
    return dataclasses.replace(
        limits,
        max_body=configuration.max_body_bytes,
        max_header=configuration.max_header_bytes,
        header_timeout=configuration.header_timeout,
        idle_timeout=configuration.idle_timeout,
    )


def settings_path() -> str:
    """Return the path of the settings file from the environment."""
    return os.environ[platform_settings.PATH_VARIABLE]


@functools.cache
def read_settings() -> platform_settings.NodeSettings:
    """Return the settings of this process; the file is read once.

    :raise KeyError: the environment names no settings file.
    :raise OSError: the file cannot be read.
    :raise ValueError: the file is not valid.
    """
    data = pathlib.Path(settings_path()).read_bytes()
    return platform_settings.decode(data)


__all__ = ('FleetNode', 'read_settings', 'settings_path')
