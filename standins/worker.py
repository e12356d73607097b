"""A stand-in for a worker with accelerators that injects faults."""
from __future__ import annotations

import collections
import time
import typing

import curio
import msgspec
import typer

from nutmegworks.net import message
from nutmegworks.net import server
from standins import service

# Longer than any caller waits, so that a silent call is never answered.
SILENT_SECONDS: typing.Final = 3600.0
# Ended tasks are reported for this long, so that a new owner of the shard can
# read their outcome.
RETENTION_SECONDS: typing.Final = 300.0
MAX_HISTORY_STATES: typing.Final = 1000
DEFAULT_RUN_SECONDS: typing.Final = 0.05

ACTIVE_PHASES: typing.Final = frozenset({'reserved', 'staged', 'running'})


class Faults(msgspec.Struct):
    """The active faults.

    An int is the number of messages still affected, -1 for all.

    :param dead: kill all tasks, lose all state and refuse calls; the worker
        has no tasks when the fault is removed.
    :param silent: accept calls, but neither apply nor answer them.
    :param fail_tasks: fail every task as soon as it starts.
    :param lose_answers: apply a message, then close without a response.
    :param drop_messages: close without applying the message.
    :param delay: seconds before each call is handled.
    :param report_lag: report the state of this many seconds ago.
    :param no_reports: never answer requests for reports; answer messages.
    """

    dead: bool = False
    silent: bool = False
    fail_tasks: bool = False
    lose_answers: int = 0
    drop_messages: int = 0
    delay: float = 0.0
    report_lag: float = 0.0
    no_reports: bool = False


class Execution(msgspec.Struct):
    """One execution of a task.

    :param started: seconds since 1970.
    :param ended: seconds since 1970; 0 during execution.
    :param outcome: the final phase, or ``killed``.
    """

    run_id: str
    accelerators: tuple[int, ...]
    fencing_token: int
    checkpoint: str
    started: float
    ended: float = 0.0
    outcome: str = ''


class _Body(msgspec.Struct):
    run_id: str
    fencing_token: int
    accelerators: tuple[int, ...] = ()
    lease_seconds: float = 0.0
    payload: bytes = b''
    checkpoint: str = ''


class _Payload(msgspec.Struct):
    """The part of a payload that controls the stand-in.

    :param run_seconds: seconds that the task executes.
    :param result_bytes: length of the result; 0 returns the payload.
    """

    run_seconds: float = DEFAULT_RUN_SECONDS
    result_bytes: int = 0


class _Task(msgspec.Struct):
    run_id: str
    phase: str
    accelerators: tuple[int, ...]
    expires: float
    payload: bytes = b''
    resumed_from: str = ''
    checkpoint: str = ''
    ends: float = 0.0
    result: bytes | None = None
    execution: Execution | None = None


