"""Decides which daemon owns a scheduling shard.

The owner keeps changing the record ``owners/<shard>`` by compare-and-swap. A
contender that sees the same revision for a whole lease writes itself with a
higher fencing token. The record is not bound to a lease of the store, because
its deletion would lose the token.

Clocks decide only when a contender tries. Two daemons may both believe that
they own a shard, but never with the same token, and workers obey only the
higher one.
"""
from __future__ import annotations

import time
import typing
import uuid

import curio
import logbook
import msgspec
import result

from nutmegworks.adapters import cas
from nutmegworks.adapters import store
from nutmegworks.model import ids

PREFIX: typing.Final = 'owners/'
LEASE_SECONDS: typing.Final = 6.0
RENEW_INTERVAL_SECONDS: typing.Final = 2.0
# Reads further apart than this prove nothing about the time between them,
# in which the store may have been down for the owner too.
MAX_GAP_SECONDS: typing.Final = 2 * RENEW_INTERVAL_SECONDS

_log = logbook.Logger(__name__)

OnChange = typing.Callable[
    [ids.FencingToken | None],
    typing.Awaitable[None],
]


class OwnerRecord(msgspec.Struct, frozen=True):
    """Who owns a shard.

    :param owner_id: empty if the last owner gave the shard up.
    :param fencing_token: rises at every change of owner.
    :param claim_id: unique to the claim; renewals keep it.
    :param renewals: makes every renewal a new value.
    """

    owner_id: ids.MemberId
    fencing_token: ids.FencingToken
    claim_id: str
    renewals: int = 0


_NOBODY: typing.Final = OwnerRecord(ids.MemberId(''), ids.FencingToken(0), '')


def _new_id() -> str:
    return uuid.uuid4().hex


class ShardClaim:
    """One daemon's part in the ownership of one shard.

    :param clock: seconds, monotonic.
    :param may_claim: whether this daemon contends at present.
    """

    def __init__(
        self,
        store_client: store.Store,
        shard_id: ids.ShardId,
        member_id: ids.MemberId,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
        new_id: typing.Callable[[], str] = _new_id,
        may_claim: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store_client
        self._key = PREFIX + shard_id
        self._member_id = member_id
        self._clock = clock
        self._new_id = new_id
        self._may_claim = may_claim
        self._record = _NOBODY
        self._revision = store.ABSENT
        self._claim_id = ''
        # When the present revision was first and last read.
        self._first_seen: float | None = None
        self._last_seen: float | None = None
        self.token: ids.FencingToken | None = None

    @property
    def owner_id(self) -> ids.MemberId:
        """The owner as last read; empty if unknown."""
        return self._record.owner_id

    async def run(
        self,
        on_change: OnChange,
        *,
        interval: float = RENEW_INTERVAL_SECONDS,
    ) -> None:
        """Contend for the shard until cancelled.

        :param on_change: told of the token when it changes.
        :param interval: seconds.
        """
        known: ids.FencingToken | None = None
        while True:
            await self.step()
            if self.token != known:
                known = self.token
                await on_change(known)
            await curio.sleep(interval)

    async def step(self) -> None:
        """Renew if this daemon owns the shard, otherwise contend for it."""
        if self.token is not None:
            await self.renew()
            return
        if await self.observe() and self._is_vacant() and self._may_claim():
            await self.claim()

    async def observe(self) -> bool:
        """Read the record and note what it says.

        :return: whether the read succeeded and was not stale.
        """
        answer = await self._store.get(self._key)
        if isinstance(answer, result.Err):
            return False
        entry = answer.ok_value
        revision = store.ABSENT if entry is None else entry.revision
        if revision < self._revision:
            return False
        record = _NOBODY
        if entry is not None:
            record = msgspec.msgpack.decode(
                entry.value or b'',
                type=OwnerRecord,
            )
        self._note(record, revision)
        return True

    def _note(
        self,
        record: OwnerRecord,
        revision: ids.StoreRevision,
    ) -> None:
        now = self._clock()
        gap = now - (self._last_seen or now)
        fresh = self._first_seen is None or gap > MAX_GAP_SECONDS
        if fresh or revision != self._revision:
            self._first_seen = now
        self._last_seen = now
        self._record = record
        self._revision = revision
        if self._claim_id and record.claim_id == self._claim_id:
            # Also the case of a claim whose response was lost.
            self.token = record.fencing_token
        elif self.token is not None:
            self.step_down()

    def _is_vacant(self) -> bool:
        if self.token is not None:
            return False
        if not self._record.owner_id:
            return True
        seen_for = self._clock() - (self._first_seen or self._clock())
        return seen_for >= LEASE_SECONDS

    async def claim(self) -> None:
        """Write this daemon as the owner with the next fencing token."""
        record = OwnerRecord(
            self._member_id,
            ids.FencingToken(self._record.fencing_token + 1),
            self._new_id(),
        )
        # Kept even if the outcome stays open: a later read tells.
        self._claim_id = record.claim_id
        answer = await self._put(record)
        if isinstance(answer, result.Ok):
            self._note(record, answer.ok_value)
            _log.info('{} owned, token {}', self._key, record.fencing_token)

    async def renew(self) -> None:
        """Change the record so that contenders see a live owner.

        An owner that cannot reach the store stays the owner, since nobody
        else can reach it to take over, or else workers reject this owner.
        """
        record = msgspec.structs.replace(
            self._record,
            renewals=self._record.renewals + 1,
        )
        answer = await self._put(record)
        if isinstance(answer, result.Ok):
            self._note(record, answer.ok_value)
        elif answer.err_value.fault is store.StoreFault.CONFLICT:
            await self.observe()

    async def release(self) -> None:
        """Give the shard up so that another daemon takes it at once."""
        if self.token is None:
            return
        record = msgspec.structs.replace(
            self._record,
            owner_id=ids.MemberId(''),
            claim_id=self._new_id(),
        )
        self.step_down()
        await self._put(record)

    def step_down(self) -> None:
        """Stop being the owner, also when a worker knows a newer one."""
        _log.info('{} given up, token {}', self._key, self.token)
        self.token = None
        self._claim_id = ''

    async def _put(
        self,
        record: OwnerRecord,
    ) -> result.Result[ids.StoreRevision, store.StoreError]:

        def is_own(value: bytes) -> bool:
            stored = msgspec.msgpack.decode(value, type=OwnerRecord)
            return stored.claim_id == record.claim_id

        return await cas.put(
            self._store,
            self._key,
            msgspec.msgpack.encode(record),
            expected=self._revision,
            is_own=is_own,
        )


__all__ = (
    'LEASE_SECONDS',
    'MAX_GAP_SECONDS',
    'OwnerRecord',
    'PREFIX',
    'RENEW_INTERVAL_SECONDS',
    'ShardClaim',
)
