from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from nutmegworks.adapters import workers
from nutmegworks.jobs import gang
from nutmegworks.model import ids

STEP = workers.Step
FAULT = workers.WorkerFault
PHASE = workers.TaskPhase
MEMBERS = [ids.WorkerId(name) for name in ('a', 'b', 'c')]
PHASE_BY_STEP = {
    STEP.RESERVE: PHASE.RESERVED,
    STEP.STAGE: PHASE.STAGED,
    STEP.GO: PHASE.RUNNING,
    STEP.RENEW: PHASE.RUNNING,
    STEP.CHECKPOINT: PHASE.RUNNING,
    STEP.STOP: PHASE.STOPPED,
}


def answer(
    send: gang.Send,
    fault: workers.WorkerFault | None = None,
    phase: workers.TaskPhase | None = None,
    checkpoint: str = '',
) -> gang.MessageAnswered:
    task = workers.TaskReport(
        run_id=ids.RunId('r'),
        phase=phase or PHASE_BY_STEP[send.step],
        checkpoint=checkpoint,
        result=b'x',
    )
    return gang.MessageAnswered(
        send.round_number, send.worker_id, fault, None if fault else task
    )


def drive(
    machine: gang.Gang,
    first_event: gang.Event,
    *,
    until: gang.Phase,
) -> list[gang.Command]:
    """Answer every message with success until a phase is reached."""
    open_commands = machine.handle(first_event)
    while machine.phase is not until:
        command = open_commands.pop(0)
        if isinstance(command, gang.Send):
            open_commands += machine.handle(answer(command))
        elif isinstance(command, gang.Commit):
            event = gang.CommitAnswered(gang.CommitResult.COMMITTED)
            open_commands += machine.handle(event)
    return open_commands


