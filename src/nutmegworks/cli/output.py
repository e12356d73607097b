"""Prints results as a table or as JSON."""
from __future__ import annotations

import enum
import typing

import msgspec
import typer


class OutputFormat(str, enum.Enum):
    TABLE = 'table'
    JSON = 'json'


Row = typing.Sequence[object]


def show(
    output_format: OutputFormat,
    value: object,
    header: typing.Sequence[str],
    rows: typing.Iterable[Row],
) -> None:
    """Print a value as JSON, or the given rows as a table."""
    if output_format is OutputFormat.JSON:
        encoded = msgspec.json.encode(value)
        typer.echo(msgspec.json.format(encoded, indent=2).decode())
        return
    typer.echo(table(header, rows))


def table(header: typing.Sequence[str], rows: typing.Iterable[Row]) -> str:
    """Return a table with left-aligned columns.

    >>> print(table(['team', 'shapes'], [['north', '2x8']]))
    TEAM   SHAPES
    north  2x8
    """
    lines = [[name.upper() for name in header]]
    lines.extend([str(cell) for cell in row] for row in rows)
    widths = [max(len(cell) for cell in column) for column in zip(*lines)]
    return '\n'.join(
        '  '.join(cell.ljust(width)
                  for cell, width in zip(line, widths)).rstrip()
        for line in lines
    )


__all__ = ('OutputFormat', 'Row', 'show', 'table')
