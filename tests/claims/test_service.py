from __future__ import annotations

import curio
import pytest
import result

from nutmegworks.claims import answers
from nutmegworks.claims import batcher
from nutmegworks.claims import forwarder
from nutmegworks.claims import key
from nutmegworks.claims import preferred
from nutmegworks.claims import record
from nutmegworks.claims import service
from nutmegworks.model import verdict
from tests import helpers
from tests import memory_store

EPOCH = 176_000_000
KEY = f'{EPOCH}-order-1'
BODY = b'b' * 16
Fault = memory_store.Fault
DID_NOT_RUN = verdict.Verdict.DID_NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class Forwarder(forwarder.ClaimForwarder):
    """Calls the service of another daemon in the same process.

    :ivar lose_replies: whether the reply is lost after the other daemon has
        handled the operation.
    :ivar forwards: whether operations reach the other daemon.
    :ivar paused: whether the other daemon handles operations only later, when
        ``resume`` is called.
    """

    def __init__(self) -> None:
        self.service_by_id: dict = {}
        self.calls = 0
        self.lose_replies = False
        self.forwards = True
        self.paused = False
        self._delayed: list = []

    async def resume(self) -> None:
        """Handle the operations that arrived during the pause."""
        self.paused = False
        for member_id, operation in self._delayed:
            await self.service_by_id[member_id].serve(operation)

    async def forward(self, member_id, operation, *, timeout):
        self.calls += 1
        if not self.forwards:
            return result.Err(forwarder.ForwardError('cut off', sent=False))
        if self.paused:
            self._delayed.append((member_id, operation))
            return result.Err(forwarder.ForwardError('timeout', sent=True))
        reply = await self.service_by_id[member_id].serve(operation)
        if self.lose_replies:
            return result.Err(forwarder.ForwardError('lost', sent=True))
        return result.Ok(reply)


def run(scenario, *, daemons=2, forwarding=False):
    """Run a scenario with a store and the services of some daemons."""
    backing = memory_store.MemoryStore(delay=0.001)
    messages = Forwarder()
    names = [f'd{number}' for number in range(daemons)]

    async def main() -> None:
        for name in names:
            messages.service_by_id[name] = service.ClaimService(
                backing,
                member_id=name,
                incarnation=f'{name}-1',
                members=lambda: names if forwarding else (),
                forwarder=messages if forwarding else None,
                wall_clock=lambda: 10.0 * EPOCH + 5,
            )
        services = list(messages.service_by_id.values())
        tasks = [await curio.spawn(item.run) for item in services]
        await scenario(backing, messages, *services)
        for task in tasks:
            await task.cancel()

    helpers.run(main)


async def claim(daemon, *, first=True, text=KEY, timeout=1.0):
    number = 1 if first else 2
    return await daemon.claim(
        text, 'north', BODY, attempt_number=number, timeout=timeout
    )


async def wait(daemon, body=BODY, timeout=2.0, *, first=False):
    number = 1 if first else 2
    return await daemon.claim_or_wait(
        KEY, 'north', body, attempt_number=number, timeout=timeout
    )


async def finish(daemon, granted, state, answer=None):
    return await daemon.finish(
        KEY, 'north', granted.unwrap().attempt_id, state, answer=answer
    )


@pytest.mark.parametrize('forwarding', (False, True))
def test_retry_on_another_daemon_gets_the_response(forwarding) -> None:
    """A retry on another daemon must get the response and not run again."""
    kept = answers.Answer('text/plain', b'route 7')

    async def scenario(backing, messages, one, two) -> None:
        granted = await claim(one)
        refused = await claim(two, first=False)
        assert refused.err_value.reason is verdict.Reason.IN_PROGRESS
        waiting = await curio.spawn(lambda: wait(two, BODY, 2.0))
        assert await finish(one, granted, record.State.RAN, kept)
        for outcome in (await waiting.join(), await claim(two, first=False)):
            assert outcome.ok_value == service.Finished(kept)
        other = await wait(two, b'x' * 16, 1.0)
        assert other.err_value.reason is verdict.Reason.KEY_REUSED

    run(scenario, forwarding=forwarding)


def test_large_response_is_reported_as_ran_and_lost() -> None:
    """A response that is not stored must not make the request run again."""

    async def scenario(backing, messages, one, two) -> None:
        granted = await claim(one)
        large = answers.Answer('', bytes(answers.MAX_ANSWER_BYTES + 1))
        assert await finish(one, granted, record.State.RAN, large)
        lost = (await claim(two, first=False)).err_value
        assert lost.verdict is verdict.Verdict.RAN
        assert lost.reason is verdict.Reason.ANSWER_LOST

    run(scenario)


