"""Endpoint that accepts, shows, cancels and counts jobs."""
from __future__ import annotations

import collections
import math
import random
import time
import typing

import curio
import logbook
import result

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import leader_client as leader_clients
from nutmegworks.fleet import membership
from nutmegworks.ingress import call as calls
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.policy import call_effect
from nutmegworks.tasks import records

_LOG: typing.Final = logbook.Logger('ingress')

# An unanswered write is repeated for this time after the call was received;
# then the client is told that the outcome is unknown.
WRITE_TIMEOUT_SECONDS: typing.Final = 1.5
# Subtracted from the time that the client waits, for the response to arrive.
RESPONSE_MARGIN_SECONDS: typing.Final = 0.2
# Limit of one attempt to write. Even a slow store answers within 0.25 s; after
# a lost answer the next attempt finds that the key exists.
ATTEMPT_TIMEOUT_SECONDS: typing.Final = 0.45
# Shortest interval of the attempts to write; an overloaded store refuses at
# once, and every host with a write in doubt repeats it. Varied by up to half,
# because all hosts lose the store at the same time.
ATTEMPT_INTERVAL_SECONDS: typing.Final = 0.15
ATTEMPT_JITTER: typing.Final = 0.5
# Least time for the last attempt.
MIN_ATTEMPT_SECONDS: typing.Final = 0.1
# Limit of the cache of job states, which answers clients that query again
# after the end of their job, also while the store is down.
MAX_CACHED_STATES: typing.Final = 2000
# Limit of the kept counts; queues come and go with the configuration.
MAX_KEPT_COUNTS: typing.Final = 2000
# The platform's limit of the age of a count of pending jobs.
MAX_COUNT_AGE_SECONDS: typing.Final = 2.0
# Limit of the age of a state that may have changed since.
MAX_STATE_AGE_SECONDS: typing.Final = 2.0
# Larger submissions are stored without padding and unknown fields, because the
# leader and each later one reads every stored job.
MAX_STORED_AS_RECEIVED_BYTES: typing.Final = 16 * 1024


class _KnownState(typing.NamedTuple):
    """A job's state that this host was told.

    :param as_of: seconds of ``membership.steady_clock`` at which it was the
        state; for a final state it does not matter.
    """

    state: records.JobState
    as_of: float


_State = result.Result[records.JobState | None, interfaces.StoreError]


