from __future__ import annotations

import concurrent.futures
import pathlib
import signal
import time
import typing

from standins import cluster as processes

PATH = '/v1/services/round-planner/requests'
BOUND_SECONDS = 3.0
REQUESTS = 24


def _send(address: str, name: str) -> processes.Reply:
    return processes.call(
        'POST',
        address,
        PATH,
        name.encode(),
        token=processes.TEAM_TOKEN,
        headers={
            'Nutmeg-Class': 'forecast',
            'Nutmeg-Deadline-Ms': '6000',
        },
    )


def _send_many(
    address: str,
    between: typing.Callable[[], None],
) -> list[processes.Reply]:
    """Send requests, and do something while they are on their way."""
    with concurrent.futures.ThreadPoolExecutor(REQUESTS) as executor:
        futures = [
            executor.submit(_send, address, f'r{number}')
            for number in range(REQUESTS)
        ]
        time.sleep(0.2)
        between()
        return [future.result() for future in futures]


def _late_work(cluster: processes.Cluster, address: str, left: float) -> int:
    """Return how many requests reached an upstream after the bound."""
    return sum(
        item['started'] > left + BOUND_SECONDS
        for item in cluster.executions(address)
    )


def test_leaving_while_host_list_is_down(tmp_path: pathlib.Path) -> None:
    """The host list may say nothing, or still call the upstream live."""
    with processes.cluster(tmp_path) as cluster:
        leaver = cluster.add_upstream('leaver', slots=32)
        cluster.add_upstream('other', slots=32)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        cluster.fault(cluster.hosts, down=True)
        cluster.fault(leaver, leaving=True)
        left = time.time()
        while time.time() < left + BOUND_SECONDS + 1.0:
            replies = _send_many(address, lambda: None)
            assert [reply.status for reply in replies] == [200] * REQUESTS
        assert _late_work(cluster, leaver, left) == 0


def test_leaving_while_daemon_is_paused(tmp_path: pathlib.Path) -> None:
    """A daemon that resumes must not act on what it knew before."""
    with processes.cluster(tmp_path) as cluster:
        leaver = cluster.add_upstream('leaver', slots=32)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        assert _send(address, 'warm').status == 200
        process = cluster.daemon_by_address[address]
        process.send_signal(signal.SIGSTOP)
        cluster.fault(leaver, leaving=True)
        left = time.time()
        cluster.add_upstream('other', slots=32)

        def resume() -> None:
            time.sleep(BOUND_SECONDS)
            process.send_signal(signal.SIGCONT)

        replies = _send_many(address, resume)
        assert [reply.status for reply in replies] == [200] * REQUESTS
        assert _late_work(cluster, leaver, left) == 0


def test_leaving_while_unreachable(tmp_path: pathlib.Path) -> None:
    """An upstream left while nobody could ask it."""
    with processes.cluster(tmp_path) as cluster:
        leaver = cluster.add_upstream('leaver', slots=32)
        relay, control = cluster.start_relay(leaver)
        cluster.list_upstream('leaver', relay)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        assert _send(address, 'warm').status == 200
        cluster.fault(control, mode='cut')
        cluster.fault(leaver, leaving=True)
        left = time.time()
        time.sleep(BOUND_SECONDS + 0.2)
        cluster.fault(control, mode='pass')
        _send_many(address, lambda: cluster.add_upstream('other', slots=32))
        assert _late_work(cluster, leaver, left) == 0


def test_leaving_before_it_is_listed(tmp_path: pathlib.Path) -> None:
    """A stale host list may add an upstream that left long ago."""
    with processes.cluster(tmp_path) as cluster:
        leaver = cluster.add_upstream('leaver', service='dial-desk', slots=32)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        cluster.fault(leaver, leaving=True)
        left = time.time()
        time.sleep(BOUND_SECONDS)
        _send_many(address, lambda: cluster.list_upstream('late', leaver))
        assert _late_work(cluster, leaver, left) == 0
