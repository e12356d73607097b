"""Models of gang commit and of the leases of a running gang.

The first proves that only a committed run executes and that no job executes
twice; the second bounds the time for which only part of a gang executes. An
action that models a function of ``nutmegworks.jobs.gang``,
``nutmegworks.jobs.controller``, ``nutmegworks.jobs.shard_records`` or
``standins.worker`` is named after it.
"""
from __future__ import annotations

import typing

import minicheck

# Writes beyond this revision are not explored. It suffices for a takeover, a
# rollback and a second commit.
MAX_REVISION: typing.Final = 5
MEMBERS: typing.Final = (0, 1)
ALL_MEMBERS: typing.Final = 0b11

# Lease of a running task, renewal interval and the bound that the model must
# prove, in ticks of the model.
LEASE_TICKS: typing.Final = 3
INTERVAL_TICKS: typing.Final = 1
MAX_PARTIAL_TICKS: typing.Final = LEASE_TICKS + INTERVAL_TICKS


class Record(typing.NamedTuple):
    """The job record.

    :param state: accepted, committed or may-have-run.
    :param commit: number of the latest commit.
    :param run: the committed run, identified by the owner that staged it.
    """

    state: str = 'accepted'
    commit: int = 0
    run: int = 0
    revision: int = 1


class Owner(typing.NamedTuple):
    """An owner; one that takes no further action has crashed or is paused.

    :param answered: members that answered in this round, as bits.
    :param known_revision: the revision that it last read or wrote.
    :param commit: the commit that this owner carries out; 0 if none.
    :param run: the run that it starts, identified by the owner that staged it.
    :param go_sent: whether a ``go`` may have been sent for the commit.
    """

    step: str
    answered: int = 0
    known_revision: int = 0
    commit: int = 0
    run: int = 0
    go_sent: bool = False


class Worker(typing.NamedTuple):
    """A member's worker.

    :param highest_token: the highest fencing token that it has seen.
    :param run: the run of its task, identified by the owner that reserved it.
    """

    highest_token: int = 0
    phase: str = 'none'
    run: int = 0


class State(typing.NamedTuple):
    """The state of the whole system.

    :param executed: commits of which at least one member executed, as bits;
        bit 0 stands for execution without a commit.
    """

    record: Record
    owners: tuple[Owner, Owner]
    workers: tuple[Worker, Worker]
    executed: int


Steps = list[tuple[str, tuple[typing.Any, ...]]]

ACTIVE: typing.Final = ('reserved', 'staged', 'running')


