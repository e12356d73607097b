"""Renders parts of an HTML page: tables, and bars as inline SVG."""
from __future__ import annotations

import typing

from nutmegworks.accounting import table as text_table
from nutmegworks.accounting import use

_BAR_WIDTH: typing.Final = 1000

# Used capacity is blue and green, unused capacity grey, and capacity that a
# fault made unusable orange and red.
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


def stacked_bar(
    ms_by_category: typing.Mapping[use.Category, int],
    whole_ms: int,
) -> str:
    """Return one bar as inline SVG, with a rectangle for each category.

    :param whole_ms: the time that the full width stands for.
    """
    parts = []
    x = 0.0
    for category in use.Category:
        share = ms_by_category.get(category, 0) / whole_ms if whole_ms else 0.0
        width = share * _BAR_WIDTH
        if not width:
            continue
        parts.append(
            f'<rect x="{x:.2f}" y="0" width="{width:.2f}" height="20" '
            f'fill="{_COLOUR_BY_CATEGORY[category]}"><title>{category.value}: '
            f'{text_table.hours(ms_by_category[category])} h</title></rect>'
        )
        x += width
    return (
        f'<svg viewBox="0 0 {_BAR_WIDTH} 20" preserveAspectRatio="none" '
        f'role="img" aria-label="by use">{"".join(parts)}</svg>'
    )


def table(titles: list[str], rows: list[list[str]], *, numeric: int) -> str:
    """Return an HTML table.

    :param rows: cells in HTML, already escaped.
    :param numeric: the number of columns with numbers; these come last.
    """
    if not rows:
        return '<p>None.</p>'
    first_number = len(titles) - numeric
    lines = ['<table>']
    for tag, cells in [('th', titles), *(('td', row) for row in rows)]:
        parts = []
        for index, cell in enumerate(cells):
            attribute = ' class="number"' if index >= first_number else ''
            if cell.startswith('<svg'):
                attribute = ' class="bar"'
            parts.append(f'<{tag}{attribute}>{cell}</{tag}>')
        lines.append(f'<tr>{"".join(parts)}</tr>')
    lines.append('</table>')
    return '\n'.join(lines)


def legend_swatch(category: use.Category) -> str:
    """Return a square in the colour of a category."""
    colour = _COLOUR_BY_CATEGORY[category]
    return f'<span class="key" style="background:{colour}"></span>'


def percent(part: int, whole: int) -> str:
    """Return a share in percent with one decimal.

    >>> percent(1, 3)
    '33.3%'
    """
    return f'{100 * part / whole:.1f}%' if whole else '0.0%'


__all__ = ('legend_swatch', 'percent', 'stacked_bar', 'table')
