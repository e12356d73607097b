from __future__ import annotations

from nutmegworks.model import verdict


def test_every_reason_has_a_status() -> None:
    """A reason without a status would turn a refusal into a crash."""
    assert set(verdict.HTTP_STATUS_BY_REASON) == set(verdict.Reason)
