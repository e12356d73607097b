"""Learns of members from the host list and by heartbeats."""
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

PERIOD_SECONDS: typing.Final = 1.0
HEARTBEAT_TARGETS: typing.Final = 1
NEWS_PER_MESSAGE: typing.Final = 6
# Members that meet again after a partition both lack much news.
REUNION_NEWS: typing.Final = 24
LEAVE_TARGETS: typing.Final = 3
START_SECONDS: typing.Final = 1.0
HOSTS_SECONDS: typing.Final = 5.0
MAX_HOSTS_RETRY_SECONDS: typing.Final = 10.0
# The host list is read less often the longer it is; news of leaving hosts
# then comes from those peers that happened to read it.
HOSTS_BYTES_PER_SECOND: typing.Final = 600.0
BYTES_PER_HOST: typing.Final = 150


class Controller:
    """Runs the tasks of the membership of one daemon.

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
        """Serve heartbeats."""
        target.register(
            messages.HEARTBEAT_PATH,
            messages.Heartbeat,
            self.serve_heartbeat,
        )

    async def run(self) -> None:
        """Follow the host list and exchange heartbeats until cancelled."""
        await curio.sleep(self._rng.uniform(0, START_SECONDS))
        async with curio.TaskGroup() as group:
            await group.spawn(self._follow_hosts)
            await group.spawn(self._send_heartbeats)

    async def leave(self) -> None:
        """Tell a few peers at once that this daemon is leaving."""
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
                    base=PERIOD_SECONDS,
                    cap=MAX_HOSTS_RETRY_SECONDS,
                )
            else:
                failures = 0
                self.table.apply_hosts(listed.ok_value, now=self._clock())
                size = len(listed.ok_value) * BYTES_PER_HOST
                pause = max(HOSTS_SECONDS, size / HOSTS_BYTES_PER_SECOND)
            await curio.sleep(jitter.spread(self._rng, pause))

    async def _send_heartbeats(self) -> None:
        while True:
            self.table.tick(now=self._clock())
            for member in self.table.pick(self._rng, HEARTBEAT_TARGETS):
                await curio.spawn(self._exchange, member, daemon=True)
            await curio.sleep(jitter.spread(self._rng, PERIOD_SECONDS))

    def _heartbeat(
        self,
        first: members.Member | None = None,
    ) -> messages.Heartbeat:
        if first is None:
            news = self.table.news(self._rng, NEWS_PER_MESSAGE)
        else:
            rest = self.table.news(self._rng, REUNION_NEWS, fill=REUNION_NEWS)
            news = (first, *rest)
        own = self.table.own
        age = self._config.holder.age()
        return messages.Heartbeat(
            codec.to_news(own),
            self._config.holder.sequence,
            None if age is None else fanout.to_milliseconds(age),
            tuple(
                codec.to_news(member) for member in news if member is not own
            ),
        )

    async def serve_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
    ) -> messages.Heartbeat:
        """Answer a peer's heartbeat."""
        accusation = self._absorb(heartbeat)
        return self._heartbeat(accusation)

    def _absorb(self, heartbeat: messages.Heartbeat) -> members.Member | None:
        now = self._clock()
        for news in heartbeat.news:
            member = codec.to_member(news)
            if member is not None:
                self.table.merge(member, now=now)
        self._config.fanout.confirm(heartbeat.sequence, heartbeat.age)
        sender = codec.to_member(heartbeat.sender)
        if sender is None:
            return None
        return self.table.contacted(sender, now=now)

    async def _exchange(self, member: members.Member) -> None:
        asked = self._clock()
        answer = await self._client.call(
            member.address,
            messages.HEARTBEAT_PATH,
            self._heartbeat(self._accusation(member)),
            messages.Heartbeat,
        )
        if isinstance(answer, result.Err):
            self._failed(member, answer.err_value, asked)
            return
        reply = answer.ok_value
        self._absorb(reply)
        self.table.reached(ids.MemberId(reply.sender.member_id))
        if reply.sender.member_id != member.member_id:
            # Another daemon has taken over the address.
            self.table.unreachable(member.member_id, now=self._clock())
        await self._config.fanout.reconcile(member.address, reply.sequence)

    def _accusation(self, member: members.Member) -> members.Member | None:
        """Return the record that the member itself should refute."""
        known = self.table.get(member.member_id)
        if known is None or known.state not in members.SILENT_STATES:
            return None
        return known

    def _failed(
        self,
        member: members.Member,
        error: peer_client.PeerError,
        asked: float,
    ) -> None:
        if error.fault is not peer_client.PeerFault.UNREACHABLE:
            return
        now = self._clock()
        if now - asked > members.PAUSE_SECONDS:
            # This process was paused; the timeout says nothing.
            return
        self.table.unreachable(member.member_id, now=now)


__all__ = (
    'Controller',
    'HEARTBEAT_TARGETS',
    'NEWS_PER_MESSAGE',
    'PERIOD_SECONDS',
    'REUNION_NEWS',
)
