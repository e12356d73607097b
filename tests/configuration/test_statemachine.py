"""Drives the configuration code with a faulty store against a model."""
from __future__ import annotations

import itertools
import random
import typing

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest
import result

from nutmegworks.configuration import adoption
from nutmegworks.configuration import change
from nutmegworks.configuration import controller
from nutmegworks.configuration import document
from nutmegworks.configuration import reader
from nutmegworks.configuration import records
from nutmegworks.configuration import rejection
from nutmegworks.configuration import repository
from nutmegworks.configuration import view
from nutmegworks.net import client
from nutmegworks.peers import client as peer_client
from nutmegworks.peers import service
from tests.configuration import memorystore

OPERATORS = 2
DAEMONS = 3
MAX_ACCEPT_TICKS = 60.0


async def no_pause(seconds: float) -> None:
    pass


class ReaderView(view.ClusterView):

    def is_reader(self) -> bool:
        return True

    def member_count(self) -> int | None:
        return DAEMONS

    def responsive_peers(self, count: int) -> tuple[client.Address, ...]:
        return ()


class FakeTransport(service.PeerService, peer_client.PeerClient):
    """Delivers messages between controllers and records them for replay.

    Replaces the service, to get the handlers, and the client.
    """

    def __init__(self) -> None:
        self.handler_by_path: dict[tuple[int, str], service.Handler] = {}
        self.sent: list[tuple[int, str, msgspec.Struct]] = []
        self.registering = 0
        self.lose = False

    def register(
        self,
        path: str,
        message_type: type[msgspec.Struct],
        handler: service.Handler,
    ) -> None:
        self.handler_by_path[self.registering, path] = handler

    async def call(
        self,
        address: client.Address,
        path: str,
        value: msgspec.Struct,
        reply_type: type[typing.Any],
        *,
        timeout: float | None = None,
    ) -> result.Result[typing.Any, peer_client.PeerError]:
        self.sent.append((address[1], path, value))
        raw = msgspec.msgpack.encode(value)
        copy = msgspec.msgpack.decode(raw, type=type(value))
        reply = await self.handler_by_path[address[1], path](copy)
        if self.lose:
            fault = peer_client.PeerFault.UNREACHABLE
            return result.Err(peer_client.PeerError(fault, 'lost'))
        return result.Ok(
            msgspec.msgpack.decode(
                msgspec.msgpack.encode(reply), type=reply_type
            )
        )


lags = strategies.lists(strategies.integers(0, 6), max_size=4)
operators = strategies.integers(0, OPERATORS - 1)
daemons = strategies.integers(0, DAEMONS - 1)
names = strategies.sampled_from(['north', 'south'])
operations = strategies.one_of(
    strategies.builds(
        change.PutTeam, names, strategies.just(document.TeamEntry())
    ),
    strategies.builds(change.RemoveTeam, names),
    strategies.builds(
        change.SetGuarantee,
        names,
        strategies.sampled_from(['east', 'west']),
        strategies.sampled_from([('1x8', ), ('2x8', ), ()]),
    ),
    strategies.builds(
        change.AddToken,
        names,
        strategies.sampled_from(['a' * 64, 'b' * 64]),
    ),
)


