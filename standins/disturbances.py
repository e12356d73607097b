"""Puts faults in force by a seeded schedule and lifts each one again."""
from __future__ import annotations

import collections
import contextlib
import dataclasses
import json
import random
import signal
import threading
import time
import typing

from nutmegworks.history import events
from nutmegworks.history import recorder
from standins import callers
from standins import cluster as processes

MEAN_SECONDS_BETWEEN: typing.Final = 0.35
# A balancer notices a stopping daemon after this time, within its grace.
BALANCER_SECONDS: typing.Final = 0.3
STOP_SECONDS: typing.Final = 30.0
START_SECONDS: typing.Final = 20.0


@dataclasses.dataclass(frozen=True)
class Site:
    """What the schedule may disturb.

    :param control_by_relay: control addresses of relays, by name.
    :param domain_by_relay: for relays to the store: domain of its daemons.
    :param domain_by_daemon: by name of the daemon.
    :param address_by_worker: of each worker.
    """

    cluster: processes.Cluster
    balancer: callers.Balancer
    upstream_by_name: dict[str, str]
    control_by_relay: dict[str, str]
    domain_by_relay: dict[str, str]
    domain_by_daemon: dict[str, str]
    address_by_worker: dict[str, str]


class _StandInFaults:
    """The faults in force at one stand-in, which takes only whole sets."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._lock = threading.Lock()
        self._faults: dict[str, typing.Any] = {}

    def put(self, **faults: typing.Any) -> None:
        with self._lock:
            self._faults.update(faults)
            self._send()

    def lift(self, *names: str) -> None:
        with self._lock:
            for name in names:
                self._faults.pop(name, None)
            self._send()

    def _send(self) -> None:
        body = json.dumps(self._faults).encode()
        processes.call('POST', self._address, '/fault', body)


# Shares of the schedule and seconds in force, by fault and kind of target.
DAEMON_FAULTS: typing.Final = {
    'kill': (4, (0.1, 1.5)),
    'pause': (4, (0.3, 6.0)),
    'stop': (4, (0.1, 0.5)),
}
RELAY_FAULTS: typing.Final = {
    'cut': (3, (0.5, 5.0)),
    'silent': (4, (0.5, 3.0)),
}
STORE_FAULTS: typing.Final = {
    'down': (2, (0.5, 6.0)),
    'delay': (1, (0.5, 3.0)),
    'lose_answers': (3, (0.3, 2.0)),
    'drop_writes': (3, (0.3, 2.0)),
    'stale_reads': (2, (0.5, 3.0)),
    'rate': (1, (0.5, 3.0)),
}
UPSTREAM_FAULTS: typing.Final = {
    'silent': (2, (0.5, 2.0)),
    'reset_before': (2, (0.5, 2.0)),
    'reset_after': (3, (0.5, 2.0)),
    'cross': (3, (0.5, 2.0)),
    'truncate': (2, (0.5, 2.0)),
    'duplicate': (3, (0.5, 2.0)),
    'refuse': (2, (0.5, 2.0)),
    'fail': (2, (0.5, 2.0)),
    'service_seconds': (2, (0.5, 3.0)),
    'leaving': (4, (1.0, 8.0)),
}
WORKER_FAULTS: typing.Final = {
    'dead': (2, (0.5, 4.0)),
    'silent': (2, (0.5, 4.0)),
    'lose_answers': (3, (0.5, 2.0)),
    'drop_messages': (2, (0.5, 2.0)),
    'report_lag': (2, (1.0, 4.0)),
    'fail_tasks': (1, (0.3, 1.0)),
}
WORKER_VALUES: typing.Final = {
    'dead': True,
    'silent': True,
    'lose_answers': 3,
    'drop_messages': 3,
    'report_lag': 2.0,
    'fail_tasks': True,
}
HOSTS_FAULTS: typing.Final = {'down': (1, (1.0, 5.0))}
STORE_VALUES: typing.Final = {
    'down': True,
    'delay': 0.3,
    'lose_answers': 20,
    'drop_writes': 20,
    'stale_reads': 30,
    'rate': 40.0,
}
# Faults during which the store can't tell a daemon what is current.
BLINDING_STORE_FAULTS: typing.Final = ('down', 'stale_reads', 'rate')
COUNTED_UPSTREAM_FAULT: typing.Final = 5
SLOW_SECONDS: typing.Final = 1.0

_Group = tuple[int, str, list[str], dict[str, tuple[int, tuple[float, float]]]]


@dataclasses.dataclass(frozen=True)
class _Choice:
    kind: str
    target: str
    fault: str
    seconds: float


class Schedule:
    """Draws faults and applies each in a thread of its own.

    One target has at most one fault of a group at a time.
    """

    def __init__(
        self,
        site: Site,
        seed: int,
        history: recorder.Recorder,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.failures: list[str] = []
        self._site = site
        self._rng = random.Random(f'{seed}-schedule')
        self._history = history
        self._busy: set[tuple[str, str, str]] = set()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._store_faults = _StandInFaults(site.cluster.store)
        self._upstreams = {
            name: _StandInFaults(address)
            for name, address in site.upstream_by_name.items()
        }
        self._workers = {
            name: _StandInFaults(address)
            for name, address in site.address_by_worker.items()
        }
        self._groups = self._all_groups()

    def _all_groups(self) -> list[_Group]:
        """Return the share of a group, its kind, targets and faults."""
        site = self._site
        daemons = sorted(site.domain_by_daemon)
        return [
            (3, 'daemon', daemons, DAEMON_FAULTS),
            (3, 'relay', sorted(site.control_by_relay), RELAY_FAULTS),
            (3, 'store', ['store'], STORE_FAULTS),
            (6, 'upstream', sorted(site.upstream_by_name), UPSTREAM_FAULTS),
            (3, 'worker', sorted(site.address_by_worker), WORKER_FAULTS),
            (1, 'hosts', ['hosts'], HOSTS_FAULTS),
        ]

    def run(self, seconds: float) -> None:
        """Disturb for a time, then wait until every fault is lifted."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self._rng.expovariate(1.0 / MEAN_SECONDS_BETWEEN))
            self._start(self._draw())
        for thread in self._threads:
            thread.join()

    def _draw(self) -> _Choice:
        rng = self._rng
        shares = [group[0] for group in self._groups]
        _, kind, targets, faults = rng.choices(self._groups, shares)[0]
        target = rng.choice(targets)
        names = list(faults)
        weights = [faults[name][0] for name in names]
        fault = rng.choices(names, weights)[0]
        return _Choice(kind, target, fault, rng.uniform(*faults[fault][1]))

    def _start(self, choice: _Choice) -> None:
        # A process has one fault at a time; other targets may combine them.
        single = choice.kind in ('daemon', 'relay')
        slot = (choice.kind, choice.target, '' if single else choice.fault)
        with self._lock:
            if slot in self._busy:
                return
            self._busy.add(slot)
        self.counts[f'{choice.kind} {choice.fault}'] += 1
        thread = threading.Thread(
            target=self._apply, args=(slot, choice), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def _apply(self, slot: tuple[str, str, str], choice: _Choice) -> None:
        self._disturbed(choice, choice.fault)
        try:
            getattr(self, f'_{choice.kind}')(choice)
        except Exception as error:
            self.failures.append(f'{choice}: {error!r}')
        self._disturbed(choice, f'{choice.fault} lifted')
        with self._lock:
            self._busy.discard(slot)

    def _disturbed(self, choice: _Choice, fault: str) -> None:
        target = f'{choice.kind} {choice.target}'
        self._history.record(
            events.Disturbed(at=time.time(), target=target, fault=fault)
        )

    @contextlib.contextmanager
    def _impaired(
        self,
        daemons: typing.Iterable[str],
        cause: str,
    ) -> typing.Iterator[None]:
        names = list(daemons)
        for name in names:
            self._history.record(
                events.DaemonImpaired(
                    at=time.time(), daemon=name, cause=cause
                )
            )
        yield
        for name in names:
            self._history.record(
                events.DaemonRestored(
                    at=time.time(), daemon=name, cause=cause
                )
            )

    def _relay(self, choice: _Choice) -> None:
        control = self._site.control_by_relay[choice.target]
        domain = self._site.domain_by_relay.get(choice.target)
        daemons: list[str] = []
        if choice.fault == 'cut':
            daemons = [
                name for name, item in self._site.domain_by_daemon.items()
                if item == domain
            ]
        with self._impaired(daemons, f'{choice.target} cut'):
            self._site.cluster.fault(control, mode=choice.fault)
            time.sleep(choice.seconds)
            self._site.cluster.fault(control, mode='pass')

    def _store(self, choice: _Choice) -> None:
        daemons: list[str] = []
        if choice.fault in BLINDING_STORE_FAULTS:
            daemons = sorted(self._site.domain_by_daemon)
        with self._impaired(daemons, f'store {choice.fault}'):
            self._store_faults.put(
                **{choice.fault: STORE_VALUES[choice.fault]}
            )
            time.sleep(choice.seconds)
            self._store_faults.lift(choice.fault)

    def _hosts(self, choice: _Choice) -> None:
        self._site.cluster.fault(self._site.cluster.hosts, down=True)
        time.sleep(choice.seconds)
        self._site.cluster.fault(self._site.cluster.hosts, down=False)

    def _upstream(self, choice: _Choice) -> None:
        faults = self._upstreams[choice.target]
        if choice.fault == 'leaving':
            self._leave(choice, faults)
            return
        value: float = COUNTED_UPSTREAM_FAULT
        if choice.fault == 'service_seconds':
            value = SLOW_SECONDS
        faults.put(**{choice.fault: value})
        time.sleep(choice.seconds)
        faults.lift(choice.fault)

    def _worker(self, choice: _Choice) -> None:
        faults = self._workers[choice.target]
        faults.put(**{choice.fault: WORKER_VALUES[choice.fault]})
        time.sleep(choice.seconds)
        faults.lift(choice.fault)

    def _leave(self, choice: _Choice, faults: _StandInFaults) -> None:
        faults.put(leaving=True)
        self._history.record(
            events.UpstreamLeaving(at=time.time(), upstream=choice.target)
        )
        time.sleep(choice.seconds)
        self._history.record(
            events.UpstreamReturned(at=time.time(), upstream=choice.target)
        )
        faults.lift('leaving')

    def _daemon(self, choice: _Choice) -> None:
        addresses = self._site.balancer.name_by_address
        address = next(
            key for key, name in addresses.items() if name == choice.target
        )
        getattr(self, f'_{choice.fault}')(address, choice)

    def _kill(self, address: str, choice: _Choice) -> None:
        process = self._site.cluster.daemon_by_address[address]
        with self._impaired([choice.target], 'killed'):
            process.send_signal(signal.SIGKILL)
            process.wait(STOP_SECONDS)
            time.sleep(choice.seconds)
            self._restart(address)

    def _pause(self, address: str, choice: _Choice) -> None:
        process = self._site.cluster.daemon_by_address[address]
        with self._impaired([choice.target], 'paused'):
            process.send_signal(signal.SIGSTOP)
            time.sleep(choice.seconds)
            process.send_signal(signal.SIGCONT)

    def _stop(self, address: str, choice: _Choice) -> None:
        process = self._site.cluster.daemon_by_address[address]
        with self._impaired([choice.target], 'stopped'):
            process.send_signal(signal.SIGTERM)
            time.sleep(BALANCER_SECONDS)
            self._site.balancer.leave_out(address)
            code = process.wait(STOP_SECONDS)
            self._history.record(
                events.DaemonStopped(
                    at=time.time(), daemon=choice.target, exit_code=code
                )
            )
            time.sleep(choice.seconds)
            self._restart(address)
        self._site.balancer.take_back(address)

    def _restart(self, address: str) -> None:
        self._site.cluster.start_daemon(address)
        processes.wait_until(
            lambda: processes.call('GET', address, '/v1/health').status == 200,
            seconds=START_SECONDS,
            what=f'{address} starting',
        )


__all__ = ('Schedule', 'Site')
