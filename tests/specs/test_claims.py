from __future__ import annotations

import minicheck
import pytest

from nutmegworks.adapters import store
from nutmegworks.adapters import upstreams
from nutmegworks.claims import batcher
from nutmegworks.claims import record
from nutmegworks.claims import service
from specs import claims

Variant = claims.Variant
MODELLED_CLASSES = (
    batcher.Batcher,
    service.ClaimService,
    store.Store,
    upstreams.UpstreamClient,
)


def check(variant, attempts):
    model = claims.protocol(variant, attempts=attempts)
    report = minicheck.check_safety(model, max_states=claims.MAX_STATES)
    held = {name: item['holds'] for name, item in report['properties'].items()}
    return report['reachable_states'], held


@pytest.mark.parametrize('variant', (Variant.CORRECT, Variant.UNCOUNTED))
def test_protocol_is_safe(variant) -> None:
    """Both invariants hold in every order of faults, races and pauses."""
    states, held = check(variant, 3)
    assert held == {'at_most_once': True, 'did_not_run_is_correct': True}
    # A model in which no fault occurs would pass too, with fewer states.
    assert states > 50_000


@pytest.mark.parametrize(
    'variant, violated, attempts', (
        (Variant.WRITE_WITHOUT_REVISION, 'at_most_once', 2),
        (Variant.SEND_UNCONFIRMED, 'at_most_once', 2),
        (Variant.TAKE_OVER, 'at_most_once', 2),
        (Variant.LOWER_EPOCH, 'at_most_once', 2),
        (Variant.FINISH_OF_OTHERS, 'at_most_once', 3),
        (Variant.ATTEMPT_ID_REUSED, 'at_most_once', 2),
        (Variant.FAILURE_IS_NOT_RUN, 'at_most_once', 2),
        (Variant.CLAIM_AFTER_FINISH, 'at_most_once', 2),
        (Variant.RETRY_IS_FIRST, 'did_not_run_is_correct', 2),
        (Variant.IN_PROGRESS_IS_NOT_RUN, 'did_not_run_is_correct', 2),
        (Variant.LATE_ATTEMPT, 'did_not_run_is_correct', 2),
    )
)
def test_broken_protocol_is_refuted(variant, violated, attempts) -> None:
    """The model is precise enough to detect each violated rule."""
    assert check(variant, attempts)[1][violated] is False


def test_actions_are_named_after_code() -> None:
    """A renamed function must be renamed in the model as well."""
    model = claims.protocol(attempts=2)
    visited = {model.initial}
    unexplored = [model.initial]
    labels = set()
    while unexplored:
        for label, state in model.transitions(unexplored.pop()):
            labels.add(label.split()[0])
            if state not in visited:
                visited.add(state)
                unexplored.append(state)
    owner_by_name = {owner.__name__: owner for owner in MODELLED_CLASSES}
    owner_by_name['record'] = record
    assert len(labels) >= 11
    for label in labels:
        owner, _, name = label.partition('.')
        assert hasattr(owner_by_name[owner], name), label
