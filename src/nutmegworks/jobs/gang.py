"""Starts, keeps and stops a gang: all of its members or none.

A pure state machine. Events come in, commands go out; the caller sends the
messages, writes the record and runs the timers. docs/gangs.md states what
holds when a party fails between any two messages.
"""
from __future__ import annotations

import dataclasses
import enum
import typing

from nutmegworks.adapters import workers
from nutmegworks.model import ids

# Longer than an owner's lease and a takeover, so that a new owner finds
# staged members of a committed gang and can roll it forward.
STAGED_LEASE_SECONDS: typing.Final = 30.0
# Bounds how long a part of a gang executes without the rest.
RUNNING_LEASE_SECONDS: typing.Final = 15.0
RENEW_INTERVAL_SECONDS: typing.Final = 5.0
# A lease starts when the worker receives a message, at most this long after
# it was sent; also covers clocks that run at slightly different rates.
LEASE_MARGIN_SECONDS: typing.Final = 2.0
# A single lost response must not stop a gang. Three calls of 1 s each end
# well before a running lease does.
MAX_SENDS: typing.Final = 3


class Phase(enum.Enum):
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
    FENCED: a worker knows a newer owner, which decides from now on.
    """

    FINISHED = 'finished'
    STOPPED = 'stopped'
    START_FAILED = 'start-failed'
    TASK_FAILED = 'task-failed'
    WORKER_LOST = 'worker-lost'
    FENCED = 'fenced'


class CommitResult(enum.Enum):
    """What became of the write that commits the gang.

    OPEN means that it may or may not have taken effect.
    """

    COMMITTED = 'committed'
    REFUSED = 'refused'
    OPEN = 'open'


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Start a gang of which nothing exists yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """Continue a committed gang that another owner or process started."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A message was answered or its sender gave up.

    :param round_number: of the command.
    :param fault: None if the worker did as asked.
    """

    round_number: int
    worker_id: ids.WorkerId
    fault: workers.WorkerFault | None = None
    task: workers.TaskReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAnswered:
    commit: CommitResult


@dataclasses.dataclass(frozen=True, slots=True)
class RenewDue:
    """Due every RENEW_INTERVAL_SECONDS while the gang exists."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """A report, which may be old, shows that a member's task ended."""

    worker_id: ids.WorkerId


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointAsked:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesOver:
    """Every lease that this gang's messages extended has run out."""


