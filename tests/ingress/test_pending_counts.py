"""Counts of pending jobs while the leader is away, out of date or new."""
from __future__ import annotations

import time
import typing

import curio
import pytest

from nutmegworks.fleet import leader as leaders
from nutmegworks.fleet import leader_client
from nutmegworks.fleet import membership
from nutmegworks.ingress import jobs
from nutmegworks.tasks import records
from tests.fleet import builders as fleet_builders
from tests.fleet import memory
from tests import helpers
from tests.ingress import builders
from tests.ingress import fleet

JOBS: typing.Final = 12
# In place of the platform's 2 s.
MAX_AGE_SECONDS: typing.Final = 0.6
SUSPENSION_SECONDS: typing.Final = 30.0
# Time for which the hosts are asked again and again.
ASK_SECONDS: typing.Final = 0.6
ASK_INTERVAL_SECONDS: typing.Final = 0.05


@pytest.fixture
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let counts become out of date soon; read the store as often."""
    monkeypatch.setattr(
        jobs, 'MAX_COUNT_AGE_SECONDS', MAX_AGE_SECONDS, raising=False
    )
    monkeypatch.setattr(leaders, 'JOBS_WATCH_SECONDS', 0.1, raising=False)
    monkeypatch.setattr(membership, 'RENEW_INTERVAL_SECONDS', 0.1)


async def _is_killed(leader: fleet.Host) -> None:
    await leader.stop_process()


async def _is_silent(leader: fleet.Host) -> None:
    leader.silent = True


async def _loses_the_store(leader: fleet.Host) -> None:
    leader.link.cut = True


async def _reads_nothing(leader: fleet.Host) -> None:
    leader.link.reads_cut = True


async def _has_no_term(leader: fleet.Host) -> None:
    assert leader.candidate.term is not None
    leader.link.slow_lists = True
    await leader.candidate.term._step_down('test')
    await fleet_builders.wait_until(
        lambda: leader_client.serving_term(leader.candidate) is None
    )


async def _leaves(leader: fleet.Host) -> None:
    await leader.member.leave()
    leader.link.cut = True


WAYS_TO_BE_AWAY: typing.Final = (
    _is_killed,
    _is_silent,
    _loses_the_store,
    _reads_nothing,
    _has_no_term,
    _leaves,
)

WAYS_TO_LOSE_TOUCH: typing.Final = (
    _loses_the_store,
    _reads_nothing,
    _has_no_term,
    _leaves,
)


async def _answers(host: fleet.Host) -> set[int | None]:
    """Return all answers of a host in a period."""
    answers = set()
    until = time.monotonic() + ASK_SECONDS
    while time.monotonic() < until:
        answers.add(await host.pending())
        await curio.sleep(ASK_INTERVAL_SECONDS)
    return answers


@pytest.mark.usefixtures('short_times')
@pytest.mark.parametrize('goes_away', WAYS_TO_BE_AWAY)
def test_old_count_is_not_shown_while_the_leader_is_away(
    goes_away: typing.Callable[[fleet.Host], typing.Awaitable[None]],
) -> None:
    """Guards against the count of before, shown for as long as none comes.

    The case of review/9: the hosts last heard of an empty queue.
    """

    async def main() -> None:
        async with fleet.running(memory.MemoryStore()) as (leader, other):
            for host in (leader, other):
                assert await host.pending() == 0
            await goes_away(leader)
            await other.submit(JOBS)
            await curio.sleep(MAX_AGE_SECONDS)
            assert await _answers(other) <= {None, JOBS}

    helpers.run(main)


@pytest.mark.usefixtures('short_times')
@pytest.mark.parametrize('goes_away', WAYS_TO_LOSE_TOUCH)
def test_leader_that_is_out_of_date_does_not_count_for_its_own_clients(
    goes_away: typing.Callable[[fleet.Host], typing.Awaitable[None]],
) -> None:
    """Guards against the count of a leader that has lost touch.

    It takes itself for the leader until the store tells it otherwise.
    """

    async def main() -> None:
        async with fleet.running(memory.MemoryStore()) as (leader, other):
            assert await leader.pending() == 0
            await goes_away(leader)
            await other.submit(JOBS)
            await curio.sleep(MAX_AGE_SECONDS)
            assert await _answers(leader) <= {None, JOBS}

    helpers.run(main)


@pytest.mark.usefixtures('short_times')
def test_leader_whose_lease_is_not_renewed_does_not_count() -> None:
    """Guards against a count beside another leader that starts tasks.

    The leader still reads of all jobs, but not of what the other one starts.
    """

    async def main() -> None:
        async with fleet.running(memory.MemoryStore()) as (leader, other):
            assert await leader.pending() == 0
            leader.link.renewals_cut = True
            await other.submit(JOBS)
            await curio.sleep(MAX_AGE_SECONDS + 0.1)
            assert await _answers(leader) == {None}
            assert await _answers(other) == {None}

    helpers.run(main)


@pytest.mark.usefixtures('short_times')
@pytest.mark.parametrize('goes_away', [_loses_the_store, _reads_nothing])
def test_suspended_leader_does_not_count_as_if_no_time_had_passed(
    goes_away: typing.Callable[[fleet.Host], typing.Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ages on a clock that stands still during suspension."""
    clock = fleet.Clock(monkeypatch)

    async def main() -> None:
        async with fleet.running(memory.MemoryStore()) as (leader, other):
            for host in (leader, other):
                assert await host.pending() == 0
            await goes_away(leader)
            await other.submit(JOBS)
            clock.skipped = SUSPENSION_SECONDS
            # A renewal of the lease, if it is still answered.
            await curio.sleep(MAX_AGE_SECONDS / 3)
            for host in (leader, other):
                assert await host.pending() is None

    helpers.run(main)


