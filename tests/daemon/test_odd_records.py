from __future__ import annotations

import zlib

import curio
import msgspec
import pytest

from nutmegworks.accounting import ledger
from nutmegworks.adapters import httpstore
from nutmegworks.adapters import store
from nutmegworks.claims import batcher
from nutmegworks.claims import key
from nutmegworks.claims import record
from nutmegworks.configuration import change
from nutmegworks.configuration import document
from nutmegworks.configuration import reader
from nutmegworks.configuration import records
from nutmegworks.configuration import repository
from nutmegworks.daemon import accounts
from nutmegworks.membership import ownership
from nutmegworks.model import ids
from standins import store as stand_in
from tests.claims import operations
from tests import helpers
from tests import memory_store

SHARD = ids.ShardId('amman-north')
NESTED = b'\x91' * 100_000
DAMAGED = [b'', b'damaged', NESTED, zlib.compress(NESTED)]


@pytest.mark.parametrize('value', [*DAMAGED, b'\x81\xa1x' + NESTED])
def test_damaged_owner_record_ends_no_contender(value: bytes) -> None:
    """Each daemon reads the record and would end on it."""

    async def main() -> None:
        backend = memory_store.MemoryStore()
        await backend.put(
            ownership.OWNER_PREFIX + SHARD, value, expected=store.ABSENT
        )
        claim = ownership.ShardClaim(backend, SHARD, ids.MemberId('n1'))
        await claim.step()
        assert claim.token is None

    helpers.run(main)


@pytest.mark.parametrize('value', DAMAGED)
def test_damaged_account_is_kept_and_a_new_one_started(value: bytes) -> None:
    """The owner must run the shard, and the report must show the others."""

    async def main() -> None:
        fake = stand_in.StoreStandIn()
        async with helpers.serving(fake.handle) as address:
            backend = httpstore.HttpStore(address)
            account_store = accounts.AccountStore(backend)
            name = accounts.STATE_PREFIX + SHARD
            await backend.put(name, value, expected=store.ABSENT)
            loaded = (await account_store.load(SHARD, 1000)).ok_value
            assert isinstance(loaded, ledger.Ledger)
            kept = await backend.range(accounts.DAMAGED_PREFIX)
            assert [item.value for item in kept.ok_value.entries] == [value]
            assert (await account_store.load_report(2000)).is_ok()

    helpers.run(main)


@pytest.mark.parametrize('value', [*DAMAGED, b'\x94\x01\x00\x80' + NESTED])
def test_damaged_claim_record_refuses_its_keys_only(value: bytes) -> None:
    """One damaged record must not end the claims of the daemon."""

    async def main() -> None:
        backend = memory_store.MemoryStore()
        slot = operations.EPOCH % key.EPOCH_SLOTS
        await backend.put(
            key.record_key(0, slot), value, expected=store.ABSENT
        )
        shard = batcher.Batcher(backend, 0)
        task = await curio.spawn(shard.run)
        for epoch, status in (
            (operations.EPOCH, record.Status.STORE_UNAVAILABLE),
            (operations.EPOCH + 1, record.Status.GRANTED),
        ):
            reply = await shard.submit(
                operations.claim_operation(epoch=epoch), timeout=1.0
            )
            assert reply.status is status
        await task.cancel()

    helpers.run(main)


@pytest.mark.parametrize(
    'value', [*DAMAGED, zlib.compress(b'\x94\x00\x90\x90' + NESTED)]
)
def test_damaged_configuration_is_unavailable(value: bytes) -> None:
    """A head or snapshot that can't be read must not end its readers."""

    async def main() -> None:
        backend = memory_store.MemoryStore()
        await backend.put(records.HEAD_KEY, value, expected=store.ABSENT)
        assert (await reader.Reader(backend).head()).is_err()

    helpers.run(main)


def test_changes_that_do_not_apply_are_unavailable() -> None:
    """A head whose changes contradict each other must not end its readers."""

    async def main() -> None:
        operation = change.RemoveTeam('north')
        accepted = change.AcceptedChange(
            ids.ConfigSequence(1), change.Change('c', 'eva', 0, (operation, ))
        )
        head = records.Head(ids.ConfigSequence(1), (accepted, ))
        backend = memory_store.MemoryStore()
        await backend.put(
            records.HEAD_KEY, document.encode(head), expected=store.ABSENT
        )
        assert (await reader.Reader(backend).document(head)).is_err()
        stored = repository.Repository(backend, rng=None)
        assert (await stored.load()).is_err()

    helpers.run(main)


def test_nested_messages_are_damaged() -> None:
    """Also values within a snapshot must not raise RecursionError."""
    raw = msgspec.msgpack.encode([1, {'teams': {}, 'classes': {'c': 0}}])
    nested = raw.replace(b'\xa1c\x00', b'\xa1c' + NESTED)
    with pytest.raises(document.DocumentError):
        reader.snapshot_decoding.decode_snapshot(zlib.compress(nested))
