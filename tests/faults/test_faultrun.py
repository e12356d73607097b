"""A short run of a cluster under seeded faults."""
from __future__ import annotations

import pathlib

from standins import faultrun

SEED = 3
RUN_SECONDS = 7.0


def test_short_run_has_no_violations(tmp_path: pathlib.Path) -> None:
    """Guards against failures that only a combination of faults causes."""
    assert faultrun.execute(SEED, RUN_SECONDS, tmp_path) == []
