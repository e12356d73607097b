"""Accepts jobs, reports their states and takes cancels."""
from __future__ import annotations

import collections
import time
import typing

import logbook
import result

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import leader_client as leader_clients
from nutmegworks.ingress import call as calls
from nutmegworks.model import ids
from nutmegworks.net import message
from nutmegworks.tasks import records

_LOG: typing.Final = logbook.Logger('ingress')

# A write without an answer is repeated until this time has passed, in seconds;
# later the client is told that the outcome is unknown.
WRITE_SECONDS: typing.Final = 1.5
# Kept back from the client's deadline, for the response to arrive.
RESPONSE_SECONDS: typing.Final = 0.2
# One try. The store answers within 0.25 s on slow days; a lost answer is made
# up for by the next try.
TRY_SECONDS: typing.Final = 0.45
# Final states that are remembered for clients that ask again.
REMEMBERED_JOBS: typing.Final = 2000

_State = result.Result[records.JobState | None, interfaces.StoreError]


class JobCalls:
    """Answers the calls of one queue's clients."""

    def __init__(
        self,
        store: interfaces.Store,
        decoder: interfaces.Decoder,
        inquiry: leader_clients.LeaderClient,
    ) -> None:
        self._store = store
        self._decoder = decoder
        self._inquiry = inquiry
        self._state_by_id: collections.OrderedDict[
            ids.JobId,
            records.JobState,
        ] = collections.OrderedDict()
        self._pending_by_queue: dict[str, int] = {}
        self._handlers = {
            'POST': self._submit,
            'GET': self._show,
            'DELETE': self._cancel,
        }

    async def handle(self, call: calls.Call) -> message.Response:
        """Answer a call that has a queue and a team."""
        handler = self._handlers.get(call.request.method)
        if handler is None:
            return calls.refuse(405, 'no such method')
        if not call.job_name:
            if call.request.method == 'GET':
                return await self._count(call)
            return calls.refuse(404, 'no job is named')
        return await handler(call)

    def _remember(self, job_id: ids.JobId, state: records.JobState) -> None:
        self._state_by_id[job_id] = state
        self._state_by_id.move_to_end(job_id)
        if len(self._state_by_id) > REMEMBERED_JOBS:
            self._state_by_id.popitem(last=False)

    async def _submit(self, call: calls.Call) -> message.Response:
        job_id = ids.JobId(call.job_name)
        queue = call.queue
        assert queue is not None
        try:
            self._decoder.submission(call.request.body)
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
            body=call.request.body,
        )
        outcome = await self._create(
            call, records.job_key(job_id), records.encode(accepted)
        )
        if outcome.is_ok():
            self._state_by_id.setdefault(job_id, records.JobState.QUEUED)
            return message.json_response(200, {})
        if outcome.err_value.effect is interfaces.Effect.NONE:
            return calls.refuse(503, 'the job could not be stored')
        return calls.refuse(504, 'the job may have been stored')

    async def _create(
        self,
        call: calls.Call,
        key: str,
        value: bytes,
    ) -> result.Result[None, interfaces.StoreError]:
        """Create a key unless it exists."""
        if self._store.is_down():
            return result.Err(
                interfaces.StoreError(
                    interfaces.Effect.NONE, 'the store does not answer'
                )
            )
        budget = min(WRITE_SECONDS, call.deadline - RESPONSE_SECONDS)
        until = call.received_at + budget
        transaction = interfaces.Transaction(
            {key: interfaces.ABSENT}, (interfaces.Write(key, value), )
        )
        effect = interfaces.Effect.NONE
        while True:
            left = until - time.monotonic()
            done = await self._store.commit(
                transaction, timeout=max(0.1, min(TRY_SECONDS, left))
            )
            if done.is_ok():
                # A conflict means that the key exists: an earlier try or an
                # earlier call of the client created it.
                return result.Ok(None)
            error = done.err_value
            if error.effect is interfaces.Effect.UNKNOWN:
                effect = interfaces.Effect.UNKNOWN
            sure = effect is interfaces.Effect.NONE
            if sure or time.monotonic() > until - 0.1:
                return result.Err(interfaces.StoreError(effect, error.detail))

    async def _show(self, call: calls.Call) -> message.Response:
        job_id = ids.JobId(call.job_name)
        known = self._state_by_id.get(job_id)
        if known is not None and records.IS_FINAL[known]:
            return message.json_response(200, {'state': known.value})
        asked = await self._inquiry.state(job_id)
        state = asked.ok_value if asked.is_ok() else None
        if state is None:
            stored = await self._stored_state(job_id)
            if stored.is_err():
                if known is None:
                    return calls.refuse(503, 'the state is not known')
                return message.json_response(200, {'state': known.value})
            state = stored.ok_value
        if state is None:
            return message.json_response(410, {})
        self._remember(job_id, state)
        return message.json_response(200, {'state': state.value})

    async def _stored_state(self, job_id: ids.JobId) -> _State:
        """Return a job's state from the store, None if there is no job."""
        progress = await self._store.get(records.progress_key(job_id))
        if progress.is_err():
            return progress
        if progress.ok_value is not None:
            return result.Ok(records.decode_state(progress.ok_value.value))
        accepted = await self._store.get(records.job_key(job_id))
        if accepted.is_err():
            return accepted
        found = accepted.ok_value is not None
        return result.Ok(records.JobState.QUEUED if found else None)

    async def _cancel(self, call: calls.Call) -> message.Response:
        job_id = ids.JobId(call.job_name)
        known = self._state_by_id.get(job_id)
        if known is None:
            stored = await self._store.get(records.job_key(job_id))
            if stored.is_err():
                return calls.refuse(503, 'the job is not known')
            if stored.ok_value is None:
                return message.json_response(410, {})
        if known is not None and records.IS_FINAL[known]:
            return message.json_response(200, {'state': known.value})
        outcome = await self._create(call, records.cancel_key(job_id), b'{}')
        if outcome.is_ok():
            return message.json_response(200, {})
        if outcome.err_value.effect is interfaces.Effect.NONE:
            return calls.refuse(503, 'the cancel could not be stored')
        return calls.refuse(504, 'the cancel may have been stored')

    async def _count(self, call: calls.Call) -> message.Response:
        assert call.queue is not None
        queue = call.queue.queue_id
        asked = await self._inquiry.pending(queue)
        if asked.is_ok():
            self._pending_by_queue[queue] = asked.ok_value
        else:
            _LOG.info(
                'count not known now',
                queue=queue,
                detail=asked.err_value.detail,
                last=self._pending_by_queue.get(queue),
            )
        if queue not in self._pending_by_queue:
            return calls.refuse(503, 'the count is not known')
        pending = self._pending_by_queue[queue]
        return message.json_response(200, {'pending': pending})


__all__ = ('JobCalls', )
