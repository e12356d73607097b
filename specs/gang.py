"""Models of gang commit: who executes, and for how long a part does.

Each action is named after the function of ``nutmegworks.jobs.gang``,
``nutmegworks.jobs.controller`` or ``standins.worker`` that it models.
"""
from __future__ import annotations

import typing

import minicheck

# Writes beyond this revision are not explored; it leaves room for a takeover,
# a roll back and a second commit.
MAX_REVISION: typing.Final = 5
MEMBERS: typing.Final = (0, 1)
ALL: typing.Final = 0b11

# Running lease and renewal interval in ticks of the model.
LEASE_TICKS: typing.Final = 3
INTERVAL_TICKS: typing.Final = 1
ALONE_LIMIT: typing.Final = LEASE_TICKS + INTERVAL_TICKS


class Record(typing.NamedTuple):
    """The job record.

    :param state: accepted, committed or may-have-run.
    :param commit: number of the latest commit.
    :param run: the owner that staged the committed run.
    """

    state: str = 'accepted'
    commit: int = 0
    run: int = 0
    revision: int = 1


class Owner(typing.NamedTuple):
    """An owner; one that stops acting models one that died or is paused.

    :param done: members that answered in this round, as bits.
    :param view: revision of the record as this owner knows it.
    :param commit: the commit that this owner carries out; 0 if none.
    :param went: whether a ``go`` may have been sent for it.
    """

    step: str
    done: int = 0
    view: int = 0
    commit: int = 0
    run: int = 0
    went: bool = False


class Worker(typing.NamedTuple):
    """A member's worker.

    :param run: the owner that reserved the task.
    """

    fence: int = 0
    phase: str = 'none'
    run: int = 0


class State(typing.NamedTuple):
    """Everything.

    :param executed: commits of which a part executed, as bits; bit 0 stands
        for execution without a commit.
    """

    record: Record
    owners: tuple[Owner, Owner]
    workers: tuple[Worker, Worker]
    executed: int


Steps = list[tuple[str, tuple[typing.Any, ...]]]

ACTIVE: typing.Final = ('reserved', 'staged', 'running')


