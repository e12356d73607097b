"""Claims the key of a request, records its outcome, answers its retries."""
from __future__ import annotations

import dataclasses
import secrets
import time
import typing

import curio
import result

from nutmegworks.adapters import store
from nutmegworks.claims import answers
from nutmegworks.claims import batcher
from nutmegworks.claims import forwarder as forwarding
from nutmegworks.claims import key as claim_key
from nutmegworks.claims import preferred
from nutmegworks.claims import record
from nutmegworks.claims import replies
from nutmegworks.model import ids
from nutmegworks.model import verdict

CLAIM_TIMEOUT_SECONDS: typing.Final = 2.5
# After this time without a reply from the preferred daemon, the daemon writes
# the claim itself.
FORWARD_TIMEOUT_SECONDS: typing.Final = 0.5
# Time for storing a response; after it the outcome is recorded without one.
ANSWER_TIMEOUT_SECONDS: typing.Final = 2.0
# Intervals at which a retry polls for an outcome; the last one is repeated.
POLL_INTERVALS_SECONDS: typing.Final = (0.1, 0.2, 0.4, 0.8, 1.0)
# Intervals at which an abandoned claim is released again, as long as it is not
# stored. A daemon that was paused may still write it.
RELEASE_INTERVALS_SECONDS: typing.Final = (1.0, 2.0, 4.0, 8.0, 16.0)

