"""Odd records of members and leaders, and odd configurations."""
from __future__ import annotations

import typing

import msgspec
import pytest

from nutmegworks.fleet import configuration_holder
from nutmegworks.fleet import interfaces
from nutmegworks.fleet import membership
from nutmegworks.model import ids
from nutmegworks.platform import wire
from nutmegworks.tasks import records
from tests.fleet import builders
from tests.fleet import memory
from tests import helpers
from tests import odd_documents
from tests.platform import test_wire


def _item(key: str, data: bytes, revision: int = 1) -> interfaces.Item:
    return interfaces.Item(key, data, ids.StoreRevision(revision))


def _changes(*items: interfaces.Item) -> interfaces.Changes:
    return interfaces.Changes(items, (), ids.StoreRevision(2))


def odd_members() -> dict[str, bytes]:
    document = {'host': '10.0.0.2', 'port': 7000, 'domain': 'north'}
    return {
        'nested': odd_documents.nested(document),
        'port': odd_documents.with_value(document, 'port', b'70000'),
        'port 0': odd_documents.with_value(document, 'port', b'0'),
        'cores': odd_documents.with_value(document, 'cores', b'-1'),
        'not JSON': b'\xff',
    }


@pytest.mark.parametrize('read', ['replace', 'apply'])
@pytest.mark.parametrize('name', odd_members())
def test_an_odd_member_record_is_no_peer(name: str, read: str) -> None:
    """Guards against a daemon that ends, or calls that raise."""

    async def main() -> None:
        own_id = ids.MemberId('host-1')
        sink = membership.MemberSink(own_id)
        control = membership.ControlSink(
            sink, builders.member(memory.MemoryStore(), peers=sink)
        )
        prefix = records.MEMBERS_PREFIX
        good = records.encode(records.Member('10.0.0.3', 7000, 'north'))
        first = [_item(f'{prefix}a', good), _item(f'{prefix}b', good)]
        await control.replace(first)
        assert len(sink.relay_peers()) == 2
        odd = _item(f'{prefix}a', odd_members()[name], 2)
        if read == 'replace':
            await control.replace([odd, first[1]])
        else:
            await control.apply(_changes(odd))
        assert list(sink.members_by_id) == ['b']

    helpers.run(main)


@pytest.mark.parametrize(
    'data',
    [
        odd_documents.nested({'member': 'a'}),
        b'{"member":"a","incarnation":"i","host":"10.0.0.2","port":70000}',
        b'',
    ],
)
def test_an_odd_leader_record_names_no_leader(data: bytes) -> None:
    """Guards against a daemon that ends when it reads the leader's key."""
    assert membership.decode_leader(_item(records.LEADER_KEY, data)) is None


def test_an_odd_configuration_leaves_the_present_one() -> None:
    """Guards against a daemon that ends when it reads a configuration."""

    async def main() -> None:
        holder = configuration_holder.ConfigurationHolder()
        decoder = wire.PlatformDecoder()
        sink = configuration_holder.ConfigurationSink(holder, decoder)
        key = wire.CONFIGURATION_KEY
        document: dict[str, typing.Any] = test_wire.CONFIGURATION
        await sink.replace([_item(key, msgspec.json.encode(document))])
        odd = odd_documents.nested({**document, 'version': 8})
        await sink.replace([_item(key, odd)])
        assert holder.value is not None and holder.value.version == 7
        newer = msgspec.json.encode({**document, 'version': 9})
        await sink.apply(_changes(_item(key, newer)))
        assert holder.value.version == 9

    helpers.run(main)
