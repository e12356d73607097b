"""Decoding of documents of the platform, its operators and its workers."""
from __future__ import annotations

import logbook
import msgspec
import pytest

from nutmegworks.model import ids
from nutmegworks.platform import settings
from nutmegworks.platform import wire
from nutmegworks.tasks import configuration
from nutmegworks.tasks import spec
from nutmegworks.tasks import workers
from tests.fleet import builders
from tests import odd_documents

CONFIGURATION = {
    'version':
    7,
    'routes': [
        {
            'name': 'r1',
            'hostname': 'a.example',
            'prefix': '/plans/',
            'service': 'planner',
            'targetLatencyMs': 250,
            'priority': 0,
            'maxAttempts': 2,
            'stretch': 1.5,
            'skipAuth': False,
        },
        {
            'name': 'r2',
            'hostname': 'a.example',
            'prefix': '/plans/wide/',
            'service': 'planner',
        },
    ],
    'services': [{
        'name': 'planner'
    }],
    'limits': {
        'maxBodyBytes': 1000
    },
    'tenants':
    [{
        'name': 'north',
        'apiKeys': ['k1', 'k2'],
        'guaranteed': {
            'gpu': 32
        }
    }],
}


def _configuration() -> configuration.Configuration:
    return wire.decode_configuration(msgspec.json.encode(CONFIGURATION))


def test_configuration() -> None:
    """The benchmark would not show a wrongly decoded limit or priority."""
    decoded = _configuration()
    queue = decoded.queues_by_id[configuration.QueueId('r1')]
    assert (queue.target, queue.attempts, queue.stretch) == (0.25, 2, 1.5)
    team = decoded.team_for_key('k2')
    assert team is not None and team.guaranteed == 32
    assert decoded.team_for_key('k3') is None


def test_a_path_is_routed_by_its_longest_prefix() -> None:
    """With a shorter prefix, a job would get into another queue."""
    decoded = _configuration()
    wide = decoded.route('a.example', '/plans/wide/5c')
    assert wide is not None and wide.queue_id == 'r2'
    assert decoded.route('b.example', '/plans/5c') is None


def test_submission_with_omitted_fields() -> None:
    """Clients omit fields that are 0, false or empty."""
    body = {
        'spec':
        'text',
        'steps': [
            builders.step(4, affinity='r1-3'),
            builders.step(2, after=[0], gang=True, sameRack=True),
        ],
        'repeatCount':
        3,
        'startAtMs':
        10_000,
        'intervalMs':
        4_500,
    }
    decoded = wire.decode_submission(msgspec.json.encode(body))
    assert decoded.steps[0].data_rack == 'r1-3'
    assert decoded.steps[0].resources == spec.Resources(1000, 100, 1)
    assert decoded.steps[1].gang and decoded.steps[1].one_rack
    assert decoded.earliest_start(spec.Occurrence(2)) == 19.0


@pytest.mark.parametrize(
    'body',
    [
        b'{"steps":[]}',
        b'{"steps":[{"count":0}]}',
        b'{"steps":[{"count":1,"after":[0]}]}',
        b'[]',
        b'\xff',
    ],
)
def test_a_submission_that_can_not_run_is_rejected(body: bytes) -> None:
    """Accepting it would queue a job that never ends."""
    with pytest.raises(ValueError):
        wire.decode_submission(body)


@pytest.mark.parametrize(
    'job',
    [
        {
            'steps': [{
                'count': 1
            }]
        },
        {
            'spec':
            'x' * 4000,
            'repeatCount':
            3,
            'startAtMs':
            1_800_000_000_123,
            'intervalMs':
            1500,
            'steps': [
                {
                    'count': 8,
                    'cpu': 100,
                    'memMb': 64,
                    'gpu': 1,
                    'estimatedMs': 12.5,
                    'gang': True,
                    'sameRack': True,
                    'requirements': 'a',
                    'affinity': 'r1-1',
                    'checkpointing': True,
                },
                {
                    'count': 2,
                    'after': [0],
                    'antiAffinity': 1,
                    'allowDuplicates': True,
                    'longRunning': True,
                    'mayMiss': 1,
                },
                {
                    'count': 1,
                    'fills': True,
                    'cpu': 7
                },
            ],
        },
    ],
)
def test_a_compact_submission_is_the_same_job(job: dict[str, object]) -> None:
    """Guards against padding that reaches the store and each leader."""
    plain = msgspec.json.encode(job)
    padded = msgspec.json.encode({**job, 'unknown': 'y' * 99_000}) + b' ' * 99
    compact = wire.compact_submission(padded)
    assert len(compact) <= len(plain) + 20
    assert wire.decode_submission(compact) == wire.decode_submission(plain)


def test_limits_of_a_configuration() -> None:
    """Guards against limits of the operator that are in force nowhere."""
    document = {
        **CONFIGURATION, 'limits': {
            'maxBodyBytes': 262_144,
            'maxHeaderBytes': 0,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        }
    }
    decoded = wire.decode_configuration(msgspec.json.encode(document))
    assert decoded.max_body_bytes == 262_144
    # A limit that is not above zero would refuse every call.
    assert decoded.max_header_bytes == 16 * 1024
    assert (decoded.header_timeout, decoded.idle_timeout) == (3.0, 15.0)


