"""Writes the results of a load run as JSON and as an SVG plot."""
from __future__ import annotations

import math
import pathlib
import typing

from hdrh import histogram
import msgspec

from nutmegworks.bench import load

WIDTH: typing.Final = 720
HEIGHT: typing.Final = 420
MARGIN: typing.Final = 60
# The plot ends at 99.99 %; the axis counts the nines.
NINES: typing.Final = 4.0
STEPS: typing.Final = 160
COLORS: typing.Final = ('#1b6ca8', '#c8553d', '#4a7c59', '#7d5ba6', '#888888')

_Curve = list[tuple[float, float]]


def write(
    directory: pathlib.Path,
    run: load.Load,
    parameters: dict[str, typing.Any],
) -> None:
    """Write ``load.json`` and ``load.svg``."""
    directory.mkdir(parents=True, exist_ok=True)
    series = {kind.value: item for kind, item in run.series_by_kind.items()}
    value = {
        'parameters': parameters,
        'kinds': {
            name: item.summary()
            for name, item in series.items()
        },
    }
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    (directory / 'load.json').write_bytes(text + b'\n')
    curves = {
        name: curve(item.latency)
        for name, item in series.items()
        if item.latency.get_total_count()
    }
    (directory / 'load.svg').write_text(svg(curves))


def curve(latency: histogram.HdrHistogram) -> _Curve:
    """Return points of nines and milliseconds."""
    points = []
    for step in range(STEPS + 1):
        nines = NINES * step / STEPS
        percentile = 100.0 * (1.0 - 10.0**-nines)
        value = latency.get_value_at_percentile(percentile) / 1000
        points.append((nines, max(0.01, value)))
    return points


def svg(curves: typing.Mapping[str, _Curve]) -> str:
    """Return a plot with a logarithmic axis of milliseconds."""
    values = [value for points in curves.values() for _, value in points]
    low = math.floor(math.log10(min(values, default=0.1)))
    high = max(low + 1, math.ceil(math.log10(max(values, default=1.0))))
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
        _text(MARGIN, 20, 'latency in ms by percentile'),
    ]
    for nines, label in enumerate(('0', '90', '99', '99.9', '99.99')):
        x = _x(nines)
        parts.append(_line(x, MARGIN, x, HEIGHT - MARGIN))
        parts.append(_text(x - 10, HEIGHT - MARGIN + 18, f'{label} %'))
    for power in range(low, high + 1):
        y = _y(10.0**power, low, high)
        parts.append(_line(MARGIN, y, WIDTH - MARGIN, y))
        parts.append(_text(8, y + 4, f'{10.0**power:g}'))
    for color, (name, points) in zip(COLORS, curves.items()):
        path = ' '.join(
            f'{_x(nines):.1f},{_y(value, low, high):.1f}'
            for nines, value in points
        )
        parts.append(
            f'<polyline fill="none" stroke="{color}" stroke-width="2" '
            f'points="{path}"/>'
        )
        height = 40 + 16 * list(curves).index(name)
        parts.append(_text(MARGIN + 8, MARGIN + height, name, color))
    return '\n'.join((*parts, '</svg>', ''))


def _x(nines: float) -> float:
    return MARGIN + (WIDTH - 2 * MARGIN) * nines / NINES


def _y(value: float, low: int, high: int) -> float:
    part = (math.log10(value) - low) / (high - low)
    return HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * part


def _line(x1: float, y1: float, x2: float, y2: float) -> str:
    return (
        f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
        'stroke="#ddd"/>'
    )


def _text(x: float, y: float, text: str, color: str = '#333') -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" fill="{color}">{text}</text>'


__all__ = ('curve', 'svg', 'write')