@pytest.mark.usefixtures('short_times')
def test_new_leader_counts_after_it_has_loaded_the_jobs() -> None:
    """Guards against a count of the former leader, or of half of the jobs."""

    async def main() -> None:
        store = memory.MemoryStore()
        async with fleet.running(store, 3) as (former, new, other):
            assert await other.pending() == 0
            await former.stop_process()
            store.remove(records.LEADER_KEY)
            await other.submit(JOBS)
            new.link.slow_lists = True
            await new.lead()
            await other.member.read_leader()
            await curio.sleep(MAX_AGE_SECONDS)
            assert await _answers(new) == {None}
            assert await _answers(other) == {None}
            new.link.slow_lists = False
            await fleet_builders.wait_until(
                lambda: leader_client.serving_term(new.candidate)
            )
            assert await new.pending() == JOBS
            assert await other.pending() == JOBS

    helpers.run(main)


@pytest.mark.parametrize('delay', [0.0, 0.25])
def test_quiet_leader_is_never_out_of_date(delay: float) -> None:
    """Guards against refusals by a leader that merely has nothing to read.

    A slow store takes 0.25 s for an answer.
    """

    async def main() -> None:
        async with fleet.running(memory.MemoryStore()) as (leader, other):
            leader.link.delay = delay
            until = time.monotonic() + 4.0
            while time.monotonic() < until:
                assert await leader.pending() == 0
                assert await other.pending() == 0
                await curio.sleep(0.01)

    helpers.run(main)


def test_count_of_an_outdated_answer_is_refused() -> None:
    """Guards against an answer that took its age from its arrival."""

    async def case(ingress: builders.Ingress) -> None:
        ingress.leader.view_age = jobs.MAX_COUNT_AGE_SECONDS + 0.1
        response = await ingress.call('GET', fleet.QUEUE_PATH)
        assert response.status == 503

    builders.run(case)


def test_kept_counts_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with each queue of a configuration."""
    monkeypatch.setattr(jobs, 'MAX_KEPT_COUNTS', 1)

    async def case(ingress: builders.Ingress) -> None:
        for path in (fleet.QUEUE_PATH, f'{fleet.QUEUE_PATH}wide/'):
            assert (await ingress.call('GET', path)).status == 200
        ingress.leader.states = None
        # The count of the first queue has made way for that of the second.
        assert (await ingress.call('GET', path)).status == 200
        response = await ingress.call('GET', fleet.QUEUE_PATH)
        assert response.status == 503

    builders.run(case)


def test_older_answer_does_not_replace_a_newer_count() -> None:
    """Guards against the count of a former leader that answers last."""

    async def case(ingress: builders.Ingress) -> None:
        ingress.leader.count = JOBS
        assert (await ingress.call('GET', fleet.QUEUE_PATH)).status == 200
        ingress.leader.count = 0
        ingress.leader.view_age = 1.0
        response = await ingress.call('GET', fleet.QUEUE_PATH)
        assert response.body == b'{"pending":12}'

    builders.run(case)
