"""The command that says where jobs lost their time."""
from __future__ import annotations

import sys
import typing

import typer

from nutmegworks.cli import client
from nutmegworks.cli import output
from nutmegworks.cli import session
from nutmegworks.telemetry import losses as log_losses


def losses(
    context: typer.Context,
    files: typing.Annotated[
        list[typer.FileText],
        typer.Argument(help="Daemons' logs; - for standard input.")],
    worst: typing.Annotated[
        int, typer.Option(min=0, help='Late jobs to list.')] = 10,
) -> None:
    """Read daemons' logs; say what jobs waited for and why they were late."""
    found = log_losses.evaluate(
        (line for file in files for line in file), worst
    )
    if not found.by_queue:
        client.fail(
            client.ExitCode.USAGE,
            f'no ended job in the logs ({found.cut} lines are cut, '
            f'{found.foreign} are of another origin)'
        )
    form = session.from_context(context).output_format
    output.show(
        form,
        found,
        ['queue', 'jobs', 'late', 'late by main cause', 'seconds waited'],
        [
            [
                name,
                queue.jobs,
                queue.late,
                _join(queue.late_by_cause),
                _join(queue.waited_by_cause),
            ] for name, queue in sorted(found.by_queue.items())
        ],
    )
    if form is output.OutputFormat.TABLE:
        _show_worst(found)
    if found.cut or found.foreign:
        print(
            f'{found.cut} lines are cut, {found.foreign} are of another '
            'origin; they were left out',
            file=sys.stderr,
        )


def _show_worst(found: log_losses.Losses) -> None:
    for job in found.worst:
        typer.echo(
            f'\n{job.job} of {job.queue}: {job.state} after {job.age:.2f} s, '
            f'objective {job.objective:.2f} s, {job.main_cause()}; waited '
            f'{_join(job.seconds_by_cause) or "for nothing"}'
        )
        for start in job.history:
            typer.echo(f'  {start}')


def _join(numbers_by_cause: typing.Mapping[str, float]) -> str:
    return ', '.join(
        f'{cause} {number:.4g}'
        for cause, number in sorted(numbers_by_cause.items())
    )


__all__ = ('losses', )