class _CommitModel:
    """Two owners with tokens 1 and 2 and one job that must not run twice.

    :param broken: the fault to inject, or empty.
    """

    def __init__(self, broken: str = '') -> None:
        self._broken = broken
        self._action_by_step = {
            'waiting': self.claim,
            'idle': self.load,
            'reserve': self.reserve_all,
            'stage': self.stage_all,
            'commit': self.commit,
            'unknown': self.resolve,
            'adopt': self.adopt,
            'probe': self.take_over,
            'go': self.go_all,
            'run': self.lose_member,
            'stop': self.stop_all,
            'end': self.end_attempt,
        }

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = State(*values)
        steps: Steps = []
        for index, owner in enumerate(state.owners):
            action = self._action_by_step.get(owner.step)
            if action is not None:
                for changed in action(state, index):
                    steps.append((f'{action.__name__} {index + 1}', changed))
        for member in MEMBERS:
            for changed in self.update_tasks(state, member):
                steps.append((f'update_tasks {member}', changed))
        return steps

    # Actions of owners. Each yields the possible next states.

    def claim(self, state: State, index: int) -> typing.Iterator[State]:
        yield _with_owner(state, index, step='idle')

    def load(self, state: State, index: int) -> typing.Iterator[State]:
        record = state.record
        step = {'accepted': 'reserve', 'committed': 'adopt'}.get(record.state)
        yield _with_owner(
            state,
            index,
            step=step or 'stepped-down',
            known_revision=record.revision,
            answered=0,
            commit=0,
            go_sent=False,
            run=index + 1,
        )

    def _send_round(
        self,
        state: State,
        index: int,
        next_phase: typing.Callable[[Worker, Owner], str],
        next_step: str,
    ) -> typing.Iterator[State]:
        """Send one message of a round; its answer may be lost.

        :param next_phase: the phase of a worker that handles the message;
            empty if it rejects it.
        :param next_step: the owner's step once all members have answered.
        """
        owner = state.owners[index]
        for member in MEMBERS:
            if owner.answered & 1 << member:
                continue
            worker = state.workers[member]
            if worker.highest_token > index + 1:
                yield _with_owner(state, index, step='stepped-down')
                continue
            phase = next_phase(worker, owner)
            fenced = worker._replace(highest_token=index + 1)
            if not phase:
                failed = _with_worker(state, member, fenced)
                yield _with_owner(failed, index, step='stop')
                continue
            run = owner.run if phase != worker.phase else worker.run
            handled = fenced._replace(phase=phase, run=run)
            applied = _with_worker(state, member, handled)
            if (worker.phase, phase) == ('staged', 'running'):
                executed = state.executed | 1 << owner.commit
                applied = applied._replace(executed=executed)
            answered = owner.answered | 1 << member
            yield applied
            if answered == ALL_MEMBERS:
                yield _with_owner(applied, index, step=next_step, answered=0)
            else:
                yield _with_owner(applied, index, answered=answered)
        # A member may not answer; the owner then stops the gang.
        yield _with_owner(state, index, step='stop')

    def reserve_all(
        self,
        state: State,
        index: int,
    ) -> typing.Iterator[State]:

        def reserve(worker: Worker, owner: Owner) -> str:
            is_own = (worker.phase, worker.run) == ('reserved', owner.run)
            is_free = worker.phase not in ACTIVE
            return 'reserved' if is_own or is_free else ''

        return self._send_round(state, index, reserve, 'stage')

    def stage_all(self, state: State, index: int) -> typing.Iterator[State]:

        def stage(worker: Worker, owner: Owner) -> str:
            is_prepared = worker.phase in ('reserved', 'staged')
            return 'staged' if is_prepared and worker.run == owner.run else ''

        next_step = 'go' if self._broken == 'no-commit' else 'commit'
        return self._send_round(state, index, stage, next_step)

    def commit(self, state: State, index: int) -> typing.Iterator[State]:
        owner = state.owners[index]
        record = state.record
        if owner.known_revision != record.revision:
            yield _with_owner(state, index, step='stop')
            return
        # The write may not reach the store.
        yield _with_owner(state, index, step='unknown')
        if record.revision < MAX_REVISION:
            committed = Record(
                'committed',
                record.commit + 1,
                owner.run,
                record.revision + 1,
            )
            written = state._replace(record=committed)
            yield _with_owner(written, index, step='unknown')
            yield _with_owner(
                written,
                index,
                step='go',
                known_revision=committed.revision,
                commit=committed.commit,
                go_sent=True,
            )

    def resolve(self, state: State, index: int) -> typing.Iterator[State]:
        """Reread after a lost response, or stop before sending any ``go``."""
        owner = state.owners[index]
        record = state.record
        is_own = (record.revision,
                  record.run) == (owner.known_revision + 1, owner.run)
        if is_own:
            resolved = _with_owner(
                state,
                index,
                known_revision=record.revision,
                commit=record.commit,
            )
            yield _with_owner(resolved, index, step='go', go_sent=True)
            yield _with_owner(resolved, index, step='stop')
        elif record.revision == owner.known_revision:
            yield _with_owner(state, index, step='commit')
        else:
            yield _with_owner(state, index, step='stop')

    def adopt(self, state: State, index: int) -> typing.Iterator[State]:
        """Write the new owner's token into a committed record."""
        owner = state.owners[index]
        record = state.record
        adopting = _with_owner(
            state,
            index,
            step='probe',
            commit=record.commit,
            run=record.run,
            go_sent=True,
        )
        if self._broken == 'no-adopt':
            yield adopting
        elif owner.known_revision != record.revision:
            yield _with_owner(state, index, step='idle')
        elif record.revision < MAX_REVISION:
            revision = record.revision + 1
            adopted = record._replace(revision=revision)
            adopting = _with_owner(adopting, index, known_revision=revision)
            yield adopting._replace(record=adopted)

    def take_over(self, state: State, index: int) -> typing.Iterator[State]:

        def probe(worker: Worker, owner: Owner) -> str:
            alive = worker.phase in ('staged', 'running')
            return worker.phase if alive and worker.run == owner.run else ''

        return self._send_round(state, index, probe, 'go')

    def go_all(self, state: State, index: int) -> typing.Iterator[State]:

        def go(worker: Worker, owner: Owner) -> str:
            alive = worker.phase in ('staged', 'running')
            return 'running' if alive and worker.run == owner.run else ''

        return self._send_round(state, index, go, 'run')

    def lose_member(
        self,
        state: State,
        index: int,
    ) -> typing.Iterator[State]:
        yield _with_owner(state, index, step='stop')

    def stop_all(self, state: State, index: int) -> typing.Iterator[State]:
        """Stop members until each has confirmed or its lease has expired."""
        owner = state.owners[index]
        for member in MEMBERS:
            worker = state.workers[member]
            is_own = worker.run == owner.run and worker.phase in ACTIVE
            if is_own and worker.highest_token <= index + 1:
                stopped = worker._replace(
                    highest_token=index + 1, phase='none'
                )
                yield _with_worker(state, member, stopped)
        is_executing = any(
            worker.run == owner.run and worker.phase == 'running'
            for worker in state.workers
        )
        if not owner.commit:
            yield _with_owner(state, index, step='idle')
        elif not is_executing:
            yield _with_owner(state, index, step='end')

    def end_attempt(self, state: State, index: int) -> typing.Iterator[State]:
        """Write that the job may have run, or that it was not started."""
        owner = state.owners[index]
        record = state.record
        idle = _with_owner(state, index, step='idle')
        if owner.known_revision != record.revision:
            yield idle
        elif record.revision < MAX_REVISION:
            may_have_run = owner.go_sent and self._broken != 'restart'
            ended = record._replace(
                state='may-have-run' if may_have_run else 'accepted',
                revision=record.revision + 1,
            )
            yield idle._replace(record=ended)

    # Actions of workers.

    def update_tasks(self, state: State,
                     member: int) -> typing.Iterator[State]:
        """Let a lease expire, or the worker restart and lose its state."""
        worker = state.workers[member]
        if worker.phase in ACTIVE:
            yield _with_worker(state, member, worker._replace(phase='none'))
        yield _with_worker(state, member, Worker())


