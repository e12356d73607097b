"""Metrics of the platform daemon."""
from __future__ import annotations

import typing

import aioprometheus
from aioprometheus.formats import text

from nutmegworks.net import budget as budgets
from nutmegworks.net import message
from nutmegworks.telemetry import metrics

# Bucket bounds of the seconds from a job's acceptance to its end.
JOB_BUCKETS: typing.Final = (
    0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 13.0, 21.0, 34.0, 55.0, 89.0
)


class ConnectionCounts(typing.Protocol):
    """What the connections to workers tell of themselves."""

    broken: int

    @property
    def refused(self) -> int:
        ...

    def open_by_address(self) -> typing.Mapping[typing.Any, int]:
        ...


class OrderMetrics:
    """Metrics of the orders that wait and the connections to workers."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._gauge_by_name = {
            name: aioprometheus.Gauge(name, doc, registry=registry)
            for name, doc in (
                (
                    'nutmeg_orders_waiting',
                    'Orders that wait to be sent, sum and largest of a '
                    'worker.',
                ),
                (
                    'nutmeg_worker_connections',
                    'Connections to workers, sum and largest of a worker.',
                ),
                (
                    'nutmeg_worker_connections_broken_total',
                    'Requests to workers whose connection broke.',
                ),
                (
                    'nutmeg_orders_without_connection_total',
                    'Orders put back because all connections were in use.',
                ),
            )
        }

    def show(
        self,
        waiting: typing.Mapping[typing.Any, int],
        connections: ConnectionCounts,
    ) -> None:
        """Set all metrics to their present values."""
        for name, counts in (
            ('nutmeg_orders_waiting', waiting),
            ('nutmeg_worker_connections', connections.open_by_address()),
        ):
            gauge = self._gauge_by_name[name]
            gauge.set({'of': 'all'}, sum(counts.values()))
            gauge.set({'of': 'largest'}, max(counts.values(), default=0))
        for name, count in (
            ('nutmeg_worker_connections_broken_total', connections.broken),
            ('nutmeg_orders_without_connection_total', connections.refused),
        ):
            self._gauge_by_name[name].set({}, count)


class FleetMetrics:
    """All metrics of one daemon, in their own registry."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.calls = self._counter(
            'nutmeg_calls_total', "Clients' calls by method and status."
        )
        self.call_seconds = self._histogram(
            'nutmeg_call_seconds',
            "Seconds of clients' calls by method.",
            metrics.LATENCY_BUCKETS,
        )
        self.store_calls = self._counter(
            'nutmeg_store_calls_total',
            'Calls to the store by route and outcome.',
        )
        self.starts = self._counter(
            'nutmeg_starts_total', 'Orders to start a run by verdict.'
        )
        self.stops = self._counter(
            'nutmeg_stops_total', 'Runs that were stopped.'
        )
        self.lost_runs = self._counter(
            'nutmeg_runs_lost_total',
            'Runs whose end was not reported, by what is known of the worker.',
        )
        self.jobs_ended = self._counter(
            'nutmeg_jobs_ended_total', 'Ended jobs by queue and state.'
        )
        self.job_seconds = self._histogram(
            'nutmeg_job_seconds',
            'Seconds from acceptance to the end, by queue.',
            JOB_BUCKETS,
        )
        self.wait_seconds = self._counter(
            'nutmeg_job_wait_seconds_total',
            'Seconds that ended jobs waited, by queue and cause.',
        )
        self.leading = self._gauge(
            'nutmeg_leading', '1 while this daemon leads.'
        )
        self.jobs = self._gauge(
            'nutmeg_jobs_unfinished', 'Unfinished jobs, on the leader.'
        )
        self.workers = self._gauge(
            'nutmeg_workers_available', 'Workers that get work, on the leader.'
        )
        self.renewal_age = self._gauge(
            'nutmeg_lease_renewal_age_seconds',
            "Seconds since this daemon's lease was renewed.",
        )
        self.config_version = self._gauge(
            'nutmeg_config_version', 'Version of the configuration in force.'
        )
        self.config_age = self._gauge(
            'nutmeg_config_age_seconds',
            'Seconds since the configuration was last read in the store.',
        )
        self.order_wait_seconds = self._histogram(
            'nutmeg_order_wait_seconds',
            'Seconds that an order waited until it was first sent, by kind.',
            metrics.LATENCY_BUCKETS,
        )
        self.orders = OrderMetrics(self.registry)
        self._intake = metrics.IntakeMetrics(self.registry)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self.registry)

    def _histogram(
        self,
        name: str,
        doc: str,
        buckets: typing.Iterable[float],
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, doc, buckets=list(buckets), registry=self.registry
        )

    def show_budget(self, budget: budgets.Budget, connections: int) -> None:
        """Update the metrics of what clients' connections hold."""
        self._intake.show(budget, connections)

    def render(self) -> message.Response:
        """Return the metrics in the Prometheus text format."""
        return message.Response(
            200,
            {'content-type': 'text/plain; version=0.0.4'},
            text.TextFormatter().marshall(self.registry),
        )


__all__ = ('FleetMetrics', 'JOB_BUCKETS')
