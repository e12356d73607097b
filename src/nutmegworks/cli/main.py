"""The command line of ``nutmeg``."""
from __future__ import annotations

import typing

import typer

from nutmegworks.cli import bench
from nutmegworks.cli import classes
from nutmegworks.cli import client
from nutmegworks.cli import config
from nutmegworks.cli import jobs
from nutmegworks.cli import losses
from nutmegworks.cli import output
from nutmegworks.cli import session
from nutmegworks.cli import status
from nutmegworks.cli import teams

app = typer.Typer(
    no_args_is_help=True,
    help='State targets and guarantees, and see what nutmegworks does.',
)
app.add_typer(classes.app, name='class')
app.add_typer(teams.app, name='team')
app.add_typer(teams.guarantees, name='guarantee')
app.add_typer(config.app, name='config')
app.add_typer(jobs.app, name='job')
app.command('explain')(jobs.explain)
app.command('status')(status.status)
app.command('account')(status.account)
app.command('bench')(bench.bench)
app.command('losses')(losses.losses)


@app.callback()
def prepare(
    context: typer.Context,
    address: typing.Annotated[
        str,
        typer.
        Option(envvar='NUTMEG_ADDRESS', help='The balancer or a daemon.')
    ] = '127.0.0.1:9001',
    token: typing.Annotated[
        str, typer.Option(envvar='NUTMEG_TOKEN', help='Bearer token.')] = '',
    form: typing.Annotated[
        output.OutputFormat,
        typer.Option('--output', '-o', help='Form of the output.'),
    ] = output.OutputFormat.TABLE,
    change_id: typing.Annotated[
        str,
        typer.Option(help='Repeat a change whose outcome is not known.')] = '',
) -> None:
    """Read the options that all commands share."""
    daemon = client.Client(address, token)
    context.obj = session.Session(daemon, form, change_id)


def main() -> None:
    """Run the command line."""
    app()


__all__ = ('app', 'main', 'prepare')
