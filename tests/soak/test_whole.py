"""All that keeps work off workers at once, on real processes."""
from __future__ import annotations

import pathlib

import curio

from tests.soak import whole


def test_no_job_waits_beside_room(tmp_path: pathlib.Path) -> None:
    """Guards against reasons to avoid workers that add up to a lost job."""
    play = whole.WholePlay(tmp_path)
    curio.run(play.run)
    assert play.checker.violations == []
    states = {
        job_id: view.states[-1]
        for job_id, view in play.checker.jobs_by_id.items()
    }
    assert states[whole.LABELLED_JOB] == 'succeeded'
    assert states[whole.WIDE_GANG] == 'succeeded'
    # It has room once the tasks that last are cancelled.
    assert states[whole.WHOLE_GANG] == 'succeeded'
