"""The composition root of ``nutmegd``: creates and wires its components."""
from __future__ import annotations

import random
import secrets
import signal
import typing

import curio
import logbook

from nutmegworks.adapters import hosts
from nutmegworks.adapters import httpstore
from nutmegworks.adapters import upstreams
from nutmegworks.claims import service as claim_service
from nutmegworks.configuration import repository as repositories
from nutmegworks.daemon import accounts as daemon_accounts
from nutmegworks.daemon import control
from nutmegworks.daemon import forwarder as daemon_forwarder
from nutmegworks.daemon import scheduling
from nutmegworks.daemon import spans as daemon_spans
from nutmegworks.daemon import upstreams as daemon_upstreams
from nutmegworks.daemon import workers as daemon_workers
from nutmegworks.entry import account as entry_account
from nutmegworks.entry import admit
from nutmegworks.entry import authenticate
from nutmegworks.entry import claim
from nutmegworks.entry import classify
from nutmegworks.entry import deadline
from nutmegworks.entry import dispatch
from nutmegworks.entry import filter as entry_filter
from nutmegworks.entry import jobs
from nutmegworks.entry import keyverdict
from nutmegworks.entry import operators
from nutmegworks.entry import readiness
from nutmegworks.entry import requests
from nutmegworks.entry import router
from nutmegworks.entry import trace
from nutmegworks.limits import retries
from nutmegworks.model import ids
from nutmegworks.model import work
from nutmegworks.net import budget as budgets
from nutmegworks.net import message
from nutmegworks.net import pool
from nutmegworks.net import server
from nutmegworks.net import signals
from nutmegworks.policy import guarantee_check
from nutmegworks.routing import table
from nutmegworks.settings import schema
from nutmegworks.telemetry import metrics as telemetry_metrics
from nutmegworks.telemetry import spans

_LOG: typing.Final = logbook.Logger('daemon')

# Limit of the wait for outcomes of answered requests to be stored.
OUTCOME_DRAIN_SECONDS: typing.Final = 5.0
RETIRE_INTERVAL_SECONDS: typing.Final = 1.0


