from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from nutmegworks.accounting import ledger
from nutmegworks.accounting import report
from nutmegworks.accounting import use

_DAY = report.DAY_MS
_START = 20_791 * _DAY + 12_345
_USES = (
    use.running('a', 'plan', 'a'),
    use.running('a', 'plan', 'b'),
    use.running('b', 'chime', ''),
    use.Use(use.Category.RECLAIMED, 'a', 'plan', 'b'),
    use.Use(use.Category.IDLE),
    use.Use(use.Category.IDLE_SCATTERED),
    use.Use(use.Category.QUARANTINED),
    use.Use(use.Category.LOST),
)
_STEPS = strategies.tuples(
    strategies.integers(-1000, _DAY),
    strategies.sampled_from(['change', 'lose', 'restore', 'reconcile']),
    strategies.integers(0, 11),
    strategies.none() | strategies.sampled_from(_USES),
    strategies.integers(0, 1000),
)


@pytest.mark.parametrize('max_rows', [ledger.MAX_ROWS, 2])
@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(steps=strategies.lists(_STEPS, max_size=40))
def test_ledger_matches_a_count_per_accelerator(max_rows, steps) -> None:
    """Guards against time that is counted twice or not at all.

    Applies random steps to a ledger and to a plain list of accelerators.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ledger, 'MAX_ROWS', max_rows)
        _compare_with_plain_count(steps, exact=max_rows > 2)


def _compare_with_plain_count(steps, *, exact) -> None:
    account, now = ledger.Ledger('east', _START), _START
    uses, expected = [None] * 12, collections.Counter()
    capacity, reports = collections.Counter(), []
    for delay, action, index, after, lost_ms in steps:
        # Time passes, across midnight too, and the use changes.
        end = max(now, now + delay)
        while now < end:
            until = min(end, (now // _DAY + 1) * _DAY)
            for item in filter(None, uses):
                expected[now // _DAY, item] += until - now
                capacity[now // _DAY] += until - now
            now = until
        account.today(now)
        if action == 'change':
            account.change(uses[index], after, 1, now + min(delay, 0))
            uses[index] = after
        elif action == 'reconcile':
            uses = uses[index:] + [after] * index
            account.reconcile(collections.Counter(filter(None, uses)), now)
        elif action == 'restore':
            reports += account.take_closed(now)
            account = ledger.Ledger.restore(account.snapshot(now))
        elif after and after.team_id:
            moved = account.mark_lost(after, lost_ms, now)
            day, undone = now // _DAY, use.Use(
                use.Category.LOST, after.team_id, after.class_id
            )
            expected[day, after] -= moved
            expected[day, undone] += moved
    # The ledger agrees with the list to the millisecond.
    reports += [*account.take_closed(now), account.today(now)]
    merged = report.merge(reports)
    assert not merged.imbalance_ms_by_day()
    assert merged.capacity_ms == sum(capacity.values())
    if exact:
        assert merged.rows == report.make_rows(expected)
    categories = collections.Counter()
    for (day, item), ms in expected.items():
        categories[item.category] += ms
    assert merged.total_by(lambda row: row.use.category) == +categories


def test_inconsistent_changes_are_rejected() -> None:
    """Guards against an accelerator in two categories or in none."""
    account = ledger.Ledger('east', _START)
    account.change(None, _USES[0], 3, _START)
    for before, number in ((_USES[0], 4), (_USES[1], 1), (None, -1)):
        with pytest.raises(ledger.LedgerError):
            account.change(before, _USES[4], number, _START)
    with pytest.raises(ledger.LedgerError):
        account.mark_lost(_USES[0], -1, _START)
    for category in (use.Category.LENT, use.Category.GUARANTEED):
        with pytest.raises(use.UseError):
            use.Use(category, 'a', 'plan', 'a')
    with pytest.raises(use.UseError):
        use.Use(use.Category.IDLE, 'a', 'plan', 'a')
    # A snapshot must not lose a closed day; the time of a long gap is unknown
    # and not counted.
    account.today(_START + 1)
    later = _START + ledger.MAX_GAP_MS + 2
    with pytest.raises(ledger.LedgerError):
        account.snapshot(later)
    closed = report.merge(account.take_closed(later))
    assert closed.capacity_ms == 3
    assert account.today(later + 5).capacity_ms == 15


def test_rows_and_reasons_are_bounded(monkeypatch) -> None:
    """Guards against memory that grows with the number of distinct names.

    Names come from the configuration and from callers.
    """
    monkeypatch.setattr(ledger, 'MAX_ROWS', 10)
    account = ledger.Ledger('east', _START)
    uses = [use.running(f'{n}', 'plan', f'{n + 1}') for n in range(100)]
    for number, item in enumerate(uses + uses):
        account.change(None, item, 1, _START)
        account.record(
            report.Decision(
                _START,
                report.DecisionKind.WAITING,
                'job',
                'team',
                'plan',
                f'{number}' * 99,
            )
        )
    today = account.today(_START + 1)
    assert len(today.rows) < 15
    assert today.capacity_ms == 200 and not today.imbalance_ms_by_day()
    assert max(
        len(item.reason) for item in today.reasons
    ) == report.MAX_TEXT_CHARACTERS
    for number in range(2 * ledger.MAX_REASONS):
        decision = msgspec.structs.replace(
            today.decisions[0], reason=f'r{number}'
        )
        account.record(decision)
    assert len(account.today(_START).reasons) <= ledger.MAX_REASONS + 1
    # Accelerators can be removed from detailed and aggregated rows together.
    for item in uses[:10]:
        account.change(item, None, 2, _START + 1)
    end = _START + _DAY
    account.take_closed(end)
    account.change(None, uses[50], 1, end)
    account.change(uses[50], None, 3, end)
    assert account.count(uses[50]) == 0
    for item in uses[10:50] + uses[51:]:
        account.change(item, None, 2, end)
    assert account.today(end + 9).capacity_ms == account.today(end).capacity_ms


def test_snapshot_is_small_at_1100_teams_and_10_classes() -> None:
    """Guards against a snapshot beyond the store's limit of 1 MB."""
    source = random.Random(5)
    account, now = ledger.Ledger('east', _START), _START
    pairs = [(t, c) for t in range(1100) for c in range(10)]
    for team, work_class in pairs:
        names = (f'team-{team:04}', f'class-{work_class}')
        owner = f'team-{(team + 1 + source.randrange(1000)) % 1100:04}'
        for owner_id in (names[0], source.choice(['', owner])):
            now += source.randrange(4000)
            item = use.running(*names, owner_id)
            account.change(None, item, source.randrange(1, 9), now)
        reason = f'reason {source.randrange(30)}'
        account.record(
            report.Decision(
                now,
                report.DecisionKind.REFUSED,
                f'{source.getrandbits(128):032x}',
                *names,
                reason,
                'd' * 500,
            )
        )
    snapshot = account.snapshot(now)
    assert len(account.today(now).rows) == 22_000 - 1
    assert len(snapshot) < 400_000
    # A new owner of the shard continues with the same ledger.
    restored = ledger.Ledger.restore(snapshot)
    assert restored.today(now + 9) == account.today(now + 9)
