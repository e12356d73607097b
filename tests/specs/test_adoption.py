from __future__ import annotations

import minicheck

from nutmegworks.configuration import adoption
from nutmegworks.configuration import document
from nutmegworks.configuration import records
from nutmegworks.model import ids
from specs import adoption as spec


def verdicts(model: minicheck.Protocol) -> dict[str, bool | None]:
    report = minicheck.check_safety(model)
    return {
        name: found['holds']
        for name, found in report['properties'].items()
    }


def test_adoption_never_reverts_and_can_always_finish() -> None:
    """No order of stale reads, late messages and restarts may break it."""
    model = spec.protocol()
    assert set(verdicts(model).values()) == {True}
    assert minicheck.check_liveness(model)['holds'] is True


def test_checker_refutes_broken_decisions() -> None:
    """A model that cannot fail would prove nothing."""

    def latest_wins(current: int, first: int, last: int) -> adoption.Action:
        return adoption.Action.ADOPT

    def gaps_allowed(current: int, first: int, last: int) -> adoption.Action:
        newer = last > current
        return adoption.Action.ADOPT if newer else adoption.Action.IGNORE

    assert verdicts(spec.protocol(latest_wins))['never_reverted'] is False
    found = verdicts(spec.protocol(gaps_allowed))
    assert found['no_gaps'] is False and found['never_reverted'] is True
    any_snapshot = spec.protocol(newer=lambda current, offered: True)
    assert verdicts(any_snapshot)['never_reverted'] is False


def test_model_decides_as_the_code_on_snapshots() -> None:
    """The model and the code must not drift apart."""
    for current in range(1, 4):
        _, adopted = adoption.adopt_snapshot(
            None,
            records.Snapshot(ids.ConfigSequence(current), document.EMPTY),
        )
        for offered in range(1, 4):
            step, _ = adoption.adopt_snapshot(
                adopted,
                records.Snapshot(ids.ConfigSequence(offered), document.EMPTY),
            )
            adopts = step is adoption.Action.ADOPT
            assert adopts == spec.is_newer(current, offered)