@pytest.mark.parametrize(
    ('limits', 'expected'),
    [
        ({}, (200_000_000, 3900)),
        ({
            'memoryMb': 552,
            'maxFds': 8192
        }, (552_000_000, 7992)),
        ({
            'memoryMb': 0,
            'maxFds': -1
        }, (200_000_000, 3900)),
        ({
            'maxFds': 100
        }, (200_000_000, 64)),
    ],
)
def test_limits_of_the_machine(
    limits: dict[str, int], expected: tuple[int, int]
) -> None:
    """Guards against a daemon that uses more than its machine has."""
    document = {**settings_document(), 'limits': limits}
    decoded = settings.decode(msgspec.json.encode(document))
    assert (decoded.memory, decoded.max_sockets) == expected


def test_worker() -> None:
    """The rack is decoded from one of the labels."""
    document = builders.worker_document(state='draining', remainingMs=1500)
    entry = wire.decode_worker('servers/w1', msgspec.json.encode(document))
    assert entry.worker_id == ids.WorkerId('w1')
    assert entry.rack == 'r1-1'
    assert entry.state is workers.WorkerState.LEAVING
    assert entry.remaining == 1.5


@pytest.mark.parametrize(
    'change',
    [
        {
            'state': 'resting'
        },
        {
            'address': 'nowhere'
        },
        {
            'capacity': None
        },
        {
            'labels': 'a'
        },
    ],
)
def test_an_invalid_worker_entry_is_rejected(
    change: dict[str, object]
) -> None:
    """One invalid entry must not stop the reading of the others."""
    document = {**builders.worker_document(), **change}
    with pytest.raises(ValueError):
        wire.decode_worker('servers/w1', msgspec.json.encode(document))


def settings_document(**bounds: object) -> dict[str, object]:
    return {
        'nodeName': 'edge-1',
        'ip': '10.1.0.1',
        'zone': 'north',
        'bindAddrs': {
            'front': '10.1.0.1:1',
            'ready': '10.1.0.1:2',
            'control': '10.1.0.1:3'
        },
        'internalPorts': [7000, 7015],
        'platform': {
            'address': '10.9.0.1:4',
            'valueBytes': 2048
        },
        'limits': {
            'linkMbps': 10.0
        },
        'bounds': bounds,
        'news': {},
    }


def test_settings_ignore_unknown_fields() -> None:
    """The platform adds fields to the settings without notice."""
    document = settings_document(maxHoldMs=9000, status_s=60)
    decoded = settings.decode(msgspec.json.encode(document))
    assert decoded.peer_address == ('10.1.0.1', 7000)
    assert decoded.max_value == 2048
    assert decoded.link == 10.0
    assert decoded.bounds.max_lease == 9.0
    assert decoded.bounds.status_retention == 60


def test_decisions_use_the_bounds_of_the_settings() -> None:
    """Guards against decisions by the bounds of another deployment."""
    document = settings_document(stopTimeoutMs=900, reclaimMs=3400)
    bounds = settings.decode(msgspec.json.encode(document)).bounds
    assert (bounds.stop_timeout, bounds.reclaim) == (0.9, 3.4)


@pytest.mark.parametrize('value', [0, -1])
def test_bound_that_is_not_above_zero_is_replaced_and_named(
    value: int
) -> None:
    """Guards against a daemon that fails, or preempts at once, for it."""
    document = settings_document(stopTimeoutMs=value, reclaimMs=value)
    with logbook.TestHandler() as handler:
        bounds = settings.decode(msgspec.json.encode(document)).bounds
    defaults = settings.decode(msgspec.json.encode(settings_document())).bounds
    assert bounds == defaults
    assert [record.kwargs['key'] for record in handler.records
            ] == ['bounds.stopTimeoutMs', 'bounds.reclaimMs']


@pytest.mark.parametrize(
    ('field', 'raw'),
    [
        ('news', odd_documents.NESTED),
        ('internalPorts', b'[70000,7015]'),
        ('internalPorts', b'[0,7015]'),
        ('internalPorts', b'[' + odd_documents.LONG_NUMBER + b',7015]'),
        ('bindAddrs', b'{"front":"10.1.0.1:65536","ready":"10.1.0.1:2"}'),
        ('bindAddrs', b'{"front":"10.1.0.1","ready":"10.1.0.1:2"}'),
        ('platform', b'{"address":"10.9.0.1:-4"}'),
        ('platform', b'{"address":"10.9.0.1:4","minTtlMs":1e400}'),
    ],
    ids=range(8),
)
def test_odd_settings_are_not_valid(field: str, raw: bytes) -> None:
    """Guards against an exit with a traceback in place of the reason."""
    data = odd_documents.with_value(settings_document(), field, raw)
    with pytest.raises(ValueError):
        settings.decode(data)
