from __future__ import annotations

import http.client
import pathlib
import signal
import threading
import time

from standins import cluster as processes

PATH = '/v1/services/round-planner/requests'
HEADERS = {
    'Authorization': f'Bearer {processes.TEAM_TOKEN}',
    'Nutmeg-Class': 'forecast',
}


class _Caller(threading.Thread):
    """Sends requests one after another, as a balancer forwards them.

    It stops when ``stop_at`` is reached, in seconds of the monotonic clock.
    """

    def __init__(self, address: str, label: str) -> None:
        super().__init__()
        self.address = address
        self.label = label
        self.stop_at = float('inf')
        self.failures: list[str] = []
        self.answer_count = 0

    def run(self) -> None:
        connection = http.client.HTTPConnection(self.address, timeout=10)
        while time.monotonic() < self.stop_at:
            body = f'{self.label}-{self.answer_count}'
            try:
                connection.request('POST', PATH, body, HEADERS)
                response = connection.getresponse()
                text = response.read().decode()
            except (OSError, http.client.HTTPException) as error:
                self.failures.append(repr(error))
                return
            if response.status != 200 or text != f'u1:{body}':
                self.failures.append(f'{response.status} {text}')
            self.answer_count += 1
            if response.getheader('connection') == 'close':
                connection.close()
        connection.close()


def test_stop_under_load_completes_all_requests(
    tmp_path: pathlib.Path
) -> None:
    """A stopping daemon must answer every request that it received.

    The callers send for 0.7 s after the stop signal, less than the grace time.
    """
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        cluster.set_faults(upstream, service_seconds=0.05)
        address = cluster.add_daemon('n1', ready=False, grace='1 s')
        cluster.configure_default()
        callers = [_Caller(address, f'c{number}') for number in range(6)]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        process = cluster.daemon_by_address[address]
        process.send_signal(signal.SIGTERM)
        for caller in callers:
            caller.stop_at = time.monotonic() + 0.7
        for caller in callers:
            caller.join()
        assert process.wait(20.0) == 0
        assert [caller.failures for caller in callers] == [[]] * 6
        assert sum(caller.answer_count for caller in callers) > 60