class _Commit:
    """Two owners with tokens 1 and 2 and one job that must not run twice.

    :param broken: a fault to build in, or empty.
    """

    def __init__(self, broken: str = '') -> None:
        self._broken = broken
        self._act_by_step = {
            'waiting': self.claim,
            'idle': self.load,
            'reserve': self.reserve_all,
            'stage': self.stage_all,
            'commit': self.commit,
            'open': self.resolve,
            'adopt': self.adopt,
            'probe': self.take_over,
            'go': self.go_all,
            'run': self.lose_member,
            'stop': self.stop_all,
            'record': self.record_end,
        }

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = State(*values)
        steps: Steps = []
        for index, owner in enumerate(state.owners):
            act = self._act_by_step.get(owner.step)
            if act is not None:
                for changed in act(state, index):
                    steps.append((f'{act.__name__} {index + 1}', changed))
        for member in MEMBERS:
            for changed in self.advance(state, member):
                steps.append((f'advance {member}', changed))
        return steps

    # Owners. Each action yields the states it may lead to.

    def claim(self, state: State, index: int) -> typing.Iterator[State]:
        yield _owner(state, index, step='idle')

    def load(self, state: State, index: int) -> typing.Iterator[State]:
        record = state.record
        step = {'accepted': 'reserve', 'committed': 'adopt'}.get(record.state)
        yield _owner(
            state,
            index,
            step=step or 'down',
            view=record.revision,
            done=0,
            commit=0,
            went=False,
            run=index + 1,
        )

    def _round(
        self,
        state: State,
        index: int,
        message: typing.Callable[[Worker, Owner], str],
        following: str,
    ) -> typing.Iterator[State]:
        """Send one message of a round; its answer may be lost."""
        owner = state.owners[index]
        for member in MEMBERS:
            if owner.done & 1 << member:
                continue
            worker = state.workers[member]
            if worker.fence > index + 1:
                yield _owner(state, index, step='down')
                continue
            phase = message(worker, owner)
            fenced = worker._replace(fence=index + 1)
            if not phase:
                failed = _worker(state, member, fenced)
                yield _owner(failed, index, step='stop')
                continue
            run = owner.run if phase != worker.phase else worker.run
            after = fenced._replace(phase=phase, run=run)
            applied = _worker(state, member, after)
            if (worker.phase, phase) == ('staged', 'running'):
                executed = state.executed | 1 << owner.commit
                applied = applied._replace(executed=executed)
            done = owner.done | 1 << member
            yield applied
            if done == ALL:
                yield _owner(applied, index, step=following, done=0)
            else:
                yield _owner(applied, index, done=done)
        # The owner gives up on a member that does not answer.
        yield _owner(state, index, step='stop')

    def reserve_all(
        self,
        state: State,
        index: int,
    ) -> typing.Iterator[State]:

        def reserve(worker: Worker, owner: Owner) -> str:
            own = (worker.phase, worker.run) == ('reserved', owner.run)
            free = worker.phase not in ACTIVE
            return 'reserved' if own or free else ''

        return self._round(state, index, reserve, 'stage')

    def stage_all(self, state: State, index: int) -> typing.Iterator[State]:

        def stage(worker: Worker, owner: Owner) -> str:
            allowed = worker.phase in ('reserved', 'staged')
            return 'staged' if allowed and worker.run == owner.run else ''

        following = 'go' if self._broken == 'no-commit' else 'commit'
        return self._round(state, index, stage, following)

    def commit(self, state: State, index: int) -> typing.Iterator[State]:
        owner = state.owners[index]
        record = state.record
        if owner.view != record.revision:
            yield _owner(state, index, step='stop')
            return
        # The write may be lost on its way.
        yield _owner(state, index, step='open')
        if record.revision < MAX_REVISION:
            committed = Record(
                'committed',
                record.commit + 1,
                owner.run,
                record.revision + 1,
            )
            written = state._replace(record=committed)
            yield _owner(written, index, step='open')
            yield _owner(
                written,
                index,
                step='go',
                view=committed.revision,
                commit=committed.commit,
                went=True,
            )

    def resolve(self, state: State, index: int) -> typing.Iterator[State]:
        """Reread after a lost response, or give up with nothing sent."""
        owner = state.owners[index]
        record = state.record
        own = (record.revision, record.run) == (owner.view + 1, owner.run)
        if own:
            known = _owner(
                state,
                index,
                view=record.revision,
                commit=record.commit,
            )
            yield _owner(known, index, step='go', went=True)
            yield _owner(known, index, step='stop')
        elif record.revision == owner.view:
            yield _owner(state, index, step='commit')
        else:
            yield _owner(state, index, step='stop')

    def adopt(self, state: State, index: int) -> typing.Iterator[State]:
        """Write the new owner's token into a committed record."""
        owner = state.owners[index]
        record = state.record
        known = _owner(
            state,
            index,
            step='probe',
            commit=record.commit,
            run=record.run,
            went=True,
        )
        if self._broken == 'no-adopt':
            yield known
        elif owner.view != record.revision:
            yield _owner(state, index, step='idle')
        elif record.revision < MAX_REVISION:
            revision = record.revision + 1
            adopted = record._replace(revision=revision)
            known = _owner(known, index, view=revision)
            yield known._replace(record=adopted)

    def take_over(self, state: State, index: int) -> typing.Iterator[State]:

        def probe(worker: Worker, owner: Owner) -> str:
            alive = worker.phase in ('staged', 'running')
            return worker.phase if alive and worker.run == owner.run else ''

        return self._round(state, index, probe, 'go')

    def go_all(self, state: State, index: int) -> typing.Iterator[State]:

        def go(worker: Worker, owner: Owner) -> str:
            alive = worker.phase in ('staged', 'running')
            return 'running' if alive and worker.run == owner.run else ''

        return self._round(state, index, go, 'run')

    def lose_member(
        self,
        state: State,
        index: int,
    ) -> typing.Iterator[State]:
        yield _owner(state, index, step='stop')

    def stop_all(self, state: State, index: int) -> typing.Iterator[State]:
        """Stop members until each has confirmed or its lease is over."""
        owner = state.owners[index]
        for member in MEMBERS:
            worker = state.workers[member]
            own = worker.run == owner.run and worker.phase in ACTIVE
            if own and worker.fence <= index + 1:
                stopped = worker._replace(fence=index + 1, phase='none')
                yield _worker(state, member, stopped)
        executing = any(
            worker.run == owner.run and worker.phase == 'running'
            for worker in state.workers
        )
        if not owner.commit:
            yield _owner(state, index, step='idle')
        elif not executing:
            yield _owner(state, index, step='record')

    def record_end(self, state: State, index: int) -> typing.Iterator[State]:
        """Write that the job may have run, or that it did not start."""
        owner = state.owners[index]
        record = state.record
        idle = _owner(state, index, step='idle')
        if owner.view != record.revision:
            yield idle
        elif record.revision < MAX_REVISION:
            went = owner.went and self._broken != 'restart'
            ended = record._replace(
                state='may-have-run' if went else 'accepted',
                revision=record.revision + 1,
            )
            yield idle._replace(record=ended)

    # Workers.

    def advance(self, state: State, member: int) -> typing.Iterator[State]:
        """A lease runs out, or the worker restarts and forgets all."""
        worker = state.workers[member]
        if worker.phase in ACTIVE:
            yield _worker(state, member, worker._replace(phase='none'))
        yield _worker(state, member, Worker())