class JobHandler:
    """Handles the calls of clients to the queues.

    :param retention_seconds: time for which a job is stored after its end.
    """

    def __init__(
        self,
        store: interfaces.Store,
        decoder: interfaces.Decoder,
        leader_client: leader_clients.LeaderClient,
        *,
        retention_seconds: float,
        clock: typing.Callable[[], float] = membership.steady_clock,
    ) -> None:
        self._store = store
        self._decoder = decoder
        self._leader_client = leader_client
        self._state_by_id: collections.OrderedDict[
            ids.JobId,
            _KnownState,
        ] = collections.OrderedDict()
        self._retention_seconds = retention_seconds
        self._clock = clock
        self._count_by_queue: collections.OrderedDict[
            str,
            leader_clients.PendingCount,
        ] = collections.OrderedDict()
        self._handlers = {
            'POST': self._submit,
            'GET': self._show,
            'DELETE': self._cancel,
        }

    async def handle(self, call: calls.Call) -> message.Response:
        """Answer a call that was routed and authenticated."""
        handler = self._handlers.get(call.request.method)
        if handler is None:
            return calls.refuse(405, 'no such method')
        if not call.job_name:
            if call.request.method == 'GET':
                return await self._count_pending(call)
            return calls.refuse(404, 'no job is named')
        return await handler(call)

    def _cache_state(
        self,
        job_id: ids.JobId,
        state: records.JobState,
        as_of: float,
    ) -> None:
        known = self._state_by_id.get(job_id)
        if known is None or not records.IS_FINAL[known.state]:
            self._state_by_id[job_id] = _KnownState(state, as_of)
        self._state_by_id.move_to_end(job_id)
        if len(self._state_by_id) > MAX_CACHED_STATES:
            self._state_by_id.popitem(last=False)

    def _age(self, known: _KnownState) -> float:
        """Return for how many seconds a known state may have been wrong."""
        if records.IS_FINAL[known.state]:
            return 0.0
        return self._clock() - known.as_of

    async def _submit(self, call: calls.Call) -> message.Response:
        job_id = ids.JobId(call.job_name)
        queue = call.queue
        assert queue is not None
        body = call.request.body
        try:
            self._decoder.submission(body)
            if len(body) > MAX_STORED_AS_RECEIVED_BYTES:
                body = self._decoder.compact_submission(body)
        except ValueError as error:
            return calls.refuse(400, str(error))
        accepted = records.AcceptedJob(
            queue=queue.queue_id,
            service=queue.service_id,
            team=call.team_id,
            priority=queue.priority,
            attempts=queue.attempts,
            stretch=queue.stretch,
            target=queue.target,
            accepted_at=time.time(),
            body=body,
        )
        asked_at = self._clock()
        outcome = await self._create(
            call, records.job_key(job_id), records.encode(accepted)
        )
        if outcome.is_ok():
            if job_id not in self._state_by_id:
                self._cache_state(job_id, records.JobState.QUEUED, asked_at)
            return message.json_response(200, {})
        if outcome.err_value.effect is call_effect.Effect.NONE:
            return calls.refuse(503, 'the job could not be stored')
        return calls.refuse(504, 'the job may have been stored')

    async def _create(
        self,
        call: calls.Call,
        key: str,
        value: bytes,
    ) -> result.Result[None, interfaces.StoreError]:
        """Create a key unless it exists.

        Repeats the write while its outcome is unknown.
        """
        if self._store.is_down():
            return _not_written(key, [])
        budget = min(
            WRITE_TIMEOUT_SECONDS, call.timeout - RESPONSE_MARGIN_SECONDS
        )
        deadline = call.received_at + budget
        transaction = interfaces.Transaction(
            {key: interfaces.ABSENT}, (interfaces.Write(key, value), )
        )
        errors: list[interfaces.StoreError] = []
        while True:
            sent_at = time.monotonic()
            timeout = min(ATTEMPT_TIMEOUT_SECONDS, deadline - sent_at)
            committed = await self._store.commit(
                transaction, timeout=max(MIN_ATTEMPT_SECONDS, timeout)
            )
            if committed.is_ok():
                # A conflict means that the key exists: an earlier attempt or
                # an earlier call of the client created it.
                return result.Ok(None)
            errors.append(committed.err_value)
            effect = call_effect.combine(error.effect for error in errors)
            next_at = max(time.monotonic(), sent_at + _attempt_interval())
            has_no_effect = effect is call_effect.Effect.NONE
            if has_no_effect or next_at > deadline - MIN_ATTEMPT_SECONDS:
                return _not_written(key, errors)
            await curio.sleep(max(0.0, next_at - time.monotonic()))

    async def _show(self, call: calls.Call) -> message.Response:
        job_id = ids.JobId(call.job_name)
        cached = self._state_by_id.get(job_id)
        if cached is not None and records.IS_FINAL[cached.state]:
            return _show_state(cached.state)
        asked_at = self._clock()
        answer = await self._leader_client.state(job_id)
        state = answer.ok_value if answer.is_ok() else None
        if state is None:
            stored = await self._stored_state(job_id)
            if stored.is_err():
                return self._show_cached(job_id, stored.err_value.detail)
            state = stored.ok_value
        if state is None:
            return message.json_response(410, {})
        self._cache_state(job_id, state, asked_at)
        return _show_state(state)

    def _show_cached(self, job_id: ids.JobId, detail: str) -> message.Response:
        """Answer with a state from before, or refuse if it is out of date.

        :param detail: why the store gave none, for logs.
        """
        cached = self._state_by_id.get(job_id)
        if cached is not None and self._age(cached) <= MAX_STATE_AGE_SECONDS:
            return _show_state(cached.state)
        _LOG.info(
            'state of a job is not known',
            job=job_id,
            detail=detail,
            age=None if cached is None else round(self._age(cached), 3),
        )
        return calls.refuse(503, 'the state is not known')

    async def _stored_state(self, job_id: ids.JobId) -> _State:
        """Return a job's state from the store, None if there is no job."""
        if self._store.is_down():
            return _error('the store is down')
        progress = await self._store.get(records.progress_key(job_id))
        if progress.is_err():
            return progress
        if progress.ok_value is not None:
            return _decode_state(progress.ok_value)
        accepted = await self._store.get(records.job_key(job_id))
        if accepted.is_err():
            return accepted
        exists = accepted.ok_value is not None
        return result.Ok(records.JobState.QUEUED if exists else None)

    async def _cancel(self, call: calls.Call) -> message.Response:
        job_id = ids.JobId(call.job_name)
        cached = self._state_by_id.get(job_id)
        if cached is None or self._age(cached) > self._retention_seconds:
            # The job may have ended and been removed meanwhile.
            stored = await self._store.get(records.job_key(job_id))
            if stored.is_err():
                return calls.refuse(503, 'the job is not known')
            if stored.ok_value is None:
                return message.json_response(410, {})
        if cached is not None and records.IS_FINAL[cached.state]:
            return _show_state(cached.state)
        outcome = await self._create(call, records.cancel_key(job_id), b'{}')
        if outcome.is_ok():
            return message.json_response(200, {})
        if outcome.err_value.effect is call_effect.Effect.NONE:
            return calls.refuse(503, 'the cancel could not be stored')
        return calls.refuse(504, 'the cancel may have been stored')

    async def _count_pending(self, call: calls.Call) -> message.Response:
        """Answer with the newest count, or refuse if that is out of date.

        While leaders change, the count of the former one is shown for as long
        as the platform allows; only a leader knows what has started.
        """
        assert call.queue is not None
        queue = call.queue.queue_id
        answer = await self._leader_client.pending(queue)
        if answer.is_ok():
            self._keep_count(queue, answer.ok_value)
        count = self._count_by_queue.get(queue)
        age = math.inf if count is None else self._clock() - count.as_of
        if count is not None and age <= MAX_COUNT_AGE_SECONDS:
            return message.json_response(200, {'pending': count.pending})
        _LOG.info(
            'number of pending jobs is not known',
            queue=queue,
            detail=answer.err_value.detail if answer.is_err() else '',
            age=None if count is None else round(age, 3),
        )
        return calls.refuse(503, 'the count is not known')

    def _keep_count(
        self,
        queue: str,
        count: leader_clients.PendingCount,
    ) -> None:
        """Keep a count unless a newer one was received before it."""
        kept = self._count_by_queue.get(queue)
        if kept is None or kept.as_of <= count.as_of:
            self._count_by_queue[queue] = count
            self._count_by_queue.move_to_end(queue)
        if len(self._count_by_queue) > MAX_KEPT_COUNTS:
            self._count_by_queue.popitem(last=False)


