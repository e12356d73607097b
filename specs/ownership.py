"""Model of shard ownership with fencing tokens.

An action that models a function of ``nutmegworks.membership.ownership`` or
``standins.worker`` is named after it.
"""
from __future__ import annotations

import typing

import minicheck

MAX_REVISION: typing.Final = 6


class Record(typing.NamedTuple):
    """The owner record.

    :param claim: revision at which the current claim was written; it stands
        for the unique claim id.
    """

    owner: int = -1
    token: int = 0
    claim: int = 0
    revision: int = 0


class Daemon(typing.NamedTuple):
    """A daemon that may claim the shard; one that takes no action is paused.

    :param known_record: the record as it was last read or written.
    :param token: token of the ownership that it assumes; 0 if none.
    :param expected: revision that its pending claim expects; -1 if no claim
        can still take effect. A response may be lost at any time.
    """

    known_record: Record = Record()
    token: int = 0
    expected: int = -1


class State(typing.NamedTuple):
    """The state of the whole system.

    :param highest_token: the highest token that the worker has seen.
    :param accepted_lower: whether the worker accepted a token lower than
        that.
    """

    record: Record
    daemons: tuple[Daemon, Daemon]
    highest_token: int = 0
    accepted_lower: bool = False


Steps = list[tuple[str, tuple[typing.Any, ...]]]


class _OwnershipModel:

    def __init__(self, broken: str = '') -> None:
        self._broken = broken

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = State(*values)
        steps: Steps = []
        actions = (
            self.observe,
            self.claim,
            self.deliver,
            self.renew,
            self.release,
            self.fence,
        )
        for index in range(len(state.daemons)):
            for action in actions:
                for changed in action(state, index):
                    steps.append((f'{action.__name__} {index}', changed))
        if self._broken == 'leased-record' and state.record.owner >= 0:
            revision = state.record.revision + 1
            expired = Record(revision=revision)
            if revision < MAX_REVISION:
                steps.append(('expire', state._replace(record=expired)))
        return steps

    def observe(self, state: State, index: int) -> typing.Iterator[State]:
        record = state.record
        is_own = record.owner == index and state.daemons[index].expected < 0
        daemon = state.daemons[index]
        if daemon.expected >= 0:
            is_own = (
                record.owner == index and record.claim == daemon.expected + 1
            )
        yield _with_daemon(
            state,
            index,
            known_record=record,
            token=record.token if is_own else 0,
            expected=-1 if is_own or record.revision > daemon.expected else
            daemon.expected,
        )

    def claim(self, state: State, index: int) -> typing.Iterator[State]:
        """Send a claim at any time, as safety does not depend on clocks."""
        daemon = state.daemons[index]
        if daemon.token or daemon.expected >= 0:
            return
        if daemon.known_record.owner != index:
            yield _with_daemon(
                state, index, expected=daemon.known_record.revision
            )

    def deliver(self, state: State, index: int) -> typing.Iterator[State]:
        """Let the store handle a claim; the response may be lost."""
        daemon = state.daemons[index]
        record = state.record
        if daemon.expected < 0:
            return
        if daemon.expected != record.revision:
            assumes_success = self._broken == 'assume-success'
            token = daemon.known_record.token + 1 if assumes_success else 0
            yield _with_daemon(state, index, expected=-1, token=token)
            return
        if record.revision >= MAX_REVISION:
            return
        revision = record.revision + 1
        claimed = Record(index, record.token + 1, revision, revision)
        written = state._replace(record=claimed)
        yield written
        yield _with_daemon(
            written,
            index,
            known_record=claimed,
            token=claimed.token,
            expected=-1,
        )

    def renew(self, state: State, index: int) -> typing.Iterator[State]:
        daemon = state.daemons[index]
        record = state.record
        if not daemon.token:
            return
        if daemon.known_record.revision != record.revision:
            yield from self.observe(state, index)
        elif record.revision < MAX_REVISION:
            renewed = record._replace(revision=record.revision + 1)
            written = state._replace(record=renewed)
            yield written
            yield _with_daemon(written, index, known_record=renewed)

    def release(self, state: State, index: int) -> typing.Iterator[State]:
        daemon = state.daemons[index]
        record = state.record
        if not daemon.token:
            return
        stepped_down = _with_daemon(state, index, token=0)
        yield stepped_down
        is_current = daemon.known_record.revision == record.revision
        if is_current and record.revision < MAX_REVISION:
            released = record._replace(
                owner=-1,
                claim=0,
                revision=record.revision + 1,
            )
            yield stepped_down._replace(record=released)

    def fence(self, state: State, index: int) -> typing.Iterator[State]:
        """Send a message to the worker."""
        token = state.daemons[index].token
        if not token:
            return
        if token < state.highest_token and self._broken != 'no-fence':
            yield _with_daemon(state, index, token=0)
            return
        accepted_lower = state.accepted_lower or token < state.highest_token
        yield state._replace(
            highest_token=max(token, state.highest_token),
            accepted_lower=accepted_lower,
        )


def _with_daemon(state: State, index: int, **changes: typing.Any) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemons[index]._replace(**changes)
    return state._replace(daemons=tuple(daemons))


def ownership_model(broken: str = '') -> minicheck.Protocol:
    """Return the model of ownership.

    :param broken: the fault to inject: ``leased-record`` (the record with
        the token expires), ``assume-success`` (a claim is assumed to have
        succeeded without a response), ``no-fence`` (workers accept any
        token), or empty.
    """

    def distinct_tokens(state: dict[str, typing.Any]) -> bool:
        first, second = (daemon.token for daemon in state['daemons'])
        return not first or first != second

    return minicheck.Protocol(
        name='shard ownership',
        candidate=bool(broken),
        fields=State._fields,
        initial=tuple(State(Record(), (Daemon(), Daemon()))),
        transitions=_OwnershipModel(broken).transitions,
        invariants={
            'owners_hold_distinct_tokens':
            distinct_tokens,
            'worker_rejects_lower_tokens':
            lambda state: not state['accepted_lower'],
        },
    )


__all__ = ('ownership_model', )
