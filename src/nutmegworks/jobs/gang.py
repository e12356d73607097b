"""State machine that starts, renews and stops all members of a gang or none.

It does no I/O. It receives events and returns commands; the caller sends the
messages, writes the record and runs the timers. docs/gangs.md states what is
guaranteed when a party fails between any two messages.
"""
from __future__ import annotations

import dataclasses
import enum
import typing

from nutmegworks.adapters import workers
from nutmegworks.model import ids
from nutmegworks.policy import call_effect

# Longer than an owner's lease and a takeover together, so that a new owner
# still finds the staged members of a committed gang and can roll it forward.
STAGED_LEASE_SECONDS: typing.Final = 30.0
# Bounds how long some members of a gang execute without the others.
RUNNING_LEASE_SECONDS: typing.Final = 15.0
RENEW_INTERVAL_SECONDS: typing.Final = 5.0
# The lease starts when the worker receives a message, at most this long after
# it was sent. The margin also covers clocks with slightly different rates.
LEASE_MARGIN_SECONDS: typing.Final = 2.0
# One lost response must not stop a gang. Three calls of 1 s each are over
# well before a running lease expires.
MAX_SENDS: typing.Final = 3


class Phase(enum.Enum):
    """Step of the protocol that a gang has reached."""

    NEW = 'new'
    RESERVING = 'reserving'
    STAGING = 'staging'
    COMMITTING = 'committing'
    STARTING = 'starting'
    TAKING_OVER = 'taking-over'
    RUNNING = 'running'
    STOPPING = 'stopping'
    ENDED = 'ended'


class Outcome(enum.Enum):
    """How an attempt ended.

    START_FAILED: a member could not be reserved, staged or committed.
    FENCED: a worker has seen the fencing token of a newer owner, which
        decides about the gang from now on.
    """

    FINISHED = 'finished'
    STOPPED = 'stopped'
    START_FAILED = 'start-failed'
    TASK_FAILED = 'task-failed'
    WORKER_LOST = 'worker-lost'
    FENCED = 'fenced'


