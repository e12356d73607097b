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
    body: str,
    *,
    key: str = '',
    attempt: int = 1,
    deadline: float = 5.0,
) -> processes.Reply:
    """Send a request; it is non-idempotent if it has a key.

    :param deadline: seconds.
    """
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
        body.encode(),
        token=processes.TEAM_TOKEN,
        headers=headers,
    )


def _outcome(reply: processes.Reply) -> tuple[int, str]:
    """Return the status and the verdict of a reply."""
    return reply.status, reply.headers.get('nutmeg-verdict', '')


def _claim_keys(cluster: processes.Cluster) -> list[str]:
    path = '/v1/range?prefix=claims/'
    return [
        item['key'] for item in processes.
        decode_json(processes.call('GET', cluster.store, path))['items']
    ]


def test_unresponsive_connection_to_upstream(tmp_path: pathlib.Path) -> None:
    """A request must not fail because its idle connection stopped responding.

    The relay drops what the daemon sends on connections that are open.
    """
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        relay, control = cluster.start_relay(upstream)
        cluster.list_upstream('u1', relay)
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        assert _send(address, 'warm').status == 200
        # Affects only connections that are open at this time.
        cluster.set_faults(control, mode='silent')
        key = processes.make_idempotency_key('once')
        assert _outcome(_send(address, 'once', key=key)) == (200, 'ran')
        cluster.set_faults(control, mode='silent')
        assert _outcome(_send(address, 'again')) == (200, 'ran')


def test_unresponsive_connection_to_store(tmp_path: pathlib.Path) -> None:
    """An unresponsive connection to the store may cause one refusal at most.

    The relay drops what the daemon sends on connections that are open.
    """
    with processes.cluster(tmp_path) as cluster:
        cluster.add_upstream('u1')
        relay, control = cluster.start_relay(cluster.store)
        address = cluster.add_daemon('n1', ready=False, store=relay)
        cluster.configure_default()
        key = processes.make_idempotency_key('warm')
        assert _outcome(_send(address, 'warm', key=key)) == (200, 'ran')
        cluster.set_faults(control, mode='silent')
        started_at = time.monotonic()
        key = processes.make_idempotency_key('next')
        statuses = []
        while 200 not in statuses:
            reply = _send(address, 'next', key=key, attempt=len(statuses) + 1)
            statuses.append(reply.status)
            assert time.monotonic() - started_at < 5.0
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
    processes.wait_until(lambda: bool(_claim_keys(cluster)), what='the claim')
    return future


def test_daemon_killed_while_holding_a_claim(tmp_path: pathlib.Path) -> None:
    """A retry must not run a request that a killed daemon had already sent.

    The request runs on the upstream when the daemon that holds the claim of
    its key is killed, and the caller retries at another daemon.
    """
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        cluster.set_faults(upstream, service_seconds=1.0)
        first = cluster.add_daemon('n1', ready=False)
        second = cluster.add_daemon('n2', ready=False)
        cluster.configure_default()
        key = processes.make_idempotency_key('one')
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
    """Retry at another daemon while the daemon that holds the claim is paused.

    :param deadline: of the first attempt, in seconds.
    :param pause: seconds.
    :return: the outcomes of both attempts and the number of executions.
    """
    with processes.cluster(directory) as cluster:
        first = cluster.add_daemon('n1', ready=False)
        second = cluster.add_daemon('n2', ready=False)
        cluster.configure_default()
        key = processes.make_idempotency_key('one')
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            # The daemon holds the claim while it waits for an upstream.
            first_attempt = _start_and_claim(
                cluster, executor, first, key, deadline
            )
            cluster.daemon_by_address[first].send_signal(signal.SIGSTOP)
            upstream = cluster.add_upstream('u1')
            retry = executor.submit(
                _send, second, 'one', key=key, attempt=2, deadline=8.0
            )
            time.sleep(pause)
            cluster.daemon_by_address[first].send_signal(signal.SIGCONT)
            outcomes = [
                _outcome(first_attempt.result()),
                _outcome(retry.result())
            ]
        return outcomes, len(cluster.executions(upstream))


def test_pause_between_claim_and_send(tmp_path: pathlib.Path) -> None:
    """A retry must wait for a paused daemon that resumes before the deadline.

    The paused daemon holds the claim and sends the request after it resumes.
    """
    outcomes, executions = _pause_between_claim_and_send(
        tmp_path, deadline=8.0, pause=3.0
    )
    assert (outcomes, executions) == ([(200, 'ran'), (200, 'ran')], 1)


def test_pause_until_the_deadline(tmp_path: pathlib.Path) -> None:
    """A daemon that resumes after the deadline must not send the request.

    The retry at the other daemon may run it by then.
    """
    outcomes, executions = _pause_between_claim_and_send(
        tmp_path, deadline=2.0, pause=3.0
    )
    assert (outcomes[1], executions) == ((200, 'ran'), 1)
    assert outcomes[0][0] != 200


def _send_repeatedly(
    address: str,
    seconds: float,
    send: typing.Callable[[int], processes.Reply],
) -> list[processes.Reply]:
    """Send one request after another for the given seconds."""
    end_at = time.monotonic() + seconds
    replies = []
    while time.monotonic() < end_at:
        replies.append(send(len(replies)))
    return replies


def test_store_down_under_load(tmp_path: pathlib.Path) -> None:
    """An outage of the store must stop no idempotent request.

    The verdicts of requests with a key must stay true: new keys did not run,
    and a retry of a key that ran before is never told that it did not run.
    """
    with processes.cluster(tmp_path) as cluster:
        upstream = cluster.add_upstream('u1')
        address = cluster.add_daemon('n1', ready=False)
        cluster.configure_default()
        key = processes.make_idempotency_key('before')
        assert _send(address, 'before', key=key).status == 200
        cluster.set_faults(cluster.store, down=True)
        with concurrent.futures.ThreadPoolExecutor(3) as executor:
            idempotent = executor.submit(
                _send_repeatedly, address, OUTAGE_SECONDS,
                lambda count: _send(address, f'free-{count}')
            )
            new_keys = executor.submit(
                _send_repeatedly, address, OUTAGE_SECONDS, lambda count: _send(
                    address,
                    'first',
                    key=processes.make_idempotency_key(f'first-{count}')
                )
            )
            retries = executor.submit(
                _send_repeatedly, address, OUTAGE_SECONDS, lambda count:
                _send(address, 'before', key=key, attempt=2, deadline=1.0)
            )
        assert {_outcome(item)
                for item in idempotent.result()} == {(200, 'ran')}
        assert len(idempotent.result()) > 100
        assert {_outcome(item)
                for item in new_keys.result()} == {(503, 'did-not-run')}
        assert 'did-not-run' not in {
            _outcome(item)[1]
            for item in retries.result()
        }
        cluster.set_faults(cluster.store)
        bodies = [item['body'] for item in cluster.executions(upstream)]
        assert bodies.count(processes.encode_body(b'before')) == 1
        assert processes.encode_body(b'first') not in bodies
        after = _send(
            address, 'after', key=processes.make_idempotency_key('after')
        )
        assert after.status == 200
