from __future__ import annotations

import minicheck
import pytest

from specs import acknowledgement
from specs import gang
from specs import ownership
from specs import worker_lease

# The largest model that is explored completely has about 194,000 states.
MAX_STATES = 250_000
# A violation is valid even if the search stops at this limit.
MAX_STATES_BROKEN = 150_000


@pytest.mark.parametrize(
    'model',
    [
        acknowledgement.acknowledgement_model,
        gang.commit_model,
        gang.lease_model,
        ownership.ownership_model,
        worker_lease.lease_model,
    ],
)
def test_protocol_holds(model) -> None:
    """Each protocol keeps its invariants in every reachable state."""
    checked = minicheck.check_safety(model(), max_states=MAX_STATES)
    assert checked['exhaustive']
    for name, result in checked['properties'].items():
        assert result['holds'] is True, (name, result)


@pytest.mark.parametrize(
    ('model', 'broken', 'invariant'),
    [
        (
            acknowledgement.acknowledgement_model,
            'carry-always',
            'acknowledged_ends_are_processed',
        ),
        (
            acknowledgement.acknowledgement_model,
            'start-beside',
            'acknowledged_ends_are_processed',
        ),
        (gang.commit_model, 'no-commit', 'executes_only_if_committed'),
        (gang.commit_model, 'no-adopt', 'executes_at_most_once'),
        (gang.commit_model, 'restart', 'executes_at_most_once'),
        (
            gang.lease_model,
            'renew-always',
            'partial_execution_is_bounded',
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
            'worker_rejects_lower_tokens',
        ),
        (
            worker_lease.lease_model,
            'prolong',
            'lease_of_a_silent_worker_ends',
        ),
        (worker_lease.lease_model, 'count-answered', 'task_runs_once'),
        (worker_lease.lease_model, 'no-margin', 'task_runs_once'),
        (worker_lease.lease_model, 'removal-loses', 'task_runs_once'),
        (worker_lease.lease_model, 'restart-loses-all', 'task_runs_once'),
        (worker_lease.lease_model, 'same-incarnation', 'task_runs_once'),
    ],
)
def test_broken_variant_is_refuted(model, broken, invariant) -> None:
    """Each model is precise enough to detect known faults."""
    checked = minicheck.check_safety(
        model(broken), max_states=MAX_STATES_BROKEN
    )
    assert checked['properties'][invariant]['holds'] is False