# Replies to a release after which the claim can't hold its key any more.
_RELEASED_STATUSES: typing.Final = (
    record.Status.DONE,
    record.Status.ATTEMPT_OVER,
    record.Status.EXPIRED,
)
# Replies after which the outcome of a granted attempt is written again. The
# attempt holds its key, so a record that says otherwise is outdated.
_UNFINISHED_STATUSES: typing.Final = (
    record.Status.STORE_UNAVAILABLE,
    record.Status.OVERLOADED,
    record.Status.NOT_HOLDER,
)
_LOCAL_RETRY_STATUSES: typing.Final = (
    record.Status.STORE_UNAVAILABLE,
    record.Status.OVERLOADED,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The attempt holds the key and is the only one that may be sent."""

    attempt_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """An earlier attempt ran and its response was stored."""

    answer: answers.Answer


Outcome = result.Result[Granted | Finished, verdict.Refusal]


@dataclasses.dataclass(slots=True)
class _Attempt:
    """The attempt of one request and what is known of its claim.

    :param operation: claims the key. It is repeated with the same attempt id,
        so that a copy which arrives late claims for the same attempt.
    :param may_be_stored: whether the claim may be stored or may still be
        written, by this daemon or by the one to which it was forwarded.
    :param granted: whether the attempt is known to hold the key.
    """

    operation: record.ClaimOperation
    may_be_stored: bool = False
    granted: bool = False


class ClaimService:
    """Makes the at-most-once claims of one daemon.

    Safety depends only on compare-and-swap and on attempt ids. Members and the
    forwarder only save writes, and the wall clock only serves to refuse keys
    whose epoch is too far in the future.

    :param members: returns the ids of the live members.
    :param wall_clock: seconds since 1970.
    :param clock: seconds, monotonic.
    """

    def __init__(
        self,
        backend: store.Store,
        *,
        member_id: ids.MemberId,
        incarnation: ids.Incarnation,
        members: typing.Callable[[], typing.Iterable[ids.MemberId]],
        forwarder: forwarding.ClaimForwarder | None = None,
        wall_clock: typing.Callable[[], float] = time.time,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._member_id = member_id
        self._members = members
        self._forwarder = forwarder
        self._wall_clock = wall_clock
        self._clock = clock
        self._answers = answers.AnswerStore(backend, incarnation, clock=clock)
        self._batcher_by_shard = {
            shard: batcher.Batcher(backend, shard, clock=clock)
            for shard in range(claim_key.SHARD_COUNT)
        }

    async def run(self) -> None:
        """Write claims and responses until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._answers.run)
            for item in self._batcher_by_shard.values():
                await group.spawn(item.run)

    async def claim(
        self,
        key: str,
        team_id: ids.TeamId,
        body_digest: bytes,
        *,
        attempt_number: int,
        timeout: float = CLAIM_TIMEOUT_SECONDS,
    ) -> Outcome:
        """Claim a key for a new attempt.

        It is refused as IN_PROGRESS if another attempt holds the key.

        :param body_digest: 16 bytes, see ``record.BODY_DIGEST_BYTES``.
        :param attempt_number: the caller's count of its attempts with this
            key, from 1; 0 if the caller does not count. A key whose attempt
            did not run can only be claimed again with a higher number.
        :param timeout: seconds.
        """
        parsed = self._parse(key, team_id, attempt_number)
        if isinstance(parsed, result.Err):
            return parsed
        attempt = _new_attempt(parsed.ok_value, body_digest, attempt_number)
        try:
            reply = await self._submit_claim(attempt, timeout)
            return await self._to_outcome(reply, attempt.operation)
        finally:
            await self._release_unless_granted(attempt)

    async def claim_or_wait(
        self,
        key: str,
        team_id: ids.TeamId,
        body_digest: bytes,
        *,
        attempt_number: int,
        timeout: float,
    ) -> Outcome:
        """Claim a key, or wait for the outcome of the attempt that holds it.

        If the other attempt did not run, the key is claimed for this one.

        :param attempt_number: as for ``claim``.
        :param timeout: seconds until the caller's deadline.
        """
        parsed = self._parse(key, team_id, attempt_number)
        if isinstance(parsed, result.Err):
            return parsed
        deadline = self._clock() + timeout
        attempt = _new_attempt(parsed.ok_value, body_digest, attempt_number)
        try:
            reply = await self._submit_claim(
                attempt, min(timeout, CLAIM_TIMEOUT_SECONDS)
            )
            if reply.status is record.Status.IN_PROGRESS:
                polled = await self._poll(attempt, deadline)
                reply = replies.after(reply, polled)
            return await self._to_outcome(reply, attempt.operation)
        finally:
            await self._release_unless_granted(attempt)

    async def _poll(self, attempt: _Attempt, deadline: float) -> record.Reply:
        """Look the key up until its outcome is known or it can be claimed.

        :param deadline: seconds on this service's clock.
        :return: IN_PROGRESS if another attempt holds the key until then.
        """
        operation = attempt.operation
        intervals = iter(POLL_INTERVALS_SECONDS)
        while True:
            remaining = deadline - self._clock()
            if remaining <= POLL_INTERVALS_SECONDS[0]:
                return record.Reply(record.Status.IN_PROGRESS)
            interval = min(
                next(intervals, POLL_INTERVALS_SECONDS[-1]), remaining / 2
            )
            await curio.sleep(interval)
            reply = await self._look_up(operation, remaining - interval)
            if replies.is_other_body(reply, operation.body_digest):
                return record.Reply(record.Status.KEY_REUSED, reply.claim)
            if replies.is_held_by(reply, operation.attempt_id):
                # Another daemon has written the claim after its reply to this
                # one had been given up.
                attempt.granted = True
                return record.Reply(record.Status.GRANTED)
            if replies.is_free(reply):
                reply = await self._submit_claim(attempt, remaining - interval)
                if reply.status is not record.Status.IN_PROGRESS:
                    return reply
            elif replies.is_final(reply):
                return reply

    async def finish(
        self,
        key: str,
        team_id: ids.TeamId,
        attempt_id: ids.AttemptId,
        state: record.State,
        *,
        answer: answers.Answer | None = None,
        timeout: float = CLAIM_TIMEOUT_SECONDS,
    ) -> bool:
        """Record the outcome of a granted attempt, which ends the attempt.

        The caller must not send the attempt after this call. An outcome that
        can't be stored now is retried until the store is available.

        :param state: DID_NOT_RUN only if no byte was sent, or if every
            upstream that was tried refused.
        :param timeout: seconds.
        :return: whether the outcome is stored.
        """
        parsed = claim_key.parse(key, team_id).unwrap()
        reference = None
        if state is record.State.RAN and answer is not None:
            reference = await self._answers.save(
                answer, timeout=min(timeout, ANSWER_TIMEOUT_SECONDS)
            )
        operation = record.FinishOperation(
            parsed.epoch,
            parsed.shard,
            parsed.key_id,
            attempt_id,
            state,
            reference,
        )
        reply = await self._submit(operation, timeout)
        if reply.status in _UNFINISHED_STATUSES:
            await self._batcher_by_shard[parsed.shard].enqueue(operation)
        return reply.status is record.Status.DONE

    async def serve(
        self,
        operation: record.Operation,
        *,
        timeout: float = FORWARD_TIMEOUT_SECONDS,
    ) -> record.Reply:
        """Apply an operation that another daemon forwarded."""
        shard_batcher = self._batcher_by_shard.get(operation.shard)
        if shard_batcher is None or not record.is_valid(operation):
            return record.Reply(record.Status.NOT_HOLDER)
        return await shard_batcher.submit(operation, timeout=timeout)

    def _parse(
        self,
        key: str,
        team_id: ids.TeamId,
        attempt_number: int,
    ) -> result.Result[claim_key.Key, verdict.Refusal]:
        parsed = claim_key.parse(key, team_id)
        if isinstance(parsed, result.Err):
            # No daemon accepts such a key, so nothing ran under it.
            return result.Err(
                verdict.did_not_run(
                    verdict.Reason.BAD_REQUEST, parsed.err_value
                )
            )
        if claim_key.is_ahead(parsed.ok_value.epoch, self._wall_clock()):
            return result.Err(replies.epoch_ahead(attempt_number))
        return parsed

    async def _submit_claim(
        self,
        attempt: _Attempt,
        timeout: float,
    ) -> record.Reply:
        may_be_stored = attempt.may_be_stored
        # Remains so if this call is cancelled.
        attempt.may_be_stored = True
        reply = await self._submit(attempt.operation, timeout)
        attempt.may_be_stored = may_be_stored or reply.write_sent
        attempt.granted = reply.status is record.Status.GRANTED
        return reply

    async def _submit(
        self,
        operation: record.Operation,
        timeout: float,
    ) -> record.Reply:
        started = self._clock()
        reply = await self._forward(operation, timeout)
        if reply is not None and reply.status not in _LOCAL_RETRY_STATUSES:
            return reply
        remaining = max(0.0, timeout - (self._clock() - started))
        local = self._batcher_by_shard[operation.shard]
        local_reply = await local.submit(operation, timeout=remaining)
        if reply is None:
            return local_reply
        return replies.after(reply, local_reply)

    async def _forward(
        self,
        operation: record.Operation,
        timeout: float,
    ) -> record.Reply | None:
        """Return the preferred daemon's reply, or None if not forwarded."""
        chosen = preferred.choose(operation.shard, self._members())
        if self._forwarder is None or chosen in (None, self._member_id):
            return None
        forwarded = await self._forwarder.forward(
            chosen,
            operation,
            timeout=min(FORWARD_TIMEOUT_SECONDS, timeout),
        )
        if isinstance(forwarded, result.Ok):
            return forwarded.ok_value
        return record.Reply(
            record.Status.STORE_UNAVAILABLE,
            write_sent=forwarded.err_value.sent,
        )

    async def _look_up(
        self,
        claimed: record.ClaimOperation,
        timeout: float,
    ) -> record.Reply:
        operation = record.LookUpOperation(
            claimed.epoch, claimed.shard, claimed.key_id
        )
        local = self._batcher_by_shard[claimed.shard]
        return await local.submit(operation, timeout=timeout)

    async def _release_unless_granted(self, attempt: _Attempt) -> None:
        """Release a claim that may be stored but whose attempt is not sent."""
        if attempt.granted or not attempt.may_be_stored:
            return
        operation = attempt.operation
        release = record.FinishOperation(
            operation.epoch,
            operation.shard,
            operation.key_id,
            operation.attempt_id,
            record.State.DID_NOT_RUN,
        )
        await self._batcher_by_shard[operation.shard].enqueue(release)
        await curio.spawn(self._repeat_release, release, daemon=True)

    async def _repeat_release(self, release: record.FinishOperation) -> None:
        """Release a claim that is stored after its first release."""
        local = self._batcher_by_shard[release.shard]
        for interval in RELEASE_INTERVALS_SECONDS:
            await curio.sleep(interval)
            reply = await local.submit(release, timeout=CLAIM_TIMEOUT_SECONDS)
            if reply.status in _RELEASED_STATUSES:
                return

    async def _to_outcome(
        self,
        reply: record.Reply,
        operation: record.ClaimOperation,
    ) -> Outcome:
        if reply.status is record.Status.GRANTED:
            return result.Ok(Granted(ids.AttemptId(operation.attempt_id)))
        existing = reply.claim
        ran = existing is not None and existing.state is record.State.RAN
        if reply.status is record.Status.FINISHED and ran:
            return await self._read_answer(existing)
        return result.Err(replies.refusal(reply, operation.attempt_number))

    async def _read_answer(self, existing: record.Claim) -> Outcome:
        if existing.answer is None:
            return result.Err(replies.ANSWER_LOST)
        answer = await self._answers.read(existing.answer)
        if isinstance(answer, result.Err):
            return result.Err(replies.ANSWER_UNREACHABLE)
        if answer.ok_value is None:
            return result.Err(replies.ANSWER_LOST)
        return result.Ok(Finished(answer.ok_value))


def _new_attempt(
    key: claim_key.Key,
    body_digest: bytes,
    attempt_number: int,
) -> _Attempt:
    operation = record.ClaimOperation(
        key.epoch,
        key.shard,
        key.key_id,
        secrets.token_hex(16),
        body_digest,
        attempt_number,
    )
    if not record.is_valid(operation):
        raise ValueError(
            'the body digest or the attempt number is out of bounds'
        )
    return _Attempt(operation)


__all__ = (
    'ANSWER_TIMEOUT_SECONDS',
    'CLAIM_TIMEOUT_SECONDS',
    'ClaimService',
    'FORWARD_TIMEOUT_SECONDS',
    'Finished',
    'Granted',
    'Outcome',
    'POLL_INTERVALS_SECONDS',
    'RELEASE_INTERVALS_SECONDS',
)
