from __future__ import annotations

import pytest

from nutmegworks.accounting import ledger
from nutmegworks.accounting import report
from nutmegworks.accounting import use


def _account(source: str, start_ms: int, accelerators: int) -> report.Report:
    account = ledger.Ledger(source, start_ms)
    item = use.running('north', 'plan', 'south')
    account.change(None, item, accelerators, start_ms)
    kind = report.DecisionKind.WAITING
    account.record(
        report.Decision(start_ms, kind, 'j', 'north', 'plan', 'no capacity')
    )
    return account.today(start_ms + 1000)


def test_reports_add_up_once_and_survive_serialization() -> None:
    """A day of several shards must add up; a span must not count twice."""
    first, second = _account('east', 0, 3), _account('west', 0, 5)
    later = _account('east', 1000, 2)
    merged = report.merge([later, report.merge([second, first])])
    assert [row.accelerator_ms for row in merged.rows] == [10_000]
    assert merged.capacity_ms == 10_000 and not merged.imbalance_ms_by_day()
    assert merged.reasons[0].count == 3 and len(merged.decisions) == 3
    assert merged.parts == (
        report.Part('east', 0, 2000),
        report.Part('west', 0, 1000),
    )
    with pytest.raises(report.MergeError):
        report.merge([merged, _account('east', 500, 1)])
    assert report.Report.unpack(merged.pack()) == merged
    assert report.Report.from_json(merged.to_json()) == merged