def test_store_outage_gives_the_correct_verdict() -> None:
    """During an outage only a first attempt is known not to have run."""

    async def scenario(backing, messages, one, two) -> None:
        await claim(one)
        backing.down = True
        first = await claim(two, text=f'{EPOCH}-order-2')
        retry = await claim(two, first=False)
        assert first.err_value.verdict is DID_NOT_RUN
        assert retry.err_value.verdict is MAY_HAVE_RUN
        assert retry.err_value.retry_after

    run(scenario)


def test_first_attempt_beside_a_known_other_may_have_run() -> None:
    """A failed read must not hide a claim that an earlier read has shown.

    The caller's second attempt was granted before its delayed first one.
    """

    async def scenario(backing, messages, one, two) -> None:
        assert (await claim(one, first=False)).is_ok()
        await curio.sleep(2 * batcher.LOOK_UP_MAX_AGE_SECONDS)
        backing.down = True
        delayed = await claim(one)
        assert delayed.err_value.reason is verdict.Reason.STORE_UNAVAILABLE
        assert delayed.err_value.verdict is MAY_HAVE_RUN

    run(scenario)


def test_first_attempt_that_waited_for_another_may_have_run() -> None:
    """A key that expires while another attempt holds it may have run."""

    async def scenario(backing, messages, one, two) -> None:
        assert (await claim(one, first=False)).is_ok()
        waiting = await curio.spawn(lambda: wait(two, first=True))
        await curio.sleep(0.05)
        one._wall_clock = lambda: 10.0 * (EPOCH + key.EPOCH_SLOTS)
        assert (await claim(one, text=_same_shard_an_hour_later())).is_ok()
        refused = (await waiting.join()).err_value
        assert refused.reason is verdict.Reason.KEY_EXPIRED
        assert refused.verdict is MAY_HAVE_RUN

    run(scenario)


def _same_shard_an_hour_later() -> str:
    """Return a key whose claim replaces the record of ``KEY``."""
    shard = key.parse(KEY, 'north').unwrap().shard
    texts = (f'{EPOCH + key.EPOCH_SLOTS}-{number}' for number in range(99))
    return next(
        text for text in texts
        if key.parse(text, 'north').unwrap().shard == shard
    )


def test_unconfirmed_claim_is_not_granted_and_is_released(
    monkeypatch,
) -> None:
    """A claim whose attempt is not sent must not block its key for an hour."""
    monkeypatch.setattr('nutmegworks.claims.batcher.STORE_RETRY_SECONDS', 0.02)

    async def scenario(backing, messages, one, two) -> None:
        backing.faults.append(Fault.LOSE_AND_DOWN)
        unknown = await claim(one)
        assert unknown.err_value.verdict is MAY_HAVE_RUN
        backing.down = False
        outcome = await wait(two, BODY, 2.0)
        assert isinstance(outcome.ok_value, service.Granted)

    run(scenario)


def test_cancelled_claim_is_released() -> None:
    """A caller that disconnects during the claim must not block the key."""

    async def scenario(backing, messages, one, two) -> None:
        backing.delay = 0.02
        task = await curio.spawn(lambda: claim(one))
        await curio.sleep(0.03)
        await task.cancel()
        backing.delay = 0.0
        outcome = await wait(two, BODY, 2.0)
        assert isinstance(outcome.ok_value, service.Granted)

    run(scenario)


def test_claim_or_wait_bounds_time_and_store_reads() -> None:
    """Many retries of a slow request must not exceed the read limit."""

    async def scenario(backing, messages, one, two) -> None:
        await claim(one)
        backing.gets = 0
        async with curio.TaskGroup() as group:
            for _ in range(50):
                await curio.sleep(0.005)
                await group.spawn(lambda: wait(two, BODY, 0.6))
        for refused in group.results:
            assert refused.err_value.reason is verdict.Reason.IN_PROGRESS
            assert refused.err_value.verdict is MAY_HAVE_RUN
        assert backing.gets <= 12

    run(scenario)


def _order_by_preference(one, two):
    """Return the preferred daemon of the key, then the other one."""
    shard = key.parse(KEY, 'north').unwrap().shard
    first = preferred.choose(shard, ('d0', 'd1'))
    return (one, two) if first == 'd0' else (two, one)


def test_retry_gets_a_claim_that_a_paused_daemon_stored_late() -> None:
    """A retry must not be locked out by a late copy of its own claim.

    It is forwarded to a paused daemon, which stores it after it has resumed
    and ended the first attempt.
    """

    async def scenario(backing, messages, one, two) -> None:
        paused, other = _order_by_preference(one, two)
        granted = await claim(paused)
        messages.paused = True
        retry = await curio.spawn(lambda: wait(other, BODY, 4.0))
        await curio.sleep(0.3)
        assert await finish(paused, granted, record.State.DID_NOT_RUN)
        await messages.resume()
        outcome = await retry.join()
        assert isinstance(outcome.ok_value, service.Granted)

    run(scenario, forwarding=True)


