"""Threads that submit concurrent changes and observe configurations."""
from __future__ import annotations

import json
import random
import threading
import time
import typing

from nutmegworks.history import events
from nutmegworks.history import recorder
from standins import callers
from standins import cluster as clusters

CALL_TIMEOUT_SECONDS: typing.Final = 6.0
MEAN_CHANGE_INTERVAL_SECONDS: typing.Final = 0.5
MAX_THINK_SECONDS: typing.Final = 0.5
OBSERVE_INTERVAL_SECONDS: typing.Final = 0.25
OBSERVE_TIMEOUT_SECONDS: typing.Final = 1.0
# Few classes, so that the operators' changes conflict.
CLASS_COUNT: typing.Final = 3
MAX_ATTEMPTS: typing.Final = 3


class Operator(threading.Thread):
    """Submits changes through randomly chosen daemons.

    A change with an unknown outcome is submitted again under the same id,
    possibly through another daemon.
    """

    def __init__(
        self,
        label: str,
        seed: int,
        balancer: callers.Balancer,
        history: recorder.Recorder,
    ) -> None:
        super().__init__(name=label, daemon=True)
        self.stop_requested = threading.Event()
        self.outcomes: dict[str, int] = {}
        self._rng = random.Random(f'{seed}-{label}')
        self._balancer = balancer
        self._history = history

    def run(self) -> None:
        count = 0
        while not self.stop_requested.wait(self._rng.uniform(
                0, 2 * MEAN_CHANGE_INTERVAL_SECONDS)):
            count += 1
            self._make_change(f'{self.name}-{count}')

    def _make_change(self, change_id: str) -> None:
        fields = {
            'service': 'round-planner',
            'target': self._rng.uniform(1.0, 100.0),
            'teams': ['north'],
        }
        name = f'spare-{self._rng.randrange(CLASS_COUNT)}'
        operations = [['put-class', name, fields]]
        base = self._current_sequence()
        # Another operator's change may be accepted in the meantime.
        time.sleep(self._rng.uniform(0.0, MAX_THINK_SECONDS))
        change = [change_id, self.name, int(time.time()), operations]
        body = json.dumps({'base': base, 'change': change}).encode()
        for _ in range(MAX_ATTEMPTS):
            outcome = 'no daemon' if base is None else self._propose(
                change_id, body
            )
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if outcome not in ('504', 'no answer'):
                return

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> clusters.Reply | None:
        address = self._balancer.choose(self._rng, '')
        if address is None:
            return None
        try:
            return clusters.call(
                method,
                address,
                path,
                body,
                token=clusters.OPERATOR_TOKEN,
                timeout=CALL_TIMEOUT_SECONDS,
            )
        except (OSError, ValueError):
            return None

    def _current_sequence(self) -> int | None:
        reply = self._call('GET', '/v1/config')
        if reply is None or reply.status != 200:
            return None
        return int(json.loads(reply.body)['sequence'])

    def _propose(self, change_id: str, body: bytes) -> str:
        reply = self._call('POST', '/v1/config/changes', body)
        if reply is None:
            return 'no answer'
        if reply.status == 200:
            self._history.record(
                events.ConfigurationAccepted(
                    at=time.time(),
                    sequence=int(json.loads(reply.body)['sequence']),
                    change=change_id,
                )
            )
        return str(reply.status)


class Observer(threading.Thread):
    """Polls one daemon for the configuration that it applies."""

    def __init__(
        self,
        address: str,
        name: str,
        history: recorder.Recorder,
    ) -> None:
        super().__init__(name=f'observer-{name}', daemon=True)
        self.stop_requested = threading.Event()
        self.observation_count = 0
        self._address = address
        self._daemon = name
        self._history = history

    def run(self) -> None:
        while not self.stop_requested.wait(OBSERVE_INTERVAL_SECONDS):
            self.observe()

    def observe(self) -> None:
        # The time before the call: the daemon applied the reported sequence at
        # this time or later.
        asked_at = time.time()
        try:
            reply = clusters.call(
                'GET',
                self._address,
                '/v1/ready',
                timeout=OBSERVE_TIMEOUT_SECONDS,
            )
            value = json.loads(reply.body)
        except (OSError, ValueError):
            return
        self.observation_count += 1
        self._history.record(
            events.ConfigurationObserved(
                at=asked_at,
                daemon=self._daemon,
                incarnation=value['incarnation'],
                sequence=value['config_sequence'],
            )
        )


__all__ = ('Observer', 'Operator')
