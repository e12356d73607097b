"""Client threads that send synchronous requests, retry and record answers."""
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
from standins import cluster as clusters

PATH: typing.Final = '/v1/services/round-planner/requests'
IDEMPOTENT_CLASS: typing.Final = 'forecast'
NON_IDEMPOTENT_CLASS: typing.Final = 'plan'
DEADLINE_SECONDS: typing.Final = 4.0
# A daemon refuses a request at its deadline; the 4 s beyond it allow for a
# busy machine.
CLIENT_TIMEOUT_SECONDS: typing.Final = DEADLINE_SECONDS + 4.0
SHORT_TIMEOUTS_SECONDS: typing.Final = (0.02, 0.1, 0.5)
MAX_ATTEMPTS: typing.Final = 4
MAX_PADDING_BYTES: typing.Final = 2000
MEAN_PAUSE_SECONDS: typing.Final = 0.15
# Shares of all requests.
IDEMPOTENT_SHARE: typing.Final = 0.4
SHORT_TIMEOUT_SHARE: typing.Final = 0.2
REPEAT_SHARE: typing.Final = 0.1
# In the order of the members of AttemptNumbering.
NUMBERING_WEIGHTS: typing.Final = (6, 2, 2)


class AttemptNumbering(enum.Enum):
    """Which attempts of a request carry the header Nutmeg-Attempt."""

    EVERY = 'every'
    FIRST = 'first'
    NONE = 'none'

    def includes_number(self, attempt: int) -> bool:
        if self is AttemptNumbering.FIRST:
            return attempt == 1
        return self is AttemptNumbering.EVERY


class Balancer:
    """Chooses daemons for callers; skips the excluded ones."""

    def __init__(self, name_by_address: dict[str, str]) -> None:
        self.name_by_address = name_by_address
        self._lock = threading.Lock()
        self._excluded: set[str] = set()

    def exclude(self, address: str) -> None:
        with self._lock:
            self._excluded.add(address)

    def include(self, address: str) -> None:
        with self._lock:
            self._excluded.discard(address)

    def choose(self, rng: random.Random, previous: str) -> str | None:
        """Return an available address, preferably not the previous one."""
        with self._lock:
            available = [
                item for item in self.name_by_address
                if item not in self._excluded
            ]
        others = [item for item in available if item != previous] or available
        return rng.choice(others) if others else None


@dataclasses.dataclass(frozen=True)
class _Request:
    """One request, which may be sent in several attempts."""

    key: str
    idempotent: bool
    padding_bytes: int
    numbering: AttemptNumbering

    def body(self) -> str:
        return f'{self.key}|{"x" * self.padding_bytes}|'

    def headers(self, attempt: int) -> dict[str, str]:
        fields = {
            'Authorization': f'Bearer {clusters.TEAM_TOKEN}',
            'Nutmeg-Deadline-Ms': str(int(DEADLINE_SECONDS * 1000)),
            'Nutmeg-Class': IDEMPOTENT_CLASS,
        }
        if not self.idempotent:
            fields['Nutmeg-Class'] = NON_IDEMPOTENT_CLASS
            fields['Idempotency-Key'] = self.key
        if self.numbering.includes_number(attempt):
            fields['Nutmeg-Attempt'] = str(attempt)
        return fields


def extract_key(body: str) -> str:
    """Return the key at the start of a request body."""
    return body.partition('|')[0]


class Caller(threading.Thread):
    """Sends one request after another until it is asked to stop."""

    def __init__(
        self,
        label: str,
        seed: int,
        balancer: Balancer,
        history: recorder.Recorder,
    ) -> None:
        super().__init__(name=label, daemon=True)
        self.stop_requested = threading.Event()
        self._rng = random.Random(f'{seed}-{label}')
        self._balancer = balancer
        self._history = history

    def run(self) -> None:
        count = 0
        while not self.stop_requested.is_set():
            count += 1
            self._send_request(f'{self.name}-{count}')
            self.stop_requested.wait(
                self._rng.expovariate(1.0 / MEAN_PAUSE_SECONDS)
            )

    def _send_request(self, label: str) -> None:
        idempotent = self._rng.random() < IDEMPOTENT_SHARE
        name = clusters.make_idempotency_key(label)
        padding_bytes = self._rng.randrange(MAX_PADDING_BYTES)
        numbering = self._rng.choices(
            list(AttemptNumbering), NUMBERING_WEIGHTS
        )[0]
        address: str | None = ''
        for attempt in range(1, MAX_ATTEMPTS + 1):
            # The verdict of an idempotent request covers one attempt only,
            # so the history has each attempt as a separate request.
            key = f'{name}.{attempt}' if idempotent else name
            address = self._balancer.choose(self._rng, address or '')
            if address is None:
                return
            answer = self._send_attempt(
                address, _Request(key, idempotent, padding_bytes, numbering),
                attempt
            )
            repeat = self._rng.random() < REPEAT_SHARE
            if answer.verdict == 'ran' and not repeat:
                return
            time.sleep(self._rng.uniform(0.0, 2 * MEAN_PAUSE_SECONDS))

    def _send_attempt(
        self,
        address: str,
        request: _Request,
        attempt: int,
    ) -> events.RequestAnswered:
        timeout = CLIENT_TIMEOUT_SECONDS
        if self._rng.random() < SHORT_TIMEOUT_SHARE:
            timeout = self._rng.choice(SHORT_TIMEOUTS_SECONDS)
        self._history.record(
            events.RequestSent(
                at=time.time(),
                key=request.key,
                attempt=str(attempt),
                idempotent=request.idempotent,
                daemon=self._balancer.name_by_address[address],
            )
        )
        fields = _exchange(address, request, attempt, timeout)
        answer = events.RequestAnswered(
            at=time.time(), key=request.key, attempt=str(attempt), **fields
        )
        self._history.record(answer)
        return answer


def _exchange(
    address: str,
    request: _Request,
    attempt: int,
    timeout: float,
) -> dict[str, typing.Any]:
    """Make one attempt and return its outcome as fields of RequestAnswered."""
    body = request.body()
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request('POST', PATH, body, request.headers(attempt))
        response = connection.getresponse()
        text = response.read().decode()
    except TimeoutError:
        gave_up = timeout < CLIENT_TIMEOUT_SECONDS
        return {'verdict': '', 'gave_up': gave_up, 'reason': 'timeout'}
    except (OSError, http.client.HTTPException) as error:
        return {'verdict': '', 'reason': repr(error)}
    finally:
        connection.close()
    verdict = response.getheader('nutmeg-verdict') or 'none stated'
    if response.status != 200:
        reason = json.loads(text).get('reason', '')
        return {'verdict': verdict, 'reason': reason}
    received = text.partition(':')[2]
    complete = received == body or extract_key(received) != request.key
    return {
        'verdict': verdict,
        'body': extract_key(received) or 'unknown',
        'whole': complete,
        'reason': 'replayed' if response.getheader('nutmeg-replayed') else '',
    }


__all__ = ('Balancer', 'Caller', 'CLIENT_TIMEOUT_SECONDS', 'extract_key')
