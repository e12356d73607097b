"""Submissions that can be decoded but that no leader could schedule."""
from __future__ import annotations

import math

import pytest

from nutmegworks.platform import wire
from tests.fleet import builders
from tests import odd_documents

SEED = 32
VARIANTS = 3000

DOCUMENT = {
    'spec':
    'text',
    'steps': [
        builders.step(4, affinity='r1-3', antiAffinity=2),
        builders.step(2, after=[0], gang=True, sameRack=True, mayMiss=1),
    ],
    'repeatCount':
    3,
    'startAtMs':
    10_000,
    'intervalMs':
    4_500,
}

ODD_BODIES = {
    'nested': odd_documents.nested(DOCUMENT),
    'nested step':
    b'{"steps":[{"count":1,"x":' + odd_documents.NESTED + b'}]}',
    'many tasks': b'{"steps":[{"count":100000000000}]}',
    'count above a float':
    b'{"steps":[{"count":' + odd_documents.LONG_NUMBER + b'}]}',
    'many tasks in all steps': b'{"steps":[{"count":9000},{"count":9000}]}',
    'large gang': b'{"steps":[{"count":1001,"gang":true}]}',
    'many occurrences': b'{"steps":[{"count":1}],"repeatCount":1000000000}',
    'many tasks in all occurrences':
    b'{"steps":[{"count":9000}],"repeatCount":9000}',
    'estimate': b'{"steps":[{"count":1,"estimatedMs":1e308}]}',
    'estimate above a float': b'{"steps":[{"count":1,"estimatedMs":1e400}]}',
    'negative estimate': b'{"steps":[{"count":1,"estimatedMs":-1}]}',
    'negative cpu': b'{"steps":[{"count":1,"cpu":-1000}]}',
    'negative memory': b'{"steps":[{"count":1,"memMb":-1}]}',
    'negative gpu': b'{"steps":[{"count":1,"gpu":-8}]}',
    'cpu above any host':
    b'{"steps":[{"count":1,"cpu":18446744073709551615}]}',
    'negative limit on a worker': b'{"steps":[{"count":1,"antiAffinity":-1}]}',
    'negative limit of absent tasks': b'{"steps":[{"count":1,"mayMiss":-1}]}',
    'start': b'{"steps":[{"count":1}],"repeatCount":1,"startAtMs":1e308}',
    'negative start':
    b'{"steps":[{"count":1}],"repeatCount":1,"startAtMs":-5}',
    'interval': b'{"steps":[{"count":1}],"repeatCount":2,"intervalMs":1e308}',
    'negative interval':
    b'{"steps":[{"count":1}],"repeatCount":2,"intervalMs":-1}',
    'negative repetitions': b'{"steps":[{"count":1}],"repeatCount":-1}',
    'long spec': b'{"steps":[{"count":1}],"spec":"' + b'a' * 4001 + b'"}',
}


@pytest.mark.parametrize('name', ODD_BODIES)
def test_an_odd_submission_is_rejected(name: str) -> None:
    """Guards against an accepted job that stops the planning of all jobs."""
    with pytest.raises(ValueError):
        wire.decode_submission(ODD_BODIES[name])


def test_the_largest_sound_values_are_accepted() -> None:
    """Guards against limits that keep a sound job out."""
    body = (
        b'{"spec":"' + b'a' * 4000 + b'","repeatCount":10,"steps":['
        b'{"count":10000,"cpu":10000000,"estimatedMs":31536000000}]}'
    )
    decoded = wire.decode_submission(body)
    assert decoded.steps[0].count == 10_000
    assert decoded.occurrences == 10


def test_random_odd_submissions_are_decoded_or_rejected() -> None:
    """Whatever is decoded has values that the scheduler can work with."""
    accepted = 0
    for data in odd_documents.mutations(DOCUMENT, SEED, VARIANTS):
        try:
            decoded = wire.decode_submission(data)
        except ValueError as error:
            assert len(str(error)) < 300
            continue
        accepted += 1
        tasks = decoded.occurrences * sum(step.count for step in decoded.steps)
        assert 1 <= tasks <= 100_000
        for step in decoded.steps:
            amounts = step.resources
            assert min(amounts.cpu, amounts.memory, amounts.accelerators) >= 0
            assert 0 <= step.estimate < 1e10
            assert step.max_per_worker >= 0
        last = decoded.earliest_start(decoded.occurrences - 1)
        assert math.isfinite(last) and last >= 0
    assert 0 < accepted < VARIANTS / 2
