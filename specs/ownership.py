"""Model of shard ownership with fencing tokens.

Each action is named after the function of
``nutmegworks.membership.ownership`` or ``standins.worker`` that it models.
"""
from __future__ import annotations

import typing

import minicheck

MAX_REVISION: typing.Final = 6


class Record(typing.NamedTuple):
    """The owner record.

    :param claim: revision at which the present claim was written; it stands
        for the unique claim id.
    """

    owner: int = -1
    token: int = 0
    claim: int = 0
    revision: int = 0


class Daemon(typing.NamedTuple):
    """A contender; one that does not act models one that is paused.

    :param token: with which it believes to own the shard; 0 if it does not.
    :param sent: revision that its claim expects while the claim may still
        take effect, or -1. A response may be lost at any time.
    """

    view: Record = Record()
    token: int = 0
    sent: int = -1


class State(typing.NamedTuple):
    """Everything.

    :param fence: the highest token that the worker has seen.
    :param obeyed_lower: whether the worker obeyed a token after a higher.
    """

    record: Record
    daemons: tuple[Daemon, Daemon]
    fence: int = 0
    obeyed_lower: bool = False


Steps = list[tuple[str, tuple[typing.Any, ...]]]


class _Ownership:

    def __init__(self, broken: str = '') -> None:
        self._broken = broken

    def transitions(self, values: tuple[typing.Any, ...]) -> Steps:
        """Return every next state with the name of its action."""
        state = State(*values)
        steps: Steps = []
        acts = (
            self.observe,
            self.claim,
            self.deliver,
            self.renew,
            self.release,
            self.fence,
        )
        for index in range(len(state.daemons)):
            for act in acts:
                for changed in act(state, index):
                    steps.append((f'{act.__name__} {index}', changed))
        if self._broken == 'leased-record' and state.record.owner >= 0:
            revision = state.record.revision + 1
            gone = Record(revision=revision)
            if revision < MAX_REVISION:
                steps.append(('expire', state._replace(record=gone)))
        return steps

    def observe(self, state: State, index: int) -> typing.Iterator[State]:
        record = state.record
        own = record.owner == index and state.daemons[index].sent < 0
        daemon = state.daemons[index]
        if daemon.sent >= 0:
            own = record.owner == index and record.claim == daemon.sent + 1
        yield _daemon(
            state,
            index,
            view=record,
            token=record.token if own else 0,
            sent=-1 if own or record.revision > daemon.sent else daemon.sent,
        )

    def claim(self, state: State, index: int) -> typing.Iterator[State]:
        """Send a claim at any time: safety needs no clock."""
        daemon = state.daemons[index]
        if daemon.token or daemon.sent >= 0:
            return
        if daemon.view.owner != index:
            yield _daemon(state, index, sent=daemon.view.revision)

    def deliver(self, state: State, index: int) -> typing.Iterator[State]:
        """The store handles a claim; the response may be lost."""
        daemon = state.daemons[index]
        record = state.record
        if daemon.sent < 0:
            return
        if daemon.sent != record.revision:
            believes = self._broken == 'assume-success'
            token = daemon.view.token + 1 if believes else 0
            yield _daemon(state, index, sent=-1, token=token)
            return
        if record.revision >= MAX_REVISION:
            return
        revision = record.revision + 1
        claimed = Record(index, record.token + 1, revision, revision)
        written = state._replace(record=claimed)
        yield written
        yield _daemon(
            written,
            index,
            view=claimed,
            token=claimed.token,
            sent=-1,
        )

    def renew(self, state: State, index: int) -> typing.Iterator[State]:
        daemon = state.daemons[index]
        record = state.record
        if not daemon.token:
            return
        if daemon.view.revision != record.revision:
            yield from self.observe(state, index)
        elif record.revision < MAX_REVISION:
            renewed = record._replace(revision=record.revision + 1)
            written = state._replace(record=renewed)
            yield written
            yield _daemon(written, index, view=renewed)

    def release(self, state: State, index: int) -> typing.Iterator[State]:
        daemon = state.daemons[index]
        record = state.record
        if not daemon.token:
            return
        down = _daemon(state, index, token=0)
        yield down
        fresh = daemon.view.revision == record.revision
        if fresh and record.revision < MAX_REVISION:
            released = record._replace(
                owner=-1,
                claim=0,
                revision=record.revision + 1,
            )
            yield down._replace(record=released)

    def fence(self, state: State, index: int) -> typing.Iterator[State]:
        """Send a message to the worker."""
        token = state.daemons[index].token
        if not token:
            return
        if token < state.fence and self._broken != 'no-fence':
            yield _daemon(state, index, token=0)
            return
        lower = state.obeyed_lower or token < state.fence
        yield state._replace(
            fence=max(token, state.fence),
            obeyed_lower=lower,
        )


def _daemon(state: State, index: int, **changes: typing.Any) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemons[index]._replace(**changes)
    return state._replace(daemons=tuple(daemons))


def ownership_model(broken: str = '') -> minicheck.Protocol:
    """Return the model of ownership.

    :param broken: ``leased-record`` (the record with the token expires),
        ``assume-success`` (a claim without a response is taken for granted),
        ``no-fence`` (workers obey any token), or empty.
    """

    def distinct_tokens(state: dict[str, typing.Any]) -> bool:
        first, second = (daemon.token for daemon in state['daemons'])
        return not first or first != second

    return minicheck.Protocol(
        name='shard ownership',
        candidate=bool(broken),
        fields=State._fields,
        initial=tuple(State(Record(), (Daemon(), Daemon()))),
        transitions=_Ownership(broken).transitions,
        invariants={
            'owners_hold_distinct_tokens':
            distinct_tokens,
            'worker_never_obeys_a_lower_token':
            lambda state: not state['obeyed_lower'],
        },
    )


__all__ = ('ownership_model', )
