"""Decides what becomes of start and stop requests and their answers."""
from __future__ import annotations

import typing

import curio
import logbook

from nutmegworks.fleet import interfaces
from nutmegworks.fleet import journal as journals
from nutmegworks.fleet import membership
from nutmegworks.fleet import order_queue
from nutmegworks.fleet import state as fleet_state
from nutmegworks.fleet import table
from nutmegworks.fleet import worker as fleet_worker
from nutmegworks.model import ids
from nutmegworks.policy import waiting_orders
from nutmegworks.tasks import records
from nutmegworks.tasks import workers

_LOG: typing.Final = logbook.Logger('orders')

# A start request that the worker rejects because its lease has ended is sent
# this often.
START_ATTEMPTS: typing.Final = 2
# A worker that rejected a start request gets no other for this time.
REJECTION_PAUSE_SECONDS: typing.Final = 0.5
# Nothing of a job is started for this time after a worker rejected its start
# request as invalid.
INVALID_PAUSE_SECONDS: typing.Final = 2.0
RETRY_SECONDS: typing.Final = 0.2

_REJECTIONS: typing.Final = frozenset(
    {
        workers.StartOutcome.NO_RESOURCES,
        workers.StartOutcome.UNHEALTHY,
        workers.StartOutcome.WRONG_WORKER,
        workers.StartOutcome.INVALID,
        workers.StartOutcome.STALE_RUN,
    }
)
# All other outcomes are answers.
_DELIVERY_BY_OUTCOME: typing.Final = {
    workers.StartOutcome.UNKNOWN: interfaces.Delivery.UNANSWERED,
    workers.StartOutcome.BROKEN: interfaces.Delivery.BROKEN,
    workers.StartOutcome.UNREACHED: interfaces.Delivery.UNREACHED,
    workers.StartOutcome.NO_CONNECTION: interfaces.Delivery.NO_CONNECTION,
}
_NOT_SENT: typing.Final = frozenset(
    {
        interfaces.Delivery.UNREACHED,
        interfaces.Delivery.NO_CONNECTION,
    }
)
_NOTHING_TO_SEND: typing.Final = order_queue.Attempt(None)


