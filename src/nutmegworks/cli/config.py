"""Commands that read the configuration and its history."""
from __future__ import annotations

import datetime
import typing

import msgspec
import typer

from nutmegworks.cli import output
from nutmegworks.cli import session
from nutmegworks.configuration import change as changes
from nutmegworks.configuration import difference
from nutmegworks.configuration import document as documents

app = typer.Typer(no_args_is_help=True, help='The accepted configuration.')

After = typing.Annotated[
    int, typer.Option(help='Only changes after this sequence.')]


@app.command()
def show(context: typer.Context) -> None:
    """Print the whole configuration as JSON."""
    view = session.from_context(context).configuration()
    output.show(output.OutputFormat.JSON, view, [], [])


def _fetch_history(
    context: typer.Context,
    after: int,
) -> list[changes.AcceptedChange]:
    response = session.from_context(context).daemon.call(
        'GET', f'/v1/config/history?after={after}'
    )
    return msgspec.json.decode(
        response.body, type=list[changes.AcceptedChange]
    )


@app.command()
def history(context: typer.Context, after: After = 0) -> None:
    """List accepted changes, oldest first."""
    accepted = _fetch_history(context, after)
    rows = [
        [
            item.sequence,
            _time_text(item.change.at),
            item.change.author,
            item.change.change_id,
            ' '.join(sorted(item.change.written_paths())),
        ] for item in accepted
    ]
    header = ['sequence', 'time', 'author', 'change', 'touches']
    output.show(
        session.from_context(context).output_format, accepted, header, rows
    )


@app.command()
def diff(context: typer.Context, after: After = 0) -> None:
    """Print what has changed after a sequence."""
    accepted = _fetch_history(context, 0)
    before = documents.EMPTY
    document = documents.EMPTY
    for item in accepted:
        document = changes.apply(document, item.change)
        if item.sequence <= after:
            before = document
    operations = difference.between(before, document)
    rows = [
        [item.written_path(),
         msgspec.json.encode(item).decode()] for item in operations
    ]
    output.show(
        session.from_context(context).output_format, operations,
        ['entry', 'operation'], rows
    )


def _time_text(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.isoformat(timespec='seconds')


__all__ = ('app', )
