"""States of jobs while neither the leader nor the store can be asked."""
from __future__ import annotations

import typing

import curio
import msgspec
import pytest
import result

from nutmegworks.fleet import membership
from nutmegworks.ingress import jobs
from nutmegworks.model import ids
from nutmegworks.tasks import records
from tests.fleet import builders as fleet_builders
from tests.fleet import memory
from tests import helpers
from tests.ingress import builders
from tests.ingress import fleet


async def _lose_all(ingress: builders.Ingress) -> None:
    ingress.leader.states = None
    ingress.store.down = True


def _state(body: bytes) -> str:
    return msgspec.json.decode(body)['state']


@pytest.mark.parametrize(
    'state', [records.JobState.QUEUED, records.JobState.ACTIVE]
)
def test_state_that_may_have_changed_is_shown_for_a_time(
    state: records.JobState, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a job that is active, by a host that lost touch."""
    clock = fleet.Clock(monkeypatch)

    async def case(ingress: builders.Ingress) -> None:
        await ingress.submit()
        assert ingress.leader.states is not None
        ingress.leader.states[builders.JOB] = state
        await ingress.call('GET')
        await _lose_all(ingress)
        clock.skipped = jobs.MAX_STATE_AGE_SECONDS - 0.5
        shown = await ingress.call('GET')
        assert (shown.status, _state(shown.body)) == (200, state.value)
        clock.skipped = jobs.MAX_STATE_AGE_SECONDS + 0.1
        shown = await ingress.call('GET')
        assert shown.status == 503
        assert shown.headers['retry-after'] == '1'

    builders.run(case)


def test_accepted_job_is_queued_for_a_time_only(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a state that no leader has confirmed."""
    clock = fleet.Clock(monkeypatch)

    async def case(ingress: builders.Ingress) -> None:
        await ingress.submit()
        await _lose_all(ingress)
        assert (await ingress.call('GET')).status == 200
        clock.skipped = jobs.MAX_STATE_AGE_SECONDS + 0.1
        assert (await ingress.call('GET')).status == 503

    builders.run(case)


def test_final_state_is_shown_however_old(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal of what can't change any more."""
    clock = fleet.Clock(monkeypatch)

    async def case(ingress: builders.Ingress) -> None:
        assert ingress.leader.states is not None
        ingress.leader.states[builders.JOB] = records.JobState.SUCCEEDED
        await ingress.call('GET')
        await _lose_all(ingress)
        clock.skipped = 60.0
        shown = await ingress.call('GET')
        assert _state(shown.body) == 'succeeded'

    builders.run(case)


def test_leader_that_lost_the_store_shows_no_states_for_long(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against states from the memory of a leader that was replaced.

    A leader that can't reach the store does not learn of its successor. It
    answered its own clients without an end, and other hosts for 6 s.
    """
    clock = fleet.Clock(monkeypatch)

    async def main() -> None:
        store = memory.MemoryStore()
        async with fleet.running(store) as (leader, other):
            await leader.submit(1)
            term = leader.candidate.term
            assert term is not None
            await fleet_builders.wait_until(
                lambda: fleet.job_id(0) in term.state.jobs_by_id
            )
            assert await leader.state(0) == 'queued'
            leader.link.cut = True
            done = records.Progress(state=records.JobState.SUCCEEDED)
            store.put(
                records.progress_key(fleet.job_id(0)), records.encode(done)
            )
            clock.skipped = membership.MAX_RENEWAL_AGE_SECONDS
            assert await leader.state(0) is None
            assert await other.state(0) == 'succeeded'

    helpers.run(main)


def test_late_answer_does_not_replace_a_final_state() -> None:
    """Guards against a job that is active again after it has succeeded."""

    class _LateLeader(builders.Leader):
        """Gives its first answer when the test lets it."""

        def __init__(self) -> None:
            super().__init__()
            self.answers = [records.JobState.ACTIVE]
            self.released = curio.Event()

        async def state(self, job_id: ids.JobId) -> typing.Any:
            if not self.answers:
                return await super().state(job_id)
            late = self.answers.pop()
            await self.released.wait()
            return result.Ok(late)

    async def main() -> None:
        leader = _LateLeader()
        ingress = builders.Ingress(leader=leader)
        first = await curio.spawn(ingress.call, 'GET')
        await fleet_builders.wait_until(lambda: not leader.answers)
        leader.states = {builders.JOB: records.JobState.SUCCEEDED}
        assert _state((await ingress.call('GET')).body) == 'succeeded'
        await leader.released.set()
        await first.join()
        leader.states = None
        ingress.store.down = True
        assert _state((await ingress.call('GET')).body) == 'succeeded'

    helpers.run(main)


def test_state_is_refused_at_once_while_the_store_is_down() -> None:
    """Guards against a wait for a store that is known not to answer."""

    class _UnaskedStore(memory.MemoryStore):

        async def get(self, key: str) -> typing.Any:
            raise AssertionError('the store was asked')

    async def main() -> None:
        store = _UnaskedStore()
        store.down = True
        ingress = builders.Ingress(store)
        ingress.leader.states = None
        assert (await ingress.call('GET')).status == 503

    helpers.run(main)


def test_cancel_of_a_job_that_is_known_to_have_ended_needs_no_store(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal of what can't change any more."""
    clock = fleet.Clock(monkeypatch)

    async def case(ingress: builders.Ingress) -> None:
        assert ingress.leader.states is not None
        ingress.leader.states[builders.JOB] = records.JobState.SUCCEEDED
        await ingress.call('GET')
        await _lose_all(ingress)
        clock.skipped = builders.RETENTION_SECONDS + 1
        response = await ingress.call('DELETE')
        assert response.status == 200
        assert _state(response.body) == 'succeeded'

    builders.run(case)


def test_cancel_of_a_job_that_was_removed_is_answered_410(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cancel that is stored for no job, for ever.

    The host knew the job, and has not heard of its end.
    """
    clock = fleet.Clock(monkeypatch)

    async def case(ingress: builders.Ingress) -> None:
        await ingress.submit()
        ingress.store.remove(records.job_key(builders.JOB))
        clock.skipped = builders.RETENTION_SECONDS + 1
        assert (await ingress.call('DELETE')).status == 410
        cancel_key = records.cancel_key(builders.JOB)
        assert cancel_key not in ingress.store.item_by_key

    builders.run(case)