class Orders(order_queue.Carrier):
    """Sends the scheduler's decisions to the workers.

    Each worker has a queue of its own, which owns all that waits for it.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        client: interfaces.WorkerClient,
        journal: journals.Journal,
        member: membership.Membership,
        token: ids.FencingToken,
        step_down: typing.Callable[[str], typing.Awaitable[None]],
    ) -> None:
        self._state = state
        self._client = client
        self._journal = journal
        self._member = member
        self._token = token
        self._step_down = step_down
        self._queues: dict[ids.WorkerId, order_queue.OrderQueue] = {}
        self._running: set[ids.WorkerId] = set()
        self._tasks: dict[ids.WorkerId, curio.Task] = {}
        self._ended = False

    async def run(self) -> None:
        """Send a stop request for each queued run, until cancelled."""
        try:
            while True:
                await self._state.stop_needed.wait()
                self._state.stop_needed.clear()
                while self._state.runs_to_stop:
                    run = self._state.runs_to_stop.popleft()
                    await self._add(waiting_orders.Kind.STOP, run)
        finally:
            self._ended = True
            for task in list(self._tasks.values()):
                await task.cancel()

    async def start_runs(
        self,
        job: table.Job,
        runs: typing.Sequence[table.Run],
    ) -> None:
        """Store the runs' assignments, then request their starts."""
        await self._journal.persist([job.job_id])
        for run in runs:
            await self._add(waiting_orders.Kind.START, run, job)

    def waiting_by_worker(self) -> dict[ids.WorkerId, int]:
        """Return the numbers of orders that wait, without zeros."""
        return {
            worker_id: len(queue)
            for worker_id, queue in self._queues.items()
            if len(queue)
        }

    async def _add(
        self,
        kind: waiting_orders.Kind,
        run: table.Run,
        job: table.Job | None = None,
    ) -> None:
        if self._ended:
            return
        worker_id = run.worker_id
        queue = self._queues.setdefault(
            worker_id, order_queue.OrderQueue(worker_id, self)
        )
        await queue.add(
            order_queue.Order(
                kind=kind,
                run=run,
                job=job,
                added_at=membership.steady_clock(),
            )
        )
        if worker_id not in self._running:
            self._running.add(worker_id)
            self._tasks[worker_id] = await curio.spawn(
                self._run_queue, worker_id, queue, daemon=True
            )

    async def _run_queue(
        self,
        worker_id: ids.WorkerId,
        queue: order_queue.OrderQueue,
    ) -> None:
        while True:
            try:
                await queue.run()
            except Exception as error:
                _LOG.exception(
                    'order queue failed', worker=worker_id, error=repr(error)
                )
                await curio.sleep(RETRY_SECONDS)
                continue
            if not len(queue):
                break
        self._running.discard(worker_id)
        self._tasks.pop(worker_id, None)
        if worker_id not in self._state.workers_by_id:
            self._queues.pop(worker_id, None)

    def permission(self, worker_id: ids.WorkerId) -> order_queue.Permission:
        if not self._member.may_act_as_leader():
            return order_queue.Permission.NOTHING
        worker = self._state.workers_by_id.get(worker_id)
        if worker is None or worker.may_start(membership.steady_clock()):
            return order_queue.Permission.ALL
        return order_queue.Permission.STOPS

    async def settle(self, order: order_queue.Order) -> bool:
        run = order.run
        if run.released:
            return True
        if order.job is None:
            return False
        if run.phase is not table.RunPhase.ORDERED:
            return True
        verdict = waiting_orders.judge_start(self._waiting_start(order))
        if verdict is waiting_orders.StartVerdict.KEEP:
            return False
        _LOG.info(
            'start request not answered',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            attempts=order.attempts,
            verdict=verdict.value,
        )
        if verdict is waiting_orders.StartVerdict.WITHDRAW:
            self._withdraw(run, 'no answer')
        else:
            self._release_unsent(order.job, run, 'not sent in time')
        await self._state.notify()
        return True

    def _waiting_start(
        self, order: order_queue.Order
    ) -> waiting_orders.WaitingStart:
        now = membership.steady_clock()
        worker = self._state.workers_by_id.get(order.run.worker_id)
        return waiting_orders.WaitingStart(
            waited=now - order.added_at,
            since_sent=None if order.sent_at is None else now - order.sent_at,
            worker_answers=worker is not None and worker.reachable,
            lease_ended=worker is not None and worker.lease_expired(now),
        )

    async def carry_out(self, order: order_queue.Order) -> order_queue.Attempt:
        if order.job is None:
            return await self._send_stop(order)
        return await self._send_start(order, order.job)

    async def _send_start(
        self,
        order: order_queue.Order,
        job: table.Job,
    ) -> order_queue.Attempt:
        run = order.run
        worker = self._state.workers_by_id.get(run.worker_id)
        now = membership.steady_clock()
        lease = None if worker is None else worker.start_lease(now)
        if (worker is None or lease is None
                or worker.incarnation != run.incarnation):
            await self._handle_rejection(
                order,
                job,
                workers.StartOutcome.WRONG_WORKER,
                sent_before=order.attempts > 0,
            )
            return _NOTHING_TO_SEND
        request = workers.StartRequest(
            run.task,
            run.number,
            job.submission.payload,
            lease,
            self._token,
            job.progress.saved.get(job.attempt_key(run.task), ''),
        )
        fresh = order.attempts > 0
        self._begin_attempt(order)
        outcome = await self._client.start(worker.entry, request, fresh=fresh)
        self._state.metrics.starts.inc({'verdict': outcome.value})
        delivery = _DELIVERY_BY_OUTCOME.get(
            outcome, interfaces.Delivery.ANSWERED
        )
        self._end_attempt(order, delivery)
        repeat = await self._apply_outcome(order, job, worker, outcome)
        return order_queue.Attempt(delivery, repeat)

    @staticmethod
    def _begin_attempt(order: order_queue.Order) -> None:
        """Count an order as sent, until it is known that it was not."""
        order.attempts += 1
        order.run.sent = True
        if order.sent_at is None:
            order.sent_at = membership.steady_clock()

    def _end_attempt(
        self,
        order: order_queue.Order,
        delivery: interfaces.Delivery,
    ) -> None:
        first = order.attempts == 1
        if delivery in _NOT_SENT:
            order.attempts -= 1
            if first:
                order.sent_at = None
            if first and order.kind is waiting_orders.Kind.START:
                order.run.sent = False
        elif first and order.sent_at is not None:
            self._state.metrics.order_wait_seconds.observe(
                {'kind': order.kind.value}, order.sent_at - order.added_at
            )

    async def _apply_outcome(
        self,
        order: order_queue.Order,
        job: table.Job,
        worker: fleet_worker.Worker,
        outcome: workers.StartOutcome,
    ) -> bool:
        """Apply the outcome of a start request.

        :return: whether the request must be sent again.
        """
        run = order.run
        if run.released:
            return False
        if outcome is workers.StartOutcome.STARTED:
            run.started = True
            job.record_start()
            if run.phase is table.RunPhase.ORDERED:
                run.phase = table.RunPhase.RUNNING
                run.confirmed_at = membership.steady_clock()
            return False
        if outcome is workers.StartOutcome.FENCED:
            await self._step_down(f'{run.worker_id} has seen a newer leader')
            return False
        if outcome in _REJECTIONS:
            await self._handle_rejection(
                order, job, outcome, sent_before=order.attempts > 1
            )
            return False
        self._record_failure(worker, outcome)
        if (outcome is workers.StartOutcome.LEASE_EXPIRED
                and order.attempts >= START_ATTEMPTS):
            self._withdraw(run, outcome.value)
            await self._state.notify()
            return False
        if not run.sent and run.phase is table.RunPhase.STOPPING:
            # It was to be stopped while the request might have been sent.
            self._release_unsent(job, run, 'stopped before it was sent')
            await self._state.notify()
            return False
        return not await self.settle(order)

    @staticmethod
    def _record_failure(
        worker: fleet_worker.Worker,
        outcome: workers.StartOutcome,
    ) -> None:
        """Let a worker that does not answer get no more work until it does.

        A connection that broke, or was not to be had, says nothing of that.
        """
        now = membership.steady_clock()
        if outcome is workers.StartOutcome.UNREACHED:
            worker.unreached_at = now
        elif outcome in (workers.StartOutcome.UNKNOWN,
                         workers.StartOutcome.LEASE_EXPIRED):
            worker.unanswered_at = now

    async def _handle_rejection(
        self,
        order: order_queue.Order,
        job: table.Job,
        outcome: workers.StartOutcome,
        *,
        sent_before: bool,
    ) -> None:
        now = membership.steady_clock()
        run = order.run
        _LOG.info(
            'start request rejected',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            verdict=outcome.value,
        )
        worker = self._state.workers_by_id.get(run.worker_id)
        if outcome is workers.StartOutcome.INVALID:
            job.not_before = now + INVALID_PAUSE_SECONDS
        elif worker is not None:
            worker.paused_until = now + REJECTION_PAUSE_SECONDS
        if outcome is workers.StartOutcome.UNHEALTHY:
            self._state.worker_health.record_failure(
                run.worker_id, job.job_id, now, run.ordered_at
            )
        if sent_before:
            # The first request may have arrived, or may arrive later.
            self._withdraw(run, outcome.value)
        else:
            self._release_unsent(job, run, outcome.value)
        await self._state.notify()

    def _release_unsent(
        self,
        job: table.Job,
        run: table.Run,
        reason: str,
    ) -> None:
        """Release a run that has not started and can't start any more."""
        self._state.release_run(run, reason)
        if not job.begun and not job.runs_by_task and not job.final:
            # Stored with the release, for the next leader.
            job.progress.state = records.JobState.QUEUED
        self._state.stop_gang(run, f'start of a member failed: {reason}')

    def _withdraw(self, run: table.Run, reason: str) -> None:
        """Stop a run whose start request may still take effect."""
        self._state.stop_run(run, reason)
        self._state.stop_gang(run, f'start of a member failed: {reason}')

    async def _send_stop(
        self, order: order_queue.Order
    ) -> order_queue.Attempt:
        run = order.run
        worker = self._state.workers_by_id.get(run.worker_id)
        if worker is None:
            # The run is lost once all leases have ended.
            return order_queue.Attempt(
                interfaces.Delivery.UNREACHED, repeat=True
            )
        fresh = order.attempts > 0
        self._begin_attempt(order)
        answer = await self._client.stop(
            worker.entry, run.task, run.number, self._token, fresh=fresh
        )
        if answer.is_err():
            delivery = answer.err_value.delivery
            self._end_attempt(order, delivery)
            if delivery is interfaces.Delivery.UNREACHED:
                worker.unreached_at = membership.steady_clock()
            return order_queue.Attempt(delivery, repeat=True)
        self._end_attempt(order, interfaces.Delivery.ANSWERED)
        if not answer.ok_value:
            await self._step_down(f'{run.worker_id} rejected a stop request')
        run.confirmed_at = membership.steady_clock()
        return order_queue.Attempt(interfaces.Delivery.ANSWERED)


__all__ = ('Orders', )
