from __future__ import annotations

import pytest

from nutmegworks.entry import keyverdict
from nutmegworks.model import verdict

REFUSAL = verdict.did_not_run(verdict.Reason.OVERLOADED)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({}, verdict.Verdict.DID_NOT_RUN),
        (
            {
                'idempotency-key': 'k',
                'nutmeg-attempt': '1'
            }, verdict.Verdict.DID_NOT_RUN
        ),
        ({
            'idempotency-key': 'k'
        }, verdict.Verdict.MAY_HAVE_RUN),
        (
            {
                'idempotency-key': 'k',
                'nutmeg-attempt': '2'
            }, verdict.Verdict.MAY_HAVE_RUN
        ),
        (None, verdict.Verdict.MAY_HAVE_RUN),
    ],
)
def test_refusal_before_the_claim_is_read(
    fields: dict[str, str] | None,
    expected: verdict.Verdict,
) -> None:
    """Guards against telling a retry that no attempt with its key has run.

    A daemon that has not read the claim doesn't know about earlier attempts.
    """
    assert keyverdict.adjust_refusal(fields, REFUSAL).verdict is expected