def test_claim_that_is_stored_after_its_release_is_released_again(
    monkeypatch,
) -> None:
    """A claim that a paused daemon stores late must not block its key.

    Its caller has already been refused, and its first release found nothing.
    """
    monkeypatch.setattr(service, 'RELEASE_INTERVALS_SECONDS', (0.2, 0.2, 0.2))

    async def scenario(backing, messages, one, two) -> None:
        paused, other = _order_by_preference(one, two)
        granted = await claim(paused)
        messages.paused = True
        refused = await claim(other, first=False)
        assert refused.err_value.verdict is MAY_HAVE_RUN
        await curio.sleep(0.15)
        assert await finish(paused, granted, record.State.DID_NOT_RUN)
        await messages.resume()
        await curio.sleep(0.5)
        outcome = await other.claim(KEY, 'north', BODY, attempt_number=3)
        assert isinstance(outcome.ok_value, service.Granted)

    run(scenario, forwarding=True)


def test_paused_holder_and_reused_slot() -> None:
    """A retry after an hour must not run while a paused holder resumes.

    Its epoch has expired from the slot by then, as a later epoch reuses it.
    """

    async def scenario(backing, messages, one, two) -> None:
        granted = await claim(one)
        two._wall_clock = lambda: 10.0 * (EPOCH + key.EPOCH_SLOTS)
        assert (await claim(two, text=_same_shard_an_hour_later())).is_ok()
        expired = await claim(two, first=False)
        assert expired.err_value.reason is verdict.Reason.KEY_EXPIRED
        assert expired.err_value.verdict is MAY_HAVE_RUN
        assert not await finish(one, granted, record.State.RAN)

    run(scenario)


def test_outcome_is_stored_despite_a_stale_read() -> None:
    """A retry must get the response of an attempt that has ended.

    The preferred daemon reads the record as it was before the claim.
    """
    kept = answers.Answer('text/plain', b'route 7')

    async def scenario(backing, messages, one, two) -> None:
        preferred_daemon, other = _order_by_preference(one, two)
        record_key = key.parse(KEY, 'north').unwrap().record_key
        other_key = _other_key_of_the_record()
        assert (await claim(preferred_daemon, text=other_key)).is_ok()
        outdated = backing.peek(record_key)
        messages.forwards = False
        granted = await claim(other, first=False)
        messages.forwards = True
        for daemon in (preferred_daemon, other):
            shard = key.parse(KEY, 'north').unwrap().shard
            daemon._batcher_by_shard[shard]._cached_by_slot.clear()
        backing.stale_by_key[record_key] = outdated
        await finish(other, granted, record.State.RAN, kept)
        await curio.sleep(0.5)
        retried = await wait(preferred_daemon, BODY, 0.5)
        assert retried.ok_value == service.Finished(kept)

    run(scenario, forwarding=True)


def _other_key_of_the_record() -> str:
    """Return another key with the same record as ``KEY``."""
    shard = key.parse(KEY, 'north').unwrap().shard
    texts = (f'{EPOCH}-other-{number}' for number in range(99))
    return next(
        text for text in texts
        if key.parse(text, 'north').unwrap().shard == shard
    )


def test_lost_forward_is_retried_locally_with_one_grant() -> None:
    """A lost message between daemons must not lose or double the claim."""

    async def scenario(backing, messages, *services) -> None:
        messages.lose_replies = True
        outcomes = [await claim(daemon, first=False) for daemon in services]
        assert sum(outcome.is_ok() for outcome in outcomes) == 1
        assert outcomes[0].is_ok()
        assert messages.calls >= 2
        backing.down = True
        text = f'{EPOCH}-order-2'
        refused = [await claim(daemon, text=text) for daemon in services]
        verdicts = [item.err_value.verdict for item in refused]
        # The preferred daemon does not forward and knows its own writes.
        assert verdicts.count(MAY_HAVE_RUN) == 2
        assert verdicts.count(DID_NOT_RUN) == 1

    run(scenario, daemons=3, forwarding=True)


def test_key_ahead_of_the_clock_is_refused() -> None:
    """A future epoch would expire the current keys of its slot."""

    async def scenario(backing, messages, one, two) -> None:
        refused = await claim(one, text=f'{EPOCH + 7}-a', first=False)
        assert refused.err_value.verdict is MAY_HAVE_RUN
        assert backing.puts == 0

    run(scenario)
