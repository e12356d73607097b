"""Writes the results of a load test of nutmegd as JSON and as an SVG plot."""
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
# The x axis shows the number of nines in the percentile, up to 99.99 %.
MAX_NINES: typing.Final = 4.0
CURVE_STEPS: typing.Final = 160
COLORS: typing.Final = ('#1b6ca8', '#c8553d', '#4a7c59', '#7d5ba6', '#888888')

_Curve = list[tuple[float, float]]


def write(
    directory: pathlib.Path,
    generator: load.LoadGenerator,
    parameters: dict[str, typing.Any],
) -> None:
    """Write ``load.json`` and ``load.svg``."""
    directory.mkdir(parents=True, exist_ok=True)
    series = {
        kind.value: item
        for kind, item in generator.series_by_kind.items()
    }
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
    """Return points of (nines of the percentile, milliseconds)."""
    points = []
    for step in range(CURVE_STEPS + 1):
        nines = MAX_NINES * step / CURVE_STEPS
        percentile = 100.0 * (1.0 - 10.0**-nines)
        value = latency.get_value_at_percentile(percentile) / 1000
        points.append((nines, max(0.01, value)))
    return points


def svg(curves: typing.Mapping[str, _Curve]) -> str:
    """Return an SVG plot with a logarithmic axis of milliseconds."""
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
    return MARGIN + (WIDTH - 2 * MARGIN) * nines / MAX_NINES


def _y(value: float, low: int, high: int) -> float:
    fraction = (math.log10(value) - low) / (high - low)
    return HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * fraction


def _line(x1: float, y1: float, x2: float, y2: float) -> str:
    return (
        f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
        'stroke="#ddd"/>'
    )


def _text(x: float, y: float, text: str, color: str = '#333') -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" fill="{color}">{text}</text>'


__all__ = ('curve', 'svg', 'write')
