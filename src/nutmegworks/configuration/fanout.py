"""Passes configurations between daemons."""
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
from nutmegworks.configuration import sharing
from nutmegworks.configuration import view as views
from nutmegworks.net import client as net_client
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import messages
from nutmegworks.peers import service

# A new change is offered to this many peers at once; heartbeats reach the
# rest within a few periods.
OFFER_TARGETS: typing.Final = 2
OFFER_SPACING_SECONDS: typing.Final = 0.5
MAX_OFFER_BYTES: typing.Final = 16 * 1024
PULL_TIMEOUT_SECONDS: typing.Final = 3.0


class Fanout:
    """Offers new changes to peers and pulls what this daemon lacks."""

    def __init__(
        self,
        holder: holders.Holder,
        client: peer_client.PeerClient,
        view: views.View,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._holder = holder
        self._client = client
        self._view = view
        self._clock = clock
        self._changed = curio.Event()
        self._offered = 0
        self._pulling = False
        self._whole = False
        holder.subscribe(self._on_adopted)

    async def _on_adopted(self, adopted: adoption.Adopted) -> None:
        await self._changed.set()

    def register(self, target: service.PeerService) -> None:
        """Serve the messages of the configuration."""
        target.register(messages.PULL_PATH, messages.Pull, self.serve_pull)
        target.register(messages.OFFER_PATH, messages.Offer, self.serve_offer)

    async def serve_pull(self, pull: messages.Pull) -> messages.Missing:
        """Answer a peer that is behind."""
        return self._holder.missing(pull.after)

    async def serve_offer(self, offer: messages.Offer) -> messages.Known:
        """Adopt what a peer offers."""
        await self._holder.take_changes(offer.changes)
        if offer.changes:
            self.confirm(offer.changes[-1].sequence, offer.age)
        return messages.Known(self._holder.sequence)

    def confirm(self, sequence: int, age: int | None) -> None:
        """Take over a peer's knowledge of the latest sequence.

        :param age: milliseconds, as in ``messages.Heartbeat``.
        """
        if age is not None:
            self._holder.confirm(sequence, self._clock() - age / 1000)

    async def run(self) -> None:
        """Offer every adopted change to a few peers until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._announce()
            await curio.sleep(OFFER_SPACING_SECONDS)

    async def _announce(self) -> None:
        current = self._holder.current
        assert current is not None
        newer = current.after(self._offered)
        self._offered = current.sequence
        if not newer:
            return
        for address in self._view.partners(OFFER_TARGETS):
            await curio.spawn(self._offer, address, newer, daemon=True)

    async def _offer(
        self,
        address: net_client.Address,
        newer: tuple[change.Accepted, ...],
    ) -> None:
        age = self._holder.age()
        offer = messages.Offer(newer, None if age is None else to_age(age))
        if len(msgspec.msgpack.encode(offer)) > MAX_OFFER_BYTES:
            return
        await self._client.call(
            address, messages.OFFER_PATH, offer, messages.Known
        )

    async def reconcile(
        self,
        address: net_client.Address,
        sequence: int,
    ) -> None:
        """Exchange what either side lacks, after a heartbeat.

        The daemon that could open a connection does both, so that a cut in
        the other direction does not matter.

        :param sequence: the peer's.
        """
        current = self._holder.current
        if sequence > self._holder.sequence:
            await self._pull(address)
        elif current is not None and sequence < current.sequence:
            newer = current.after(sequence)
            if newer:
                await self._offer(address, newer)

    async def _pull(self, address: net_client.Address) -> None:
        if self._pulling:
            return
        self._pulling = True
        try:
            after = -1 if self._whole else self._holder.sequence
            answer = await self._client.call(
                address,
                messages.PULL_PATH,
                messages.Pull(after),
                messages.Missing,
                timeout=PULL_TIMEOUT_SECONDS,
            )
            if isinstance(answer, result.Ok):
                await self._take_missing(answer.ok_value)
        finally:
            self._pulling = False

    async def _take_missing(self, missing: messages.Missing) -> None:
        if missing.snapshot:
            try:
                snapshot = sharing.decode_snapshot(missing.snapshot)
            except documents.DocumentError:
                return
            await self._holder.take_snapshot(snapshot)
        step = await self._holder.take_changes(missing.changes)
        # Changes that follow on ours and do not apply: ask for the whole
        # document the next time.
        self._whole = step is adoption.Step.NEED_OLDER


def to_age(seconds: float) -> int:
    """Return the form of an age in messages, in milliseconds."""
    return math.ceil(seconds * 1000)


__all__ = ('Fanout', 'to_age')
