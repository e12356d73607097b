"""Callers of synchronous requests who retry and record what they are told."""
from __future__ import annotations

import dataclasses
import enum
import http.client
import json
import random
import threading
import time
import typing

from nutmegworks.history import events
from nutmegworks.history import recorder
from standins import cluster as processes

PATH: typing.Final = '/v1/services/round-planner/requests'
IDEMPOTENT_CLASS: typing.Final = 'forecast'
OTHER_CLASS: typing.Final = 'plan'
DEADLINE_SECONDS: typing.Final = 4.0
# A daemon refuses at the deadline; the rest is for busy machines.
PATIENCE_SECONDS: typing.Final = DEADLINE_SECONDS + 4.0
IMPATIENT_SECONDS: typing.Final = (0.02, 0.1, 0.5)
MAX_ATTEMPTS: typing.Final = 4
MAX_PAD_BYTES: typing.Final = 2000
PAUSE_SECONDS: typing.Final = 0.15
# Parts of all requests.
IDEMPOTENT_PART: typing.Final = 0.4
IMPATIENT_PART: typing.Final = 0.2
REPEATED_PART: typing.Final = 0.1
# In the order of Counting.
COUNTING_SHARES: typing.Final = (6, 2, 2)


class Counting(enum.Enum):
    """Which attempts carry their number in Nutmeg-Attempt."""

    EVERY = 'every'
    FIRST = 'first'
    NONE = 'none'

    def states(self, attempt: int) -> bool:
        if self is Counting.FIRST:
            return attempt == 1
        return self is Counting.EVERY


class Balancer:
    """Chooses daemons for callers, leaving out those that stop."""

    def __init__(self, name_by_address: dict[str, str]) -> None:
        self.name_by_address = name_by_address
        self._lock = threading.Lock()
        self._out: set[str] = set()

    def leave_out(self, address: str) -> None:
        with self._lock:
            self._out.add(address)

    def take_back(self, address: str) -> None:
        with self._lock:
            self._out.discard(address)

    def choose(self, rng: random.Random, last: str) -> str | None:
        """Return a daemon, preferably not the last one."""
        with self._lock:
            usable = [
                item for item in self.name_by_address if item not in self._out
            ]
        others = [item for item in usable if item != last] or usable
        return rng.choice(others) if others else None


@dataclasses.dataclass(frozen=True)
class _Work:
    """One logical request."""

    key: str
    idempotent: bool
    pad: int
    counting: Counting

    def body(self) -> str:
        return f'{self.key}|{"x" * self.pad}|'

    def headers(self, attempt: int) -> dict[str, str]:
        fields = {
            'Authorization': f'Bearer {processes.TEAM_TOKEN}',
            'Nutmeg-Deadline-Ms': str(int(DEADLINE_SECONDS * 1000)),
            'Nutmeg-Class': IDEMPOTENT_CLASS,
        }
        if not self.idempotent:
            fields['Nutmeg-Class'] = OTHER_CLASS
            fields['Idempotency-Key'] = self.key
        if self.counting.states(attempt):
            fields['Nutmeg-Attempt'] = str(attempt)
        return fields


def key_of(body: str) -> str:
    """Return the key that a request body starts with."""
    return body.partition('|')[0]


class Caller(threading.Thread):
    """Makes one request after another until it is halted."""

    def __init__(
        self,
        label: str,
        seed: int,
        balancer: Balancer,
        history: recorder.Recorder,
    ) -> None:
        super().__init__(name=label, daemon=True)
        self.halted = threading.Event()
        self._rng = random.Random(f'{seed}-{label}')
        self._balancer = balancer
        self._history = history

    def run(self) -> None:
        count = 0
        while not self.halted.is_set():
            count += 1
            self._one_request(f'{self.name}-{count}')
            self.halted.wait(self._rng.expovariate(1.0 / PAUSE_SECONDS))

    def _one_request(self, label: str) -> None:
        idempotent = self._rng.random() < IDEMPOTENT_PART
        name = processes.key(label)
        pad = self._rng.randrange(MAX_PAD_BYTES)
        counting = self._rng.choices(list(Counting), COUNTING_SHARES)[0]
        address: str | None = ''
        for attempt in range(1, MAX_ATTEMPTS + 1):
            # The verdict of an idempotent request is about one attempt, so
            # each attempt is a request of its own in the history.
            key = f'{name}.{attempt}' if idempotent else name
            address = self._balancer.choose(self._rng, address or '')
            if address is None:
                return
            answer = self._attempt(
                address, _Work(key, idempotent, pad, counting), attempt
            )
            repeat = self._rng.random() < REPEATED_PART
            if answer.verdict == 'ran' and not repeat:
                return
            time.sleep(self._rng.uniform(0.0, 2 * PAUSE_SECONDS))

    def _attempt(
        self,
        address: str,
        work: _Work,
        attempt: int,
    ) -> events.RequestAnswered:
        patience = PATIENCE_SECONDS
        if self._rng.random() < IMPATIENT_PART:
            patience = self._rng.choice(IMPATIENT_SECONDS)
        self._history.record(
            events.RequestSent(
                at=time.time(),
                key=work.key,
                attempt=str(attempt),
                idempotent=work.idempotent,
                daemon=self._balancer.name_by_address[address],
            )
        )
        fields = _exchange(address, work, attempt, patience)
        answer = events.RequestAnswered(
            at=time.time(), key=work.key, attempt=str(attempt), **fields
        )
        self._history.record(answer)
        return answer


def _exchange(
    address: str,
    work: _Work,
    attempt: int,
    patience: float,
) -> dict[str, typing.Any]:
    """Make one attempt and return what it told, as fields of an event."""
    body = work.body()
    connection = http.client.HTTPConnection(address, timeout=patience)
    try:
        connection.request('POST', PATH, body, work.headers(attempt))
        response = connection.getresponse()
        text = response.read().decode()
    except TimeoutError:
        short = patience < PATIENCE_SECONDS
        return {'verdict': '', 'gave_up': short, 'reason': 'timeout'}
    except (OSError, http.client.HTTPException) as error:
        return {'verdict': '', 'reason': repr(error)}
    finally:
        connection.close()
    verdict = response.getheader('nutmeg-verdict') or 'none stated'
    if response.status != 200:
        reason = json.loads(text).get('reason', '')
        return {'verdict': verdict, 'reason': reason}
    received = text.partition(':')[2]
    whole = received == body or key_of(received) != work.key
    return {
        'verdict': verdict,
        'body': key_of(received) or 'unknown',
        'whole': whole,
        'reason': 'replayed' if response.getheader('nutmeg-replayed') else '',
    }


__all__ = ('Balancer', 'Caller', 'PATIENCE_SECONDS', 'key_of')