def _with_owner(state: State, index: int, **changes: typing.Any) -> State:
    owners = list(state.owners)
    owner = owners[index]._replace(**changes)
    if owner.step in ('idle', 'stepped-down'):
        # Its other fields are no longer used; resetting them keeps the state
        # space small.
        owner = Owner(owner.step)
    owners[index] = owner
    return state._replace(owners=tuple(owners))


def _with_worker(state: State, member: int, worker: Worker) -> State:
    members = list(state.workers)
    if worker.phase not in ACTIVE:
        worker = Worker(worker.highest_token)
    members[member] = worker
    return state._replace(workers=tuple(members))


def commit_model(broken: str = '') -> minicheck.Protocol:
    """Return the model of gang commit.

    :param broken: ``no-commit`` (``go`` is sent without a committed record),
        ``no-adopt`` (a takeover does not write the record), ``restart`` (a
        job that may have executed is started again), or empty.
    """
    initial = State(
        Record(),
        (Owner('idle'), Owner('waiting')),
        (Worker(), Worker()),
        0,
    )
    return minicheck.Protocol(
        name='gang commit',
        candidate=bool(broken),
        fields=State._fields,
        initial=tuple(initial),
        transitions=_CommitModel(broken).transitions,
        invariants={
            'executes_only_if_committed':
            lambda state: not state['executed'] & 1,
            'executes_at_most_once':
            lambda state: (state['executed'] >> 1).bit_count() <= 1,
        },
    )


