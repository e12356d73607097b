from __future__ import annotations

import hypothesis
from hypothesis import strategies

from nutmegworks.accounting import attribution
from nutmegworks.accounting import use

_TEAMS = strategies.sampled_from('abcd')
_COUNTS = strategies.integers(0, 9)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.dictionaries(
        strategies.tuples(_TEAMS, strategies.sampled_from('xy')), _COUNTS
    ),
    strategies.dictionaries(_TEAMS, _COUNTS),
    _COUNTS,
)
def test_nothing_is_counted_twice(running, guaranteed, spare) -> None:
    """A guarantee must not be both used by its team and lent."""
    counts = attribution.attribute(running, guaranteed, spare)
    assert sum(counts.values()) == sum(running.values())
    for team, guarantee in guaranteed.items():
        wanted = sum(n for (who, _), n in running.items() if who == team)
        own = sum(
            n for item, n in counts.items() if
            item.category is use.Category.GUARANTEED and item.team_id == team
        )
        lent = sum(n for item, n in counts.items() if item.lender_id == team)
        assert own == min(wanted, guarantee)
        assert own + lent <= guarantee
