"""Elects the daemon that owns a scheduling shard.

The owner renews the record ``owners/<shard>`` by compare-and-swap. A contender
that reads the same revision for ``LEASE_SECONDS`` writes itself as the owner
with a higher fencing token. The record is not attached to a lease of the
store, because its deletion would lose the token.

Clocks only decide when a contender tries. Two daemons may both act as the
owner of a shard, but never with the same token, and workers accept only the
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
from nutmegworks.model import decoding
from nutmegworks.model import ids

OWNER_PREFIX: typing.Final = 'owners/'
LEASE_SECONDS: typing.Final = 6.0
RENEW_INTERVAL_SECONDS: typing.Final = 2.0
# A longer gap between two reads restarts the contender's lease timeout: the
# store may have been down for the owner too.
MAX_GAP_SECONDS: typing.Final = 2 * RENEW_INTERVAL_SECONDS

_log = logbook.Logger(__name__)

OnChange = typing.Callable[
    [ids.FencingToken | None],
    typing.Awaitable[None],
]


class OwnerRecord(msgspec.Struct, frozen=True):
    """The ownership record of a shard.

    :param owner_id: empty if the last owner released the shard.
    :param fencing_token: increases at every change of owner.
    :param claim_id: unique to the claim; renewals keep it.
    :param renewals: number of renewals, so that each one changes the value.
    """

    owner_id: ids.MemberId
    fencing_token: ids.FencingToken
    claim_id: str
    renewals: int = 0


_NO_OWNER: typing.Final = OwnerRecord(
    ids.MemberId(''), ids.FencingToken(0), ''
)


def _decode(value: bytes) -> OwnerRecord | None:
    """Return the record, or None if the value is damaged."""
    try:
        with decoding.nesting_limit():
            return msgspec.msgpack.decode(value, type=OwnerRecord)
    except msgspec.DecodeError:
        return None


def _new_id() -> str:
    return uuid.uuid4().hex


class ShardClaim:
    """One daemon's claim to the ownership of one shard.

    :param clock: seconds, monotonic.
    :param may_claim: whether this daemon contends for the shard now.
    :ivar token: the fencing token; None unless this daemon is the owner.
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
        self._key = OWNER_PREFIX + shard_id
        self._member_id = member_id
        self._clock = clock
        self._new_id = new_id
        self._may_claim = may_claim
        self._record = _NO_OWNER
        self._revision = store.ABSENT
        self._claim_id = ''
        # When the current revision was first and last read.
        self._first_read_at: float | None = None
        self._last_read_at: float | None = None
        self.token: ids.FencingToken | None = None

    @property
    def owner_id(self) -> ids.MemberId:
        """The owner as of the last read; empty if unknown."""
        return self._record.owner_id

    async def run(
        self,
        on_change: OnChange,
        *,
        interval: float = RENEW_INTERVAL_SECONDS,
    ) -> None:
        """Contend for the shard until cancelled.

        :param on_change: called with the token when it changes.
        :param interval: seconds.
        """
        reported_token: ids.FencingToken | None = None
        while True:
            await self.step()
            if self.token != reported_token:
                reported_token = self.token
                await on_change(reported_token)
            await curio.sleep(interval)

    async def step(self) -> None:
        """Renew if this daemon owns the shard, otherwise contend for it."""
        if self.token is not None:
            await self.renew()
            return
        if await self.observe() and self._is_claimable() and self._may_claim():
            await self.claim()

    async def observe(self) -> bool:
        """Read the record and update this daemon's ownership.

        :return: whether the read succeeded and was not stale. A damaged
            record counts as not read: its token is not known, and a lower one
            must not be claimed.
        """
        answer = await self._store.get(self._key)
        if isinstance(answer, result.Err):
            return False
        entry = answer.ok_value
        revision = store.ABSENT if entry is None else entry.revision
        if revision < self._revision:
            return False
        record = _NO_OWNER if entry is None else _decode(entry.value or b'')
        if record is None:
            _log.error('{}: the record of its owner is damaged', self._key)
            return False
        self._record_read(record, revision)
        return True

    def _record_read(
        self,
        record: OwnerRecord,
        revision: ids.StoreRevision,
    ) -> None:
        now = self._clock()
        gap = now - (self._last_read_at or now)
        restarts_lease = self._first_read_at is None or gap > MAX_GAP_SECONDS
        if restarts_lease or revision != self._revision:
            self._first_read_at = now
        self._last_read_at = now
        self._record = record
        self._revision = revision
        if self._claim_id and record.claim_id == self._claim_id:
            # This also confirms a claim whose response was lost.
            self.token = record.fencing_token
        elif self.token is not None:
            self.step_down()

    def _is_claimable(self) -> bool:
        if self.token is not None:
            return False
        if not self._record.owner_id:
            return True
        unchanged_for = self._clock() - (self._first_read_at or self._clock())
        return unchanged_for >= LEASE_SECONDS

    async def claim(self) -> None:
        """Write this daemon as the owner with the next fencing token."""
        record = OwnerRecord(
            self._member_id,
            ids.FencingToken(self._record.fencing_token + 1),
            self._new_id(),
        )
        # Kept even if the outcome is unknown: a later read resolves it.
        self._claim_id = record.claim_id
        answer = await self._put(record)
        if isinstance(answer, result.Ok):
            self._record_read(record, answer.ok_value)
            _log.info(
                '{}: shard ownership acquired, fencing token {}', self._key,
                record.fencing_token
            )

    async def renew(self) -> None:
        """Change the record so that contenders see a live owner.

        An owner that cannot reach the store remains the owner: either no
        contender can reach the store to take over, or the workers reject this
        owner's token.
        """
        record = msgspec.structs.replace(
            self._record,
            renewals=self._record.renewals + 1,
        )
        answer = await self._put(record)
        if isinstance(answer, result.Ok):
            self._record_read(record, answer.ok_value)
        elif answer.err_value.fault is store.StoreFault.CONFLICT:
            await self.observe()

    async def release(self) -> None:
        """Release the shard so that another daemon can claim it at once."""
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
        """Stop being the owner.

        The caller also does this when a worker has seen a newer owner.
        """
        _log.info(
            '{}: shard ownership ended, fencing token {}', self._key,
            self.token
        )
        self.token = None
        self._claim_id = ''

    async def _put(
        self,
        record: OwnerRecord,
    ) -> result.Result[ids.StoreRevision, store.StoreError]:

        def is_own(value: bytes) -> bool:
            stored = _decode(value)
            return stored is not None and stored.claim_id == record.claim_id

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
    'OWNER_PREFIX',
    'OwnerRecord',
    'RENEW_INTERVAL_SECONDS',
    'ShardClaim',
)
