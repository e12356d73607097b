from __future__ import annotations

import pathlib

from standins import faultrun

SEED = 3
SECONDS = 7.0


def test_short_run_breaks_no_promise(tmp_path: pathlib.Path) -> None:
    """Faults in combination find what tests of one fault each miss."""
    assert faultrun.execute(SEED, SECONDS, tmp_path) == []
