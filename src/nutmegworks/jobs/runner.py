"""Carries out the commands of a gang: messages, record writes and timers."""
from __future__ import annotations

import dataclasses
import typing

import curio
import result

from nutmegworks.adapters import workers
from nutmegworks.jobs import gang
from nutmegworks.model import ids
from nutmegworks.net import client
from nutmegworks.policy import events

# A refused connection fails at once, so a message is not sent again before
# this delay.
RESEND_DELAY_SECONDS: typing.Final = 0.3
# The messages and retries of a large gang must not open the connections to
# all its workers at once.
MAX_CONCURRENT_SENDS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptPlan:
    """One attempt of a job.

    :param address_by_id: addresses of the workers; a member without one
        counts as unreachable.
    :param checkpoint: to resume from; empty to start from the beginning.
    """

    run_id: ids.RunId
    attempt: int
    fencing_token: ids.FencingToken
    members: tuple[events.Member, ...]
    address_by_id: typing.Mapping[ids.WorkerId, client.Address]
    payload: bytes
    checkpoint: str = ''


ProgressEvent: typing.TypeAlias = (
    gang.Started | gang.Checkpointed | gang.CheckpointFailed
)
Commit = typing.Callable[[], typing.Awaitable[gang.CommitResult]]
Notify = typing.Callable[[ProgressEvent], typing.Awaitable[None]]

_PAYLOAD_STEPS: typing.Final = frozenset({workers.Step.STAGE})


class GangRunner:
    """Runs one gang from its start or takeover to its end.

    :param commit: writes the record that commits the gang.
    :param notify: receives the progress of the running gang.
    """

    def __init__(
        self,
        plan: AttemptPlan,
        worker_client: workers.WorkerClient,
        *,
        commit: Commit,
        notify: Notify,
    ) -> None:
        self.plan = plan
        self._client = worker_client
        self._commit = commit
        self._notify = notify
        self._accelerators_by_id = _merge_accelerators(plan.members)
        self._machine = gang.Gang(list(self._accelerators_by_id))
        self._events: curio.Queue = curio.Queue()
        self._lock_by_id = {
            worker_id: curio.Lock()
            for worker_id in self._accelerators_by_id
        }
        self._send_permits = curio.Semaphore(MAX_CONCURRENT_SENDS)
        self._tasks: set[curio.Task] = set()

    @property
    def phase(self) -> gang.Phase:
        return self._machine.phase

    async def submit_event(self, event: gang.Event) -> None:
        """Queue an event for the gang."""
        await self._events.put(event)

    async def run(self, first_event: gang.Event) -> gang.Ended:
        """Run the gang until the attempt is over.

        :param first_event: ``Begin`` or ``TakeOver``.
        """
        await self._spawn(self._run_renewal_timer())
        # Handled before the events that were queued while the gang waited for
        # its start.
        event = first_event
        try:
            while True:
                for command in self._machine.handle(event):
                    if isinstance(command, gang.Ended):
                        return command
                    await self._perform(command)
                event = await self._events.get()
        finally:
            for task in list(self._tasks):
                await task.cancel(blocking=False)

    async def release(self) -> None:
        """Send every member a stop, once, so that it discards the run.

        A member that does not receive it discards the run when the lease
        expires.
        """
        async with curio.TaskGroup() as group:
            for worker_id in self._accelerators_by_id:
                order = self._order(worker_id, workers.Step.STOP, 0.0)
                await group.spawn(self._exchange, worker_id, order)

    async def _spawn(self, coroutine: typing.Any) -> None:
        task = await curio.spawn(coroutine, daemon=True)
        self._tasks.add(task)

    async def _perform(self, command: gang.Command) -> None:
        if isinstance(command, gang.Send):
            await self._spawn(self._send(command))
        elif isinstance(command, gang.Commit):
            await self._spawn(self._run_commit())
        elif isinstance(command, gang.AwaitLeaseExpiry):
            await self._spawn(self._await_lease_expiry(command.seconds))
        else:
            await self._notify(typing.cast(ProgressEvent, command))

    async def _run_renewal_timer(self) -> None:
        while True:
            await curio.sleep(gang.RENEW_INTERVAL_SECONDS)
            await self.submit_event(gang.RenewalDue())

    async def _await_lease_expiry(self, seconds: float) -> None:
        await curio.sleep(seconds)
        await self.submit_event(gang.LeasesExpired())

    async def _run_commit(self) -> None:
        await self.submit_event(gang.CommitAnswered(await self._commit()))

    async def _send(self, command: gang.Send) -> None:
        if command.retry_number:
            await curio.sleep(RESEND_DELAY_SECONDS)
        order = self._order(
            command.worker_id,
            command.step,
            command.lease_seconds,
        )
        # A stop must not overtake an earlier message to the same worker.
        async with self._lock_by_id[command.worker_id], self._send_permits:
            answer = await self._exchange(command.worker_id, order)
        fault = answer.err_value.fault if answer.is_err() else None
        task = None if answer.is_err() else answer.ok_value
        await self.submit_event(
            gang.MessageAnswered(
                command.round_number,
                command.worker_id,
                fault,
                task,
            )
        )
        self._tasks.discard(await curio.current_task())

    async def _exchange(
        self,
        worker_id: ids.WorkerId,
        order: workers.Order,
    ) -> result.Result[workers.TaskReport, workers.WorkerError]:
        address = self.plan.address_by_id.get(worker_id)
        if address is None:
            fault = workers.WorkerFault.NOT_SENT
            return result.Err(workers.WorkerError(fault, 'no address'))
        return await self._client.send(address, order)

    def _order(
        self,
        worker_id: ids.WorkerId,
        step: workers.Step,
        lease_seconds: float,
    ) -> workers.Order:
        with_payload = step in _PAYLOAD_STEPS
        return workers.Order(
            step=step,
            run_id=self.plan.run_id,
            fencing_token=self.plan.fencing_token,
            accelerators=self._accelerators_by_id[worker_id],
            lease_seconds=lease_seconds,
            payload=self.plan.payload if with_payload else b'',
            checkpoint=self.plan.checkpoint if with_payload else '',
        )


def _merge_accelerators(
    members: tuple[events.Member, ...],
) -> dict[ids.WorkerId, tuple[int, ...]]:
    """Return the accelerators by worker, in the order of the members."""
    merged: dict[ids.WorkerId, tuple[int, ...]] = {}
    for member in members:
        earlier = merged.get(member.worker_id, ())
        merged[member.worker_id] = (*earlier, *member.accelerators)
    return merged


__all__ = (
    'AttemptPlan',
    'Commit',
    'GangRunner',
    'MAX_CONCURRENT_SENDS',
    'Notify',
    'ProgressEvent',
    'RESEND_DELAY_SECONDS',
)
