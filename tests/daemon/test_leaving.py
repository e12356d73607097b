from __future__ import annotations

import concurrent.futures
import pathlib
import signal
import time
import typing

from standins import cluster as processes

PATH = '/v1/services/round-planner/requests'
# A leaving upstream must receive no work after this time.
MAX_WORK_AFTER_LEAVING_SECONDS = 3.0
REQUEST_COUNT = 24


def _send(address: str, body: str) -> processes.Reply:
    return processes.call(
        'POST',
        address,
        PATH,
        body.encode(),
        token=processes.TEAM_TOKEN,
        headers={
            'Nutmeg-Class': 'forecast',
            'Nutmeg-Deadline-Ms': '6000',
        },
    )


def _send_many(
    address: str,
    action: typing.Callable[[], None],
) -> list[processes.Reply]:
    """Send requests concurrently; call an action while they are in flight."""
    with concurrent.futures.ThreadPoolExecutor(REQUEST_COUNT) as executor:
        futures = [
            executor.submit(_send, address, f'r{number}')
            for number in range(REQUEST_COUNT)
        ]
        time.sleep(0.2)
        action()
        return [future.result() for future in futures]


def _late_executions(
    cluster: processes.Cluster, address: str, left_at: float
) -> int:
    """Return the number of executions that started too late after leaving.

    :param left_at: when the upstream began to leave, seconds since 1970.
    """
    return sum(
        item['started'] > left_at + MAX_WORK_AFTER_LEAVING_SECONDS
        for item in cluster.executions(address)
    )


def test_leaving_while_host_list_is_down(tmp_path: pathlib.Path) -> None:
    """An upstream must get no work after leaving if the host list is down.

    The last host list that the daemon has read shows the upstream as live.
    """
    with processes.cluster(tmp_path) as cluster:
        leaving_upstream = cluster.add_upstream('leaver', slots=32)
        cluster.add_upstream('other', slots=32)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        cluster.set_faults(cluster.hosts, down=True)
        cluster.set_faults(leaving_upstream, leaving=True)
        left_at = time.time()
        while time.time() < left_at + MAX_WORK_AFTER_LEAVING_SECONDS + 1.0:
            replies = _send_many(address, lambda: None)
            assert [reply.status for reply in replies] == [200] * REQUEST_COUNT
        assert _late_executions(cluster, leaving_upstream, left_at) == 0


def test_leaving_while_daemon_is_paused(tmp_path: pathlib.Path) -> None:
    """A daemon that resumes must not use reports from before its pause.

    The upstream began to leave while the daemon was paused.
    """
    with processes.cluster(tmp_path) as cluster:
        leaving_upstream = cluster.add_upstream('leaver', slots=32)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        assert _send(address, 'warm').status == 200
        process = cluster.daemon_by_address[address]
        process.send_signal(signal.SIGSTOP)
        cluster.set_faults(leaving_upstream, leaving=True)
        left_at = time.time()
        cluster.add_upstream('other', slots=32)

        def resume() -> None:
            time.sleep(MAX_WORK_AFTER_LEAVING_SECONDS)
            process.send_signal(signal.SIGCONT)

        replies = _send_many(address, resume)
        assert [reply.status for reply in replies] == [200] * REQUEST_COUNT
        assert _late_executions(cluster, leaving_upstream, left_at) == 0


def test_leaving_while_unreachable(tmp_path: pathlib.Path) -> None:
    """An upstream that began to leave while unreachable must get no work.

    Requests are sent as soon as it is reachable again.
    """
    with processes.cluster(tmp_path) as cluster:
        leaving_upstream = cluster.add_upstream('leaver', slots=32)
        relay, control = cluster.start_relay(leaving_upstream)
        cluster.list_upstream('leaver', relay)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        assert _send(address, 'warm').status == 200
        cluster.set_faults(control, mode='cut')
        cluster.set_faults(leaving_upstream, leaving=True)
        left_at = time.time()
        time.sleep(MAX_WORK_AFTER_LEAVING_SECONDS + 0.2)
        cluster.set_faults(control, mode='pass')
        _send_many(address, lambda: cluster.add_upstream('other', slots=32))
        assert _late_executions(cluster, leaving_upstream, left_at) == 0


def test_leaving_before_it_is_listed(tmp_path: pathlib.Path) -> None:
    """An outdated host list may add an upstream that is leaving already."""
    with processes.cluster(tmp_path) as cluster:
        leaving_upstream = cluster.add_upstream(
            'leaver', service='dial-desk', slots=32
        )
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        cluster.set_faults(leaving_upstream, leaving=True)
        left_at = time.time()
        time.sleep(MAX_WORK_AFTER_LEAVING_SECONDS)
        _send_many(
            address, lambda: cluster.list_upstream('late', leaving_upstream)
        )
        assert _late_executions(cluster, leaving_upstream, left_at) == 0