class WorkerStandIn:
    """Runs tasks under leases; ends and expiries are applied at each call."""

    def __init__(
        self,
        *,
        worker_id: str = 'worker',
        rack: str = 'rack',
        accelerators: int = 8,
        clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self.faults = Faults()
        self.executions: list[Execution] = []
        self.fencing_token = 0
        self._worker_id = worker_id
        self._rack = rack
        self._accelerators = accelerators
        self._clock = clock
        self._task_by_run: dict[str, _Task] = {}
        self._state_history: collections.deque[tuple[
            float, bytes]] = (collections.deque(maxlen=MAX_HISTORY_STATES))
        self._handlers: dict[
            str,
            typing.Callable[[_Body], message.Response],
        ] = {
            '/v1/reserve': self._reserve,
            '/v1/stage': self._stage,
            '/v1/go': self._go,
            '/v1/renew': self._renew,
            '/v1/checkpoint': self._checkpoint,
            '/v1/stop': self._stop,
        }

    async def handle(self, request: message.Request) -> message.Response:
        """Serve one request."""
        if request.target == '/fault':
            self.set_faults(msgspec.json.decode(request.body, type=Faults))
            return message.json_response(200, {})
        self.update_tasks()
        if request.target == '/executions':
            return message.json_response(200, self.executions)
        await self._apply_faults()
        self.update_tasks()
        if request.target == '/v1/state':
            return await self._report()
        handler = self._handlers.get(request.target)
        if handler is None:
            return message.json_response(404, {})
        if self._consume_fault('drop_messages'):
            raise server.AbortConnection()
        body = msgspec.json.decode(request.body, type=_Body)
        response = self._fence(body) or handler(body)
        self._record_state()
        if self._consume_fault('lose_answers'):
            raise server.AbortConnection()
        return response

    def set_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.update_tasks()
        self.faults = faults
        if faults.dead:
            for task in self._task_by_run.values():
                self._end(task, 'killed', self._clock())
            self._task_by_run.clear()
            self._state_history.clear()
            self.fencing_token = 0

    async def _apply_faults(self) -> None:
        if self.faults.dead:
            raise server.AbortConnection()
        if self.faults.silent:
            await curio.sleep(SILENT_SECONDS)
        if self.faults.delay:
            await curio.sleep(self.faults.delay)

    def _consume_fault(self, fault: str) -> bool:
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return remaining != 0

    def update_tasks(self) -> None:
        """Finish tasks that are due, expire leases, remove old ended tasks."""
        now = self._clock()
        for task in list(self._task_by_run.values()):
            if task.phase == 'running' and task.ends <= min(now, task.expires):
                task.result = _result(task.payload)
                self._end(task, 'finished', task.ends)
            elif task.phase in ACTIVE_PHASES and task.expires <= now:
                self._end(task, 'expired', task.expires)
            elif task.phase not in ACTIVE_PHASES and task.expires <= now:
                del self._task_by_run[task.run_id]

    def _end(self, task: _Task, phase: str, ended_at: float) -> None:
        if task.execution is not None and not task.execution.ended:
            task.execution.ended = ended_at
            task.execution.outcome = phase
        task.phase = phase
        task.expires = ended_at + RETENTION_SECONDS

    def _fence(self, body: _Body) -> message.Response | None:
        if body.fencing_token < self.fencing_token:
            return _refuse('fenced', f'token is {self.fencing_token}')
        self.fencing_token = body.fencing_token
        return None

    def _reserve(self, body: _Body) -> message.Response:
        task = self._task_by_run.get(body.run_id)
        if task is not None and task.phase in ACTIVE_PHASES:
            if (task.phase, task.accelerators) != ('reserved',
                                                   body.accelerators):
                return _refuse('wrong-phase', task.phase)
            return self._renew(body)
        if any(index >= self._accelerators for index in body.accelerators):
            return _refuse('busy', 'no such accelerator')
        requested = set(body.accelerators)
        for other in self._task_by_run.values():
            if other.phase in ACTIVE_PHASES and requested & set(
                    other.accelerators):
                return _refuse('busy', f'in use by {other.run_id}')
        self._task_by_run[body.run_id] = _Task(
            body.run_id,
            'reserved',
            body.accelerators,
            self._clock() + body.lease_seconds,
        )
        return self._answer(body.run_id)

    def _stage(self, body: _Body) -> message.Response:
        task = self._task_by_run.get(body.run_id)
        if task is None:
            return message.json_response(404, {})
        if task.phase not in ('reserved', 'staged'):
            return _refuse('wrong-phase', task.phase)
        task.phase = 'staged'
        task.payload = body.payload
        task.resumed_from = body.checkpoint
        return self._renew(body)

    def _go(self, body: _Body) -> message.Response:
        task = self._task_by_run.get(body.run_id)
        if task is None:
            return message.json_response(404, {})
        if task.phase in ('running', 'finished', 'failed'):
            return self._answer(body.run_id)
        if task.phase != 'staged':
            return _refuse('wrong-phase', task.phase)
        self._execute(task, body)
        return self._answer(body.run_id)

    def _execute(self, task: _Task, body: _Body) -> None:
        now = self._clock()
        execution = Execution(
            task.run_id,
            task.accelerators,
            body.fencing_token,
            task.resumed_from,
            now,
        )
        self.executions.append(execution)
        task.execution = execution
        task.phase = 'running'
        # The lease of a running task replaces the longer one of a staged task.
        task.expires = now + body.lease_seconds
        run_seconds = _read_payload(task.payload).run_seconds
        task.ends = now + run_seconds - _completed_seconds(task.resumed_from)
        if self.faults.fail_tasks:
            self._end(task, 'failed', now)

    def _renew(self, body: _Body) -> message.Response:
        task = self._task_by_run.get(body.run_id)
        if task is None:
            return message.json_response(404, {})
        if task.phase in ACTIVE_PHASES:
            until = self._clock() + body.lease_seconds
            task.expires = max(task.expires, until)
        return self._answer(body.run_id)

    def _checkpoint(self, body: _Body) -> message.Response:
        task = self._task_by_run.get(body.run_id)
        if task is None:
            return message.json_response(404, {})
        if task.phase != 'running' or task.execution is None:
            return _refuse('wrong-phase', task.phase)
        completed = _completed_seconds(task.resumed_from)
        completed += self._clock() - task.execution.started
        task.checkpoint = f'{task.run_id}@{completed:.3f}'
        return self._answer(body.run_id)

    def _stop(self, body: _Body) -> message.Response:
        task = self._task_by_run.get(body.run_id)
        if task is None:
            return message.json_response(404, {})
        if task.phase in ACTIVE_PHASES:
            self._end(task, 'stopped', self._clock())
            return self._answer(body.run_id)
        # A stop of an ended task means that its result is no longer needed.
        answer = self._answer(body.run_id)
        del self._task_by_run[body.run_id]
        return answer

    def _answer(self, run_id: str) -> message.Response:
        return message.json_response(200, self._describe(run_id))

    def _describe(self, run_id: str) -> dict[str, object]:
        task = self._task_by_run[run_id]
        remaining = task.expires - self._clock(
        ) if task.phase in ACTIVE_PHASES else 0.0
        return {
            'run_id': run_id,
            'phase': task.phase,
            'accelerators': task.accelerators,
            'lease_left': remaining,
            'checkpoint': task.checkpoint,
            'result': task.result,
        }

    def _state(self) -> bytes:
        return msgspec.json.encode(
            {
                'worker_id': self._worker_id,
                'rack': self._rack,
                'accelerators': self._accelerators,
                'fencing_token': self.fencing_token,
                'tasks': [self._describe(run) for run in self._task_by_run],
            }
        )

    def _record_state(self) -> None:
        self._state_history.append((self._clock(), self._state()))

    async def _report(self) -> message.Response:
        if self.faults.no_reports:
            await curio.sleep(SILENT_SECONDS)
        self._record_state()
        limit = self._clock() - self.faults.report_lag
        body = self._state_history[0][1]
        for recorded_at, state in self._state_history:
            if recorded_at > limit:
                break
            body = state
        headers = {'content-type': 'application/json'}
        return message.Response(200, headers, body)


def _refuse(reason: str, detail: str) -> message.Response:
    return message.json_response(409, {'reason': reason, 'detail': detail})


def _read_payload(payload: bytes) -> _Payload:
    try:
        return msgspec.json.decode(payload, type=_Payload)
    except msgspec.DecodeError:
        return _Payload()


def _result(payload: bytes) -> bytes:
    length = _read_payload(payload).result_bytes
    return bytes(length) if length else payload


def _completed_seconds(checkpoint: str) -> float:
    """Return the seconds of work that all parts of a checkpoint include."""
    parts = [part.rpartition('@')[2] for part in checkpoint.split(',')]
    return min(float(part) for part in parts) if checkpoint else 0.0


def main(
    host: str = '127.0.0.1',
    port: int = 0,
    worker_id: str = 'worker',
    rack: str = 'rack',
    accelerators: int = 8,
) -> None:
    """Print the address and serve until SIGTERM or SIGINT."""
    stand_in = WorkerStandIn(
        worker_id=worker_id,
        rack=rack,
        accelerators=accelerators,
    )
    curio.run(service.serve_until_signal, stand_in.handle, host, port)


if __name__ == '__main__':
    typer.run(main)

__all__ = ('Execution', 'Faults', 'WorkerStandIn', 'main')
