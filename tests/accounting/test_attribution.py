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
def test_each_running_accelerator_is_counted_once(
    running, guaranteed, unguaranteed
) -> None:
    """Guards against a guarantee that counts as used and as lent at once."""
    counts = attribution.attribute(running, guaranteed, unguaranteed)
    assert sum(counts.values()) == sum(running.values())
    for team, guarantee in guaranteed.items():
        running_count = sum(
            count for (team_id, _), count in running.items() if team_id == team
        )
        own = sum(
            count for item, count in counts.items() if
            item.category is use.Category.GUARANTEED and item.team_id == team
        )
        lent = sum(
            count for item, count in counts.items() if item.lender_id == team
        )
        assert own == min(running_count, guarantee)
        assert own + lent <= guarantee
