from __future__ import annotations

import pathlib

from nutmegworks.settings import reference

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'


def test_documentation_matches_the_schema() -> None:
    """The settings reference must be regenerated with each change."""
    assert PAGE.read_text(encoding='utf-8').endswith(reference.render())
