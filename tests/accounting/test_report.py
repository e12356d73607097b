from __future__ import annotations

import pytest

from nutmegworks.accounting import ledger
from nutmegworks.accounting import report
from nutmegworks.accounting import use


def _make_report(
    source: str, start_ms: int, accelerators: int
) -> report.Report:
    account = ledger.Ledger(source, start_ms)
    item = use.running('north', 'plan', 'south')
    account.change(None, item, accelerators, start_ms)
    kind = report.DecisionKind.WAITING
    account.record(
        report.Decision(start_ms, kind, 'j', 'north', 'plan', 'no capacity')
    )
    return account.today(start_ms + 1000)


def test_reports_merge_once_and_round_trip() -> None:
    """Guards against a period that is counted twice when shards are merged."""
    first, second = _make_report('east', 0, 3), _make_report('west', 0, 5)
    later = _make_report('east', 1000, 2)
    merged = report.merge([later, report.merge([second, first])])
    assert [row.accelerator_ms for row in merged.rows] == [10_000]
    assert merged.capacity_ms == 10_000 and not merged.imbalance_ms_by_day()
    assert merged.reasons[0].count == 3 and len(merged.decisions) == 3
    assert merged.parts == (
        report.Part('east', 0, 2000),
        report.Part('west', 0, 1000),
    )
    with pytest.raises(report.MergeError):
        report.merge([merged, _make_report('east', 500, 1)])
    assert report.Report.unpack(merged.pack()) == merged
    assert report.Report.from_json(merged.to_json()) == merged
