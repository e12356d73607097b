from __future__ import annotations

import hypothesis
from hypothesis import strategies

from nutmegworks.limits import queue

SHARES = {'large': 64.0, 'middle': 16.0, 'small': 4.0}


def new_queues(**options):
    queues = queue.TeamQueues(**options)
    queues.set_shares(SHARES)
    return queues


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    costs=strategies.
    lists(strategies.floats(0.5, 4.0), min_size=50, max_size=200)
)
def test_work_is_proportional_to_shares(costs) -> None:
    """Guards against a burst that takes the guaranteed share of others."""
    queues = new_queues()
    for team_id in SHARES:
        for _ in range(201):
            queues.push(team_id, team_id)
    work = dict.fromkeys(SHARES, 0.0)
    for cost in costs:
        work[queues.pop(cost=cost)] += cost
        for a in SHARES:
            for b in SHARES:
                difference = work[a] / SHARES[a] - work[b] / SHARES[b]
                bound = 4.0 / SHARES[a] + 4.0 / SHARES[b]
                assert abs(difference) <= bound + 1e-9


def test_no_credit_accrues_while_a_queue_is_empty() -> None:
    """Guards against a late team that displaces others to catch up.

    Also, no slot stays idle while an item waits.
    """
    queues = new_queues()
    for _ in range(100):
        queues.push('large', 'large')
    assert [queues.pop() for _ in range(80)] == ['large'] * 80
    for _ in range(30):
        queues.push('small', 'small')
    served = [queues.pop() for _ in range(17)]
    assert served.count('small') in (1, 2)
    assert [queues.pop() for _ in range(34)].count(None) == 1


def test_team_without_guarantee_is_not_starved() -> None:
    """Guards against starvation of a team that lost its guarantee.

    A configuration change can remove the guarantee of a waiting team.
    """
    queues = new_queues()
    for _ in range(400):
        queues.push('large', 'large')
    for _ in range(5):
        queues.push('unknown', 'unknown')
    served = [queues.pop() for _ in range(240)]
    assert served.count('unknown') >= 3


def test_queues_are_bounded_and_items_removable() -> None:
    """Guards against one team filling the memory or the queues of others."""
    queues = new_queues(max_per_team=3, max_total=5)
    tickets = [queues.push('large', number) for number in range(4)]
    assert tickets[3] is None
    small = queues.push('small', 10)
    assert small is not None
    assert queues.push('middle', 11) is not None
    assert queues.push('middle', 12) is None
    assert queues.remove('large', tickets[0])
    assert not queues.remove('large', tickets[0])
    assert queues.waiting_count('large') == 2 and len(queues) == 4
    assert queues.push('middle', 13) is not None
    assert queues.current_share('large') == 64 / 84
    assert queues.remove('small', small)
    assert queues.current_share('large') == 64 / 80
