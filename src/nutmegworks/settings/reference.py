"""Renders the settings reference for the documentation."""
from __future__ import annotations

from nutmegworks.settings import schema


def render() -> str:
    """Return a Markdown table of every setting."""
    lines = [
        '| section | key | default | meaning |', '| --- | --- | --- | --- |'
    ]
    for field in schema.FIELDS:
        default = 'required' if field.default is None else field.default
        lines.append(
            f'| {field.section} | {field.key} | {default or "empty"} '
            f'| {field.description} |'
        )
    return '\n'.join(lines) + '\n'


__all__ = ('render', )
