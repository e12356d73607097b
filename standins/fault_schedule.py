"""Injects faults by a seeded schedule and removes each one again."""
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
from standins import cluster as clusters

MEAN_FAULT_INTERVAL_SECONDS: typing.Final = 0.35
# Delay until the balancer excludes a stopping daemon; shorter than the
# daemon's grace period.
BALANCER_DELAY_SECONDS: typing.Final = 0.3
STOP_TIMEOUT_SECONDS: typing.Final = 30.0
START_TIMEOUT_SECONDS: typing.Final = 20.0


@dataclasses.dataclass(frozen=True)
class FaultTargets:
    """The parts of a cluster into which faults are injected.

    :param control_by_relay: control address of each relay.
    :param domain_by_relay: domain of the daemons behind a relay to the store.
    :param domain_by_daemon: domain of each daemon.
    :param address_by_worker: address of each worker.
    """

    cluster: clusters.Cluster
    balancer: callers.Balancer
    upstream_by_name: dict[str, str]
    control_by_relay: dict[str, str]
    domain_by_relay: dict[str, str]
    domain_by_daemon: dict[str, str]
    address_by_worker: dict[str, str]


class _ActiveFaults:
    """The active faults of one stand-in, which accepts only a complete set."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._lock = threading.Lock()
        self._faults: dict[str, typing.Any] = {}

    def activate(self, **faults: typing.Any) -> None:
        with self._lock:
            self._faults.update(faults)
            self._send()

    def deactivate(self, *names: str) -> None:
        with self._lock:
            for name in names:
                self._faults.pop(name, None)
            self._send()

    def _send(self) -> None:
        body = json.dumps(self._faults).encode()
        clusters.call('POST', self._address, '/fault', body)


# By fault: its weight in the draw and the range of its duration in seconds.
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
# By fault: the value that activates it.
WORKER_VALUES: typing.Final = {
    'dead': True,
    'silent': True,
    'lose_answers': 3,
    'drop_messages': 3,
    'report_lag': 2.0,
    'fail_tasks': True,
}
HOSTS_FAULTS: typing.Final = {'down': (1, (1.0, 5.0))}
# By fault: the value that activates it.
STORE_VALUES: typing.Final = {
    'down': True,
    'delay': 0.3,
    'lose_answers': 20,
    'drop_writes': 20,
    'stale_reads': 30,
    'rate': 40.0,
}
# Faults during which a daemon can't read the current state from the store, so
# that it is recorded as impaired.
IMPAIRING_STORE_FAULTS: typing.Final = ('down', 'stale_reads', 'rate')
# Requests that one fault of an upstream affects.
UPSTREAM_FAULT_COUNT: typing.Final = 5
SLOW_SERVICE_SECONDS: typing.Final = 1.0

_Group = tuple[int, str, list[str], dict[str, tuple[int, tuple[float, float]]]]


@dataclasses.dataclass(frozen=True)
class _Choice:
    kind: str
    target: str
    fault: str
    seconds: float


class FaultSchedule:
    """Draws faults and applies each in a separate thread.

    A daemon or relay has at most one fault at a time; another target may
    have several different ones.
    """

    def __init__(
        self,
        targets: FaultTargets,
        seed: int,
        history: recorder.Recorder,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.failures: list[str] = []
        self._targets = targets
        self._rng = random.Random(f'{seed}-schedule')
        self._history = history
        self._active_slots: set[tuple[str, str, str]] = set()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._store_faults = _ActiveFaults(targets.cluster.store)
        self._upstreams = {
            name: _ActiveFaults(address)
            for name, address in targets.upstream_by_name.items()
        }
        self._workers = {
            name: _ActiveFaults(address)
            for name, address in targets.address_by_worker.items()
        }
        self._groups = self._list_groups()

    def _list_groups(self) -> list[_Group]:
        """Return weight, kind, targets and faults of each group of targets."""
        targets = self._targets
        daemons = sorted(targets.domain_by_daemon)
        return [
            (3, 'daemon', daemons, DAEMON_FAULTS),
            (3, 'relay', sorted(targets.control_by_relay), RELAY_FAULTS),
            (3, 'store', ['store'], STORE_FAULTS),
            (6, 'upstream', sorted(targets.upstream_by_name), UPSTREAM_FAULTS),
            (3, 'worker', sorted(targets.address_by_worker), WORKER_FAULTS),
            (1, 'hosts', ['hosts'], HOSTS_FAULTS),
        ]

    def run(self, seconds: float) -> None:
        """Inject faults for some seconds, then wait until all are removed."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            time.sleep(
                self._rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_SECONDS)
            )
            self._start(self._draw())
        for thread in self._threads:
            thread.join()

    def _draw(self) -> _Choice:
        rng = self._rng
        group_weights = [group[0] for group in self._groups]
        _, kind, targets, faults = rng.choices(self._groups, group_weights)[0]
        target = rng.choice(targets)
        names = list(faults)
        weights = [faults[name][0] for name in names]
        fault = rng.choices(names, weights)[0]
        return _Choice(kind, target, fault, rng.uniform(*faults[fault][1]))

    def _start(self, choice: _Choice) -> None:
        # A daemon or relay has one fault at a time; other targets may combine
        # several.
        exclusive = choice.kind in ('daemon', 'relay')
        slot = (choice.kind, choice.target, '' if exclusive else choice.fault)
        with self._lock:
            if slot in self._active_slots:
                return
            self._active_slots.add(slot)
        self.counts[f'{choice.kind} {choice.fault}'] += 1
        thread = threading.Thread(
            target=self._apply, args=(slot, choice), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def _apply(self, slot: tuple[str, str, str], choice: _Choice) -> None:
        self._record_fault(choice, choice.fault)
        try:
            getattr(self, f'_{choice.kind}')(choice)
        except Exception as error:
            self.failures.append(f'{choice}: {error!r}')
        self._record_fault(choice, f'{choice.fault} lifted')
        with self._lock:
            self._active_slots.discard(slot)

    def _record_fault(self, choice: _Choice, fault: str) -> None:
        target = f'{choice.kind} {choice.target}'
        self._history.record(
            events.FaultChanged(at=time.time(), target=target, fault=fault)
        )

    @contextlib.contextmanager
    def _recorded_impairment(
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
        control = self._targets.control_by_relay[choice.target]
        domain = self._targets.domain_by_relay.get(choice.target)
        daemons: list[str] = []
        if choice.fault == 'cut':
            daemons = [
                name for name, item in self._targets.domain_by_daemon.items()
                if item == domain
            ]
        with self._recorded_impairment(daemons, f'{choice.target} cut'):
            self._targets.cluster.set_faults(control, mode=choice.fault)
            time.sleep(choice.seconds)
            self._targets.cluster.set_faults(control, mode='pass')

    def _store(self, choice: _Choice) -> None:
        daemons: list[str] = []
        if choice.fault in IMPAIRING_STORE_FAULTS:
            daemons = sorted(self._targets.domain_by_daemon)
        with self._recorded_impairment(daemons, f'store {choice.fault}'):
            self._store_faults.activate(
                **{choice.fault: STORE_VALUES[choice.fault]}
            )
            time.sleep(choice.seconds)
            self._store_faults.deactivate(choice.fault)

    def _hosts(self, choice: _Choice) -> None:
        self._targets.cluster.set_faults(
            self._targets.cluster.hosts, down=True
        )
        time.sleep(choice.seconds)
        self._targets.cluster.set_faults(
            self._targets.cluster.hosts, down=False
        )

    def _upstream(self, choice: _Choice) -> None:
        faults = self._upstreams[choice.target]
        if choice.fault == 'leaving':
            self._leave(choice, faults)
            return
        value: float = UPSTREAM_FAULT_COUNT
        if choice.fault == 'service_seconds':
            value = SLOW_SERVICE_SECONDS
        faults.activate(**{choice.fault: value})
        time.sleep(choice.seconds)
        faults.deactivate(choice.fault)

    def _worker(self, choice: _Choice) -> None:
        faults = self._workers[choice.target]
        faults.activate(**{choice.fault: WORKER_VALUES[choice.fault]})
        time.sleep(choice.seconds)
        faults.deactivate(choice.fault)

    def _leave(self, choice: _Choice, faults: _ActiveFaults) -> None:
        faults.activate(leaving=True)
        self._history.record(
            events.UpstreamLeaving(at=time.time(), upstream=choice.target)
        )
        time.sleep(choice.seconds)
        self._history.record(
            events.UpstreamReturned(at=time.time(), upstream=choice.target)
        )
        faults.deactivate('leaving')

    def _daemon(self, choice: _Choice) -> None:
        addresses = self._targets.balancer.name_by_address
        address = next(
            key for key, name in addresses.items() if name == choice.target
        )
        getattr(self, f'_{choice.fault}')(address, choice)

    def _kill(self, address: str, choice: _Choice) -> None:
        process = self._targets.cluster.daemon_by_address[address]
        with self._recorded_impairment([choice.target], 'killed'):
            process.send_signal(signal.SIGKILL)
            process.wait(STOP_TIMEOUT_SECONDS)
            time.sleep(choice.seconds)
            self._restart(address)

    def _pause(self, address: str, choice: _Choice) -> None:
        process = self._targets.cluster.daemon_by_address[address]
        with self._recorded_impairment([choice.target], 'paused'):
            process.send_signal(signal.SIGSTOP)
            time.sleep(choice.seconds)
            process.send_signal(signal.SIGCONT)

    def _stop(self, address: str, choice: _Choice) -> None:
        process = self._targets.cluster.daemon_by_address[address]
        with self._recorded_impairment([choice.target], 'stopped'):
            process.send_signal(signal.SIGTERM)
            time.sleep(BALANCER_DELAY_SECONDS)
            self._targets.balancer.exclude(address)
            code = process.wait(STOP_TIMEOUT_SECONDS)
            self._history.record(
                events.DaemonStopped(
                    at=time.time(), daemon=choice.target, exit_code=code
                )
            )
            time.sleep(choice.seconds)
            self._restart(address)
        self._targets.balancer.include(address)

    def _restart(self, address: str) -> None:
        self._targets.cluster.start_daemon(address)
        clusters.wait_until(
            lambda: clusters.call('GET', address, '/v1/health').status == 200,
            seconds=START_TIMEOUT_SECONDS,
            what=f'{address} starting',
        )


__all__ = ('FaultSchedule', 'FaultTargets')
