"""Which of a worker's orders is sent next, and which never."""
from __future__ import annotations

import pytest

from nutmegworks.policy import waiting_orders

START = waiting_orders.Kind.START
STOP = waiting_orders.Kind.STOP
Verdict = waiting_orders.StartVerdict


def _take_all(
    orders: waiting_orders.WaitingOrders[str],
    may_start: bool = True,
) -> list[tuple[str, waiting_orders.Kind]]:
    taken = []
    while (order := orders.take(may_start)) is not None:
        taken.append(order)
    return taken


def test_stops_come_before_starts() -> None:
    """Guards against a cancelled task that runs on behind waiting starts."""
    orders = waiting_orders.WaitingOrders()
    for key in ('a', 'b'):
        orders.add(key, START)
    orders.add('c', STOP)
    assert _take_all(orders) == [('c', STOP), ('a', START), ('b', START)]


def test_only_stops_are_taken_while_nothing_may_start() -> None:
    """Guards against a start that meets an acknowledgement of ends."""
    orders = waiting_orders.WaitingOrders()
    orders.add('a', START)
    orders.add('b', STOP)
    assert orders.sendable(may_start=False) == 1
    assert _take_all(orders, may_start=False) == [('b', STOP)]
    assert len(orders) == 1


def test_a_run_waits_once() -> None:
    """Guards against a queue that grows while a worker does not answer."""
    orders = waiting_orders.WaitingOrders()
    orders.add('a', START)
    for _ in range(3):
        assert orders.add('a', STOP)
    assert not orders.add('a', START)
    assert orders.keys() == [('a', STOP)]


def test_repeated_orders_do_not_hold_up_the_others() -> None:
    """Guards against one stop in vain before all others, and the reverse.

    The time in which a start must be answered is limited.
    """
    orders = waiting_orders.WaitingOrders()
    for key in ('a', 'b'):
        orders.add(key, START)
    orders.add('c', STOP)
    orders.add('d', START, repeated=True)
    orders.add('e', STOP, repeated=True)
    orders.add('f', STOP)
    keys = ''.join(key for key, _ in _take_all(orders))
    assert keys == 'cefdab'


@pytest.mark.parametrize(
    ('start', 'verdict'),
    [
        ((0.5, None, True, False), Verdict.KEEP),
        ((7.9, None, True, False), Verdict.KEEP),
        ((8.0, None, True, False), Verdict.PLAN_ANEW),
        ((0.1, None, True, True), Verdict.PLAN_ANEW),
        ((1.1, None, False, False), Verdict.KEEP),
        ((1.2, None, False, False), Verdict.PLAN_ANEW),
        ((7.0, 0.9, True, False), Verdict.KEEP),
        ((7.0, 1.0, True, False), Verdict.WITHDRAW),
        ((7.0, 1.0, False, True), Verdict.WITHDRAW),
    ],
)
def test_a_start_that_was_sent_is_never_planned_anew(
    start: tuple[float, float | None, bool, bool],
    verdict: waiting_orders.StartVerdict,
) -> None:
    """Guards against a task that is started twice, and one that waits on."""
    waiting = waiting_orders.WaitingStart(*start)
    assert waiting_orders.judge_start(waiting) is verdict
