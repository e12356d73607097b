from __future__ import annotations

import pathlib

import pytest

from nutmegworks.settings import loader

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
PATHS = sorted(EXAMPLES.glob('*/*.ini'))


@pytest.mark.parametrize('path', PATHS, ids=lambda path: path.stem)
def test_sample_settings_are_valid(path: pathlib.Path) -> None:
    """The sample settings must be accepted by the daemon."""
    assert loader.load(str(path)).is_ok()


def test_samples_cover_both_deployments() -> None:
    assert {path.parent.name for path in PATHS} == {'balqa', 'dongho'}