class Daemon:
    """One ``nutmegd`` process: its components and background tasks."""

    def __init__(self, settings: schema.Settings) -> None:
        self._settings = settings
        self._stopping = False
        self._incarnation = ids.Incarnation(secrets.token_hex(8))
        self._member_id = ids.MemberId(settings.daemon_host_id)
        self._metrics = telemetry_metrics.Metrics()
        self._tracer = spans.Tracer(
            'nutmegd', enabled=bool(settings.telemetry_spans)
        )
        self._span_writer = daemon_spans.SpanWriter(
            self._tracer, settings.telemetry_spans
        )
        self._budget = budgets.Budget(settings.limits_memory)
        self._pool = pool.Pool(budget=self._budget)
        self._store = httpstore.HttpStore(
            settings.platform_store, connections=self._pool
        )
        self._host_list = hosts.HttpHostList(
            settings.platform_hosts, connections=self._pool
        )
        self._control_plane = control.ControlPlane(
            settings, self._incarnation, self._store, self._host_list,
            self._budget
        )
        self._published_configuration = self._control_plane.published
        self._upstream_client = upstreams.HttpUpstreamClient(self._pool)
        self._upstream_controller = daemon_upstreams.UpstreamController(
            self._host_list,
            self._upstream_client,
            table.RoutingTable(ids.DomainId(settings.daemon_domain)),
        )
        self._configuration_repository = repositories.Repository(
            self._store,
            rng=random.SystemRandom(),
            guarantee_check=self._check_guarantees,
        )
        self._worker_directory = daemon_workers.WorkerDirectory(
            self._host_list
        )
        self._shard_runner = scheduling.ShardRunner(
            settings, self._store, self._published_configuration,
            self._worker_directory, self._budget
        )
        self._claims = claim_service.ClaimService(
            self._store,
            member_id=self._member_id,
            incarnation=self._incarnation,
            members=self._control_plane.live_member_ids,
            forwarder=daemon_forwarder.PeerForwarder(
                self._control_plane.client, self._control_plane.table
            ),
        )
        daemon_forwarder.register(self._control_plane.peers, self._claims)
        self._claim_filter = claim.ClaimFilter(self._claims)
        self._admit_filter = admit.AdmitFilter(
            self._published_configuration,
            self._upstream_controller.usable_slots,
            max_per_team=settings.limits_queue,
        )
        self._caller_server = server.Server(
            self._make_router().handle,
            limits=self._server_limits(),
            budget=self._budget,
            adjust_refusal=keyverdict.adjust_refusal,
        )

    def _server_limits(self) -> server.Limits:
        return server.Limits(
            max_connections=self._settings.limits_connections,
            max_body=self._settings.limits_body,
            request_timeout=self._settings.limits_message_time,
        )

    def _check_guarantees(
        self,
        configuration: work.Configuration,
    ) -> typing.Iterable[str]:
        return guarantee_check.check_guarantees(
            configuration, self._worker_directory.racks()
        )

    def _make_filter_chain(
        self,
        token_index: authenticate.TokenIndex,
    ) -> entry_filter.Proceed:
        dispatcher = dispatch.Dispatcher(
            self._upstream_controller,
            self._upstream_client,
            retries.RetryBudget(),
            self._tracer,
            self._metrics,
            rng=random.SystemRandom(),
        )
        filters = (
            trace.TraceFilter(self._tracer, self._metrics),
            keyverdict.KeyVerdictFilter(),
            readiness.ReadinessFilter(self._published_configuration),
            authenticate.AuthenticateFilter(token_index),
            classify.ClassifyFilter(self._published_configuration),
            deadline.DeadlineFilter(
                max_seconds=self._settings.limits_deadline
            ),
            self._admit_filter,
            self._claim_filter,
        )
        return entry_filter.chain(filters, dispatcher.dispatch)

    def _make_router(self) -> router.Router:
        token_index = authenticate.TokenIndex(self._published_configuration)
        request_endpoint = requests.RequestEndpoint(
            self._make_filter_chain(token_index)
        )
        operator_tokens = operators.OperatorTokens(
            self._settings.operators_digests
        )
        config_endpoint = operators.ConfigurationEndpoint(
            self._configuration_repository,
            self._control_plane.configuration.holder.adopt_changes
        )
        job_endpoint = jobs.JobEndpoint(
            self._shard_runner.job_service, self._published_configuration,
            token_index, operator_tokens
        )
        account_endpoint = entry_account.AccountEndpoint(
            daemon_accounts.AccountStore(self._store)
        )
        return router.Router(
            (
                router.route(
                    'POST', '/v1/services/<service>/requests',
                    request_endpoint.handle
                ),
                router.route('POST', '/v1/jobs', job_endpoint.submit),
                router.route('GET', '/v1/jobs/<id>', job_endpoint.wait),
                router.route('DELETE', '/v1/jobs/<id>', job_endpoint.cancel),
                router.route(
                    'GET', '/v1/jobs/<id>/explain', job_endpoint.explain
                ),
                router.route(
                    'GET', '/v1/account',
                    operator_tokens.guard(account_endpoint.show)
                ),
                router.route(
                    'GET', '/v1/status', operator_tokens.guard(self._status)
                ),
                router.route('GET', '/v1/health', self._health),
                router.route('GET', '/v1/ready', self._ready),
                router.route('GET', '/metrics', self._render_metrics),
                router.route(
                    'GET', '/v1/config',
                    operator_tokens.guard(config_endpoint.show)
                ),
                router.route(
                    'GET', '/v1/config/history',
                    operator_tokens.guard(config_endpoint.history)
                ),
                router.route(
                    'POST', '/v1/config/changes',
                    operator_tokens.guard(config_endpoint.change)
                ),
            )
        )

    async def _status(
        self,
        request: message.Request,
        parameters: typing.Mapping[str, str],
    ) -> message.Response:
        body = {
            'host_id':
            self._member_id,
            'incarnation':
            self._incarnation,
            'domain':
            self._settings.daemon_domain,
            'stopping':
            self._stopping,
            'shard_owner':
            self._shard_runner.owner_id,
            'members': [
                {
                    'member': member.member_id,
                    'domain': member.domain_id,
                    'state': member.state.value,
                } for member in self._control_plane.table.all()
            ],
            'upstreams':
            self._upstream_controller.states(),
        }
        return message.json_response(200, body)

    async def _health(
        self,
        request: message.Request,
        parameters: typing.Mapping[str, str],
    ) -> message.Response:
        return message.json_response(200, {'status': 'alive'})

    async def _ready(
        self,
        request: message.Request,
        parameters: typing.Mapping[str, str],
    ) -> message.Response:
        configuration = self._published_configuration.value
        ready = configuration is not None and not self._stopping
        age = self._control_plane.configuration.holder.age()
        body = {
            'ready': ready,
            'stopping': self._stopping,
            'incarnation': self._incarnation,
            'config_sequence': configuration.sequence if configuration else 0,
            'config_age_seconds': age,
        }
        return message.json_response(200 if ready else 503, body)

    async def _render_metrics(
        self,
        request: message.Request,
        parameters: typing.Mapping[str, str],
    ) -> message.Response:
        if self._published_configuration.value is not None:
            sequence = self._published_configuration.value.sequence
            self._metrics.config_sequence.set({}, sequence)
        self._metrics.shards_owned.set({}, int(self._shard_runner.owns_shard))
        self._metrics.store_calls.set({}, self._store.calls)
        self._metrics.show_budget(
            self._budget, self._caller_server.open_connections
        )
        return self._metrics.render()

    async def run(self) -> bool:
        """Serve until SIGTERM or SIGINT.

        :return: whether every request was finished within the stop limit.
        """
        async with signals.SignalReceiver(signal.SIGTERM,
                                          signal.SIGINT) as queue:
            await self._control_plane.start()
            await self._caller_server.start(*self._settings.daemon_callers)
            _LOG.info('serving callers', address=self._caller_server.address)
            async with curio.TaskGroup(wait=any) as group:
                for task in (
                        self._upstream_controller.run,
                        self._claims.run,
                        self._admit_filter.run,
                        self._worker_directory.run,
                        self._shard_runner.run,
                        self._span_writer.run,
                        self._control_plane.run,
                        self._retire_connections,
                ):
                    await group.spawn(task)
                stop = await group.spawn(self._stop_on_signal, queue)
            return bool(stop.result)

    async def _stop_on_signal(self, queue: signals.SignalReceiver) -> bool:
        signal_number = await queue.get()
        _LOG.info('stop signal received', signal=int(signal_number))
        self._stopping = True
        self._caller_server.announce_stop()
        await self._control_plane.leave()
        await self._shard_runner.leave()
        # The balancer continues to send requests until a readiness check has
        # failed.
        await curio.sleep(self._settings.stop_grace)
        finished = await self._caller_server.drain(self._settings.stop_limit)
        await self._claim_filter.drain(OUTCOME_DRAIN_SECONDS)
        await self._control_plane.drain()
        self._span_writer.flush()
        return finished

    async def _retire_connections(self) -> None:
        while True:
            await curio.sleep(RETIRE_INTERVAL_SECONDS)
            await self._pool.close_expired()
            await self._control_plane.retire_connections()
            await self._shard_runner.retire_connections()


__all__ = ('Daemon', )
