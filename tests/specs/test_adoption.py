from __future__ import annotations

import minicheck

from nutmegworks.configuration import adoption
from nutmegworks.configuration import document
from nutmegworks.configuration import records
from nutmegworks.model import ids
from specs import adoption as spec


def check(model: minicheck.Protocol) -> dict[str, bool | None]:
    report = minicheck.check_safety(model)
    return {
        name: checked['holds']
        for name, checked in report['properties'].items()
    }


def test_adoption_never_reverts_and_can_always_finish() -> None:
    """Stale reads, delayed messages and restarts in any order are safe."""
    model = spec.protocol()
    assert set(check(model).values()) == {True}
    assert minicheck.check_liveness(model)['holds'] is True


def test_checker_refutes_broken_decisions() -> None:
    """The model is precise enough to detect wrong decisions."""

    def latest_wins(current: int, first: int, last: int) -> adoption.Action:
        return adoption.Action.ADOPT

    def gaps_allowed(current: int, first: int, last: int) -> adoption.Action:
        newer = last > current
        return adoption.Action.ADOPT if newer else adoption.Action.IGNORE

    assert check(spec.protocol(latest_wins))['never_reverted'] is False
    results = check(spec.protocol(gaps_allowed))
    assert results['no_gaps'] is False and results['never_reverted'] is True
    any_snapshot = spec.protocol(newer=lambda current, offered: True)
    assert check(any_snapshot)['never_reverted'] is False


def test_model_decides_as_the_code_on_snapshots() -> None:
    """A change of the code's rule for snapshots must reach the model."""
    for current in range(1, 4):
        _, adopted = adoption.adopt_snapshot(
            None,
            records.Snapshot(ids.ConfigSequence(current), document.EMPTY),
        )
        for offered in range(1, 4):
            action, _ = adoption.adopt_snapshot(
                adopted,
                records.Snapshot(ids.ConfigSequence(offered), document.EMPTY),
            )
            adopts = action is adoption.Action.ADOPT
            assert adopts == spec.is_newer(current, offered)