class CommitResult(enum.Enum):
    """Result of the write that commits the gang.

    UNKNOWN means that it may or may not have taken effect.
    """

    COMMITTED = 'committed'
    REFUSED = 'refused'
    UNKNOWN = 'open'


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Start a gang that has no reservation and no task yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """Continue a committed gang that an earlier owner or process started."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageAnswered:
    """A worker answered a message, or the message failed.

    :param round_number: of the command that sent the message.
    :param fault: None if the worker carried out the message.
    :param task: the worker's report of the task, if it answered with one.
    """

    round_number: int
    worker_id: ids.WorkerId
    fault: workers.WorkerFault | None = None
    task: workers.TaskReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAnswered:
    """The write that commits the gang has returned."""

    commit: CommitResult


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalDue:
    """Due every RENEW_INTERVAL_SECONDS while the gang exists."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEndReported:
    """A worker's report, possibly outdated, shows that its task ended."""

    worker_id: ids.WorkerId


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointRequested:
    """The scheduler wants a checkpoint of the gang."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The scheduler or a cancellation wants the gang to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesExpired:
    """Every lease that messages of this gang extended has expired."""


Event: typing.TypeAlias = (
    Begin | TakeOver | MessageAnswered | CommitAnswered | RenewalDue
    | TaskEndReported | CheckpointRequested | StopRequested | LeasesExpired
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message; messages to one member are sent one after another.

    :param lease_seconds: lease that the message sets; 0 extends none.
    :param retry_number: how often this message was sent before.
    """

    round_number: int
    worker_id: ids.WorkerId
    step: workers.Step
    lease_seconds: float
    retry_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Write the record with state COMMITTED by compare-and-swap."""


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitLeaseExpiry:
    """Report LeasesExpired after this time, in seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Every member is executing or has finished."""


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpointed:
    """A checkpoint of every member exists.

    :param checkpoint: references of all members, separated by commas.
    """

    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointFailed:
    """The requested checkpoint was not written by every member."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The attempt is over; unless it is FENCED, no member executes any more.

    :param worker_id: the member that failed, if any.
    :param may_be_committed: whether the record may be in state COMMITTED.
    :param may_have_executed: whether any member may have executed.
    :param results: one per member, in order, if the outcome is FINISHED.
    """

    outcome: Outcome
    worker_id: ids.WorkerId | None
    may_be_committed: bool
    may_have_executed: bool
    results: tuple[bytes, ...] = ()


Command: typing.TypeAlias = (
    Send | Commit | AwaitLeaseExpiry | Started | Checkpointed
    | CheckpointFailed | Ended
)


@dataclasses.dataclass(slots=True)
class _Member:
    """State of a member as far as the owner can tell.

    :param phase: as of its last answer.
    :param sends: how often the message of the current round was sent.
    :param go_effects: whether each ``go`` may have taken effect, in order; an
        unanswered or successful one may have.
    """

    phase: workers.TaskPhase | None = None
    sends: int = 0
    go_effects: list[_Effect] = dataclasses.field(default_factory=list)
    checkpoint: str = ''
    result: bytes = b''

    @property
    def may_have_started(self) -> bool:
        return call_effect.combine(self.go_effects) is _Effect.UNKNOWN


_TaskPhase = workers.TaskPhase
_Step = workers.Step
_Fault = workers.WorkerFault
_Effect = call_effect.Effect

# The message may be sent again after these faults: no answer was received,
# and all messages are idempotent.
_UNANSWERED: typing.Final = frozenset({_Fault.NO_ANSWER, _Fault.NOT_SENT})

# After these faults the worker has not carried out the message.
_WITHOUT_EFFECT: typing.Final = frozenset(_Fault) - {_Fault.NO_ANSWER}

# Task phases with which a member completes the round of a phase.
_COMPLETED_PHASES: typing.Final = {
    Phase.RESERVING:
    frozenset({_TaskPhase.RESERVED}),
    Phase.STAGING:
    frozenset({_TaskPhase.STAGED}),
    Phase.STARTING:
    frozenset({_TaskPhase.RUNNING, _TaskPhase.FINISHED}),
    Phase.TAKING_OVER:
    frozenset({_TaskPhase.STAGED, _TaskPhase.RUNNING, _TaskPhase.FINISHED}),
    Phase.RUNNING:
    frozenset({_TaskPhase.RUNNING, _TaskPhase.FINISHED}),
}

_BEFORE_COMMIT: typing.Final = frozenset({Phase.RESERVING, Phase.STAGING})


class Gang:
    """One attempt to run a gang.

    Messages are sent in rounds, one message per member. The next step is
    taken only when every member has carried out the message of the round.
    """

    def __init__(self, worker_ids: typing.Sequence[ids.WorkerId]) -> None:
        self.phase = Phase.NEW
        self._by_id = {worker_id: _Member() for worker_id in worker_ids}
        self._round_number = 0
        self._step = _Step.RESERVE
        self._lease_seconds = 0.0
        self._pending: set[ids.WorkerId] = set()
        self._may_be_committed = False
        self._taken_over = False
        self._renewal_due = False
        self._checkpoint_requested = False
        self._stop_requested = False
        self._outcome = Outcome.STOPPED
        self._failed_id: ids.WorkerId | None = None
        self._handler_by_type: dict[
            type,
            typing.Callable[[typing.Any], list[Command]],
        ] = {
            Begin: self._begin,
            TakeOver: self._take_over,
            MessageAnswered: self._on_message_answered,
            CommitAnswered: self._on_commit_answered,
            RenewalDue: self._on_renewal_due,
            TaskEndReported: self._on_task_end_reported,
            CheckpointRequested: self._on_checkpoint_requested,
            StopRequested: self._on_stop_requested,
            LeasesExpired: self._on_leases_expired,
        }
        self._next_step_by_phase: dict[
            Phase,
            typing.Callable[[], list[Command]],
        ] = {
            Phase.RESERVING: self.stage_all,
            Phase.STAGING: self.commit,
            Phase.STARTING: self._on_all_started,
            Phase.TAKING_OVER: self.roll_forward,
            Phase.RUNNING: self._continue_running,
            Phase.STOPPING: self._end,
        }

    def handle(self, event: Event) -> list[Command]:
        """Apply one event and return the resulting commands."""
        if self.phase is Phase.ENDED:
            return []
        return self._handler_by_type[type(event)](event)

    # Steps of a start, in their order.

    def _begin(self, event: Begin) -> list[Command]:
        if self.phase is not Phase.NEW:
            return []
        return self.reserve_all()

    def reserve_all(self) -> list[Command]:
        """Reserve every member."""
        self.phase = Phase.RESERVING
        return self._send_all(_Step.RESERVE, STAGED_LEASE_SECONDS)

    def stage_all(self) -> list[Command]:
        """Stage every member; a staged task does not execute yet."""
        self.phase = Phase.STAGING
        return self._send_all(_Step.STAGE, STAGED_LEASE_SECONDS)

    def commit(self) -> list[Command]:
        """Request the write that commits the gang to run."""
        self.phase = Phase.COMMITTING
        return [Commit()]

    def _on_commit_answered(self, event: CommitAnswered) -> list[Command]:
        if self.phase is not Phase.COMMITTING:
            return []
        self._may_be_committed = event.commit is not CommitResult.REFUSED
        if self._stop_requested:
            return self.stop_all(Outcome.STOPPED)
        if event.commit is not CommitResult.COMMITTED:
            return self.stop_all(Outcome.START_FAILED)
        return self.go_all()

    def go_all(self) -> list[Command]:
        """Start every member that is staged."""
        self.phase = Phase.STARTING
        staged = [
            worker_id for worker_id, member in self._by_id.items()
            if member.phase is _TaskPhase.STAGED
        ]
        return self._send_all(_Step.GO, RUNNING_LEASE_SECONDS, staged)

    def _on_all_started(self) -> list[Command]:
        self.phase = Phase.RUNNING
        return [Started(), *self._continue_running()]

    # Takeover of a committed gang.

    def _take_over(self, event: TakeOver) -> list[Command]:
        if self.phase is not Phase.NEW:
            return []
        self._may_be_committed = True
        self._taken_over = True
        self.phase = Phase.TAKING_OVER
        # No lease is extended before all members are known to be healthy.
        return self._send_all(_Step.RENEW, 0.0)

    def roll_forward(self) -> list[Command]:
        """Start the members that the earlier owner left staged."""
        self._renewal_due = True
        return self.go_all()

    # While the gang runs.

    def _on_renewal_due(self, event: RenewalDue) -> list[Command]:
        if self.phase is not Phase.RUNNING:
            return []
        self._renewal_due = True
        return self._continue_running()

    def _on_checkpoint_requested(
        self,
        event: CheckpointRequested,
    ) -> list[Command]:
        if self.phase is not Phase.RUNNING:
            return [CheckpointFailed(f'the gang is {self.phase.value}')]
        self._checkpoint_requested = True
        return self._continue_running()

    def _on_task_end_reported(self, event: TaskEndReported) -> list[Command]:
        if self.phase is not Phase.RUNNING or self._pending:
            return []
        member = self._by_id.get(event.worker_id)
        if member is None or member.phase is not _TaskPhase.RUNNING:
            return []
        return self._send_all(_Step.RENEW, 0.0, [event.worker_id])

    def _continue_running(self) -> list[Command]:
        """Take the next step of a running gang after a successful round."""
        if self._pending:
            return []
        if all(member.phase is _TaskPhase.FINISHED
               for member in self._by_id.values()):
            return self._finish()
        if self._step is _Step.CHECKPOINT:
            return self._on_all_checkpointed()
        if self._checkpoint_requested:
            return self.checkpoint_all()
        if self._renewal_due:
            return self.renew_all()
        return []

    def renew_all(self) -> list[Command]:
        """Renew the leases of all members that have not finished."""
        self._renewal_due = False
        return self._send_all(
            _Step.RENEW, RUNNING_LEASE_SECONDS, self._unfinished()
        )

    def checkpoint_all(self) -> list[Command]:
        """Request a checkpoint from every member."""
        self._checkpoint_requested = False
        finished = len(self._by_id) - len(self._unfinished())
        if finished:
            return [CheckpointFailed(f'{finished} members have finished')]
        for member in self._by_id.values():
            member.checkpoint = ''
        return self._send_all(_Step.CHECKPOINT, 0.0)

    def _on_all_checkpointed(self) -> list[Command]:
        self._step = _Step.RENEW
        parts = [member.checkpoint for member in self._by_id.values()]
        checkpoint: Command = Checkpointed(','.join(parts))
        if not all(parts) or len(self._unfinished()) < len(parts):
            checkpoint = CheckpointFailed('a member wrote no checkpoint')
        return [checkpoint, *self._continue_running()]

    def _unfinished(self) -> list[ids.WorkerId]:
        return [
            worker_id for worker_id, member in self._by_id.items()
            if member.phase is not _TaskPhase.FINISHED
        ]

    # Stop and end.

    def _on_stop_requested(self, event: StopRequested) -> list[Command]:
        self._stop_requested = True
        if self.phase in (Phase.COMMITTING, Phase.STOPPING):
            return []
        return self.stop_all(Outcome.STOPPED)

    def stop_all(
        self,
        outcome: Outcome,
        worker_id: ids.WorkerId | None = None,
    ) -> list[Command]:
        """Stop every member; from now on no lease is renewed."""
        self.phase = Phase.STOPPING
        self._outcome = outcome
        self._failed_id = worker_id
        wait = AwaitLeaseExpiry(RUNNING_LEASE_SECONDS + LEASE_MARGIN_SECONDS)
        return [wait, *self._send_all(_Step.STOP, 0.0)]

    def _on_leases_expired(self, event: LeasesExpired) -> list[Command]:
        if self.phase is not Phase.STOPPING:
            return []
        return self._end()

    def _finish(self) -> list[Command]:
        self._outcome = Outcome.FINISHED
        return self._end()

    def _end(self) -> list[Command]:
        self.phase = Phase.ENDED
        self._round_number += 1
        results: tuple[bytes, ...] = ()
        if self._outcome is Outcome.FINISHED:
            results = tuple(item.result for item in self._by_id.values())
        # The earlier owner of a committed gang may have sent each ``go``.
        executed = self._taken_over or any(
            member.may_have_started for member in self._by_id.values()
        )
        return [
            Ended(
                self._outcome,
                self._failed_id,
                self._may_be_committed,
                executed,
                results,
            )
        ]

    # Rounds.

    def _send_all(
        self,
        step: workers.Step,
        lease_seconds: float,
        worker_ids: typing.Sequence[ids.WorkerId] | None = None,
    ) -> list[Command]:
        self._round_number += 1
        self._step = step
        self._lease_seconds = lease_seconds
        recipients = list(self._by_id) if worker_ids is None else worker_ids
        self._pending = set(recipients)
        for worker_id in recipients:
            self._by_id[worker_id].sends = 0
        if not recipients:
            return self._next_step_by_phase[self.phase]()
        return [self._send(worker_id) for worker_id in recipients]

    def _send(self, worker_id: ids.WorkerId) -> Send:
        member = self._by_id[worker_id]
        member.sends += 1
        if self._step is _Step.GO:
            member.go_effects.append(_Effect.UNKNOWN)
        return Send(
            self._round_number,
            worker_id,
            self._step,
            self._lease_seconds,
            member.sends - 1,
        )

    def _on_message_answered(self, event: MessageAnswered) -> list[Command]:
        if event.round_number != self._round_number:
            return []
        if event.worker_id not in self._pending:
            return []
        self._record_answer(event)
        if event.fault is _Fault.FENCED:
            if self.phase is not Phase.STOPPING:
                return self._step_down(event)
            self._outcome = Outcome.FENCED
        if event.fault in _UNANSWERED and self._may_resend(event.worker_id):
            return [self._send(event.worker_id)]
        self._pending.discard(event.worker_id)
        if self.phase is not Phase.STOPPING:
            failure = self._failure_outcome(event)
            if failure is not None:
                return self.stop_all(failure, event.worker_id)
        if self._pending:
            return []
        return self._next_step_by_phase[self.phase]()

    def _record_answer(self, event: MessageAnswered) -> None:
        """Update the state of a member from its answer."""
        member = self._by_id[event.worker_id]
        if self._step is _Step.GO and event.fault in _WITHOUT_EFFECT:
            member.go_effects[-1] = _Effect.NONE
        if event.task is not None and event.fault is None:
            member.phase = event.task.phase
            member.checkpoint = event.task.checkpoint
            member.result = event.task.result or b''

    def _may_resend(self, worker_id: ids.WorkerId) -> bool:
        if self.phase is Phase.STOPPING and self._may_be_committed:
            # An unreachable member may execute until its lease expires.
            return True
        return self._by_id[worker_id].sends < MAX_SENDS

    def _failure_outcome(self, event: MessageAnswered) -> Outcome | None:
        if event.fault is None and event.task is not None:
            if event.task.phase in _COMPLETED_PHASES[self.phase]:
                return None
            if event.task.phase is _TaskPhase.FAILED:
                return Outcome.TASK_FAILED
        if self.phase in _BEFORE_COMMIT:
            return Outcome.START_FAILED
        if (self._step, event.fault) == (_Step.CHECKPOINT, _Fault.WRONG_PHASE):
            # The task has ended; the next renewal returns how.
            return None
        return Outcome.WORKER_LOST

    def _step_down(self, event: MessageAnswered) -> list[Command]:
        """Leave the gang to the newer owner.

        Only members of an uncommitted gang are stopped, so that their
        reservations do not block the newer owner until the leases expire.
        """
        if self.phase in _BEFORE_COMMIT:
            return self.stop_all(Outcome.FENCED, event.worker_id)
        self._outcome = Outcome.FENCED
        self._failed_id = event.worker_id
        return self._end()


__all__ = (
    'AwaitLeaseExpiry',
    'Begin',
    'CheckpointFailed',
    'CheckpointRequested',
    'Checkpointed',
    'Command',
    'Commit',
    'CommitAnswered',
    'CommitResult',
    'Ended',
    'Event',
    'Gang',
    'LEASE_MARGIN_SECONDS',
    'LeasesExpired',
    'MAX_SENDS',
    'MessageAnswered',
    'Outcome',
    'Phase',
    'RENEW_INTERVAL_SECONDS',
    'RUNNING_LEASE_SECONDS',
    'RenewalDue',
    'STAGED_LEASE_SECONDS',
    'Send',
    'Started',
    'StopRequested',
    'TakeOver',
    'TaskEndReported',
)
