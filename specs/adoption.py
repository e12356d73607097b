"""Model of how daemons adopt configurations, for minicheck.

Two daemons receive accepted changes from a store whose reads may be stale, and
from each other by messages that may be delayed, repeated or lost. Either may
restart and then has no configuration. Every action is named after the function
that it models; the decisions are those of the code.
"""
from __future__ import annotations

import typing

import minicheck

from nutmegworks.configuration import adoption

MAX_HEAD: typing.Final = 4
# The head and each daemon retain this many changes; a daemon that lacks older
# ones needs a snapshot.
RETAINED_CHANGES: typing.Final = 2
MAX_MESSAGES: typing.Final = 2

Content = tuple[int, ...]
# Receiver, whether the content is a snapshot, first and last sequence.
Message = tuple[int, bool, int, int]
Decide = typing.Callable[[int, int, int], adoption.Action]
IsNewer = typing.Callable[[int, int], bool]


class Daemon(typing.NamedTuple):
    """The configuration of a daemon.

    :param content: sequences of the applied changes, in the order applied.
    :param max_sequence: the highest sequence adopted since its start.
    """

    content: Content = ()
    max_sequence: int = 0

    @property
    def sequence(self) -> int:
        return self.content[-1] if self.content else 0


class State(typing.NamedTuple):
    head: int
    daemons: tuple[Daemon, Daemon]
    messages: frozenset[Message]


Successor = tuple[str, State]


class Model:
    """Enumerates the possible next states.

    :param decide: decides on offered changes.
    :param is_newer: decides on a snapshot, given the current sequence.
    """

    def __init__(self, decide: Decide, is_newer: IsNewer) -> None:
        self._decide = decide
        self._is_newer = is_newer

    def successors(self, raw: tuple[typing.Any, ...]) -> list[Successor]:
        state = State(*raw)
        successors = []
        if state.head < MAX_HEAD:
            accepted = state._replace(head=state.head + 1)
            successors.append(('Repository.accept', accepted))
        for index in (0, 1):
            successors.extend(self._reads(state, index))
            successors.extend(self._sends(state, index))
            restarted = _with_daemon(state, index, Daemon())
            successors.append((f'Node.start({index})', restarted))
        for message in state.messages:
            successors.extend(self._deliveries(state, message))
        return successors

    def _reads(self, state: State, index: int) -> typing.Iterator[Successor]:
        daemon = state.daemons[index]
        for last in range(1, state.head + 1):
            first = max(1, last - RETAINED_CHANGES + 1)
            action = self._decide(daemon.sequence, first, last)
            if action is adoption.Action.NEED_OLDER:
                updated = self._adopt_snapshot(daemon, last)
            else:
                updated = self._adopt_changes(daemon, first, last)
            name = f'Watcher._adopt_head({index}, {last})'
            yield name, _with_daemon(state, index, updated)

    def _sends(self, state: State, index: int) -> typing.Iterator[Successor]:
        sequence = state.daemons[index].sequence
        if not sequence or len(state.messages) == MAX_MESSAGES:
            return
        peer = 1 - index
        first = max(1, sequence - RETAINED_CHANGES + 1)
        offer = (peer, False, first, sequence)
        snapshot = (peer, True, sequence, sequence)
        for name, message in (
            ('Fanout._offer_new_changes', offer),
            ('Fanout.serve_pull', snapshot),
        ):
            sent = state._replace(messages=state.messages | {message})
            yield f'{name}({index})', sent

    def _deliveries(
        self,
        state: State,
        message: Message,
    ) -> typing.Iterator[Successor]:
        index, is_snapshot, first, last = message
        daemon = state.daemons[index]
        if is_snapshot:
            name = f'Fanout._adopt_reply({index}, {last})'
            updated = self._adopt_snapshot(daemon, last)
        else:
            name = f'Fanout.serve_offer({index}, {first}, {last})'
            updated = self._adopt_changes(daemon, first, last)
        delivered = _with_daemon(state, index, updated)
        remaining = state.messages - {message}
        yield name, delivered._replace(messages=remaining)
        yield f'{name} repeated', delivered
        yield f'{name} lost', state._replace(messages=remaining)

    def _adopt_changes(self, daemon: Daemon, first: int, last: int) -> Daemon:
        action = self._decide(daemon.sequence, first, last)
        if action is not adoption.Action.ADOPT:
            return daemon
        retained = tuple(item for item in daemon.content if item < first)
        return _adopted(daemon, (*retained, *range(first, last + 1)))

    def _adopt_snapshot(self, daemon: Daemon, sequence: int) -> Daemon:
        if not self._is_newer(daemon.sequence, sequence):
            return daemon
        return _adopted(daemon, tuple(range(1, sequence + 1)))


def _adopted(daemon: Daemon, content: Content) -> Daemon:
    return Daemon(content, max(daemon.max_sequence, content[-1]))


def _with_daemon(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=(daemons[0], daemons[1]))


def _never_reverted(fields: dict[str, typing.Any]) -> bool:
    return all(
        item.sequence == item.max_sequence for item in fields['daemons']
    )


def _no_gaps(fields: dict[str, typing.Any]) -> bool:
    return all(
        item.content == tuple(range(1, item.sequence + 1))
        for item in fields['daemons']
    )


def _only_accepted(fields: dict[str, typing.Any]) -> bool:
    return all(item.sequence <= fields['head'] for item in fields['daemons'])


def _fully_adopted(fields: dict[str, typing.Any]) -> bool:
    return fields['head'] == MAX_HEAD and all(
        item.sequence == MAX_HEAD for item in fields['daemons']
    )


def is_newer(current: int, offered: int) -> bool:
    """Decide on a snapshot as ``adoption.adopt_snapshot`` does."""
    return offered > current


def protocol(
    decide: Decide = adoption.decide,
    newer: IsNewer = is_newer,
) -> minicheck.Protocol:
    """Return the model, by default with the decisions of the code."""
    model = Model(decide, newer)
    return minicheck.Protocol(
        name='configuration adoption',
        candidate=False,
        fields=State._fields,
        initial=tuple(State(0, (Daemon(), Daemon()), frozenset())),
        transitions=model.successors,
        invariants={
            'never_reverted': _never_reverted,
            'no_gaps': _no_gaps,
            'only_accepted': _only_accepted,
        },
        goal=_fully_adopted,
    )


__all__ = ('is_newer', 'protocol')
