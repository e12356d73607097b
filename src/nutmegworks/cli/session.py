"""What all commands of one invocation share."""
from __future__ import annotations

import dataclasses
import getpass
import secrets
import time

import msgspec
import typer

from nutmegworks.cli import client
from nutmegworks.cli import output
from nutmegworks.configuration import change as changes
from nutmegworks.entry import operators


@dataclasses.dataclass(slots=True)
class Session:
    """The daemon to talk to and the form of the output."""

    daemon: client.Client
    form: output.OutputFormat
    change_id: str

    def configuration(self) -> operators.ConfigurationView:
        """Return the accepted configuration."""
        response = self.daemon.call('GET', '/v1/config')
        return msgspec.json.decode(
            response.body, type=operators.ConfigurationView
        )

    def change(self, *operations: changes.Operation) -> None:
        """Have a change accepted; it applies as a whole or not at all."""
        base = self.configuration().sequence
        change = changes.Change(
            self.change_id or secrets.token_hex(8),
            getpass.getuser(),
            int(time.time()),
            operations,
        )
        typer.echo(f'change {change.change_id}', err=True)
        request = operators.ChangeRequest(base, change)
        response = self.daemon.call('POST', '/v1/config/changes', request)
        sequence = msgspec.json.decode(response.body)['sequence']
        output.show(
            self.form, {
                'sequence': sequence,
                'change_id': change.change_id
            }, ['accepted'], [[sequence]]
        )


def of(context: typer.Context) -> Session:
    """Return the session of an invocation."""
    session = context.obj
    assert isinstance(session, Session)
    return session


__all__ = ('Session', 'of')
