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
    """Sends requests one after another as a balancer would pass them on.

    It stops using the daemon ``lag`` seconds after the stop signal.
    """

    def __init__(self, address: str, name: str) -> None:
        super().__init__()
        self.address = address
        self.label = name
        self.stop_at = float('inf')
        self.faults: list[str] = []
        self.answered = 0

    def run(self) -> None:
        connection = http.client.HTTPConnection(self.address, timeout=10)
        while time.monotonic() < self.stop_at:
            body = f'{self.label}-{self.answered}'
            try:
                connection.request('POST', PATH, body, HEADERS)
                response = connection.getresponse()
                text = response.read().decode()
            except (OSError, http.client.HTTPException) as error:
                self.faults.append(repr(error))
                return
            if response.status != 200 or text != f'u1:{body}':
                self.faults.append(f'{response.status} {text}')
            self.answered += 1
            if response.getheader('connection') == 'close':
                connection.close()
        connection.close()


def test_stop_under_load_cuts_off_no_request(tmp_path: pathlib.Path) -> None:
    """A planned stop must answer everything that was sent to it."""
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        cluster.fault(upstream, service_seconds=0.05)
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
        assert [caller.faults for caller in callers] == [[]] * 6
        assert sum(caller.answered for caller in callers) > 60
