"""Client calls, also during failures of the store and the leader."""
from __future__ import annotations

import time

import msgspec
import pytest

from nutmegworks.fleet import configuration_holder
from nutmegworks.ingress import jobs
from nutmegworks.platform import wire
from nutmegworks.tasks import records
from tests.ingress import builders


def test_an_accepted_job_is_stored() -> None:
    """A job kept only in a host's memory would be lost with the host."""

    async def case(ingress: builders.Ingress) -> None:
        assert (await ingress.submit()).status == 200
        assert records.job_key(builders.JOB) in ingress.store.item_by_key

    builders.run(case)


@pytest.mark.parametrize('padding', [0, 100, 200_000])
def test_a_large_submission_is_stored_without_padding(padding: int) -> None:
    """Guards against padding that fills the store and the leader's memory."""

    async def case(ingress: builders.Ingress) -> None:
        body = builders.BODY + b' ' * padding
        assert (await ingress.call('POST', body=body)).status == 200
        item = ingress.store.item_by_key[records.job_key(builders.JOB)]
        stored = msgspec.json.decode(item.value, type=records.AcceptedJob)
        if padding < jobs.MAX_STORED_AS_RECEIVED_BYTES:
            assert stored.body == body
        else:
            assert len(stored.body) < 2 * len(builders.BODY)
        decoder = wire.PlatformDecoder()
        assert decoder.submission(stored.body) == decoder.submission(body)

    builders.run(case)


def test_a_repeated_submission_creates_one_job() -> None:
    """A client that lost the response submits the job again."""

    async def case(ingress: builders.Ingress) -> None:
        await ingress.submit()
        first = ingress.store.item_by_key[records.job_key(builders.JOB)]
        assert (await ingress.submit()).status == 200
        assert ingress.store.item_by_key[records.job_key(builders.JOB)
                                         ] == first

    builders.run(case)


def test_a_write_is_repeated_after_a_lost_answer_of_the_store() -> None:
    """The job is stored, so the call must not be refused."""

    async def case(ingress: builders.Ingress) -> None:
        ingress.store.lose_answers = 1
        assert (await ingress.submit()).status == 200

    builders.run(case)


def test_no_refusal_while_a_write_may_still_take_effect() -> None:
    """A job that was refused with 503 must never run."""

    async def case(ingress: builders.Ingress) -> None:
        ingress.store.hold_commits = True
        assert (await ingress.submit()).status == 504

    builders.run(case)


def test_a_submission_is_refused_at_once_while_the_store_is_down() -> None:
    """Waiting would take time that the client needs to retry elsewhere."""

    async def case(ingress: builders.Ingress) -> None:
        ingress.store.down = True
        started = time.monotonic()
        response = await ingress.submit()
        assert response.status == 503
        assert response.headers['retry-after'] == '1'
        assert time.monotonic() - started < 0.1

    builders.run(case)


def test_unknown_keys_and_queues_are_refused() -> None:
    """A revoked key must not submit jobs."""

    async def case(ingress: builders.Ingress) -> None:
        unknown = await ingress.call('POST', key='k9', body=builders.BODY)
        assert unknown.status == 401
        assert (await ingress.call('GET', '/other/')).status == 404
        assert not ingress.store.commits

    builders.run(case)


def test_unknown_names_are_not_denied_by_an_outdated_configuration() -> None:
    """Guards against 404 and 401 for a queue and a key that were added.

    A host that does not reach the store can't know that; its client retries,
    perhaps at another host.
    """

    async def case(ingress: builders.Ingress) -> None:
        ingress.configuration_age = configuration_holder.MAX_AGE_SECONDS + 0.1
        for response in (
                await ingress.call('POST', key='k9', body=builders.BODY),
                await ingress.call('GET', '/other/'),
        ):
            assert response.status == 503
            assert response.headers['retry-after'] == '1'
        # What it does contain is served.
        assert (await ingress.submit()).status == 200

    builders.run(case)


def test_a_job_that_the_leader_does_not_know_yet_is_queued() -> None:
    """410 for an accepted job would tell its client that it was lost."""

    async def case(ingress: builders.Ingress) -> None:
        await ingress.submit()
        shown = await ingress.call('GET')
        assert msgspec.json.decode(shown.body) == {'state': 'queued'}

    builders.run(case)


def test_the_state_without_a_leader_comes_from_the_store() -> None:
    """A change of leader must not look like a lost job."""

    async def case(ingress: builders.Ingress) -> None:
        ingress.leader.states = None
        await ingress.submit()
        done = records.Progress(state=records.JobState.SUCCEEDED)
        ingress.store.put(
            records.progress_key(builders.JOB), records.encode(done)
        )
        shown = await ingress.call('GET')
        assert msgspec.json.decode(shown.body) == {'state': 'succeeded'}

    builders.run(case)


def test_an_unknown_job_gives_410_and_an_unreadable_one_503() -> None:
    """While the store is down, a job can't be reported as missing."""

    async def case(ingress: builders.Ingress) -> None:
        assert (await ingress.call('GET')).status == 410
        ingress.store.down = True
        assert (await ingress.call('GET')).status == 503

    builders.run(case)


def test_a_final_state_is_cached() -> None:
    """Clients ask after the end of a job, when the store may be down."""

    async def case(ingress: builders.Ingress) -> None:
        assert ingress.leader.states is not None
        ingress.leader.states[builders.JOB] = records.JobState.FAILED
        await ingress.call('GET')
        ingress.leader.states = None
        ingress.store.down = True
        shown = await ingress.call('GET')
        assert msgspec.json.decode(shown.body) == {'state': 'failed'}

    builders.run(case)


def test_a_cancel_is_stored_before_it_is_acknowledged() -> None:
    """The leader may fail before it reads the cancellation."""

    async def case(ingress: builders.Ingress) -> None:
        assert (await ingress.call('DELETE')).status == 410
        await ingress.submit()
        assert (await ingress.call('DELETE')).status == 200
        assert records.cancel_key(builders.JOB) in ingress.store.item_by_key

    builders.run(case)


def test_the_last_count_is_shown_without_a_leader() -> None:
    """Without a leader the call must not fail; a count may be 2 s old."""

    async def case(ingress: builders.Ingress) -> None:
        ingress.leader.count = 4
        await ingress.call('GET', '/plans/')
        ingress.leader.states = None
        shown = await ingress.call('GET', '/plans/')
        assert msgspec.json.decode(shown.body) == {'pending': 4}

    builders.run(case)
