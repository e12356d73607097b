from __future__ import annotations

from nutmegworks.model import verdict


def test_every_reason_has_an_http_status() -> None:
    """A reason without a status would make the refusal raise a KeyError."""
    assert set(verdict.HTTP_STATUS_BY_REASON) == set(verdict.Reason)
