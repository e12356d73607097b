"""Owns the start and stop requests that wait for one worker."""
from __future__ import annotations

import abc
import dataclasses
import enum
import math
import typing

import curio
import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import membership
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.fleet import worker_connections
from nutmegworks.model import ids
from nutmegworks.policy import order_pace
from nutmegworks.policy import waiting_orders

_LOG: typing.Final = logbook.Logger('orders')

# A worker answers an acknowledgement in a few milliseconds.
ACKNOWLEDGEMENT_POLL_SECONDS: typing.Final = 0.005
# Interval at which a leader checks whether it may send requests again, after
# its lease was not renewed in time.
MAY_ORDER_POLL_SECONDS: typing.Final = 0.1
# Pause if this process has no connection left.
NO_CONNECTION_PAUSE_SECONDS: typing.Final = 0.02
# Interval at which orders that need not be sent any more are removed.
REVIEW_SECONDS: typing.Final = 0.3
LOG_INTERVAL_SECONDS: typing.Final = 1.0


class Permission(enum.Enum):
    """What may be sent to a worker now."""

    NOTHING = 'nothing'
    STOPS = 'stops'
    ALL = 'all'


_POLL_SECONDS: typing.Final = {
    Permission.NOTHING: MAY_ORDER_POLL_SECONDS,
    Permission.STOPS: ACKNOWLEDGEMENT_POLL_SECONDS,
    Permission.ALL: REVIEW_SECONDS,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Order:
    """A request about a run; times are of ``membership.steady_clock``.

    :param job: that of a start; None for a stop.
    :param sent_at: when it was first sent, None if it was not.
    :param attempts: how often it was sent.
    """

    kind: waiting_orders.Kind
    run: table.Run
    job: table.Job | None
    added_at: float
    sent_at: float | None = None
    attempts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """The outcome of sending an order.

    :param delivery: None if nothing had to be sent.
    :param repeat: it must be sent again.
    """

    delivery: interfaces.Delivery | None
    repeat: bool = False


class Carrier(abc.ABC):
    """Sends orders and applies their outcomes."""

    @abc.abstractmethod
    def permission(self, worker_id: ids.WorkerId) -> Permission:
        """Return what may be sent to a worker now."""

    @abc.abstractmethod
    async def settle(self, order: Order) -> bool:
        """Settle an order that is not to be sent any more.

        :return: whether it was settled.
        """

    @abc.abstractmethod
    async def carry_out(self, order: Order) -> Attempt:
        """Send an order and apply its outcome."""


class OrderQueue:
    """Sends the orders of one worker over a bounded number of connections.

    An order stays here until its carrier has settled it, whatever happens.
    """

    def __init__(self, worker_id: ids.WorkerId, carrier: Carrier) -> None:
        self._worker_id = worker_id
        self._carrier = carrier
        self._waiting: waiting_orders.WaitingOrders[
            fleet_worker.RunKey] = (waiting_orders.WaitingOrders())
        self._orders: dict[
            tuple[fleet_worker.RunKey, waiting_orders.Kind],
            Order,
        ] = {}
        # Orders that were sent in vain, with the time of their next attempt.
        self._resting: list[tuple[float, Order]] = []
        self._pace = order_pace.OrderPace(worker_connections.ORDERS_PER_WORKER)
        self._resume_at = 0.0
        self._reviewed_at = 0.0
        self._senders: set[curio.Task] = set()
        self._changed = curio.Event()
        self._failures = 0
        self._logged_at = 0.0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._resting)

    async def add(self, order: Order) -> None:
        self._put(order)
        await self._changed.set()

    def _put(self, order: Order, *, repeated: bool = False) -> None:
        key = order.run.key
        if self._waiting.add(key, order.kind, repeated=repeated):
            self._orders[key, order.kind] = order
        if order.kind is waiting_orders.Kind.STOP:
            self._orders.pop((key, waiting_orders.Kind.START), None)

    async def run(self) -> None:
        """Send orders until none is left."""
        try:
            while len(self) or self._senders:
                self._changed.clear()
                pause = await self._start_senders()
                await curio.ignore_after(pause, self._changed.wait)
        finally:
            for sender in list(self._senders):
                await sender.cancel()

    async def _start_senders(self) -> float:
        """Start as many as may send now; return when to check again.

        :return: seconds.
        """
        await self._review()
        now = membership.steady_clock()
        self._wake_rested(now)
        paused_until = max(self._resume_at, self._pace.resume_at)
        if now < paused_until:
            return paused_until - now
        permission = self._carrier.permission(self._worker_id)
        if permission is not Permission.NOTHING:
            free = self._pace.limit(now) - len(self._senders)
            may_start = permission is Permission.ALL
            for _ in range(min(free, self._waiting.sendable(may_start))):
                sender = await curio.spawn(self._send_in_turn, daemon=True)
                if not sender.terminated:
                    self._senders.add(sender)
        rest_ends_at = min((due for due, _ in self._resting), default=math.inf)
        return min(_POLL_SECONDS[permission], rest_ends_at - now)

    def _wake_rested(self, now: float) -> None:
        rested = [order for due, order in self._resting if due <= now]
        if rested:
            self._resting = [row for row in self._resting if row[0] > now]
        for order in rested:
            self._put(order, repeated=True)

    async def _review(self) -> None:
        """Remove the orders that need not be sent any more."""
        now = membership.steady_clock()
        if now - self._reviewed_at < REVIEW_SECONDS:
            return
        self._reviewed_at = now
        for key, kind in self._waiting.keys():
            order = self._orders.get((key, kind))
            if order is not None and await self._carrier.settle(order):
                self._waiting.discard(key, kind)
                self._orders.pop((key, kind), None)

    async def _send_in_turn(self) -> None:
        """Send one order after the other, while any may be sent."""
        try:
            while True:
                order = self._take()
                if order is None:
                    return
                await self._send(order)
        finally:
            self._senders.discard(await curio.current_task())
            await self._changed.set()

    def _take(self) -> Order | None:
        now = membership.steady_clock()
        permission = self._carrier.permission(self._worker_id)
        if (permission is Permission.NOTHING
                or now < max(self._resume_at, self._pace.resume_at)
                or len(self._senders) > self._pace.limit(now)):
            return None
        taken = self._waiting.take(permission is Permission.ALL)
        return None if taken is None else self._orders.pop(taken)

    async def _send(self, order: Order) -> None:
        started_at = membership.steady_clock()
        attempt = Attempt(interfaces.Delivery.BROKEN, repeat=True)
        try:
            if await self._carrier.settle(order):
                return
            attempt = await self._carrier.carry_out(order)
        except Exception as error:
            _LOG.exception(
                'order failed',
                worker=self._worker_id,
                task=order.run.task.name,
                error=repr(error),
            )
        self._record(attempt.delivery)
        if not attempt.repeat:
            return
        interval = order_pace.repeat_interval(order.attempts)
        if started_at + interval > membership.steady_clock():
            self._resting.append((started_at + interval, order))
        else:
            self._put(order, repeated=True)

    def _record(self, delivery: interfaces.Delivery | None) -> None:
        now = membership.steady_clock()
        if delivery is interfaces.Delivery.ANSWERED:
            self._pace.record_answer(now)
        elif delivery is interfaces.Delivery.NO_CONNECTION:
            self._resume_at = now + NO_CONNECTION_PAUSE_SECONDS
        elif delivery is not None:
            if delivery is interfaces.Delivery.UNANSWERED:
                self._pace.record_unanswered(now)
            else:
                self._pace.record_failure(now)
            self._log_failure(delivery, now)

    def _log_failure(
        self,
        delivery: interfaces.Delivery,
        now: float,
    ) -> None:
        self._failures += 1
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        _LOG.info(
            'orders not answered',
            worker=self._worker_id,
            last=delivery.value,
            failures=self._failures,
            waiting=len(self),
            limit=self._pace.limit(now),
        )
        self._logged_at = now
        self._failures = 0


__all__ = ('Attempt', 'Carrier', 'Order', 'OrderQueue', 'Permission')