class Leases(typing.NamedTuple):
    """A committed gang of two members over time.

    :param remaining: ticks until the lease of each member expires; 0 if it
        does not execute.
    :param alive: whether each worker is alive.
    :param started: whether each member was sent a ``go``.
    :param healthy: whether every member answered in the last round.
    :param partial_ticks: ticks for which exactly one member has executed.
    """

    remaining: tuple[int, int] = (0, 0)
    alive: tuple[bool, bool] = (True, True)
    started: tuple[bool, bool] = (False, False)
    healthy: bool = True
    partial_ticks: int = 0


class _LeaseModel:
    """An owner that sends one round or none in a tick, or has failed."""

    def __init__(self, broken: str = '') -> None:
        self._broken = broken

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = Leases(*values)
        steps: Steps = [('advance', self.advance(state))]
        for member in MEMBERS:
            steps.append((f'crash {member}', self.crash(state, member)))
        for reached in range(ALL_MEMBERS + 1):
            name, changed = self._send_round(state, reached)
            steps.append((f'{name} {reached:02b}', self.advance(changed)))
        return steps

    def _send_round(self, state: Leases, reached: int) -> tuple[str, Leases]:
        """Send one round; only the members in ``reached`` receive it."""
        renew = state.healthy or self._broken == 'renew-always'
        if not renew:
            return 'stop_all', self._stop_all(state, reached)
        if not all(state.started):
            return 'go_all', self._go_all(state, reached)
        return 'renew_all', self._renew_all(state, reached)

    def _go_all(self, state: Leases, reached: int) -> Leases:
        is_reached = [bool(reached >> member & 1) for member in MEMBERS]
        answers = [
            reaches and alive
            for reaches, alive in zip(is_reached, state.alive)
        ]
        return state._replace(
            remaining=tuple(
                LEASE_TICKS if answer else remaining
                for answer, remaining in zip(answers, state.remaining)
            ),
            started=(True, True),
            healthy=all(answers),
        )

    def _renew_all(self, state: Leases, reached: int) -> Leases:
        answers = [
            bool(reached >> member & 1) and state.remaining[member] > 0
            for member in MEMBERS
        ]
        return state._replace(
            remaining=tuple(
                LEASE_TICKS if answer else remaining
                for answer, remaining in zip(answers, state.remaining)
            ),
            healthy=all(answers),
        )

    def _stop_all(self, state: Leases, reached: int) -> Leases:
        return state._replace(
            remaining=tuple(
                0 if reached >> member & 1 else remaining
                for member, remaining in zip(MEMBERS, state.remaining)
            ),
        )

    def crash(self, state: Leases, member: int) -> Leases:
        remaining = list(state.remaining)
        alive = list(state.alive)
        remaining[member], alive[member] = 0, False
        return state._replace(remaining=tuple(remaining), alive=tuple(alive))

    def advance(self, state: Leases) -> Leases:
        """Let one tick pass."""
        executing = [remaining > 0 for remaining in state.remaining]
        partial_ticks = state.partial_ticks + 1 if sum(executing) == 1 else 0
        return state._replace(
            remaining=tuple(
                max(0, remaining - 1) for remaining in state.remaining
            ),
            partial_ticks=min(partial_ticks, MAX_PARTIAL_TICKS + 1),
        )


def lease_model(broken: str = '') -> minicheck.Protocol:
    """Return the model of how long only part of a gang executes.

    :param broken: ``renew-always`` (leases are renewed even if a member did
        not answer), or empty.
    """
    return minicheck.Protocol(
        name='gang leases',
        candidate=bool(broken),
        fields=Leases._fields,
        initial=tuple(Leases()),
        transitions=_LeaseModel(broken).transitions,
        invariants={
            'partial_execution_is_bounded':
            lambda state: state['partial_ticks'] <= MAX_PARTIAL_TICKS,
        },
    )


__all__ = ('commit_model', 'lease_model')
