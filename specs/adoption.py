"""Model of how daemons adopt configurations, for minicheck.

Two daemons learn of accepted changes from a store whose reads may be stale
and from each other by messages that may be late, repeated or lost. Either may
restart, which empties it. Every action is named after the function that does
it; the decisions are those of the code.
"""
from __future__ import annotations

import typing

import minicheck

from nutmegworks.configuration import adoption

MAX_HEAD: typing.Final = 4
# The head and the daemons keep this many changes; older ones need a snapshot.
KEPT: typing.Final = 2
MAX_MESSAGES: typing.Final = 2

Content = tuple[int, ...]
# Receiver, whether it is a snapshot, first and last sequence.
Message = tuple[int, bool, int, int]
Decide = typing.Callable[[int, int, int], adoption.Action]
IsNewer = typing.Callable[[int, int], bool]


class Daemon(typing.NamedTuple):
    """A daemon of the model.

    :param content: sequences of the changes it applied, in this order.
    :param top: the highest sequence in force since its start.
    """

    content: Content = ()
    top: int = 0

    @property
    def sequence(self) -> int:
        return self.content[-1] if self.content else 0


class State(typing.NamedTuple):
    head: int
    daemons: tuple[Daemon, Daemon]
    messages: frozenset[Message]


Successor = tuple[str, State]


class Model:
    """Enumerates what can happen next.

    :param decide: decides on offered changes.
    :param is_newer: decides on a snapshot, given the sequence in force.
    """

    def __init__(self, decide: Decide, is_newer: IsNewer) -> None:
        self._decide = decide
        self._is_newer = is_newer

    def successors(self, raw: tuple[typing.Any, ...]) -> list[Successor]:
        state = State(*raw)
        found = []
        if state.head < MAX_HEAD:
            accepted = state._replace(head=state.head + 1)
            found.append(('Repository.accept', accepted))
        for index in (0, 1):
            found.extend(self._reads(state, index))
            found.extend(self._sends(state, index))
            restarted = _with_daemon(state, index, Daemon())
            found.append((f'Node.start({index})', restarted))
        for message in state.messages:
            found.extend(self._deliveries(state, message))
        return found

    def _reads(self, state: State, index: int) -> typing.Iterator[Successor]:
        daemon = state.daemons[index]
        for seen in range(1, state.head + 1):
            first = max(1, seen - KEPT + 1)
            step = self._decide(daemon.sequence, first, seen)
            if step is adoption.Action.NEED_OLDER:
                read = self._take_snapshot(daemon, seen)
            else:
                read = self._take_changes(daemon, first, seen)
            name = f'Watcher._adopt_head({index}, {seen})'
            yield name, _with_daemon(state, index, read)

    def _sends(self, state: State, index: int) -> typing.Iterator[Successor]:
        sequence = state.daemons[index].sequence
        if not sequence or len(state.messages) == MAX_MESSAGES:
            return
        peer = 1 - index
        first = max(1, sequence - KEPT + 1)
        offer = (peer, False, first, sequence)
        whole = (peer, True, sequence, sequence)
        for name, message in (
            ('Fanout._offer_new_changes', offer),
            ('Fanout.serve_pull', whole),
        ):
            sent = state._replace(messages=state.messages | {message})
            yield f'{name}({index})', sent

    def _deliveries(
        self,
        state: State,
        message: Message,
    ) -> typing.Iterator[Successor]:
        index, whole, first, last = message
        daemon = state.daemons[index]
        if whole:
            name = f'Fanout._adopt_missing({index}, {last})'
            taken = self._take_snapshot(daemon, last)
        else:
            name = f'Fanout.serve_offer({index}, {first}, {last})'
            taken = self._take_changes(daemon, first, last)
        arrived = _with_daemon(state, index, taken)
        rest = state.messages - {message}
        yield name, arrived._replace(messages=rest)
        yield f'{name} repeated', arrived
        yield f'{name} lost', state._replace(messages=rest)

    def _take_changes(self, daemon: Daemon, first: int, last: int) -> Daemon:
        step = self._decide(daemon.sequence, first, last)
        if step is not adoption.Action.ADOPT:
            return daemon
        kept = tuple(item for item in daemon.content if item < first)
        return _adopted(daemon, (*kept, *range(first, last + 1)))

    def _take_snapshot(self, daemon: Daemon, sequence: int) -> Daemon:
        if not self._is_newer(daemon.sequence, sequence):
            return daemon
        return _adopted(daemon, tuple(range(1, sequence + 1)))


def _adopted(daemon: Daemon, content: Content) -> Daemon:
    return Daemon(content, max(daemon.top, content[-1]))


def _with_daemon(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=(daemons[0], daemons[1]))


def _never_reverted(fields: dict[str, typing.Any]) -> bool:
    return all(item.sequence == item.top for item in fields['daemons'])


def _no_gaps(fields: dict[str, typing.Any]) -> bool:
    return all(
        item.content == tuple(range(1, item.sequence + 1))
        for item in fields['daemons']
    )


def _only_accepted(fields: dict[str, typing.Any]) -> bool:
    return all(item.sequence <= fields['head'] for item in fields['daemons'])


def _in_force(fields: dict[str, typing.Any]) -> bool:
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
        goal=_in_force,
    )


__all__ = ('is_newer', 'protocol')
