"""Commands for classes of work."""
from __future__ import annotations

import typing

import typer

from nutmegworks.cli import client
from nutmegworks.cli import output
from nutmegworks.cli import session
from nutmegworks.configuration import change as changes
from nutmegworks.configuration import document as documents
from nutmegworks.settings import values

app = typer.Typer(no_args_is_help=True, help='Classes of work.')

Name = typing.Annotated[str, typer.Argument(help='Name of the class.')]


@app.command('list')
def list_classes(context: typer.Context) -> None:
    """List all classes."""
    current = session.from_context(context)
    classes = current.configuration().document.classes
    rows = [
        [
            name,
            entry.service,
            f'{entry.target:g} s',
            f'{entry.guaranteed_share:g}',
            'yes' if entry.idempotent else 'no',
            'yes' if entry.interruptible else 'no',
            ','.join(entry.teams),
        ] for name, entry in sorted(classes.items())
    ]
    header = [
        'class', 'service', 'target', 'share', 'idempotent', 'interruptible',
        'teams'
    ]
    output.show(current.output_format, classes, header, rows)


@app.command()
def put(
    context: typer.Context,
    name: Name,
    service: typing.Annotated[str,
                              typer.Option(help='Name of the service.')],
    target: typing.Annotated[
        str, typer.Option(help='Completion target, for example "30 s".')],
    share: typing.Annotated[
        float, typer.Option(help='Guaranteed share, 0 to 1.')] = 0.0,
    team: typing.Annotated[
        list[str], typer.Option(help='Entitled team; repeatable.')] = [],
    idempotent: typing.Annotated[
        bool,
        typer.Option('--idempotent', help='May safely run twice.')] = False,
    interruptible: typing.Annotated[
        bool,
        typer.Option('--interruptible', help='Jobs can be checkpointed.'),
    ] = False,
) -> None:
    """Create or replace a class."""
    try:
        seconds = values.parse_seconds(target)
    except ValueError as error:
        client.fail(client.ExitCode.USAGE, f'--target {target!r} {error}')
    entry = documents.ClassEntry(
        service=service,
        target=seconds,
        guaranteed_share=share,
        idempotent=idempotent,
        interruptible=interruptible,
        teams=tuple(team),
    )
    session.from_context(context).change(changes.PutClass(name, entry))


@app.command()
def remove(context: typer.Context, name: Name) -> None:
    """Remove a class."""
    session.from_context(context).change(changes.RemoveClass(name))


__all__ = ('app', )