Event: typing.TypeAlias = (
    Begin | TakeOver | Answered | CommitAnswered | RenewDue | Reported
    | CheckpointAsked | StopAsked | LeasesOver
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message; later messages to a member wait for earlier ones.

    :param repeat: how often this message was already sent.
    """

    round_number: int
    worker_id: ids.WorkerId
    step: workers.Step
    lease_seconds: float
    repeat: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Write the record in state COMMITTED by compare-and-swap."""


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitLeases:
    """Report LeasesOver after this time, in seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Every member executes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpointed:
    """A checkpoint of every member exists."""

    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointFailed:
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """No member executes any more, unless the outcome is FENCED.

    :param worker_id: the member that failed, if any.
    :param committed: whether the record may say COMMITTED.
    :param executed: whether any member may have executed.
    :param results: by member, when finished.
    """

    outcome: Outcome
    worker_id: ids.WorkerId | None
    committed: bool
    executed: bool
    results: tuple[bytes, ...] = ()


Command: typing.TypeAlias = (
    Send | Commit | AwaitLeases | Started | Checkpointed | CheckpointFailed
    | Ended
)


@dataclasses.dataclass(slots=True)
class _Member:
    """What is known of a member.

    :param phase: as of its last answer.
    :param may_have_started: whether a ``go`` may have taken effect.
    """

    phase: workers.TaskPhase | None = None
    sends: int = 0
    may_have_started: bool = False
    go_unanswered: bool = False
    checkpoint: str = ''
    result: bytes = b''


_TaskPhase = workers.TaskPhase
_Step = workers.Step
_Fault = workers.WorkerFault

# No answer came, so the message may be repeated: all messages are idempotent.
_UNANSWERED: typing.Final = frozenset({_Fault.NO_ANSWER, _Fault.NOT_SENT})

# Task phases that let a round succeed.
_EXPECTED: typing.Final = {
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

    Messages go out in rounds, one message per member. A round is over when
    every member did as asked; the next step is taken only then.
    """

    def __init__(self, worker_ids: typing.Sequence[ids.WorkerId]) -> None:
        self.phase = Phase.NEW
        self._by_id = {worker_id: _Member() for worker_id in worker_ids}
        self._round = 0
        self._step = _Step.RESERVE
        self._lease = 0.0
        self._pending: set[ids.WorkerId] = set()
        self._committed = False
        self._taken_over = False
        self._renew_due = False
        self._checkpoint_asked = False
        self._stop_asked = False
        self._outcome = Outcome.STOPPED
        self._failed_id: ids.WorkerId | None = None
        self._handlers: dict[
            type,
            typing.Callable[[typing.Any], list[Command]],
        ] = {
            Begin: self._begin,
            TakeOver: self._take_over,
            Answered: self._answered,
            CommitAnswered: self._commit_answered,
            RenewDue: self._on_renew_due,
            Reported: self._reported,
            CheckpointAsked: self._on_checkpoint_asked,
            StopAsked: self._on_stop_asked,
            LeasesOver: self._leases_over,
        }
        self._after_round: dict[Phase, typing.Callable[[], list[Command]]] = {
            Phase.RESERVING: self.stage_all,
            Phase.STAGING: self.commit,
            Phase.STARTING: self._all_started,
            Phase.TAKING_OVER: self.roll_forward,
            Phase.RUNNING: self._all_healthy,
            Phase.STOPPING: self._end,
        }

    def handle(self, event: Event) -> list[Command]:
        """Apply one event and return what to do."""
        if self.phase is Phase.ENDED:
            return []
        return self._handlers[type(event)](event)

    # Steps of a start, in order.

    def _begin(self, event: Begin) -> list[Command]:
        if self.phase is not Phase.NEW:
            return []
        return self.reserve_all()

    def reserve_all(self) -> list[Command]:
        """Reserve every member."""
        self.phase = Phase.RESERVING
        return self._send_all(_Step.RESERVE, STAGED_LEASE_SECONDS)

    def stage_all(self) -> list[Command]:
        """Stage every member; a staged task does not execute."""
        self.phase = Phase.STAGING
        return self._send_all(_Step.STAGE, STAGED_LEASE_SECONDS)

    def commit(self) -> list[Command]:
        """Ask for the write that decides that the gang runs."""
        self.phase = Phase.COMMITTING
        return [Commit()]

    def _commit_answered(self, event: CommitAnswered) -> list[Command]:
        if self.phase is not Phase.COMMITTING:
            return []
        self._committed = event.commit is not CommitResult.REFUSED
        if self._stop_asked:
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
        for worker_id in staged:
            self._by_id[worker_id].may_have_started = True
        return self._send_all(_Step.GO, RUNNING_LEASE_SECONDS, staged)

    def _all_started(self) -> list[Command]:
        self.phase = Phase.RUNNING
        return [Started(), *self._all_healthy()]

    # Takeover of a committed gang.

    def _take_over(self, event: TakeOver) -> list[Command]:
        if self.phase is not Phase.NEW:
            return []
        self._committed = True
        self._taken_over = True
        self.phase = Phase.TAKING_OVER
        for member in self._by_id.values():
            member.may_have_started = True
        # Extends no lease: it is not yet known whether all are healthy.
        return self._send_all(_Step.RENEW, 0.0)

    def roll_forward(self) -> list[Command]:
        """Start the members that the earlier owner did not start."""
        self._renew_due = True
        return self.go_all()

    # While the gang runs.

    def _on_renew_due(self, event: RenewDue) -> list[Command]:
        if self.phase is not Phase.RUNNING:
            return []
        self._renew_due = True
        return self._all_healthy()

    def _on_checkpoint_asked(self, event: CheckpointAsked) -> list[Command]:
        if self.phase is not Phase.RUNNING:
            return [CheckpointFailed(f'the gang is {self.phase.value}')]
        self._checkpoint_asked = True
        return self._all_healthy()

    def _reported(self, event: Reported) -> list[Command]:
        if self.phase is not Phase.RUNNING or self._pending:
            return []
        member = self._by_id.get(event.worker_id)
        if member is None or member.phase is not _TaskPhase.RUNNING:
            return []
        return self._send_all(_Step.RENEW, 0.0, [event.worker_id])

    def _all_healthy(self) -> list[Command]:
        """Take the next step of a gang whose last round succeeded."""
        if self._pending:
            return []
        if all(member.phase is _TaskPhase.FINISHED
               for member in self._by_id.values()):
            return self._finish()
        if self._step is _Step.CHECKPOINT:
            return self._all_checkpointed()
        if self._checkpoint_asked:
            return self.checkpoint_all()
        if self._renew_due:
            return self.renew_all()
        return []

    def renew_all(self) -> list[Command]:
        """Renew the leases of a gang whose members were all healthy."""
        self._renew_due = False
        return self._send_all(
            _Step.RENEW, RUNNING_LEASE_SECONDS, self._unfinished()
        )

    def checkpoint_all(self) -> list[Command]:
        """Ask every member for a checkpoint."""
        self._checkpoint_asked = False
        finished = len(self._by_id) - len(self._unfinished())
        if finished:
            return [CheckpointFailed(f'{finished} members have finished')]
        for member in self._by_id.values():
            member.checkpoint = ''
        return self._send_all(_Step.CHECKPOINT, 0.0)

    def _all_checkpointed(self) -> list[Command]:
        self._step = _Step.RENEW
        parts = [member.checkpoint for member in self._by_id.values()]
        checkpoint: Command = Checkpointed(','.join(parts))
        if not all(parts) or len(self._unfinished()) < len(parts):
            checkpoint = CheckpointFailed('a member wrote no checkpoint')
        return [checkpoint, *self._all_healthy()]

    def _unfinished(self) -> list[ids.WorkerId]:
        return [
            worker_id for worker_id, member in self._by_id.items()
            if member.phase is not _TaskPhase.FINISHED
        ]

    # The end.

    def _on_stop_asked(self, event: StopAsked) -> list[Command]:
        self._stop_asked = True
        if self.phase in (Phase.COMMITTING, Phase.STOPPING):
            return []
        return self.stop_all(Outcome.STOPPED)

    def stop_all(
        self,
        outcome: Outcome,
        worker_id: ids.WorkerId | None = None,
    ) -> list[Command]:
        """Stop every member and renew no lease from now on."""
        self.phase = Phase.STOPPING
        self._outcome = outcome
        self._failed_id = worker_id
        wait = AwaitLeases(RUNNING_LEASE_SECONDS + LEASE_MARGIN_SECONDS)
        return [wait, *self._send_all(_Step.STOP, 0.0)]

    def _leases_over(self, event: LeasesOver) -> list[Command]:
        if self.phase is not Phase.STOPPING:
            return []
        return self._end()

    def _finish(self) -> list[Command]:
        self._outcome = Outcome.FINISHED
        return self._end()

    def _end(self) -> list[Command]:
        self.phase = Phase.ENDED
        self._round += 1
        results: tuple[bytes, ...] = ()
        if self._outcome is Outcome.FINISHED:
            results = tuple(item.result for item in self._by_id.values())
        executed = any(
            member.may_have_started for member in self._by_id.values()
        )
        return [
            Ended(
                self._outcome,
                self._failed_id,
                self._committed,
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
        self._round += 1
        self._step = step
        self._lease = lease_seconds
        wanted = list(self._by_id) if worker_ids is None else worker_ids
        self._pending = set(wanted)
        for worker_id in wanted:
            self._by_id[worker_id].sends = 0
        if not wanted:
            return self._after_round[self.phase]()
        return [self._send(worker_id) for worker_id in wanted]

    def _send(self, worker_id: ids.WorkerId) -> Send:
        member = self._by_id[worker_id]
        member.sends += 1
        return Send(
            self._round,
            worker_id,
            self._step,
            self._lease,
            member.sends - 1,
        )

    def _answered(self, event: Answered) -> list[Command]:
        if event.round_number != self._round:
            return []
        if event.worker_id not in self._pending:
            return []
        self._note(event)
        if event.fault is _Fault.FENCED:
            if self.phase is not Phase.STOPPING:
                return self._step_down(event)
            self._outcome = Outcome.FENCED
        if event.fault in _UNANSWERED and self._may_repeat(event.worker_id):
            return [self._send(event.worker_id)]
        self._pending.discard(event.worker_id)
        if self.phase is not Phase.STOPPING:
            failure = self._failure(event)
            if failure is not None:
                return self.stop_all(failure, event.worker_id)
        if self._pending:
            return []
        return self._after_round[self.phase]()

    def _note(self, event: Answered) -> None:
        """Remember what an answer says about a member."""
        member = self._by_id[event.worker_id]
        if self._step is _Step.GO:
            self._note_go(member, event.fault)
        if event.task is not None and event.fault is None:
            member.phase = event.task.phase
            member.checkpoint = event.task.checkpoint
            member.result = event.task.result or b''

    def _note_go(
        self,
        member: _Member,
        fault: workers.WorkerFault | None,
    ) -> None:
        if fault is _Fault.NO_ANSWER:
            member.go_unanswered = True
        elif fault is not None and not member.go_unanswered:
            # After a takeover the earlier owner's ``go`` was not seen, so
            # the member may have started all the same.
            member.may_have_started = self._taken_over

    def _may_repeat(self, worker_id: ids.WorkerId) -> bool:
        if self.phase is Phase.STOPPING and self._committed:
            # An unreachable member may execute until its lease is over.
            return True
        return self._by_id[worker_id].sends < MAX_SENDS

    def _failure(self, event: Answered) -> Outcome | None:
        if event.fault is None and event.task is not None:
            if event.task.phase in _EXPECTED[self.phase]:
                return None
            if event.task.phase is _TaskPhase.FAILED:
                return Outcome.TASK_FAILED
        if self.phase in _BEFORE_COMMIT:
            return Outcome.START_FAILED
        if (self._step, event.fault) == (_Step.CHECKPOINT, _Fault.WRONG_PHASE):
            # The task ended just now; the next renewal tells how.
            return None
        return Outcome.WORKER_LOST

    def _step_down(self, event: Answered) -> list[Command]:
        """Leave the gang to the newer owner.

        Only members that are not committed are released, so that they do
        not block the newer owner until their leases are over.
        """
        if self.phase in _BEFORE_COMMIT:
            return self.stop_all(Outcome.FENCED, event.worker_id)
        self._outcome = Outcome.FENCED
        self._failed_id = event.worker_id
        return self._end()


__all__ = (
    'Answered',
    'AwaitLeases',
    'Begin',
    'CheckpointAsked',
    'CheckpointFailed',
    'Checkpointed',
    'Command',
    'Commit',
    'CommitAnswered',
    'CommitResult',
    'Ended',
    'Event',
    'Gang',
    'LEASE_MARGIN_SECONDS',
    'LeasesOver',
    'MAX_SENDS',
    'Outcome',
    'Phase',
    'RENEW_INTERVAL_SECONDS',
    'RUNNING_LEASE_SECONDS',
    'RenewDue',
    'Reported',
    'STAGED_LEASE_SECONDS',
    'Send',
    'Started',
    'StopAsked',
    'TakeOver',
)
