from __future__ import annotations

import pathlib

from nutmegworks.settings import reference

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'


def test_page_matches_the_code() -> None:
    """A reference that lags behind the code misleads operators."""
    assert PAGE.read_text(encoding='utf-8').endswith(reference.render())
