"""Operators who race with changes, and an observer of configurations."""
from __future__ import annotations

import json
import random
import threading
import time
import typing

from nutmegworks.history import events
from nutmegworks.history import recorder
from standins import callers
from standins import cluster as processes

CALL_SECONDS: typing.Final = 6.0
CHANGE_SECONDS: typing.Final = 0.5
THINK_SECONDS: typing.Final = 0.5
OBSERVE_SECONDS: typing.Final = 0.25
OBSERVE_TIMEOUT_SECONDS: typing.Final = 1.0
# Few classes, so that operators conflict.
CLASSES: typing.Final = 3
TRIES: typing.Final = 3


class Operator(threading.Thread):
    """Proposes changes through changing daemons.

    A change whose outcome is not known is proposed again with the same id
    through another daemon.
    """

    def __init__(
        self,
        label: str,
        seed: int,
        balancer: callers.Balancer,
        history: recorder.Recorder,
    ) -> None:
        super().__init__(name=label, daemon=True)
        self.halted = threading.Event()
        self.outcomes: dict[str, int] = {}
        self._rng = random.Random(f'{seed}-{label}')
        self._balancer = balancer
        self._history = history

    def run(self) -> None:
        count = 0
        while not self.halted.wait(self._rng.uniform(0, 2 * CHANGE_SECONDS)):
            count += 1
            self._one_change(f'{self.name}-{count}')

    def _one_change(self, change_id: str) -> None:
        fields = {
            'service': 'round-planner',
            'target': self._rng.uniform(1.0, 100.0),
            'teams': ['north'],
        }
        name = f'spare-{self._rng.randrange(CLASSES)}'
        operations = [['put-class', name, fields]]
        base = self._base()
        # Leaves time for another operator's change.
        time.sleep(self._rng.uniform(0.0, THINK_SECONDS))
        change = [change_id, self.name, int(time.time()), operations]
        body = json.dumps({'base': base, 'change': change}).encode()
        for _ in range(TRIES):
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
    ) -> processes.Reply | None:
        address = self._balancer.choose(self._rng, '')
        if address is None:
            return None
        try:
            return processes.call(
                method,
                address,
                path,
                body,
                token=processes.OPERATOR_TOKEN,
                timeout=CALL_SECONDS,
            )
        except (OSError, ValueError):
            return None

    def _base(self) -> int | None:
        shown = self._call('GET', '/v1/config')
        if shown is None or shown.status != 200:
            return None
        return int(json.loads(shown.body)['sequence'])

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
    """Asks one daemon again and again which configuration is in force."""

    def __init__(
        self,
        address: str,
        name: str,
        history: recorder.Recorder,
    ) -> None:
        super().__init__(name=f'observer-{name}', daemon=True)
        self.halted = threading.Event()
        self.seen = 0
        self._address = address
        self._daemon = name
        self._history = history

    def run(self) -> None:
        while not self.halted.wait(OBSERVE_SECONDS):
            self.observe()

    def observe(self) -> None:
        # The sequence that is reported was in force at this moment or later.
        at = time.time()
        try:
            reply = processes.call(
                'GET',
                self._address,
                '/v1/ready',
                timeout=OBSERVE_TIMEOUT_SECONDS,
            )
            value = json.loads(reply.body)
        except (OSError, ValueError):
            return
        self.seen += 1
        self._history.record(
            events.ConfigurationObserved(
                at=at,
                daemon=self._daemon,
                incarnation=value['incarnation'],
                sequence=value['config_sequence'],
            )
        )


__all__ = ('Observer', 'Operator')