def _owner(state: State, index: int, **changes: typing.Any) -> State:
    owners = list(state.owners)
    owner = owners[index]._replace(**changes)
    if owner.step in ('idle', 'down'):
        # It has no use for what it knew; this keeps the state space small.
        owner = Owner(owner.step)
    owners[index] = owner
    return state._replace(owners=tuple(owners))


def _worker(state: State, member: int, worker: Worker) -> State:
    members = list(state.workers)
    if worker.phase not in ACTIVE:
        worker = Worker(worker.fence)
    members[member] = worker
    return state._replace(workers=tuple(members))


def commit_model(broken: str = '') -> minicheck.Protocol:
    """Return the model of who executes.

    :param broken: ``no-commit`` (go without the record), ``no-adopt`` (a
        takeover that leaves the record's revision alone), ``restart`` (a job
        that may have executed is started again), or empty.
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
        transitions=_Commit(broken).transitions,
        invariants={
            'executes_only_if_committed':
            lambda state: not state['executed'] & 1,
            'executes_at_most_once':
            lambda state: (state['executed'] >> 1).bit_count() <= 1,
        },
    )


class Leases(typing.NamedTuple):
    """A committed gang of two over time.

    :param left: ticks that each member may still execute; 0 if it does not.
    :param alive: whether each worker is alive.
    :param started: whether each member was told to go.
    :param healthy: whether every member answered in the last round.
    :param alone: ticks that one member has executed without the other.
    """

    left: tuple[int, int] = (0, 0)
    alive: tuple[bool, bool] = (True, True)
    started: tuple[bool, bool] = (False, False)
    healthy: bool = True
    alone: int = 0


class _Lease:
    """An owner that acts at most once in a tick, or never again."""

    def __init__(self, broken: str = '') -> None:
        self._broken = broken

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = Leases(*values)
        steps: Steps = [('pass', self.advance(state))]
        for member in MEMBERS:
            steps.append((f'die {member}', self.die(state, member)))
        for reached in range(ALL + 1):
            name, changed = self._act(state, reached)
            steps.append((f'{name} {reached:02b}', self.advance(changed)))
        return steps

    def _act(self, state: Leases, reached: int) -> tuple[str, Leases]:
        """Send one round; only the members in ``reached`` receive it."""
        renew = state.healthy or self._broken == 'renew-always'
        if not renew:
            return 'stop_all', self._stop_all(state, reached)
        if not all(state.started):
            return 'go_all', self._go_all(state, reached)
        return 'renew_all', self._renew_all(state, reached)

    def _go_all(self, state: Leases, reached: int) -> Leases:
        answers = [bool(reached >> member & 1) for member in MEMBERS]
        heard = [
            answer and alive for answer, alive in zip(answers, state.alive)
        ]
        return state._replace(
            left=tuple(
                LEASE_TICKS if hears else left
                for hears, left in zip(heard, state.left)
            ),
            started=(True, True),
            healthy=all(heard),
        )

    def _renew_all(self, state: Leases, reached: int) -> Leases:
        heard = [
            bool(reached >> member & 1) and state.left[member] > 0
            for member in MEMBERS
        ]
        return state._replace(
            left=tuple(
                LEASE_TICKS if hears else left
                for hears, left in zip(heard, state.left)
            ),
            healthy=all(heard),
        )

    def _stop_all(self, state: Leases, reached: int) -> Leases:
        return state._replace(
            left=tuple(
                0 if reached >> member & 1 else left
                for member, left in zip(MEMBERS, state.left)
            ),
        )

    def die(self, state: Leases, member: int) -> Leases:
        left = list(state.left)
        alive = list(state.alive)
        left[member], alive[member] = 0, False
        return state._replace(left=tuple(left), alive=tuple(alive))

    def advance(self, state: Leases) -> Leases:
        """One tick passes."""
        executing = [left > 0 for left in state.left]
        alone = state.alone + 1 if sum(executing) == 1 else 0
        return state._replace(
            left=tuple(max(0, left - 1) for left in state.left),
            alone=min(alone, ALONE_LIMIT + 1),
        )


def lease_model(broken: str = '') -> minicheck.Protocol:
    """Return the model of how long a part of a gang executes alone.

    :param broken: ``renew-always`` (renewals whatever the members' health),
        or empty.
    """
    return minicheck.Protocol(
        name='gang leases',
        candidate=bool(broken),
        fields=Leases._fields,
        initial=tuple(Leases()),
        transitions=_Lease(broken).transitions,
        invariants={
            'part_executes_alone_for_a_bounded_time':
            lambda state: state['alone'] <= ALONE_LIMIT,
        },
    )


__all__ = ('commit_model', 'lease_model')
