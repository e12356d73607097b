"""Admission filter: queues requests per team until a slot is free.

Teams share the slots of the upstreams by their guaranteed shares.
"""
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

# Slots also become free when requests of other daemons finish, which is known
# only from the reports of upstreams, so the queues are polled.
POLL_SECONDS: typing.Final = 0.05
# Sent to callers whose request finds the queue full.
RETRY_AFTER_SECONDS: typing.Final = 1.0

Capacity = typing.Callable[[ids.ServiceId], int]


class _ServiceState:
    """Waiting and running requests of one service in this daemon."""

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
    """Queues requests while no slot is free.

    A request is refused early if it is expected to miss its target or
    deadline.

    :param capacity: returns the number of slots that this daemon can use for
        a service.
    :param max_per_team: maximum number of waiting requests of a team in
        each service.
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
        self._state_by_service: dict[ids.ServiceId, _ServiceState] = {}

    async def run(self) -> None:
        """Admit waiting requests as slots become free, until cancelled."""
        while True:
            for service_id, state in self._state_by_service.items():
                await self._admit_waiting(service_id, state)
            await curio.sleep(POLL_SECONDS)

    async def handle(
        self,
        context: entry_context.RequestContext,
        proceed: entry_filter.Proceed,
    ) -> entry_filter.Outcome:
        state = self._service_state(context.service_id)
        refusal = self._refuse_if_late(context, state)
        if refusal is None:
            refusal = await self._acquire_slot(context, state)
        if refusal is not None:
            return entry_filter.refuse(refusal)
        started = self._clock()
        try:
            outcome = await proceed(context)
        finally:
            state.in_flight -= 1
            await self._admit_waiting(context.service_id, state)
        if outcome.is_ok():
            run_time = state.run_time(context.entitled_class.class_id)
            run_time.observe(self._clock() - started)
        return outcome

    def _service_state(self, service_id: ids.ServiceId) -> _ServiceState:
        state = self._state_by_service.get(service_id)
        if state is None:
            state = _ServiceState(self._max_per_team)
            self._state_by_service[service_id] = state
        configuration = self._configuration.value
        if configuration is not None and configuration != state.configuration:
            state.configuration = configuration
            state.queues.set_shares(team_shares(configuration, service_id))
        return state

    def _refuse_if_late(
        self,
        context: entry_context.RequestContext,
        state: _ServiceState,
    ) -> verdict.Refusal | None:
        if not state.queues.waiting_count(context.team_id):
            return None
        work_class = context.entitled_class
        run_seconds = state.run_time(work_class.class_id).seconds
        wait = shedding.estimated_wait(
            waiting_count=state.queues.waiting_count(context.team_id),
            run_seconds=run_seconds,
            slots=self._capacity(context.service_id),
            share=state.queues.current_share(context.team_id),
        )
        return shedding.refuse_if_late(
            wait=wait,
            run_seconds=run_seconds,
            target=work_class.target,
            remaining_seconds=context.deadline - self._clock(),
        )

    async def _acquire_slot(
        self,
        context: entry_context.RequestContext,
        state: _ServiceState,
    ) -> verdict.Refusal | None:
        """Take a slot, or wait for one until the deadline."""
        if not len(state.queues) and self._has_slot(context.service_id, state):
            state.in_flight += 1
            return None
        admitted = curio.Event()
        ticket = state.queues.push(context.team_id, admitted)
        if ticket is None:
            return verdict.did_not_run(
                verdict.Reason.OVERLOADED,
                f'too many requests of {context.team_id} are waiting',
                retry_after=RETRY_AFTER_SECONDS,
            )
        remaining = max(0.0, context.deadline - self._clock())
        try:
            async with curio.ignore_after(remaining):
                await admitted.wait()
        except BaseException:
            self._stop_waiting(context, state, ticket)
            raise
        if admitted.is_set():
            return None
        self._stop_waiting(context, state, ticket)
        return verdict.did_not_run(
            verdict.Reason.DEADLINE, 'no slot came free in time'
        )

    def _stop_waiting(
        self,
        context: entry_context.RequestContext,
        state: _ServiceState,
        ticket: queue.Ticket,
    ) -> None:
        if not state.queues.remove(context.team_id, ticket):
            # The request was admitted at the moment its wait ended, so its
            # slot is released.
            state.in_flight -= 1

    def _has_slot(
        self,
        service_id: ids.ServiceId,
        state: _ServiceState,
    ) -> bool:
        return state.in_flight < self._capacity(service_id)

    async def _admit_waiting(
        self,
        service_id: ids.ServiceId,
        state: _ServiceState,
    ) -> None:
        while len(state.queues) and self._has_slot(service_id, state):
            admitted = state.queues.pop()
            if admitted is None:
                return
            state.in_flight += 1
            await admitted.set()


def team_shares(
    configuration: work.Configuration,
    service_id: ids.ServiceId,
) -> dict[ids.TeamId, float]:
    """Return the guaranteed share of each team in a service.

    The guaranteed share of a class is divided equally among its teams.
    """
    share_by_id: dict[ids.TeamId, float] = {}
    for work_class in configuration.class_by_id.values():
        if work_class.service_id != service_id or not work_class.team_ids:
            continue
        share = work_class.guaranteed_share / len(work_class.team_ids)
        for team_id in work_class.team_ids:
            previous = share_by_id.get(team_id, 0.0)
            share_by_id[team_id] = math.fsum((previous, share))
    return share_by_id


__all__ = ('AdmitFilter', 'team_shares')