class InvariantChecker:
    """Checks every command of a gang against the events it has received."""

    def __init__(self) -> None:
        self.staged: set[ids.WorkerId] = set()
        self.committed = False
        self.failed = False
        self.open: list[gang.Command] = []
        self.unanswered_round_by_id: dict[ids.WorkerId, int] = {}
        self.ended: gang.Ended | None = None

    def record_event(self, event: gang.Event) -> None:
        if isinstance(event, gang.CommitAnswered):
            self.committed = event.commit is gang.CommitResult.COMMITTED
        if isinstance(event, gang.MessageAnswered):
            task = event.task
            if event.fault is None:
                self.unanswered_round_by_id.pop(event.worker_id, None)
            if task is not None and task.phase is PHASE.STAGED:
                self.staged.add(event.worker_id)
            self.failed = self.failed or (
                event.fault not in (None, FAULT.NO_ANSWER, FAULT.NOT_SENT) or
                (task is not None and task.phase is PHASE.FAILED)
            )

    def check(self, commands: list[gang.Command]) -> None:
        for command in commands:
            if isinstance(command, gang.Commit):
                assert self.staged == set(MEMBERS)
            if isinstance(command, gang.Send):
                self._check_send(command)
            if isinstance(command, gang.Ended):
                self.ended = command
        self.open += [
            command for command in commands
            if isinstance(command, (gang.Send, gang.Commit))
        ]

    def _check_send(self, send: gang.Send) -> None:
        if send.step is STEP.GO:
            assert self.committed and self.staged == set(MEMBERS)
        if send.lease_seconds:
            assert not self.failed, 'a lease was extended after a failure'
            rounds = set(self.unanswered_round_by_id.values())
            assert rounds <= {send.round_number}, 'a member did not answer'
        self.unanswered_round_by_id[send.worker_id] = send.round_number


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(strategies.data())
def test_all_members_start_and_renew_or_none(data) -> None:
    """No order of answers, faults and requests may start only some members.

    Guards against a ``go`` before the commit, a renewal after a failure, an
    attempt that never ends, and a start that is reported as not executed.
    """
    machine = gang.Gang(MEMBERS)
    checker = InvariantChecker()
    checker.check(machine.handle(gang.Begin()))
    may_have_started = False
    faults = [None] * 24 + list(FAULT)
    other_events = [
        gang.RenewalDue(),
        gang.StopRequested(),
        gang.CheckpointRequested(),
        gang.TaskEndReported(MEMBERS[0]),
    ]
    for _ in range(60):
        event = data.draw(strategies.sampled_from(other_events))
        if checker.open and data.draw(strategies.integers(0, 9)):
            index = data.draw(strategies.integers(0, len(checker.open) - 1))
            command = checker.open.pop(index)
            event = gang.CommitAnswered(
                data.draw(strategies.sampled_from(gang.CommitResult))
            )
            if isinstance(command, gang.Send):
                fault = data.draw(strategies.sampled_from(faults))
                event = answer(command, fault)
                may_take_effect = fault in (None, FAULT.NO_ANSWER)
                may_have_started = may_have_started or (
                    command.step is STEP.GO and may_take_effect
                )
        checker.record_event(event)
        checker.check(machine.handle(event))
        if checker.ended is not None:
            break
    if machine.phase is gang.Phase.STOPPING:
        checker.check(machine.handle(gang.LeasesExpired()))
        assert checker.ended is not None
    if checker.ended is not None:
        assert checker.ended.may_have_executed or not may_have_started


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(strategies.data())
def test_two_gangs_cannot_deadlock(data) -> None:
    """A gang that is refused one member must release the others."""
    gangs = [gang.Gang(MEMBERS), gang.Gang(MEMBERS)]
    holder_by_id: dict[ids.WorkerId, int] = {}
    open_sends: list[tuple[int, gang.Send]] = []

    def collect(index: int, commands: list[gang.Command]) -> None:
        open_sends.extend(
            (index, command)
            for command in commands
            if isinstance(command, gang.Send)
        )

    for index, machine in enumerate(gangs):
        collect(index, machine.handle(gang.Begin()))
    for _ in range(100):
        if not open_sends:
            break
        # Messages to one member keep their order, as in the runner.
        next_by_member = {
            (item[0], item[1].worker_id): item
            for item in reversed(open_sends)
        }
        index, send = data.draw(
            strategies.sampled_from(list(next_by_member.values()))
        )
        open_sends.remove((index, send))
        holder = holder_by_id.get(send.worker_id, index)
        fault = None if holder == index else FAULT.BUSY
        if send.step is STEP.STOP:
            fault = None
            if holder == index:
                holder_by_id.pop(send.worker_id, None)
        elif fault is None:
            holder_by_id[send.worker_id] = index
        collect(index, gangs[index].handle(answer(send, fault)))
    assert not open_sends, 'a gang waits for a reservation'
    phases = {machine.phase for machine in gangs}
    assert phases <= {gang.Phase.ENDED, gang.Phase.COMMITTING}
    for index, machine in enumerate(gangs):
        if machine.phase is gang.Phase.ENDED:
            assert index not in holder_by_id.values()


@pytest.mark.parametrize(
    ('phases', 'steps'),
    [
        (['running', 'staged', 'running'], [STEP.GO]),
        (['finished', 'running', 'running'], [STEP.RENEW, STEP.RENEW]),
        (['running', 'expired', 'staged'], [STEP.STOP] * 3),
        (['staged', None, 'staged'], [STEP.STOP] * 3),
    ],
)
def test_takeover_rolls_forward_or_stops(phases, steps) -> None:
    """A new owner must complete a start or stop every member."""
    machine = gang.Gang(MEMBERS)
    probes = machine.handle(gang.TakeOver())
    assert {probe.lease_seconds for probe in probes} == {0.0}
    commands: list[gang.Command] = []
    for probe, phase in zip(probes, phases):
        if phase is None:
            event = answer(probe, FAULT.UNKNOWN_RUN)
        else:
            event = answer(probe, phase=PHASE(phase))
        commands += machine.handle(event)
    sent = [item.step for item in commands if isinstance(item, gang.Send)]
    assert sent == steps