class Machine(stateful.RuleBasedStateMachine):

    def __init__(self) -> None:
        super().__init__()
        # With low limits, a few steps are enough for archives and snapshots.
        self.patches = pytest.MonkeyPatch()
        self.patches.setattr(records, 'RETAINED_CHANGES', 3)
        self.patches.setattr(records, 'ARCHIVE_BATCH_CHANGES', 2)
        self.patches.setattr(adoption, 'MAX_RECENT_CHANGES', 3)
        self.kernel = curio.Kernel()
        self.store = memorystore.MemoryStore()
        self.ticks = itertools.count()
        self.numbers = itertools.count()
        self.transport = FakeTransport()
        self.operators = [self.operator() for _ in range(OPERATORS)]
        self.daemons = [self.daemon(index) for index in range(DAEMONS)]
        self.highest = [0] * DAEMONS
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.unknown: list[tuple[change.Change, int]] = []

    def clock(self) -> float:
        return float(next(self.ticks))

    def operator(self) -> repository.Repository:
        return repository.Repository(
            self.store,
            rng=random.Random(1),
            clock=self.clock,
            pause=no_pause,
        )

    def daemon(self, index: int) -> controller.Controller:
        made = controller.Controller(
            self.store,
            self.transport,
            ReaderView(),
            rng=random.Random(1),
            clock=self.clock,
        )
        self.transport.registering = index
        made.register(self.transport)
        return made

    @stateful.initialize()
    def create_teams(self) -> None:
        for name in ('north', 'south'):
            made = self.make(change.PutTeam(name, document.TeamEntry()))
            self.kernel.run(self.submit, 0, made, 0)

    @stateful.rule(index=operators, shapes=strategies.integers(1, 9))
    def change_without_interference(self, index: int, shapes: int) -> None:
        """One operator changes something without faults or conflicts."""
        operation = change.SetGuarantee('north', 'east', (f'{shapes}x8', ))
        base = len(self.history())
        self.kernel.run(self.submit, index, self.make(operation), base)

    def teardown(self) -> None:
        self.patches.undo()
        self.kernel.run(shutdown=True)

    async def submit(self, index: int, made: change.Change, base: int) -> None:
        outcome = await self.operators[index].accept(
            made, base=base, timeout=MAX_ACCEPT_TICKS
        )
        if isinstance(outcome, result.Ok):
            sequence = outcome.ok_value.sequence
            first_sequence = self.accepted.setdefault(made.change_id, sequence)
            assert first_sequence == sequence
        elif outcome.err_value.kind is rejection.RejectionKind.UNKNOWN:
            self.unknown.append((made, base))
        else:
            self.refused.add(made.change_id)

    def make(self, operation: change.Operation) -> change.Change:
        name = f'change-{next(self.numbers)}'
        return change.Change(name, 'eva', 0, (operation, ))

    @stateful.rule(
        index=operators,
        operation=operations,
        base_lag=strategies.integers(0, 3),
        lost=strategies.integers(0, 2),
        dropped=strategies.integers(0, 2),
        stale=lags,
        other_operations=strategies.lists(operations, max_size=2),
    )
    def change(
        self,
        index: int,
        operation: change.Operation,
        base_lag: int,
        lost: int,
        dropped: int,
        stale: list[int],
        other_operations: list[change.Operation],
    ) -> None:
        """One operator changes something under faults and conflicts."""
        base = max(0, len(self.history()) - base_lag)
        self.store.lose_answers = lost
        self.store.drop_writes = dropped
        self.store.stale = stale
        for other_operation in other_operations:
            made = self.make(other_operation)

            async def interfere(made: change.Change = made) -> None:
                await self.submit(1 - index, made, base)

            self.store.before_put.append(interfere)
        self.kernel.run(self.submit, index, self.make(operation), base)
        self.clear_faults()

    def clear_faults(self) -> None:
        self.store.lose_answers = self.store.drop_writes = 0
        self.store.stale = []
        self.store.before_put = []

    @stateful.precondition(lambda self: self.unknown)
    @stateful.rule(index=operators, stale=lags)
    def retry_unknown(self, index: int, stale: list[int]) -> None:
        """An operator retries a change, with the same change id."""
        self.store.stale = stale
        made, base = self.unknown.pop()
        self.kernel.run(self.submit, index, made, base)
        self.clear_faults()

    @stateful.rule(index=daemons, stale=lags)
    def read_store(self, index: int, stale: list[int]) -> None:
        self.store.stale = stale
        self.kernel.run(self.daemons[index].step)
        self.clear_faults()

    @stateful.rule(index=daemons, other=daemons, lose=strategies.booleans())
    def reconcile(self, index: int, other: int, lose: bool) -> None:
        self.transport.lose = lose
        peer = self.daemons[other].holder.sequence
        fanout = self.daemons[index].fanout
        self.kernel.run(fanout.reconcile, ('', other), peer)
        self.transport.lose = False
        if not lose:
            assert self.daemons[index].holder.sequence >= peer

    @stateful.rule(
        index=daemons,
        first=strategies.integers(0, 20),
        count=strategies.integers(1, 3),
        as_snapshot=strategies.booleans(),
    )
    def late_offer(
        self,
        index: int,
        first: int,
        count: int,
        as_snapshot: bool,
    ) -> None:
        """Any part of the history arrives late."""
        history = self.history()
        if not history:
            return
        first %= len(history)
        holder = self.daemons[index].holder
        if as_snapshot:
            earlier = history[:first + 1]
            snapshot = records.Snapshot(
                earlier[-1].sequence, reader.replay(document.EMPTY, earlier)
            )
            self.kernel.run(holder.adopt_snapshot, snapshot)
        else:
            offered = history[first:first + count]
            self.kernel.run(holder.adopt_changes, offered)

    @stateful.precondition(lambda self: self.transport.sent)
    @stateful.rule(index=daemons, choice=strategies.integers(0, 10**6))
    def replay_message(self, index: int, choice: int) -> None:
        """An old message is delivered again, possibly to another daemon."""
        _, path, value = self.transport.sent[choice % len(self.transport.sent)]
        handler = self.transport.handler_by_path[index, path]
        self.kernel.run(handler, value)

    @stateful.rule(index=daemons)
    def restart(self, index: int) -> None:
        self.daemons[index] = self.daemon(index)
        self.highest[index] = 0

    def history(self) -> tuple[change.AcceptedChange, ...]:
        self.clear_faults()
        return self.kernel.run(self._history)

    async def _history(self) -> tuple[change.AcceptedChange, ...]:
        return (await self.operator().history(after=0)).ok_value

    @stateful.invariant()
    def history_matches_the_outcomes(self) -> None:
        history = self.history()
        sequence_by_id = {
            item.change.change_id: item.sequence
            for item in history
        }
        assert len(sequence_by_id) == len(history)
        assert self.accepted.items() <= sequence_by_id.items()
        assert not self.refused & sequence_by_id.keys()

    @stateful.invariant()
    def daemons_have_a_prefix_and_never_revert(self) -> None:
        history = self.history()
        for index, daemon in enumerate(self.daemons):
            sequence = daemon.holder.sequence
            assert sequence >= self.highest[index]
            self.highest[index] = sequence
            current = daemon.current
            if current is not None:
                expected = reader.replay(document.EMPTY, history[:sequence])
                assert current.document == expected
                first = sequence - len(current.recent)
                assert current.recent == history[first:sequence]
                assert current.configuration == document.to_configuration(
                    expected, current.sequence
                )


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
__all__ = ('TestMachine', )