def _attempt_interval() -> float:
    return ATTEMPT_INTERVAL_SECONDS * random.uniform(1, 1 + ATTEMPT_JITTER)


def _decode_state(item: interfaces.Item) -> _State:
    try:
        return result.Ok(records.decode_state(item.value))
    except ValueError as error:
        _LOG.error(
            'job state could not be decoded', key=item.key, error=str(error)
        )
        return _error(str(error))


def _error(detail: str) -> result.Err[interfaces.StoreError]:
    return result.Err(interfaces.StoreError(call_effect.Effect.NONE, detail))


def _show_state(state: records.JobState) -> message.Response:
    return message.json_response(200, {'state': state.value})


def _not_written(
    key: str,
    errors: typing.Sequence[interfaces.StoreError],
) -> result.Err[interfaces.StoreError]:
    """Log and return the outcome of a write that was not confirmed.

    :param errors: of the attempts; none if the store is known to be down.
    """
    effect = call_effect.combine(error.effect for error in errors)
    details = [f'{error.effect.value}: {error.detail}' for error in errors]
    _LOG.info(
        'write not confirmed',
        key=key,
        effect=effect.value,
        attempts=details,
    )
    return result.Err(interfaces.StoreError(effect, '; '.join(details)))


__all__ = ('JobHandler', )