def test_stop_is_resent_until_the_lease_expires() -> None:
    """An unreachable member must not be reported as stopped before expiry."""
    machine = gang.Gang(MEMBERS)
    drive(machine, gang.Begin(), until=gang.Phase.RUNNING)
    stops = machine.handle(gang.StopRequested())
    wait = stops.pop(0)
    assert wait.seconds > gang.RUNNING_LEASE_SECONDS
    for stop in stops[1:]:
        assert machine.handle(answer(stop)) == []
    lost = stops[0]
    for _ in range(20):
        lost, = machine.handle(answer(lost, FAULT.NO_ANSWER))
        assert lost.step is STEP.STOP
    ended, = machine.handle(gang.LeasesExpired())
    assert ended.may_have_executed and ended.outcome is gang.Outcome.STOPPED


@pytest.mark.parametrize(
    ('faults', 'executed'),
    [
        ([FAULT.NO_ANSWER, FAULT.UNKNOWN_RUN], True),
        ([FAULT.UNKNOWN_RUN], False),
        ([FAULT.NOT_SENT] * gang.MAX_SENDS, False),
        ([FAULT.NOT_SENT, FAULT.NO_ANSWER, FAULT.UNKNOWN_RUN], True),
        ([FAULT.NO_ANSWER, FAULT.NOT_SENT, FAULT.NOT_SENT], True),
    ],
)
def test_unanswered_go_may_have_executed(faults, executed) -> None:
    """A worker that does not know a run any more may have executed it."""
    machine = gang.Gang(MEMBERS[:1])
    send = drive(machine, gang.Begin(), until=gang.Phase.STARTING)[-1]
    for fault in faults:
        send = machine.handle(answer(send, fault))[-1]
    ended = machine.handle(answer(send))[-1]
    assert ended.may_have_executed is executed and ended.may_be_committed


def test_go_that_succeeds_when_resent_has_executed() -> None:
    """A ``go`` that was not sent at first must not hide that the task runs.

    Otherwise a job that is not idempotent runs again after its worker is lost.
    """
    machine = gang.Gang(MEMBERS[:1])
    go = drive(machine, gang.Begin(), until=gang.Phase.STARTING)[-1]
    go, = machine.handle(answer(go, FAULT.NOT_SENT))
    machine.handle(answer(go))
    assert machine.phase is gang.Phase.RUNNING
    renewal, = machine.handle(gang.RenewalDue())
    stop = machine.handle(answer(renewal, FAULT.UNKNOWN_RUN))[-1]
    ended, = machine.handle(answer(stop))
    assert ended.outcome is gang.Outcome.WORKER_LOST
    assert ended.may_have_executed


def test_resent_go_that_is_still_open_may_have_executed() -> None:
    """A ``go`` may arrive after another member has stopped the gang."""
    machine = gang.Gang(MEMBERS[:2])
    commands = drive(machine, gang.Begin(), until=gang.Phase.STARTING)
    first, second = commands
    machine.handle(answer(first, FAULT.NOT_SENT))
    stops = machine.handle(answer(second, FAULT.UNKNOWN_RUN))[1:]
    ended = [machine.handle(answer(stop)) for stop in stops][-1][0]
    assert ended.may_have_executed


def test_partial_checkpoint_is_rejected() -> None:
    """A checkpoint that lacks a member must not be recorded."""
    machine = gang.Gang(MEMBERS)
    drive(machine, gang.Begin(), until=gang.Phase.RUNNING)

    def request_checkpoint(refs: list[str]) -> gang.Command:
        commands = machine.handle(gang.CheckpointRequested())
        for send, ref in zip(commands, refs):
            fault = None if ref else FAULT.WRONG_PHASE
            last = machine.handle(answer(send, fault, checkpoint=ref))
        return last[0]

    assert request_checkpoint(['a1', 'b1',
                               'c1']) == gang.Checkpointed('a1,b1,c1')
    assert isinstance(
        request_checkpoint(['a2', '', 'c2']), gang.CheckpointFailed
    )
