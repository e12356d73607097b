"""Worker entries of another writer: they name no worker to use."""
from __future__ import annotations

import pytest

from nutmegworks.platform import wire
from tests.fleet import builders
from tests import odd_documents

SEED = 32
VARIANTS = 3000

ODD_ADDRESSES = (
    '10.0.0.1:65536',
    '10.0.0.1:0',
    '10.0.0.1:-1',
    '10.0.0.1:8_0',
    '10.0.0.1: 80',
    '10.0.0.1:\u0668\u0660',
    '10.0.0.1:' + '9' * 400,
    '10.0.0.1:',
    '10.0.0.1',
    ':80',
    '',
    '[::1]:80',
    'worker.example:80',
    '10.0.0.1\x00:80',
    '10.0.0.256:80',
)

ODD_FIELDS = {
    'label in a row': ('labels', b'[["a"],5]'),
    'labels nested': ('labels', odd_documents.NESTED),
    'negative cpu': ('capacity', b'{"cpu":-1,"memMb":5,"gpu":1}'),
    'negative memory': ('capacity', b'{"cpu":1,"memMb":-5,"gpu":1}'),
    'negative gpu': ('capacity', b'{"cpu":1,"memMb":5,"gpu":-1}'),
    'cpu above a float': (
        'capacity',
        b'{"cpu":' + odd_documents.LONG_NUMBER + b',"memMb":5}',
    ),
    'memory above any host':
    ('capacity', b'{"cpu":1,"memMb":18446744073709551615}'),
    'gpu above any host':
    ('capacity', b'{"cpu":1,"memMb":5,"gpu":1000000000000}'),
    'born above a float': ('born', odd_documents.LONG_NUMBER),
    'born long after today': ('born', b'9223372036854775807'),
    'born negative': ('born', b'-1'),
    'remaining out of range': ('remainingMs', b'1e400'),
    'unknown state': ('state', b'"melted"'),
    'zone is a number': ('zone', b'5'),
    'address missing': ('address', b'null'),
}


def test_a_deeply_nested_field_is_a_decoding_error() -> None:
    """Guards against an error that ends the reader of the whole list."""
    data = odd_documents.nested(builders.worker_document())
    with pytest.raises(ValueError, match='nested'):
        wire.decode_worker('servers/w1', data)


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_an_odd_address_is_a_decoding_error(address: str) -> None:
    """Guards against connects that raise, or that wait for a name server."""
    data = odd_documents.with_value(
        builders.worker_document(), 'address', b'"' + address.encode() + b'"'
    ).replace(b'\x00', b'\\u0000')
    with pytest.raises(ValueError):
        wire.decode_worker('servers/w1', data)


@pytest.mark.parametrize('name', ODD_FIELDS)
def test_an_odd_field_is_a_decoding_error(name: str) -> None:
    """Guards against numbers that no arithmetic of the scheduler expects."""
    field, raw = ODD_FIELDS[name]
    data = odd_documents.with_value(builders.worker_document(), field, raw)
    with pytest.raises(ValueError):
        wire.decode_worker('servers/w1', data)


@pytest.mark.parametrize(
    'key', ['servers/', 'servers/a b', 'servers/\u00e9', 'servers/a\r\nb']
)
def test_an_id_that_no_header_can_carry_is_a_decoding_error(key: str) -> None:
    """Requests name the worker in a header."""
    with pytest.raises(ValueError):
        wire.decode_worker(
            key,
            odd_documents.with_value(builders.worker_document(), 'x', b'1')
        )


def test_the_largest_sound_values_are_accepted() -> None:
    """Guards against limits that keep a sound worker out."""
    data = odd_documents.with_value(
        builders.worker_document(address='255.255.255.255:65535'),
        'capacity',
        b'{"cpu":10000000,"memMb":1073741824,"gpu":10000}',
    )
    entry = wire.decode_worker('servers/w1', data)
    assert entry.address == ('255.255.255.255', 65535)
    assert entry.resources.accelerators == 10000


def test_random_odd_entries_are_decoded_or_rejected() -> None:
    """Whatever is decoded has values that the scheduler can work with."""
    accepted = 0
    document = builders.worker_document(state='draining', remainingMs=1500)
    for data in odd_documents.mutations(document, SEED, VARIANTS):
        try:
            entry = wire.decode_worker('servers/w1', data)
        except ValueError as error:
            assert len(str(error)) < 300
            continue
        accepted += 1
        assert 1 <= entry.address[1] <= 65535
        assert 0 <= entry.incarnation < 10**14
        resources = entry.resources
        for amount in (resources.cpu, resources.memory,
                       resources.accelerators):
            assert 0 <= amount < 2**53
        assert entry.remaining is None or 0 <= entry.remaining < 1e306
        assert all(isinstance(label, str) for label in entry.labels)
    # Also unknown fields are changed, which does no harm.
    assert 0 < accepted < VARIANTS / 2
