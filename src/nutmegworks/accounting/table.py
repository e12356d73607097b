"""Renders a report as text tables."""
from __future__ import annotations

import datetime
import typing

from nutmegworks.accounting import report
from nutmegworks.accounting import use

HOUR_MS: typing.Final = 3_600_000
UNASSIGNED_LABEL: typing.Final = '(nobody)'

_KEY_BY_DIMENSION: typing.Final = {
    'category': lambda row: row.use.category.value,
    'team': lambda row: row.use.team_id or UNASSIGNED_LABEL,
    'class': lambda row: row.use.class_id or UNASSIGNED_LABEL,
    'lender': lambda row: row.use.lender_id or UNASSIGNED_LABEL,
    'day': lambda row: day_text(row.day),
}
DIMENSIONS: typing.Final = tuple(_KEY_BY_DIMENSION)


def render(account: report.Report, dimension: str = 'team') -> str:
    """Return a table of accelerator-hours by a dimension and by category.

    :param dimension: one of ``DIMENSIONS``.
    """
    categories = [item.value for item in use.Category]
    if dimension == 'category':
        categories = []
    key = _KEY_BY_DIMENSION[dimension]
    cells = account.total_by(lambda row: (key(row), row.use.category.value))
    sums = account.total_by(key)
    lines = [[dimension, *categories, 'sum']]
    for name in sorted(sums):
        values = [cells.get((name, column), 0) for column in categories]
        lines.append([name, *map(hours, values), hours(sums[name])])
    totals = account.total_by(_KEY_BY_DIMENSION['category'])
    values = [totals.get(column, 0) for column in categories]
    lines.append(['sum', *map(hours, values), hours(sum(totals.values()))])
    return _align(lines)


def render_reasons(account: report.Report) -> str:
    """Return a table of how often each reason led to a decision."""
    lines = [['day', 'decision', 'class', 'reason', 'count']]
    for item in account.reasons:
        lines.append(
            [
                day_text(item.day),
                item.kind.value,
                item.class_id,
                item.reason,
                str(item.count),
            ]
        )
    return _align(lines)


def hours(milliseconds: int) -> str:
    """Return accelerator-milliseconds as hours with one decimal.

    >>> hours(5_400_000_000)
    '1,500.0'
    """
    return f'{milliseconds / HOUR_MS:,.1f}'


def day_text(day: int) -> str:
    """Return the date of a day that is given in days since 1970.

    >>> day_text(20_791)
    '2026-12-04'
    """
    date = datetime.date(1970, 1, 1) + datetime.timedelta(days=day)
    return date.isoformat()


def _align(lines: list[list[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*lines)]
    numeric = [
        all(line[index][-1:].isdigit()
            for line in lines[1:])
        for index in range(len(widths))
    ]
    rendered = []
    for line in lines:
        cells = [
            text.rjust(width) if is_number else text.ljust(width)
            for text, width, is_number in zip(line, widths, numeric)
        ]
        rendered.append('  '.join(cells).rstrip())
    return '\n'.join(rendered) + '\n'


__all__ = (
    'DIMENSIONS',
    'HOUR_MS',
    'UNASSIGNED_LABEL',
    'day_text',
    'hours',
    'render',
    'render_reasons',
)
