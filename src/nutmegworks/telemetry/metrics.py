"""Metrics of the stand-alone daemon, nutmegd."""
from __future__ import annotations

import typing

import aioprometheus
from aioprometheus.formats import text

from nutmegworks.net import budget as budgets
from nutmegworks.net import message

# Bucket bounds of the latency histogram, in seconds.
LATENCY_BUCKETS: typing.Final = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0, 30.0, 60.0
)


class IntakeMetrics:
    """Metrics of the memory and the connections of clients."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._gauge_by_name = {
            name: aioprometheus.Gauge(name, doc, registry=registry)
            for name, doc in (
                ('nutmeg_intake_bytes_held', 'Bytes taken from the budget.'),
                (
                    'nutmeg_intake_bytes_peak',
                    'Most bytes taken from the budget since the start.',
                ),
                ('nutmeg_intake_bytes_budget', 'Bytes of the budget.'),
                ('nutmeg_client_connections', 'Open clients\' connections.'),
                (
                    'nutmeg_client_losses_total',
                    'Refused requests and closed connections by reason.',
                ),
            )
        }

    def show(self, budget: budgets.Budget, connections: int) -> None:
        """Set all metrics to their present values."""
        for name, value in (
            ('nutmeg_intake_bytes_held', budget.held),
            ('nutmeg_intake_bytes_peak', budget.peak),
            ('nutmeg_intake_bytes_budget', budget.total),
            ('nutmeg_client_connections', connections),
        ):
            self._gauge_by_name[name].set({}, value)
        losses = self._gauge_by_name['nutmeg_client_losses_total']
        for loss, count in budget.losses.items():
            losses.set({'reason': loss.value}, count)


class Metrics:
    """All metrics of one daemon, in their own registry."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            'nutmeg_requests_total',
            'Requests by class and outcome.',
        )
        self.attempts = self._counter(
            'nutmeg_attempts_total',
            'Attempts at upstreams by class and result.',
        )
        self.request_seconds = aioprometheus.Histogram(
            'nutmeg_request_seconds',
            'Seconds from receipt to whole response, by class.',
            buckets=list(LATENCY_BUCKETS),
            registry=self.registry,
        )
        self.in_flight = self._gauge(
            'nutmeg_requests_in_flight', 'Requests now in the daemon.'
        )
        self.upstreams = self._gauge('nutmeg_upstreams', 'Upstreams by state.')
        self.config_sequence = self._gauge(
            'nutmeg_config_sequence', 'Sequence of the configuration in force.'
        )
        self.store_calls = self._gauge(
            'nutmeg_store_calls', 'Calls to the store since start.'
        )
        self.shards_owned = self._gauge(
            'nutmeg_shards_owned', 'Scheduling shards this daemon owns.'
        )
        self._intake = IntakeMetrics(self.registry)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self.registry)

    def show_budget(self, budget: budgets.Budget, connections: int) -> None:
        """Update the metrics of what callers' connections hold."""
        self._intake.show(budget, connections)

    def render(self) -> message.Response:
        """Return the metrics in the Prometheus text format."""
        body = text.TextFormatter().marshall(self.registry)
        headers = {'content-type': 'text/plain; version=0.0.4'}
        return message.Response(200, headers, body)


__all__ = ('IntakeMetrics', 'LATENCY_BUCKETS', 'Metrics')
