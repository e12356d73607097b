from __future__ import annotations

import pytest
import typer

from nutmegworks.cli import client
from nutmegworks.model import verdict
from nutmegworks.net import message
from nutmegworks.net import server

Reason = verdict.Reason


def exit_code(response: message.Response, method: str = 'POST') -> int:
    with pytest.raises(typer.Exit) as caught:
        client.fail_response(response, changes=method != 'GET')
    return caught.value.exit_code


@pytest.mark.parametrize(
    ('reason', 'refuse', 'expected'),
    [
        (Reason.STORE_UNAVAILABLE, verdict.may_have_run, 'UNKNOWN'),
        (Reason.STORE_UNAVAILABLE, verdict.did_not_run, 'UNAVAILABLE'),
        (Reason.OVERLOADED, verdict.may_have_run, 'UNKNOWN'),
        (Reason.UNKNOWN_CLASS, verdict.may_have_run, 'UNKNOWN'),
        (Reason.UNKNOWN_CLASS, verdict.did_not_run, 'REFUSED'),
        (Reason.NEVER_FITS, verdict.may_have_run, 'UNKNOWN'),
        (Reason.INTERNAL, verdict.may_have_run, 'UNKNOWN'),
        (Reason.KEY_REUSED, verdict.may_have_run, 'REFUSED'),
        (Reason.NOT_FOUND, verdict.may_have_run, 'REFUSED'),
        (Reason.FORBIDDEN, verdict.may_have_run, 'UNAUTHENTICATED'),
    ],
)
def test_refusal_that_may_have_run_is_not_reported_as_unchanged(
    reason,
    refuse,
    expected,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """An operator told that nothing changed would submit a job twice."""
    response = server.refusal_response(refuse(reason, 'why'))
    assert exit_code(response) == client.ExitCode[expected]
    unchanged = 'this call changed nothing' in capsys.readouterr().err
    assert unchanged is (expected in ('UNAVAILABLE', 'REFUSED'))


def test_failed_read_changes_nothing() -> None:
    """A read that fails must not be reported as of unknown effect."""
    refusal = verdict.may_have_run(Reason.STORE_UNAVAILABLE, 'down')
    response = server.refusal_response(refusal)
    assert exit_code(response, 'GET') == client.ExitCode.UNAVAILABLE


def test_server_error_without_a_body_is_unknown() -> None:
    """A daemon that failed while it handled a call may have changed much."""
    response = message.Response(500)
    assert exit_code(response) == client.ExitCode.UNKNOWN
