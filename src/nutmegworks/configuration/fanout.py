"""Exchanges configuration changes and snapshots between daemons."""
from __future__ import annotations

import math
import time
import typing

import curio
import msgspec
import result

from nutmegworks.configuration import adoption
from nutmegworks.configuration import change
from nutmegworks.configuration import document as documents
from nutmegworks.configuration import holder as holders
from nutmegworks.configuration import snapshot_decoding
from nutmegworks.configuration import view as views
from nutmegworks.net import client as net_client
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import messages
from nutmegworks.peers import service

# A new change is offered to this many peers at once; the other daemons get it
# within a few heartbeat periods.
OFFER_TARGETS: typing.Final = 2
OFFER_INTERVAL_SECONDS: typing.Final = 0.5
# Larger changes are not offered; a peer pulls them after a heartbeat.
MAX_OFFER_BYTES: typing.Final = 16 * 1024
PULL_TIMEOUT_SECONDS: typing.Final = 3.0


class Fanout:
    """Offers new changes to peers and pulls changes that this daemon lacks."""

    def __init__(
        self,
        holder: holders.Holder,
        client: peer_client.PeerClient,
        view: views.ClusterView,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._holder = holder
        self._client = client
        self._view = view
        self._clock = clock
        self._changed = curio.Event()
        self._offered_sequence = 0
        self._pulling = False
        self._needs_snapshot = False
        holder.subscribe(self._on_adopted)

    async def _on_adopted(
        self, adopted: adoption.AdoptedConfiguration
    ) -> None:
        await self._changed.set()

    def register(self, target: service.PeerService) -> None:
        """Register the handlers of configuration messages."""
        target.register(messages.PULL_PATH, messages.Pull, self.serve_pull)
        target.register(messages.OFFER_PATH, messages.Offer, self.serve_offer)

    async def serve_pull(self, pull: messages.Pull) -> messages.PullReply:
        """Return the changes or the snapshot that a peer lacks."""
        return self._holder.reply_to_pull(pull.after)

    async def serve_offer(self, offer: messages.Offer) -> messages.OfferReply:
        """Adopt the changes that a peer offers, if they are newer."""
        await self._holder.adopt_changes(offer.changes)
        if offer.changes:
            self.confirm(offer.changes[-1].sequence, offer.age)
        return messages.OfferReply(self._holder.sequence)

    def confirm(self, sequence: int, age: int | None) -> None:
        """Record that a peer knew a sequence to be the latest.

        :param age: milliseconds since then, as in ``messages.Heartbeat``.
        """
        if age is not None:
            self._holder.confirm(sequence, self._clock() - age / 1000)

    async def run(self) -> None:
        """Offer every adopted change to a few peers until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._offer_new_changes()
            await curio.sleep(OFFER_INTERVAL_SECONDS)

    async def _offer_new_changes(self) -> None:
        current = self._holder.current
        assert current is not None
        newer = current.changes_after(self._offered_sequence)
        self._offered_sequence = current.sequence
        if not newer:
            return
        for address in self._view.responsive_peers(OFFER_TARGETS):
            await curio.spawn(self._offer, address, newer, daemon=True)

    async def _offer(
        self,
        address: net_client.Address,
        newer: tuple[change.AcceptedChange, ...],
    ) -> None:
        age = self._holder.age()
        offer = messages.Offer(
            newer, None if age is None else to_milliseconds(age)
        )
        if len(msgspec.msgpack.encode(offer)) > MAX_OFFER_BYTES:
            return
        await self._client.call(
            address, messages.OFFER_PATH, offer, messages.OfferReply
        )

    async def reconcile(
        self,
        address: net_client.Address,
        sequence: int,
    ) -> None:
        """Exchange the changes that either side lacks, after a heartbeat.

        The daemon that could open a connection both pulls and offers, so that
        it does not matter if the peer can't connect to it.

        :param sequence: the sequence that the peer has.
        """
        current = self._holder.current
        if sequence > self._holder.sequence:
            await self._pull(address)
        elif current is not None and sequence < current.sequence:
            newer = current.changes_after(sequence)
            if newer:
                await self._offer(address, newer)

    async def _pull(self, address: net_client.Address) -> None:
        if self._pulling:
            return
        self._pulling = True
        try:
            after = -1 if self._needs_snapshot else self._holder.sequence
            answer = await self._client.call(
                address,
                messages.PULL_PATH,
                messages.Pull(after),
                messages.PullReply,
                timeout=PULL_TIMEOUT_SECONDS,
            )
            if isinstance(answer, result.Ok):
                await self._adopt_reply(answer.ok_value)
        finally:
            self._pulling = False

    async def _adopt_reply(self, reply: messages.PullReply) -> None:
        if reply.snapshot:
            try:
                snapshot = snapshot_decoding.decode_snapshot(reply.snapshot)
            except documents.DocumentError:
                return
            await self._holder.adopt_snapshot(snapshot)
        action = await self._holder.adopt_changes(reply.changes)
        # If the changes follow the sequence in force and still do not apply,
        # the documents differ: the next pull requests a snapshot.
        self._needs_snapshot = action is adoption.Action.NEED_OLDER


def to_milliseconds(seconds: float) -> int:
    """Return an age in whole milliseconds, rounded up, for messages."""
    return math.ceil(seconds * 1000)


__all__ = ('Fanout', 'to_milliseconds')
