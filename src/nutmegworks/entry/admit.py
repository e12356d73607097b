"""Lets requests in as upstreams have slots, by the shares of their teams."""
from __future__ import annotations

import math
import time
import typing

import curio

from nutmegworks.entry import context as entry_context
from nutmegworks.entry import filter as entry_filter
from nutmegworks.limits import queue
from nutmegworks.limits import shedding
from nutmegworks.model import ids
from nutmegworks.model import published
from nutmegworks.model import verdict
from nutmegworks.model import work

# Slots also come free when other daemons finish, which only reports tell.
POLL_SECONDS: typing.Final = 0.05
FULL_RETRY_SECONDS: typing.Final = 1.0

Capacity = typing.Callable[[ids.ServiceId], int]


class _Lane:
    """The requests of one service in this daemon."""

    def __init__(self, max_per_team: int) -> None:
        self.queues: queue.TeamQueues[curio.Event] = queue.TeamQueues(
            max_per_team=max_per_team
        )
        self.in_flight = 0
        self.run_time_by_class: dict[ids.ClassId, shedding.RunTimeAverage] = {}
        self.configuration: work.Configuration | None = None

    def run_time(self, class_id: ids.ClassId) -> shedding.RunTimeAverage:
        return self.run_time_by_class.setdefault(
            class_id, shedding.RunTimeAverage()
        )


class AdmitFilter(entry_filter.Filter):
    """Holds requests that find no slot, and refuses those that would be late.

    :param capacity: slots that this daemon can use for a service.
    """

    def __init__(
        self,
        configuration: published.Published[work.Configuration],
        capacity: Capacity,
        *,
        max_per_team: int,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._configuration = configuration
        self._capacity = capacity
        self._max_per_team = max_per_team
        self._clock = clock
        self._lane_by_service: dict[ids.ServiceId, _Lane] = {}

    async def run(self) -> None:
        """Let waiting requests in as slots come free, until cancelled."""
        while True:
            for service_id, lane in self._lane_by_service.items():
                await self._admit_waiting(service_id, lane)
            await curio.sleep(POLL_SECONDS)

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        lane = self._lane(context.service_id)
        refusal = self._shed(context, lane)
        if refusal is None:
            refusal = await self._enter(context, lane)
        if refusal is not None:
            return entry_filter.refuse(refusal)
        started = self._clock()
        try:
            outcome = await proceed(context)
        finally:
            lane.in_flight -= 1
            await self._admit_waiting(context.service_id, lane)
        if outcome.is_ok():
            run_time = lane.run_time(context.entitled_class.class_id)
            run_time.observe(self._clock() - started)
        return outcome

    def _lane(self, service_id: ids.ServiceId) -> _Lane:
        lane = self._lane_by_service.get(service_id)
        if lane is None:
            lane = _Lane(self._max_per_team)
            self._lane_by_service[service_id] = lane
        configuration = self._configuration.value
        if configuration is not None and configuration != lane.configuration:
            lane.configuration = configuration
            lane.queues.set_shares(team_shares(configuration, service_id))
        return lane

    def _shed(
        self,
        context: entry_context.RequestContext,
        lane: _Lane,
    ) -> verdict.Refusal | None:
        if not lane.queues.waiting_count(context.team_id):
            return None
        work_class = context.entitled_class
        run_seconds = lane.run_time(work_class.class_id).seconds
        wait = shedding.estimated_wait(
            waiting_count=lane.queues.waiting_count(context.team_id),
            run_seconds=run_seconds,
            slots=self._capacity(context.service_id),
            share=lane.queues.current_share(context.team_id),
        )
        return shedding.refuse_if_late(
            wait=wait,
            run_seconds=run_seconds,
            target=work_class.target,
            remaining_seconds=context.deadline - self._clock(),
        )

    async def _enter(
        self,
        context: entry_context.RequestContext,
        lane: _Lane,
    ) -> verdict.Refusal | None:
        """Take a slot, or wait for one until the deadline."""
        if not len(lane.queues) and self._has_slot(context.service_id, lane):
            lane.in_flight += 1
            return None
        admitted = curio.Event()
        ticket = lane.queues.push(context.team_id, admitted)
        if ticket is None:
            return verdict.did_not_run(
                verdict.Reason.OVERLOADED,
                f'too many requests of {context.team_id} are waiting',
                retry_after=FULL_RETRY_SECONDS,
            )
        left = max(0.0, context.deadline - self._clock())
        try:
            async with curio.ignore_after(left):
                await admitted.wait()
        except BaseException:
            self._withdraw(context, lane, ticket)
            raise
        if admitted.is_set():
            return None
        self._withdraw(context, lane, ticket)
        return verdict.did_not_run(
            verdict.Reason.DEADLINE, 'no slot came free in time'
        )

    def _withdraw(
        self,
        context: entry_context.RequestContext,
        lane: _Lane,
        ticket: queue.Ticket,
    ) -> None:
        if not lane.queues.remove(context.team_id, ticket):
            # It was admitted while it gave up; the slot goes back.
            lane.in_flight -= 1

    def _has_slot(self, service_id: ids.ServiceId, lane: _Lane) -> bool:
        return lane.in_flight < self._capacity(service_id)

    async def _admit_waiting(
        self,
        service_id: ids.ServiceId,
        lane: _Lane,
    ) -> None:
        while len(lane.queues) and self._has_slot(service_id, lane):
            admitted = lane.queues.pop()
            if admitted is None:
                return
            lane.in_flight += 1
            await admitted.set()


def team_shares(
    configuration: work.Configuration,
    service_id: ids.ServiceId,
) -> dict[ids.TeamId, float]:
    """Return each team's part of a service.

    The guaranteed share of a class is divided equally among its teams.
    """
    share_by_id: dict[ids.TeamId, float] = {}
    for item in configuration.class_by_id.values():
        if item.service_id != service_id or not item.team_ids:
            continue
        share = item.guaranteed_share / len(item.team_ids)
        for team_id in item.team_ids:
            known = share_by_id.get(team_id, 0.0)
            share_by_id[team_id] = math.fsum((known, share))
    return share_by_id


__all__ = ('AdmitFilter', 'team_shares')
