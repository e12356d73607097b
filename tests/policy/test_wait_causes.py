"""The seconds that a job waits, by cause."""
from __future__ import annotations

import math

from nutmegworks.policy import task_planning
from nutmegworks.policy import wait_causes
from nutmegworks.tasks import spec
from tests import fleet_builders as builders

Cause = wait_causes.WaitCause
FULL = spec.Resources(0, 0, 0)


def test_seconds_are_summed_by_cause() -> None:
    """Guards against waits that are put down to the wrong cause."""
    times = wait_causes.WaitTimes(10.0)
    times.wait_for(Cause.RELEASE, 10.2)
    times.wait_for(Cause.PREEMPTION, 10.5)
    times.stop(10.75)
    times.stop(30.0)
    times.wait_for(Cause.ROOM, 31.0)
    times.stop(31.25)
    expected_by_cause = {
        wait_causes.NO_DECISION: 0.2,
        'release': 0.3,
        'preemption': 0.25,
        'room': 0.25,
    }
    assert times.seconds_by_cause.keys() == expected_by_cause.keys()
    for cause, seconds in expected_by_cause.items():
        assert math.isclose(times.seconds_by_cause[cause], seconds)


def test_time_without_rounds_is_no_decision() -> None:
    """Guards against an outage that is counted as a wait for room."""
    times = wait_causes.WaitTimes(0.0)
    times.wait_for(Cause.ROOM, 0.0)
    times.stop(3.0)
    assert times.seconds_by_cause == {
        'room': wait_causes.MAX_ROUND_SECONDS,
        wait_causes.NO_DECISION: 3.0 - wait_causes.MAX_ROUND_SECONDS,
    }


def _cause(**options: object) -> wait_causes.WaitCause | None:
    """Return why an urgent task of a whole worker waits for a busy one."""
    demand = builders.demand('urgent', accelerators=8, priority=0)
    running = [
        builders.running(
            'low',
            'w1',
            resources=spec.Resources(10_000, 30_000, 8),
            priority=options.get('priority', 2),
            elapsed=options.get('elapsed', 1.0),
        )
    ]
    worker = builders.worker(
        'w1', free=FULL, releases=options.get('releases', ())
    )
    return task_planning.plan([demand], [worker],
                              running).wait_causes.get(demand.key)


def test_urgent_work_waits_for_a_release_or_for_a_victim() -> None:
    """Guards against a plan that does not tell the two apart."""
    assert _cause(releases=[(0.1, builders.WHOLE_WORKER)]) is Cause.RELEASE
    assert _cause() is Cause.PREEMPTION


def test_urgent_work_waits_for_room_beside_urgent_work() -> None:
    """Guards against a wait without a victim that is called preemption."""
    assert _cause(priority=0) is Cause.ROOM


def test_started_work_waits_for_nothing() -> None:
    """Guards against waits that go on after the start."""
    demand = builders.demand('urgent', accelerators=8, priority=0)
    plan = task_planning.plan([demand], [builders.worker('w1')], [])
    assert plan.starts and not plan.wait_causes
