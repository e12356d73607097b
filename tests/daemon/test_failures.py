from __future__ import annotations

import concurrent.futures
import pathlib
import signal
import time
import typing

from standins import cluster as processes

PATH = '/v1/services/round-planner/requests'
OUTAGE_SECONDS = 10.0


def _send(
    address: str,
    name: str,
    *,
    key: str = '',
    attempt: int = 1,
    deadline: float = 5.0,
) -> processes.Reply:
    """Send a request, non-idempotent if it has a key."""
    headers = {
        'Nutmeg-Class': 'plan' if key else 'forecast',
        'Nutmeg-Deadline-Ms': str(int(deadline * 1000)),
    }
    if key:
        headers['Idempotency-Key'] = key
        headers['Nutmeg-Attempt'] = str(attempt)
    return processes.call(
        'POST',
        address,
        PATH,
        name.encode(),
        token=processes.TEAM_TOKEN,
        headers=headers,
    )


def _outcome(reply: processes.Reply) -> tuple[int, str]:
    return reply.status, reply.headers.get('nutmeg-verdict', '')


def _claims(cluster: processes.Cluster) -> list[str]:
    path = '/v1/range?prefix=claims/'
    return [
        item['key'] for item in
        processes.json_of(processes.call('GET', cluster.store, path))['items']
    ]


def test_silent_connection_to_upstream(tmp_path: pathlib.Path) -> None:
    """An idle connection that swallows a request must not cost it."""
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        relay, control = cluster.start_relay(upstream)
        cluster.list_upstream('u1', relay)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        assert _send(address, 'warm').status == 200
        # Only connections that are open at this moment go silent.
        cluster.fault(control, mode='silent')
        key = processes.key('once')
        assert _outcome(_send(address, 'once', key=key)) == (200, 'ran')
        cluster.fault(control, mode='silent')
        assert _outcome(_send(address, 'again')) == (200, 'ran')


def test_silent_connection_to_store(tmp_path: pathlib.Path) -> None:
    """A silent connection to the store may cost one refusal, no more."""
    with processes.cluster(tmp_path) as cluster:
        cluster.add_upstream('u1')
        relay, control = cluster.start_relay(cluster.store)
        address = cluster.add_daemon('n1', ready=False, store=relay)
        cluster.configure_default()
        key = processes.key('warm')
        assert _outcome(_send(address, 'warm', key=key)) == (200, 'ran')
        cluster.fault(control, mode='silent')
        started = time.monotonic()
        key = processes.key('next')
        statuses = []
        while 200 not in statuses:
            reply = _send(address, 'next', key=key, attempt=len(statuses) + 1)
            statuses.append(reply.status)
            assert time.monotonic() - started < 5.0
        assert len(statuses) <= 2


def _start_and_claim(
    cluster: processes.Cluster,
    executor: concurrent.futures.Executor,
    address: str,
    key: str,
    deadline: float,
) -> concurrent.futures.Future[processes.Reply]:
    """Send a request and wait until its key is claimed."""
    future = executor.submit(_send, address, 'one', key=key, deadline=deadline)
    processes.wait_until(lambda: bool(_claims(cluster)), what='the claim')
    return future


def test_killed_daemon_holds_a_claim(tmp_path: pathlib.Path) -> None:
    """A retry elsewhere must not run what the dead daemon has sent."""
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        cluster.fault(upstream, service_seconds=1.0)
        first = cluster.add_daemon('n1', ready=False)
        second = cluster.add_daemon('n2', ready=False)
        cluster.configure_default()
        key = processes.key('one')
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = _start_and_claim(cluster, executor, first, key, 5.0)
            processes.wait_until(
                lambda: bool(cluster.executions(upstream)), what='running'
            )
            cluster.daemon_by_address[first].kill()
            assert isinstance(future.exception(), OSError)
        reply = _send(second, 'one', key=key, attempt=2, deadline=2.0)
        assert _outcome(reply) == (409, 'may-have-run')
        assert len(cluster.executions(upstream)) == 1


def _pause_between_claim_and_send(
    directory: pathlib.Path,
    *,
    deadline: float,
    pause: float,
) -> tuple[list[tuple[int, str]], int]:
    """Retry elsewhere while the daemon with the claim is paused.

    :return: both outcomes and how often the request ran.
    """
    with processes.cluster(directory) as cluster:
        first = cluster.add_daemon('n1', ready=False)
        second = cluster.add_daemon('n2', ready=False)
        cluster.configure_default()
        key = processes.key('one')
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            # The daemon holds the claim while it waits for an upstream.
            one = _start_and_claim(cluster, executor, first, key, deadline)
            cluster.daemon_by_address[first].send_signal(signal.SIGSTOP)
            upstream = cluster.add_upstream('u1')
            two = executor.submit(
                _send, second, 'one', key=key, attempt=2, deadline=8.0
            )
            time.sleep(pause)
            cluster.daemon_by_address[first].send_signal(signal.SIGCONT)
            outcomes = [_outcome(one.result()), _outcome(two.result())]
        return outcomes, len(cluster.executions(upstream))


def test_pause_between_claim_and_send(tmp_path: pathlib.Path) -> None:
    """The paused daemon still sends; the retry must wait for it."""
    outcomes, ran = _pause_between_claim_and_send(
        tmp_path, deadline=8.0, pause=3.0
    )
    assert (outcomes, ran) == ([(200, 'ran'), (200, 'ran')], 1)


def test_pause_until_the_deadline(tmp_path: pathlib.Path) -> None:
    """The paused daemon must not send late what the retry may run."""
    outcomes, ran = _pause_between_claim_and_send(
        tmp_path, deadline=2.0, pause=3.0
    )
    assert (outcomes[1], ran) == ((200, 'ran'), 1)
    assert outcomes[0][0] != 200


def _load(
    address: str,
    seconds: float,
    send: typing.Callable[[int], processes.Reply],
) -> list[processes.Reply]:
    """Send one request after another for a time."""
    end = time.monotonic() + seconds
    replies = []
    while time.monotonic() < end:
        replies.append(send(len(replies)))
    return replies


def test_store_down_under_load(tmp_path: pathlib.Path) -> None:
    """An outage must stop no idempotent request and falsify no verdict."""
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        key = processes.key('before')
        assert _send(address, 'before', key=key).status == 200
        cluster.fault(cluster.store, down=True)
        with concurrent.futures.ThreadPoolExecutor(3) as executor:
            free = executor.submit(
                _load, address, OUTAGE_SECONDS,
                lambda count: _send(address, f'free-{count}')
            )
            first = executor.submit(
                _load, address, OUTAGE_SECONDS, lambda count:
                _send(address, 'first', key=processes.key(f'first-{count}'))
            )
            again = executor.submit(
                _load, address, OUTAGE_SECONDS, lambda count:
                _send(address, 'before', key=key, attempt=2, deadline=1.0)
            )
        assert {_outcome(item) for item in free.result()} == {(200, 'ran')}
        assert len(free.result()) > 100
        assert {_outcome(item)
                for item in first.result()} == {(503, 'did-not-run')}
        assert 'did-not-run' not in {
            _outcome(item)[1]
            for item in again.result()
        }
        cluster.fault(cluster.store)
        bodies = [item['body'] for item in cluster.executions(upstream)]
        assert bodies.count(processes.encoded(b'before')) == 1
        assert processes.encoded(b'first') not in bodies
        after = _send(address, 'after', key=processes.key('after'))
        assert after.status == 200
