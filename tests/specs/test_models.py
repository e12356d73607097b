from __future__ import annotations

import minicheck
import pytest

from specs import gang
from specs import ownership

# The largest model that must be proved has about 194,000 states.
MAX_STATES = 250_000
# A violation found in a partial search is still one.
MAX_STATES_BROKEN = 150_000


@pytest.mark.parametrize(
    'model',
    [gang.commit_model, gang.lease_model, ownership.ownership_model],
)
def test_protocol_holds(model) -> None:
    """A change of the protocol must not lose a promise."""
    checked = minicheck.check_safety(model(), max_states=MAX_STATES)
    assert checked['exhaustive']
    for name, found in checked['properties'].items():
        assert found['holds'] is True, (name, found)


@pytest.mark.parametrize(
    ('model', 'broken', 'promise'),
    [
        (gang.commit_model, 'no-commit', 'executes_only_if_committed'),
        (gang.commit_model, 'no-adopt', 'executes_at_most_once'),
        (gang.commit_model, 'restart', 'executes_at_most_once'),
        (
            gang.lease_model,
            'renew-always',
            'part_executes_alone_for_a_bounded_time',
        ),
        (
            ownership.ownership_model,
            'leased-record',
            'owners_hold_distinct_tokens',
        ),
        (
            ownership.ownership_model,
            'assume-success',
            'owners_hold_distinct_tokens',
        ),
        (
            ownership.ownership_model,
            'no-fence',
            'worker_never_obeys_a_lower_token',
        ),
    ],
)
def test_broken_variant_is_refuted(model, broken, promise) -> None:
    """A model too weak to refute a known fault proves nothing."""
    checked = minicheck.check_safety(
        model(broken), max_states=MAX_STATES_BROKEN
    )
    assert checked['properties'][promise]['holds'] is False
