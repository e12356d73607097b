"""Renders the parts of an HTML page: tables and bars of inline SVG."""
from __future__ import annotations

import typing

from nutmegworks.accounting import table as text_table
from nutmegworks.accounting import use

_BAR_WIDTH: typing.Final = 1000

# Used capacity in blue and green, unused in grey, harm in orange and red.
_COLOUR_BY_CATEGORY: typing.Final = {
    use.Category.GUARANTEED: '#1f5fa8',
    use.Category.BORROWED: '#6aa5d9',
    use.Category.LENT: '#3c9d74',
    use.Category.RECLAIMED: '#b7a12a',
    use.Category.IDLE: '#d5d5d5',
    use.Category.IDLE_SCATTERED: '#8f8f8f',
    use.Category.QUARANTINED: '#e08a2e',
    use.Category.LOST: '#c0392b',
}


def stack(spent: typing.Mapping[use.Category, int], whole: int) -> str:
    """Return one bar of inline SVG, a rectangle for each category."""
    parts = []
    left = 0.0
    for category in use.Category:
        share = spent.get(category, 0) / whole if whole else 0.0
        width = share * _BAR_WIDTH
        if not width:
            continue
        parts.append(
            f'<rect x="{left:.2f}" y="0" width="{width:.2f}" height="20" '
            f'fill="{_COLOUR_BY_CATEGORY[category]}"><title>{category.value}: '
            f'{text_table.hours(spent[category])} h</title></rect>'
        )
        left += width
    return (
        f'<svg viewBox="0 0 {_BAR_WIDTH} 20" preserveAspectRatio="none" '
        f'role="img" aria-label="by use">{"".join(parts)}</svg>'
    )


def table(titles: list[str], rows: list[list[str]], *, numeric: int) -> str:
    """Return a table.

    :param rows: cells in HTML, already escaped.
    :param numeric: how many of the last columns hold numbers.
    """
    if not rows:
        return '<p>None.</p>'
    first_number = len(titles) - numeric
    lines = ['<table>']
    for tag, cells in [('th', titles), *(('td', row) for row in rows)]:
        parts = []
        for index, cell in enumerate(cells):
            kind = ' class="number"' if index >= first_number else ''
            if cell.startswith('<svg'):
                kind = ' class="bar"'
            parts.append(f'<{tag}{kind}>{cell}</{tag}>')
        lines.append(f'<tr>{"".join(parts)}</tr>')
    lines.append('</table>')
    return '\n'.join(lines)


def key(category: use.Category) -> str:
    """Return a square in the colour of a category."""
    colour = _COLOUR_BY_CATEGORY[category]
    return f'<span class="key" style="background:{colour}"></span>'


def percent(part: int, whole: int) -> str:
    """Return a share with one decimal.

    >>> percent(1, 3)
    '33.3%'
    """
    return f'{100 * part / whole:.1f}%' if whole else '0.0%'


__all__ = ('key', 'percent', 'stack', 'table')
