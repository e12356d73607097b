"""Runs the host list polling and the heartbeats of the membership."""
from __future__ import annotations

import random
import time
import typing

import curio
import result

from nutmegworks.adapters import hosts
from nutmegworks.configuration import controller as configuration
from nutmegworks.configuration import fanout
from nutmegworks.membership import codec
from nutmegworks.membership import jitter
from nutmegworks.membership import members
from nutmegworks.model import ids
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import messages
from nutmegworks.peers import service

HEARTBEAT_INTERVAL_SECONDS: typing.Final = 1.0
HEARTBEAT_TARGETS: typing.Final = 1
UPDATES_PER_MESSAGE: typing.Final = 6
# Sent to a member recorded as suspect or dead: after a partition both sides
# lack many updates.
RECOVERY_UPDATES: typing.Final = 24
LEAVE_TARGETS: typing.Final = 3
MAX_START_DELAY_SECONDS: typing.Final = 1.0
MIN_HOSTS_INTERVAL_SECONDS: typing.Final = 5.0
MAX_HOSTS_RETRY_SECONDS: typing.Final = 10.0
# The longer the host list, the less often it is read. The daemons that have
# read it pass on by gossip which hosts are leaving.
MAX_HOSTS_BYTES_PER_SECOND: typing.Final = 600.0
HOST_ENTRY_BYTES: typing.Final = 150


class Controller:
    """Runs the membership tasks of one daemon.

    :param clock: seconds, monotonic.
    """

    def __init__(
        self,
        table: members.Members,
        host_list: hosts.HostList,
        client: peer_client.PeerClient,
        config: configuration.Controller,
        *,
        rng: random.Random,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.table = table
        self._hosts = host_list
        self._client = client
        self._config = config
        self._rng = rng
        self._clock = clock

    def register(self, target: service.PeerService) -> None:
        """Register the heartbeat handler."""
        target.register(
            messages.HEARTBEAT_PATH,
            messages.Heartbeat,
            self.serve_heartbeat,
        )

    async def run(self) -> None:
        """Poll the host list and exchange heartbeats until cancelled."""
        await curio.sleep(self._rng.uniform(0, MAX_START_DELAY_SECONDS))
        async with curio.TaskGroup() as group:
            await group.spawn(self._follow_hosts)
            await group.spawn(self._send_heartbeats)

    async def leave(self) -> None:
        """Notify a few peers immediately that this daemon is leaving."""
        self.table.leave()
        for member in self.table.sample(self._rng, LEAVE_TARGETS):
            await curio.spawn(self._exchange, member, daemon=True)

    async def _follow_hosts(self) -> None:
        failures = 0
        while True:
            listed = await self._hosts.fetch()
            if isinstance(listed, result.Err):
                failures += 1
                pause = jitter.backoff(
                    self._rng,
                    failures,
                    base=HEARTBEAT_INTERVAL_SECONDS,
                    cap=MAX_HOSTS_RETRY_SECONDS,
                )
            else:
                failures = 0
                self.table.apply_hosts(listed.ok_value, now=self._clock())
                size = len(listed.ok_value) * HOST_ENTRY_BYTES
                pause = max(
                    MIN_HOSTS_INTERVAL_SECONDS,
                    size / MAX_HOSTS_BYTES_PER_SECOND,
                )
            await curio.sleep(jitter.spread(self._rng, pause))

    async def _send_heartbeats(self) -> None:
        while True:
            self.table.tick(now=self._clock())
            for member in self.table.choose_targets(
                    self._rng,
                    HEARTBEAT_TARGETS,
            ):
                await curio.spawn(self._exchange, member, daemon=True)
            await curio.sleep(
                jitter.spread(self._rng, HEARTBEAT_INTERVAL_SECONDS)
            )

    def _build_heartbeat(
        self,
        suspect_record: members.Member | None = None,
    ) -> messages.Heartbeat:
        if suspect_record is None:
            updates = self.table.choose_updates(self._rng, UPDATES_PER_MESSAGE)
        else:
            others = self.table.choose_updates(
                self._rng, RECOVERY_UPDATES, fill=RECOVERY_UPDATES
            )
            updates = (suspect_record, *others)
        own = self.table.own
        age = self._config.holder.age()
        return messages.Heartbeat(
            codec.to_message(own),
            self._config.holder.sequence,
            None if age is None else fanout.to_milliseconds(age),
            tuple(
                codec.to_message(member)
                for member in updates
                if member is not own
            ),
        )

    async def serve_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
    ) -> messages.Heartbeat:
        """Answer a peer's heartbeat."""
        suspect_record = self._apply_heartbeat(heartbeat)
        return self._build_heartbeat(suspect_record)

    def _apply_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
    ) -> members.Member | None:
        """Apply a peer's heartbeat; return the record it should refute."""
        now = self._clock()
        for update in heartbeat.news:
            member = codec.to_member(update)
            if member is not None:
                self.table.merge(member, now=now)
        self._config.fanout.confirm(heartbeat.sequence, heartbeat.age)
        sender = codec.to_member(heartbeat.sender)
        if sender is None:
            return None
        return self.table.record_contact(sender, now=now)

    async def _exchange(self, member: members.Member) -> None:
        started_at = self._clock()
        answer = await self._client.call(
            member.address,
            messages.HEARTBEAT_PATH,
            self._build_heartbeat(self._suspect_record(member)),
            messages.Heartbeat,
        )
        if isinstance(answer, result.Err):
            self._handle_failure(member, answer.err_value, started_at)
            return
        reply = answer.ok_value
        self._apply_heartbeat(reply)
        self.table.record_success(ids.MemberId(reply.sender.member_id))
        if reply.sender.member_id != member.member_id:
            # Another daemon has taken over the address.
            self.table.record_failure(member.member_id, now=self._clock())
        await self._config.fanout.reconcile(member.address, reply.sequence)

    def _suspect_record(self, member: members.Member) -> members.Member | None:
        """Return the suspect or dead record that the member should refute."""
        current = self.table.get(member.member_id)
        if current is None or current.state not in members.UNREACHABLE_STATES:
            return None
        return current

    def _handle_failure(
        self,
        member: members.Member,
        error: peer_client.PeerError,
        started_at: float,
    ) -> None:
        if error.fault is not peer_client.PeerFault.UNREACHABLE:
            return
        now = self._clock()
        if now - started_at > members.PAUSE_THRESHOLD_SECONDS:
            # This process was paused, so the timeout shows no failure.
            return
        self.table.record_failure(member.member_id, now=now)


__all__ = (
    'Controller',
    'HEARTBEAT_INTERVAL_SECONDS',
    'HEARTBEAT_TARGETS',
    'RECOVERY_UPDATES',
    'UPDATES_PER_MESSAGE',
)
