"""The state that all commands of one invocation share."""
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
    """The daemon to call and the options of one invocation.

    :param change_id: id of the change to repeat; empty for a new one.
    """

    daemon: client.Client
    output_format: output.OutputFormat
    change_id: str

    def configuration(self) -> operators.ConfigurationView:
        """Return the accepted configuration."""
        response = self.daemon.call('GET', '/v1/config')
        return msgspec.json.decode(
            response.body, type=operators.ConfigurationView
        )

    def change(self, *operations: changes.Operation) -> None:
        """Submit the operations as one change, which is atomic.

        Prints the change id to stderr, so that the change can be repeated.
        """
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
            self.output_format, {
                'sequence': sequence,
                'change_id': change.change_id
            }, ['accepted'], [[sequence]]
        )


def from_context(context: typer.Context) -> Session:
    """Return the session of an invocation."""
    session = context.obj
    assert isinstance(session, Session)
    return session


__all__ = ('Session', 'from_context')
