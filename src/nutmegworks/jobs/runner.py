"""Carries out the commands of one gang: messages, record and timers."""
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

# A repeated message waits a little: a refused connection fails at once.
REPEAT_DELAY_SECONDS: typing.Final = 0.3
# The first repeats of a large gang must not open all connections at once.
CONCURRENT_SENDS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """One attempt of a job.

    :param address_by_id: of the members; a member without one counts as
        unreachable.
    :param checkpoint: to resume from; empty to start anew.
    """

    run_id: ids.RunId
    attempt: int
    fencing_token: ids.FencingToken
    members: tuple[events.Member, ...]
    address_by_id: typing.Mapping[ids.WorkerId, client.Address]
    payload: bytes
    checkpoint: str = ''


Notice: typing.TypeAlias = (
    gang.Started | gang.Checkpointed | gang.CheckpointFailed
)
Commit = typing.Callable[[], typing.Awaitable[gang.CommitResult]]
Notify = typing.Callable[[Notice], typing.Awaitable[None]]

_PAYLOAD_STEPS: typing.Final = frozenset({workers.Step.STAGE})


class GangRunner:
    """Runs one gang from its start or takeover to its end.

    :param commit: writes the record.
    :param notify: told what happens while the gang runs.
    """

    def __init__(
        self,
        plan: Plan,
        worker_client: workers.WorkerClient,
        *,
        commit: Commit,
        notify: Notify,
    ) -> None:
        self.plan = plan
        self._client = worker_client
        self._commit = commit
        self._notify = notify
        self._accelerators_by_id = _merge(plan.members)
        self._machine = gang.Gang(list(self._accelerators_by_id))
        self._events: curio.Queue = curio.Queue()
        self._turn_by_id = {
            worker_id: curio.Lock()
            for worker_id in self._accelerators_by_id
        }
        self._sending = curio.Semaphore(CONCURRENT_SENDS)
        self._tasks: set[curio.Task] = set()

    @property
    def phase(self) -> gang.Phase:
        return self._machine.phase

    async def tell(self, event: gang.Event) -> None:
        """Pass an event to the gang."""
        await self._events.put(event)

    async def run(self, first: gang.Event) -> gang.Ended:
        """Run the gang until no member executes any more."""
        await self._start(self._renew_timer())
        # Before anything that was told to a gang that waited for its turn.
        event = first
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
        """Tell all members to forget the run; unanswered ones expire it."""
        async with curio.TaskGroup() as group:
            for worker_id in self._accelerators_by_id:
                order = self._order(worker_id, workers.Step.STOP, 0.0)
                await group.spawn(self._exchange, worker_id, order)

    async def _start(self, coroutine: typing.Any) -> None:
        task = await curio.spawn(coroutine, daemon=True)
        self._tasks.add(task)

    async def _perform(self, command: gang.Command) -> None:
        if isinstance(command, gang.Send):
            await self._start(self._send(command))
        elif isinstance(command, gang.Commit):
            await self._start(self._run_commit())
        elif isinstance(command, gang.AwaitLeases):
            await self._start(self._await_leases(command.seconds))
        else:
            await self._notify(typing.cast(Notice, command))

    async def _renew_timer(self) -> None:
        while True:
            await curio.sleep(gang.RENEW_INTERVAL_SECONDS)
            await self.tell(gang.RenewDue())

    async def _await_leases(self, seconds: float) -> None:
        await curio.sleep(seconds)
        await self.tell(gang.LeasesOver())

    async def _run_commit(self) -> None:
        await self.tell(gang.CommitAnswered(await self._commit()))

    async def _send(self, command: gang.Send) -> None:
        if command.repeat:
            await curio.sleep(REPEAT_DELAY_SECONDS)
        order = self._order(
            command.worker_id,
            command.step,
            command.lease_seconds,
        )
        # A stop must not overtake an earlier message to the same worker.
        async with self._turn_by_id[command.worker_id], self._sending:
            answer = await self._exchange(command.worker_id, order)
        fault = answer.err_value.fault if answer.is_err() else None
        task = None if answer.is_err() else answer.ok_value
        await self.tell(
            gang.Answered(
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
        staging = step in _PAYLOAD_STEPS
        return workers.Order(
            step=step,
            run_id=self.plan.run_id,
            fencing_token=self.plan.fencing_token,
            accelerators=self._accelerators_by_id[worker_id],
            lease_seconds=lease_seconds,
            payload=self.plan.payload if staging else b'',
            checkpoint=self.plan.checkpoint if staging else '',
        )


def _merge(
    members: tuple[events.Member, ...],
) -> dict[ids.WorkerId, tuple[int, ...]]:
    """Return the accelerators of each worker, in order of the members."""
    merged: dict[ids.WorkerId, tuple[int, ...]] = {}
    for member in members:
        earlier = merged.get(member.worker_id, ())
        merged[member.worker_id] = (*earlier, *member.accelerators)
    return merged


__all__ = (
    'CONCURRENT_SENDS',
    'Commit',
    'GangRunner',
    'Notice',
    'Notify',
    'Plan',
    'REPEAT_DELAY_SECONDS',
)
